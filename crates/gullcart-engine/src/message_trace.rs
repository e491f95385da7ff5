//! What becomes of each message, step by step, for who follows one of them by its id through the logs of couriers.

use cloverstile::Outcome;
use gullcart_journal::Held;
use gullcart_message::{Taken, Verdict};
use std::time::Duration;
use tracing::debug;

use crate::types::{Answer, Call, Enqueue};

/// The log's target of these lines: `GULLCART_LOG=gullcart::trail=debug` switches them on.
pub const MESSAGE_TRACE_TARGET: &str = "gullcart::trail";

/// A message was taken on.
pub(crate) fn accepted(number: u32, taken: &Taken) {
    let Taken { id, class, destination, again, idempotency_key: key, key: order, .. } = taken;
    debug!(target: MESSAGE_TRACE_TARGET, id, number, order = format_args!("{order:016x}"), class, destination, again, key, "taken on");
}

/// A hand-in that brought no new message: it was turned away with so many messages held, or the message is one of them.
pub(crate) fn not_accepted(enqueue: &Enqueue, answer: &Answer, held: usize) {
    let Enqueue { id, order_key: order, class, destination, .. } = enqueue;
    let order = format_args!("{order:016x}");
    debug!(target: MESSAGE_TRACE_TARGET, id, order, class, destination, ?answer, held, "not taken on");
}

/// A hand-in was turned away, as the journal could not be written.
pub(crate) fn not_recorded(id: &str, answer: &Answer) {
    debug!(target: MESSAGE_TRACE_TARGET, id, ?answer, "not taken on, as the journal cannot be written");
}

/// Its client did not hear that it was taken on. A hand-in of it that was answered meanwhile (`shared`) keeps it.
pub(crate) fn answer_unacknowledged(id: &str, shared: bool) {
    debug!(target: MESSAGE_TRACE_TARGET, id, shared, "its client did not hear the answer");
}

/// It was found in the journal after a restart.
pub(crate) fn recovered(number: u32, held: &Held) {
    let Held { taken: Taken { id, key: order, .. }, attempts, maybe_ran, out, verdict } = held;
    let may_have_run = maybe_ran.or(*out).is_some();
    let order = format_args!("{order:016x}");
    debug!(target: MESSAGE_TRACE_TARGET, id, number, order, attempts, may_have_run, ?verdict, "found in the journal");
}

/// An attempt is handed out.
pub(crate) fn attempt_started(call: &Call, attempt: u16) {
    let Call { id, message, endpoint, address, try_for, send_by, .. } = call;
    let (number, endpoint) = (message.0, endpoint.0);
    debug!(target: MESSAGE_TRACE_TARGET, id, number, attempt, endpoint, %address, ?try_for, ?send_by, "an attempt begins");
}

/// An attempt is over.
pub(crate) fn attempt_ended(id: &str, attempt: u16, outcome: Outcome, latency: Duration, may_have_run: bool) {
    debug!(target: MESSAGE_TRACE_TARGET, id, attempt, ?outcome, ?latency, may_have_run, "an attempt is over");
}

/// It ends without having been delivered.
pub(crate) fn notice_pending(id: &str, verdict: Verdict) {
    debug!(target: MESSAGE_TRACE_TARGET, id, ?verdict, "its end is to be told");
}

/// The platform has answered its notice.
pub(crate) fn notice_acknowledged(id: &str) {
    debug!(target: MESSAGE_TRACE_TARGET, id, "its notice was answered");
}

/// Nothing more is owed for it.
pub(crate) fn completed(id: &str) {
    debug!(target: MESSAGE_TRACE_TARGET, id, "it is over");
}
