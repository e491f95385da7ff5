//! The invariant checker: reads a trace entry by entry and reports each violation of a [`Rule`].
//!
//! The checks are grouped by subject; each module below adds the methods of one group to [`Judge`].

mod calls;
mod clients;
mod deadlines;
mod order;
mod partners;
mod processes;
mod state;

use crate::limits::{ClassRules, Effect, RuleLimits};
use crate::message::{EnqueueStatus, Message};
use crate::rule::{Rule, Violation};
use crate::trace::*;
use state::{Check, Courier, OpenCall, OrderKeyState, Outage, RetryAfter};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Maximum number of violations kept with their evidence; further ones are only counted.
pub const MAX_VIOLATIONS: usize = 500;

/// Checks a trace against the rules. Pass every entry in time order to [`Judge::feed`], then call [`Judge::finish`].
pub struct Judge {
    limits: RuleLimits,
    now: Timestamp,
    messages: HashMap<MessageId, Message>,
    /// Calls without an outcome yet.
    calls: HashMap<CallId, OpenCall>,
    order_keys: HashMap<(CourierId, OrderKey), OrderKeyState>,
    couriers: BTreeMap<CourierId, Courier>,
    /// Endpoints that are draining or deleted, each with the entry that first reported it to the courier.
    drains: HashMap<(CourierId, EndpointId), Entry>,
    /// Retry-after times that partners gave to couriers.
    retry_after_times: HashMap<(CourierId, PartnerId), Vec<RetryAfter>>,
    outages: HashMap<PartnerId, Outage>,
    /// Scheduled checks, in the order in which they are due.
    checks: BTreeSet<(Timestamp, Check, MessageId)>,
    violations: Vec<Violation>,
    violation_counts: BTreeMap<Rule, u64>,
}

impl Judge {
    /// A judge that applies the given limits.
    pub fn new(limits: RuleLimits) -> Self {
        Judge {
            limits,
            now: Timestamp(0),
            messages: HashMap::new(),
            calls: HashMap::new(),
            order_keys: HashMap::new(),
            couriers: BTreeMap::new(),
            drains: HashMap::new(),
            retry_after_times: HashMap::new(),
            outages: HashMap::new(),
            checks: BTreeSet::new(),
            violations: Vec::new(),
            violation_counts: BTreeMap::new(),
        }
    }

    /// The violations found so far, up to [`MAX_VIOLATIONS`].
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// The number of violations found so far, by rule.
    pub fn violation_counts(&self) -> &BTreeMap<Rule, u64> {
        &self.violation_counts
    }

    /// The number of messages in memory: those in progress, and those of the last seconds.
    pub fn tracked_messages(&self) -> usize {
        self.messages.len()
    }

    /// The number of messages that couriers still have to deliver or to end with a notice.
    pub fn pending_messages(&self) -> usize {
        self.messages.values().filter(|message| message.is_pending()).count()
    }

    /// Whether some call for a message may have run.
    pub fn may_have_run(&self, message: MessageId) -> bool {
        self.messages.get(&message).is_some_and(Message::may_have_run)
    }

    /// Whether a message was delivered.
    pub fn is_delivered(&self, message: MessageId) -> bool {
        self.messages.get(&message).is_some_and(|m| m.delivered_at.is_some())
    }

    /// Processes one entry. An entry that is older than the one before is treated as if it had that one's time.
    pub fn feed(&mut self, mut entry: Entry) {
        entry.at = entry.at.max(self.now);
        self.advance(entry.at);
        match entry.event {
            Event::EnqueueSent { .. } => self.enqueue_sent(entry),
            Event::EnqueueAnswered { message, outcome } => self.enqueue_answered(entry, message, outcome),
            Event::CallReceived { .. } => self.call_received(entry),
            Event::CallAnswered { call, answer } => self.call_answered(entry, call, answer),
            Event::CallAborted { call, .. } => self.call_aborted(entry, call),
            Event::Notice { message, courier, verdict } => self.notice(entry, message, courier, verdict),
            Event::NoticeAnswered { message } => self.notice_answered(entry, message),
            Event::ListingUpdated { courier, endpoint, state } => {
                self.listing_updated(entry, courier, endpoint, state);
            }
            Event::OutageBegan { partner } => self.outage_began(entry, partner),
            Event::OutageEnded { partner, capacity, cold_capacity_share, warm_at } => {
                self.outage_ended(entry, partner, capacity, cold_capacity_share, warm_at);
            }
            Event::Process { courier, change } => self.process_changed(entry, courier, change),
        }
    }

    /// Runs all checks that are due by `now`.
    pub fn advance(&mut self, now: Timestamp) {
        while let Some((at, check, message)) = self.checks.first().copied().filter(|(at, ..)| *at <= now) {
            self.checks.pop_first();
            self.now = self.now.max(at);
            self.run_check(at, check, message);
        }
        self.now = self.now.max(now);
    }

    /// Ends the trace: every pending message whose deadline has passed is reported, even where its courier is
    /// unavailable.
    pub fn finish(&mut self, now: Timestamp) {
        self.advance(now);
        let slack = self.limits.deadline_slack;
        let is_overdue = |message: &Message| message.is_pending() && now >= message.deadline + slack;
        let overdue = self.messages.iter().filter(|(_, message)| is_overdue(message));
        let overdue: Vec<MessageId> = overdue.map(|(id, _)| *id).collect();
        for message in overdue {
            self.report_overdue(message);
        }
    }

    fn class(&self, class: ClassId) -> ClassRules {
        let unknown = ClassRules { effect: Effect::Safe, in_order: false };
        self.limits.classes.get(usize::from(class.0)).copied().unwrap_or(unknown)
    }

    fn class_of(&self, message: MessageId) -> ClassRules {
        let class = self.messages.get(&message).map_or(ClassId(u8::MAX), |m| m.class);
        self.class(class)
    }

    /// Whether the rules apply to a message. They do not if it is unknown, if its enqueue request failed or timed
    /// out, or if its courier's folder was lost. A message that got a `-BUSY` reply is checked, as it must not be sent.
    fn is_checked(&self, message: MessageId) -> bool {
        self.messages
            .get(&message)
            .is_some_and(|m| m.status != EnqueueStatus::NoObligation || m.got_busy_reply)
    }

    /// Counts a violation, and keeps it with the evidence of its message and the given additional entries.
    fn report_violation(
        &mut self,
        rule: Rule,
        courier: CourierId,
        message: Option<MessageId>,
        description: String,
        more_evidence: impl IntoIterator<Item = Entry>,
    ) {
        *self.violation_counts.entry(rule).or_default() += 1;
        if self.violations.len() >= MAX_VIOLATIONS {
            return;
        }
        let of_message = message.and_then(|message| self.messages.get(&message));
        let mut evidence: Vec<Entry> = of_message.map(|m| m.evidence.clone()).unwrap_or_default();
        evidence.extend(more_evidence);
        evidence.sort_by_key(|entry| entry.at);
        evidence.dedup();
        self.violations.push(Violation { at: self.now, rule, courier, message, description, evidence });
    }
}
