//! The pieces by themselves: store, digests, leases, admission, lineage.

use std::collections::BTreeSet;
use std::time::Duration;

use fastrand::Rng;
use gullcart_distribution::admission::{Backoff, SnapshotAdmission};
use gullcart_distribution::digest::{BucketSet, Digest};
use gullcart_distribution::lease::{Grant, Grants, Leases};
use gullcart_distribution::limits::*;
use gullcart_distribution::position::{Epoch, Lineage, Position, Revision};
use gullcart_distribution::scope::{Change, Key, Scope, Value};
use gullcart_distribution::store::{Query, Store};
use gullcart_distribution::time::Instant;
use proptest::prelude::*;

fn change(revision: u64, number: u8, value: Option<u8>) -> Change {
    Change {
        scope: Scope::Global,
        position: Position::new(1, revision),
        key: Key::new(vec![number]).unwrap(),
        value: value.map(|value| Value::new(vec![value; 20]).unwrap()),
    }
}

fn collected(store: &Store, after: Position, limit_bytes: usize) -> (Vec<Change>, bool) {
    let scopes = BTreeSet::from([Scope::Global]);
    let collected = store.collect(Query {
        scopes: &scopes,
        buckets: BucketSet::ALL,
        after,
        removals_after: after,
        limit_bytes,
    });
    (collected.changes, collected.complete)
}

/// Changes of keys, in order; revisions are their places.
fn courses() -> impl Strategy<Value = Vec<Change>> {
    let edits = proptest::collection::vec((0u8..30, proptest::option::of(any::<u8>())), 1..120);
    edits.prop_map(|edits| {
        let number = |(place, (key, value)): (usize, (u8, Option<u8>))| change(place as u64 + 1, key, value);
        edits.into_iter().enumerate().map(number).collect()
    })
}

proptest! {
    #[test]
    fn a_digest_depends_on_the_entries_only(course in courses()) {
        let mut store = Store::new(true);
        course.iter().cloned().for_each(|change| store.apply(change));
        let mut expected = Digest::default();
        for (key, entry) in store.scope(Scope::Global).unwrap().entries() {
            expected.insert(Digest::of_entry(key, &entry.value, entry.position));
        }
        prop_assert_eq!(store.digest(Scope::Global), expected);
        let mut buckets = Digest::default();
        store.buckets(Scope::Global).into_iter().for_each(|bucket| buckets.insert(bucket));
        prop_assert_eq!(buckets, expected);
        store.clear_buckets(Scope::Global, BucketSet::ALL);
        prop_assert_eq!(store.digest(Scope::Global), Digest::default());
        prop_assert_eq!((store.entry_count(), store.tombstone_count()), (0, 0));
    }

    /// Whoever has the state of some moment and takes what is collected after it, piece by piece, has the last state; and is
    /// sent each key once.
    #[test]
    fn what_is_collected_leads_from_any_state_to_the_last(
        course in courses(),
        place in any::<prop::sample::Index>(),
        limit in 50usize..2_000,
    ) {
        let seen = place.index(course.len());
        let mut store = Store::new(true);
        let mut follower = Store::new(false);
        course.iter().cloned().for_each(|change| store.apply(change));
        course[..seen].iter().cloned().for_each(|change| follower.apply(change));
        let mut cursor = course[..seen].last().map_or(Position::ORIGIN, |change| change.position);
        let mut keys = BTreeSet::new();
        loop {
            let (changes, complete) = collected(&store, cursor, limit);
            for change in changes {
                prop_assert!(change.position > cursor);
                cursor = change.position;
                prop_assert!(keys.insert(change.key.clone()), "a key twice");
                follower.apply(change);
            }
            if complete {
                break;
            }
        }
        prop_assert_eq!(follower.digest(Scope::Global), store.digest(Scope::Global));
    }
}

#[test]
fn scopes_with_the_same_entries_have_different_digests() {
    let digest = Digest::default();
    assert_ne!(Digest::of_scope(Scope::Zone(1), digest), Digest::of_scope(Scope::Zone(2), digest));
    assert_ne!(Digest::of_scope(Scope::Zone(1), digest), Digest::of_scope(Scope::Region(1), digest));
}

#[test]
fn removals_are_remembered_up_to_a_bound_and_the_floor_says_from_where() {
    let mut store = Store::new(true);
    let count = MAX_TOMBSTONES as u64 + 10;
    for revision in 1..=count {
        let key = Key::new(revision.to_le_bytes().to_vec()).unwrap();
        store.apply(Change { key, ..change(revision, 0, None) });
    }
    assert_eq!(store.tombstone_count(), MAX_TOMBSTONES);
    assert_eq!(store.floor(), Position::new(1, 10));
    assert_eq!(collected(&store, store.floor(), usize::MAX).0.len(), MAX_TOMBSTONES);
}

