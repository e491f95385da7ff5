//! Many couriers that call discovery for the list of endpoints at the same moment, in virtual time: when each has the list
//! again after an outage of discovery, and how many calls all couriers make together.

use gullcart_engine::{DiscoveryBackoff, ASSUMED_KNOWN_AFTER, DISCOVERY_CALL_TIMEOUT, WATCH_SILENCE_TIMEOUT};
use std::collections::VecDeque;
use std::time::Duration;

/// Seconds that discovery needs to answer one call from every courier.
const WORK_OF_ALL_CALLS_S: f64 = 8.0;
/// Discovery rejects a call that it would answer later than after this many seconds.
const MAX_QUEUE_S: f64 = 2.0;
/// Work of rejecting a call, relative to the work of answering it.
const REJECTION_COST: f64 = 0.1;
const DRAIN_GRACE: Duration = Duration::from_secs(2);
const FLEET_SIZES: [usize; 5] = [1, 3, 100, 350, 1024];

/// Simulates couriers that all lose their watch at time zero, with an overloaded discovery. `delay` returns the delay before the
/// next call, by the courier's index and its number of failed calls. Returns the seconds until the last courier has its watch
/// again, or `None` if that takes more than two minutes.
fn seconds_until_all_watch(couriers: usize, mut delay: impl FnMut(usize, u32) -> Duration) -> Option<f64> {
    let work_per_call = WORK_OF_ALL_CALLS_S / couriers as f64;
    let mut next_calls: Vec<Option<(f64, u32)>> =
        (0..couriers).map(|courier| Some((delay(courier, 0).as_secs_f64(), 1))).collect();
    // Queued work of discovery, in seconds.
    let mut queue = 0.0_f64;
    let mut now = 0.0;
    loop {
        let due = (0..couriers).filter_map(|courier| next_calls[courier].map(|(at, _)| (at, courier)));
        let Some((time, courier)) = due.min_by(|a, b| a.0.total_cmp(&b.0)) else {
            return Some(now);
        };
        if time > 120.0 {
            return None;
        }
        queue = (queue - (time - now)).max(0.0);
        now = time;
        let Some((_, failures)) = next_calls[courier] else { continue };
        if queue + work_per_call > MAX_QUEUE_S.max(work_per_call * 1.5) {
            queue += work_per_call * REJECTION_COST;
            next_calls[courier] = Some((time + delay(courier, failures).as_secs_f64(), failures + 1));
        } else {
            queue += work_per_call;
            next_calls[courier] = None;
        }
    }
}

fn fleet(couriers: usize) -> Vec<DiscoveryBackoff> {
    (0..couriers).map(|seed| DiscoveryBackoff::new(couriers as u32, DRAIN_GRACE, seed as u64)).collect()
}

#[test]
fn all_couriers_have_their_watch_again_soon_with_an_overloaded_discovery() {
    for couriers in [1, 3, 100, 200, 350] {
        let mut backoffs = fleet(couriers);
        let seconds = seconds_until_all_watch(couriers, |courier, failures| match failures {
            0 => backoffs[courier].delay_after_broken_watch(),
            _ => backoffs[courier].delay_after_failure(Duration::ZERO),
        });
        let seconds = seconds.unwrap_or(f64::MAX);
        assert!(seconds < 60.0, "{couriers} couriers: {seconds} s");
    }
}

#[test]
fn a_short_fixed_delay_would_keep_discovery_busy_with_rejections() {
    let seconds = seconds_until_all_watch(100, |_, _| Duration::from_millis(100));
    assert!(seconds.is_none(), "the simulation does not show the failure that the backoff prevents");
}

/// Discovery assumes that a new courier knows the list from its start, so the first call must come before the grace period for
/// drains is over. Guards against delays by the number of couriers alone, which were up to 30 s for 300 couriers, and against a
/// bound of 1.5 s under a shorter grace period.
#[test]
fn first_calls_after_a_common_start_are_spread_within_the_drain_grace() {
    for grace in [100, 250, 1000, 2000, 60_000].map(Duration::from_millis) {
        for couriers in [3, 30, 100, 300] {
            let first_delay = |seed| DiscoveryBackoff::new(couriers, grace, u64::from(seed)).first_delay();
            let delays: Vec<Duration> = (0..couriers).map(first_delay).collect();
            let longest = delays.iter().max().unwrap();
            assert!(
                *longest <= (grace * 3 / 4).min(Duration::from_millis(1500)),
                "{couriers}, {grace:?}: {longest:?}"
            );
            let early = delays.iter().filter(|delay| **delay < *longest / 2).count() as u32;
            assert!(
                couriers < 30 || (couriers / 3..couriers * 2 / 3).contains(&early),
                "{couriers}: {delays:?}"
            );
        }
    }
}

