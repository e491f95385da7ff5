//! No effect leaves the engine before the journal holds what it promises. The tests simulate a crash after every turn.

mod common;

use bytes::Bytes;
use cloverstile::{EndpointId, MessageId, Outcome, Time};
use common::*;
use gullcart_engine::{
    Answer, CallResult, Effect, Engine, Enqueue, Input, OperatorCommand, StopReason, Ticket, PROCESS_START,
};
use gullcart_journal::simulated::{Crash, Disk, Fault};
use gullcart_journal::{Journal, JournalState};
use gullcart_message::{ListingUpdate, Verdict};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The state that the journal has after a crash at this moment.
fn state_after_crash(disk: &Disk, crash: Crash) -> JournalState {
    journal(&disk.after_crash(), crash).state().clone()
}

/// Checks that the journal after a crash holds everything that the effects promise.
fn check_promises(
    effects: &[Effect],
    commands: &BTreeMap<Ticket, OperatorCommand>,
    journal_state: &JournalState,
) -> Result<(), String> {
    for effect in effects {
        let is_kept = match effect {
            Effect::Answer(_, Answer::Taken(message)) => journal_state.pending.contains_key(&message.0),
            Effect::StartCall(call) => {
                journal_state.pending.get(&call.message.0).is_some_and(|held| held.in_flight.is_some())
            }
            Effect::CommandResult(ticket, Ok(())) => match commands.get(ticket) {
                // The last command for an endpoint in a turn decides.
                Some(OperatorCommand::Suspend(uid) | OperatorCommand::Unsuspend(uid)) => {
                    let last = commands.values().rev().find(|command| match command {
                        OperatorCommand::Suspend(other) | OperatorCommand::Unsuspend(other) => other == uid,
                    });
                    journal_state.suspended_uids.contains(uid)
                        == matches!(last, Some(OperatorCommand::Suspend(_)))
                }
                None => false,
            },
            Effect::SendNotice(notice) => journal_state
                .pending
                .get(&notice.message.0)
                .is_some_and(|held| held.verdict == Some(notice.verdict)),
            _ => true,
        };
        if !is_kept {
            return Err(format!("{effect:?} left the engine before the journal held what it promises"));
        }
    }
    Ok(())
}

/// An engine with a simulated environment.
struct Simulation {
    disk: Disk,
    crash: Crash,
    engine: Engine<Disk>,
    now: Time,
    rng: fastrand::Rng,
    in_flight: BTreeMap<MessageId, EndpointId>,
    /// Messages whose notices were sent and are not acknowledged.
    notices: BTreeSet<MessageId>,
    /// Operators' commands of this turn.
    commands: BTreeMap<Ticket, OperatorCommand>,
    /// The number that was used last for a message or a ticket.
    last_number: u64,
}

impl Simulation {
    fn new(seed: u64, crash: Crash) -> Self {
        let disk = Disk::new(DISK, crash, seed);
        let engine = engine(&disk, crash, PROCESS_START);
        let rng = fastrand::Rng::with_seed(seed);
        Simulation {
            disk,
            crash,
            engine,
            now: PROCESS_START,
            rng,
            in_flight: BTreeMap::new(),
            notices: BTreeSet::new(),
            commands: BTreeMap::new(),
            last_number: 0,
        }
    }