#[test]
fn a_lineage_tells_what_belongs_to_the_history() {
    let mut lineage = Lineage::default();
    assert!(lineage.begin(Epoch(1), Revision(0)));
    assert!(lineage.begin(Epoch(3), Revision(10)));
    assert!(!lineage.begin(Epoch(3), Revision(12)));
    assert!(!lineage.begin(Epoch(2), Revision(12)));
    assert!(lineage.contains(Position::new(1, 10)));
    assert!(!lineage.contains(Position::new(1, 11)), "numbered, and lost with the old writer");
    assert!(lineage.contains(Position::new(3, 11)));
    assert!(!lineage.contains(Position::new(2, 5)));
    for epoch in 4..4 + MAX_LINEAGE as u64 {
        assert!(lineage.begin(Epoch(epoch), Revision(epoch * 10)));
    }
    assert!(lineage.is_well_formed());
    assert!(!lineage.contains(Position::new(1, 10)), "too long ago to know");
}

#[test]
fn a_lease_is_never_shortened_and_can_be_given_up() {
    let mut leases = Leases::default();
    leases.renew(Scope::Global, Instant::from_millis(100), Duration::from_millis(50));
    leases.renew(Scope::Global, Instant::from_millis(90), Duration::from_millis(50));
    assert_eq!(leases.until(Scope::Global, Instant::from_millis(149)), Some(Instant::from_millis(150)));
    assert_eq!(leases.until(Scope::Global, Instant::from_millis(150)), None);
    leases.give_up(Scope::Global);
    assert_eq!(leases.until(Scope::Global, Instant::from_millis(100)), None);
}

proptest! {
    /// Whatever is granted, it is reckoned with until it has run out with drift, and at most a slot longer; and there are
    /// never more than the slots of a lease.
    #[test]
    fn grants_are_reckoned_with_until_they_have_run_out(
        pauses in proptest::collection::vec((0u64..400, 0u64..3), 1..80),
    ) {
        let mut now = Instant::from_millis(1);
        let mut grants = Grants::default();
        let mut all: Vec<Grant> = Vec::new();
        let mut revision = 1;
        for (pause, changes) in pauses {
            now = now + Duration::from_millis(pause);
            revision += changes;
            let grant = Grant::new(Position::new(1, revision), now, LEASE);
            grants.push(grant, now);
            all.push(grant);
            let exact = all.iter().filter(|grant| now < grant.expires).map(|grant| grant.position).min();
            let slot_ago = all.iter().filter(|grant| now < grant.expires + GRANT_SLOT).map(|grant| grant.position).min();
            prop_assert!(grants.earliest(now) <= exact);
            prop_assert!(grants.earliest(now) >= slot_ago);
            prop_assert!(grants.len() <= (LEASE.as_millis() / GRANT_SLOT.as_millis()) as usize + 2);
        }
        let end = now + LEASE + LEASE / CLOCK_DRIFT_DIVISOR;
        prop_assert_eq!(grants.earliest(end), None);
    }
}

#[test]
fn snapshots_are_admitted_at_the_stated_rate_and_those_refused_are_spread() {
    let mut admission = SnapshotAdmission::default();
    let mut random = Rng::with_seed(1);
    let start = Instant::from_millis(10_000);
    let mut waits = Vec::new();
    let mut admitted = 0;
    for _ in 0..480 {
        match admission.admit(start, &mut random) {
            Ok(()) => admitted += 1,
            Err(wait) => waits.push(wait),
        }
    }
    assert_eq!(admitted, SNAPSHOT_BURST);
    let longest = Duration::from_secs(u64::from(480 / SNAPSHOTS_PER_SECOND) + 1);
    assert!(waits.iter().all(|wait| *wait >= BACKOFF_MIN && *wait <= longest));
    // Those who come when they were told to find a token, apart from the jitter.
    waits.sort();
    let mut refused_again = 0;
    for wait in waits {
        match admission.admit(start + wait, &mut random) {
            Ok(()) => admission.finish(),
            Err(_) => refused_again += 1,
        }
    }
    assert!(refused_again <= 20, "{refused_again}");
}

#[test]
fn no_more_snapshots_are_under_way_than_stated() {
    let mut admission = SnapshotAdmission::default();
    let mut random = Rng::with_seed(1);
    let mut admitted = 0;
    for step in 0..10_000 {
        let now = Instant::from_millis(1_000 + step * 20);
        admitted += usize::from(admission.admit(now, &mut random).is_ok());
    }
    assert_eq!(admitted, MAX_SNAPSHOTS_UNDER_WAY);
    admission.finish();
    assert!(admission.admit(Instant::from_millis(300_000), &mut random).is_ok());
}

#[test]
fn the_waits_of_the_first_attempts_have_a_bounded_sum() {
    for seed in 0..200 {
        let mut random = Rng::with_seed(seed);
        let mut backoff = Backoff::default();
        let waits: Vec<Duration> = (0..20).map(|_| backoff.next_wait(&mut random)).collect();
        assert!(waits[..7].iter().sum::<Duration>() <= Duration::from_millis(6_350));
        assert!(waits.iter().all(|wait| *wait >= BACKOFF_MIN / 2 && *wait <= BACKOFF_MAX));
        backoff.reset();
        assert!(backoff.next_wait(&mut random) <= BACKOFF_MIN);
    }
}
