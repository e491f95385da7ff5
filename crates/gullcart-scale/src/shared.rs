//! What each courier does toward something that all share, by the number of couriers. In virtual time: no socket, no
//! daemon.

mod crowd;
pub mod group;
pub mod idle;
pub mod lists;
mod partner;
pub mod trials;

use crate::fit::FitError;
use crate::record::Measurement;

/// The numbers of couriers that are measured.
pub const COURIERS: [u32; 5] = [10, 100, 350, 1_024, 11_000];
/// What the size counts.
pub const AXIS: &str = "couriers";

/// All measurements of this module, each record by its name.
pub fn all() -> Result<Vec<(&'static str, Vec<Measurement>)>, FitError> {
    Ok(vec![
        ("couriers-lists", lists::measure(&COURIERS)?),
        ("couriers-idle", idle::measure(&COURIERS)?),
        ("couriers-trials", trials::measure(&COURIERS)?),
        ("couriers-group", group::measure()?),
    ])
}

/// The middle one of some values.
fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

/// The most moments of a sorted row that lie within a span.
fn most_within(times: &[f64], span: f64) -> usize {
    let mut first = 0;
    let mut most = 0;
    for (place, time) in times.iter().enumerate() {
        while times[first] <= time - span {
            first += 1;
        }
        most = most.max(place + 1 - first);
    }
    most
}
