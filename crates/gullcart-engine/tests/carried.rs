//! Resuming the engine in another process, and starting from the journal if that fails.

mod common;

use cloverstile::{Outcome, Time};
use common::*;
use gullcart_engine::{
    Answer, Call, CallResult, Effect, Engine, EngineConfig, Input, ResumeError, Ticket, PROCESS_START,
};
use gullcart_journal::simulated::{Crash, Disk};
use gullcart_journal::{Journal, Options};
use gullcart_message::Verdict;
use std::time::Duration;

fn started_calls(effects: &[Effect]) -> Vec<Call> {
    let started_call = |effect: &Effect| match effect {
        Effect::StartCall(call) => Some(call.clone()),
        _ => None,
    };
    effects.iter().filter_map(started_call).collect()
}

fn call_result(outcome: Outcome) -> CallResult {
    CallResult {
        outcome,
        latency: Duration::from_millis(40),
        is_final: outcome == Outcome::Ok,
        allowance: None,
    }
}

/// The call and the snapshot of an engine that was frozen with a call to destination 1 in flight.
fn frozen(disk: &Disk) -> (Call, Vec<u8>) {
    let mut engine = engine(disk, Crash::Process, PROCESS_START);
    engine.handle(PROCESS_START, Input::Enqueue(Ticket(1), enqueue(1, "salary", 1)));
    let call = started_calls(&engine.turn(PROCESS_START).unwrap()).remove(0);
    let (effects, snapshot) = engine.freeze(PROCESS_START).unwrap();
    assert!(effects.is_empty());
    (call, snapshot.unwrap())
}

#[test]
fn a_call_in_flight_ends_in_the_next_process() {
    let disk = Disk::new(DISK, Crash::Process, 1);
    let (call, snapshot) = frozen(&disk);
    let (mut engine, resumed) =
        Engine::resume(config(PROCESS_START), journal(&disk, Crash::Process), &snapshot);
    assert_eq!(resumed, Ok(()));
    assert_eq!(engine.in_flight_call(call.message, call.try_for), Some(call.clone()));
    assert!(started_calls(&engine.turn(PROCESS_START).unwrap()).is_empty());
    engine.handle(PROCESS_START, Input::CallEnded(call.message, call.endpoint, call_result(Outcome::Ok)));
    engine.turn(PROCESS_START).unwrap();
    assert_eq!(engine.load(), (0, 0));
    assert_eq!(engine.counts().total().served, 1);
    assert_eq!(engine.counts().unfinished(), 0);
}

#[test]
fn a_retry_after_time_binds_the_next_process() {
    let disk = Disk::new(DISK, Crash::Process, 1);
    let mut before = engine(&disk, Crash::Process, PROCESS_START);
    before.handle(PROCESS_START, Input::Enqueue(Ticket(1), enqueue(1, "salary", 1)));
    let call = started_calls(&before.turn(PROCESS_START).unwrap()).remove(0);
    let retry_after = Outcome::Rejected(Some(Duration::from_secs(2)));
    before.handle(PROCESS_START, Input::CallEnded(call.message, call.endpoint, call_result(retry_after)));
    let snapshot = before.freeze(PROCESS_START).unwrap().1.unwrap();
    let (mut engine, resumed) =
        Engine::resume(config(PROCESS_START), journal(&disk, Crash::Process), &snapshot);
    assert_eq!(resumed, Ok(()));
    let mut first_call_at = None;
    for step in 0..100 {
        let now = PROCESS_START + Duration::from_millis(50 * step);
        if !started_calls(&engine.turn(now).unwrap()).is_empty() {
            first_call_at = Some(now);
            break;
        }
    }
    assert!(
        first_call_at.is_some_and(|at| at >= PROCESS_START + Duration::from_secs(2)),
        "{first_call_at:?}"
    );
}

