//! Calls with which couriers try a partner that is down, and what its return is like for it and for them, where each
//! courier has messages for it and goes by itself.

use super::crowd::{Crowd, START};
use super::{median, AXIS};
use crate::fit::FitError;
use crate::record::{Measurement, Point};
use cloverstile::Time;
use std::time::Duration;

/// Nothing is counted before the couriers know of the outage: this, and more for each courier, as each tries the more seldom
/// the more there are ...
const SETTLED: Duration = Duration::from_secs(10);
const SETTLED_EACH: Duration = Duration::from_millis(50);
/// ... and the rate is that of as long a time, and this, from there on.
const COUNTED: Duration = Duration::from_secs(20);
/// The partner is watched so long after its return, and more for each courier: it takes a hundred calls a second.
const RETURNS: Duration = Duration::from_secs(60);
const RETURNS_EACH: Duration = Duration::from_millis(100);

const SEEDS: u64 = 3;

/// What one outage showed.
struct Seen {
    trials_a_second: f64,
    /// Of what the partner survives.
    worst_of_return: f64,
    /// Until the middle one of the couriers had a message delivered.
    middle_s: f64,
    /// Until the last one had, of those that had.
    last_s: f64,
    /// Couriers that had none in the time that was watched.
    without: f64,
}

/// How the value of several seeds is come by.
type Summary = fn(Vec<f64>) -> f64;

/// Measures trials, and the return behind them.
pub fn measure(sizes: &[u32]) -> Result<Vec<Measurement>, FitError> {
    let played = |couriers: &u32| (*couriers, (0..SEEDS).map(|seed| outage(*couriers, seed)).collect());
    let seen: Vec<(u32, Vec<Seen>)> = sizes.iter().map(played).collect();
    let quantity = |name: &str, unit: &str, summary: Summary, value: fn(&Seen) -> f64| {
        let point = |(couriers, outages): &(u32, Vec<Seen>)| {
            let value = summary(outages.iter().map(value).collect());
            Point { size: (*couriers).into(), value, samples: SEEDS as u32 }
        };
        // What did not come about has no value.
        let points = seen.iter().map(point).filter(|point| point.value.is_finite());
        Measurement::new(name, unit, AXIS, points.collect())
    };
    Ok(vec![
        quantity("trial calls a second at a partner that is down", "calls a second", median, |of| {
            of.trials_a_second
        })?,
        quantity("most calls of a return, of what the partner survives", "parts", largest, |of| {
            of.worst_of_return
        })?,
        quantity("time from a return until the middle courier has delivered", "s", median, |of| of.middle_s)?,
        quantity("time from a return until the last courier has delivered", "s", largest, |of| of.last_s)?,
        quantity("couriers that delivered nothing in the time watched", "couriers", largest, |of| {
            of.without
        })?,
    ])
}

fn largest(values: Vec<f64>) -> f64 {
    values.into_iter().fold(f64::MIN, f64::max)
}

fn outage(couriers: u32, seed: u64) -> Seen {
    let settled = SETTLED + SETTLED_EACH * couriers;
    let from = START + settled;
    let span = settled + COUNTED;
    let back = from + span;
    let mut crowd = Crowd::new(couriers, seed, Some(back));
    crowd.play(back);
    let counted = crowd.calls.iter().filter(|at| **at >= from).count();
    crowd.play(back + RETURNS + RETURNS_EACH * couriers);
    let delivered = &crowd.first_deliveries;
    let since = |at: Option<&Time>| at.map_or(f64::NAN, |at| (*at - back).as_secs_f64());
    Seen {
        trials_a_second: counted as f64 / span.as_secs_f64(),
        worst_of_return: crowd.partner.worst,
        middle_s: since(delivered.get(couriers as usize / 2)),
        last_s: since(delivered.last()),
        without: f64::from(couriers) - delivered.len() as f64,
    }
}
