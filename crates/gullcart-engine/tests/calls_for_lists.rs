//! Many couriers that call for the list at one moment: when each has it again after discovery is back, and what all of them
//! together ask meanwhile. In virtual time.

use gullcart_engine::{DiscoveryBackoff, ASSUMED_KNOWN_AFTER, DISCOVERY_CALL_TIMEOUT, WATCH_SILENCE_TIMEOUT};
use std::collections::VecDeque;
use std::time::Duration;

/// One call from every courier in this time; a call that would be answered later than `PATIENCE` is turned away, and still
/// costs as much as its answer would.
const ALL_CALL: f64 = 8.0;
const PATIENCE: f64 = 2.0;
const TURNED_AWAY: f64 = 0.1;
const GRACE: Duration = Duration::from_secs(2);
const SIZES: [usize; 5] = [1, 3, 100, 350, 1024];

/// What became of a stampede.
struct Stampede {
    /// Seconds until the last one has its watch again; none within two minutes.
    all: Option<f64>,
}

/// All lose their watch at zero; `wait` tells how long one waits before its next call, by its number and failures.
fn stampede(couriers: usize, mut wait: impl FnMut(usize, u32) -> Duration) -> Stampede {
    let each = ALL_CALL / couriers as f64;
    let mut next: Vec<Option<(f64, u32)>> =
        (0..couriers).map(|courier| Some((wait(courier, 0).as_secs_f64(), 1))).collect();
    // Work that lies before discovery, in seconds.
    let (mut work, mut at) = (0.0_f64, 0.0);
    loop {
        let due = (0..couriers).filter_map(|courier| next[courier].map(|(at, _)| (at, courier)));
        let Some((time, courier)) = due.min_by(|a, b| a.0.total_cmp(&b.0)) else {
            return Stampede { all: Some(at) };
        };
        if time > 120.0 {
            return Stampede { all: None };
        }
        work = (work - (time - at)).max(0.0);
        at = time;
        let Some((_, failures)) = next[courier] else { continue };
        if work + each > PATIENCE.max(each * 1.5) {
            work += each * TURNED_AWAY;
            next[courier] = Some((time + wait(courier, failures).as_secs_f64(), failures + 1));
        } else {
            work += each;
            next[courier] = None;
        }
    }
}

fn fleet(couriers: usize) -> Vec<DiscoveryBackoff> {
    (0..couriers).map(|seed| DiscoveryBackoff::new(couriers as u32, GRACE, seed as u64)).collect()
}

#[test]
fn all_have_their_watch_again_soon_where_discovery_is_short_of_work() {
    for couriers in [1, 3, 100, 200, 350] {
        let mut calls = fleet(couriers);
        let seen = stampede(couriers, |courier, failures| match failures {
            0 => calls[courier].delay_after_broken_watch(),
            _ => calls[courier].delay_after_failure(Duration::ZERO),
        });
        let all = seen.all.unwrap_or(f64::MAX);
        assert!(all < 60.0, "{couriers} couriers: {all} s");
    }
}

#[test]
fn a_fixed_short_wait_would_keep_discovery_busy_with_turning_away() {
    let seen = stampede(100, |_, _| Duration::from_millis(100));
    assert!(seen.all.is_none(), "the model does not know the failure that it is for");
}

/// What the agent of a courier has counts as told to it, asked or not, and a call to an endpoint that drains breaks a rule when
/// the grace that the settings allow is over. A fleet of 300 used to wait for up to 30 s, and then for 1.5 s whatever the grace.
#[test]
fn first_calls_of_a_common_start_are_spread_and_come_before_a_drain_must_be_kept() {
    for grace in [100, 250, 1000, 2000, 60_000].map(Duration::from_millis) {
        for couriers in [3, 30, 100, 300] {
            let of = |seed| DiscoveryBackoff::new(couriers, grace, u64::from(seed)).first_delay();
            let first: Vec<Duration> = (0..couriers).map(of).collect();
            let last = first.iter().max().unwrap();
            assert!(
                *last <= (grace * 3 / 4).min(Duration::from_millis(1500)),
                "{couriers}, {grace:?}: {last:?}"
            );
            let early = first.iter().filter(|time| **time < *last / 2).count() as u32;
            assert!(
                couriers < 30 || (couriers / 3..couriers * 2 / 3).contains(&early),
                "{couriers}: {first:?}"
            );
        }
    }
}

#[test]
fn all_have_their_watch_soon_after_a_common_start() {
    for couriers in [100, 300] {
        let mut calls = fleet(couriers);
        let seen = stampede(couriers, |courier, failures| match failures {
            0 => calls[courier].first_delay(),
            _ => calls[courier].delay_after_failure(Duration::ZERO),
        });
        let all = seen.all.unwrap_or(f64::MAX);
        assert!(all < 60.0, "{couriers} couriers: {all} s");
    }
}

#[test]
fn few_couriers_call_at_once_and_a_count_of_none_is_one() {
    assert_eq!(DiscoveryBackoff::new(1, GRACE, 1).first_delay(), Duration::ZERO);
    assert_eq!(DiscoveryBackoff::new(0, GRACE, 1).first_delay(), Duration::ZERO);
    let mut alone = DiscoveryBackoff::new(0, GRACE, 1);
    assert!((0..100).all(|_| alone.delay_after_failure(Duration::ZERO) <= Duration::from_millis(600)));
    let mut many = DiscoveryBackoff::new(u32::MAX, GRACE, 1);
    assert!((0..100).all(|_| many.delay_after_failure(Duration::ZERO) <= Duration::from_millis(2800)));
    assert!((0..100).all(|_| many.delay_after_failure(DISCOVERY_CALL_TIMEOUT) <= Duration::from_millis(800)));
}