/// Checks that an engine whose snapshot cannot be used starts from the journal, where a call that was in flight may have run,
/// as after a crash.
fn check_start_from_the_journal(settings: EngineConfig, damage: impl Fn(&mut Vec<u8>), error: ResumeError) {
    let disk = Disk::new(DISK, Crash::Process, 1);
    let (call, mut snapshot) = frozen(&disk);
    damage(&mut snapshot);
    let (mut engine, resumed) = Engine::resume(settings, journal(&disk, Crash::Process), &snapshot);
    assert_eq!(resumed, Err(error));
    assert_eq!(engine.in_flight_call(call.message, call.try_for), None);
    let effects = engine.turn(PROCESS_START).unwrap();
    let failed =
        |effect: &Effect| matches!(effect, Effect::SendNotice(notice) if notice.verdict == Verdict::Failed);
    assert!(effects.iter().any(failed), "{effects:?}");
}

#[test]
fn an_unusable_snapshot_is_ignored_and_the_journal_suffices() {
    check_start_from_the_journal(
        config(PROCESS_START),
        |snapshot| snapshot.truncate(snapshot.len() - 1),
        ResumeError::Corrupt,
    );
    check_start_from_the_journal(config(PROCESS_START), |snapshot| snapshot.push(0), ResumeError::Corrupt);
    check_start_from_the_journal(
        config(PROCESS_START),
        |snapshot| snapshot[0] = 99,
        ResumeError::UnsupportedFormat(99),
    );
    let other_settings = EngineConfig { settings_checksum: 2, ..config(PROCESS_START) };
    check_start_from_the_journal(other_settings, |_| {}, ResumeError::SettingsMismatch);
}

/// Another process accepted a message after the snapshot was taken.
#[test]
fn a_snapshot_that_does_not_match_the_journal_is_ignored() {
    let disk = Disk::new(DISK, Crash::Process, 1);
    let (_, snapshot) = frozen(&disk);
    let later = PROCESS_START + Duration::from_millis(5);
    let mut between = engine(&disk, Crash::Process, later);
    between.handle(later, Input::Enqueue(Ticket(2), enqueue(2, "salary", 2)));
    between.turn(later).unwrap();
    drop(between);
    let (_, resumed) = Engine::resume(config(Time(later.0)), journal(&disk, Crash::Process), &snapshot);
    let mismatch = ResumeError::JournalMismatch { only_in_journal: 1, calls_without_message: 0 };
    assert_eq!(resumed, Err(mismatch));
}

/// The snapshot grows little with each message, as the content stays in the journal.
#[test]
fn the_snapshot_is_small_for_each_message() {
    let size = |messages: u64| {
        let disk = Disk::new(64 << 20, Crash::Process, 1);
        let mut settings = config(PROCESS_START);
        settings.parsed_settings.settings.max_held = 20_000;
        let journal = Journal::replay(disk.clone(), 64 << 20, Options::default(), 7).unwrap();
        let mut engine = Engine::new(settings, journal);
        for number in 1..=messages {
            engine.handle(PROCESS_START, Input::Enqueue(Ticket(number), enqueue(number, "salary", 1)));
        }
        engine.freeze(PROCESS_START).unwrap().1.unwrap().len() as u64
    };
    let (few, many) = (size(100), size(10_000));
    println!("{few} bytes with 100 messages, {many} with 10,000");
    assert!((many - few) / 9_900 < 128, "{few}, {many}");
}

/// Starts a call to destination 1 whose client has left, and lets destination 0 tell the courier to wait for 2 s.
fn engine_with_an_abandoned_call(disk: &Disk) -> (Engine<Disk>, Call) {
    let mut engine = engine(disk, Crash::Process, PROCESS_START);
    engine.handle(PROCESS_START, Input::Enqueue(Ticket(1), enqueue(1, "salary", 0)));
    let refused = started_calls(&engine.turn(PROCESS_START).unwrap()).remove(0);
    engine.handle(PROCESS_START, Input::Enqueue(Ticket(2), enqueue(2, "salary", 1)));
    let abandoned = started_calls(&engine.turn(PROCESS_START).unwrap()).remove(0);
    let retry_after = Outcome::Rejected(Some(Duration::from_secs(2)));
    let refusal = call_result(retry_after);
    engine.handle(PROCESS_START, Input::CallEnded(refused.message, refused.endpoint, refusal));
    engine.handle(PROCESS_START, Input::AnswerUnacknowledged(abandoned.message));
    (engine, abandoned)
}

