//! What a courier allows for that may stand still between reading its clock and what it then does.

use super::Courier;
use crate::interface::{MessageId, Settings, Time};
use std::time::Duration;

/// How long a key rests after a call that may still run: its connection may be let go after the clock was read.
pub(super) fn key_rest(settings: &Settings) -> Duration {
    match settings.rules.order_settle {
        Duration::ZERO => Duration::ZERO,
        settle => settle + settings.held_up,
    }
}

impl Courier {
    /// Whether a delivery that is known now came in its message's time: the clock may have been read late both for the
    /// message and for the call. One that may not have is told an end besides, which does no harm.
    pub fn is_surely_in_time(&self, now: Time, id: MessageId) -> bool {
        let message = self.messages.get(&id);
        message.is_none_or(|m| m.closed || now + 2 * self.settings.held_up <= m.taken.deadline)
    }

    /// A final answer is under way: until it is heard the message keeps its key.
    pub(super) fn await_hearing(&mut self, id: MessageId) {
        if let Some(message) = self.messages.get_mut(&id) {
            message.unheard = self.settings.answers_take_time;
        }
    }
}