    /// Hands a random input to the engine.
    fn handle_random_input(&mut self) {
        self.now = self.now + Duration::from_millis(self.rng.u64(0..60));
        let input = match self.rng.u8(..11) {
            10 => {
                let uid = format!("s-{}", self.rng.u16(..8));
                let command = if self.rng.bool() {
                    OperatorCommand::Suspend(uid)
                } else {
                    OperatorCommand::Unsuspend(uid)
                };
                self.last_number += 1;
                self.commands.insert(Ticket(self.last_number), command.clone());
                Input::Command(Ticket(self.last_number), command)
            }
            0..4 => {
                self.last_number += 1;
                let class = if self.rng.bool() { "notice" } else { "salary" };
                Input::Enqueue(
                    Ticket(self.last_number),
                    enqueue(self.last_number, class, self.rng.u16(..4).into()),
                )
            }
            4..8 => {
                let Some((message, endpoint)) = self.in_flight.pop_first() else { return };
                let outcome = match self.rng.u8(..8) {
                    0 => Outcome::Reset,
                    1 => Outcome::Rejected(Some(Duration::from_millis(200))),
                    2 => Outcome::ConnectFailed,
                    3 => Outcome::Timeout,
                    _ => Outcome::Ok,
                };
                let complete = outcome == Outcome::Ok;
                let latency = Duration::from_millis(40);
                Input::CallEnded(
                    message,
                    endpoint,
                    CallResult { outcome, latency, is_final: complete, allowance: None },
                )
            }
            8 => Input::NoticesAcknowledged(std::mem::take(&mut self.notices).into_iter().collect()),
            _ => {
                let state = if self.rng.bool() { "DRAINING" } else { "SERVING" };
                let targets = vec![target(self.rng.u16(..8).into(), state)];
                Input::ListUpdate(ListingUpdate { rev: self.engine.list_revision() + 1, all: false, targets })
            }
        };
        self.engine.handle(self.now, input);
    }

    /// Resumes the engine in another process, with the same messages, calls and metrics. Only notices are sent once more.
    fn resume_in_other_process(&mut self) {
        let before = (self.engine.load(), self.engine.metrics(self.now).endpoints_excluded);
        let journal_state = self.engine.journal().state().clone();
        let (effects, snapshot) = self.engine.freeze(self.now).unwrap();
        assert!(effects.is_empty(), "{effects:?}");
        let journal = journal(&self.disk, self.crash);
        assert_eq!(journal.state().pending, journal_state.pending);
        let (engine, resumed) = Engine::resume(config(self.now), journal, &snapshot.unwrap());
        assert_eq!(resumed, Ok(()));
        self.engine = engine;
        assert_eq!((self.engine.load(), self.engine.metrics(self.now).endpoints_excluded), before);
        // Acknowledgements that are on their way were meant for the process before. All notices are sent again.
        self.notices.clear();
        let in_flight: BTreeMap<MessageId, EndpointId> = self.engine.calls_in_flight().collect();
        assert_eq!(in_flight, self.in_flight);
    }

    fn turn(&mut self) -> Vec<Effect> {
        let effects = self.engine.turn(self.now).unwrap();
        for effect in &effects {
            match effect {
                Effect::StartCall(call) => {
                    let previous = self.in_flight.insert(call.message, call.endpoint);
                    assert_eq!(previous, None, "two calls for one message are in flight");
                }
                Effect::SendNotice(notice) => drop(self.notices.insert(notice.message)),
                // The simulated call ends at once.
                Effect::StopCall(message, StopReason::Cancelled) => {
                    if let Some(endpoint) = self.in_flight.remove(message) {
                        let latency = Duration::ZERO;
                        let outcome = Outcome::Cancelled;
                        let result = CallResult { outcome, latency, is_final: false, allowance: None };
                        self.engine.handle(self.now, Input::CallEnded(*message, endpoint, result));
                    }
                }
                _ => {}
            }
        }
        effects
    }
}

fn state_of(simulation: &Simulation) -> &JournalState {
    simulation.engine.journal().state()
}

