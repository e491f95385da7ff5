//! Which courier makes the trials of a destination, and what it reports.

use super::*;
use cloverstile::*;

const DESTINATION: DestinationId = DestinationId(7);
const NOW: Time = Time(500_000_000_000);

/// A courier with messages for one destination whose calls all end with a given outcome. Requests to the group are only
/// collected.
struct Simulation {
    courier: Courier,
    duties: TrialDuties,
    now: Time,
    view: Option<DutyView>,
    sent: Vec<MessageId>,
}

impl Simulation {
    fn new() -> Self {
        let settings = Settings { couriers: 3, ..Settings::default() };
        let mut courier = Courier::new(settings.clone(), 1);
        let (id, zone, kind, mode) = (EndpointId(1), ZoneId(0), KindId(0), Mode::Ready);
        let entry = Endpoint { id, zone, kind, destination: DESTINATION, mode, weight: 100.0 };
        courier.handle(NOW, Event::Listed(Listing::Whole(vec![entry])));
        for number in 0..40 {
            courier.handle(
                NOW,
                Event::Accept(Accepted {
                    id: MessageId(number),
                    class: ClassId(0),
                    destination: DESTINATION,
                    key: None,
                    deadline: NOW + Duration::from_secs(20),
                    from_dead_courier: false,
                    tenant: TenantId(0),
                }),
            );
        }
        let duties = TrialDuties::new(Duration::from_secs(2), 3);
        Simulation { courier, duties, now: NOW, view: None, sent: Vec::new() }
    }

