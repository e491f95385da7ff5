//! Property tests with a fixed seed: the delivery rules hold for arbitrary legal event sequences. Outcomes are arbitrary and
//! do not follow the behaviour of a real partner.

mod common;

use cloverstile::*;
use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Clone, Debug)]
enum Step {
    Pass(u64),
    Accept { class: u8, destination: u32, key: u64 },
    Finish { index: usize, outcome_index: usize },
    ClientGone(usize),
    Mode { endpoint: u32, mode: usize },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        5 => (1u64..400).prop_map(Step::Pass),
        5 => (0u8..4, 1u32..4, 0u64..4).prop_map(|(class, destination, key)| Step::Accept { class, destination, key }),
        5 => (0usize..64, 0usize..9).prop_map(|(index, outcome_index)| Step::Finish { index, outcome_index }),
        1 => (0usize..64).prop_map(Step::ClientGone),
        1 => (0u32..6, 0usize..3).prop_map(|(endpoint, mode)| Step::Mode { endpoint, mode }),
    ];
    proptest::collection::vec(step, 1..300)
}

fn test_setup() -> (Settings, Vec<Endpoint>) {
    let in_order = Class { in_order: true, ..unsafe_class() };
    let base = settings(vec![keyed(), unsafe_class(), safe(), in_order]);
    let kinds = vec![Kind { max_batch: 1, own_limits: false }, Kind { max_batch: 3, own_limits: false }];
    let rules = Rules { order_settle: ms(120), ..base.rules.clone() };
    let settings = Settings { call_slots: 5, max_held: 60, max_attempts: 5, kinds, rules, ..base };
    let endpoints = (0..6)
        .map(|id| Endpoint { kind: KindId((id % 2) as u16), weight: 20.0, ..endpoint(id, 1 + id / 2) })
        .collect();
    (settings, endpoints)
}

/// A message and its attempts, as far as the rules need them.
#[derive(Debug)]
struct TrackedMessage {
    class: usize,
    destination: u32,
    key: u64,
    deadline: Time,
    in_flight: Option<(u32, Time)>,
    first_may_have_run: Option<Time>,
    sends: u32,
    is_final: bool,
}

/// Checks the delivery rules against its own record of the past, independent of the courier's state.
struct RuleChecker {
    settings: Settings,
    messages: BTreeMap<u32, TrackedMessage>,
    retry_after: BTreeMap<u32, Time>,
    blocked_keys: BTreeMap<u64, Time>,
    modes: BTreeMap<u32, Mode>,
}

impl RuleChecker {
    fn check(&mut self, now: Time, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Route { message, endpoint, .. } => self.check_route(now, message.0, endpoint.0),
                Action::Return { message, .. } => {
                    let id = self.check_final_answer(now, message.0);
                    let effect = self.settings.classes[self.messages[&id].class].effect;
                    let message = &self.messages[&id];
                    assert!(
                        effect == Effect::Safe
                            || (message.first_may_have_run.is_none() && message.in_flight.is_none())
                    );
                }
                Action::ReportFailure { message } => {
                    self.check_final_answer(now, message.0);
                }
                _ => {}
            }
        }
    }

    fn check_final_answer(&mut self, now: Time, id: u32) -> u32 {
        let message = self.messages.get_mut(&id).expect("answers only known messages");
        assert!(!message.is_final, "at most one final answer");
        assert!(now <= message.deadline + self.settings.rules.answer_slack, "final answer in time");
        message.is_final = true;
        id
    }

    fn check_route(&mut self, now: Time, id: u32, endpoint: u32) {
        let message = &self.messages[&id];
        let class = &self.settings.classes[message.class];
        assert!(
            !message.is_final && message.in_flight.is_none(),
            "at most one attempt in flight, none after the final answer"
        );
        assert_eq!(self.modes[&endpoint], Mode::Ready, "no calls to a draining endpoint");
        assert!(
            self.retry_after.get(&message.destination).is_none_or(|until| *until <= now),
            "retry-after times are kept"
        );
        assert!(message.sends < self.settings.max_attempts);
        if let Some(first) = message.first_may_have_run {
            assert_ne!(class.effect, Effect::Unsafe, "unsafe messages are not resent");
            assert!(
                class.effect == Effect::Safe || now < first + class.repeat_window,
                "within the repeat window"
            );
        }
        if class.in_order && message.key != 0 {
            let mut earlier = self.messages.range(..id).map(|(_, m)| m);
            let has_same_key =
                |m: &TrackedMessage| self.settings.classes[m.class].in_order && m.key == message.key;
            assert!(
                !earlier.any(|m| has_same_key(m) && (!m.is_final || m.in_flight.is_some())),
                "order keys are kept in order"
            );
            assert!(
                message.sends > 0 || self.blocked_keys.get(&message.key).is_none_or(|until| *until <= now),
                "order keys are blocked after unsettled attempts"
            );
        }
        let message = self.messages.get_mut(&id).expect("known");
        message.in_flight = Some((endpoint, now));
        message.sends += 1;
        let in_flight = self.messages.values().filter(|m| m.in_flight.is_some()).count();
        assert!(in_flight <= self.settings.call_slots * 3, "call slots");
    }
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

