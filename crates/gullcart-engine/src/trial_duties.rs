//! Which partners in an outage this courier tries for all, where couriers agree on that, and what it makes of what others
//! learnt. Each destination that is held to be out is a duty: who holds it tries, tells all that want it what came of it, and
//! passes it on where it gets nowhere. Without a holder, or without news of one, each courier tries for itself as ever.

use cloverstile::{Courier, DestinationId, Event, News, Outing, Time, Trials};
use std::collections::BTreeMap;
use std::time::Duration;

/// Destinations that are wanted at a time; beyond them each courier tries for itself.
const MOST: usize = 1024;
/// A holder that gets nowhere for so many times the fall window passes the duty on: it may be its own way that fails.
const HELD_FALLS: u32 = 2;
/// Where nothing is wanted, outages are looked for so often.
const LOOK: Duration = Duration::from_millis(5);
/// Before the group is asked again for what it does not know to be wanted.
const ASK_AGAIN: Duration = Duration::from_secs(1);

/// Who holds a duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DutyHolder {
    /// Nobody, as far as is known.
    Nobody,
    /// This courier, until then at the least.
    ThisCourier {
        /// Under which epoch.
        epoch: u64,
        /// Until when it may act, if it hears no more.
        until: Time,
    },
    /// Another one, which is believed until then.
    OtherCourier {
        /// Until when.
        until: Time,
    },
}

/// What a holder told last.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyReport {
    /// Under which epoch.
    pub epoch: u64,
    /// In its own words.
    pub payload: Vec<u8>,
    /// When that was agreed on, at the latest.
    pub agreed_at: Time,
}

/// How a duty stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyView {
    /// Who holds it.
    pub holder: DutyHolder,
    /// What was told of it.
    pub report: Option<DutyReport>,
}

/// What is to be asked of the group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TrialRequest {
    /// To try a destination for all.
    Register(DestinationId),
    /// No more: it serves, or nothing waits for it.
    Unregister(DestinationId),
    /// That another one tries it, and this one not for so long.
    PassOn(DestinationId, Duration),
    /// To tell all that want it something.
    Report(DestinationId, Vec<u8>),
}

/// What a holder learnt, as it is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TrialOutcome {
    /// It served a call so long ago.
    Served(Duration),
    /// It said to wait for so long.
    RetryAfter(Duration),
}

impl TrialOutcome {
    fn write(self) -> Vec<u8> {
        let (kind, span) = match self {
            TrialOutcome::Served(ago) => (b's', ago),
            TrialOutcome::RetryAfter(left) => (b'w', left),
        };
        let mut words = vec![kind];
        words.extend((span.as_millis().min(u128::from(u64::MAX)) as u64).to_le_bytes());
        words
    }

    /// Words of another release may mean nothing here.
    fn read(words: &[u8]) -> Option<Self> {
        let (kind, rest) = words.split_first()?;
        let span = Duration::from_millis(u64::from_le_bytes(rest.try_into().ok()?));
        match kind {
            b's' => Some(TrialOutcome::Served(span)),
            b'w' => Some(TrialOutcome::RetryAfter(span)),
            _ => None,
        }
    }

    /// As news here. It is never taken for earlier than it was: a return is rather slow, and a wait rather long.
    fn news(self, at: Time) -> News {
        match self {
            TrialOutcome::Served(ago) => News::Served(at - ago),
            TrialOutcome::RetryAfter(left) => News::Wait(at + left),
        }
    }
}

#[derive(Debug, Default)]
struct TrackedDuty {
    /// Under which epoch this courier holds it, and since when.
    held: Option<(u64, Time)>,
    /// When the group was asked for it last.
    asked: Time,
    /// What it told under that epoch, and when.
    told: Option<(Vec<u8>, Time)>,
    /// What was heard of others last.
    heard: Option<(u64, Vec<u8>)>,
}

/// The duties of one courier.
#[derive(Debug)]
pub struct TrialDuties {
    wanted: BTreeMap<DestinationId, TrackedDuty>,
    rng: fastrand::Rng,
    fall: Duration,
    looked: Option<Time>,
}

impl TrialDuties {
    /// None yet. `fall` is the window of the rule on returning destinations.
    pub fn new(fall: Duration, seed: u64) -> Self {
        TrialDuties { wanted: BTreeMap::new(), rng: fastrand::Rng::with_seed(seed), fall, looked: None }
    }

