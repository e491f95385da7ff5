//! The operators' console without its sockets: parsing of command lines, the answers, and the limit on connections.
//!
//! A connection carries one command line. The answer begins with `YES` or `NO`, except that of METRICS, which ends with a line
//! `END`. A line has at most [`MAX_LINE_BYTES`] bytes, and [`ConsoleConnections`] keeps at most a fixed number of connections.
#![forbid(unsafe_code)]

mod answer;
mod connections;
mod line;

pub use answer::{command_error_text, metrics_text, no_with_reason, NOT_SERVING, YES};
pub use connections::ConsoleConnections;
pub use line::{ConsoleCommand, LineError, LineParser, MAX_ID_BYTES, MAX_LINE_BYTES};
