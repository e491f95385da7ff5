//! Nothing leaves the engine before the journal has what it promises: seen by crashing after every turn.

mod common;

use bytes::Bytes;
use cloverstile::{EndpointId, MessageId, Outcome, Time};
use common::*;
use gullcart_engine::{
    Answer, CallResult, Effect, Engine, Enqueue, Input, OperatorCommand, StopReason, Ticket, EPOCH,
};
use gullcart_journal::simulated::{Crash, Disk, Fault};
use gullcart_journal::{Image, Journal};
use gullcart_message::{Update, Verdict};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

fn after_a_crash(disk: &Disk, crash: Crash) -> Image {
    journal(&disk.crashed(), crash).image().clone()
}

/// Everything that effects promise stands in the journal that a crash would leave.
fn kept(effects: &[Effect], orders: &BTreeMap<Ticket, OperatorCommand>, image: &Image) -> Result<(), String> {
    for effect in effects {
        let good = match effect {
            Effect::Answer(_, Answer::Taken(message)) => image.held.contains_key(&message.0),
            Effect::StartCall(call) => image.held.get(&call.message.0).is_some_and(|held| held.out.is_some()),
            Effect::CommandResult(ticket, Ok(())) => match orders.get(ticket) {
                // The last word of a turn on an endpoint counts.
                Some(OperatorCommand::Suspend(uid) | OperatorCommand::Restore(uid)) => {
                    let last = orders.values().rev().find(|order| match order {
                        OperatorCommand::Suspend(other) | OperatorCommand::Restore(other) => other == uid,
                    });
                    image.suspended.contains(uid) == matches!(last, Some(OperatorCommand::Suspend(_)))
                }
                None => false,
            },
            Effect::SendNotice(notice) => {
                image.held.get(&notice.message.0).is_some_and(|held| held.verdict == Some(notice.verdict))
            }
            _ => true,
        };
        if !good {
            return Err(format!("{effect:?} left before the journal had it"));
        }
    }
    Ok(())
}

/// A courier at work, with what its world knows.
struct World {
    disk: Disk,
    crash: Crash,
    engine: Engine<Disk>,
    now: Time,
    rng: fastrand::Rng,
    out: BTreeMap<MessageId, EndpointId>,
    told: BTreeSet<MessageId>,
    /// Orders of this turn.
    orders: BTreeMap<Ticket, OperatorCommand>,
    next: u64,
}

impl World {
    fn new(seed: u64, crash: Crash) -> Self {
        let disk = Disk::new(DISK, crash, seed);
        let engine = engine(&disk, crash, EPOCH);
        let rng = fastrand::Rng::with_seed(seed);
        World {
            disk,
            crash,
            engine,
            now: EPOCH,
            rng,
            out: BTreeMap::new(),
            told: BTreeSet::new(),
            orders: BTreeMap::new(),
            next: 0,
        }
    }

