//! When a courier calls discovery for the list of endpoints. No I/O and no clock.
//!
//! One courier that calls ten times a second does no harm. But if a hundred lose their watch at the same moment and each calls
//! ten times a second, discovery is permanently busy rejecting calls: no courier gets the list, and messages go on to
//! endpoints that no longer exist. Therefore the delays grow with the number of couriers, to bound the total rate of calls;
//! they are random; and they grow with consecutive failures.
//!
//! The delays are bounded, in a fleet of any size, by a rule of discovery: [`ASSUMED_KNOWN_AFTER`] after discovery has a change of
//! the list and is reachable, it assumes that every courier acts on the change. Within this time a courier has to get the list even
//! if its first call after an outage of discovery is lost. It detects a watch that fell silent by its own clock.

use fastrand::Rng;
use std::time::Duration;

/// After this time discovery assumes that a courier knows a change of the list, whether or not the courier asked for it.
pub const ASSUMED_KNOWN_AFTER: Duration = Duration::from_secs(6);
/// Timeout of a call to discovery, from connecting until the head of the answer, or until the whole list. An overloaded
/// discovery takes up to 2 s to answer, and a call that is abandoned costs it as much as one that is answered.
pub const DISCOVERY_CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// A watch that delivers no complete line for this long is considered dead. Discovery sends an empty line every 2 s.
pub const WATCH_SILENCE_TIMEOUT: Duration = Duration::from_millis(2600);

/// The mean interval between two calls of one courier, before any doubling, is this value times the number of couriers. All
/// couriers together then make 20 calls a second.
const MEAN_INTERVAL_PER_COURIER: Duration = Duration::from_millis(50);
/// Lower bound of the mean interval between two calls.
const MIN_MEAN_INTERVAL: Duration = Duration::from_millis(100);
/// The mean interval doubles with each consecutive failure, at most this many times.
const MAX_DOUBLINGS: u32 = 2;

// The following bounds keep the time until a courier has the list below ASSUMED_KNOWN_AFTER:
// - If a watch falls silent right after an empty line, it takes WATCH_SILENCE_TIMEOUT, MAX_DELAY_AFTER_BROKEN_WATCH,
//   MAX_INTERVAL_AFTER_FIRST_FAILURE for a call that is lost, and the time of an answer.
// - If discovery becomes reachable again after an outage, it takes MAX_INTERVAL_AFTER_LATER_FAILURES twice, for a call that hangs
//   across that moment and for a call that is lost, and the time of an answer.

/// Upper bound of the delay after a watch broke.
const MAX_DELAY_AFTER_BROKEN_WATCH: Duration = Duration::from_millis(600);
/// Upper bound of the interval from the start of the first call that failed in a row to the start of the next one.
const MAX_INTERVAL_AFTER_FIRST_FAILURE: Duration = Duration::from_millis(2400);
/// The same bound after further failures in a row.
const MAX_INTERVAL_AFTER_LATER_FAILURES: Duration = Duration::from_millis(2800);

/// Upper bound of the random delay after a failed call that took up the whole interval.
const MAX_DELAY_AFTER_LONG_CALL: Duration = Duration::from_millis(300);
/// Upper bound of the delay before the first call of a process.
const MAX_FIRST_DELAY: Duration = Duration::from_millis(1500);
/// Upper bound of the delay before the first call, as a fraction of the grace period for drains. Discovery assumes that a new
/// process knows the list from its start, and no call may be sent to a draining endpoint after the grace period. A quarter of the
/// period remains for starting the process, for discovery's answer and for calls on their way.
const MAX_FIRST_DELAY_GRACE_FRACTION: f64 = 0.75;
/// Lower bound of a random interval, as a fraction of its upper bound.
const MIN_INTERVAL_FRACTION: f64 = 0.5;

/// Chooses one courier's delays between calls to discovery.
#[derive(Debug)]
pub struct DiscoveryBackoff {
    mean_interval: Duration,
    max_first_delay: Duration,
    consecutive_failures: u32,
    rng: Rng,
}

impl DiscoveryBackoff {
    /// For one of `couriers` couriers; zero counts as one. `drain_grace` is how long an endpoint may still get new work after
    /// the list reports that it drains. `seed` must differ between couriers.
    pub fn new(couriers: u32, drain_grace: Duration, seed: u64) -> Self {
        let mean_interval = MEAN_INTERVAL_PER_COURIER
            .saturating_mul(couriers.max(1))
            .clamp(MIN_MEAN_INTERVAL, ASSUMED_KNOWN_AFTER);
        let max_first_delay = MAX_FIRST_DELAY.min(drain_grace.mul_f64(MAX_FIRST_DELAY_GRACE_FRACTION));
        DiscoveryBackoff {
            mean_interval,
            max_first_delay,
            consecutive_failures: 0,
            rng: Rng::with_seed(seed),
        }
    }

    /// Delay before the first call of a process. Couriers are often started together, so in a fleet it is random, up to twice
    /// the mean interval, but short enough that a drain missed before the start is learnt within the grace period. Until then
    /// the courier uses the list that it was started with.
    pub fn first_delay(&mut self) -> Duration {
        if self.mean_interval == MIN_MEAN_INTERVAL {
            return Duration::ZERO;
        }
        (self.mean_interval * 2).min(self.max_first_delay).mul_f64(self.rng.f64())
    }

    /// Delay before the next call after a working watch broke. Resets the count of failures.
    pub fn delay_after_broken_watch(&mut self) -> Duration {
        self.consecutive_failures = 0;
        (self.mean_interval * 2).min(MAX_DELAY_AFTER_BROKEN_WATCH).mul_f64(self.rng.f64())
    }

    /// Delay before the next call after one that failed and took the time `took`.
    pub fn delay_after_failure(&mut self, took: Duration) -> Duration {
        let mean = self.mean_interval * (1 << self.consecutive_failures.min(MAX_DOUBLINGS));
        let bound = match self.consecutive_failures {
            0 => MAX_INTERVAL_AFTER_FIRST_FAILURE,
            _ => MAX_INTERVAL_AFTER_LATER_FAILURES,
        };
        // The interval is uniform between the fraction and the whole of `max_interval`, which puts its mean at `mean`.
        let max_interval = mean.mul_f64(2.0 / (1.0 + MIN_INTERVAL_FRACTION)).min(bound);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        let interval =
            max_interval.mul_f64(MIN_INTERVAL_FRACTION + (1.0 - MIN_INTERVAL_FRACTION) * self.rng.f64());
        let min_delay = max_interval.min(MAX_DELAY_AFTER_LONG_CALL).mul_f64(self.rng.f64());
        interval.saturating_sub(took).max(min_delay)
    }
}
