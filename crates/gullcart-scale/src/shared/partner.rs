//! A partner that is down, and comes back cold.

use cloverstile::{Outcome, Rules, Settings, Time};
use std::collections::VecDeque;
use std::time::Duration;

/// Calls a second that the partner takes while it is warm.
pub const CAPACITY: f64 = 100.0;
/// A call that cannot be taken ends after this.
const FAILS_AFTER: Duration = Duration::from_millis(20);
/// A call that is taken ends after this.
const SERVES_WITHIN: Duration = Duration::from_millis(200);
/// Seconds of its capacity that it can save up.
const SAVED_S: f64 = 0.5;

/// The partner.
pub struct Partner {
    rules: Rules,
    /// When it is back; none where it stays down.
    back: Option<Time>,
    /// Calls that it takes at once.
    room: f64,
    asked: Time,
    /// Calls since its return, within the time in which too many push it over.
    recent: VecDeque<Time>,
    /// The most of them, as a part of what it survives.
    pub worst: f64,
}

impl Partner {
    /// One that is down until some time.
    pub fn new(settings: &Settings, back: Option<Time>) -> Self {
        let asked = back.unwrap_or(Time::ZERO);
        Partner { rules: settings.rules.clone(), back, room: 1.0, asked, recent: VecDeque::new(), worst: 0.0 }
    }

    /// What becomes of a call, and after which time.
    pub fn call(&mut self, now: Time) -> (Outcome, Duration) {
        let Some(back) = self.back.filter(|back| *back <= now) else {
            return (Outcome::ConnectFailed, FAILS_AFTER);
        };
        let capacity = self.capacity(now - back);
        self.note(now, capacity);
        let saved = capacity * (now - self.asked).as_secs_f64();
        self.asked = now;
        self.room = (self.room + saved).min(capacity * SAVED_S + 1.0);
        if self.room < 1.0 {
            return (Outcome::Rejected(None), FAILS_AFTER);
        }
        self.room -= 1.0;
        (Outcome::Ok, SERVES_WITHIN)
    }

    /// Calls a second so long after the return.
    fn capacity(&self, since: Duration) -> f64 {
        let warmth = (since.as_secs_f64() / self.rules.warm_up.as_secs_f64()).min(1.0);
        CAPACITY * (self.rules.cold_capacity_share + (1.0 - self.rules.cold_capacity_share) * warmth)
    }

    fn note(&mut self, now: Time, capacity: f64) {
        self.recent.push_back(now);
        while self.recent.front().is_some_and(|old| now - *old >= self.rules.collapse_window) {
            self.recent.pop_front();
        }
        let survives = self.rules.collapse_multiple * capacity * self.rules.collapse_window.as_secs_f64();
        self.worst = self.worst.max(self.recent.len() as f64 / survives);
    }
}
