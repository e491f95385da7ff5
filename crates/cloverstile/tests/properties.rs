//! Arbitrary legal event sequences, with a fixed seed: the rules hold on whatever the courier does.
//! Outcomes are arbitrary; this plays no server.

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
    Finish { which: usize, how: usize },
    Gone(usize),
    Mode { endpoint: u32, mode: usize },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        5 => (1u64..400).prop_map(Step::Pass),
        5 => (0u8..4, 1u32..4, 0u64..4).prop_map(|(class, destination, key)| Step::Accept { class, destination, key }),
        5 => (0usize..64, 0usize..9).prop_map(|(which, how)| Step::Finish { which, how }),
        1 => (0usize..64).prop_map(Step::Gone),
        1 => (0u32..6, 0usize..3).prop_map(|(endpoint, mode)| Step::Mode { endpoint, mode }),
    ];
    proptest::collection::vec(step, 1..300)
}

fn world() -> (Settings, Vec<Endpoint>) {
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

#[derive(Debug)]
struct Held {
    class: usize,
    destination: u32,
    key: u64,
    deadline: Time,
    out: Option<(u32, Time)>,
    first_maybe: Option<Time>,
    sends: u32,
    ended: bool,
}

/// What the rules say of the past, kept apart from the courier's own books.
struct Judge {
    settings: Settings,
    held: BTreeMap<u32, Held>,
    waits: BTreeMap<u32, Time>,
    rests: BTreeMap<u64, Time>,
    modes: BTreeMap<u32, Mode>,
}

impl Judge {
    fn check(&mut self, now: Time, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Route { message, endpoint, .. } => self.route(now, message.0, endpoint.0),
                Action::Return { message, .. } => {
                    let held = self.end(now, message.0);
                    let effect = self.settings.classes[self.held[&held].class].effect;
                    let held = &self.held[&held];
                    assert!(effect == Effect::Safe || (held.first_maybe.is_none() && held.out.is_none()));
                }
                Action::ReportFailure { message } => {
                    self.end(now, message.0);
                }
                _ => {}
            }
        }
    }

    fn end(&mut self, now: Time, id: u32) -> u32 {
        let held = self.held.get_mut(&id).expect("answers only what it holds");
        assert!(!held.ended, "one final answer");
        assert!(now <= held.deadline + self.settings.rules.answer_slack, "in time");
        held.ended = true;
        id
    }

    fn route(&mut self, now: Time, id: u32, endpoint: u32) {
        let held = &self.held[&id];
        let class = &self.settings.classes[held.class];
        assert!(!held.ended && held.out.is_none(), "never two attempts, nothing after the end");
        assert_eq!(self.modes[&endpoint], Mode::Ready, "nothing to a drained endpoint");
        assert!(self.waits.get(&held.destination).is_none_or(|until| *until <= now), "waits are kept");
        assert!(held.sends < self.settings.max_attempts);
        if let Some(first) = held.first_maybe {
            assert_ne!(class.effect, Effect::Unsafe, "no unsafe resend");
            assert!(class.effect == Effect::Safe || now < first + class.repeat_window, "inside the window");
        }
        if class.in_order && held.key != 0 {
            let mut earlier = self.held.range(..id).map(|(_, h)| h);
            let accepted = |h: &Held| self.settings.classes[h.class].in_order && h.key == held.key;
            assert!(!earlier.any(|h| accepted(h) && (!h.ended || h.out.is_some())), "keys in turn");
            assert!(held.sends > 0 || self.rests.get(&held.key).is_none_or(|until| *until <= now), "rest");
        }
        let held = self.held.get_mut(&id).expect("known");
        held.out = Some((endpoint, now));
        held.sends += 1;
        let out = self.held.values().filter(|h| h.out.is_some()).count();
        assert!(out <= self.settings.call_slots * 3, "slots");
    }
}

