//! What each destination was given and answered in a second, for a look over many couriers at once.

use cloverstile::{Allowance, DestinationId, Outcome, Standing};
use std::collections::BTreeMap;
use tracing::{debug, enabled, Level};

/// The log's target of these lines: `GULLCART_LOG=gullcart::tally=debug` switches them on.
pub const DESTINATION_METRICS_TARGET: &str = "gullcart::tally";
/// Destinations that are told of in one second at most; of the others their number.
const MOST: usize = 1024;

/// What happened with one destination.
#[derive(Default)]
struct Count {
    taken: u32,
    ok: u32,
    full: u32,
    told: u32,
    lost: u32,
    error: u32,
    unconnected: u32,
    /// Shares of the limit that were told to be left, their sum and number.
    left: f64,
    lefts: u32,
}

/// Counts since the last telling; bounded by [`MOST`] destinations.
#[derive(Default)]
pub struct DestinationMetrics {
    counts: BTreeMap<DestinationId, Count>,
    beyond: u32,
}

impl DestinationMetrics {
    fn of(&mut self, destination: DestinationId) -> Option<&mut Count> {
        if !enabled!(target: DESTINATION_METRICS_TARGET, Level::DEBUG) {
            return None;
        }
        if self.counts.len() >= MOST && !self.counts.contains_key(&destination) {
            self.beyond += 1;
            return None;
        }
        Some(self.counts.entry(destination).or_default())
    }

    /// A message was taken.
    pub fn message_accepted(&mut self, destination: DestinationId) {
        if let Some(count) = self.of(destination) {
            count.taken += 1;
        }
    }

    /// A call ended.
    pub fn call_ended(&mut self, destination: DestinationId, outcome: Outcome, told: Option<Allowance>) {
        let Some(count) = self.of(destination) else { return };
        if let Some(told) = told.filter(|told| told.limit > 0.0) {
            count.left += told.left;
            count.lefts += 1;
        }
        match outcome {
            Outcome::Ok => count.ok += 1,
            Outcome::Full(wait) => {
                count.full += 1;
                count.told += u32::from(wait.is_some());
            }
            Outcome::ConnectFailed => count.unconnected += 1,
            Outcome::Error | Outcome::Spoilt => count.error += 1,
            Outcome::Timeout | Outcome::Reset | Outcome::Cancelled => count.lost += 1,
            Outcome::Moot | Outcome::Spent => {}
        }
    }

    /// Says all that was counted, and what waits.
    pub fn log(&mut self, standings: impl Iterator<Item = Standing>) {
        if !enabled!(target: DESTINATION_METRICS_TARGET, Level::DEBUG) {
            return;
        }
        let mut counts = std::mem::take(&mut self.counts);
        let mut told = 0;
        for standing in standings {
            // A place is kept for each destination that was counted.
            let Some(count) = counts.remove(&standing.destination) else {
                if told + counts.len() >= MOST {
                    self.beyond += 1;
                } else {
                    told += 1;
                    log_destination(standing.destination, &Count::default(), Some(standing));
                }
                continue;
            };
            told += 1;
            log_destination(standing.destination, &count, Some(standing));
        }
        for (destination, count) in counts {
            log_destination(destination, &count, None);
        }
        let beyond = std::mem::take(&mut self.beyond);
        if beyond > 0 {
            debug!(target: DESTINATION_METRICS_TARGET, beyond, "more happened with destinations, or waits for them, than is told of");
        }
    }
}

fn log_destination(destination: DestinationId, count: &Count, standing: Option<Standing>) {
    let Count { taken, ok, full, told, lost, error, unconnected, .. } = count;
    let left = (count.lefts > 0).then(|| count.left / f64::from(count.lefts));
    let (waiting, out) = standing.map_or((0, 0), |s| (s.waiting, s.out));
    let hold = standing.filter(|s| s.waiting > 0).map(|s| s.hold);
    let (pace, limit) = standing.map_or((0.0, 0.0), |s| (s.pace, s.limit));
    debug!(
        target: DESTINATION_METRICS_TARGET, destination = destination.0, taken, ok, full, told, lost, error, unconnected, waiting, out,
        ?hold, pace, limit, left, "tally"
    );
}