#[test]
fn what_was_heard_ends_the_longer_waits() {
    let mut calls = DiscoveryBackoff::new(20, GRACE, 7);
    let waits: Vec<Duration> = (0..40).map(|_| calls.delay_after_failure(Duration::ZERO)).collect();
    assert!(waits.iter().max().unwrap() > &Duration::from_millis(2400), "{waits:?}");
    assert!(calls.delay_after_broken_watch() <= Duration::from_millis(600));
    assert!(calls.delay_after_failure(Duration::ZERO) < Duration::from_millis(1400));
}

/// How discovery fails a call while it cannot be reached.
#[derive(Clone, Copy, Debug)]
enum Failing {
    /// At once.
    Refused,
    /// Not until the call is given up.
    Hanging,
    /// Half of an answer comes, and nothing more until the call is given up.
    HalfAnswered,
    /// An open watch says nothing more.
    Silent,
}

impl Failing {
    fn takes(self) -> f64 {
        match self {
            Failing::Refused => 0.001,
            Failing::Hanging | Failing::HalfAnswered | Failing::Silent => {
                DISCOVERY_CALL_TIMEOUT.as_secs_f64()
            }
        }
    }
}

/// Longest time that an answer is on its way.
const ANSWER: f64 = 0.05;

/// What was seen of an outage of discovery.
struct Outage {
    /// Seconds from the moment at which a change could be had until the last courier had it.
    worst: f64,
    /// Most calls in a second, and in a tenth of one, beginning with the second second.
    calls: (usize, usize),
}

/// Discovery cannot be reached from zero on for so long. The first call of each that could be answered is lost all the same.
/// Each watch said its last word up to 2 s before: the worst has it right before, and finds the silence last. `wait` tells how
/// long one waits behind a call that took so long, or behind the watch.
fn outage(
    couriers: usize,
    lasts: f64,
    failing: Failing,
    wait: &mut dyn FnMut(usize, Option<f64>) -> f64,
) -> Outage {
    let mut all: Vec<f64> = Vec::new();
    let (mut worst, mut starts) = (0.0_f64, fastrand::Rng::with_seed(7));
    for courier in 0..couriers {
        let mut at = match failing {
            Failing::Silent => WATCH_SILENCE_TIMEOUT.as_secs_f64() - 2.0 * starts.f64(),
            _ => 0.0,
        };
        let (mut lost, mut took) = (false, None);
        loop {
            at += wait(courier, took);
            all.push(at);
            let takes = if at < lasts {
                // A call that hangs across the return is not answered any more.
                failing.takes()
            } else if !std::mem::replace(&mut lost, true) {
                DISCOVERY_CALL_TIMEOUT.as_secs_f64()
            } else {
                worst = worst.max(at + ANSWER - lasts);
                break;
            };
            at += takes;
            took = Some(takes);
        }
    }
    all.sort_by(f64::total_cmp);
    let most = |span: f64| {
        let (mut recent, mut most) = (VecDeque::new(), 0);
        for &time in all.iter().filter(|time| **time > 1.0) {
            recent.push_back(time);
            while recent.front().is_some_and(|old| *old <= time - span) {
                recent.pop_front();
            }
            most = most.max(recent.len());
        }
        most
    };
    Outage { worst, calls: (most(1.0), most(0.1)) }
}

/// A change counts as told 6 s after discovery had it and could be reached, whatever failed before, in a fleet of any size;
/// what all ask meanwhile stays a sum that is even.
#[test]
fn each_has_the_list_before_it_counts_as_told() {
    for couriers in SIZES {
        for failing in [Failing::Refused, Failing::Hanging, Failing::HalfAnswered, Failing::Silent] {
            let mut most = (0, 0);
            let mut worst = 0.0_f64;
            // A silence that has no end of its own: what it misses counts from its beginning.
            let spans: &[f64] = match failing {
                Failing::Silent => &[0.0],
                _ => &[1.0, 2.0, 3.0, 5.0, 8.0, 13.0, 20.0, 30.0, 45.0, 60.0],
            };
            for lasts in spans {
                for seed in 0..5 {
                    let mut calls: Vec<_> = (0..couriers)
                        .map(|n| DiscoveryBackoff::new(couriers as u32, GRACE, seed * 10_000 + n as u64))
                        .collect();
                    let seen = outage(couriers, *lasts, failing, &mut |courier, took| {
                        let wait = match took {
                            None => calls[courier].delay_after_broken_watch(),
                            Some(took) => calls[courier].delay_after_failure(Duration::from_secs_f64(took)),
                        };
                        wait.as_secs_f64()
                    });
                    worst = worst.max(seen.worst);
                    most = (most.0.max(seen.calls.0), most.1.max(seen.calls.1));
                }
            }
            println!(
                "{couriers:5} {failing:?}: worst {worst:.2} s, {most:?} calls in a second and in a tenth"
            );
            let told = ASSUMED_KNOWN_AFTER.as_secs_f64();
            assert!(worst < told - 0.2, "{couriers} couriers, {failing:?}: {worst:.2} s of {told}");
            // Even: a tenth of a second has no more than a few tenths of what a second has, but for chance.
            let (second, tenth) = (most.0 as f64, most.1 as f64);
            assert!(
                second <= 20.0 + 1.3 * couriers as f64,
                "{couriers} couriers, {failing:?}: {second} in a second"
            );
            assert!(
                tenth <= 6.0 + 0.3 * second,
                "{couriers} couriers, {failing:?}: {tenth} of {second} in a tenth"
            );
        }
    }
}
