//! Limits the rate of a repeated log line.

use cloverstile::Time;
use std::time::Duration;

/// Minimum time between two lines.
const MIN_INTERVAL: Duration = Duration::from_secs(5);

/// Decides which events of one kind are logged: at most one per interval. Counts the events in between, so that the next line can
/// report their number.
#[derive(Debug, Default)]
pub struct RateLimitedLog {
    last: Option<Time>,
    suppressed: u32,
}

impl RateLimitedLog {
    /// If a line may be logged now, returns how many were suppressed since the previous one.
    pub fn due(&mut self, now: Time) -> Option<u32> {
        if self.last.is_some_and(|last| now < last + MIN_INTERVAL) {
            self.suppressed += 1;
            return None;
        }
        self.last = Some(now);
        Some(std::mem::take(&mut self.suppressed))
    }
}
