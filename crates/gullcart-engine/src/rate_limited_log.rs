//! Bounds the rate of a log line.

use cloverstile::Time;
use std::time::Duration;

const GAP: Duration = Duration::from_secs(5);

/// Lets one of many like events through, and tells how many were held back since the last one.
#[derive(Debug, Default)]
pub struct RateLimitedLog {
    last: Option<Time>,
    held_back: u32,
}

impl RateLimitedLog {
    /// The number held back, if a line is due.
    pub fn due(&mut self, now: Time) -> Option<u32> {
        if self.last.is_some_and(|last| now < last + GAP) {
            self.held_back += 1;
            return None;
        }
        self.last = Some(now);
        Some(std::mem::take(&mut self.held_back))
    }
}
