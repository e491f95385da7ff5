//! Measurements of the daemon itself: a real process on loopback, among stand-ins for all around it.
//!
//! Processor time is that of the daemon's threads, as the kernel counts it, so that a busy machine disturbs it little.
//! Each measurement is a file here: [`endpoints`], [`held`], [`waiting`], [`changes`], [`restart`] and [`couriers`].
//! A run stays inside half of the machine's memory, and what it starts ends with it.

mod bench;
pub mod changes;
mod client;
mod collector;
pub mod couriers;
mod discovery;
pub mod endpoints;
mod error;
pub mod held;
mod http;
mod limits;
mod partner;
mod process;
pub mod restart;
mod site;
pub mod system;
pub mod waiting;

pub use bench::Settings;
pub use collector::{Collector, RunTitle, NOT_REACHED};
pub use error::MeasureError;
pub use limits::{Cancellation, Limits, MOST_PROCESSES};
pub use process::Launch;
