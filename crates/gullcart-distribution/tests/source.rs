//! The source: who may write, and what counts as in force.

use std::time::Duration;

use gullcart_distribution::digest::Digest;
use gullcart_distribution::error::SourceError;
use gullcart_distribution::limits::{CLOCK_DRIFT_DIVISOR, LEASE, MAX_TOMBSTONES};
use gullcart_distribution::message::*;
use gullcart_distribution::position::{Epoch, Position, Revision};
use gullcart_distribution::publisher::SubscriberId;
use gullcart_distribution::scope::{Key, Scope, Value};
use gullcart_distribution::source::{Edit, Source, SourceState};
use gullcart_distribution::time::Instant;

const RELAY: SubscriberId = SubscriberId(4);
const SESSION: SessionId = SessionId(1);
/// Leases that an earlier source may have granted have run out by then.
const START: Instant = Instant::from_millis(10_000);

fn edit(text: &str) -> Edit {
    let value = Some(Value::new(text.to_string()).unwrap());
    Edit { scope: Scope::Global, key: Key::new("limit").unwrap(), value }
}

fn source() -> Source {
    let mut source = Source::new(Instant::from_millis(0), SourceState::default(), 1);
    source.begin_epoch(Instant::from_millis(0), Epoch(1)).unwrap();
    source
}

/// A source with a relay that is current and has a lease granted at [`START`].
fn with_relay() -> Source {
    let mut source = source();
    source.connected(RELAY);
    let scopes = vec![Scope::Global];
    let subscribe = Subscribe { session: SESSION, scopes, resume: None, history: true };
    source.handle(START, RELAY, Message::Subscribe(subscribe)).unwrap();
    let renewed = renew(&mut source, START, 1, 1);
    assert!(matches!(renewed, Message::Renewed(_)));
    source
}

fn progress(source: &Source, received: u64) -> Progress {
    Progress { received: Sequence(received), in_force: source.position() }
}

/// Sends a renewal and returns the answer.
fn renew(source: &mut Source, now: Instant, number: u64, received: u64) -> Message {
    let progress = progress(source, received);
    let renew = Renew { session: SESSION, renewal: RenewalId(number), progress, without: Vec::new() };
    source.handle(now, RELAY, Message::Renew(renew)).unwrap();
    std::iter::from_fn(|| source.poll_output()).last().expect("an answer").1
}

fn after(millis: u64) -> Instant {
    START + Duration::from_millis(millis)
}

#[test]
fn a_writer_of_an_older_or_unknown_epoch_is_refused() {
    let mut source = source();
    source.change(START, Epoch(1), edit("1")).unwrap();
    source.begin_epoch(START, Epoch(5)).unwrap();
    let older = SourceError::OlderEpoch { latest: Epoch(5), found: Epoch(1) };
    assert_eq!(source.change(START, Epoch(1), edit("2")), Err(older));
    assert_eq!(source.change(START, Epoch(6), edit("2")), Err(SourceError::UnknownEpoch(Epoch(6))));
    assert_eq!(
        source.begin_epoch(START, Epoch(5)).unwrap_err(),
        SourceError::OlderEpoch { latest: Epoch(5), found: Epoch(5) }
    );
    assert_eq!(source.change(START, Epoch(5), edit("2")), Ok(Position::new(5, 2)));
}

#[test]
fn without_an_epoch_nobody_writes() {
    let mut source = Source::new(START, SourceState::default(), 1);
    assert_eq!(source.change(START, Epoch(0), edit("1")), Err(SourceError::UnknownEpoch(Epoch(0))));
}

#[test]
fn a_change_is_in_force_once_it_is_acknowledged() {
    let mut source = with_relay();
    let position = source.change(after(100), Epoch(1), edit("1")).unwrap();
    assert_eq!(source.poll_in_force(after(150)), None);
    let received = Acknowledge {
        session: SESSION,
        progress: Progress { received: Sequence(2), in_force: Position::new(1, 0) },
    };
    source.handle(after(160), RELAY, Message::Acknowledge(received)).unwrap();
    assert_eq!(source.poll_in_force(after(160)), None, "taken in, and not in force below");
    let in_force = Acknowledge { session: SESSION, progress: progress(&source, 2) };
    source.handle(after(170), RELAY, Message::Acknowledge(in_force)).unwrap();
    let found = source.poll_in_force(after(170)).unwrap();
    assert_eq!((found.position, found.after), (position, Duration::from_millis(70)));
}

