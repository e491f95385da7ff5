//! What the judge and the clients make of what happens; both players of a day keep one.

use crate::day::Arrival;
use crate::figures::{rules, worths};
use crate::report::Counts;
use crate::scenario::{Effect, Scenario};
use gullcart_judge::trace::*;
use gullcart_judge::{Judge, ServiceMeter};
use std::collections::{HashMap, VecDeque};

/// A hand-in that is remembered.
pub struct Handed {
    /// Whose.
    pub origin: usize,
    /// To whom.
    pub courier: usize,
    /// Whether it was taken on.
    pub taken: bool,
    /// When it was delivered.
    pub delivered: Option<Timestamp>,
    /// Whether its end was told.
    pub over: bool,
    /// Until when it is remembered.
    pub forget: Timestamp,
}

/// What a client meant to send; further tries belong to it.
pub struct Origin {
    /// As it was meant.
    pub arrival: Arrival,
    /// Tries that its client has left after refusals.
    pub retries: u32,
    /// Hand-ins so far.
    pub tries: u32,
    /// Whether any of them was delivered.
    pub delivered: bool,
}

/// What the judge and the clients make of what happens.
pub struct Book {
    /// The rules.
    pub judge: Judge,
    /// The service kept.
    pub service: ServiceMeter,
    /// Hand-ins by number.
    pub handed: HashMap<MessageId, Handed>,
    /// ... in the order in which they are forgotten.
    pub forget: VecDeque<MessageId>,
    /// Calls that are out.
    pub calls: HashMap<CallId, MessageId>,
    /// By number.
    pub origins: Vec<Origin>,
    /// Counted over the run.
    pub counts: Counts,
    /// Messages that were returned, with the wait that was told.
    pub returned: Vec<(usize, Option<u64>)>,
    /// Latencies of the last second, in milliseconds.
    pub recent: Vec<f64>,
    /// The next hand-in.
    pub next: u64,
}

impl Book {
    /// An empty one for a scenario.
    pub fn new(scenario: &Scenario) -> Self {
        Book {
            judge: Judge::new(rules(scenario)),
            service: ServiceMeter::new(worths(scenario)),
            handed: HashMap::new(),
            forget: VecDeque::new(),
            calls: HashMap::new(),
            origins: Vec::new(),
            counts: Counts::default(),
            returned: Vec::new(),
            recent: Vec::new(),
            next: 0,
        }
    }

    /// What a lost courier held that comes again to a live one: all but what must not be repeated and may have run.
    pub fn lost_with(&self, courier: usize, scenario: &Scenario) -> Vec<usize> {
        let of = |(message, handed): (&MessageId, &Handed)| {
            let class = self.origins[handed.origin].arrival.class;
            let unsafe_class = scenario.classes[class].effect == Effect::Unsafe;
            let mine = handed.courier == courier && handed.taken && !handed.over;
            (mine && !(unsafe_class && self.judge.may_have_run(*message))).then_some(handed.origin)
        };
        let mut lost: Vec<usize> = self.handed.iter().filter_map(of).collect();
        lost.sort_unstable();
        lost
    }

    /// Something has happened.
    pub fn hear(&mut self, entry: Entry) {
        self.judge.feed(entry);
        match entry.event {
            Event::EnqueueAnswered { message, outcome: told } => {
                let Some(handed) = self.handed.get_mut(&message) else { return };
                match told {
                    EnqueueOutcome::Accepted => {
                        self.counts.taken += 1;
                        handed.taken = true;
                        if let Some(at) = handed.delivered {
                            let origin = handed.origin;
                            self.deliver(origin, at);
                        }
                    }
                    EnqueueOutcome::Busy(_) => self.counts.busy += 1,
                    _ => self.counts.unanswered += 1,
                }
            }
            Event::CallReceived { call, message: Some(message), .. } => {
                self.counts.calls += 1;
                self.calls.insert(call, message);
            }
            Event::CallAborted { call, .. } => drop(self.calls.remove(&call)),
            Event::CallAnswered { call, answer } => {
                let message = self.calls.remove(&call);
                if answer == Answer::Ok {
                    if let Some(handed) = message.and_then(|message| self.handed.get_mut(&message)) {
                        handed.over = true;
                        handed.delivered.get_or_insert(entry.at);
                        if handed.taken {
                            let origin = handed.origin;
                            self.deliver(origin, entry.at);
                        }
                    }
                }
            }
            Event::Notice { message: Some(message), verdict: ended, .. } => {
                let Some(handed) = self.handed.get_mut(&message) else { return };
                if std::mem::replace(&mut handed.over, true) {
                    return;
                }
                match ended {
                    Verdict::Failed => self.counts.failed += 1,
                    Verdict::Returned(wait) => {
                        self.counts.returned += 1;
                        self.returned.push((handed.origin, wait));
                    }
                }
            }
            _ => {}
        }
    }

    fn deliver(&mut self, origin: usize, at: Timestamp) {
        let origin = &mut self.origins[origin];
        if !std::mem::replace(&mut origin.delivered, true) {
            let arrival = origin.arrival;
            self.counts.delivered += 1;
            self.service.record_delivery(arrival.class, arrival.at, at);
            self.recent.push((at - arrival.at).as_secs_f64() * 1e3);
        }
    }

    /// Forgets what can matter no more.
    pub fn forget(&mut self, now: Timestamp) {
        while let Some(first) = self.forget.front() {
            if self.handed.get(first).is_some_and(|handed| handed.forget > now) {
                break;
            }
            self.handed.remove(first);
            self.forget.pop_front();
        }
    }
}