    /// Looks at outages and duties. What the decisions are to hear, and what is to be asked of the group. `asked` are the
    /// duties that the group has been asked for, also by a process before this one.
    pub fn update(
        &mut self,
        now: Time,
        courier: &Courier,
        asked: impl IntoIterator<Item = DestinationId>,
        view: impl Fn(DestinationId) -> Option<DutyView>,
    ) -> (Vec<Event>, Vec<TrialRequest>) {
        let (mut events, mut wishes) = (Vec::new(), Vec::new());
        if self.wanted.is_empty() && self.looked.is_some_and(|at| now < at + LOOK) {
            return (events, wishes);
        }
        self.looked = Some(now);
        for to in courier.outings() {
            let is_new = !self.wanted.contains_key(&to) && self.wanted.len() < MOST;
            if is_new && courier.outing(to).is_some_and(|outing| outing.waiting) {
                self.wanted.insert(to, TrackedDuty { asked: now, ..TrackedDuty::default() });
                wishes.push(TrialRequest::Register(to));
            }
        }
        for to in asked {
            // A process before this one asked for it, and it has served since.
            if !self.wanted.contains_key(&to) {
                wishes.push(TrialRequest::Unregister(to));
            }
        }
        let mut over = Vec::new();
        for (to, wanted) in &mut self.wanted {
            let outing = courier.outing(*to);
            let view = view(*to);
            if view.is_none() && now - wanted.asked > ASK_AGAIN {
                // The group was not there to be asked, or began anew since.
                wanted.asked = now;
                wishes.push(TrialRequest::Register(*to));
            }
            let view = view.unwrap_or(DutyView { holder: DutyHolder::Nobody, report: None });
            let chance = self.rng.f64();
            let (stays, trials) = match outing {
                Some(outing) => {
                    events.extend(wanted.hear(*to, &view));
                    wanted.stand(now, *to, outing, &view, self.fall * HELD_FALLS, chance, &mut wishes)
                }
                None => (false, Trials::Own),
            };
            events.push(Event::Trials(*to, trials));
            if !stays {
                wishes.push(TrialRequest::Unregister(*to));
                over.push(*to);
            }
        }
        over.iter().for_each(|to| drop(self.wanted.remove(to)));
        (events, wishes)
    }
}

impl TrackedDuty {
    /// What others told since it was looked at last.
    fn hear(&mut self, to: DestinationId, view: &DutyView) -> Option<Event> {
        let DutyReport { epoch, payload: words, agreed_at: at } = view.report.as_ref()?;
        let is_own = self.held.is_some_and(|(held, _)| held == *epoch);
        let is_old = self.heard.as_ref().is_some_and(|(known, said)| (*known, said) >= (*epoch, words));
        if is_own || is_old {
            return None;
        }
        self.heard = Some((*epoch, words.clone()));
        let news = TrialOutcome::read(words)?.news(*at);
        Some(Event::Learnt(to, news))
    }

    /// Whether it is wanted on, and who tries until this is looked at again.
    #[allow(clippy::too_many_arguments)]
    fn stand(
        &mut self,
        now: Time,
        to: DestinationId,
        outing: Outing,
        view: &DutyView,
        longest: Duration,
        chance: f64,
        wishes: &mut Vec<TrialRequest>,
    ) -> (bool, Trials) {
        let is_out = outing.since.is_some();
        let (epoch, until) = match view.holder {
            DutyHolder::Nobody => return (is_out, Trials::Own),
            DutyHolder::OtherCourier { until } => return (is_out, Trials::Elsewhere(until)),
            DutyHolder::ThisCourier { epoch, until } => (epoch, until),
        };
        if self.held.is_none_or(|(held, _)| held != epoch) {
            (self.held, self.told) = (Some((epoch, now)), None);
        }
        let since = self.held.map_or(now, |(_, since)| since);
        if is_out {
            // What was told of the outage before is over.
            self.told = None;
            let gets_nowhere = now - since > longest;
            if !outing.waiting || gets_nowhere {
                wishes.push(TrialRequest::PassOn(to, longest.mul_f64(1.0 + chance)));
                return (true, Trials::Own);
            }
            return (true, Trials::Held(until));
        }
        // It serves, or said when it will. Those that wait for it hear of that before it is given up.
        if self.told.is_none() {
            let lesson = if outing.told_wait > now {
                TrialOutcome::RetryAfter(outing.told_wait - now)
            } else if outing.last_answer >= since {
                TrialOutcome::Served(now - outing.last_answer)
            } else {
                return (false, Trials::Own);
            };
            let words = lesson.write();
            wishes.push(TrialRequest::Report(to, words.clone()));
            self.told = Some((words, now));
        }
        // Words that get lost on their way are not waited for without end: others find out for themselves.
        let is_done = self.told.as_ref().is_some_and(|(words, at)| {
            let is_heard =
                view.report.as_ref().is_some_and(|told| told.epoch == epoch && told.payload == *words);
            is_heard || now - *at > longest
        });
        (!is_done, Trials::Held(until))
    }
}

#[cfg(test)]
mod tests;
