//! Operators' commands to suspend and restore endpoints, and the engine's metrics.

mod common;

use cloverstile::{MessageId, Outcome, Time};
use common::*;
use gullcart_engine::{
    CallResult, CommandError, Effect, Engine, Input, OperatorCommand, StopReason, Ticket, PROCESS_START,
};
use gullcart_journal::simulated::{Crash, Disk, Fault};
use gullcart_message::{ListingUpdate, Target};
use std::time::Duration;

/// Executes a command in a turn of its own and returns its result and all effects.
fn execute(
    engine: &mut Engine<Disk>,
    now: Time,
    command: OperatorCommand,
) -> (Result<(), CommandError>, Vec<Effect>) {
    engine.handle(now, Input::Command(Ticket(99), command));
    let effects = engine.turn(now).unwrap();
    let result = effects.iter().find_map(|effect| match effect {
        Effect::CommandResult(Ticket(99), result) => Some(*result),
        _ => None,
    });
    (result.expect("a result"), effects)
}

fn suspend(engine: &mut Engine<Disk>, now: Time, uid: &str) -> Result<(), CommandError> {
    execute(engine, now, OperatorCommand::Suspend(uid.to_owned())).0
}

/// Enqueues messages for destination 1, which has the endpoints s-2 and s-3, for two seconds. Returns the numbers of the endpoints
/// that were called.
fn called_endpoints(engine: &mut Engine<Disk>, from: u64, now: Time) -> Vec<u16> {
    let mut numbers = Vec::new();
    for step in 0..40 {
        let now = now + Duration::from_millis(50 * step);
        engine.handle(now, Input::Enqueue(Ticket(from + step), enqueue(from + step, "salary", 1)));
        for effect in engine.turn(now).unwrap() {
            let Effect::StartCall(call) = effect else { continue };
            numbers.push(call.address.port() - 1000);
            let (outcome, latency) = (Outcome::Ok, Duration::from_millis(40));
            let result = CallResult { outcome, latency, is_final: true, allowance: None };
            engine.handle(now, Input::CallWritten(call.message));
            engine.handle(now, Input::CallEnded(call.message, call.endpoint, result));
        }
    }
    numbers
}

fn list_update(all: bool, rev: u64, targets: Vec<Target>) -> Input {
    Input::ListUpdate(ListingUpdate { rev, all, targets })
}

#[test]
fn a_suspension_outlasts_all_list_updates_and_the_process() {
    let disk = Disk::new(DISK, Crash::Process, 1);
    let mut courier = engine(&disk, Crash::Process, PROCESS_START);
    assert_eq!(suspend(&mut courier, PROCESS_START, "s-2"), Ok(()));
    assert_eq!(suspend(&mut courier, PROCESS_START, "s-2"), Ok(()));
    assert!(!called_endpoints(&mut courier, 100, PROCESS_START).contains(&2));
    let moved = Target { endpoint: "127.0.0.1:1009".to_owned(), ..target(2, "SERVING") };
    let whole: Vec<Target> = (0..8).map(|number| target(number, "SERVING")).collect();
    let mut now = PROCESS_START + Duration::from_secs(10);
    for (index, update) in [
        list_update(false, 2, vec![target(2, "DRAINING")]),
        list_update(false, 3, vec![target(2, "SERVING")]),
        list_update(false, 4, vec![target(2, "DELETED")]),
        list_update(false, 5, vec![target(2, "SERVING")]),
        list_update(true, 6, whole.clone()),
        list_update(false, 7, vec![moved]),
    ]
    .into_iter()
    .enumerate()
    {
        courier.handle(now, update);
        let called = called_endpoints(&mut courier, 1000 + 100 * index as u64, now);
        assert!(!called.is_empty() && !called.contains(&2) && !called.contains(&9), "{index}: {called:?}");
        now = now + Duration::from_secs(10);
    }
    assert_eq!(courier.metrics(now).endpoints_excluded, 1);
    drop(courier);
    let disk = disk.after_crash();
    let mut next = engine(&disk, Crash::Process, now);
    assert!(!called_endpoints(&mut next, 5000, now).contains(&9));
    let (result, _) = execute(&mut next, now, OperatorCommand::Unsuspend("s-2".to_owned()));
    assert_eq!(result, Ok(()));
    let later = now + Duration::from_secs(20);
    assert!(called_endpoints(&mut next, 6000, later).contains(&9));
    assert_eq!(next.metrics(later).endpoints_excluded, 0);
}

