//! What each destination was given and answered in a second, for a look over many couriers at once.

use cloverstile::{DestinationId, DestinationStatus, LimitReport, Outcome};
use std::collections::BTreeMap;
use tracing::{debug, enabled, Level};

/// The log's target of these lines: `GULLCART_LOG=gullcart::tally=debug` switches them on.
pub const TALLY: &str = "gullcart::tally";
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
pub struct Tally {
    counts: BTreeMap<DestinationId, Count>,
    beyond: u32,
}

impl Tally {
    fn of(&mut self, destination: DestinationId) -> Option<&mut Count> {
        if !enabled!(target: TALLY, Level::DEBUG) {
            return None;
        }
        if self.counts.len() >= MOST && !self.counts.contains_key(&destination) {
            self.beyond += 1;
            return None;
        }
        Some(self.counts.entry(destination).or_default())
    }

    /// A message was taken.
    pub fn taken(&mut self, destination: DestinationId) {
        if let Some(count) = self.of(destination) {
            count.taken += 1;
        }
    }

    /// A call ended.
    pub fn ended(&mut self, destination: DestinationId, outcome: Outcome, told: Option<LimitReport>) {
        let Some(count) = self.of(destination) else { return };
        if let Some(told) = told.filter(|told| told.limit > 0.0) {
            count.left += told.remaining_share;
            count.lefts += 1;
        }
        match outcome {
            Outcome::Ok => count.ok += 1,
            Outcome::Rejected(wait) => {
                count.full += 1;
                count.told += u32::from(wait.is_some());
            }
            Outcome::ConnectFailed => count.unconnected += 1,
            Outcome::Error | Outcome::Malformed => count.error += 1,
            Outcome::Timeout | Outcome::Reset | Outcome::Cancelled => count.lost += 1,
            Outcome::NotSent | Outcome::AttemptsExhausted => {}
        }
    }

    /// Says all that was counted, and what waits.
    pub fn tell(&mut self, standings: impl Iterator<Item = DestinationStatus>) {
        if !enabled!(target: TALLY, Level::DEBUG) {
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
                    say(standing.destination, &Count::default(), Some(standing));
                }
                continue;
            };
            told += 1;
            say(standing.destination, &count, Some(standing));
        }
        for (destination, count) in counts {
            say(destination, &count, None);
        }
        let beyond = std::mem::take(&mut self.beyond);
        if beyond > 0 {
            debug!(target: TALLY, beyond, "more happened with destinations, or waits for them, than is told of");
        }
    }
}

fn say(destination: DestinationId, count: &Count, standing: Option<DestinationStatus>) {
    let Count { taken, ok, full, told, lost, error, unconnected, .. } = count;
    let left = (count.lefts > 0).then(|| count.left / f64::from(count.lefts));
    let (waiting, out) = standing.map_or((0, 0), |s| (s.waiting, s.calls_in_flight));
    let hold = standing.filter(|s| s.waiting > 0).map(|s| s.wait_reason);
    let (pace, limit) = standing.map_or((0.0, 0.0), |s| (s.rate, s.limit));
    debug!(
        target: TALLY, destination = destination.0, taken, ok, full, told, lost, error, unconnected, waiting, out,
        ?hold, pace, limit, left, "tally"
    );
}
