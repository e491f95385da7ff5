//! What was taken on is tried: it is not given up for room, neither while the courier is nearly full nor by the next process.

mod common;

use common::*;
use gullcart_engine::{Answer, Effect, Engine, Input, Ticket, EPOCH};
use gullcart_journal::simulated::{Crash, Disk};
use std::collections::BTreeSet;
use std::time::Duration;

/// What a turn gave: answers that were taken on, and refused ones, ends that were told, and calls.
#[derive(Default)]
struct Turn {
    taken: usize,
    busy: usize,
    ends: Vec<String>,
    calls: Vec<String>,
}

fn turn(engine: &mut Engine<Disk>, now: cloverstile::Time) -> Turn {
    let mut turn = Turn::default();
    for effect in engine.turn(now).unwrap() {
        match effect {
            Effect::Answer(_, Answer::Taken(_)) => turn.taken += 1,
            Effect::Answer(_, Answer::Busy(Some(_))) => turn.busy += 1,
            Effect::SendNotice(notice) => turn.ends.push(notice.id),
            Effect::StartCall(call) => turn.calls.push(call.id),
            _ => {}
        }
    }
    turn
}

/// Hands so many messages in, one a turn; none of their calls is answered.
fn fill(engine: &mut Engine<Disk>, numbers: std::ops::Range<u64>, class: &str) -> Turn {
    let mut all = Turn::default();
    for number in numbers {
        engine.handle(EPOCH, Input::Enqueue(Ticket(number), enqueue(number, class, (number % 4) as u32)));
        let Turn { taken, busy, ends, calls } = turn(engine, EPOCH);
        all.taken += taken;
        all.busy += busy;
        all.ends.extend(ends);
        all.calls.extend(calls);
    }
    all
}

/// The settings allow 60 messages. The least worth were handed back, to make room, when 56 were held: each cost its client a
/// message that it had been told was taken on.
#[test]
fn a_courier_that_is_full_turns_away_at_the_door_and_gives_nothing_up() {
    let disk = Disk::new(DISK, Crash::Process, 1);
    let mut courier = engine(&disk, Crash::Process, EPOCH);
    let seen = fill(&mut courier, 0..100, "salary");
    assert_eq!((seen.taken, seen.busy), (60, 40));
    assert_eq!(seen.ends, Vec::<String>::new());
}

/// Nearly full, the last room is for the classes of most worth.
#[test]
fn the_last_room_is_kept_for_what_is_worth_most() {
    let disk = Disk::new(DISK, Crash::Process, 1);
    let mut config = config(EPOCH);
    config.parsed_settings.settings.classes[1].worth = 3.0;
    let mut courier = Engine::new(config, journal(&disk, Crash::Process));
    let cheap = fill(&mut courier, 0..100, "notice");
    let dear = fill(&mut courier, 100..200, "salary");
    assert_eq!((cheap.taken, dear.taken), (55, 5));
    assert!(cheap.ends.is_empty() && dear.ends.is_empty());
}

/// A process that is killed with all that it may hold, most of it untried, leaves that to the next one, which tries it all. It
/// used to hand the least worth back in its first turn, with no call.
#[test]
fn what_a_restart_finds_untried_is_tried() {
    let disk = Disk::new(DISK, Crash::Process, 1);
    let mut courier = engine(&disk, Crash::Process, EPOCH);
    let seen = fill(&mut courier, 0..60, "salary");
    assert_eq!(seen.taken, 60);
    let tried: BTreeSet<String> = seen.calls.into_iter().collect();
    drop(courier);
    let disk = disk.crashed();
    let mut now = EPOCH + Duration::from_secs(2);
    let mut next = engine(&disk, Crash::Process, now);
    let (mut calls, mut ends) = (BTreeSet::new(), BTreeSet::new());
    // Half of its time is left at the end.
    while now < EPOCH + Duration::from_secs(10) {
        for effect in next.turn(now).unwrap() {
            match effect {
                Effect::SendNotice(notice) => drop(ends.insert(notice.id)),
                Effect::StartCall(call) => {
                    let (outcome, latency) = (cloverstile::Outcome::Ok, Duration::from_millis(40));
                    let ended =
                        gullcart_engine::CallResult { outcome, latency, is_final: true, allowance: None };
                    next.handle(now, Input::CallWritten(call.message));
                    next.handle(now, Input::CallEnded(call.message, call.endpoint, ended));
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
    assert_eq!(untried.difference(&calls).count(), 0, "with no call: {:?}", untried.difference(&calls));
    assert!(ends.is_subset(&tried), "given up: {:?}", ends.difference(&tried));
}
