//! Accepted messages are tried. They are not returned to make room, neither by a courier that is nearly full nor by the process
//! that restarts it.

mod common;

use common::*;
use gullcart_engine::{Answer, ClientId, Effect, Engine, Enqueue, Input, Ticket, PROCESS_START};
use gullcart_journal::simulated::{Crash, Disk};
use std::collections::BTreeSet;
use std::time::Duration;

/// What the effects of one or more turns contain.
#[derive(Default)]
struct EffectSummary {
    /// Answers that accepted a message.
    accepted: usize,
    /// Answers that rejected a message.
    rejected: usize,
    /// Ids of the messages with a notice.
    notices: Vec<String>,
    /// Ids of the messages that were called for.
    calls: Vec<String>,
}

fn turn(engine: &mut Engine<Disk>, now: cloverstile::Time) -> EffectSummary {
    let mut summary = EffectSummary::default();
    for effect in engine.turn(now).unwrap() {
        match effect {
            Effect::Answer(_, Answer::Taken(_)) => summary.accepted += 1,
            Effect::Answer(_, Answer::Busy(Some(_))) => summary.rejected += 1,
            Effect::SendNotice(notice) => summary.notices.push(notice.id),
            Effect::StartCall(call) => summary.calls.push(call.id),
            _ => {}
        }
    }
    summary
}

/// Enqueues the messages with these numbers, one per turn. Their calls get no answer.
fn fill(engine: &mut Engine<Disk>, numbers: std::ops::Range<u64>, class: &str) -> EffectSummary {
    let mut all = EffectSummary::default();
    for number in numbers {
        engine.handle(
            PROCESS_START,
            Input::Enqueue(Ticket(number), enqueue(number, class, (number % 4) as u32)),
        );
        let EffectSummary { accepted, rejected, notices, calls } = turn(engine, PROCESS_START);
        all.accepted += accepted;
        all.rejected += rejected;
        all.notices.extend(notices);
        all.calls.extend(calls);
    }
    all
}

/// The settings allow 60 messages. Guards against returning accepted messages of low worth to make room, which happened with 56
/// messages held.
#[test]
fn a_full_courier_rejects_new_messages_and_returns_none() {
    let disk = Disk::new(DISK, Crash::Process, 1);
    let mut courier = engine(&disk, Crash::Process, PROCESS_START);
    let seen = fill(&mut courier, 0..100, "salary");
    assert_eq!((seen.accepted, seen.rejected), (60, 40));
    assert_eq!(seen.notices, Vec::<String>::new());
}

/// A courier that is nearly full accepts only messages of the classes with the highest worth.
#[test]
fn the_last_capacity_is_reserved_for_the_classes_with_the_highest_worth() {
    let disk = Disk::new(DISK, Crash::Process, 1);
    let mut config = config(PROCESS_START);
    config.parsed_settings.settings.classes[1].worth = 3.0;
    let mut courier = Engine::new(config, journal(&disk, Crash::Process));
    let low_worth = fill(&mut courier, 0..100, "notice");
    let high_worth = fill(&mut courier, 100..200, "salary");
    assert_eq!((low_worth.accepted, high_worth.accepted), (55, 5));
    assert!(low_worth.notices.is_empty() && high_worth.notices.is_empty());
}

/// A process is killed while it holds as many messages as it may, most of them untried. The next process has to try them all.
/// Guards against returning those of low worth in its first turn, without a call.
#[test]
fn untried_messages_are_tried_after_a_restart() {
    let disk = Disk::new(DISK, Crash::Process, 1);
    let mut courier = engine(&disk, Crash::Process, PROCESS_START);
    let seen = fill(&mut courier, 0..60, "salary");
    assert_eq!(seen.accepted, 60);
    let tried: BTreeSet<String> = seen.calls.into_iter().collect();
    drop(courier);
    let disk = disk.after_crash();
    let mut now = PROCESS_START + Duration::from_secs(2);
    let mut next = engine(&disk, Crash::Process, now);
    let mut calls = BTreeSet::new();
    let mut notices = BTreeSet::new();
    // Ends when half of the messages' time has passed.
    while now < PROCESS_START + Duration::from_secs(10) {
        for effect in next.turn(now).unwrap() {
            match effect {
                Effect::SendNotice(notice) => drop(notices.insert(notice.id)),
                Effect::StartCall(call) => {
                    let (outcome, latency) = (cloverstile::Outcome::Ok, Duration::from_millis(40));
                    let result =
                        gullcart_engine::CallResult { outcome, latency, is_final: true, allowance: None };
                    next.handle(now, Input::CallWritten(call.message));
                    next.handle(now, Input::CallEnded(call.message, call.endpoint, result));
                    calls.insert(call.id);
                }
                _ => {}
            }
        }
        now = now + Duration::from_millis(20);
    }
    let untried: BTreeSet<String> =
        (0..60).map(|n| format!("m{n}")).filter(|id| !tried.contains(id)).collect();
    assert!(untried.len() > 40, "{untried:?}");
    assert_eq!(untried.difference(&calls).count(), 0, "without a call: {:?}", untried.difference(&calls));
    assert!(notices.is_subset(&tried), "ended untried: {:?}", notices.difference(&tried));
}

/// Enqueues a message of a client and returns the answer.
fn answer_to(engine: &mut Engine<Disk>, number: u64, client: u64, time_left: Duration) -> Answer {
    let client = Some(ClientId(client));
    let enqueue = Enqueue { client, time_left, ..enqueue(number, "salary", 1) };
    engine.handle(PROCESS_START, Input::Enqueue(Ticket(number), enqueue));
    let answer = |effect: Effect| match effect {
        Effect::Answer(_, answer) => Some(answer),
        _ => None,
    };
    engine.turn(PROCESS_START).unwrap().into_iter().find_map(answer).unwrap()
}

/// Guards against one client that takes the places of all others, as the settings let 60 messages be held.
#[test]
fn one_client_leaves_places_to_others() {
    let disk = Disk::new(DISK, Crash::Process, 1);
    let mut engine = engine(&disk, Crash::Process, PROCESS_START);
    let is_taken = |answer: &Answer| matches!(answer, Answer::Taken(_));
    let mut enqueue = |numbers: std::ops::Range<u64>, client: u64| {
        let answers = numbers.map(|number| answer_to(&mut engine, number, client, Duration::from_secs(20)));
        answers.filter(is_taken).count()
    };
    assert_eq!(enqueue(1..101, 1), 41);
    // Others get what is left.
    assert_eq!(enqueue(101..110, 2), 9);
    assert_eq!(enqueue(201..220, 3), 10);
    assert_eq!(enqueue(301..311, 1), 0);
}

/// Guards against messages that only wait for the acknowledgement of their notices and take places meanwhile.
#[test]
fn a_message_without_time_takes_no_place() {
    let disk = Disk::new(DISK, Crash::Process, 1);
    let mut engine = engine(&disk, Crash::Process, PROCESS_START);
    let answer = answer_to(&mut engine, 1, 1, Duration::ZERO);
    assert!(matches!(answer, Answer::Error(_)), "{answer:?}");
    assert_eq!(engine.load(), (0, 0));
}
