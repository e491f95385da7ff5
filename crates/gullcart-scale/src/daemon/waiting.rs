//! What a turn of the daemon's loop costs by the number of destinations that have messages waiting, for partners that told a wait.

use super::bench::{Bench, Settings};
use super::collector::Collector;
use super::error::MeasureError;
use super::limits::Limits;
use super::partner::Behaviour;
use super::site::DeploymentSize;
use std::time::Instant;

/// Measures all sizes in a daemon that is told of as many destinations as the largest one has.
pub fn measure(
    sizes: &[usize],
    settings: &Settings,
    limits: &Limits,
    progress: &mut dyn FnMut(&str),
) -> Result<Collector, MeasureError> {
    let mut collector = Collector::new("waiting destinations");
    let endpoints = sizes.iter().max().copied().unwrap_or_default();
    collector.parameter("endpoints", endpoints);
    collector.parameter("time limit of a size", humantime::format_duration(settings.limit));
    for size in sizes {
        progress(&format!("{size} waiting destinations"));
        if let Err(error) = measure_one(*size, endpoints, settings, limits, &mut collector) {
            collector.not_reached("the rest", *size, error)?;
        }
    }
    Ok(collector)
}

fn measure_one(
    size: usize,
    endpoints: usize,
    settings: &Settings,
    limits: &Limits,
    collector: &mut Collector,
) -> Result<(), MeasureError> {
    let told = DeploymentSize { endpoints, couriers: 1 };
    let mut bench = Bench::start(settings, limits, Behaviour::TellWait, told)?;
    let destinations = (0..size).map(|number| number as u32);
    bench.hold(destinations, size, Instant::now() + settings.limit)?;
    // Each partner hears of one message, and tells to wait.
    bench.partners.wait_for_calls(size as u64, settings.limit)?;
    bench.settle()?;
    collector.time("turn", size, bench.turn_cost()?);
    collector.time("idle second", size, bench.idle_second_cost()?);
    collector.bytes("resident memory", size, bench.daemon.resident_bytes()?);
    Ok(())
}
