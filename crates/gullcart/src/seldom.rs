//! Bounds the rate of a log line.

use std::time::{Duration, Instant};

const GAP: Duration = Duration::from_secs(5);

/// Lets one of many like events through, and tells how many were held back since the last one.
#[derive(Default)]
pub struct Seldom {
    last: Option<Instant>,
    held_back: u32,
}

impl Seldom {
    /// The number held back, if a line is due.
    pub fn due(&mut self) -> Option<u32> {
        if self.last.is_some_and(|last| last.elapsed() < GAP) {
            self.held_back += 1;
            return None;
        }
        self.last = Some(Instant::now());
        Some(std::mem::take(&mut self.held_back))
    }
}
