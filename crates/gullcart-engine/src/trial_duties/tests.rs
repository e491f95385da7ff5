//! Who holds a duty, and what is told of it.

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
    fn pass(&mut self, span: Duration, outcome: Outcome) -> (usize, Vec<TrialRequest>) {
        let (end, mut sent, mut wishes) = (self.now + span, 0, Vec::new());
        while self.now < end {
            self.now = self.now + Duration::from_millis(5);
            let view = self.view.clone();
            let (events, asked) = self.duties.update(self.now, &self.courier, [], |_| view.clone());
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

    fn fails(&mut self, ms: u64) -> (usize, Vec<TrialRequest>) {
        self.pass(Duration::from_millis(ms), Outcome::ConnectFailed)
    }

    fn held_by(&mut self, holder: DutyHolder) {
        self.view = Some(DutyView { holder, report: None });
    }

    fn later(&self, seconds: u64) -> Time {
        self.now + Duration::from_secs(seconds)
    }
}

#[test]
fn what_is_out_is_wanted_and_who_does_not_hold_it_does_not_try() {
    let mut scene = Scene::new();
    let (_, wishes) = scene.fails(500);
    assert_eq!(wishes, vec![TrialRequest::Register(TO)]);
    // Nobody holds it yet: it tries for itself.
    scene.held_by(DutyHolder::Nobody);
    assert!(scene.fails(3000).0 > 0);
    scene.held_by(DutyHolder::OtherCourier { until: scene.later(3) });
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
    scene.held_by(DutyHolder::ThisCourier { epoch: 4, until: scene.later(60) });
    let (sent, wishes) = scene.fails(3900);
    assert!(sent > 1 && wishes.is_empty(), "{sent} {wishes:?}");
    let (_, wishes) = scene.fails(200);
    assert!(matches!(wishes[..], [TrialRequest::PassOn(TO, rest), ..] if rest >= Duration::from_secs(4)));
}

#[test]
fn what_the_holder_learns_is_told_before_the_duty_is_given_up() {
    let mut scene = Scene::new();
    scene.fails(3000);
    scene.held_by(DutyHolder::ThisCourier { epoch: 4, until: scene.later(60) });
    let (_, wishes) = scene.pass(Duration::from_secs(2), Outcome::Ok);
    let [TrialRequest::Report(TO, words)] = &wishes[..] else { panic!("{wishes:?}") };
    assert!(
        matches!(TrialOutcome::decode(words), Some(TrialOutcome::Served(ago)) if ago < Duration::from_millis(20))
    );
    let told = DutyReport { epoch: 4, payload: words.clone(), agreed_at: scene.now };
    scene.view = scene.view.take().map(|view| DutyView { report: Some(told), ..view });
    assert_eq!(scene.fails(10).1, vec![TrialRequest::Unregister(TO)]);
}

#[test]
fn what_another_one_learnt_ends_the_outage_here_but_not_a_later_one() {
    let served = |epoch, at| {
        Some(DutyReport { epoch, payload: TrialOutcome::Served(Duration::ZERO).encode(), agreed_at: at })
    };
    for (ahead, ends) in [(true, true), (false, false)] {
        let mut scene = Scene::new();
        scene.fails(3000);
        // A call of this courier that is out was sent before.
        let at = if ahead { scene.now + Duration::from_millis(5) } else { NOW - Duration::from_secs(5) };
        let holder = DutyHolder::OtherCourier { until: scene.later(60) };
        scene.view = Some(DutyView { holder, report: served(9, at) });
        // One step: the first call of the return fails again in the next.
        scene.fails(5);
        assert_eq!(scene.courier.outing(TO).unwrap().since.is_none(), ends);
    }
    // A wait that another one was told binds here, too.
    let mut scene = Scene::new();
    scene.fails(3000);
    let words = TrialOutcome::RetryAfter(Duration::from_secs(5)).encode();
    let told = Some(DutyReport { epoch: 9, payload: words, agreed_at: scene.now });
    scene.view = Some(DutyView { holder: DutyHolder::Nobody, report: told });
    scene.fails(10);
    assert_eq!(scene.fails(4900).0, 0);
    assert!(scene.pass(Duration::from_secs(6), Outcome::Ok).0 > 0);
}

#[test]
fn a_group_that_was_not_there_is_asked_again_and_lost_words_end_a_duty_all_the_same() {
    let mut scene = Scene::new();
    let (_, wishes) = scene.fails(3300);
    assert_eq!(wishes, vec![TrialRequest::Register(TO); wishes.len()]);
    assert!((3..=4).contains(&wishes.len()), "once a second: {wishes:?}");
    scene.held_by(DutyHolder::ThisCourier { epoch: 4, until: scene.later(60) });
    let (_, wishes) = scene.pass(Duration::from_secs(7), Outcome::Ok);
    assert!(matches!(wishes[..], [TrialRequest::Report(..), TrialRequest::Unregister(TO), ..]), "{wishes:?}");
}

#[test]
fn words_of_another_release_mean_nothing() {
    for words in [&b""[..], b"s", b"x12345678", b"s123456789"] {
        assert_eq!(TrialOutcome::decode(words), None);
    }
}
