//! Compares the message index with a scan of all messages, and checks that the work per `decide` is bounded.

use super::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::cell::Cell;

thread_local! {
    static EXAMINED: Cell<u64> = const { Cell::new(0) };
}

/// Counts each access to the class of a message, which every check of its worth or send time needs, and each evaluation of
/// a destination.
pub(super) fn note_examined() {
    EXAMINED.with(|count| count.set(count.get() + 1));
}

fn examined_by(work: impl FnOnce()) -> u64 {
    let before = EXAMINED.with(Cell::get);
    work();
    EXAMINED.with(Cell::get) - before
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// The result of `best_message`, by a scan of all messages of the destination in the order of acceptance.
fn scan(courier: &Courier, now: Time, route: RouteId, next: &mut Option<Time>) -> Option<(MessageId, f64)> {
    let outage = courier.routes.get(&route).and_then(|r| r.outage.as_ref());
    let mut queue: Vec<&Message> = courier.messages.values().collect();
    queue.retain(|message| message.accepted.destination == route.0 && !message.closed);
    queue.sort_by_key(|message| message.ordinal);
    let mut best: Option<(bool, bool, f64, MessageId)> = None;
    for message in queue {
        let at = courier.sendable_at(now, message);
        if at.is_none_or(|at| at > now) {
            keep_earliest(next, at);
            continue;
        }
        let spare = message.attempts * 2 <= courier.settings.max_attempts;
        let fit = outage.is_none() || (spare && courier.is_repeatable(message));
        if !fit && outage.is_some_and(|outage| outage.repeatable_only) {
            continue;
        }
        if let Some(at) = outage.map(|outage| outage.next_unrepeatable_trial).filter(|at| !fit && *at > now) {
            keep_earliest(next, Some(at));
            continue;
        }
        let worth = courier.priority(now, message);
        let has_time = now <= courier.last_hopeful_send(message);
        let is_better =
            |(fit_before, had_time, most, _)| (fit, has_time, worth) > (fit_before, had_time, most);
        if best.is_none_or(is_better) {
            best = Some((fit, has_time, worth, message.accepted.id));
        }
    }
    best.map(|(_, _, worth, id)| (id, worth))
}

#[derive(Clone, Debug)]
enum Step {
    /// Time passes (milliseconds).
    Pass(u64),
    /// Time passes until shortly before or after a time at which the trend of a message's worth may change.
    PassTo {
        message: usize,
        change: usize,
        offset_ns: i64,
    },
    Accept {
        class: u8,
        destination: u32,
        key: u64,
        deadline_offset: usize,
        tenant: u32,
        from_dead_courier: bool,
    },
    Restore {
        class: u8,
        destination: u32,
        key: u64,
        attempts: u32,
        may_have_run_ms_ago: Option<u64>,
    },
    Finish {
        index: usize,
        outcome_index: usize,
    },
    ClientGone(usize),
    AnswerAcknowledged(usize),
    Resume,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let accept = (0u8..4, 1u32..5, 0u64..4, 0usize..8, 0u32..2, proptest::bool::weighted(0.1));
    let restore = (0u8..4, 1u32..5, 0u64..4, 0u32..4, proptest::option::of(0u64..3000));
    let step = prop_oneof![
        4 => (0u64..300).prop_map(Step::Pass),
        6 => (0usize..64, 0usize..11, -3i64..4)
            .prop_map(|(message, change, offset_ns)| Step::PassTo { message, change, offset_ns }),
        9 => accept.prop_map(|(class, destination, key, deadline_offset, tenant, from_dead_courier)| {
            Step::Accept { class, destination, key, deadline_offset, tenant, from_dead_courier }
        }),
        1 => restore.prop_map(|(class, destination, key, attempts, may_have_run_ms_ago)| {
            Step::Restore { class, destination, key, attempts, may_have_run_ms_ago }
        }),
        4 => (0usize..64, 0usize..9).prop_map(|(index, outcome_index)| Step::Finish { index, outcome_index }),
        1 => (0usize..64).prop_map(Step::ClientGone),
        1 => (0usize..64).prop_map(Step::AnswerAcknowledged),
        1 => Just(Step::Resume),
    ];
    proptest::collection::vec(step, 1..150)
}

fn class() -> impl Strategy<Value = Class> {
    let aim =
        prop_oneof![Just(ms(300)), Just(ms(1000)), Just(ms(3000)), Just(Duration::from_nanos(777_777_777))];
    let spans = prop_oneof![Just(0.5), Just(1.0), Just(1.5), Just(2.0), Just(5.0), Just(12.0)];
    let windows = prop_oneof![Just(0.3), Just(1.0), Just(1.2), Just(2.5), Just(20.0)];
    let effect = prop_oneof![Just(Effect::Safe), Just(Effect::Keyed), Just(Effect::Unsafe)];
    let worth = prop_oneof![Just(0.0), Just(1.0), Just(1.0), Just(4.0)];
    let late_share = prop_oneof![Just(0.0), Just(0.2), Just(0.5), Just(0.7), Just(1.0)];
    (aim, spans, windows, effect, any::<bool>(), worth, late_share).prop_map(
        |(aim, span, window, effect, in_order, worth, late_share)| Class {
            aim,
            deadline: aim.mul_f64(span),
            repeat_window: aim.mul_f64(window),
            effect,
            in_order,
            worth,
            late_share,
            ..Class::default()
        },
    )
}

fn settings() -> impl Strategy<Value = Settings> {
    let decay = prop_oneof![Just(Decay::Linear), Just(Decay::Halving)];
    let over_quota_worth = prop_oneof![Just(0.0), Just(0.1), Just(1.0)];
    let classes = proptest::collection::vec(class(), 4);
    let call_slots = prop_oneof![Just(4usize), Just(16usize)];
    (classes, decay, over_quota_worth, any::<bool>(), 0u64..3, call_slots).prop_map(
        |(classes, decay, over_quota_worth, acknowledged_answers, settle, call_slots)| Settings {
            classes,
            decay,
            over_quota_worth,
            acknowledged_answers,
            tenants: vec![Tenant { quota: 3.0 }],
            kinds: vec![Kind { max_batch: 1, own_limits: false }, Kind { max_batch: 3, own_limits: false }],
            call_slots,
            max_attempts: 5,
            couriers: 1,
            rules: Rules { order_settle: ms(settle * 150), ..Settings::default().rules },
            ..Settings::default()
        },
    )
}

fn outcome(outcome_index: usize) -> Outcome {
    match outcome_index {
        0 => Outcome::Rejected(None),
        1 => Outcome::Rejected(Some(ms(700))),
        2 => Outcome::Error,
        3 => Outcome::Timeout,
        4 => Outcome::ConnectFailed,
        5 => Outcome::Reset,
        6 => Outcome::Cancelled,
        _ => Outcome::Ok,
    }
}

fn listing(destinations: u32, weight: f64) -> Event {
    let endpoint = |destination: u32| Endpoint {
        id: EndpointId(destination),
        zone: ZoneId(0),
        kind: KindId((destination % 2) as u16),
        destination: DestinationId(destination),
        mode: Mode::Ready,
        weight,
    };
    Event::Listed(Listing::Whole((1..=destinations).map(endpoint).collect()))
}

/// Nanoseconds by which deadlines are shorter (or longer) than the class says.
const DEADLINE_OFFSETS: [i64; 8] = [0, 0, 0, 1, -1, 50_000_000, 900_000_000, -400_000_000];

struct Simulation {
    courier: Courier,
    now: Time,
    accepted_count: u32,
}

impl Simulation {
    fn new(settings: Settings) -> Self {
        let now = Time::ZERO + Duration::from_secs(100);
        let mut courier = Courier::new(settings, 3);
        courier.handle(now, listing(4, 4.0));
        Simulation { courier, now, accepted_count: 0 }
    }

    fn new_message(
        &mut self,
        class: u8,
        destination: u32,
        key: u64,
        deadline_offset: i64,
        tenant: u32,
    ) -> Accepted {
        self.accepted_count += 1;
        let class_deadline = self.now + self.courier.settings.classes[usize::from(class)].deadline;
        Accepted {
            // Ids in no particular order.
            id: MessageId(self.accepted_count.wrapping_mul(0x9E37_79B1)),
            class: ClassId(class),
            destination: DestinationId(destination),
            key: (key > 0).then_some(OrderKey(key)),
            deadline: Time(class_deadline.0.saturating_add_signed(-deadline_offset).max(self.now.0)),
            from_dead_courier: false,
            tenant: TenantId(tenant),
        }
    }

    fn message(&self, index: usize) -> Option<&Message> {
        let count = self.courier.messages.len();
        self.courier.messages.values().nth(index % count.max(1))
    }

    /// A time at which the trend of a message's worth or its send time may change.
    fn change_time(&self, message: usize, change: usize) -> Option<Time> {
        let message = self.message(message)?;
        let class = self.courier.class(message);
        let end = self.courier.last_send(message).unwrap_or(message.accepted.deadline);
        let least = class.aim.mul_f64((1.0 - class.late_share.max(0.01).log2()).min(20.0));
        Some(match change {
            0 => message.enqueued_at,
            1 => message.enqueued_at + class.aim,
            2 => message.enqueued_at + class.deadline,
            3 => message.enqueued_at + class.deadline - class.aim,
            4 => end,
            5 => end - class.aim,
            6 => message.not_before,
            7 => message.enqueued_at + least,
            8 => message.enqueued_at + least - class.aim,
            9 => self.courier.last_hopeful_send(message),
            _ => self.courier.deadlines.first()?.0,
        })
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Pass(span) => self.now = self.now + ms(span),
            Step::PassTo { message, change, offset_ns } => {
                let at =
                    self.change_time(message, change).map(|at| Time(at.0.saturating_add_signed(offset_ns)));
                self.now = at.map_or(self.now, |at| at.max(self.now));
            }
            Step::Accept { class, destination, key, deadline_offset, tenant, from_dead_courier } => {
                let accepted =
                    self.new_message(class, destination, key, DEADLINE_OFFSETS[deadline_offset], tenant);
                let accepted = Accepted { from_dead_courier, ..accepted };
                self.courier.handle(self.now, Event::Accept(accepted));
            }
            Step::Restore { class, destination, key, attempts, may_have_run_ms_ago } => {
                let accepted = self.new_message(class, destination, key, 0, 0);
                let may_have_run = may_have_run_ms_ago.map(|ago| (self.now - ms(ago), Some(ZoneId(0))));
                let restored = Restored { accepted, attempts, may_have_run, answered: attempts == 3 };
                self.courier.handle(self.now, Event::Restored(restored));
            }
            Step::Finish { index, outcome_index } => self.finish(index, outcome(outcome_index)),
            Step::ClientGone(index) => {
                if let Some(id) = self.message(index).map(|message| message.accepted.id) {
                    self.courier.handle(self.now, Event::ClientGone(id));
                }
            }
            Step::AnswerAcknowledged(index) => {
                let unacknowledged = self.courier.messages.values().filter(|message| message.unacknowledged);
                let ids: Vec<MessageId> = unacknowledged.map(|message| message.accepted.id).collect();
                if !ids.is_empty() {
                    self.courier.handle(self.now, Event::AnswerAcknowledged(ids[index % ids.len()]));
                }
            }
            Step::Resume => {
                let settings = self.courier.settings.clone();
                self.courier = std::mem::take(&mut self.courier).resumed(settings, 4);
            }
        }
    }

    fn finish(&mut self, index: usize, outcome: Outcome) {
        let in_flight = self.courier.messages.values().filter(|message| message.in_flight_call.is_some());
        let in_flight: Vec<(MessageId, u32, u64)> =
            in_flight.map(|m| (m.accepted.id, m.attempts, m.in_flight_call.unwrap_or_default())).collect();
        let Some((message, attempts, call)) = in_flight.get(index % in_flight.len().max(1)).copied() else {
            return;
        };
        let call = &self.courier.calls[&call];
        let finished = Finished {
            message,
            endpoint: call.endpoint,
            attempt: attempts.saturating_sub(1) as u16,
            outcome,
            latency: self.now - call.sent_at,
            complete: outcome == Outcome::Ok,
            limit_report: None,
        };
        self.courier.handle(self.now, Event::Finished(finished));
    }

    /// Compares index and scan, with the current outage state of each route and with others.
    fn compare(&mut self) {
        self.courier.reindex_outdated(self.now);
        let later = self.now + ms(1);
        let outages = [
            None,
            Some(OutageState { next_unrepeatable_trial: self.now, ..OutageState::default() }),
            Some(OutageState { next_unrepeatable_trial: later, ..OutageState::default() }),
            Some(OutageState { repeatable_only: true, ..OutageState::default() }),
        ];
        for route in (1..=4).map(|to| RouteId(DestinationId(to), None)) {
            self.compare_route(route);
            let Some(known) = self.courier.routes.get_mut(&route) else { continue };
            let before = known.outage.take();
            for outage in &outages {
                let outage = outage.as_ref().map(|outage| OutageState {
                    next_unrepeatable_trial: outage.next_unrepeatable_trial,
                    repeatable_only: outage.repeatable_only,
                    ..OutageState::default()
                });
                self.courier.routes.get_mut(&route).expect("known").outage = outage;
                self.compare_route(route);
            }
            self.courier.routes.get_mut(&route).expect("known").outage = before;
        }
    }

    fn compare_route(&self, route: RouteId) {
        let (mut next, mut expected_next) = (None, None);
        let selected = self.courier.best_message(self.now, route, &mut next);
        let expected = scan(&self.courier, self.now, route, &mut expected_next);
        let bits = |found: Option<(MessageId, f64)>| found.map(|(id, worth)| (id, worth.to_bits()));
        assert_eq!(bits(selected), bits(expected), "at {:?}", self.now);
        assert_eq!(next, expected_next, "at {:?}", self.now);
        let open = self.courier.messages.values().filter(|m| !m.closed && m.accepted.destination == route.0);
        assert_eq!(self.courier.queues.open_messages(route.0), open.count());
    }
}

