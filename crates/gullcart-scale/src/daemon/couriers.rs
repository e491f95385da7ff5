//! What a daemon costs by the number of couriers that its settings tell it of, while discovery is down.

use super::bench::{Bench, Settings};
use super::collector::Collector;
use super::error::MeasureError;
use super::limits::Limits;
use super::partner::Behaviour;
use super::site::DeploymentSize;
use std::time::Duration;

const ENDPOINTS: usize = 100;
/// How long calls for the list are counted: some of the longest waits between two.
const COUNTED: Duration = Duration::from_secs(30);
/// By then the waits between two calls have grown to their full length.
const GROWN: Duration = Duration::from_secs(10);

/// Measures all sizes, from the smallest on.
pub fn measure(
    sizes: &[usize],
    settings: &Settings,
    limits: &Limits,
    progress: &mut dyn FnMut(&str),
) -> Result<Collector, MeasureError> {
    let mut collector = Collector::new("couriers told");
    collector.parameter("endpoints", ENDPOINTS);
    collector.parameter("seconds counted", COUNTED.as_secs());
    for size in sizes {
        progress(&format!("{size} couriers told"));
        if let Err(error) = measure_one(*size, settings, limits, &mut collector) {
            collector.not_reached("the rest", *size, error)?;
        }
    }
    Ok(collector)
}

fn measure_one(
    size: usize,
    settings: &Settings,
    limits: &Limits,
    collector: &mut Collector,
) -> Result<(), MeasureError> {
    let couriers = u32::try_from(size).map_err(|_| MeasureError::Sizes("so many couriers cannot be told"))?;
    let told = DeploymentSize { endpoints: ENDPOINTS, couriers };
    let mut bench = Bench::start(settings, limits, Behaviour::Deliver, told)?;
    collector.bytes("resident memory", size, bench.daemon.resident_bytes()?);
    bench.agent.turn_away();
    bench.wait(GROWN)?;
    let before = bench.agent.calls();
    bench.wait(COUNTED)?;
    let calls = bench.agent.calls() - before;
    let each = calls as f64 / COUNTED.as_secs_f64();
    collector.add("calls for the list of one courier", "per second", size, each, 1);
    collector.add("calls for the list of all couriers", "per second", size, each * size as f64, 1);
    Ok(())
}
