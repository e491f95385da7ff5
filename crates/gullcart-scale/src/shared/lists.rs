//! Calls for the list of endpoints: how many all couriers make in a second, and when the last one has the list.

use super::{median, most_within, AXIS};
use crate::fit::FitError;
use crate::record::{Measurement, Point};
use gullcart_engine::{DiscoveryBackoff, DISCOVERY_CALL_TIMEOUT};
use std::time::Duration;

/// How long discovery cannot be reached.
const OUTAGE_S: f64 = 30.0;
/// An answer takes at most so long.
const ANSWER_S: f64 = 0.05;
/// A refused call takes so long.
const REFUSED_S: f64 = 0.001;
/// Drains bind after this.
const GRACE: Duration = Duration::from_secs(2);
/// The first second of an outage is not yet the steady state.
const SETTLED_S: f64 = 1.0;
const SEEDS: u64 = 5;
/// Between two seeds of a fleet.
const SEED_STEP: u64 = 1_000_000;

/// What one outage of discovery showed.
struct Outage {
    calls_a_second: f64,
    longest_s: f64,
}

/// Measures calls in an outage, the delay behind it, and calls of a common start.
pub fn measure(sizes: &[u32]) -> Result<Vec<Measurement>, FitError> {
    let mut calls = Vec::new();
    let mut delays = Vec::new();
    let mut first = Vec::new();
    for couriers in sizes {
        let outages: Vec<Outage> = (0..SEEDS).flat_map(|seed| both_outages(*couriers, seed)).collect();
        let most = outages.iter().map(|outage| outage.calls_a_second).fold(0.0, f64::max);
        let longest = outages.iter().map(|outage| outage.longest_s).fold(0.0, f64::max);
        let starts = median((0..SEEDS).map(|seed| common_start(*couriers, seed)).collect());
        calls.push(point(*couriers, most));
        delays.push(point(*couriers, longest));
        first.push(point(*couriers, starts));
    }
    Ok(vec![
        Measurement::new("calls a second in an outage of discovery", "calls a second", AXIS, calls)?,
        Measurement::new("longest time until the last has the list", "s", AXIS, delays)?,
        Measurement::new("calls in the worst second of a common start", "calls a second", AXIS, first)?,
    ])
}

fn point(couriers: u32, value: f64) -> Point {
    Point { size: couriers.into(), value, samples: SEEDS as u32 }
}

fn fleet(couriers: u32, seed: u64) -> impl Iterator<Item = DiscoveryBackoff> {
    (0..couriers)
        .map(move |number| DiscoveryBackoff::new(couriers, GRACE, seed * SEED_STEP + u64::from(number)))
}

/// An outage that refuses calls, and one that lets them hang.
fn both_outages(couriers: u32, seed: u64) -> [Outage; 2] {
    [REFUSED_S, DISCOVERY_CALL_TIMEOUT.as_secs_f64()].map(|call_takes| outage(couriers, seed, call_takes))
}

/// Discovery cannot be reached from zero on, and the first call that each could have answered is lost as well.
fn outage(couriers: u32, seed: u64, call_takes: f64) -> Outage {
    let mut times = Vec::new();
    let mut longest_s = 0.0_f64;
    for mut calls in fleet(couriers, seed) {
        let mut at = calls.delay_after_broken_watch().as_secs_f64();
        while at < OUTAGE_S {
            times.push(at);
            at += call_takes + calls.delay_after_failure(Duration::from_secs_f64(call_takes)).as_secs_f64();
        }
        times.push(at);
        at += DISCOVERY_CALL_TIMEOUT.as_secs_f64()
            + calls.delay_after_failure(DISCOVERY_CALL_TIMEOUT).as_secs_f64();
        times.push(at);
        longest_s = longest_s.max(at + ANSWER_S - OUTAGE_S);
    }
    times.retain(|time| *time > SETTLED_S);
    times.sort_by(f64::total_cmp);
    Outage { calls_a_second: most_within(&times, 1.0) as f64, longest_s }
}

fn common_start(couriers: u32, seed: u64) -> f64 {
    let mut times: Vec<f64> =
        fleet(couriers, seed).map(|mut calls| calls.first_delay().as_secs_f64()).collect();
    times.sort_by(f64::total_cmp);
    most_within(&times, 1.0) as f64
}
