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
pub enum Holder {
    /// Nobody, as far as is known.
    Nobody,
    /// This courier, until then at the least.
    Me {
        /// Under which epoch.
        epoch: u64,
        /// Until when it may act, if it hears no more.
        until: Time,
    },
    /// Another one, which is believed until then.
    Other {
        /// Until when.
        until: Time,
    },
}

/// What a holder told last.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Told {
    /// Under which epoch.
    pub epoch: u64,
    /// In its own words.
    pub words: Vec<u8>,
    /// When that was agreed on, at the latest.
    pub at: Time,
}

/// How a duty stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyView {
    /// Who holds it.
    pub holder: Holder,
    /// What was told of it.
    pub told: Option<Told>,
}

/// What is to be asked of the group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TrialWish {
    /// To try a destination for all.
    Want(DestinationId),
    /// No more: it serves, or nothing waits for it.
    GiveUp(DestinationId),
    /// That another one tries it, and this one not for so long.
    PassOn(DestinationId, Duration),
    /// To tell all that want it something.
    Tell(DestinationId, Vec<u8>),
}

/// What a holder learnt, as it is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Lesson {
    /// It served a call so long ago.
    Served(Duration),
    /// It said to wait for so long.
    Wait(Duration),
}

impl Lesson {
    fn write(self) -> Vec<u8> {
        let (kind, span) = match self {
            Lesson::Served(ago) => (b's', ago),
            Lesson::Wait(left) => (b'w', left),
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
            b's' => Some(Lesson::Served(span)),
            b'w' => Some(Lesson::Wait(span)),
            _ => None,
        }
    }

    /// As news here. It is never taken for earlier than it was: a return is rather slow, and a wait rather long.
    fn news(self, at: Time) -> News {
        match self {
            Lesson::Served(ago) => News::Served(at - ago),
            Lesson::Wait(left) => News::Wait(at + left),
        }
    }
}

#[derive(Debug, Default)]
struct Wanted {
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
    wanted: BTreeMap<DestinationId, Wanted>,
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
    pub fn look(
        &mut self,
        now: Time,
        courier: &Courier,
        asked: impl IntoIterator<Item = DestinationId>,
        view: impl Fn(DestinationId) -> Option<DutyView>,
    ) -> (Vec<Event>, Vec<TrialWish>) {
        let (mut events, mut wishes) = (Vec::new(), Vec::new());
        if self.wanted.is_empty() && self.looked.is_some_and(|at| now < at + LOOK) {
            return (events, wishes);
        }
        self.looked = Some(now);
        for to in courier.outings() {
            let is_new = !self.wanted.contains_key(&to) && self.wanted.len() < MOST;
            if is_new && courier.outing(to).is_some_and(|outing| outing.waiting) {
                self.wanted.insert(to, Wanted { asked: now, ..Wanted::default() });
                wishes.push(TrialWish::Want(to));
            }
        }
        for to in asked {
            // A process before this one asked for it, and it has served since.
            if !self.wanted.contains_key(&to) {
                wishes.push(TrialWish::GiveUp(to));
            }
        }
        let mut over = Vec::new();
        for (to, wanted) in &mut self.wanted {
            let outing = courier.outing(*to);
            let view = view(*to);
            if view.is_none() && now - wanted.asked > ASK_AGAIN {
                // The group was not there to be asked, or began anew since.
                wanted.asked = now;
                wishes.push(TrialWish::Want(*to));
            }
            let view = view.unwrap_or(DutyView { holder: Holder::Nobody, told: None });
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
                wishes.push(TrialWish::GiveUp(*to));
                over.push(*to);
            }
        }
        over.iter().for_each(|to| drop(self.wanted.remove(to)));
        (events, wishes)
    }
}

