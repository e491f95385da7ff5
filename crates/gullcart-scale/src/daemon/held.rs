//! What a daemon costs by the number of messages that it holds, for a handful of partners that never answer.

use super::bench::{Bench, Settings};
use super::collector::{Collector, Sampled};
use super::endpoints::{expected_memory, RESIDENT_MEMORY};
use super::error::MeasureError;
use super::limits::Limits;
use super::partner::Behaviour;
use super::site::DeploymentSize;
use std::time::Instant;

/// Destinations that the messages are for.
pub const DESTINATIONS: usize = 5;
/// Messages taken on in one sample: few beside those that are held.
const MESSAGES: u32 = 4;

/// Measures all sizes, from the smallest on.
pub fn measure(
    sizes: &[usize],
    settings: &Settings,
    limits: &Limits,
    progress: &mut dyn FnMut(&str),
) -> Result<Collector, MeasureError> {
    let mut collector = Collector::new("messages held");
    collector.parameter("destinations", DESTINATIONS);
    collector.parameter("time limit of a size", humantime::format_duration(settings.limit));
    for size in sizes {
        progress(&format!("{size} messages held"));
        let expected = expected_memory(&collector, *size);
        let measured =
            limits.check_memory(expected).and_then(|()| measure_one(*size, settings, limits, &mut collector));
        if let Err(error) = measured {
            collector.not_reached("the rest", *size, error)?;
        }
    }
    Ok(collector)
}

/// A daemon that holds so many messages.
pub fn holding<'a>(
    messages: usize,
    settings: &'a Settings,
    limits: &'a Limits,
) -> Result<Bench<'a>, MeasureError> {
    let told = DeploymentSize { endpoints: DESTINATIONS, couriers: 1 };
    let mut bench = Bench::start(settings, limits, Behaviour::Silent, told)?;
    let destinations = (0..messages).map(|number| (number % DESTINATIONS) as u32);
    bench.hold(destinations, messages, Instant::now() + settings.limit)?;
    bench.wait_for_outages()?;
    Ok(bench)
}

fn measure_one(
    size: usize,
    settings: &Settings,
    limits: &Limits,
    collector: &mut Collector,
) -> Result<(), MeasureError> {
    let mut bench = holding(size, settings, limits)?;
    collector.bytes(RESIDENT_MEMORY, size, bench.daemon.resident_bytes()?);
    collector.bytes("journal", size, bench.site.written_bytes()?);
    collector.time("turn", size, bench.turn_cost()?);
    collector.time("idle second", size, bench.idle_second_cost()?);
    let taken = bench.cost_of(MESSAGES, &mut |bench, number| {
        bench.clients.hand_in((number as usize % DESTINATIONS) as u32)
    });
    collector.time("message taken", size, taken?);
    bench.crash_and_restart()?;
    let replay = bench.daemon.start_cost();
    collector.time("time to replay", size, Sampled::once(replay.wall));
    collector.time("processor time to replay", size, Sampled::once(replay.processor));
    collector.bytes("resident memory after replay", size, bench.daemon.resident_bytes()?);
    Ok(())
}
