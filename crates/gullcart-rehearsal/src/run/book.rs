//! What the judge and the clients make of what happens.

use super::*;
use crate::day::Arrival;

/// A hand-in that is remembered.
pub(super) struct Handed {
    pub(super) origin: usize,
    pub(super) courier: usize,
    pub(super) taken: bool,
    pub(super) delivered: Option<At>,
    pub(super) over: bool,
    pub(super) forget: At,
}

/// What a client meant to send; further tries belong to it.
pub(super) struct Origin {
    pub(super) arrival: Arrival,
    pub(super) retries: u32,
    pub(super) tries: u32,
    pub(super) delivered: bool,
}

/// What the judge and the clients make of what happens.
pub(super) struct Book {
    pub(super) judge: Judge,
    pub(super) service: Service,
    pub(super) handed: HashMap<MessageId, Handed>,
    pub(super) forget: VecDeque<MessageId>,
    pub(super) calls: HashMap<CallId, MessageId>,
    pub(super) origins: Vec<Origin>,
    pub(super) counts: Counts,
    /// Messages that were returned, with the wait that was told.
    pub(super) returned: Vec<(usize, Option<u64>)>,
    /// Latencies of the last second, in milliseconds.
    pub(super) recent: Vec<f64>,
    pub(super) next: u64,
}

impl Book {
    pub(super) fn hear(&mut self, entry: Entry) {
        self.judge.feed(entry);
        match entry.event {
            Event::Answered { message, told } => {
                let Some(handed) = self.handed.get_mut(&message) else { return };
                match told {
                    Told::Taken => {
                        self.counts.taken += 1;
                        handed.taken = true;
                        if let Some(at) = handed.delivered {
                            let origin = handed.origin;
                            self.deliver(origin, at);
                        }
                    }
                    Told::Busy(_) => self.counts.busy += 1,
                    _ => self.counts.unanswered += 1,
                }
            }
            Event::Call { call, message: Some(message), .. } => {
                self.counts.calls += 1;
                self.calls.insert(call, message);
            }
            Event::CallCut { call, .. } => drop(self.calls.remove(&call)),
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
            Event::Notice { message: Some(message), ended, .. } => {
                let Some(handed) = self.handed.get_mut(&message) else { return };
                if std::mem::replace(&mut handed.over, true) {
                    return;
                }
                match ended {
                    Ended::Failed => self.counts.failed += 1,
                    Ended::Returned(wait) => {
                        self.counts.returned += 1;
                        self.returned.push((handed.origin, wait));
                    }
                }
            }
            _ => {}
        }
    }

    pub(super) fn deliver(&mut self, origin: usize, at: At) {
        let origin = &mut self.origins[origin];
        if !std::mem::replace(&mut origin.delivered, true) {
            let arrival = origin.arrival;
            self.counts.delivered += 1;
            self.service.delivered(arrival.class, arrival.at, at);
            self.recent.push((at - arrival.at).as_secs_f64() * 1e3);
        }
    }

    pub(super) fn forget(&mut self, now: At) {
        while let Some(first) = self.forget.front() {
            if self.handed.get(first).is_some_and(|handed| handed.forget > now) {
                break;
            }
            self.handed.remove(first);
            self.forget.pop_front();
        }
    }
}
