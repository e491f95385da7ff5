//! Debug log lines for each step of a message, by which its id can be followed through the logs of several couriers.

use cloverstile::Outcome;
use gullcart_journal::PendingMessage;
use gullcart_message::{AcceptedMessage, Verdict};
use std::time::Duration;
use tracing::debug;

use crate::types::{Answer, Call, Enqueue};

/// Log target of the message trace. `GULLCART_LOG=gullcart::trail=debug` enables it.
pub const MESSAGE_TRACE_TARGET: &str = "gullcart::trail";

/// A message was accepted.
pub(crate) fn accepted(number: u32, message: &AcceptedMessage) {
    let AcceptedMessage { id, class, destination, from_dead_courier, idempotency_key, order_key, .. } =
        message;
    debug!(
        target: MESSAGE_TRACE_TARGET, id, number, order = format_args!("{order_key:016x}"), class, destination,
        again = from_dead_courier, key = idempotency_key, "message accepted"
    );
}

/// An enqueue request added no message: it was rejected, or the message is already held. `pending_count` is
/// the number of messages held.
pub(crate) fn not_accepted(enqueue: &Enqueue, answer: &Answer, pending_count: usize) {
    let Enqueue { id, order_key, class, destination, .. } = enqueue;
    let order = format_args!("{order_key:016x}");
    debug!(
        target: MESSAGE_TRACE_TARGET, id, order, class, destination, ?answer, held = pending_count,
        "enqueue request added no message"
    );
}

/// A message was rejected because the journal could not record it.
pub(crate) fn not_recorded(id: &str, answer: &Answer) {
    debug!(target: MESSAGE_TRACE_TARGET, id, ?answer, "message rejected, as the journal cannot be written");
}

/// The client did not get the answer that the message was accepted. If the message is `shared`, another enqueue request for it
/// was answered since, and it stays.
pub(crate) fn answer_unacknowledged(id: &str, shared: bool) {
    debug!(target: MESSAGE_TRACE_TARGET, id, shared, "the client did not receive the answer");
}

/// The message was restored from the journal after a restart.
pub(crate) fn recovered(number: u32, pending: &PendingMessage) {
    let PendingMessage {
        message: AcceptedMessage { id, order_key, .. },
        attempts,
        may_have_run,
        in_flight,
        verdict,
    } = pending;
    let may_have_run = may_have_run.or(*in_flight).is_some();
    let order = format_args!("{order_key:016x}");
    debug!(
        target: MESSAGE_TRACE_TARGET, id, number, order, attempts, may_have_run, ?verdict,
        "message restored from the journal"
    );
}

/// An attempt was started.
pub(crate) fn attempt_started(call: &Call, attempt: u16) {
    let Call { id, message, endpoint, address, try_for, send_by, .. } = call;
    let (number, endpoint) = (message.0, endpoint.0);
    debug!(
        target: MESSAGE_TRACE_TARGET, id, number, attempt, endpoint, %address, ?try_for, ?send_by, "attempt started"
    );
}

/// An attempt ended.
pub(crate) fn attempt_ended(id: &str, attempt: u16, outcome: Outcome, latency: Duration, may_have_run: bool) {
    debug!(target: MESSAGE_TRACE_TARGET, id, attempt, ?outcome, ?latency, may_have_run, "attempt ended");
}

/// The message ended without delivery, and its notice will be sent.
pub(crate) fn notice_pending(id: &str, verdict: Verdict) {
    debug!(target: MESSAGE_TRACE_TARGET, id, ?verdict, "notice pending");
}

/// The platform acknowledged the message's notice.
pub(crate) fn notice_acknowledged(id: &str) {
    debug!(target: MESSAGE_TRACE_TARGET, id, "notice acknowledged");
}

/// Nothing is left to do for the message.
pub(crate) fn completed(id: &str) {
    debug!(target: MESSAGE_TRACE_TARGET, id, "message completed");
}