/// Runs a simulation and checks every turn: effects are covered by the journal, the counters agree with the messages held, and no
/// call goes to a suspended endpoint. Returns the number of calls and of notices.
fn simulate(seed: u64, crash: Crash) -> (u64, u64) {
    let mut simulation = Simulation::new(seed, crash);
    let mut calls = 0;
    let mut notices = 0;
    for turn in 0..600 {
        simulation.commands.clear();
        for _ in 0..simulation.rng.u8(1..5) {
            simulation.handle_random_input();
        }
        let effects = simulation.turn();
        let counts = simulation.engine.counts();
        let unfinished = counts.unfinished();
        let pending = simulation.engine.metrics(simulation.now).messages_pending;
        assert_eq!(unfinished, pending as u64, "seed {seed}, turn {turn}: {counts:?}");
        for effect in &effects {
            let Effect::StartCall(call) = effect else { continue };
            let uid = format!("s-{}", call.address.port() - 1000);
            assert!(
                !state_of(&simulation).suspended_uids.contains(&uid),
                "seed {seed}, turn {turn}: a call to {uid}"
            );
        }
        calls += effects.iter().filter(|effect| matches!(effect, Effect::StartCall(_))).count() as u64;
        notices += effects.iter().filter(|effect| matches!(effect, Effect::SendNotice(_))).count() as u64;
        let journal_state = state_after_crash(&simulation.disk, crash);
        check_promises(&effects, &simulation.commands, &journal_state)
            .unwrap_or_else(|error| panic!("seed {seed}, turn {turn}: {error}"));
        if turn % 41 == 40 {
            simulation.resume_in_other_process();
        }
        if turn % 97 == 96 {
            // The process dies and is restarted. Messages that must not be sent twice and were in flight are not sent again.
            let in_flight: Vec<MessageId> = simulation.in_flight.keys().copied().collect();
            let salaries: Vec<MessageId> = in_flight
                .into_iter()
                .filter(|message| journal_state.pending[&message.0].message.class == "salary")
                .collect();
            simulation.disk = simulation.disk.after_crash();
            simulation.in_flight.clear();
            simulation.notices.clear();
            simulation.engine = engine(&simulation.disk, crash, simulation.now);
            let effects = simulation.turn();
            for message in salaries {
                assert!(!effects
                    .iter()
                    .any(|effect| matches!(effect, Effect::StartCall(c) if c.message == message)));
            }
        }
    }
    (calls, notices)
}

#[test]
fn no_effect_leaves_before_the_journal_holds_it() {
    for crash in [Crash::Process, Crash::Machine] {
        let mut calls = 0;
        let mut notices = 0;
        for seed in 0..3 {
            let (more_calls, more_notices) = simulate(seed, crash);
            calls += more_calls;
            notices += more_notices;
        }
        assert!(calls > 500 && notices > 50, "too few: {calls} calls and {notices} notices");
    }
}

/// The check of the simulation can fail: if the journal does not sync, a crash of the machine loses what a turn promised.
#[test]
fn the_check_detects_a_broken_promise() {
    let disk = Disk::new(DISK, Crash::Machine, 1);
    let mut engine = engine(&disk, Crash::Process, PROCESS_START);
    engine.handle(PROCESS_START, Input::Enqueue(Ticket(1), enqueue(1, "salary", 1)));
    let effects = engine.turn(PROCESS_START).unwrap();
    let is_promise_lost = (0..50).any(|_| {
        // Nothing was synced, so after the crash the folder may hold any part of the data, or be damaged.
        match Journal::replay(disk.after_crash(), DISK, options(Crash::Process), 7) {
            Ok(journal) => check_promises(&effects, &BTreeMap::new(), journal.state()).is_err(),
            Err(_) => true,
        }
    });
    assert!(is_promise_lost);
}

