//! Debug log lines with each destination's messages, calls and answers of the last second, to compare many couriers at once.

use cloverstile::{DestinationId, DestinationStatus, LimitReport, Outcome};
use std::collections::BTreeMap;
use tracing::{debug, enabled, Level};

/// Log target of these lines. `GULLCART_LOG=gullcart::tally=debug` enables them.
pub const DESTINATION_METRICS_TARGET: &str = "gullcart::tally";
/// Maximum number of destinations logged per second. The number of omitted ones is logged in the field `beyond`
/// of one more line.
const MAX_DESTINATIONS: usize = 1024;

/// Counters of one destination since the last log line.
#[derive(Default)]
struct Counters {
    /// Messages accepted.
    accepted: u32,
    /// Calls that delivered their message.
    ok: u32,
    /// Calls rejected with backpressure.
    rejected: u32,
    /// Of these, the ones that gave a retry-after time.
    with_retry_after: u32,
    /// Calls that timed out, were reset or were cancelled.
    lost: u32,
    /// Calls answered with an error or with a malformed answer.
    error: u32,
    /// Calls whose connection could not be opened.
    unconnected: u32,
    /// Sum of the remaining fractions of the rate limit, from 0 to 1, that answers reported.
    remaining_share_sum: f64,
    /// Number of the reports in `remaining_share_sum`.
    remaining_share_count: u32,
}

/// Counters of all destinations since the last log lines, for at most [`MAX_DESTINATIONS`] destinations.
#[derive(Default)]
pub struct DestinationMetrics {
    counters: BTreeMap<DestinationId, Counters>,
    /// Number of events, and of destinations with waiting messages, that were left out because of [`MAX_DESTINATIONS`].
    beyond: u32,
}

impl DestinationMetrics {
    fn counters_mut(&mut self, destination: DestinationId) -> Option<&mut Counters> {
        if !enabled!(target: DESTINATION_METRICS_TARGET, Level::DEBUG) {
            return None;
        }
        if self.counters.len() >= MAX_DESTINATIONS && !self.counters.contains_key(&destination) {
            self.beyond += 1;
            return None;
        }
        Some(self.counters.entry(destination).or_default())
    }

    /// Counts a message that was accepted.
    pub fn message_accepted(&mut self, destination: DestinationId) {
        if let Some(counters) = self.counters_mut(destination) {
            counters.accepted += 1;
        }
    }

    /// Counts a call that ended. `allowance` is the rate limit that the answer reported.
    pub fn call_ended(
        &mut self,
        destination: DestinationId,
        outcome: Outcome,
        allowance: Option<LimitReport>,
    ) {
        let Some(counters) = self.counters_mut(destination) else { return };
        if let Some(allowance) = allowance.filter(|allowance| allowance.limit > 0.0) {
            counters.remaining_share_sum += allowance.remaining_share;
            counters.remaining_share_count += 1;
        }
        match outcome {
            Outcome::Ok => counters.ok += 1,
            Outcome::Rejected(retry_after) => {
                counters.rejected += 1;
                counters.with_retry_after += u32::from(retry_after.is_some());
            }
            Outcome::ConnectFailed => counters.unconnected += 1,
            Outcome::Error | Outcome::Malformed => counters.error += 1,
            Outcome::Timeout | Outcome::Reset | Outcome::Cancelled => counters.lost += 1,
            Outcome::NotSent | Outcome::AttemptsExhausted => {}
        }
    }

    /// Logs and resets the counters, together with the destinations for which messages wait or calls are in flight.
    pub fn log(&mut self, statuses: impl Iterator<Item = DestinationStatus>) {
        if !enabled!(target: DESTINATION_METRICS_TARGET, Level::DEBUG) {
            return;
        }
        let mut counters = std::mem::take(&mut self.counters);
        let mut logged = 0;
        for status in statuses {
            // Destinations with counters take precedence: a line is reserved for each of them.
            let Some(destination_counters) = counters.remove(&status.destination) else {
                if logged + counters.len() >= MAX_DESTINATIONS {
                    self.beyond += 1;
                } else {
                    logged += 1;
                    log_destination(status.destination, &Counters::default(), Some(status));
                }
                continue;
            };
            logged += 1;
            log_destination(status.destination, &destination_counters, Some(status));
        }
        for (destination, destination_counters) in counters {
            log_destination(destination, &destination_counters, None);
        }
        let beyond = std::mem::take(&mut self.beyond);
        if beyond > 0 {
            debug!(
                target: DESTINATION_METRICS_TARGET, beyond,
                "events and waiting destinations were left out, as too many destinations are active"
            );
        }
    }
}

fn log_destination(destination: DestinationId, counters: &Counters, status: Option<DestinationStatus>) {
    let Counters { accepted, ok, rejected, with_retry_after, lost, error, unconnected, .. } = counters;
    let remaining_share = (counters.remaining_share_count > 0)
        .then(|| counters.remaining_share_sum / f64::from(counters.remaining_share_count));
    let (waiting, calls_in_flight) = status.map_or((0, 0), |status| (status.waiting, status.calls_in_flight));
    let wait_reason = status.filter(|status| status.waiting > 0).map(|status| status.wait_reason);
    let (rate, limit) = status.map_or((0.0, 0.0), |status| (status.rate, status.limit));
    debug!(
        target: DESTINATION_METRICS_TARGET, destination = destination.0, taken = accepted, ok, full = rejected,
        told = with_retry_after, lost, error, unconnected, waiting, out = calls_in_flight, hold = ?wait_reason, pace = rate, limit,
        left = remaining_share, "tally"
    );
}
