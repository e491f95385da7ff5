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
    note_change(collector, ONE, size, cost_of_change(&mut bench, |bench, state| bench.change(&[0], state))?);
    let many: Vec<usize> = (0..MANY.min(size)).collect();
    note_change(
        collector,
        HUNDRED,
        size,
        cost_of_change(&mut bench, |bench, state| bench.change(&many, state))?,
    );
    let reload = bench.cost_of(CHANGES, &mut |bench, _| bench.reload())?;
    collector.time("reload of the configuration", size, reload);
    match cost_of_change(&mut bench, |bench, state| bench.tell_whole_list(state)) {
        Ok(change) => note_change(collector, WHOLE, size, change),
        Err(error) => collector.not_reached(WHOLE.processor, size, error)?,
    }
    Ok(())
}

/// The quantities of a kind of change.
struct ChangeNames {
    processor: &'static str,
    added: &'static str,
    written: &'static str,
}

const ONE: ChangeNames = ChangeNames {
    processor: "change of one endpoint",
    added: "journal bytes of a change of one endpoint",
    written: "journal bytes with compaction, one endpoint",
};
const HUNDRED: ChangeNames = ChangeNames {
    processor: "change of 100 endpoints",
    added: "journal bytes of a change of 100 endpoints",
    written: "journal bytes with compaction, 100 endpoints",
};
const WHOLE: ChangeNames = ChangeNames {
    processor: "whole list with all changed",
    added: "journal bytes of a whole list",
    written: "journal bytes with compaction, whole list",
};

/// What changes of one kind cost.
struct ChangeCost {
    processor: Sampled,
    /// Bytes by which the journal grew with each of them.
    grown: Vec<u64>,
}

fn note_change(collector: &mut Collector, names: ChangeNames, size: usize, cost: ChangeCost) {
    let ChangeCost { processor, grown } = cost;
    collector.time(names.processor, size, processor);
    // Some changes come together with a step of the journal's compaction: the least is that of the change alone.
    collector.bytes(names.added, size, grown.iter().min().copied().unwrap_or_default());
    let mean = grown.iter().sum::<u64>() / (grown.len() as u64).max(1);
    collector.bytes(names.written, size, mean);
}

/// What a change costs that tells a state, which is another one each time.
fn cost_of_change(
    bench: &mut Bench<'_>,
    mut change: impl FnMut(&mut Bench<'_>, EndpointState) -> Result<(), MeasureError>,
) -> Result<ChangeCost, MeasureError> {
    let mut grown = Vec::new();
    let processor = bench.cost_of(CHANGES, &mut |bench, number| {
        let before = bench.site.written_bytes()?;
        change(bench, EndpointState::in_turns(number))?;
        grown.push(bench.site.written_bytes()?.saturating_sub(before));
        Ok(())
    })?;
    Ok(ChangeCost { processor, grown })
}