#[test]
fn without_a_writable_journal_messages_are_rejected_and_no_call_is_made() {
    let disk = Disk::new(DISK, Crash::Process, 1);
    let mut engine = engine(&disk, Crash::Process, PROCESS_START);
    engine.handle(PROCESS_START, Input::Enqueue(Ticket(1), enqueue(1, "salary", 1)));
    for operation in 1..200 {
        disk.inject_fault(disk.operations() + operation, Fault::Error);
    }
    // The first message was accepted while the journal was writable, but the start of its attempt cannot be recorded.
    engine.handle(PROCESS_START, Input::Enqueue(Ticket(2), enqueue(2, "salary", 1)));
    let effects = engine.turn(PROCESS_START).unwrap();
    let answers: Vec<&Effect> =
        effects.iter().filter(|effect| matches!(effect, Effect::Answer(..))).collect();
    assert!(matches!(answers[0], Effect::Answer(Ticket(1), Answer::Taken(_))), "{answers:?}");
    assert!(matches!(answers[1], Effect::Answer(Ticket(2), Answer::Busy(Some(_)))), "{answers:?}");
    assert!(!effects.iter().any(|effect| matches!(effect, Effect::StartCall(_))), "{effects:?}");
    assert!(engine.next_wake().is_some());
    disk.clear_faults();
    // Once the journal is writable again the attempt is made.
    let mut now = PROCESS_START;
    for _ in 0..50 {
        now = now + Duration::from_millis(100);
        if engine.turn(now).unwrap().iter().any(|effect| matches!(effect, Effect::StartCall(_))) {
            return;
        }
    }
    panic!("the message was never sent");
}

/// A client whose message was returned enqueues it again. A restarted process has to know of it, or would send the message as
/// well. A failure can be reported without a record in the journal, as clients do not enqueue failed messages again.
#[test]
fn without_a_writable_journal_a_message_fails_instead_of_being_returned() {
    for is_writable in [true, false] {
        let disk = Disk::new(DISK, Crash::Process, 1);
        let mut engine = engine(&disk, Crash::Process, PROCESS_START);
        let targets = (0..8).map(|number| target(number, "DRAINING")).collect();
        engine.handle(PROCESS_START, Input::ListUpdate(ListingUpdate { rev: 2, all: true, targets }));
        engine.handle(PROCESS_START, Input::Enqueue(Ticket(1), enqueue(1, "salary", 1)));
        engine.turn(PROCESS_START).unwrap();
        for operation in 1..500 * u64::from(!is_writable) {
            disk.inject_fault(disk.operations() + operation, Fault::Error);
        }
        let late = PROCESS_START + Duration::from_secs(21);
        let verdict = |effect: &Effect| match effect {
            Effect::SendNotice(notice) => Some(notice.verdict),
            _ => None,
        };
        let verdicts: Vec<Verdict> = engine.turn(late).unwrap().iter().filter_map(verdict).collect();
        assert_eq!(verdicts.len(), 1);
        assert_eq!(verdicts[0] == Verdict::Failed, !is_writable, "{verdicts:?}");
    }
}

#[test]
fn a_failed_sync_is_final_and_releases_no_effects() {
    let disk = Disk::new(DISK, Crash::Machine, 1);
    let mut engine = engine(&disk, Crash::Machine, PROCESS_START);
    engine.turn(PROCESS_START).unwrap();
    engine.handle(PROCESS_START, Input::Enqueue(Ticket(1), enqueue(1, "salary", 1)));
    disk.refuse_changes(true);
    assert!(engine.turn(PROCESS_START).is_err());
}

#[test]
fn a_client_that_enqueues_a_message_again_is_told_that_it_is_held() {
    let disk = Disk::new(DISK, Crash::Process, 1);
    let mut engine = engine(&disk, Crash::Process, PROCESS_START);
    for ticket in 1..=2 {
        engine.handle(PROCESS_START, Input::Enqueue(Ticket(ticket), enqueue(1, "salary", 1)));
    }
    let other = Enqueue { body: Bytes::from_static(b"other"), ..enqueue(1, "salary", 1) };
    engine.handle(PROCESS_START, Input::Enqueue(Ticket(3), other));
    let effects = engine.turn(PROCESS_START).unwrap();
    let answer = |number| {
        let answer_to = |effect: &Effect| match effect {
            Effect::Answer(Ticket(ticket), answer) if *ticket == number => Some(answer.clone()),
            _ => None,
        };
        effects.iter().find_map(answer_to)
    };
    assert!(matches!(answer(1), Some(Answer::Taken(_))));
    assert_eq!(answer(2), Some(Answer::Held));
    assert!(matches!(answer(3), Some(Answer::Error(_))));
    // The client did not receive the first answer, but the second one, so the message stays.
    engine.handle(PROCESS_START, Input::AnswerUnacknowledged(MessageId(1)));
    assert_eq!(engine.load().0, 1);
}