#[test]
fn the_index_selects_the_same_message_as_a_scan() {
    let config = Config { cases: 1500, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[17; 32]));
    let check = |(settings, steps): (Settings, Vec<Step>)| {
        let mut simulation = Simulation::new(settings);
        for step in steps {
            simulation.step(step);
            simulation.compare();
            simulation.courier.decide(simulation.now, &mut Vec::new());
            simulation.compare();
        }
        Ok(())
    };
    runner.run(&(settings(), steps()), check).unwrap();
}

const DESTINATIONS: u32 = 8;
const KEYS: u32 = 16;

/// A courier with `messages` messages, enqueued within a second, for destinations that do not answer; either ordered under a
/// few keys or independent.
fn unanswered_backlog(messages: u32, in_order: bool) -> (Courier, Time) {
    let settings = Settings {
        classes: vec![Class { in_order, ..Class::default() }],
        call_slots: 64,
        max_held: 2 * messages as usize,
        acknowledged_answers: true,
        ..Settings::default()
    };
    let (begin, deadline) = (Time::ZERO + Duration::from_secs(100), settings.classes[0].deadline);
    let mut courier = Courier::new(settings, 5);
    courier.handle(begin, listing(DESTINATIONS, 50.0));
    let mut now = begin;
    for message in 0..messages {
        now = begin + Duration::from_secs(1).mul_f64(f64::from(message) / f64::from(messages));
        let accepted = Accepted {
            id: MessageId(message),
            class: ClassId(0),
            destination: DestinationId(1 + message % DESTINATIONS),
            key: Some(OrderKey(u64::from(message % KEYS))),
            deadline: now + deadline,
            from_dead_courier: false,
            tenant: TenantId(0),
        };
        courier.handle(now, Event::Accept(accepted));
        if message % (messages / 100) == 0 {
            courier.decide(now, &mut Vec::new());
        }
    }
    (courier, now)
}

