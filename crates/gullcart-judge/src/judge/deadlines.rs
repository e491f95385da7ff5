//! Scheduled checks: overdue messages, late failure notices, concurrent calls, and when a message is forgotten.

use super::clients::MESSAGE_RETENTION;
use super::state::Check;
use super::Judge;
use crate::rule::Rule;
use crate::trace::*;

impl Judge {
    /// Runs a check that is due.
    pub(super) fn run_check(&mut self, at: Timestamp, check: Check, message: MessageId) {
        match check {
            Check::Forget => self.forget_unless_pending(at, message),
            Check::ConcurrentCalls(older) => self.check_concurrent_calls(older, message),
            Check::Overdue | Check::LateFailureNotice => self.check_end(at, check, message),
        }
    }

    /// Drops a message from memory; one that is pending and not yet reported is kept for another retention time.
    fn forget_unless_pending(&mut self, at: Timestamp, message: MessageId) {
        let Some(m) = self.messages.get(&message) else { return };
        if m.is_pending() && !m.is_reported {
            self.checks.insert((at + MESSAGE_RETENTION, Check::Forget, message));
        } else {
            self.forget(message);
        }
    }

    /// Checks that the older of two calls for one message has ended, or that no other call is in flight any more.
    fn check_concurrent_calls(&mut self, older: CallId, message: MessageId) {
        let Some(m) = self.messages.get(&message) else { return };
        if m.calls_in_flight.contains(&older) && m.calls_in_flight.len() > 1 {
            let courier = m.courier;
            let description = format!("sent again while {older} was still in flight");
            self.report_violation(Rule::Twice, courier, Some(message), description, []);
        }
    }

    /// Checks that a message has its final result. The check is postponed while the courier is unavailable and for a
    /// short time after it became ready.
    fn check_end(&mut self, at: Timestamp, check: Check, message: MessageId) {
        let Some(m) = self.messages.get(&message) else { return };
        let excused_until = match self.couriers.get_mut(&m.courier) {
            Some(state) if state.unavailable => {
                state.postponed_checks.push((check, message));
                return;
            }
            // Clients send nothing to a courier before it is first ready, so no excuse is needed without a ready time.
            Some(state) if state.ready_at > Timestamp(0) => state.ready_at + self.limits.ready_slack,
            _ => Timestamp(0),
        };
        if at < excused_until {
            self.checks.insert((excused_until, check, message));
        } else if check == Check::Overdue {
            self.report_overdue(message);
        } else {
            self.report_late_failure_notice(message);
        }
    }

    /// Reports, once, a message without a final result after its deadline.
    pub(super) fn report_overdue(&mut self, message: MessageId) {
        let pending = self.messages.get_mut(&message).filter(|m| m.is_pending() && !m.is_reported);
        let Some(m) = pending else { return };
        m.is_reported = true;
        let courier = m.courier;
        let overdue = self.now - m.deadline;
        let description = format!("neither delivered nor ended by a notice {overdue:?} after its deadline");
        self.report_violation(Rule::Lost, courier, Some(message), description, []);
    }

    /// Reports, once, an undeliverable message whose failure notice was not sent in time.
    fn report_late_failure_notice(&mut self, message: MessageId) {
        let pending = self.messages.get_mut(&message).filter(|m| m.is_pending() && !m.is_reported);
        let Some(m) = pending else { return };
        let Some(since) = m.undeliverable_since else { return };
        m.is_reported = true;
        let courier = m.courier;
        let description =
            format!("its failure was not reported {:?} after it became undeliverable", self.now - since);
        self.report_violation(Rule::FinalAnswer, courier, Some(message), description, []);
    }

    fn forget(&mut self, message: MessageId) {
        let Some(m) = self.messages.remove(&message) else { return };
        for call in &m.calls_in_flight {
            self.calls.remove(call);
        }
        let Some(key) = m.key.map(|key| (m.courier, key)) else { return };
        let Some(state) = self.order_keys.get_mut(&key) else { return };
        state.queue.retain(|other| *other != message);
        if state.queue.is_empty() {
            self.order_keys.remove(&key);
        }
    }
}