/// Guards against a snapshot that is refused, with all retry-after times in it, because of a message whose client has left
/// (`docs/incidents/handover-abandoned-message.md`).
#[test]
fn a_snapshot_is_resumed_although_a_client_left_during_its_call() {
    let disk = Disk::new(DISK, Crash::Process, 1);
    let (mut before, abandoned) = engine_with_an_abandoned_call(&disk);
    let snapshot = before.freeze(PROCESS_START).unwrap().1.unwrap();
    let (mut engine, resumed) =
        Engine::resume(config(PROCESS_START), journal(&disk, Crash::Process), &snapshot);
    assert_eq!(resumed, Ok(()));
    let end = Input::CallEnded(abandoned.message, abandoned.endpoint, call_result(Outcome::Cancelled));
    engine.handle(PROCESS_START, end);
    engine.handle(PROCESS_START, Input::NoticesAcknowledged(vec![abandoned.message]));
    let mut first_call_at = None;
    for step in 0..100 {
        let now = PROCESS_START + Duration::from_millis(50 * step);
        if !started_calls(&engine.turn(now).unwrap()).is_empty() {
            first_call_at.get_or_insert(now);
        }
    }
    let retry_at = PROCESS_START + Duration::from_secs(2);
    assert!(first_call_at.is_some_and(|at| at >= retry_at), "{first_call_at:?}");
    assert_eq!(engine.journal().state().pending.len(), 1, "the abandoned message is still held");
}

/// Guards against the same fault where a notice is acknowledged before the call has been closed, as a hung one is at its deadline.
#[test]
fn a_snapshot_is_resumed_although_a_notice_was_acknowledged_before_its_call_ended() {
    let disk = Disk::new(DISK, Crash::Process, 1);
    let mut before = engine(&disk, Crash::Process, PROCESS_START);
    let message = enqueue(1, "salary", 1);
    // The notice comes a part of the settings' `AnswerSlack` after the deadline.
    let deadline = PROCESS_START + message.time_left + Duration::from_millis(20);
    before.handle(PROCESS_START, Input::Enqueue(Ticket(1), message));
    let call = started_calls(&before.turn(PROCESS_START).unwrap()).remove(0);
    let effects = before.turn(deadline).unwrap();
    assert!(effects.iter().any(|effect| matches!(effect, Effect::SendNotice(_))), "{effects:?}");
    before.handle(deadline, Input::NoticesAcknowledged(vec![call.message]));
    let snapshot = before.freeze(deadline).unwrap().1.unwrap();
    let (mut engine, resumed) = Engine::resume(config(deadline), journal(&disk, Crash::Process), &snapshot);
    assert_eq!(resumed, Ok(()));
    engine.handle(deadline, Input::NoticesAcknowledged(vec![call.message]));
    engine.handle(deadline, Input::CallEnded(call.message, call.endpoint, call_result(Outcome::Cancelled)));
    engine.turn(deadline).unwrap();
    assert_eq!(engine.load(), (0, 0));
}

/// Guards against a message that is held until its call has ended being sent again by a process that replays the journal before.
#[test]
fn a_message_whose_client_left_is_not_sent_again_after_a_crash() {
    for class in ["salary", "notice"] {
        let disk = Disk::new(DISK, Crash::Process, 1);
        let mut before = engine(&disk, Crash::Process, PROCESS_START);
        before.handle(PROCESS_START, Input::Enqueue(Ticket(1), enqueue(1, class, 1)));
        let call = started_calls(&before.turn(PROCESS_START).unwrap()).remove(0);
        before.handle(PROCESS_START, Input::AnswerUnacknowledged(call.message));
        before.turn(PROCESS_START).unwrap();
        drop(before);
        let mut engine = engine(&disk.after_crash(), Crash::Process, PROCESS_START);
        for step in 0..100 {
            let now = PROCESS_START + Duration::from_millis(50 * step);
            assert_eq!(started_calls(&engine.turn(now).unwrap()), [], "{class}");
        }
    }
}