#[test]
fn all_couriers_have_their_watch_soon_after_a_common_start() {
    for couriers in [100, 300] {
        let mut backoffs = fleet(couriers);
        let seconds = seconds_until_all_watch(couriers, |courier, failures| match failures {
            0 => backoffs[courier].first_delay(),
            _ => backoffs[courier].delay_after_failure(Duration::ZERO),
        });
        let seconds = seconds.unwrap_or(f64::MAX);
        assert!(seconds < 60.0, "{couriers} couriers: {seconds} s");
    }
}

#[test]
fn a_single_courier_calls_at_once_and_zero_couriers_count_as_one() {
    assert_eq!(DiscoveryBackoff::new(1, DRAIN_GRACE, 1).first_delay(), Duration::ZERO);
    assert_eq!(DiscoveryBackoff::new(0, DRAIN_GRACE, 1).first_delay(), Duration::ZERO);
    let mut single = DiscoveryBackoff::new(0, DRAIN_GRACE, 1);
    assert!((0..100).all(|_| single.delay_after_failure(Duration::ZERO) <= Duration::from_millis(600)));
    let mut one_of_many = DiscoveryBackoff::new(u32::MAX, DRAIN_GRACE, 1);
    assert!((0..100).all(|_| one_of_many.delay_after_failure(Duration::ZERO) <= Duration::from_millis(2800)));
    assert!((0..100)
        .all(|_| one_of_many.delay_after_failure(DISCOVERY_CALL_TIMEOUT) <= Duration::from_millis(800)));
}

#[test]
fn a_working_watch_resets_the_delays() {
    let mut backoff = DiscoveryBackoff::new(20, DRAIN_GRACE, 7);
    let delays: Vec<Duration> = (0..40).map(|_| backoff.delay_after_failure(Duration::ZERO)).collect();
    assert!(delays.iter().max().unwrap() > &Duration::from_millis(2400), "{delays:?}");
    assert!(backoff.delay_after_broken_watch() <= Duration::from_millis(600));
    assert!(backoff.delay_after_failure(Duration::ZERO) < Duration::from_millis(1400));
}

/// How calls fail while discovery is unreachable.
#[derive(Clone, Copy, Debug)]
enum FailureMode {
    /// The connection is refused at once.
    Refused,
    /// Nothing happens until the call times out.
    Hanging,
    /// Half of an answer arrives, and nothing more until the call times out.
    HalfAnswered,
    /// The open watch delivers nothing more.
    Silent,
}

impl FailureMode {
    /// Seconds until a call has failed.
    fn call_duration_s(self) -> f64 {
        match self {
            FailureMode::Refused => 0.001,
            FailureMode::Hanging | FailureMode::HalfAnswered | FailureMode::Silent => {
                DISCOVERY_CALL_TIMEOUT.as_secs_f64()
            }
        }
    }
}

/// Longest time from a call to its answer, in seconds.
const ANSWER_LATENCY_S: f64 = 0.05;

/// The result of a simulated outage of discovery.
struct OutageResult {
    /// Seconds from the end of the outage until the last courier had the list.
    max_delay_s: f64,
    /// Maximum number of calls within one second, from the second second on.
    max_calls_per_second: usize,
    /// Maximum number of calls within a tenth of a second, from the second second on.
    max_calls_per_tenth: usize,
}

