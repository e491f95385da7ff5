//! Checks of calls: that each has the right sender, partner and content, that none makes an effect happen twice, and
//! what follows from its outcome.

use super::state::{AbortedCall, Check, OpenCall};
use super::Judge;
use crate::limits::Effect;
use crate::rule::Rule;
use crate::trace::*;

impl Judge {
    /// Handles a call that reached an endpoint.
    pub(super) fn call_received(&mut self, entry: Entry) {
        let Event::CallReceived { call, message, courier, endpoint, partner, first_byte, intact } =
            entry.event
        else {
            return;
        };
        let now = entry.at;
        let key = message.and_then(|message| self.messages.get(&message)).and_then(|m| m.key);
        self.calls.insert(call, OpenCall { message, courier, partner, key, began_at: now });
        let Some(id) = message else {
            let description = "a call for a message that no client enqueued".to_owned();
            return self.report_violation(Rule::Destination, courier, None, description, [entry]);
        };
        self.check_retry_after(entry, id, courier, partner);
        self.check_drain(entry, id, courier, endpoint, first_byte);
        self.check_slow_start(entry, id, courier, partner);
        let Some(m) = self.messages.get_mut(&id) else {
            let description = "a call for a message whose deadline passed long ago".to_owned();
            return self.report_violation(Rule::FinalAnswer, courier, Some(id), description, [entry]);
        };
        m.record(entry);
        self.check_destination(id, courier, partner, intact);
        self.check_repeat(id, call, courier, now);
        self.check_order(id, courier, now);
    }

    /// Checks that a call comes from the courier that the message was enqueued at, goes to the message's partner, and
    /// has the idempotency key and body that were enqueued.
    fn check_destination(&mut self, id: MessageId, courier: CourierId, partner: PartnerId, intact: bool) {
        let Some(m) = self.messages.get(&id) else { return };
        let (rule, description) = if m.courier != courier {
            (Rule::Destination, format!("sent by {courier}, though it was enqueued at {}", m.courier))
        } else if m.partner != partner {
            (Rule::Destination, format!("sent to {partner}, though it is for {}", m.partner))
        } else if !intact {
            // With another idempotency key the partner cannot recognize a repeat, so the effect may happen twice.
            (Rule::Twice, "sent with another idempotency key or body than it was enqueued with".to_owned())
        } else {
            return;
        };
        self.report_violation(rule, courier, Some(id), description, []);
    }

    /// Checks that a message is not sent after its final result, while another call is in flight, or where a repeat
    /// could take effect twice.
    fn check_repeat(&mut self, id: MessageId, call: CallId, courier: CourierId, now: Timestamp) {
        let slack = self.limits.socket_slack;
        let is_checked = self.is_checked(id);
        let Some(m) = self.messages.get_mut(&id) else { return };
        let earlier_calls = m.calls_in_flight.clone();
        m.calls_in_flight.push(call);
        m.undeliverable_since = None;
        let first_notice = m.first_notice;
        let got_busy_reply = m.got_busy_reply;
        let first_possible_run = m.first_possible_run;
        if !is_checked {
            return;
        }
        if let Some(notice) = first_notice.filter(|notice| now > notice.received_at + slack) {
            let description = format!("sent {:?} after its notice", now - notice.received_at);
            let returned = matches!(notice.verdict, Verdict::Returned(_));
            let rule = if returned { Rule::Twice } else { Rule::FinalAnswer };
            return self.report_violation(rule, courier, Some(id), description, []);
        }
        if got_busy_reply {
            let description = "sent, though its enqueue request was rejected".to_owned();
            return self.report_violation(Rule::Twice, courier, Some(id), description, []);
        }
        // The end of an earlier call may still be on its way on another connection, so the check is delayed.
        for earlier in earlier_calls {
            self.checks.insert((now + slack, Check::ConcurrentCalls(earlier), id));
        }
        if let Some(first_possible_run) = first_possible_run {
            self.check_effect(id, courier, first_possible_run, now);
        }
    }

    /// Checks that the effect of the message's class allows a repeat now. `first_possible_run` is the time of the first
    /// call that may have run.
    fn check_effect(
        &mut self,
        id: MessageId,
        courier: CourierId,
        first_possible_run: Timestamp,
        now: Timestamp,
    ) {
        let description = match self.class_of(id).effect {
            Effect::Unsafe => format!("sent again {:?} after a call that may have run", now - first_possible_run),
            Effect::Keyed { window } if now > first_possible_run + window + self.limits.socket_slack => format!(
                "sent again {:?} after the first call that may have run; the key is remembered for {window:?}",
                now - first_possible_run
            ),
            _ => return,
        };
        self.report_violation(Rule::Twice, courier, Some(id), description, []);
    }

    /// Handles the response of an endpoint to a call.
    pub(super) fn call_answered(&mut self, entry: Entry, call: CallId, answer: Answer) {
        let Some(OpenCall { message, courier, partner, began_at, .. }) = self.calls.remove(&call) else {
            return;
        };
        if answer != Answer::Ok {
            self.failure_seen(courier, partner, entry);
        }
        if let Answer::Rejected(Some(retry_after_ms)) = answer {
            self.retry_after_received(entry, courier, partner, retry_after_ms);
        }
        let Some(message) = message else { return };
        let Some(m) = self.messages.get_mut(&message) else { return };
        m.record(entry);
        m.calls_in_flight.retain(|in_flight| *in_flight != call);
        if answer.may_have_run() {
            m.first_possible_run.get_or_insert(began_at);
        }
        if answer == Answer::Ok {
            m.delivered_at.get_or_insert(entry.at);
        } else if answer.may_have_run() {
            self.check_undeliverable(message, entry.at);
        }
    }

    /// Handles a call whose connection was closed before a response.
    pub(super) fn call_aborted(&mut self, entry: Entry, call: CallId) {
        let Some(OpenCall { message, courier, partner, key, began_at }) = self.calls.remove(&call) else {
            return;
        };
        self.failure_seen(courier, partner, entry);
        let Some(message) = message else { return };
        let Some(m) = self.messages.get_mut(&message) else { return };
        m.record(entry);
        m.calls_in_flight.retain(|in_flight| *in_flight != call);
        m.first_possible_run.get_or_insert(began_at);
        self.check_undeliverable(message, entry.at);
        if let Some(state) = key.and_then(|key| self.order_keys.get_mut(&(courier, key))) {
            state.last_aborted = Some(AbortedCall { at: entry.at, message, entry });
        }
    }

    /// Schedules the check of the failure notice if an unsafe message can no longer be sent, because a call for it may
    /// have run and none is in flight.
    fn check_undeliverable(&mut self, message: MessageId, now: Timestamp) {
        let effect = self.class_of(message).effect;
        let Some(m) = self.messages.get_mut(&message) else { return };
        if effect == Effect::Unsafe && m.calls_in_flight.is_empty() && m.delivered_at.is_none() {
            m.undeliverable_since = Some(now);
            self.checks.insert((now + self.limits.max_notice_delay, Check::LateFailureNotice, message));
        }
    }
}
