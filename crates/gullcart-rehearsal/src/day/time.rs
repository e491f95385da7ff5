//! Seconds of a day as moments of its trace.

use gullcart_judge::trace::At;

/// The moment so many seconds after the beginning of the day.
pub(super) fn at(seconds: f64) -> At {
    At((seconds.max(0.0) * 1e6) as u64)
}