/// Mean number of messages examined per `decide`, over a time in which none of them reaches its aim or deadline.
fn examined_per_decide(messages: u32, in_order: bool) -> u64 {
    const TURNS: u64 = 50;
    let (mut courier, begin) = unanswered_backlog(messages, in_order);
    let begin = begin + ms(200);
    courier.decide(begin, &mut Vec::new());
    let examined = examined_by(|| {
        for turn in 0..TURNS {
            courier.decide(begin + ms(20 * turn), &mut Vec::new());
        }
    });
    examined / TURNS
}

#[test]
fn the_work_per_decide_does_not_grow_with_the_messages_held() {
    for in_order in [true, false] {
        let few = examined_per_decide(1_000, in_order);
        for messages in [10_000, 100_000] {
            let many = examined_per_decide(messages, in_order);
            assert!(many <= 2 * few + 20, "{many} examined per decide with {messages} held, {few} with 1000");
        }
    }
}

/// A message is indexed anew a few times, however many messages there are.
#[test]
fn the_total_work_per_message_does_not_grow_with_the_messages_held() {
    let of_each = |messages: u32, in_order: bool| {
        let examined = examined_by(|| {
            let (mut courier, begin) = unanswered_backlog(messages, in_order);
            for turn in 0..440 {
                courier.decide(begin + ms(50 * turn), &mut Vec::new());
            }
            assert_eq!(courier.queues.iter().count(), 0, "all are answered");
        });
        examined / u64::from(messages)
    };
    for in_order in [true, false] {
        let few = of_each(1_000, in_order);
        let many = of_each(20_000, in_order);
        assert!(many <= 2 * few, "{many} examinations per message of 20000, {few} of 1000");
    }
}