/// Simulates an outage of discovery from time zero on. The first call of each courier after the outage is lost as well. The last
/// line of a silent watch came up to 2 s before the outage; the courier whose line came last detects the silence last. `delay`
/// returns a courier's delay after a failed call that took the given seconds, or after its watch broke if there was no call yet.
fn simulate_outage(
    couriers: usize,
    outage_s: f64,
    failure_mode: FailureMode,
    delay: &mut dyn FnMut(usize, Option<f64>) -> f64,
) -> OutageResult {
    let mut call_times: Vec<f64> = Vec::new();
    let mut max_delay_s = 0.0_f64;
    let mut rng = fastrand::Rng::with_seed(7);
    for courier in 0..couriers {
        let mut now = match failure_mode {
            FailureMode::Silent => WATCH_SILENCE_TIMEOUT.as_secs_f64() - 2.0 * rng.f64(),
            _ => 0.0,
        };
        let mut has_lost_call = false;
        let mut last_call_duration = None;
        loop {
            now += delay(courier, last_call_duration);
            call_times.push(now);
            let call_duration = if now < outage_s {
                // A call that hangs across the end of the outage is not answered either.
                failure_mode.call_duration_s()
            } else if !std::mem::replace(&mut has_lost_call, true) {
                DISCOVERY_CALL_TIMEOUT.as_secs_f64()
            } else {
                max_delay_s = max_delay_s.max(now + ANSWER_LATENCY_S - outage_s);
                break;
            };
            now += call_duration;
            last_call_duration = Some(call_duration);
        }
    }
    call_times.sort_by(f64::total_cmp);
    let max_calls_within = |span: f64| {
        let mut recent = VecDeque::new();
        let mut max_calls = 0;
        for &time in call_times.iter().filter(|time| **time > 1.0) {
            recent.push_back(time);
            while recent.front().is_some_and(|old| *old <= time - span) {
                recent.pop_front();
            }
            max_calls = max_calls.max(recent.len());
        }
        max_calls
    };
    OutageResult {
        max_delay_s,
        max_calls_per_second: max_calls_within(1.0),
        max_calls_per_tenth: max_calls_within(0.1),
    }
}

/// A change counts as known 6 s after discovery had it and was reachable, in a fleet of any size and whatever failed before.
/// Meanwhile the calls of all couriers are bounded and evenly spread.
#[test]
fn each_courier_has_the_list_before_it_counts_as_known() {
    for couriers in FLEET_SIZES {
        for failure_mode in
            [FailureMode::Refused, FailureMode::Hanging, FailureMode::HalfAnswered, FailureMode::Silent]
        {
            let mut max_delay_s = 0.0_f64;
            let mut max_calls_per_second = 0;
            let mut max_calls_per_tenth = 0;
            // While a watch is silent discovery is reachable, so a change counts from the beginning of the silence.
            let outages_s: &[f64] = match failure_mode {
                FailureMode::Silent => &[0.0],
                _ => &[1.0, 2.0, 3.0, 5.0, 8.0, 13.0, 20.0, 30.0, 45.0, 60.0],
            };
            for outage_s in outages_s {
                for seed in 0..5 {
                    let mut backoffs: Vec<_> = (0..couriers)
                        .map(|n| {
                            DiscoveryBackoff::new(couriers as u32, DRAIN_GRACE, seed * 10_000 + n as u64)
                        })
                        .collect();
                    let result = simulate_outage(couriers, *outage_s, failure_mode, &mut |courier, took| {
                        let delay = match took {
                            None => backoffs[courier].delay_after_broken_watch(),
                            Some(took) => {
                                backoffs[courier].delay_after_failure(Duration::from_secs_f64(took))
                            }
                        };
                        delay.as_secs_f64()
                    });
                    max_delay_s = max_delay_s.max(result.max_delay_s);
                    max_calls_per_second = max_calls_per_second.max(result.max_calls_per_second);
                    max_calls_per_tenth = max_calls_per_tenth.max(result.max_calls_per_tenth);
                }
            }
            println!(
                "{couriers:5} {failure_mode:?}: worst {max_delay_s:.2} s, at most {max_calls_per_second} calls in a \
                 second and {max_calls_per_tenth} in a tenth of a second"
            );
            let limit = ASSUMED_KNOWN_AFTER.as_secs_f64();
            assert!(
                max_delay_s < limit - 0.2,
                "{couriers} couriers, {failure_mode:?}: {max_delay_s:.2} s of {limit}"
            );
            // Evenly spread: apart from chance, a tenth of a second has no more than a few tenths of the calls of a second.
            let per_second = max_calls_per_second as f64;
            let per_tenth = max_calls_per_tenth as f64;
            assert!(
                per_second <= 20.0 + 1.3 * couriers as f64,
                "{couriers} couriers, {failure_mode:?}: {per_second} calls in a second"
            );
            assert!(
                per_tenth <= 6.0 + 0.3 * per_second,
                "{couriers} couriers, {failure_mode:?}: {per_tenth} of {per_second} calls in a tenth of a second"
            );
        }
    }
}