#[test]
fn a_change_is_in_force_once_the_last_lease_has_run_out() {
    let mut source = with_relay();
    source.change(after(100), Epoch(1), edit("1")).unwrap();
    let end = START + LEASE + LEASE / CLOCK_DRIFT_DIVISOR;
    assert_eq!(source.next_timeout(after(100)), Some(end), "it is called when the lease ends");
    assert_eq!(source.poll_in_force(Instant::from_micros(end.as_micros() - 1)), None);
    assert!(source.poll_in_force(end).is_some());
}

#[test]
fn the_lease_of_a_relay_that_has_gone_is_waited_for() {
    let mut source = with_relay();
    source.disconnected(after(50), RELAY);
    source.change(after(100), Epoch(1), edit("1")).unwrap();
    assert_eq!(source.poll_in_force(after(2_400)), None);
    assert!(source.poll_in_force(after(2_600)).is_some());
}

#[test]
fn a_renewal_after_a_change_does_not_put_it_off() {
    let mut source = with_relay();
    source.change(after(100), Epoch(1), edit("1")).unwrap();
    // The relay has all of it sent, takes leases on it, and never says that it is in force.
    for number in 2..20 {
        let now = after(number * 150);
        let progress = Progress { received: Sequence(2), in_force: Position::new(1, 0) };
        let renew = Renew { session: SESSION, renewal: RenewalId(number), progress, without: Vec::new() };
        source.handle(now, RELAY, Message::Renew(renew)).unwrap();
    }
    assert!(source.poll_in_force(after(2_700)).is_some());
}

#[test]
fn a_successor_waits_for_the_leases_of_its_predecessor() {
    let mut source = with_relay();
    source.change(after(10), Epoch(1), edit("1")).unwrap();
    let state = source.state().clone();
    let mut successor = Source::new(after(1_000), state, 2);
    successor.begin_epoch(after(1_000), Epoch(2)).unwrap();
    let position = successor.change(after(1_001), Epoch(2), edit("2")).unwrap();
    assert_eq!(position, Position { epoch: Epoch(2), revision: Revision(2) });
    assert_eq!(successor.poll_in_force(after(3_400)), None);
    assert!(successor.poll_in_force(after(3_600)).is_some());
}

#[test]
fn no_lease_outlives_the_tenure() {
    let mut source = with_relay();
    source.extend_tenure(after(400));
    let Message::Renewed(renewed) = renew(&mut source, after(100), 2, 1) else {
        panic!("no lease");
    };
    assert_eq!(renewed.valid_for(), Duration::from_millis(300));
    assert!(matches!(renew(&mut source, after(400), 3, 1), Message::NotRenewed(_)));
}

#[test]
fn a_lease_is_granted_with_the_digest_of_its_scopes_only() {
    let mut source = with_relay();
    let Message::Renewed(renewed) = renew(&mut source, after(100), 2, 1) else {
        panic!("no lease");
    };
    assert_eq!(renewed.digest, Digest::of_scope(Scope::Global, source.store().digest(Scope::Global)));
    let without = vec![Scope::Global];
    let progress = progress(&source, 1);
    let renew = Renew { session: SESSION, renewal: RenewalId(3), progress, without };
    source.handle(after(200), RELAY, Message::Renew(renew)).unwrap();
    let Some((_, Message::Renewed(renewed))) = source.poll_output() else {
        panic!("no answer");
    };
    assert_eq!(renewed.digest, Digest::default());
}