/// Actions of a simulation in which each `decide` evaluates all destinations, or only those that are due.
fn actions(settings: &Settings, steps: &[Step], evaluate_all: bool) -> Vec<Action> {
    let mut simulation = Simulation::new(settings.clone());
    let mut actions = Vec::new();
    let after = (0..200).map(|_| Step::Pass(45));
    for step in steps.iter().cloned().chain(after) {
        simulation.step(step);
        if evaluate_all {
            simulation.courier.mark_all_due();
        }
        simulation.courier.decide(simulation.now, &mut actions);
    }
    actions
}

#[test]
fn a_skipped_evaluation_would_not_have_led_to_any_action() {
    let config = Config { cases: 1500, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[19; 32]));
    let check = |(settings, steps): (Settings, Vec<Step>)| {
        prop_assert_eq!(actions(&settings, &steps, false), actions(&settings, &steps, true));
        Ok(())
    };
    runner.run(&(settings(), steps()), check).unwrap();
}

const SLOTS: usize = 64;

/// A courier with many destinations in an outage that wait for their trial calls.
fn with_waiting_destinations(destinations: u32) -> Simulation {
    let settings =
        Settings { call_slots: SLOTS, max_held: 100_000, acknowledged_answers: true, ..Settings::default() };
    let now = Time::ZERO + Duration::from_secs(100);
    let mut simulation = Simulation { courier: Courier::new(settings, 3), now, accepted_count: 0 };
    simulation.courier.handle(now, listing(destinations, 50.0));
    for destination in 1..=destinations {
        let outage = OutageRecord {
            destination: DestinationId(destination),
            endpoint: None,
            since: now,
            evidence: OUTAGE_EVIDENCE,
            calls_lost: Some(true),
            slow_start_since: None,
            served_rate: 1.0,
        };
        simulation.courier.handle(now, Event::OutageRestored(outage));
        let accepted = simulation.new_message(0, destination, 0, 0, 0);
        simulation.courier.handle(now, Event::Accept(accepted));
    }
    simulation.courier.decide(now, &mut Vec::new());
    // All messages are indexed anew once their age is above zero.
    simulation.now = now + ms(1);
    simulation.courier.decide(simulation.now, &mut Vec::new());
    simulation
}