    fn something_happens(&mut self) {
        self.now = self.now + Duration::from_millis(self.rng.u64(0..60));
        let input = match self.rng.u8(..11) {
            10 => {
                let uid = format!("s-{}", self.rng.u16(..8));
                let order = if self.rng.bool() {
                    OperatorCommand::Suspend(uid)
                } else {
                    OperatorCommand::Restore(uid)
                };
                self.next += 1;
                self.orders.insert(Ticket(self.next), order.clone());
                Input::Command(Ticket(self.next), order)
            }
            0..4 => {
                self.next += 1;
                let class = if self.rng.bool() { "notice" } else { "salary" };
                Input::Enqueue(Ticket(self.next), enqueue(self.next, class, self.rng.u16(..4).into()))
            }
            4..8 => {
                let Some((message, endpoint)) = self.out.pop_first() else { return };
                let outcome = match self.rng.u8(..8) {
                    0 => Outcome::Reset,
                    1 => Outcome::Full(Some(Duration::from_millis(200))),
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
            8 => Input::NoticesAcknowledged(std::mem::take(&mut self.told).into_iter().collect()),
            _ => {
                let state = if self.rng.bool() { "DRAINING" } else { "SERVING" };
                let targets = vec![target(self.rng.u16(..8).into(), state)];
                Input::ListUpdate(Update { rev: self.engine.list_revision() + 1, all: false, targets })
            }
        };
        self.engine.handle(self.now, input);
    }

    /// The courier goes on in another process: the same messages, calls and figures' gauges, and nothing is told anew but
    /// ends that the platform has not heard.
    fn moves(&mut self) {
        let before = (self.engine.load(), self.engine.metrics(self.now).endpoints_excluded);
        let image = self.engine.journal().image().clone();
        let (effects, block) = self.engine.freeze(self.now).unwrap();
        assert!(effects.is_empty(), "{effects:?}");
        let journal = journal(&self.disk, self.crash);
        assert_eq!(journal.image().held, image.held);
        let (engine, resumed) = Engine::resume(config(self.now), journal, &block.unwrap());
        assert_eq!(resumed, Ok(()));
        self.engine = engine;
        assert_eq!((self.engine.load(), self.engine.metrics(self.now).endpoints_excluded), before);
        // What the platform has answered meanwhile was for the process before; it is told all of it once more.
        self.told.clear();
        let out: BTreeMap<MessageId, EndpointId> = self.engine.calls_in_flight().collect();
        assert_eq!(out, self.out);
    }

    fn turn(&mut self) -> Vec<Effect> {
        let effects = self.engine.turn(self.now).unwrap();
        for effect in &effects {
            match effect {
                Effect::StartCall(call) => {
                    let before = self.out.insert(call.message, call.endpoint);
                    assert_eq!(before, None, "two calls of one message are out");
                }
                Effect::SendNotice(notice) => drop(self.told.insert(notice.message)),
                // None has left yet for good.
                Effect::StopCall(message, StopReason::Cancelled) => {
                    if let Some(endpoint) = self.out.remove(message) {
                        let latency = Duration::ZERO;
                        let outcome = Outcome::Cancelled;
                        let ended = CallResult { outcome, latency, is_final: false, allowance: None };
                        self.engine.handle(self.now, Input::CallEnded(*message, endpoint, ended));
                    }
                }
                _ => {}
            }
        }
        effects
    }
}

fn image_of(world: &World) -> &Image {
    world.engine.journal().image()
}

/// Each message has one end in the figures, and what has none is in flight; nothing goes to an endpoint that is out by hand.
fn a_day(seed: u64, crash: Crash) -> (u64, u64) {
    let mut world = World::new(seed, crash);
    let (mut begun, mut told) = (0, 0);
    for turn in 0..600 {
        world.orders.clear();
        for _ in 0..world.rng.u8(1..5) {
            world.something_happens();
        }
        let effects = world.turn();
        let counts = world.engine.counts();
        let (left, now) = (counts.unfinished(), world.engine.metrics(world.now).in_flight);
        assert_eq!(left, now as u64, "seed {seed}, turn {turn}: {counts:?}");
        for effect in &effects {
            let Effect::StartCall(call) = effect else { continue };
            let uid = format!("s-{}", call.address.port() - 1000);
            assert!(!image_of(&world).suspended.contains(&uid), "seed {seed}, turn {turn}: a call to {uid}");
        }
        begun += effects.iter().filter(|effect| matches!(effect, Effect::StartCall(_))).count() as u64;
        told += effects.iter().filter(|effect| matches!(effect, Effect::SendNotice(_))).count() as u64;
        let image = after_a_crash(&world.disk, crash);
        kept(&effects, &world.orders, &image)
            .unwrap_or_else(|error| panic!("seed {seed}, turn {turn}: {error}"));
        if turn % 41 == 40 {
            world.moves();
        }
        if turn % 97 == 96 {
            // The process dies, and the next one takes up what it held: nothing unsafe that was out goes again.
            let out: Vec<MessageId> = world.out.keys().copied().collect();
            let salaries: Vec<MessageId> =
                out.into_iter().filter(|message| image.held[&message.0].taken.class == "salary").collect();
            world.disk = world.disk.crashed();
            world.out.clear();
            world.told.clear();
            world.engine = engine(&world.disk, crash, world.now);
            let effects = world.turn();
            for message in salaries {
                assert!(!effects
                    .iter()
                    .any(|effect| matches!(effect, Effect::StartCall(c) if c.message == message)));
            }
        }
    }
    (begun, told)
}

#[test]
fn nothing_leaves_before_the_journal_has_it() {
    for crash in [Crash::Process, Crash::Machine] {
        let (mut begun, mut told) = (0, 0);
        for seed in 0..3 {
            let (more_begun, more_told) = a_day(seed, crash);
            (begun, told) = (begun + more_begun, told + more_told);
        }
        assert!(begun > 500 && told > 50, "{begun} calls and {told} notices prove little");
    }
}

/// The check above can fail: without its commit a turn's promises are lost with the machine.
#[test]
fn the_check_sees_a_promise_that_is_not_kept() {
    let disk = Disk::new(DISK, Crash::Machine, 1);
    let mut engine = engine(&disk, Crash::Process, EPOCH);
    engine.handle(EPOCH, Input::Enqueue(Ticket(1), enqueue(1, "salary", 1)));
    let effects = engine.turn(EPOCH).unwrap();
    let lost = (0..50).any(|_| {
        // Nothing was synced, so that the folder may come back with anything, or with damage.
        match Journal::replay(disk.crashed(), DISK, options(Crash::Process), 7) {
            Ok(journal) => kept(&effects, &BTreeMap::new(), journal.image()).is_err(),
            Err(_) => true,
        }
    });
    assert!(lost);
}

#[test]
fn what_cannot_be_written_is_refused_and_no_call_is_made() {
    let disk = Disk::new(DISK, Crash::Process, 1);
    let mut engine = engine(&disk, Crash::Process, EPOCH);
    engine.handle(EPOCH, Input::Enqueue(Ticket(1), enqueue(1, "salary", 1)));
    for operation in 1..200 {
        disk.fail(disk.operations() + operation, Fault::Error);
    }
    // It was taken on while that could be written; its attempt cannot be.
    engine.handle(EPOCH, Input::Enqueue(Ticket(2), enqueue(2, "salary", 1)));
    let effects = engine.turn(EPOCH).unwrap();
    let answers: Vec<&Effect> =
        effects.iter().filter(|effect| matches!(effect, Effect::Answer(..))).collect();
    assert!(matches!(answers[0], Effect::Answer(Ticket(1), Answer::Taken(_))), "{answers:?}");
    assert!(matches!(answers[1], Effect::Answer(Ticket(2), Answer::Busy(Some(_)))), "{answers:?}");
    assert!(!effects.iter().any(|effect| matches!(effect, Effect::StartCall(_))), "{effects:?}");
    assert!(engine.next_wake().is_some());
    disk.mend();
    // Once it can be written the attempt is made.
    let mut now = EPOCH;
    for _ in 0..50 {
        now = now + Duration::from_millis(100);
        if engine.turn(now).unwrap().iter().any(|effect| matches!(effect, Effect::StartCall(_))) {
            return;
        }
    }
    panic!("the message was never sent");
}

/// Who is told that a message came back hands it in again: the next process has to know, or sends it beside that. A failure
/// is told all the same, as nobody comes again after one.
#[test]
fn what_cannot_be_written_is_not_handed_back() {
    for is_writable in [true, false] {
        let disk = Disk::new(DISK, Crash::Process, 1);
        let mut engine = engine(&disk, Crash::Process, EPOCH);
        let targets = (0..8).map(|number| target(number, "DRAINING")).collect();
        engine.handle(EPOCH, Input::ListUpdate(Update { rev: 2, all: true, targets }));
        engine.handle(EPOCH, Input::Enqueue(Ticket(1), enqueue(1, "salary", 1)));
        engine.turn(EPOCH).unwrap();
        for operation in 1..500 * u64::from(!is_writable) {
            disk.fail(disk.operations() + operation, Fault::Error);
        }
        let late = EPOCH + Duration::from_secs(21);
        let told = |effect: &Effect| match effect {
            Effect::SendNotice(notice) => Some(notice.verdict),
            _ => None,
        };
        let verdicts: Vec<Verdict> = engine.turn(late).unwrap().iter().filter_map(told).collect();
        assert_eq!(verdicts.len(), 1);
        assert_eq!(verdicts[0] == Verdict::Failed, !is_writable, "{verdicts:?}");
    }
}

#[test]
fn a_failed_sync_is_final_and_gives_nothing_out() {
    let disk = Disk::new(DISK, Crash::Machine, 1);
    let mut engine = engine(&disk, Crash::Machine, EPOCH);
    engine.turn(EPOCH).unwrap();
    engine.handle(EPOCH, Input::Enqueue(Ticket(1), enqueue(1, "salary", 1)));
    disk.refuse(true);
    assert!(engine.turn(EPOCH).is_err());
}

#[test]
fn a_client_that_hands_in_the_same_again_hears_that_it_is_held() {
    let disk = Disk::new(DISK, Crash::Process, 1);
    let mut engine = engine(&disk, Crash::Process, EPOCH);
    for ticket in 1..=2 {
        engine.handle(EPOCH, Input::Enqueue(Ticket(ticket), enqueue(1, "salary", 1)));
    }
    let other = Enqueue { body: Bytes::from_static(b"other"), ..enqueue(1, "salary", 1) };
    engine.handle(EPOCH, Input::Enqueue(Ticket(3), other));
    let effects = engine.turn(EPOCH).unwrap();
    let answer = |number| {
        let of = |effect: &Effect| match effect {
            Effect::Answer(Ticket(ticket), answer) if *ticket == number => Some(answer.clone()),
            _ => None,
        };
        effects.iter().find_map(of)
    };
    assert!(matches!(answer(1), Some(Answer::Taken(_))));
    assert_eq!(answer(2), Some(Answer::Held));
    assert!(matches!(answer(3), Some(Answer::Error(_))));
    // The first was not heard, but the second was: it stays.
    engine.handle(EPOCH, Input::AnswerUnacknowledged(MessageId(1)));
    assert_eq!(engine.load().0, 1);
}

#[test]
fn it_ends_at_once_when_nothing_is_held_and_in_time_when_something_is() {
    let disk = Disk::new(DISK, Crash::Process, 1);
    let mut engine = engine(&disk, Crash::Process, EPOCH);
    engine.handle(EPOCH, Input::Terminate);
    assert!(engine.turn(EPOCH).unwrap().contains(&Effect::AnnounceShutdown));
    assert!(!engine.may_exit(EPOCH + Duration::from_millis(599)));
    assert!(engine.may_exit(EPOCH + Duration::from_millis(600)));
    engine.handle(EPOCH, Input::Enqueue(Ticket(1), enqueue(1, "salary", 1)));
    engine.turn(EPOCH).unwrap();
    assert!(!engine.may_exit(EPOCH + Duration::from_millis(3199)));
    assert!(engine.may_exit(EPOCH + Duration::from_millis(3200)));
    assert!(engine.next_wake().is_some_and(|at| at <= EPOCH + Duration::from_millis(3200)));
    let verdicts = after_a_crash(&disk, Crash::Process);
    assert!(verdicts.held.values().all(|held| held.verdict != Some(Verdict::Returned { after_ms: 0 })));
}

/// Its outcome could not be written, nor could the next attempt, which was not made: whatever is written of that, the first one
/// may have run, at every moment at which the process may die.
#[test]
fn an_attempt_that_is_not_made_leaves_the_one_before_as_it_was() {
    let disk = Disk::new(DISK, Crash::Process, 1);
    let mut engine = engine(&disk, Crash::Process, EPOCH);
    engine.handle(EPOCH, Input::Enqueue(Ticket(1), enqueue(1, "notice", 1)));
    let begun = |effects: &[Effect]| {
        effects.iter().find_map(|effect| match effect {
            Effect::StartCall(call) => Some((call.message, call.endpoint)),
            _ => None,
        })
    };
    let (message, endpoint) = begun(&engine.turn(EPOCH).unwrap()).unwrap();
    for operation in 1..2000 {
        disk.fail(disk.operations() + operation, Fault::Error);
    }
    let latency = Duration::from_millis(40);
    let reset = CallResult { outcome: Outcome::Reset, latency, is_final: false, allowance: None };
    engine.handle(EPOCH, Input::CallEnded(message, endpoint, reset));
    // The courier goes on in another process, whose journal has no outcome. Its repeat is due, and cannot be written.
    let block = engine.freeze(EPOCH).unwrap().1.unwrap();
    disk.mend();
    let (mut engine, resumed) = Engine::resume(config(EPOCH), journal(&disk, Crash::Process), &block);
    assert_eq!(resumed, Ok(()));
    for operation in 1..2000 {
        disk.fail(disk.operations() + operation, Fault::Error);
    }
    let mut now = EPOCH;
    while engine.next_wake() != Some(Time::ZERO) {
        now = now + Duration::from_millis(5);
        assert!(begun(&engine.turn(now).unwrap()).is_none() && now < EPOCH + Duration::from_secs(5));
    }
    disk.mend();
    disk.capture(1);
    engine.turn(now).unwrap();
    let captured = disk.captured();
    assert!(!captured.is_empty());
    for disk in captured {
        let held = journal(&disk, Crash::Process).image().held[&message.0].clone();
        assert!(held.maybe_ran.or(held.out).is_some(), "{held:?}");
    }
}
