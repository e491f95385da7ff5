//! Idle connections that all couriers together keep at one endpoint.

use super::AXIS;
use crate::fit::FitError;
use crate::record::{Measurement, Point};
use fastrand::Rng;
use gullcart_engine::IdleConnectionPolicy;

/// Calls of each courier in the mean, of which the first ones are not counted.
const CALLS_OF_EACH: u64 = 40;
const UNCOUNTED_OF_EACH: u64 = 10;
/// Calls at the least, for few couriers.
const LEAST_CALLS: u64 = 20_000;
const SEED: u64 = 9;

/// Measures how many connections are idle in the mean and at the most, where couriers call in turn by chance.
pub fn measure(sizes: &[u32]) -> Result<Vec<Measurement>, FitError> {
    let seen: Vec<(u32, f64, f64)> = sizes.iter().map(|couriers| connections(*couriers)).collect();
    let point = |size: u32, value: f64| Point { size: size.into(), value, samples: 1 };
    let mean = seen.iter().map(|(couriers, mean, _)| point(*couriers, *mean)).collect();
    let most = seen.iter().map(|(couriers, _, most)| point(*couriers, *most)).collect();
    Ok(vec![
        Measurement::new("idle connections at an endpoint, mean", "connections", AXIS, mean)?,
        Measurement::new("idle connections at an endpoint, most", "connections", AXIS, most)?,
    ])
}

/// The couriers, and how many connections were idle in the mean and at the most.
fn connections(couriers: u32) -> (u32, f64, f64) {
    let mut shares: Vec<(IdleConnectionPolicy, bool)> =
        (0..couriers).map(|number| (IdleConnectionPolicy::new(couriers, number.into()), false)).collect();
    let mut chance = Rng::with_seed(SEED);
    let calls = LEAST_CALLS.max(CALLS_OF_EACH * u64::from(couriers));
    let uncounted = UNCOUNTED_OF_EACH * u64::from(couriers);
    let mut held = 0_u64;
    let mut most = 0;
    let mut total = 0;
    for call in 0..calls {
        let caller = chance.usize(..shares.len());
        let (share, is_held) = &mut shares[caller];
        let keeps = share.should_keep();
        held = held + u64::from(keeps) - u64::from(*is_held);
        *is_held = keeps;
        if call >= uncounted {
            most = most.max(held);
            total += held;
        }
    }
    (couriers, total as f64 / (calls - uncounted) as f64, most as f64)
}