    /// Advances the time by `span`. Calls end with `outcome`. Returns the number of calls and the requests to the group.
    fn advance(&mut self, span: Duration, outcome: Outcome) -> (usize, Vec<TrialRequest>) {
        let (end, mut sent, mut requests) = (self.now + span, 0, Vec::new());
        while self.now < end {
            self.now = self.now + Duration::from_millis(5);
            let view = self.view.clone();
            let (events, new_requests) = self.duties.update(self.now, &self.courier, [], |_| view.clone());
            requests.extend(new_requests);
            events.into_iter().for_each(|event| self.courier.handle(self.now, event));
            for message in std::mem::take(&mut self.sent) {
                let finished = Finished {
                    message,
                    endpoint: EndpointId(1),
                    attempt: 0,
                    outcome,
                    latency: Duration::from_millis(5),
                    complete: outcome == Outcome::Ok,
                    limit_report: None,
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
        (sent, requests)
    }

    /// Advances the time while no connection can be opened.
    fn advance_in_outage(&mut self, ms: u64) -> (usize, Vec<TrialRequest>) {
        self.advance(Duration::from_millis(ms), Outcome::ConnectFailed)
    }

    /// Makes `holder` the holder of the duty, which has no report yet.
    fn set_holder(&mut self, holder: DutyHolder) {
        self.view = Some(DutyView { holder, report: None });
    }

    /// The moment this many seconds from now.
    fn in_seconds(&self, seconds: u64) -> Time {
        self.now + Duration::from_secs(seconds)
    }
}

#[test]
fn an_outage_is_registered_and_only_the_holder_makes_trials() {
    let mut simulation = Simulation::new();
    let (_, requests) = simulation.advance_in_outage(500);
    assert_eq!(requests, vec![TrialRequest::Register(DESTINATION)]);
    // Without a holder the courier makes its own trials.
    simulation.set_holder(DutyHolder::Nobody);
    assert!(simulation.advance_in_outage(3000).0 > 0);
    simulation.set_holder(DutyHolder::OtherCourier { until: simulation.in_seconds(3) });
    simulation.advance_in_outage(50);
    assert_eq!(simulation.advance_in_outage(2900).0, 0);
    // The other courier counts as the holder only for the given time.
    let (sent, requests) = simulation.advance_in_outage(3000);
    assert!(
        sent > 0 && requests.is_empty(),
        "without a known holder the courier makes its own trials: {requests:?}"
    );
}

#[test]
fn the_holder_makes_trials_and_passes_the_duty_on_without_success() {
    let mut simulation = Simulation::new();
    simulation.advance_in_outage(500);
    simulation.set_holder(DutyHolder::ThisCourier { epoch: 4, until: simulation.in_seconds(60) });
    let (sent, requests) = simulation.advance_in_outage(3900);
    assert!(sent > 1 && requests.is_empty(), "{sent} {requests:?}");
    let (_, requests) = simulation.advance_in_outage(200);
    assert!(
        matches!(requests[..], [TrialRequest::PassOn(DESTINATION, rest), ..] if rest >= Duration::from_secs(4))
    );
}

#[test]
fn the_holder_reports_the_outcome_before_it_unregisters() {
    let mut simulation = Simulation::new();
    simulation.advance_in_outage(3000);
    simulation.set_holder(DutyHolder::ThisCourier { epoch: 4, until: simulation.in_seconds(60) });
    let (_, requests) = simulation.advance(Duration::from_secs(2), Outcome::Ok);
    let [TrialRequest::Report(DESTINATION, payload)] = &requests[..] else { panic!("{requests:?}") };
    assert!(
        matches!(TrialOutcome::decode(payload), Some(TrialOutcome::Served(ago)) if ago < Duration::from_millis(20))
    );
    let report = DutyReport { epoch: 4, payload: payload.clone(), agreed_at: simulation.now };
    simulation.view = simulation.view.take().map(|view| DutyView { report: Some(report), ..view });
    assert_eq!(simulation.advance_in_outage(10).1, vec![TrialRequest::Unregister(DESTINATION)]);
}

#[test]
fn a_report_of_another_courier_ends_the_outage_unless_it_is_older() {
    let served = |epoch, agreed_at| {
        Some(DutyReport { epoch, payload: TrialOutcome::Served(Duration::ZERO).encode(), agreed_at })
    };
    for (is_newer, ends_outage) in [(true, true), (false, false)] {
        let mut simulation = Simulation::new();
        simulation.advance_in_outage(3000);
        // The report is newer than the call in flight, or older than the outage.
        let agreed_at =
            if is_newer { simulation.now + Duration::from_millis(5) } else { NOW - Duration::from_secs(5) };
        let holder = DutyHolder::OtherCourier { until: simulation.in_seconds(60) };
        simulation.view = Some(DutyView { holder, report: served(9, agreed_at) });
        // One step only, as the first call of the slow start fails in the next one.
        simulation.advance_in_outage(5);
        assert_eq!(
            simulation.courier.outage_view(DESTINATION).unwrap().confirmed_since.is_none(),
            ends_outage
        );
    }
    // A retry-after time that another courier was given binds this one, too.
    let mut simulation = Simulation::new();
    simulation.advance_in_outage(3000);
    let payload = TrialOutcome::RetryAfter(Duration::from_secs(5)).encode();
    let report = Some(DutyReport { epoch: 9, payload, agreed_at: simulation.now });
    simulation.view = Some(DutyView { holder: DutyHolder::Nobody, report });
    simulation.advance_in_outage(10);
    assert_eq!(simulation.advance_in_outage(4900).0, 0);
    assert!(simulation.advance(Duration::from_secs(6), Outcome::Ok).0 > 0);
}

#[test]
fn registration_is_retried_and_a_lost_report_does_not_keep_the_duty() {
    let mut simulation = Simulation::new();
    let (_, requests) = simulation.advance_in_outage(3300);
    assert_eq!(requests, vec![TrialRequest::Register(DESTINATION); requests.len()]);
    assert!((3..=4).contains(&requests.len()), "once a second: {requests:?}");
    simulation.set_holder(DutyHolder::ThisCourier { epoch: 4, until: simulation.in_seconds(60) });
    let (_, requests) = simulation.advance(Duration::from_secs(7), Outcome::Ok);
    assert!(
        matches!(requests[..], [TrialRequest::Report(..), TrialRequest::Unregister(DESTINATION), ..]),
        "{requests:?}"
    );
}

#[test]
fn reports_in_an_unknown_format_are_ignored() {
    for payload in [&b""[..], b"s", b"x12345678", b"s123456789"] {
        assert_eq!(TrialOutcome::decode(payload), None);
    }
}
