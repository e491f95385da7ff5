//! A subscriber against a relay that is played by the test: what it refuses, with which error, and that the last good state
//! stays.

use std::collections::BTreeSet;
use std::time::Duration;

use gullcart_distribution::digest::{bucket_of, BucketSet, Digest};
use gullcart_distribution::error::ProtocolError;
use gullcart_distribution::limits::{LEASE, RENEW_TIMEOUT, STALE_TIMEOUT, SUBSCRIBER_RENEW_INTERVAL};
use gullcart_distribution::message::*;
use gullcart_distribution::position::{Epoch, Lineage, Position, Revision};
use gullcart_distribution::scope::{Change, Key, Scope, Value};
use gullcart_distribution::subscriber::{Acting, Role, Subscriber};
use gullcart_distribution::time::Instant;

const SESSION: SessionId = SessionId(1);
const SCOPE: Scope = Scope::Zone(7);

fn at(revision: u64) -> Position {
    Position::new(2, revision)
}

fn millis(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn key(name: &str) -> Key {
    Key::new(name.to_string()).unwrap()
}

fn value(text: &str) -> Value {
    Value::new(text.to_string()).unwrap()
}

fn set(revision: u64, name: &str, text: &str) -> Change {
    Change { scope: SCOPE, position: at(revision), key: key(name), value: Some(value(text)) }
}

fn lineage(epoch: u64) -> Lineage {
    let mut lineage = Lineage::default();
    assert!(lineage.begin(Epoch(epoch), Revision(0)));
    lineage
}

fn welcome(start: Start) -> Message {
    Message::Welcome(Welcome { session: SESSION, start, lineage: lineage(2), floor: Position::ORIGIN })
}

fn frame(sequence: u64, after: Position, upto: Position, changes: Vec<Change>) -> Frame {
    let sequence = Sequence(sequence);
    Frame { session: SESSION, sequence, part: Part::Subscription, after, upto, complete: true, changes }
}

/// A subscriber with one entry at revision 5.
fn with_state() -> Subscriber {
    let mut subscriber = Subscriber::new(Role::Edge, [SCOPE], 1);
    subscriber.connected(millis(0));
    subscriber.handle(millis(1), welcome(Start::Snapshot)).unwrap();
    let snapshot = frame(1, Position::ORIGIN, at(5), vec![set(5, "limit", "10")]);
    subscriber.handle(millis(2), Message::Frame(snapshot)).unwrap();
    while subscriber.poll_output().is_some() {}
    subscriber
}

/// The renewal that it sends at `now`.
fn renewal(subscriber: &mut Subscriber, now: Instant) -> RenewalId {
    subscriber.on_timeout(now);
    while let Some(message) = subscriber.poll_output() {
        if let Message::Renew(renew) = message {
            return renew.renewal;
        }
    }
    panic!("no renewal");
}

fn renewed(subscriber: &Subscriber, renewal: RenewalId, upto: Position) -> Renewed {
    let digest = Digest::of_scope(SCOPE, subscriber.store().digest(SCOPE));
    Renewed {
        session: SESSION,
        renewal,
        sequence: Sequence(1),
        after: subscriber.position(),
        upto,
        valid_for_micros: LEASE.as_micros() as u32,
        not_leased: Vec::new(),
        digest,
    }
}

/// After an error the entry, the position and the lease are as before.
fn assert_state_stays(subscriber: &Subscriber) {
    assert_eq!(subscriber.position(), at(5));
    assert_eq!(subscriber.store().get(SCOPE, &key("limit")).unwrap().value, value("10"));
    assert_eq!(subscriber.store().entry_count(), 1);
}

fn assert_refused(frame: Frame, expected: ProtocolError) {
    let mut subscriber = with_state();
    let asked = renewal(&mut subscriber, millis(10));
    let lease = renewed(&subscriber, asked, at(5));
    subscriber.handle(millis(20), Message::Renewed(lease)).unwrap();
    assert_eq!(subscriber.handle(millis(30), Message::Frame(frame)), Err(expected));
    assert_state_stays(&subscriber);
    assert_eq!(subscriber.acting(millis(30), SCOPE), Acting::UnderRevision(at(5)));
    assert_eq!(subscriber.wants_close(), expected.ends_session());
    subscriber.disconnected(millis(31));
    assert_eq!(subscriber.acting(millis(2_509), SCOPE), Acting::UnderRevision(at(5)));
    assert_eq!(subscriber.acting(millis(2_510), SCOPE), Acting::NotCurrent);
}

#[test]
fn a_missing_frame_is_refused() {
    let missing = ProtocolError::MissingFrame { expected: Sequence(2), found: Sequence(3) };
    assert_refused(frame(3, at(5), at(6), vec![set(6, "limit", "11")]), missing);
}

#[test]
fn a_gap_is_refused() {
    let gap = ProtocolError::Gap { expected: at(5), found: at(6) };
    assert_refused(frame(2, at(6), at(7), vec![set(7, "limit", "11")]), gap);
}

#[test]
fn a_revision_that_goes_back_is_refused() {
    let back = ProtocolError::WentBack { last: at(5), found: at(3) };
    assert_refused(frame(2, at(3), at(4), vec![set(4, "limit", "11")]), back);
}

#[test]
fn a_repeated_frame_is_refused_and_the_session_goes_on() {
    let repeated = ProtocolError::Repeated(Sequence(1));
    assert_refused(frame(1, Position::ORIGIN, at(5), vec![set(5, "limit", "11")]), repeated);
}

#[test]
fn a_frame_for_a_scope_that_is_not_subscribed_to_is_refused_as_a_whole() {
    let foreign = Change { scope: Scope::Zone(8), ..set(7, "other", "1") };
    let expected = ProtocolError::NotSubscribed(Scope::Zone(8));
    assert_refused(frame(2, at(5), at(7), vec![set(6, "limit", "11"), foreign]), expected);
}

#[test]
fn an_epoch_that_was_not_announced_is_refused() {
    let later = Position::new(3, 6);
    assert_refused(frame(2, at(5), later, Vec::new()), ProtocolError::UnknownEpoch(Epoch(3)));
}

#[test]
fn an_older_epoch_is_refused_when_a_session_begins() {
    let mut subscriber = with_state();
    subscriber.disconnected(millis(30));
    subscriber.connected(millis(100));
    let old = Welcome {
        session: SessionId(2),
        start: Start::Snapshot,
        lineage: lineage(1),
        floor: Position::ORIGIN,
    };
    let expected = ProtocolError::OlderEpoch { latest: Epoch(2), found: Epoch(1) };
    assert_eq!(subscriber.handle(millis(101), Message::Welcome(old)), Err(expected));
    assert_state_stays(&subscriber);
    assert!(subscriber.wants_close());
}

#[test]
fn an_older_epoch_is_refused_within_a_session() {
    let mut subscriber = with_state();
    let began = EpochBegan { session: SESSION, lineage: lineage(4) };
    subscriber.handle(millis(3), Message::EpochBegan(began)).unwrap();
    let old = frame(2, at(5), at(6), vec![set(6, "limit", "11")]);
    let expected = ProtocolError::OlderEpoch { latest: Epoch(4), found: Epoch(2) };
    assert_eq!(subscriber.handle(millis(4), Message::Frame(old)), Err(expected));
    assert_state_stays(&subscriber);
}

#[test]
fn a_message_of_another_session_is_not_heeded() {
    let mut subscriber = with_state();
    let stale = Frame { session: SessionId(9), ..frame(2, at(5), at(6), vec![set(6, "limit", "11")]) };
    assert_eq!(subscriber.handle(millis(3), Message::Frame(stale)), Err(ProtocolError::OtherSession));
    assert_state_stays(&subscriber);
    assert!(!subscriber.wants_close());
}

#[test]
fn a_message_for_the_other_side_is_refused() {
    let mut subscriber = with_state();
    let request = Message::RequestDigests(RequestDigests { session: SESSION });
    assert_eq!(subscriber.handle(millis(3), request), Err(ProtocolError::WrongDirection));
}

#[test]
fn frames_are_applied_together_once_one_is_complete() {
    let mut subscriber = with_state();
    let part = Frame { complete: false, ..frame(2, at(5), at(6), vec![set(6, "limit", "11")]) };
    subscriber.handle(millis(3), Message::Frame(part)).unwrap();
    assert_state_stays(&subscriber);
    let rest = frame(3, at(6), at(8), vec![set(8, "burst", "2")]);
    subscriber.handle(millis(4), Message::Frame(rest)).unwrap();
    assert_eq!(subscriber.position(), at(8));
    assert_eq!(subscriber.store().get(SCOPE, &key("limit")).unwrap().value, value("11"));
    assert_eq!(subscriber.store().entry_count(), 2);
}

#[test]
fn a_snapshot_that_breaks_off_goes_on_at_another_relay() {
    let mut subscriber = Subscriber::new(Role::Edge, [SCOPE], 1);
    subscriber.connected(millis(0));
    subscriber.handle(millis(1), welcome(Start::Snapshot)).unwrap();
    let part = Frame { complete: false, ..frame(1, Position::ORIGIN, at(3), vec![set(3, "a", "1")]) };
    subscriber.handle(millis(2), Message::Frame(part)).unwrap();
    subscriber.disconnected(millis(3));
    subscriber.connected(millis(100));
    let Some(Message::Subscribe(subscribe)) = subscriber.poll_output() else {
        panic!("no subscription");
    };
    assert_eq!(subscribe.resume, Some(at(3)));
    let session = subscribe.session;
    let accepted = Welcome { session, start: Start::Resume, lineage: lineage(2), floor: Position::ORIGIN };
    subscriber.handle(millis(101), Message::Welcome(accepted)).unwrap();
    let rest = Frame { session, ..frame(1, at(3), at(5), vec![set(5, "b", "2")]) };
    subscriber.handle(millis(102), Message::Frame(rest)).unwrap();
    assert_eq!(subscriber.position(), at(5));
    assert_eq!(subscriber.store().entry_count(), 2);
}

#[test]
fn a_lease_runs_from_the_sending_of_its_renewal() {
    let mut subscriber = with_state();
    let asked = renewal(&mut subscriber, millis(100));
    let lease = renewed(&subscriber, asked, at(5));
    subscriber.handle(millis(900), Message::Renewed(lease)).unwrap();
    let end = 100 + LEASE.as_millis() as u64;
    assert_eq!(subscriber.acting(millis(end - 1), SCOPE), Acting::UnderRevision(at(5)));
    assert_eq!(subscriber.acting(millis(end), SCOPE), Acting::NotCurrent);
}

#[test]
fn a_shorter_lease_of_the_relay_is_not_made_longer() {
    let mut subscriber = with_state();
    let asked = renewal(&mut subscriber, millis(100));
    let lease = Renewed { valid_for_micros: 300_000, ..renewed(&subscriber, asked, at(5)) };
    subscriber.handle(millis(110), Message::Renewed(lease)).unwrap();
    assert_eq!(subscriber.acting(millis(400), SCOPE), Acting::NotCurrent);
}

#[test]
fn without_a_lease_nothing_is_acted_on() {
    let subscriber = with_state();
    assert_eq!(subscriber.acting(millis(3), SCOPE), Acting::NotCurrent);
    assert_eq!(subscriber.acting(millis(3), Scope::Global), Acting::NotCurrent);
}

#[test]
fn an_answer_that_is_not_waited_for_brings_no_lease() {
    let mut subscriber = with_state();
    let asked = renewal(&mut subscriber, millis(100));
    let lease = renewed(&subscriber, asked, at(5));
    subscriber.handle(millis(110), Message::Renewed(lease.clone())).unwrap();
    let again = subscriber.handle(millis(120), Message::Renewed(lease));
    assert_eq!(again, Err(ProtocolError::UnexpectedAnswer));
}

#[test]
fn a_lease_that_passes_over_a_change_is_refused() {
    let mut subscriber = with_state();
    let asked = renewal(&mut subscriber, millis(100));
    let lease = Renewed { after: at(6), ..renewed(&subscriber, asked, at(7)) };
    let expected = ProtocolError::Gap { expected: at(5), found: at(6) };
    assert_eq!(subscriber.handle(millis(110), Message::Renewed(lease)), Err(expected));
    assert_eq!(subscriber.acting(millis(111), SCOPE), Acting::NotCurrent);
}

#[test]
fn a_lease_behind_a_lost_frame_is_refused() {
    let mut subscriber = with_state();
    let asked = renewal(&mut subscriber, millis(100));
    let lease = Renewed { sequence: Sequence(2), ..renewed(&subscriber, asked, at(5)) };
    let expected = ProtocolError::MissingFrame { expected: Sequence(2), found: Sequence(2) };
    assert_eq!(subscriber.handle(millis(110), Message::Renewed(lease)), Err(expected));
}

#[test]
fn a_wrong_digest_brings_no_lease_and_the_differing_buckets_are_replaced() {
    let mut subscriber = with_state();
    let sound = renewed(&subscriber, RenewalId(0), at(5));
    subscriber.store_mut().spoil(SCOPE, &key("limit"), value("spoilt"));
    let asked = renewal(&mut subscriber, millis(100));
    let lease = Renewed { renewal: asked, ..sound };
    let wrong = subscriber.handle(millis(110), Message::Renewed(lease));
    assert_eq!(wrong, Err(ProtocolError::WrongCombinedDigest));
    assert_eq!(subscriber.acting(millis(111), SCOPE), Acting::NotCurrent);
    assert!(matches!(subscriber.poll_output(), Some(Message::RequestDigests(_))));

    let right = Digest::of_entry(&key("limit"), &value("10"), at(5));
    let listed = ScopeDigest { scope: SCOPE, digest: right };
    let digests = ScopeDigests { session: SESSION, at: at(5), digests: vec![listed] };
    let found = subscriber.handle(millis(120), Message::ScopeDigests(digests));
    assert_eq!(found, Err(ProtocolError::WrongDigest(SCOPE)));
    assert!(matches!(subscriber.poll_output(), Some(Message::RequestRepair(_))));

    let bucket = BucketSet(1 << bucket_of(&key("limit")));
    let repair = Frame {
        part: Part::Buckets { scope: SCOPE, buckets: bucket },
        ..frame(2, Position::ORIGIN, at(5), vec![set(5, "limit", "10")])
    };
    subscriber.handle(millis(130), Message::Frame(repair)).unwrap();
    assert_state_stays(&subscriber);
    let asked = renewal(&mut subscriber, millis(700));
    let lease = Renewed { sequence: Sequence(2), ..renewed(&subscriber, asked, at(5)) };
    subscriber.handle(millis(710), Message::Renewed(lease)).unwrap();
    assert_eq!(subscriber.acting(millis(711), SCOPE), Acting::UnderRevision(at(5)));
}

#[test]
fn a_repair_with_entries_of_other_buckets_is_refused() {
    let mut subscriber = with_state();
    let other = BucketSet(1 << ((bucket_of(&key("limit")) + 1) % 16));
    let repair = Frame {
        part: Part::Buckets { scope: SCOPE, buckets: other },
        ..frame(2, Position::ORIGIN, at(5), vec![set(5, "limit", "12")])
    };
    assert_eq!(subscriber.handle(millis(3), Message::Frame(repair)), Err(ProtocolError::Malformed));
    assert_state_stays(&subscriber);
}

#[test]
fn a_scope_that_is_given_up_is_not_acted_on_and_its_late_frames_do_no_harm() {
    let mut subscriber = with_state();
    let asked = renewal(&mut subscriber, millis(100));
    let lease = renewed(&subscriber, asked, at(5));
    subscriber.handle(millis(110), Message::Renewed(lease)).unwrap();
    subscriber.rescope(&BTreeSet::new(), &BTreeSet::from([SCOPE]));
    assert_eq!(subscriber.acting(millis(111), SCOPE), Acting::NotCurrent);
    let late = frame(2, at(5), at(6), vec![set(6, "limit", "11")]);
    subscriber.handle(millis(112), Message::Frame(late)).unwrap();
    assert_eq!(subscriber.store().entry_count(), 0);
}

#[test]
fn a_silent_relay_is_given_up() {
    let mut subscriber = with_state();
    renewal(&mut subscriber, millis(100));
    let gives_up = millis(100) + RENEW_TIMEOUT;
    subscriber.on_timeout(gives_up);
    assert!(subscriber.wants_close());
    assert!(subscriber.reconnect_at() > gives_up);
}

#[test]
fn a_relay_that_answers_and_gives_no_lease_is_given_up() {
    let mut subscriber = with_state();
    let mut now = millis(100);
    while !subscriber.wants_close() {
        assert!(now < millis(200) + STALE_TIMEOUT + SUBSCRIBER_RENEW_INTERVAL, "it stays for ever");
        subscriber.on_timeout(now);
        while let Some(message) = subscriber.poll_output() {
            if let Message::Renew(renew) = message {
                let answer = NotRenewed { session: SESSION, renewal: renew.renewal };
                subscriber.handle(now, Message::NotRenewed(answer)).unwrap();
            }
        }
        now = subscriber.next_timeout().map_or(now, |at| at.max(now + Duration::from_millis(1)));
    }
}

#[test]
fn a_refusal_says_when_to_come_again() {
    let mut subscriber = Subscriber::new(Role::Edge, [SCOPE], 1);
    subscriber.connected(millis(0));
    let refused = Refused { session: SESSION, reason: Reason::SnapshotsBusy, retry_after_millis: 700 };
    let result = subscriber.handle(millis(10), Message::Refused(refused));
    assert_eq!(result, Err(ProtocolError::Refused(Reason::SnapshotsBusy)));
    subscriber.disconnected(millis(12));
    assert_eq!(subscriber.reconnect_at(), millis(710));
}

#[test]
fn output_that_nobody_takes_is_bounded() {
    let mut subscriber = with_state();
    for number in 0..10_000 {
        let at_end = subscriber.position();
        let next = Position::new(2, at_end.revision.0 + 1);
        let change = Change { position: next, ..set(0, "limit", "11") };
        let delta = frame(2 + number, at_end, next, vec![change]);
        if subscriber.handle(millis(3), Message::Frame(delta)).is_err() {
            break;
        }
    }
    assert!(subscriber.wants_close());
    assert!(subscriber.poll_output().is_none());
}
