//! Measures what each part of a deployment costs by its size, and keeps the results.
//!
//! A run of a measurement gives a [`RunRecord`]: the measured points of each quantity, with the command, the commit
//! and the machine that they were measured on. [`Fit`] turns points into a slope and says how sure it is. What stands
//! in `docs/CAPACITY.md` is worked out from the records in `docs/capacity/results` by [`capacity`].

pub mod capacity;
pub mod daemon;
mod fit;
mod place;
mod record;
pub mod shared;

pub use fit::{Fit, FitError};
pub use place::{PlaceError, RunPlace};
pub use record::{Axis, Figure, Machine, Measurement, Point, RecordError, RunRecord, SCHEMA};