/// Calls `decide` after a message for one destination.
fn decide_for_one(simulation: &mut Simulation) {
    simulation.now = simulation.now + Duration::from_micros(10);
    let accepted = simulation.new_message(0, 1, 0, 0, 0);
    simulation.courier.handle(simulation.now, Event::Accept(accepted));
    simulation.courier.decide(simulation.now, &mut Vec::new());
}

/// Evaluations and messages examined per `decide` with a message for one destination, while many wait for trial calls.
fn examined_with_waiting_destinations(destinations: u32) -> u64 {
    const TURNS: u32 = 50;
    let mut simulation = with_waiting_destinations(destinations);
    let examined = examined_by(|| (0..TURNS).for_each(|_| decide_for_one(&mut simulation)));
    examined / u64::from(TURNS)
}

#[test]
fn take_changed_outages_returns_only_destinations_whose_outages_may_have_changed() {
    let mut simulation = with_waiting_destinations(1_000);
    simulation.courier.take_changed_outages();
    decide_for_one(&mut simulation);
    let changed = simulation.courier.take_changed_outages();
    assert!(changed.contains(&DestinationId(1)));
    // Destinations with calls in flight are evaluated each time.
    assert!(changed.len() <= SLOTS + 1, "{} of 1,000", changed.len());
    assert_eq!(simulation.courier.outages().count(), 1_000);
    assert!(simulation.courier.take_changed_outages().is_empty());
}

#[test]
fn the_work_per_decide_does_not_grow_with_the_destinations_that_wait() {
    let few = examined_with_waiting_destinations(10);
    for destinations in [100, 1_000, 10_000] {
        let many = examined_with_waiting_destinations(destinations);
        assert!(
            many <= 2 * few + 20,
            "{many} examined per decide with {destinations} waiting, {few} with 10"
        );
    }
}
