//! Destinations beyond 16 bits are listed, taken on for, journalled, replayed and called.

mod common;

use cloverstile::Outcome;
use common::*;
use gullcart_engine::{Answer, Call, CallResult, Effect, Engine, Input, Ticket, EPOCH};
use gullcart_journal::simulated::{Crash, Disk};
use gullcart_message::{Target, Update};
use std::time::Duration;

const WIDE: [u32; 3] = [65_535, 65_536, 1_600_000];
/// The port of the first of them; each has its own.
const FIRST_PORT: u16 = 2000;

fn wide_targets() -> Vec<Target> {
    let wide = |(place, destination): (u16, u32)| Target {
        uid: format!("wide-{destination}"),
        endpoint: format!("127.0.0.1:{}", FIRST_PORT + place),
        pod_group: destination,
        ..target(0, "SERVING")
    };
    (0..).zip(WIDE).map(wide).collect()
}

/// The turn's calls, by their messages; whatever was refused fails the test.
fn calls(engine: &mut Engine<Disk>, now: cloverstile::Time) -> Vec<Call> {
    let mut calls = Vec::new();
    for effect in engine.turn(now).unwrap() {
        match effect {
            Effect::StartCall(call) => calls.push(call),
            Effect::Answer(_, answer) => assert!(matches!(answer, Answer::Taken(_)), "{answer:?}"),
            _ => {}
        }
    }
    calls.sort_by_key(|call| call.message);
    calls
}

fn ports(calls: &[Call]) -> Vec<u16> {
    calls.iter().map(|call| call.address.port()).collect()
}

#[test]
fn wide_destinations_are_listed_taken_on_for_replayed_and_served() {
    let disk = Disk::new(DISK, Crash::Process, 1);
    let mut courier = engine(&disk, Crash::Process, EPOCH);
    courier.handle(EPOCH, Input::ListUpdate(Update { rev: 2, all: false, targets: wide_targets() }));
    for (number, destination) in (1..).zip(WIDE) {
        courier.handle(EPOCH, Input::Enqueue(Ticket(number), enqueue(number, "notice", destination)));
    }
    let begun = calls(&mut courier, EPOCH);
    assert_eq!(ports(&begun), [FIRST_PORT, FIRST_PORT + 1, FIRST_PORT + 2]);
    // Killed with all of them out: the next process has the list, and calls the same endpoints again.
    drop(courier);
    let (disk, now) = (disk.crashed(), EPOCH + Duration::from_secs(1));
    let mut courier = engine(&disk, Crash::Process, now);
    assert!(courier.journal().image().held.values().map(|held| held.taken.destination).eq(WIDE));
    let mut again = Vec::new();
    for step in 0..200 {
        again.extend(calls(&mut courier, now + Duration::from_millis(20 * step)));
    }
    again.sort_by_key(|call| call.message);
    assert_eq!(ports(&again), [FIRST_PORT, FIRST_PORT + 1, FIRST_PORT + 2]);
    // Carried into another process as well, and served there.
    let now = now + Duration::from_secs(5);
    let (_, block) = courier.freeze(now).unwrap();
    drop(courier);
    let (mut courier, taken_up) =
        Engine::resume(config(now), journal(&disk, Crash::Process), &block.unwrap());
    taken_up.unwrap();
    let out: Vec<_> = courier.calls_in_flight().collect();
    assert_eq!(out.len(), WIDE.len());
    for (message, endpoint) in out {
        let latency = Duration::from_millis(40);
        let ended = CallResult { outcome: Outcome::Ok, latency, is_final: true, allowance: None };
        courier.handle(now, Input::CallEnded(message, endpoint, ended));
    }
    courier.turn(now).unwrap();
    assert_eq!(courier.load(), (0, 0));
}
