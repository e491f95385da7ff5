//! What becomes of each message, step by step, for who follows one of them by its id through the logs of couriers.

use cloverstile::Outcome;
use gullcart_message::{Taken, Verdict};
use std::time::Duration;
use tracing::debug;

use crate::vocabulary::Call;

/// The log's target of these lines: `GULLCART_LOG=gullcart::trail=debug` switches them on.
pub const TRAIL: &str = "gullcart::trail";

/// A message was taken on.
pub(crate) fn taken(number: u32, taken: &Taken) {
    let Taken { id, class, destination, again, idempotency_key: key, .. } = taken;
    debug!(target: TRAIL, id, number, class, destination, again, key, "taken on");
}

/// It was found in the journal after a restart.
pub(crate) fn found(id: &str, number: u32, attempts: u32, may_have_run: bool) {
    debug!(target: TRAIL, id, number, attempts, may_have_run, "found in the journal");
}

/// An attempt is handed out.
pub(crate) fn begins(call: &Call, attempt: u16) {
    let Call { id, message, endpoint, address, try_for, send_by, .. } = call;
    let (number, endpoint) = (message.0, endpoint.0);
    debug!(target: TRAIL, id, number, attempt, endpoint, %address, ?try_for, ?send_by, "an attempt begins");
}

/// An attempt is over.
pub(crate) fn ended(id: &str, attempt: u16, outcome: Outcome, latency: Duration, may_have_run: bool) {
    debug!(target: TRAIL, id, attempt, ?outcome, ?latency, may_have_run, "an attempt is over");
}

/// It ends without having been delivered.
pub(crate) fn owed(id: &str, verdict: Verdict) {
    debug!(target: TRAIL, id, ?verdict, "its end is to be told");
}

/// Nothing more is owed for it.
pub(crate) fn over(id: &str) {
    debug!(target: TRAIL, id, "it is over");
}
