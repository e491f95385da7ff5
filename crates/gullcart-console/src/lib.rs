//! The operators' console without its sockets: what a caller's line says, what it is answered, and which caller gives way.
//!
//! One line to a connection. The answer begins with `YES` or `NO`, but for the figures, which end with `END`.
//! Bounds: a line of [`LONGEST_LINE`] bytes, [`Callers`] of a fixed number.
#![forbid(unsafe_code)]

mod answer;
mod callers;
mod line;

pub use answer::{denied, figures, no, NOT_SERVING, YES};
pub use callers::Callers;
pub use line::{Call, Fault, Lines, LONGEST_ID, LONGEST_LINE};
