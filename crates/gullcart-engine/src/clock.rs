//! The module's time, and wall time for what crosses processes.

use cloverstile::Time;
use std::time::Duration;

/// The module's time at the start of a process; times before the start are told to it after a restart.
pub const EPOCH: Time = Time(1_000_000_000_000_000);

/// Turns one into the other. Wall time is looked at once, at the start: a clock that jumps later on changes nothing.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start_ms: u64,
}

impl Clock {
    /// For a process that started at that Unix time, in milliseconds, which is [`EPOCH`].
    pub fn new(start_ms: u64) -> Self {
        Clock { start_ms }
    }

    /// Unix milliseconds.
    pub fn to_unix_ms(self, at: Time) -> u64 {
        if at >= EPOCH {
            self.start_ms + (at - EPOCH).as_millis() as u64
        } else {
            self.start_ms.saturating_sub((EPOCH - at).as_millis() as u64)
        }
    }

    /// What a Unix time is to the module; what lies further back than its beginning is its beginning.
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