#[test]
fn the_process_exits_early_if_nothing_is_held_and_in_time_otherwise() {
    let disk = Disk::new(DISK, Crash::Process, 1);
    let mut engine = engine(&disk, Crash::Process, PROCESS_START);
    engine.handle(PROCESS_START, Input::Terminate);
    assert!(engine.turn(PROCESS_START).unwrap().contains(&Effect::AnnounceShutdown));
    assert!(!engine.may_exit(PROCESS_START + Duration::from_millis(599)));
    assert!(engine.may_exit(PROCESS_START + Duration::from_millis(600)));
    engine.handle(PROCESS_START, Input::Enqueue(Ticket(1), enqueue(1, "salary", 1)));
    engine.turn(PROCESS_START).unwrap();
    assert!(!engine.may_exit(PROCESS_START + Duration::from_millis(3199)));
    assert!(engine.may_exit(PROCESS_START + Duration::from_millis(3200)));
    assert!(engine.next_wake().is_some_and(|at| at <= PROCESS_START + Duration::from_millis(3200)));
    let journal_state = state_after_crash(&disk, Crash::Process);
    assert!(journal_state
        .pending
        .values()
        .all(|held| held.verdict != Some(Verdict::Returned { after_ms: 0 })));
}

/// Neither the outcome of the first attempt nor the start of the second one could be recorded, so the second one was not made.
/// Whatever is recorded of it later, the journal must show at any moment that the first attempt may have run.
#[test]
fn an_attempt_that_is_not_made_does_not_change_the_outcome_of_the_previous_one() {
    let disk = Disk::new(DISK, Crash::Process, 1);
    let mut engine = engine(&disk, Crash::Process, PROCESS_START);
    engine.handle(PROCESS_START, Input::Enqueue(Ticket(1), enqueue(1, "notice", 1)));
    let started_call = |effects: &[Effect]| {
        effects.iter().find_map(|effect| match effect {
            Effect::StartCall(call) => Some((call.message, call.endpoint)),
            _ => None,
        })
    };
    let (message, endpoint) = started_call(&engine.turn(PROCESS_START).unwrap()).unwrap();
    for operation in 1..2000 {
        disk.inject_fault(disk.operations() + operation, Fault::Error);
    }
    let latency = Duration::from_millis(40);
    let reset = CallResult { outcome: Outcome::Reset, latency, is_final: false, allowance: None };
    engine.handle(PROCESS_START, Input::CallEnded(message, endpoint, reset));
    // Another process resumes the engine; its journal lacks the outcome. The retry is due, but its start cannot be recorded.
    let snapshot = engine.freeze(PROCESS_START).unwrap().1.unwrap();
    disk.clear_faults();
    let (mut engine, resumed) =
        Engine::resume(config(PROCESS_START), journal(&disk, Crash::Process), &snapshot);
    assert_eq!(resumed, Ok(()));
    for operation in 1..2000 {
        disk.inject_fault(disk.operations() + operation, Fault::Error);
    }
    let mut now = PROCESS_START;
    while engine.next_wake() != Some(Time::ZERO) {
        now = now + Duration::from_millis(5);
        assert!(
            started_call(&engine.turn(now).unwrap()).is_none()
                && now < PROCESS_START + Duration::from_secs(5)
        );
    }
    disk.clear_faults();
    disk.capture_crashes(1);
    engine.turn(now).unwrap();
    let captured = disk.take_captured();
    assert!(!captured.is_empty());
    for disk in captured {
        let held = journal(&disk, Crash::Process).state().pending[&message.0].clone();
        assert!(held.may_have_run.or(held.in_flight).is_some(), "{held:?}");
    }
}
