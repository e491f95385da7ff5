//! Conversion between the process's own time and Unix time.

use cloverstile::Time;
use std::time::Duration;

/// [`Time`] at the start of a process. It is large, so that moments before the start, read back after a restart, can be
/// represented.
pub const EPOCH: Time = Time(1_000_000_000_000_000);

/// Converts between [`Time`] and Unix time. The wall clock is read only at the start of the process, so later jumps of the
/// wall clock have no effect.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start_ms: u64,
}

impl Clock {
    /// `start_ms` is the Unix time of [`EPOCH`] in milliseconds.
    pub fn new(start_ms: u64) -> Self {
        Clock { start_ms }
    }

    /// Converts to Unix time in milliseconds.
    pub fn to_unix_ms(self, at: Time) -> u64 {
        if at >= EPOCH {
            self.start_ms + (at - EPOCH).as_millis() as u64
        } else {
            self.start_ms.saturating_sub((EPOCH - at).as_millis() as u64)
        }
    }

    /// Converts from Unix time in milliseconds. Moments too early to be represented become `Time(0)`.
    pub fn from_unix_ms(self, ms: u64) -> Time {
        if ms >= self.start_ms {
            EPOCH + Duration::from_millis(ms - self.start_ms)
        } else {
            EPOCH - Duration::from_millis(self.start_ms - ms)
        }
    }
}

#[cfg(test)]
mod tests;
