//! Seconds of a day as moments of its trace.

use gullcart_judge::trace::Timestamp;

/// The moment so many seconds after the beginning of the day.
pub(super) fn at(seconds: f64) -> Timestamp {
    Timestamp((seconds.max(0.0) * 1e6) as u64)
}