#[test]
fn only_endpoints_that_were_listed_once_are_known() {
    let disk = Disk::new(DISK, Crash::Process, 1);
    let mut courier = engine(&disk, Crash::Process, PROCESS_START);
    assert_eq!(suspend(&mut courier, PROCESS_START, "s-77"), Err(CommandError::UnknownEndpoint));
    assert_eq!(
        execute(&mut courier, PROCESS_START, OperatorCommand::Unsuspend("s-77".to_owned())).0,
        Err(CommandError::UnknownEndpoint)
    );
    courier.handle(PROCESS_START, list_update(false, 2, vec![target(2, "DELETED")]));
    courier.turn(PROCESS_START).unwrap();
    drop(courier);
    // The next process knows the endpoint, too, and keeps it suspended when it is listed again.
    let disk = disk.after_crash();
    let mut next = engine(&disk, Crash::Process, PROCESS_START);
    assert_eq!(suspend(&mut next, PROCESS_START, "s-2"), Ok(()));
    next.handle(PROCESS_START, list_update(false, 3, vec![target(2, "SERVING")]));
    assert!(!called_endpoints(&mut next, 100, PROCESS_START).contains(&2));
}

#[test]
fn a_command_that_cannot_be_recorded_is_rejected_and_changes_nothing() {
    let disk = Disk::new(DISK, Crash::Process, 1);
    let mut courier = engine(&disk, Crash::Process, PROCESS_START);
    courier.turn(PROCESS_START).unwrap();
    for operation in 1..200 {
        disk.inject_fault(disk.operations() + operation, Fault::Error);
    }
    assert_eq!(suspend(&mut courier, PROCESS_START, "s-2"), Err(CommandError::NotRecorded));
    assert_eq!(courier.metrics(PROCESS_START).endpoints_excluded, 0);
    disk.clear_faults();
    assert!(called_endpoints(&mut courier, 100, PROCESS_START).contains(&2));
}

#[test]
fn unsent_calls_are_withdrawn_and_idle_connections_closed() {
    let disk = Disk::new(DISK, Crash::Process, 1);
    let mut courier = engine(&disk, Crash::Process, PROCESS_START);
    courier.handle(PROCESS_START, Input::Enqueue(Ticket(1), enqueue(1, "salary", 1)));
    let effects = courier.turn(PROCESS_START).unwrap();
    let call = effects.iter().find_map(|effect| match effect {
        Effect::StartCall(call) => Some(call.clone()),
        _ => None,
    });
    let call = call.expect("a call");
    let uid = format!("s-{}", call.address.port() - 1000);
    let (result, effects) = execute(&mut courier, PROCESS_START, OperatorCommand::Suspend(uid));
    assert_eq!(result, Ok(()));
    assert!(effects.contains(&Effect::StopCall(call.message, StopReason::Withdrawn)), "{effects:?}");
    assert!(effects.contains(&Effect::CloseIdle(call.endpoint)), "{effects:?}");
}

#[test]
fn an_attempt_is_counted_once_when_it_is_written_and_a_message_once_when_it_ends() {
    let disk = Disk::new(DISK, Crash::Process, 1);
    let mut courier = engine(&disk, Crash::Process, PROCESS_START);
    let called = called_endpoints(&mut courier, 1, PROCESS_START);
    let metrics = courier.metrics(PROCESS_START);
    assert_eq!(metrics.calls_written, called.len() as u64);
    let salary = metrics.classes.iter().find(|(name, _)| name == "salary").unwrap();
    assert_eq!(salary.1.served, called.len() as u64);
    // A message without a call in flight and a repeated acknowledgement are not counted.
    courier.handle(PROCESS_START, Input::CallWritten(MessageId(1)));
    courier.handle(PROCESS_START, Input::NoticesAcknowledged(vec![MessageId(1)]));
    courier.turn(PROCESS_START).unwrap();
    assert_eq!(courier.metrics(PROCESS_START), metrics);
}
