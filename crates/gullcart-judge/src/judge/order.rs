//! Messages of one key go in the order in which they were handed in.

use super::state::CutCall;
use super::Judge;
use crate::message::{Message, Standing};
use crate::rule::Rule;
use crate::trace::*;

impl Judge {
    /// A call goes only when every earlier message of its key that was taken is over, and not too soon after a call
    /// for another one was cut, which may still run.
    pub(super) fn check_order(&mut self, id: MessageId, courier: CourierId, now: At) {
        if !self.class_of(id).in_order || !self.matters(id) {
            return;
        }
        let Some(key) = self.messages.get(&id).and_then(|m| m.key) else { return };
        self.drop_finished(id, courier, key);
        if let Some(ahead) = self.unfinished_before(id, courier, key) {
            let proof = self.proof_of(ahead);
            let what = format!("sent before {ahead} of the same key, taken on earlier, was over");
            self.report_breach(Rule::Order, courier, Some(id), what, proof);
        } else if let Some(CutCall { at, message, entry }) = self.unsettled_cut(id, courier, key, now) {
            let proof = self.proof_of(message).into_iter().chain([entry]);
            let what = format!("sent {:?} after a call for {message} of the same key was cut", now - at);
            self.report_breach(Rule::Order, courier, Some(id), what, proof);
        }
    }

    /// Takes messages that are over from the front of a key's queue.
    fn drop_finished(&mut self, id: MessageId, courier: CourierId, key: OrderKey) {
        let Some(state) = self.keys.get_mut(&(courier, key)) else { return };
        let messages = &self.messages;
        let is_over = |other: &MessageId| messages.get(other).is_none_or(Message::is_over);
        while state.queue.front().is_some_and(|front| *front != id && is_over(front)) {
            state.queue.pop_front();
        }
    }

    /// The first message before this one that was taken and is not over.
    fn unfinished_before(&self, id: MessageId, courier: CourierId, key: OrderKey) -> Option<MessageId> {
        let is_unfinished = |other: &MessageId| {
            self.messages.get(other).is_some_and(|m| m.standing == Standing::Taken && !m.is_over())
        };
        let queue = &self.keys.get(&(courier, key))?.queue;
        queue.iter().take_while(|other| **other != id).copied().find(is_unfinished)
    }

    /// The last call of the key for another message, if it was cut so lately that it may still run.
    fn unsettled_cut(&self, id: MessageId, courier: CourierId, key: OrderKey, now: At) -> Option<CutCall> {
        let cut = self.keys.get(&(courier, key))?.last_cut?;
        let is_settled = now + self.figures.socket_slack >= cut.at + self.figures.order_settle;
        (cut.message != id && !is_settled).then_some(cut)
    }

    fn proof_of(&self, message: MessageId) -> Vec<Entry> {
        self.messages.get(&message).map(|m| m.proof.clone()).unwrap_or_default()
    }
}