#[test]
fn a_subscriber_that_missed_removals_which_are_forgotten_has_to_begin_anew() {
    let mut source = with_relay();
    while source.poll_output().is_some() {}
    for number in 0..MAX_TOMBSTONES as u64 + 5_000 {
        // The relay acknowledges nothing, so that changes are in force when its lease has run out.
        let now = if number < 60_000 { after(100) } else { after(3_000) };
        while source.poll_in_force(now).is_some() {}
        let key = Key::new(number.to_le_bytes().to_vec()).unwrap();
        source.change(now, Epoch(1), Edit { scope: Scope::Global, key, value: None }).unwrap();
    }
    let sent = std::iter::from_fn(|| source.poll_output()).count() as u64;
    assert!(sent < 100, "the window holds back what is not acknowledged");
    let progress = progress(&source, sent + 1);
    let acknowledge = Acknowledge { session: SESSION, progress };
    source.handle(after(3_100), RELAY, Message::Acknowledge(acknowledge)).unwrap();
    let (_, next) = source.poll_output().expect("an answer");
    assert!(matches!(next, Message::Refused(Refused { reason: Reason::Replaced, .. })));
}

/// What a source answers to a subscription that goes on from `resume`.
fn subscribed(source: &mut Source, resume: Position) -> Vec<Message> {
    source.connected(RELAY);
    let scopes = vec![Scope::Global];
    let subscribe = Subscribe { session: SESSION, scopes, resume: Some(resume), history: true };
    source.handle(START, RELAY, Message::Subscribe(subscribe)).unwrap();
    std::iter::from_fn(|| source.poll_output()).map(|(_, message)| message).collect()
}

/// A source whose second writer took over two changes of the first.
fn with_second_writer() -> Source {
    let mut source = source();
    source.change(START, Epoch(1), edit("1")).unwrap();
    source.change(START, Epoch(1), edit("2")).unwrap();
    source.begin_epoch(START, Epoch(2)).unwrap();
    source.change(START, Epoch(2), edit("3")).unwrap();
    source
}

fn start_of(answers: &[Message]) -> Option<Start> {
    match answers.first() {
        Some(Message::Welcome(welcome)) => Some(welcome.start),
        _ => None,
    }
}

#[test]
fn a_subscriber_goes_on_from_where_it_was() {
    let answers = subscribed(&mut with_second_writer(), Position::new(1, 2));
    assert_eq!(start_of(&answers), Some(Start::Resume));
    let Some(Message::Frame(frame)) = answers.get(1) else {
        panic!("{answers:?}");
    };
    assert_eq!((frame.after, frame.upto, frame.complete), (Position::new(1, 2), Position::new(2, 3), true));
    assert_eq!(frame.changes.len(), 1);
}

#[test]
fn a_subscriber_that_misses_nothing_is_told_that_its_state_is_complete() {
    let answers = subscribed(&mut with_second_writer(), Position::new(2, 3));
    assert_eq!(start_of(&answers), Some(Start::Resume));
    let complete = |message: &Message| matches!(message, Message::Frame(frame) if frame.complete && frame.changes.is_empty());
    assert!(answers.get(1).is_some_and(complete), "{answers:?}");
}

#[test]
fn a_subscriber_with_changes_that_were_not_taken_over_needs_a_snapshot() {
    let answers = subscribed(&mut with_second_writer(), Position::new(1, 3));
    assert_eq!(start_of(&answers), Some(Start::Snapshot));
}

#[test]
fn a_subscriber_that_is_ahead_is_refused() {
    for ahead in [Position::new(2, 4), Position::new(3, 1)] {
        let answers = subscribed(&mut with_second_writer(), ahead);
        let behind = |message: &Message| matches!(message, Message::Refused(refused) if refused.reason == Reason::Behind);
        assert!(answers.len() == 1 && behind(&answers[0]), "{answers:?}");
    }
}

#[test]
fn a_change_that_concerns_nobody_is_not_held_up_by_a_later_one() {
    let mut source = with_relay();
    let elsewhere = Edit { scope: Scope::Zone(1), ..edit("1") };
    let first = source.change(after(100), Epoch(1), elsewhere).unwrap();
    source.change(after(100), Epoch(1), edit("1")).unwrap();
    assert_eq!(source.poll_in_force(after(101)).map(|found| found.position), Some(first));
    assert_eq!(source.poll_in_force(after(101)), None);
}