fn outcome(how: usize) -> Outcome {
    match how {
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

/// Plays the steps, judges every action, and returns all of them.
fn play(steps: &[Step], seed: u64) -> Vec<Action> {
    let (settings, endpoints) = world();
    let mut bench = Bench::new(settings.clone(), endpoints.clone());
    bench.courier = Courier::new(settings.clone(), seed);
    bench.tell(Event::Listed(Listing::Whole(endpoints.clone())));
    let modes = endpoints.iter().map(|e| (e.id.0, e.mode)).collect();
    let (held, waits, rests) = Default::default();
    let mut judge = Judge { settings, held, waits, rests, modes };
    let mut all = Vec::new();
    let mut id = 0;
    for step in steps.iter().cloned().chain((0..120).map(|_| Step::Pass(250))) {
        match step {
            Step::Pass(span) => {
                let end = bench.now + ms(span);
                while bench.now < end {
                    bench.now = bench.now + ms(5);
                    // An attempt cut to its deadline times out there.
                    let due: Vec<u32> = judge
                        .held
                        .iter()
                        .filter(|(_, h)| h.out.is_some() && h.deadline <= bench.now)
                        .map(|(id, _)| *id)
                        .collect();
                    due.iter().for_each(|id| finish(&mut bench, &mut judge, *id, Outcome::Timeout));
                    let actions = bench.decide();
                    judge.check(bench.now, &actions);
                    all.extend(actions);
                }
                continue;
            }
            Step::Accept { class, destination, key } => {
                if judge.held.values().filter(|h| !h.ended).count() >= judge.settings.max_held {
                    continue;
                }
                id += 1;
                bench.accept(id, class, destination, (key > 0).then_some(key));
                let deadline = bench.now + judge.settings.classes[usize::from(class)].deadline;
                let class = usize::from(class);
                let (out, first_maybe) = (None, None);
                let held =
                    Held { class, destination, key, deadline, out, first_maybe, sends: 0, ended: false };
                judge.held.insert(id, held);
            }
            Step::Finish { which, how } => {
                let out: Vec<u32> =
                    judge.held.iter().filter(|(_, h)| h.out.is_some()).map(|(i, _)| *i).collect();
                if !out.is_empty() {
                    finish(&mut bench, &mut judge, out[which % out.len()], outcome(how));
                }
            }
            Step::Gone(which) => {
                let open: Vec<u32> = judge.held.iter().filter(|(_, h)| !h.ended).map(|(i, _)| *i).collect();
                if !open.is_empty() {
                    let gone = open[which % open.len()];
                    bench.tell(Event::ClientGone(MessageId(gone)));
                    judge.held.get_mut(&gone).expect("open").ended = true;
                }
            }
            Step::Mode { endpoint, mode } => {
                let mode = [Mode::Ready, Mode::Draining, Mode::Gone][mode];
                let entry = Endpoint { mode, ..endpoints[endpoint as usize].clone() };
                bench.tell(Event::Listed(Listing::Changes(vec![entry])));
                judge.modes.insert(endpoint, mode);
            }
        }
        let actions = bench.decide();
        judge.check(bench.now, &actions);
        all.extend(actions);
    }
    assert!(judge.held.values().all(|h| h.ended), "every message has its final answer");
    all
}

fn finish(bench: &mut Bench, judge: &mut Judge, id: u32, outcome: Outcome) {
    let held = judge.held.get_mut(&id).expect("known");
    let (endpoint, sent) = held.out.take().expect("out");
    let never = matches!(outcome, Outcome::Rejected(_) | Outcome::ConnectFailed | Outcome::NotSent);
    if !never && held.first_maybe.is_none() {
        held.first_maybe = Some(sent);
    }
    if outcome == Outcome::Ok {
        held.ended = true;
    }
    if let Outcome::Rejected(Some(wait)) = outcome {
        let until = judge.waits.entry(held.destination).or_insert(Time::ZERO);
        *until = (*until).max(bench.now + wait);
    }
    let in_order = judge.settings.classes[held.class].in_order;
    if in_order && matches!(outcome, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled) {
        judge.rests.insert(held.key, bench.now + judge.settings.rules.order_settle);
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
        play(&steps, 3);
        Ok(())
    };
    runner().run(&steps(), check).unwrap();
}

#[test]
fn identical_events_give_identical_actions() {
    let check = |steps: Vec<Step>| {
        prop_assert_eq!(play(&steps, 5), play(&steps, 5));
        Ok(())
    };
    runner().run(&steps(), check).unwrap();
}

/// Two couriers that take turns act as each does alone.
#[test]
fn interleaved_couriers_act_as_alone() {
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
        let (settings, endpoints) = world();
        Bench::new(settings, endpoints)
    };
    let (mut alone, mut one, mut two) = (fresh(), fresh(), fresh());
    two.now = two.now + Duration::from_secs(9);
    for step in 0..300 {
        let expected = run(&mut alone, step);
        let seen = run(&mut one, step);
        run(&mut two, step * 2);
        assert_eq!(seen, expected);
    }
}
