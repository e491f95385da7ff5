//! Endpoints that operators take out, and what the courier counts.

mod common;

use cloverstile::{MessageId, Outcome, Time};
use common::*;
use gullcart_engine::{
    CallResult, CommandError, Effect, Engine, Input, OperatorCommand, StopReason, Ticket, EPOCH,
};
use gullcart_journal::simulated::{Crash, Disk, Fault};
use gullcart_message::{Target, Update};
use std::time::Duration;

/// Carries an order out in a turn of its own: its answer, and all that was done.
fn order(
    engine: &mut Engine<Disk>,
    now: Time,
    order: OperatorCommand,
) -> (Result<(), CommandError>, Vec<Effect>) {
    engine.handle(now, Input::Command(Ticket(99), order));
    let effects = engine.turn(now).unwrap();
    let answer = effects.iter().find_map(|effect| match effect {
        Effect::CommandResult(Ticket(99), answer) => Some(*answer),
        _ => None,
    });
    (answer.expect("an answer"), effects)
}

fn suspend(engine: &mut Engine<Disk>, now: Time, uid: &str) -> Result<(), CommandError> {
    order(engine, now, OperatorCommand::Suspend(uid.to_owned())).0
}

/// Hands messages in for destination 1 (endpoints s-2 and s-3) for a while; the endpoints that were called.
fn called(engine: &mut Engine<Disk>, from: u64, now: Time) -> Vec<u16> {
    let mut ports = Vec::new();
    for step in 0..40 {
        let now = now + Duration::from_millis(50 * step);
        engine.handle(now, Input::Enqueue(Ticket(from + step), enqueue(from + step, "salary", 1)));
        for effect in engine.turn(now).unwrap() {
            let Effect::StartCall(call) = effect else { continue };
            ports.push(call.address.port() - 1000);
            let (outcome, latency) = (Outcome::Ok, Duration::from_millis(40));
            let ended = CallResult { outcome, latency, is_final: true, allowance: None };
            engine.handle(now, Input::CallWritten(call.message));
            engine.handle(now, Input::CallEnded(call.message, call.endpoint, ended));
        }
    }
    ports
}

fn list(all: bool, rev: u64, targets: Vec<Target>) -> Input {
    Input::ListUpdate(Update { rev, all, targets })
}

#[test]
fn a_ban_outlasts_all_that_the_list_says_and_the_process() {
    let disk = Disk::new(DISK, Crash::Process, 1);
    let mut courier = engine(&disk, Crash::Process, EPOCH);
    assert_eq!(suspend(&mut courier, EPOCH, "s-2"), Ok(()));
    assert_eq!(suspend(&mut courier, EPOCH, "s-2"), Ok(()));
    assert!(!called(&mut courier, 100, EPOCH).contains(&2));
    let moved = Target { endpoint: "127.0.0.1:1009".to_owned(), ..target(2, "SERVING") };
    let whole: Vec<Target> = (0..8).map(|number| target(number, "SERVING")).collect();
    let mut now = EPOCH + Duration::from_secs(10);
    for (at, news) in [
        list(false, 2, vec![target(2, "DRAINING")]),
        list(false, 3, vec![target(2, "SERVING")]),
        list(false, 4, vec![target(2, "DELETED")]),
        list(false, 5, vec![target(2, "SERVING")]),
        list(true, 6, whole.clone()),
        list(false, 7, vec![moved]),
    ]
    .into_iter()
    .enumerate()
    {
        courier.handle(now, news);
        let ports = called(&mut courier, 1000 + 100 * at as u64, now);
        assert!(!ports.is_empty() && !ports.contains(&2) && !ports.contains(&9), "{at}: {ports:?}");
        now = now + Duration::from_secs(10);
    }
    assert_eq!(courier.metrics(now).endpoints_excluded, 1);
    drop(courier);
    let disk = disk.crashed();
    let mut next = engine(&disk, Crash::Process, now);
    assert!(!called(&mut next, 5000, now).contains(&9));
    let (answer, _) = order(&mut next, now, OperatorCommand::Restore("s-2".to_owned()));
    assert_eq!(answer, Ok(()));
    let later = now + Duration::from_secs(20);
    assert!(called(&mut next, 6000, later).contains(&9));
    assert_eq!(next.metrics(later).endpoints_excluded, 0);
}

