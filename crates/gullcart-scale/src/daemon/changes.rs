//! What a change of the list costs by the length of the list, and what a reload of the configuration does.

use super::bench::{Bench, Settings};
use super::collector::{Collector, Sampled};
use super::endpoints::{expected_memory, RESIDENT_MEMORY};
use super::error::MeasureError;
use super::limits::Limits;
use super::partner::Behaviour;
use super::site::{DeploymentSize, EndpointState};

/// Endpoints of a change of many.
const MANY: usize = 100;
/// Changes in one sample: each is followed by its way back.
const CHANGES: u32 = 4;

/// Measures all sizes, from the smallest on.
pub fn measure(
    sizes: &[usize],
    settings: &Settings,
    limits: &Limits,
    progress: &mut dyn FnMut(&str),
) -> Result<Collector, MeasureError> {
    let mut collector = Collector::new("endpoints");
    collector.parameter("endpoints of a change of many", MANY);
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

fn measure_one(
    size: usize,
    settings: &Settings,
    limits: &Limits,
    collector: &mut Collector,
) -> Result<(), MeasureError> {
    let told = DeploymentSize { endpoints: size, couriers: 1 };
    let mut bench = Bench::start(settings, limits, Behaviour::Deliver, told)?;
    collector.bytes(RESIDENT_MEMORY, size, bench.daemon.resident_bytes()?);
    let (cost, bytes) = change_cost(&mut bench, 1)?;
    collector.time("change of one endpoint", size, cost);
    collector.bytes("journal bytes of a change of one endpoint", size, bytes);
    let (cost, bytes) = change_cost(&mut bench, MANY.min(size))?;
    collector.time("change of many endpoints", size, cost);
    collector.bytes("journal bytes of a change of many endpoints", size, bytes);
    let reload = bench.cost_of(CHANGES, &mut |bench, _| bench.reload())?;
    collector.time("reload of the configuration", size, reload);
    let before = bench.site.state_bytes()?;
    match bench.cost_of(1, &mut |bench, _| bench.tell_whole_list()) {
        Ok(cost) => {
            let bytes = bench.site.state_bytes()?.saturating_sub(before) / u64::from(cost.samples);
            collector.time("whole list", size, cost);
            collector.bytes("journal bytes of a whole list", size, bytes);
            Ok(())
        }
        Err(error) => collector.not_reached("whole list", size, error),
    }
}

/// Processor time and journal bytes of a change of so many endpoints.
fn change_cost(bench: &mut Bench<'_>, many: usize) -> Result<(Sampled, u64), MeasureError> {
    let endpoints: Vec<usize> = (0..many).collect();
    let before = bench.site.state_bytes()?;
    let cost = bench.cost_of(CHANGES, &mut |bench, number| {
        let state = if number % 2 == 0 { EndpointState::Draining } else { EndpointState::Serving };
        bench.change(&endpoints, state)
    })?;
    let written = bench.site.state_bytes()?.saturating_sub(before);
    Ok((cost, written / u64::from(cost.samples * CHANGES)))
}
