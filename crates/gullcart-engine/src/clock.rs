//! Conversion between the process's own time and Unix time.

use cloverstile::Time;
use std::time::Duration;

/// The process's own [`Time`] at its start. It is large, so that moments before the start, which a restarted process reads from
/// the journal, can be represented.
pub const PROCESS_START: Time = Time(1_000_000_000_000_000);

/// Converts between [`Time`] and Unix time. The wall clock is read only at the start of the process, so later jumps of the
/// wall clock have no effect.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start_unix_ms: u64,
}

impl Clock {
    /// `start_unix_ms` is the Unix time of [`PROCESS_START`] in milliseconds.
    pub fn new(start_unix_ms: u64) -> Self {
        Clock { start_unix_ms }
    }

    /// Converts to Unix time in milliseconds.
    pub fn to_unix_ms(self, at: Time) -> u64 {
        if at >= PROCESS_START {
            self.start_unix_ms + (at - PROCESS_START).as_millis() as u64
        } else {
            self.start_unix_ms.saturating_sub((PROCESS_START - at).as_millis() as u64)
        }
    }

    /// Converts from Unix time in milliseconds. Moments too early to be represented become `Time(0)`.
    pub fn from_unix_ms(self, ms: u64) -> Time {
        if ms >= self.start_unix_ms {
            PROCESS_START + Duration::from_millis(ms - self.start_unix_ms)
        } else {
            PROCESS_START - Duration::from_millis(self.start_unix_ms - ms)
        }
    }
}

#[cfg(test)]
mod tests;
