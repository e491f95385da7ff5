//! The judge: takes a trace in, entry by entry, and reports each breach of the six rules.
//!
//! The checks are grouped by what they look at; each group is a module below that adds its methods to [`Judge`].

mod calls;
mod clients;
mod deadlines;
mod order;
mod partners;
mod processes;
mod state;

use crate::figures::{ClassRules, Effect, Figures};
use crate::message::{Message, Standing};
use crate::rule::{Breach, Rule};
use crate::trace::*;
use state::{Check, Courier, KeyState, OpenCall, Outage, RetryAfter};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Breaches that are kept whole; later ones are only counted.
pub const MOST_BREACHES: usize = 500;

/// Judges a trace. Feed it every entry in the order of time, then [`Judge::finish`].
pub struct Judge {
    figures: Figures,
    now: At,
    messages: HashMap<MessageId, Message>,
    calls: HashMap<CallId, OpenCall>,
    keys: HashMap<(CourierId, OrderKey), KeyState>,
    couriers: BTreeMap<CourierId, Courier>,
    /// Endpoints that drain or are gone, by whom it was told.
    drains: HashMap<(CourierId, EndpointId), Entry>,
    waits: HashMap<(CourierId, PartnerId), Vec<RetryAfter>>,
    outages: HashMap<PartnerId, Outage>,
    /// Checks that are due later, by their time.
    checks: BTreeSet<(At, Check, MessageId)>,
    breaches: Vec<Breach>,
    counts: BTreeMap<Rule, u64>,
}

impl Judge {
    /// A judge with the figures of the rules.
    pub fn new(figures: Figures) -> Self {
        Judge {
            figures,
            now: At(0),
            messages: HashMap::new(),
            calls: HashMap::new(),
            keys: HashMap::new(),
            couriers: BTreeMap::new(),
            drains: HashMap::new(),
            waits: HashMap::new(),
            outages: HashMap::new(),
            checks: BTreeSet::new(),
            breaches: Vec::new(),
            counts: BTreeMap::new(),
        }
    }

    /// The breaches found so far, the first [`MOST_BREACHES`] of them.
    pub fn breaches(&self) -> &[Breach] {
        &self.breaches
    }

    /// How many breaches of each rule were found.
    pub fn counts(&self) -> &BTreeMap<Rule, u64> {
        &self.counts
    }

    /// Messages that are remembered now: those under way, and those of the last seconds.
    pub fn remembered(&self) -> usize {
        self.messages.len()
    }

    /// Messages that couriers owe an end.
    pub fn owed(&self) -> usize {
        self.messages.values().filter(|message| message.is_owed()).count()
    }

    /// Whether some call for a message may have run.
    pub fn may_have_run(&self, message: MessageId) -> bool {
        self.messages.get(&message).is_some_and(Message::may_have_run)
    }

    /// Whether a message was delivered.
    pub fn is_delivered(&self, message: MessageId) -> bool {
        self.messages.get(&message).is_some_and(|m| m.delivered.is_some())
    }

    /// Takes one entry in. Entries that come out of time are taken for as late as the last one.
    pub fn feed(&mut self, mut entry: Entry) {
        entry.at = entry.at.max(self.now);
        self.advance(entry.at);
        match entry.event {
            Event::HandIn { .. } => self.handed_in(entry),
            Event::Answered { message, told } => self.answered(entry, message, told),
            Event::Call { .. } => self.call(entry),
            Event::CallAnswered { call, answer } => self.call_answered(entry, call, answer),
            Event::CallCut { call, .. } => self.call_cut(entry, call),
            Event::Notice { message, courier, ended } => self.notice(entry, message, courier, ended),
            Event::NoticeAnswered { message } => self.notice_answered(entry, message),
            Event::Listed { courier, endpoint, state } => self.listed(entry, courier, endpoint, state),
            Event::Out { partner } => self.outage_began(entry, partner),
            Event::Back { partner, capacity, cold_from, warm } => {
                self.outage_ended(entry, partner, capacity, cold_from, warm);
            }
            Event::Process { courier, what } => self.process(entry, courier, what),
        }
    }

    /// Lets time pass.
    pub fn advance(&mut self, now: At) {
        while let Some((at, check, message)) = self.checks.first().copied().filter(|(at, ..)| *at <= now) {
            self.checks.pop_first();
            self.now = self.now.max(at);
            self.run_check(at, check, message);
        }
        self.now = self.now.max(now);
    }

    /// The trace has ended: what is still owed by couriers that are there will never be told.
    pub fn finish(&mut self, now: At) {
        self.advance(now);
        let end_slack = self.figures.end_slack;
        let is_late = |message: &Message| message.is_owed() && now >= message.deadline + end_slack;
        let late = self.messages.iter().filter(|(_, message)| is_late(message));
        let late: Vec<MessageId> = late.map(|(id, _)| *id).collect();
        for message in late {
            self.report_overdue(message);
        }
    }

    fn class(&self, class: ClassId) -> ClassRules {
        let unknown = ClassRules { effect: Effect::Safe, in_order: false };
        self.figures.classes.get(usize::from(class.0)).copied().unwrap_or(unknown)
    }

    fn class_of(&self, message: MessageId) -> ClassRules {
        let class = self.messages.get(&message).map_or(ClassId(u8::MAX), |m| m.class);
        self.class(class)
    }

    /// Whether the rules hold for a message: they do not once its client gave it up.
    fn matters(&self, message: MessageId) -> bool {
        self.messages.get(&message).is_some_and(|m| m.standing != Standing::Void || m.refused)
    }

    /// Counts a breach, and keeps it with the trace lines of its message and any others that show it.
    fn report_breach(
        &mut self,
        rule: Rule,
        courier: CourierId,
        message: Option<MessageId>,
        what: String,
        more_proof: impl IntoIterator<Item = Entry>,
    ) {
        *self.counts.entry(rule).or_default() += 1;
        if self.breaches.len() >= MOST_BREACHES {
            return;
        }
        let of_message = message.and_then(|message| self.messages.get(&message));
        let mut proof: Vec<Entry> = of_message.map(|m| m.proof.clone()).unwrap_or_default();
        proof.extend(more_proof);
        proof.sort_by_key(|entry| entry.at);
        proof.dedup();
        self.breaches.push(Breach { at: self.now, rule, courier, message, what, proof });
    }
}
