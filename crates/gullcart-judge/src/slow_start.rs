//! The slow start of a partner after an outage: how many calls it can take, and when it collapses under them.
//!
//! The calls that arrive within any `collapse_window` must stay below `collapse_multiple` x present capacity x
//! `collapse_window`. Some slack is added, as arrivals are discrete and vary by chance.
//!
//! A courier is informed if it saw a call to the partner fail during the outage.

use crate::trace::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// A partner in slow start. Its capacity grows linearly from `cold_capacity_share` at `since` to 1 at `warm_at`.
#[derive(Clone, Debug)]
pub struct SlowStart {
    since: Timestamp,
    warm_at: Timestamp,
    /// Full capacity, in calls a second.
    capacity: f64,
    /// Share of the full capacity at the start.
    cold_capacity_share: f64,
    collapse_multiple: f64,
    collapse_window: Duration,
    /// The calls within the last window: when each arrived, and whether its courier was informed.
    recent_calls: VecDeque<(Timestamp, bool)>,
}

/// The collapse of a partner under too many calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Collapse {
    /// Calls in the window.
    pub calls: usize,
    /// The maximum of calls for the window, slack included.
    pub max_calls: f64,
    /// The share of the calls that came from informed couriers.
    pub informed_share: f64,
}

impl SlowStart {
    /// A partner that comes back at `since` with `cold_capacity_share` of its `capacity` (calls a second), and has all
    /// of it at `warm_at`.
    pub fn new(
        since: Timestamp,
        warm_at: Timestamp,
        capacity: f64,
        cold_capacity_share: f64,
        collapse_multiple: f64,
        collapse_window: Duration,
    ) -> Self {
        SlowStart {
            since,
            warm_at,
            capacity,
            cold_capacity_share,
            collapse_multiple,
            collapse_window,
            recent_calls: VecDeque::new(),
        }
    }

    /// Whether the partner has its full capacity again.
    pub fn is_warm(&self, now: Timestamp) -> bool {
        now >= self.warm_at
    }

    /// The share of its full capacity that the partner has now.
    pub fn capacity_share(&self, now: Timestamp) -> f64 {
        let total = (self.warm_at - self.since).as_secs_f64();
        if total == 0.0 || self.is_warm(now) {
            return 1.0;
        }
        self.cold_capacity_share + (1.0 - self.cold_capacity_share) * (now - self.since).as_secs_f64() / total
    }

    /// The maximum of calls for the window that ends now, slack included.
    pub fn max_calls(&self, now: Timestamp) -> f64 {
        let window_seconds = self.collapse_window.as_secs_f64();
        let limit = self.collapse_multiple * self.capacity_share(now) * self.capacity * window_seconds;
        limit + 1.0 + limit.sqrt()
    }

    /// Counts a call that reaches the partner, whatever its answer. Returns the collapse if the call causes one.
    pub fn record_call(&mut self, now: Timestamp, is_informed: bool) -> Option<Collapse> {
        if self.is_warm(now) {
            self.recent_calls.clear();
            return None;
        }
        while self.recent_calls.front().is_some_and(|(at, _)| now - *at >= self.collapse_window) {
            self.recent_calls.pop_front();
        }
        self.recent_calls.push_back((now, is_informed));
        let calls = self.recent_calls.len();
        let max_calls = self.max_calls(now);
        let informed = self.recent_calls.iter().filter(|(_, is_informed)| *is_informed).count();
        let informed_share = informed as f64 / calls as f64;
        (calls as f64 > max_calls).then_some(Collapse { calls, max_calls, informed_share })
    }
}