/// Runs the steps, checks every action, and returns all actions.
fn run_steps(steps: &[Step], seed: u64) -> Vec<Action> {
    let (settings, endpoints) = test_setup();
    let mut bench = Bench::new(settings.clone(), endpoints.clone());
    bench.courier = Courier::new(settings.clone(), seed);
    bench.handle(Event::Listed(Listing::Whole(endpoints.clone())));
    let modes = endpoints.iter().map(|e| (e.id.0, e.mode)).collect();
    let (messages, retry_after, blocked_keys) = Default::default();
    let mut checker = RuleChecker { settings, messages, retry_after, blocked_keys, modes };
    let mut all_actions = Vec::new();
    let mut id = 0;
    for step in steps.iter().cloned().chain((0..120).map(|_| Step::Pass(250))) {
        match step {
            Step::Pass(span) => {
                let end = bench.now + ms(span);
                while bench.now < end {
                    bench.now = bench.now + ms(5);
                    // An attempt times out at the deadline of its message at the latest.
                    let due: Vec<u32> = checker
                        .messages
                        .iter()
                        .filter(|(_, m)| m.in_flight.is_some() && m.deadline <= bench.now)
                        .map(|(id, _)| *id)
                        .collect();
                    due.iter().for_each(|id| finish(&mut bench, &mut checker, *id, Outcome::Timeout));
                    let actions = bench.decide();
                    checker.check(bench.now, &actions);
                    all_actions.extend(actions);
                }
                continue;
            }
            Step::Accept { class, destination, key } => {
                if checker.messages.values().filter(|m| !m.is_final).count() >= checker.settings.max_held {
                    continue;
                }
                id += 1;
                bench.accept(id, class, destination, (key > 0).then_some(key));
                let deadline = bench.now + checker.settings.classes[usize::from(class)].deadline;
                let class = usize::from(class);
                let (in_flight, first_may_have_run) = (None, None);
                let message = TrackedMessage {
                    class,
                    destination,
                    key,
                    deadline,
                    in_flight,
                    first_may_have_run,
                    sends: 0,
                    is_final: false,
                };
                checker.messages.insert(id, message);
            }
            Step::Finish { index, outcome_index } => {
                let in_flight: Vec<u32> =
                    checker.messages.iter().filter(|(_, m)| m.in_flight.is_some()).map(|(i, _)| *i).collect();
                if !in_flight.is_empty() {
                    finish(
                        &mut bench,
                        &mut checker,
                        in_flight[index % in_flight.len()],
                        outcome(outcome_index),
                    );
                }
            }
            Step::ClientGone(index) => {
                let open: Vec<u32> =
                    checker.messages.iter().filter(|(_, m)| !m.is_final).map(|(i, _)| *i).collect();
                if !open.is_empty() {
                    let withdrawn = open[index % open.len()];
                    bench.handle(Event::ClientGone(MessageId(withdrawn)));
                    checker.messages.get_mut(&withdrawn).expect("open").is_final = true;
                }
            }
            Step::Mode { endpoint, mode } => {
                let mode = [Mode::Ready, Mode::Draining, Mode::Gone][mode];
                let entry = Endpoint { mode, ..endpoints[endpoint as usize].clone() };
                bench.handle(Event::Listed(Listing::Changes(vec![entry])));
                checker.modes.insert(endpoint, mode);
            }
        }
        let actions = bench.decide();
        checker.check(bench.now, &actions);
        all_actions.extend(actions);
    }
    assert!(checker.messages.values().all(|m| m.is_final), "every message has its final answer");
    all_actions
}

fn finish(bench: &mut Bench, checker: &mut RuleChecker, id: u32, outcome: Outcome) {
    let message = checker.messages.get_mut(&id).expect("known");
    let (endpoint, sent) = message.in_flight.take().expect("in flight");
    let never_ran = matches!(outcome, Outcome::Rejected(_) | Outcome::ConnectFailed | Outcome::NotSent);
    if !never_ran && message.first_may_have_run.is_none() {
        message.first_may_have_run = Some(sent);
    }
    if outcome == Outcome::Ok {
        message.is_final = true;
    }
    if let Outcome::Rejected(Some(wait)) = outcome {
        let until = checker.retry_after.entry(message.destination).or_insert(Time::ZERO);
        *until = (*until).max(bench.now + wait);
    }
    let in_order = checker.settings.classes[message.class].in_order;
    if in_order && matches!(outcome, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled) {
        checker.blocked_keys.insert(message.key, bench.now + checker.settings.rules.order_settle);
    }
    bench.finish(id, endpoint, outcome, bench.now - sent);
}

fn runner() -> TestRunner {
    let config = Config { cases: 60, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]))
}

#[test]
fn the_rules_hold_whatever_happens() {
    let check = |steps: Vec<Step>| {
        run_steps(&steps, 3);
        Ok(())
    };
    runner().run(&steps(), check).unwrap();
}

#[test]
fn identical_events_give_identical_actions() {
    let check = |steps: Vec<Step>| {
        prop_assert_eq!(run_steps(&steps, 5), run_steps(&steps, 5));
        Ok(())
    };
    runner().run(&steps(), check).unwrap();
}

/// Couriers share no state: two that run alternately act as each would alone.
#[test]
fn interleaved_couriers_act_independently() {
    let run = |bench: &mut Bench, step: u32| {
        bench.now = bench.now + ms(40);
        bench.accept(step, 2, 1 + step % 3, None);
        let actions = bench.decide();
        for action in &actions {
            if let Action::Route { message, endpoint, .. } = action {
                bench.finish(message.0, endpoint.0, outcome((step % 9) as usize), ms(7));
            }
        }
        actions
    };
    let fresh = || {
        let (settings, endpoints) = test_setup();
        Bench::new(settings, endpoints)
    };
    let (mut alone, mut first, mut second) = (fresh(), fresh(), fresh());
    second.now = second.now + Duration::from_secs(9);
    for step in 0..300 {
        let expected = run(&mut alone, step);
        let actual = run(&mut first, step);
        run(&mut second, step * 2);
        assert_eq!(actual, expected);
    }
}
