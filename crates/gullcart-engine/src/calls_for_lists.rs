//! When a courier calls for the list of endpoints. No socket and no clock.
//!
//! One courier that asks ten times a second harms nobody. A hundred that lost their watch at one moment, and that ask
//! ten times a second each, keep discovery turning all of them away for good: nobody ever hears of the list again, and
//! calls go on to endpoints that are gone. So the calls of all couriers together are bounded, whatever their number,
//! they are spread by chance, and their number falls by half with each that fails.

use fastrand::Rng;
use std::time::Duration;

/// What each courier of a fleet adds to the time between two calls of one of them: together they make 20 calls a second
/// at first, as two alone do.
const EACH: Duration = Duration::from_millis(50);
/// Shortest mean time between two calls.
const LEAST: Duration = Duration::from_millis(100);
/// The mean time doubles with each failure so many times: five calls a second over the fleet are left then ...
const DOUBLINGS: u32 = 2;
/// ... or one from each courier in this time, as discovery takes them at any size of the fleet.
const LONGEST: Duration = Duration::from_secs(16);
/// Longest wait before the first call of a process. What the agent on its machine has counts as told to it from then on,
/// asked or not, and calls to an endpoint that drains break a rule 2 s later: the rest is for the answer and for what is
/// on its way.
const LONGEST_FIRST: Duration = Duration::from_millis(1500);
/// Chance may shorten and lengthen a wait by this part of its mean.
const CHANCE: f64 = 0.5;

/// The calls of one courier among others like it.
#[derive(Debug)]
pub struct CallsForLists {
    mean: Duration,
    failures: u32,
    rng: Rng,
}

impl CallsForLists {
    /// For a courier of so many; none counts as one. `seed` must not be that of another courier.
    pub fn new(couriers: u32, seed: u64) -> Self {
        let mean = EACH.saturating_mul(couriers.max(1)).clamp(LEAST, LONGEST);
        CallsForLists { mean, failures: 0, rng: Rng::with_seed(seed) }
    }

    /// How long to wait before the first call of a process: couriers are often started together. One that has others beside
    /// it waits up to twice the mean time, but never so long that a drain which it missed comes to count as told; it has the
    /// list that came with its start.
    pub fn first(&mut self) -> Duration {
        if self.mean == LEAST {
            return Duration::ZERO;
        }
        (self.mean * 2).min(LONGEST_FIRST).mul_f64(self.rng.f64())
    }

    /// How long to wait after a call that failed or a watch that broke.
    pub fn after_failure(&mut self) -> Duration {
        let mean = (self.mean * (1 << self.failures.min(DOUBLINGS))).min(LONGEST);
        self.failures = self.failures.saturating_add(1);
        mean.mul_f64(1.0 - CHANCE + 2.0 * CHANCE * self.rng.f64())
    }

    /// The watch has told something, if only that it lasts.
    pub fn is_heard(&mut self) {
        self.failures = 0;
    }
}