/// Guards against a second call for a message whose client has left and comes back while its first call is in flight.
#[test]
fn a_client_that_comes_back_during_the_call_learns_how_it_ended() {
    for (outcome, has_notice) in [(Outcome::Ok, false), (Outcome::Cancelled, true)] {
        let disk = Disk::new(DISK, Crash::Process, 1);
        let (mut engine, abandoned) = engine_with_an_abandoned_call(&disk);
        engine.turn(PROCESS_START).unwrap();
        engine.handle(PROCESS_START, Input::Enqueue(Ticket(3), enqueue(2, "salary", 1)));
        let effects = engine.turn(PROCESS_START).unwrap();
        assert_eq!(effects, [Effect::Answer(Ticket(3), Answer::Held)]);
        let end = Input::CallEnded(abandoned.message, abandoned.endpoint, call_result(outcome));
        engine.handle(PROCESS_START, end);
        let effects = engine.turn(PROCESS_START).unwrap();
        let notices: Vec<_> =
            effects.iter().filter(|effect| matches!(effect, Effect::SendNotice(_))).collect();
        assert_eq!(notices.len(), usize::from(has_notice), "{outcome:?}: {effects:?}");
        engine.handle(PROCESS_START, Input::NoticesAcknowledged(vec![abandoned.message]));
        assert_eq!(engine.journal().state().pending.len(), 1, "{outcome:?}");
    }
}

/// Guards against a second call for an id that comes again after its client has left and its call has ended, here or in the next
/// process. A call that has surely not run does not count.
#[test]
fn an_id_whose_client_left_is_not_called_again() {
    let outcomes = [(Outcome::Cancelled, false), (Outcome::Reset, false), (Outcome::ConnectFailed, true)];
    for (outcome, is_accepted) in outcomes {
        let disk = Disk::new(DISK, Crash::Process, 1);
        let (mut before, abandoned) = engine_with_an_abandoned_call(&disk);
        before.turn(PROCESS_START).unwrap();
        let end = Input::CallEnded(abandoned.message, abandoned.endpoint, call_result(outcome));
        before.handle(PROCESS_START, end);
        before.turn(PROCESS_START).unwrap();
        let snapshot = before.freeze(PROCESS_START).unwrap().1.unwrap();
        let (mut engine, resumed) =
            Engine::resume(config(PROCESS_START), journal(&disk, Crash::Process), &snapshot);
        assert_eq!(resumed, Ok(()));
        engine.handle(PROCESS_START, Input::Enqueue(Ticket(3), enqueue(2, "salary", 1)));
        let effects = engine.turn(PROCESS_START).unwrap();
        let is_taken = matches!(effects.first(), Some(Effect::Answer(Ticket(3), Answer::Taken(_))));
        assert_eq!(is_taken, is_accepted, "{outcome:?}: {effects:?}");
        assert!(is_accepted || started_calls(&effects).is_empty(), "{outcome:?}: {effects:?}");
    }
}

/// Guards an upgrade from the release before, whose snapshots lack the ended messages at their end.
#[test]
fn a_snapshot_of_the_previous_format_is_resumed() {
    let disk = Disk::new(DISK, Crash::Process, 1);
    let (call, mut snapshot) = frozen(&disk);
    // The format is the first byte, and the last one the number of ended messages.
    assert_eq!((snapshot[0], snapshot.pop()), (5, Some(0)));
    snapshot[0] = 4;
    let (engine, resumed) = Engine::resume(config(PROCESS_START), journal(&disk, Crash::Process), &snapshot);
    assert_eq!(resumed, Ok(()));
    assert_eq!(engine.in_flight_call(call.message, call.try_for), Some(call));
}
