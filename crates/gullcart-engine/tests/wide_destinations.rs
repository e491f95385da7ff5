//! Destination numbers beyond 16 bits work in the list, in messages, in the journal and in snapshots.

mod common;

use cloverstile::Outcome;
use common::*;
use gullcart_engine::{Answer, Call, CallResult, Effect, Engine, Input, Ticket, PROCESS_START};
use gullcart_journal::simulated::{Crash, Disk};
use gullcart_message::{ListingUpdate, Target};
use std::time::Duration;

/// Destination numbers at and beyond the limit of 16 bits.
const WIDE: [u32; 3] = [65_535, 65_536, 1_600_000];
/// Port of the first destination's endpoint. Each endpoint has its own port.
const FIRST_PORT: u16 = 2000;

fn wide_targets() -> Vec<Target> {
    let wide = |(index, destination): (u16, u32)| Target {
        uid: format!("wide-{destination}"),
        endpoint: format!("127.0.0.1:{}", FIRST_PORT + index),
        pod_group: destination,
        ..target(0, "SERVING")
    };
    (0..).zip(WIDE).map(wide).collect()
}

/// Ends a turn and returns its calls, ordered by message. Panics if a message was not accepted.
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
fn wide_destinations_are_listed_accepted_replayed_and_served() {
    let disk = Disk::new(DISK, Crash::Process, 1);
    let mut courier = engine(&disk, Crash::Process, PROCESS_START);
    courier.handle(
        PROCESS_START,
        Input::ListUpdate(ListingUpdate { rev: 2, all: false, targets: wide_targets() }),
    );
    for (number, destination) in (1..).zip(WIDE) {
        courier.handle(PROCESS_START, Input::Enqueue(Ticket(number), enqueue(number, "notice", destination)));
    }
    let first_calls = calls(&mut courier, PROCESS_START);
    assert_eq!(ports(&first_calls), [FIRST_PORT, FIRST_PORT + 1, FIRST_PORT + 2]);
    // The process is killed with all calls in flight. The next one has the list and calls the same endpoints again.
    drop(courier);
    let (disk, now) = (disk.after_crash(), PROCESS_START + Duration::from_secs(1));
    let mut courier = engine(&disk, Crash::Process, now);
    assert!(courier.journal().state().pending.values().map(|held| held.message.destination).eq(WIDE));
    let mut retries = Vec::new();
    for step in 0..200 {
        retries.extend(calls(&mut courier, now + Duration::from_millis(20 * step)));
    }
    retries.sort_by_key(|call| call.message);
    assert_eq!(ports(&retries), [FIRST_PORT, FIRST_PORT + 1, FIRST_PORT + 2]);
    // Another process resumes from a snapshot, and the calls are answered there.
    let now = now + Duration::from_secs(5);
    let (_, snapshot) = courier.freeze(now).unwrap();
    drop(courier);
    let (mut courier, resumed) =
        Engine::resume(config(now), journal(&disk, Crash::Process), &snapshot.unwrap());
    resumed.unwrap();
    let in_flight: Vec<_> = courier.calls_in_flight().collect();
    assert_eq!(in_flight.len(), WIDE.len());
    for (message, endpoint) in in_flight {
        let latency = Duration::from_millis(40);
        let result = CallResult { outcome: Outcome::Ok, latency, is_final: true, allowance: None };
        courier.handle(now, Input::CallEnded(message, endpoint, result));
    }
    courier.turn(now).unwrap();
    assert_eq!(courier.load(), (0, 0));
}
