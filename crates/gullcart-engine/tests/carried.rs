//! What goes on in another process, and what is done where it cannot.

mod common;

use cloverstile::{Outcome, Time};
use common::*;
use gullcart_engine::{Call, CallResult, Effect, Engine, EngineConfig, Input, ResumeError, Ticket, EPOCH};
use gullcart_journal::simulated::{Crash, Disk};
use gullcart_journal::{Journal, Options};
use gullcart_message::Verdict;
use std::time::Duration;

fn calls(effects: &[Effect]) -> Vec<Call> {
    let begun = |effect: &Effect| match effect {
        Effect::StartCall(call) => Some(call.clone()),
        _ => None,
    };
    effects.iter().filter_map(begun).collect()
}

fn ended(outcome: Outcome) -> CallResult {
    CallResult {
        outcome,
        latency: Duration::from_millis(40),
        is_final: outcome == Outcome::Ok,
        allowance: None,
    }
}

/// A courier with a salary out to destination 1, stopped for a process after it.
fn stopped(disk: &Disk) -> (Call, Vec<u8>) {
    let mut engine = engine(disk, Crash::Process, EPOCH);
    engine.handle(EPOCH, Input::Enqueue(Ticket(1), enqueue(1, "salary", 1)));
    let call = calls(&engine.turn(EPOCH).unwrap()).remove(0);
    let (effects, block) = engine.freeze(EPOCH).unwrap();
    assert!(effects.is_empty());
    (call, block.unwrap())
}

#[test]
fn a_call_that_is_out_ends_in_the_process_after() {
    let disk = Disk::new(DISK, Crash::Process, 1);
    let (call, block) = stopped(&disk);
    let (mut engine, resumed) = Engine::resume(config(EPOCH), journal(&disk, Crash::Process), &block);
    assert_eq!(resumed, Ok(()));
    assert_eq!(engine.in_flight_call(call.message, call.try_for), Some(call.clone()));
    assert!(calls(&engine.turn(EPOCH).unwrap()).is_empty());
    engine.handle(EPOCH, Input::CallEnded(call.message, call.endpoint, ended(Outcome::Ok)));
    engine.turn(EPOCH).unwrap();
    assert_eq!(engine.load(), (0, 0));
    assert_eq!(engine.counts().total().served, 1);
    assert_eq!(engine.counts().unfinished(), 0);
}

#[test]
fn a_told_wait_holds_in_the_process_after() {
    let disk = Disk::new(DISK, Crash::Process, 1);
    let mut before = engine(&disk, Crash::Process, EPOCH);
    before.handle(EPOCH, Input::Enqueue(Ticket(1), enqueue(1, "salary", 1)));
    let call = calls(&before.turn(EPOCH).unwrap()).remove(0);
    let wait = Outcome::Full(Some(Duration::from_secs(2)));
    before.handle(EPOCH, Input::CallEnded(call.message, call.endpoint, ended(wait)));
    let block = before.freeze(EPOCH).unwrap().1.unwrap();
    let (mut engine, resumed) = Engine::resume(config(EPOCH), journal(&disk, Crash::Process), &block);
    assert_eq!(resumed, Ok(()));
    let mut first = None;
    for step in 0..100 {
        let now = EPOCH + Duration::from_millis(50 * step);
        if !calls(&engine.turn(now).unwrap()).is_empty() {
            first = Some(now);
            break;
        }
    }
    assert!(first.is_some_and(|at| at >= EPOCH + Duration::from_secs(2)), "{first:?}");
}

/// Without the books the journal is enough: as after a crash, what was out may have run.
fn from_the_journal(settings: EngineConfig, damage: impl Fn(&mut Vec<u8>), why: ResumeError) {
    let disk = Disk::new(DISK, Crash::Process, 1);
    let (call, mut block) = stopped(&disk);
    damage(&mut block);
    let (mut engine, resumed) = Engine::resume(settings, journal(&disk, Crash::Process), &block);
    assert_eq!(resumed, Err(why));
    assert_eq!(engine.in_flight_call(call.message, call.try_for), None);
    let effects = engine.turn(EPOCH).unwrap();
    let failed =
        |effect: &Effect| matches!(effect, Effect::SendNotice(notice) if notice.verdict == Verdict::Failed);
    assert!(effects.iter().any(failed), "{effects:?}");
}

#[test]
fn books_that_cannot_be_read_are_left_and_the_journal_is_enough() {
    from_the_journal(config(EPOCH), |block| block.truncate(block.len() - 1), ResumeError::Corrupt);
    from_the_journal(config(EPOCH), |block| block.push(0), ResumeError::Corrupt);
    from_the_journal(config(EPOCH), |block| block[0] = 99, ResumeError::UnsupportedFormat(99));
    let other = EngineConfig { settings_checksum: 2, ..config(EPOCH) };
    from_the_journal(other, |_| {}, ResumeError::SettingsMismatch);
}

/// What the journal holds and the books do not was taken by somebody else meanwhile.
#[test]
fn books_that_do_not_fit_the_journal_are_left() {
    let disk = Disk::new(DISK, Crash::Process, 1);
    let (_, block) = stopped(&disk);
    let later = EPOCH + Duration::from_millis(5);
    let mut between = engine(&disk, Crash::Process, later);
    between.handle(later, Input::Enqueue(Ticket(2), enqueue(2, "salary", 2)));
    between.turn(later).unwrap();
    drop(between);
    let (_, resumed) = Engine::resume(config(Time(later.0)), journal(&disk, Crash::Process), &block);
    assert_eq!(resumed, Err(ResumeError::JournalMismatch));
}

/// The books grow with what is held, and by little for each message: the bodies stay in the journal.
#[test]
fn the_books_hold_little_for_each_message() {
    let size = |messages: u64| {
        let disk = Disk::new(64 << 20, Crash::Process, 1);
        let mut settings = config(EPOCH);
        settings.parsed_settings.settings.most_held = 20_000;
        let journal = Journal::replay(disk.clone(), 64 << 20, Options::default(), 7).unwrap();
        let mut engine = Engine::new(settings, journal);
        for number in 1..=messages {
            engine.handle(EPOCH, Input::Enqueue(Ticket(number), enqueue(number, "salary", 1)));
        }
        engine.freeze(EPOCH).unwrap().1.unwrap().len() as u64
    };
    let (few, many) = (size(100), size(10_000));
    println!("{few} bytes with 100 messages, {many} with 10,000");
    assert!((many - few) / 9_900 < 128, "{few}, {many}");
}
