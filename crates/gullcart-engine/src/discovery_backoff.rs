//! When a courier calls for the list of endpoints. No socket and no clock.
//!
//! One courier that asks ten times a second harms nobody. A hundred that lost their watch at one moment, and that ask
//! ten times a second each, keep discovery turning all of them away for good: nobody ever hears of the list again, and
//! calls go on to endpoints that are gone. So the calls of all couriers together are bounded as far as that can be, they
//! are spread by chance, and their number falls with those that fail.
//!
//! What bounds the bound: a change counts as told [`TOLD`] after discovery had it and could be reached, whatever failed
//! before, and a watch that fell silent is found by the courier's own clock. So no wait is longer than one that leaves time
//! for one more call that is lost, in a fleet of any size.

use fastrand::Rng;
use std::time::Duration;

/// What discovery has counts as told to a courier after this time, whether or not it asked.
pub const ASSUMED_KNOWN_AFTER: Duration = Duration::from_secs(6);
/// All of a call, from its connection to the head of its answer, or to the whole list. A discovery that is short of work
/// answers late, up to 2 s, and one that is given up costs it as much as one that is answered.
pub const DISCOVERY_CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The watch has an empty line every 2 s: one that brings no whole line for this long has fallen silent.
pub const WATCH_SILENCE_TIMEOUT: Duration = Duration::from_millis(2600);

/// What each courier of a fleet adds to the time between two calls of one of them: together they make 20 calls a second
/// at first, as two alone do.
const EACH: Duration = Duration::from_millis(50);
/// Shortest mean time between two calls.
const LEAST: Duration = Duration::from_millis(100);
/// The mean time doubles with each failure so many times.
const DOUBLINGS: u32 = 2;
/// Longest wait after a watch broke, ...
const LONGEST_BROKEN: Duration = Duration::from_millis(600);
/// ... and longest time from the beginning of a call that failed to that of the next one: after a broken watch, and later. A watch
/// that fell silent right behind an empty line takes [`SILENCE`], the wait behind it, the first of these for a call that is lost,
/// and an answer; a return of discovery takes the second of these twice, for a call that hangs across it and one that is lost,
/// and an answer. Both end before [`TOLD`].
const LONGEST: [Duration; 2] = [Duration::from_millis(2400), Duration::from_millis(2800)];
/// Longest wait behind a call that took all its time.
const SHORT: Duration = Duration::from_millis(300);
/// Longest wait before the first call of a process, ...
const LONGEST_FIRST: Duration = Duration::from_millis(1500);
/// ... and as a part of the grace for drains. What the agent on its machine has counts as told to it from its first moment on,
/// asked or not, and a call to an endpoint that drains breaks a rule that grace later: the rest is for the start itself, for
/// the answer and for what is on its way.
const FIRST_OF_GRACE: f64 = 0.75;
/// Shortest time, as a part of the longest one: the rest is chance.
const LEAST_PART: f64 = 0.5;

/// The calls of one courier among others like it.
#[derive(Debug)]
pub struct DiscoveryBackoff {
    mean: Duration,
    longest_first: Duration,
    failures: u32,
    rng: Rng,
}

impl DiscoveryBackoff {
    /// For a courier of so many; none counts as one. `drain_grace` is how long after a drain was told new work may go to its
    /// endpoint; `seed` must not be that of another courier.
    pub fn new(couriers: u32, drain_grace: Duration, seed: u64) -> Self {
        let mean = EACH.saturating_mul(couriers.max(1)).clamp(LEAST, ASSUMED_KNOWN_AFTER);
        let longest_first = LONGEST_FIRST.min(drain_grace.mul_f64(FIRST_OF_GRACE));
        DiscoveryBackoff { mean, longest_first, failures: 0, rng: Rng::with_seed(seed) }
    }

    /// How long to wait before the first call of a process: couriers are often started together. One that has others beside
    /// it waits up to twice the mean time, but never so long that a drain which it missed comes to count as told; it has the
    /// list that came with its start.
    pub fn first_delay(&mut self) -> Duration {
        if self.mean == LEAST {
            return Duration::ZERO;
        }
        (self.mean * 2).min(self.longest_first).mul_f64(self.rng.f64())
    }

    /// How long to wait after a watch that broke.
    pub fn delay_after_broken_watch(&mut self) -> Duration {
        self.failures = 0;
        (self.mean * 2).min(LONGEST_BROKEN).mul_f64(self.rng.f64())
    }

    /// How long to wait after a call that failed, which took so long.
    pub fn delay_after_failure(&mut self, took: Duration) -> Duration {
        let mean = self.mean * (1 << self.failures.min(DOUBLINGS));
        let bound = LONGEST[(self.failures as usize).min(LONGEST.len() - 1)];
        // Chance takes as much below the mean as above it.
        let longest = mean.mul_f64(2.0 / (1.0 + LEAST_PART)).min(bound);
        self.failures = self.failures.saturating_add(1);
        let gap = longest.mul_f64(LEAST_PART + (1.0 - LEAST_PART) * self.rng.f64());
        let short = longest.min(SHORT).mul_f64(self.rng.f64());
        gap.saturating_sub(took).max(short)
    }
}
