//! What clients learn: the replies to their enqueue requests, and the notices that end their messages.

use super::state::Check;
use super::Judge;
use crate::limits::Effect;
use crate::message::{EnqueueStatus, Message, NoticeRecord};
use crate::rule::Rule;
use crate::trace::*;
use std::time::Duration;

/// How long after its deadline a message is remembered, so that a repeated notice or a late call is recognized.
pub(super) const MESSAGE_RETENTION: Duration = Duration::from_secs(10);

impl Judge {
    /// Handles an enqueue request.
    pub(super) fn enqueue_sent(&mut self, entry: Entry) {
        let Event::EnqueueSent { message, courier, class, key, partner, deadline } = entry.event else {
            return;
        };
        let enqueued = Message {
            courier,
            class,
            key,
            partner,
            deadline,
            status: EnqueueStatus::Unanswered,
            got_busy_reply: false,
            delivered_at: None,
            first_notice: None,
            first_possible_run: None,
            calls_in_flight: Vec::new(),
            undeliverable_since: None,
            is_reported: false,
            evidence: vec![entry],
        };
        self.messages.insert(message, enqueued);
        if let Some(key) = key.filter(|_| self.class(class).in_order) {
            self.order_keys.entry((courier, key)).or_default().queue.push_back(message);
        }
        self.checks.insert((deadline + self.limits.deadline_slack, Check::Overdue, message));
        self.checks.insert((deadline + MESSAGE_RETENTION, Check::Forget, message));
    }

    /// Handles the reply to an enqueue request, or the failure to get one.
    pub(super) fn enqueue_answered(&mut self, entry: Entry, message: MessageId, outcome: EnqueueOutcome) {
        let Some(m) = self.messages.get_mut(&message) else { return };
        m.record(entry);
        let courier = m.courier;
        if m.status != EnqueueStatus::Unanswered {
            return;
        }
        m.status = if outcome == EnqueueOutcome::Accepted {
            EnqueueStatus::Accepted
        } else {
            EnqueueStatus::NoObligation
        };
        m.got_busy_reply = matches!(outcome, EnqueueOutcome::Busy(_));
        let may_have_run = m.may_have_run();
        match outcome {
            EnqueueOutcome::Busy(_) if may_have_run && self.class_of(message).effect == Effect::Unsafe => {
                let description = "rejected, though a call for it may have run".to_owned();
                self.report_violation(Rule::Twice, courier, Some(message), description, []);
            }
            EnqueueOutcome::ConnectionLost => {
                let description =
                    "the connection was closed without a reply after the enqueue request was written"
                        .to_owned();
                self.report_violation(Rule::Lost, courier, Some(message), description, []);
            }
            _ => {}
        }
    }

    /// Handles a notice, with which a courier reports the final result of a message.
    pub(super) fn notice(
        &mut self,
        entry: Entry,
        message: Option<MessageId>,
        courier: CourierId,
        verdict: Verdict,
    ) {
        let Some(id) = message else {
            let description = "a notice for a message that no client enqueued".to_owned();
            return self.report_violation(Rule::FinalAnswer, courier, None, description, [entry]);
        };
        let effect = self.class_of(id).effect;
        let is_checked = self.is_checked(id);
        // Notices for messages that are no longer tracked are not checked.
        let Some(m) = self.messages.get_mut(&id) else { return };
        m.record(entry);
        let first_notice = m.first_notice;
        if first_notice.is_none() {
            m.first_notice = Some(NoticeRecord { verdict, received_at: entry.at, answered_at: None });
        }
        let may_have_run = m.may_have_run();
        if !is_checked {
            return;
        }
        if let Some(first_notice) = first_notice {
            self.check_repeated_notice(entry, id, courier, first_notice, verdict);
        } else if matches!(verdict, Verdict::Returned(_)) && may_have_run && effect == Effect::Unsafe {
            let description = "returned, though a call for it may have run".to_owned();
            self.report_violation(Rule::Twice, courier, Some(id), description, []);
        }
    }

    /// Checks a repeated notice. A notice may be repeated with the same verdict if its answer may not have reached the
    /// courier, as when discovery moves to another address, or if the courier has restarted since.
    fn check_repeated_notice(
        &mut self,
        entry: Entry,
        id: MessageId,
        courier: CourierId,
        first_notice: NoticeRecord,
        verdict: Verdict,
    ) {
        let started_at = self.couriers.get(&courier).map_or(Timestamp(0), |courier| courier.started_at);
        let max_delay = self.limits.max_notice_delay;
        let is_needless = first_notice
            .answered_at
            .is_some_and(|answered_at| answered_at + max_delay < entry.at && started_at <= answered_at);
        if !first_notice.verdict.has_same_kind(verdict) {
            let description =
                format!("ended as {verdict:?} after it was ended as {:?}", first_notice.verdict);
            self.report_violation(Rule::FinalAnswer, courier, Some(id), description, []);
        } else if is_needless {
            let description = "its notice was sent again after it had been answered".to_owned();
            self.report_violation(Rule::FinalAnswer, courier, Some(id), description, []);
        }
    }

    /// Handles the answer to a notice, after which the courier need not repeat it.
    pub(super) fn notice_answered(&mut self, entry: Entry, message: MessageId) {
        let Some(m) = self.messages.get_mut(&message) else { return };
        m.record(entry);
        if let Some(notice) = &mut m.first_notice {
            notice.answered_at.get_or_insert(entry.at);
        }
    }
}
