//! Checks that messages with one order key are sent one at a time, in the order in which they were enqueued.

use super::state::AbortedCall;
use super::Judge;
use crate::message::{EnqueueStatus, Message};
use crate::rule::Rule;
use crate::trace::*;

impl Judge {
    /// Checks that every earlier accepted message with the same order key is final, and that an aborted call for
    /// another message of the key, which may still be running, has had time to settle.
    pub(super) fn check_order(&mut self, id: MessageId, courier: CourierId, now: Timestamp) {
        if !self.class_of(id).in_order || !self.is_checked(id) {
            return;
        }
        let Some(key) = self.messages.get(&id).and_then(|m| m.key) else { return };
        self.drop_final(id, courier, key);
        if let Some(earlier) = self.first_unfinished(id, courier, key) {
            let evidence = self.evidence_of(earlier);
            let description = format!(
                "sent before {earlier}, which has the same order key and was accepted earlier, was final"
            );
            self.report_violation(Rule::Order, courier, Some(id), description, evidence);
        } else if let Some(AbortedCall { at, message, entry }) = self.unsettled_abort(id, courier, key, now) {
            let evidence = self.evidence_of(message).into_iter().chain([entry]);
            let description =
                format!("sent {:?} after a call for {message} with the same order key was aborted", now - at);
            self.report_violation(Rule::Order, courier, Some(id), description, evidence);
        }
    }

    /// Removes final messages from the front of a key's queue, up to the message `id`.
    fn drop_final(&mut self, id: MessageId, courier: CourierId, key: OrderKey) {
        let Some(state) = self.order_keys.get_mut(&(courier, key)) else { return };
        let messages = &self.messages;
        let is_final = |other: &MessageId| messages.get(other).is_none_or(Message::is_final);
        while state.queue.front().is_some_and(|front| *front != id && is_final(front)) {
            state.queue.pop_front();
        }
    }

    /// The first message before `id` in the key's queue that was accepted and is not final.
    fn first_unfinished(&self, id: MessageId, courier: CourierId, key: OrderKey) -> Option<MessageId> {
        let is_unfinished = |other: &MessageId| {
            self.messages.get(other).is_some_and(|m| m.status == EnqueueStatus::Accepted && !m.is_final())
        };
        let queue = &self.order_keys.get(&(courier, key))?.queue;
        queue.iter().take_while(|other| **other != id).copied().find(is_unfinished)
    }

    /// The key's last aborted call, if it was for another message and may still be running.
    fn unsettled_abort(
        &self,
        id: MessageId,
        courier: CourierId,
        key: OrderKey,
        now: Timestamp,
    ) -> Option<AbortedCall> {
        let aborted = self.order_keys.get(&(courier, key))?.last_aborted?;
        let is_settled = now + self.limits.socket_slack >= aborted.at + self.limits.order_settle_time;
        (aborted.message != id && !is_settled).then_some(aborted)
    }

    fn evidence_of(&self, message: MessageId) -> Vec<Entry> {
        self.messages.get(&message).map(|m| m.evidence.clone()).unwrap_or_default()
    }
}