impl Wanted {
    /// What others told since it was looked at last.
    fn hear(&mut self, to: DestinationId, view: &DutyView) -> Option<Event> {
        let Told { epoch, words, at } = view.told.as_ref()?;
        let is_own = self.held.is_some_and(|(held, _)| held == *epoch);
        let is_old = self.heard.as_ref().is_some_and(|(known, said)| (*known, said) >= (*epoch, words));
        if is_own || is_old {
            return None;
        }
        self.heard = Some((*epoch, words.clone()));
        let news = Lesson::read(words)?.news(*at);
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
        wishes: &mut Vec<TrialWish>,
    ) -> (bool, Trials) {
        let is_out = outing.since.is_some();
        let (epoch, until) = match view.holder {
            Holder::Nobody => return (is_out, Trials::Own),
            Holder::Other { until } => return (is_out, Trials::Elsewhere(until)),
            Holder::Me { epoch, until } => (epoch, until),
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
                wishes.push(TrialWish::PassOn(to, longest.mul_f64(1.0 + chance)));
                return (true, Trials::Own);
            }
            return (true, Trials::Held(until));
        }
        // It serves, or said when it will. Those that wait for it hear of that before it is given up.
        if self.told.is_none() {
            let lesson = if outing.told_wait > now {
                Lesson::Wait(outing.told_wait - now)
            } else if outing.last_answer >= since {
                Lesson::Served(now - outing.last_answer)
            } else {
                return (false, Trials::Own);
            };
            let words = lesson.write();
            wishes.push(TrialWish::Tell(to, words.clone()));
            self.told = Some((words, now));
        }
        // Words that get lost on their way are not waited for without end: others find out for themselves.
        let is_done = self.told.as_ref().is_some_and(|(words, at)| {
            let is_heard = view.told.as_ref().is_some_and(|told| told.epoch == epoch && told.words == *words);
            is_heard || now - *at > longest
        });
        (!is_done, Trials::Held(until))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use cloverstile::*;

    const TO: DestinationId = DestinationId(7);
    const NOW: Time = Time(500_000_000_000);

    /// A courier with messages for one destination, which fails all of them; what it is asked to do goes nowhere.
    struct Scene {
        courier: Courier,
        duties: TrialDuties,
        now: Time,
        view: Option<DutyView>,
        sent: Vec<MessageId>,
    }

    impl Scene {
        fn new() -> Self {
            let settings = Settings { couriers: 3, ..Settings::default() };
            let mut courier = Courier::new(settings.clone(), 1);
            let (id, zone, kind, mode) = (EndpointId(1), ZoneId(0), KindId(0), Mode::Ready);
            let entry = Endpoint { id, zone, kind, destination: TO, mode, weight: 100.0 };
            courier.handle(NOW, Event::Listed(Listing::Whole(vec![entry])));
            for number in 0..40 {
                courier.handle(
                    NOW,
                    Event::Accept(Accepted {
                        id: MessageId(number),
                        class: ClassId(0),
                        destination: TO,
                        key: None,
                        deadline: NOW + Duration::from_secs(20),
                        from_dead_courier: false,
                        tenant: TenantId(0),
                    }),
                );
            }
            let duties = TrialDuties::new(Duration::from_secs(2), 3);
            Scene { courier, duties, now: NOW, view: None, sent: Vec::new() }
        }

        /// Lets so much time pass; calls that were sent meanwhile end so, and what was asked of the group.
        fn pass(&mut self, span: Duration, outcome: Outcome) -> (usize, Vec<TrialWish>) {
            let (end, mut sent, mut wishes) = (self.now + span, 0, Vec::new());
            while self.now < end {
                self.now = self.now + Duration::from_millis(5);
                let view = self.view.clone();
                let (events, asked) = self.duties.look(self.now, &self.courier, [], |_| view.clone());
                wishes.extend(asked);
                events.into_iter().for_each(|event| self.courier.handle(self.now, event));
                for message in std::mem::take(&mut self.sent) {
                    let finished = Finished {
                        message,
                        endpoint: EndpointId(1),
                        attempt: 0,
                        outcome,
                        latency: Duration::from_millis(5),
                        complete: outcome == Outcome::Ok,
                        allowance: None,
                    };
                    self.courier.handle(self.now, Event::Finished(finished));
                }
                let mut actions = Vec::new();
                self.courier.decide(self.now, &mut actions);
                self.sent.extend(actions.iter().filter_map(|action| match action {
                    Action::Route { message, .. } => Some(*message),
                    _ => None,
                }));
                sent += self.sent.len();
            }
            (sent, wishes)
        }

        fn fails(&mut self, ms: u64) -> (usize, Vec<TrialWish>) {
            self.pass(Duration::from_millis(ms), Outcome::ConnectFailed)
        }

        fn held_by(&mut self, holder: Holder) {
            self.view = Some(DutyView { holder, told: None });
        }

        fn later(&self, seconds: u64) -> Time {
            self.now + Duration::from_secs(seconds)
        }
    }

