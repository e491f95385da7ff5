//! What a daemon costs by the number of endpoints that it is told of.

use super::bench::{Bench, Settings};
use super::collector::{Collector, Sampled};
use super::error::MeasureError;
use super::limits::Limits;
use super::partner::Behaviour;
use super::site::{Deployment, DeploymentSize, EndpointState};
use std::time::Duration;

/// The name of the measurement of resident memory, in all records of daemons.
pub const RESIDENT_MEMORY: &str = "resident memory";
/// Changes of one endpoint in one sample: each is followed by its way back.
const CHANGES: u32 = 4;
/// How long one delivery may take.
const DELIVERY: Duration = Duration::from_secs(30);
/// Deliveries in one sample.
const DELIVERIES: u32 = 20;
/// Growth that is expected of memory beyond the sizes measured, until they tell: that of the square.
const EXPECTED_EXPONENT: f64 = 2.0;

/// Measures all sizes, from the smallest on.
pub fn measure(
    sizes: &[usize],
    settings: &Settings,
    limits: &Limits,
    progress: &mut dyn FnMut(&str),
) -> Result<Collector, MeasureError> {
    let mut collector = Collector::new("endpoints");
    for size in sizes {
        progress(&format!("{size} endpoints"));
        let expected = expected_memory(&collector, *size);
        let measured =
            limits.check_memory(expected).and_then(|()| measure_one(*size, settings, limits, &mut collector));
        if let Err(error) = measured {
            collector.not_reached("the rest", *size, error)?;
        }
    }
    Ok(collector)
}

/// What the largest size so far leads to expect of another one.
pub fn expected_memory(collector: &Collector, size: usize) -> u64 {
    let last = collector.points(RESIDENT_MEMORY).last();
    last.map_or(0, |last| (last.value * (size as f64 / last.size).powf(EXPECTED_EXPONENT).max(1.0)) as u64)
}

fn measure_one(
    size: usize,
    settings: &Settings,
    limits: &Limits,
    collector: &mut Collector,
) -> Result<(), MeasureError> {
    let told = DeploymentSize { endpoints: size, couriers: 1 };
    let mut bench = Bench::start(settings, limits, Behaviour::Deliver, told)?;
    let start = bench.daemon.start_cost();
    collector.time("time to ready", size, Sampled::once(start.wall));
    collector.time("processor time to ready", size, Sampled::once(start.processor));
    collector.bytes(RESIDENT_MEMORY, size, bench.daemon.resident_bytes()?);
    collector.bytes("journal", size, bench.site.written_bytes()?);
    collector.time("turn", size, bench.turn_cost()?);
    collector.time("idle second", size, bench.idle_second_cost()?);
    collector.time("change of one endpoint", size, change_cost(&mut bench)?);
    collector.time("message taken and delivered", size, delivery_cost(&mut bench)?);
    let whole = bench.cost_of(1, &mut |bench, _| bench.tell_whole_list(EndpointState::Serving));
    match whole {
        Ok(sampled) => collector.time("whole list without news", size, sampled),
        Err(error) => return collector.not_reached("whole list without news", size, error),
    }
    collector.bytes("resident memory after all", size, bench.daemon.resident_bytes()?);
    collector.bytes("peak memory", size, bench.daemon.peak_resident_bytes()?);
    Ok(())
}

/// Processor time of a change of one endpoint: it drains, or serves again.
fn change_cost(bench: &mut Bench<'_>) -> Result<Sampled, MeasureError> {
    bench.cost_of(CHANGES, &mut |bench, number| {
        let endpoint = number as usize / 2 % bench.deployment.endpoints;
        bench.change(&[endpoint], EndpointState::in_turns(number))
    })
}

/// Processor time of a message, from its hand-in to its delivery.
fn delivery_cost(bench: &mut Bench<'_>) -> Result<Sampled, MeasureError> {
    bench.cost_of(DELIVERIES, &mut |bench, number| {
        let endpoint = bench.deployment.spread(number as usize);
        let calls = bench.partners.calls();
        bench.clients.hand_in(Deployment::destination(endpoint))?;
        bench.partners.wait_for_calls(calls + 1, DELIVERY)
    })
}
