//! Safety margins for pauses of the process between reading its clock and acting on it.

use super::Courier;
use crate::interface::{MessageId, Settings, Time};
use std::time::Duration;

/// How long an order key stays blocked after a call that may still be running. A pause may delay the closing of the
/// call's connection by up to `max_pause` after the clock was read.
pub(super) fn key_block_time(settings: &Settings) -> Duration {
    match settings.rules.order_settle {
        Duration::ZERO => Duration::ZERO,
        settle => settle + settings.max_pause,
    }
}

impl Courier {
    /// Whether a delivery reported now was certainly made before the deadline of its message. The clock may have been
    /// read late both when the message was accepted and when the call ended, hence twice the pause. If this is not
    /// certain, the client gets an additional final answer, which does no harm.
    pub fn is_certainly_in_time(&self, now: Time, id: MessageId) -> bool {
        let message = self.messages.get(&id);
        message.is_none_or(|m| m.closed || now + 2 * self.settings.max_pause <= m.accepted.deadline)
    }

    /// Marks the final answer of a message as unacknowledged: until it is acknowledged the message keeps its order key.
    pub(super) fn await_acknowledgement(&mut self, id: MessageId) {
        if let Some(message) = self.messages.get_mut(&id) {
            message.unacknowledged = self.settings.acknowledged_answers;
        }
    }
}