    #[test]
    fn what_is_out_is_wanted_and_who_does_not_hold_it_does_not_try() {
        let mut scene = Scene::new();
        let (_, wishes) = scene.fails(500);
        assert_eq!(wishes, vec![TrialWish::Want(TO)]);
        // Nobody holds it yet: it tries for itself.
        scene.held_by(Holder::Nobody);
        assert!(scene.fails(3000).0 > 0);
        scene.held_by(Holder::Other { until: scene.later(3) });
        scene.fails(50);
        assert_eq!(scene.fails(2900).0, 0);
        // Nothing more is heard of the other one.
        let (sent, wishes) = scene.fails(3000);
        assert!(sent > 0 && wishes.is_empty(), "it is careful, and never idle: {wishes:?}");
    }

    #[test]
    fn who_holds_it_tries_and_passes_it_on_where_it_gets_nowhere() {
        let mut scene = Scene::new();
        scene.fails(500);
        scene.held_by(Holder::Me { epoch: 4, until: scene.later(60) });
        let (sent, wishes) = scene.fails(3900);
        assert!(sent > 1 && wishes.is_empty(), "{sent} {wishes:?}");
        let (_, wishes) = scene.fails(200);
        assert!(matches!(wishes[..], [TrialWish::PassOn(TO, rest), ..] if rest >= Duration::from_secs(4)));
    }

    #[test]
    fn what_the_holder_learns_is_told_before_the_duty_is_given_up() {
        let mut scene = Scene::new();
        scene.fails(3000);
        scene.held_by(Holder::Me { epoch: 4, until: scene.later(60) });
        let (_, wishes) = scene.pass(Duration::from_secs(2), Outcome::Ok);
        let [TrialWish::Tell(TO, words)] = &wishes[..] else { panic!("{wishes:?}") };
        assert!(matches!(Lesson::read(words), Some(Lesson::Served(ago)) if ago < Duration::from_millis(20)));
        let told = Told { epoch: 4, words: words.clone(), at: scene.now };
        scene.view = scene.view.take().map(|view| DutyView { told: Some(told), ..view });
        assert_eq!(scene.fails(10).1, vec![TrialWish::GiveUp(TO)]);
    }

    #[test]
    fn what_another_one_learnt_ends_the_outage_here_but_not_a_later_one() {
        let served = |epoch, at| Some(Told { epoch, words: Lesson::Served(Duration::ZERO).write(), at });
        for (ahead, ends) in [(true, true), (false, false)] {
            let mut scene = Scene::new();
            scene.fails(3000);
            // A call of this courier that is out was sent before.
            let at = if ahead { scene.now + Duration::from_millis(5) } else { NOW - Duration::from_secs(5) };
            let holder = Holder::Other { until: scene.later(60) };
            scene.view = Some(DutyView { holder, told: served(9, at) });
            // One step: the first call of the return fails again in the next.
            scene.fails(5);
            assert_eq!(scene.courier.outing(TO).unwrap().since.is_none(), ends);
        }
        // A wait that another one was told binds here, too.
        let mut scene = Scene::new();
        scene.fails(3000);
        let words = Lesson::Wait(Duration::from_secs(5)).write();
        let told = Some(Told { epoch: 9, words, at: scene.now });
        scene.view = Some(DutyView { holder: Holder::Nobody, told });
        scene.fails(10);
        assert_eq!(scene.fails(4900).0, 0);
        assert!(scene.pass(Duration::from_secs(6), Outcome::Ok).0 > 0);
    }

    #[test]
    fn a_group_that_was_not_there_is_asked_again_and_lost_words_end_a_duty_all_the_same() {
        let mut scene = Scene::new();
        let (_, wishes) = scene.fails(3300);
        assert_eq!(wishes, vec![TrialWish::Want(TO); wishes.len()]);
        assert!((3..=4).contains(&wishes.len()), "once a second: {wishes:?}");
        scene.held_by(Holder::Me { epoch: 4, until: scene.later(60) });
        let (_, wishes) = scene.pass(Duration::from_secs(7), Outcome::Ok);
        assert!(matches!(wishes[..], [TrialWish::Tell(..), TrialWish::GiveUp(TO), ..]), "{wishes:?}");
    }

    #[test]
    fn words_of_another_release_mean_nothing() {
        for words in [&b""[..], b"s", b"x12345678", b"s123456789"] {
            assert_eq!(Lesson::read(words), None);
        }
    }
}