#[test]
fn an_id_is_known_that_was_once_listed_and_no_other() {
    let disk = Disk::new(DISK, Crash::Process, 1);
    let mut courier = engine(&disk, Crash::Process, EPOCH);
    assert_eq!(suspend(&mut courier, EPOCH, "s-77"), Err(CommandError::UnknownEndpoint));
    assert_eq!(
        order(&mut courier, EPOCH, OperatorCommand::Restore("s-77".to_owned())).0,
        Err(CommandError::UnknownEndpoint)
    );
    courier.handle(EPOCH, list(false, 2, vec![target(2, "DELETED")]));
    courier.turn(EPOCH).unwrap();
    drop(courier);
    // Also by the next process, and when it is listed again it is out from the start.
    let disk = disk.crashed();
    let mut next = engine(&disk, Crash::Process, EPOCH);
    assert_eq!(suspend(&mut next, EPOCH, "s-2"), Ok(()));
    next.handle(EPOCH, list(false, 3, vec![target(2, "SERVING")]));
    assert!(!called(&mut next, 100, EPOCH).contains(&2));
}

#[test]
fn what_cannot_be_written_is_denied_and_changes_nothing() {
    let disk = Disk::new(DISK, Crash::Process, 1);
    let mut courier = engine(&disk, Crash::Process, EPOCH);
    courier.turn(EPOCH).unwrap();
    for operation in 1..200 {
        disk.fail(disk.operations() + operation, Fault::Error);
    }
    assert_eq!(suspend(&mut courier, EPOCH, "s-2"), Err(CommandError::NotRecorded));
    assert_eq!(courier.metrics(EPOCH).endpoints_excluded, 0);
    disk.mend();
    assert!(called(&mut courier, 100, EPOCH).contains(&2));
}

#[test]
fn calls_that_are_connecting_are_taken_back_and_idle_connections_closed() {
    let disk = Disk::new(DISK, Crash::Process, 1);
    let mut courier = engine(&disk, Crash::Process, EPOCH);
    courier.handle(EPOCH, Input::Enqueue(Ticket(1), enqueue(1, "salary", 1)));
    let effects = courier.turn(EPOCH).unwrap();
    let call = effects.iter().find_map(|effect| match effect {
        Effect::StartCall(call) => Some(call.clone()),
        _ => None,
    });
    let call = call.expect("a call");
    let uid = format!("s-{}", call.address.port() - 1000);
    let (answer, effects) = order(&mut courier, EPOCH, OperatorCommand::Suspend(uid));
    assert_eq!(answer, Ok(()));
    assert!(effects.contains(&Effect::StopCall(call.message, StopReason::Withdrawn)), "{effects:?}");
    assert!(effects.contains(&Effect::CloseIdle(call.endpoint)), "{effects:?}");
}

#[test]
fn an_attempt_counts_once_when_it_is_written_and_an_end_once() {
    let disk = Disk::new(DISK, Crash::Process, 1);
    let mut courier = engine(&disk, Crash::Process, EPOCH);
    let ports = called(&mut courier, 1, EPOCH);
    let reading = courier.metrics(EPOCH);
    assert_eq!(reading.attempts, ports.len() as u64);
    let salary = reading.classes.iter().find(|(name, _)| name == "salary").unwrap();
    assert_eq!(salary.1.served, ports.len() as u64);
    // Neither for a message that is not out, nor for an end that comes again.
    courier.handle(EPOCH, Input::CallWritten(MessageId(1)));
    courier.handle(EPOCH, Input::NoticesAcknowledged(vec![MessageId(1)]));
    courier.turn(EPOCH).unwrap();
    assert_eq!(courier.metrics(EPOCH), reading);
}
