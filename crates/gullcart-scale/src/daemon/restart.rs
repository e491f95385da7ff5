//! What a changed setting costs by the number of messages held: the daemon is told to end, and started again.

use super::bench::Settings;
use super::collector::{Collector, Sampled};
use super::error::MeasureError;
use super::held;
use super::limits::Limits;

/// Measures all sizes, from the smallest on.
pub fn measure(
    sizes: &[usize],
    settings: &Settings,
    limits: &Limits,
    progress: &mut dyn FnMut(&str),
) -> Result<Collector, MeasureError> {
    let mut collector = Collector::new("messages held");
    collector.parameter("destinations", held::DESTINATIONS);
    collector.parameter("time limit of a size", humantime::format_duration(settings.limit));
    for size in sizes {
        progress(&format!("{size} messages held"));
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
    let mut bench = held::holding(size, settings, limits)?;
    let (mut without_service, mut ending, mut starting) = (Vec::new(), Vec::new(), Vec::new());
    let mut processor = Vec::new();
    for _ in 0..settings.samples {
        let outage = bench.restart_for_a_setting()?;
        without_service.push(outage.without_service);
        ending.push(outage.ending);
        starting.push(bench.daemon.start_cost().wall);
        processor.push(bench.daemon.start_cost().processor);
    }
    let quantities = [
        ("time without service", without_service),
        ("time to end", ending),
        ("time to ready", starting),
        ("processor time to ready", processor),
    ];
    for (name, samples) in quantities {
        if let Some(sampled) = Sampled::of(samples) {
            collector.time(name, size, sampled);
        }
    }
    Ok(())
}
