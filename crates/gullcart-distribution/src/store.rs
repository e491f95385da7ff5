//! The state that a node holds: the entries of its scopes, their digests, and by position what changed when.
//!
//! The index by position has each key once, at its latest change. What a slow subscriber has missed is read from it by its
//! cursor, so that it is coalesced by key and costs nothing per subscriber.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use crate::digest::{bucket_of, BucketDigests, BucketSet, Digest};
use crate::limits::{BUCKETS, MAX_TOMBSTONES};
use crate::position::Position;
use crate::scope::{Change, Key, Scope, Value};

/// A value and the change that set it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The value.
    pub value: Value,
    /// The change that set it.
    pub position: Position,
}

/// The state of one scope.
#[derive(Clone, Debug, Default)]
pub struct ScopeStore {
    entries: BTreeMap<Key, Entry>,
    buckets: BucketDigests,
    digest: Digest,
    by_position: BTreeMap<Position, Key>,
    removed: BTreeMap<Key, Position>,
}

impl ScopeStore {
    /// Its entries.
    pub fn entries(&self) -> &BTreeMap<Key, Entry> {
        &self.entries
    }

    /// The digest of its entries.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// The digests of its buckets.
    pub fn buckets(&self) -> &BucketDigests {
        &self.buckets
    }

    fn digest_insert(&mut self, key: &Key, entry: &Entry) {
        let digest = Digest::of_entry(key, &entry.value, entry.position);
        self.buckets[bucket_of(key)].insert(digest);
        self.digest.insert(digest);
    }

    fn digest_remove(&mut self, key: &Key, entry: &Entry) {
        let digest = Digest::of_entry(key, &entry.value, entry.position);
        self.buckets[bucket_of(key)].remove(digest);
        self.digest.remove(digest);
    }

    fn remove_entry(&mut self, key: &Key) -> Option<Entry> {
        let entry = self.entries.remove(key)?;
        self.digest_remove(key, &entry);
        Some(entry)
    }

    fn insert_entry(&mut self, key: Key, entry: Entry) {
        self.digest_insert(&key, &entry);
        self.entries.insert(key, entry);
    }

    fn keys_in(&self, buckets: BucketSet) -> Vec<Key> {
        let chosen = |key: &&Key| buckets.contains(bucket_of(key));
        self.entries.keys().chain(self.removed.keys()).filter(chosen).cloned().collect()
    }

    fn change_at(&self, scope: Scope, position: Position, key: &Key) -> Change {
        let value = self.entries.get(key).map(|entry| entry.value.clone());
        Change { scope, position, key: key.clone(), value }
    }
}

/// Which changes are collected for a frame.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// In these scopes.
    pub scopes: &'a BTreeSet<Scope>,
    /// In these buckets of them.
    pub buckets: BucketSet,
    /// Made after this position.
    pub after: Position,
    /// Removals only if made after this position: who began with nothing needs no older ones.
    pub removals_after: Position,
    /// Until this many bytes.
    pub limit_bytes: usize,
}

/// Changes for a frame.
#[derive(Clone, Debug)]
pub struct Collected {
    /// The changes, in the order of their positions.
    pub changes: Vec<Change>,
    /// An upper bound of their encoded size.
    pub bytes: usize,
    /// Whether there are no more.
    pub complete: bool,
}

/// The state of all scopes of a node.
#[derive(Clone, Debug)]
pub struct Store {
    scopes: BTreeMap<Scope, ScopeStore>,
    entry_count: usize,
    keeps_history: bool,
    tombstones: BTreeMap<Position, Scope>,
    floor: Position,
}

impl Store {
    /// An empty store; `keeps_history` if others are fed from it.
    pub fn new(keeps_history: bool) -> Self {
        Self {
            scopes: BTreeMap::new(),
            entry_count: 0,
            keeps_history,
            tombstones: BTreeMap::new(),
            floor: Position::ORIGIN,
        }
    }

    /// The state of a scope, if anything was ever set in it.
    pub fn scope(&self, scope: Scope) -> Option<&ScopeStore> {
        self.scopes.get(&scope)
    }

    /// The digest of a scope; that of nothing if it is empty.
    pub fn digest(&self, scope: Scope) -> Digest {
        self.scopes.get(&scope).map_or(Digest::default(), |state| state.digest)
    }

    /// The digests of a scope's buckets.
    pub fn buckets(&self, scope: Scope) -> BucketDigests {
        self.scopes.get(&scope).map_or([Digest::default(); BUCKETS], |state| state.buckets)
    }

    /// The entry of a key.
    pub fn get(&self, scope: Scope, key: &Key) -> Option<&Entry> {
        self.scopes.get(&scope)?.entries.get(key)
    }

    /// Entries over all scopes.
    pub fn entry_count(&self) -> usize {
        self.entry_count
    }

    /// Removed keys that are remembered.
    pub fn tombstone_count(&self) -> usize {
        self.tombstones.len()
    }

    /// Removals are remembered from here on.
    pub fn floor(&self) -> Position {
        self.floor
    }

    /// Notes that earlier removals are not known.
    pub fn raise_floor(&mut self, floor: Position) {
        self.floor = self.floor.max(floor);
    }

    /// Sets or removes a key.
    pub fn apply(&mut self, change: Change) {
        let Change { scope, position, key, value } = change;
        let state = self.scopes.entry(scope).or_default();
        let before = state.remove_entry(&key);
        if before.is_some() {
            self.entry_count -= 1;
        }
        if self.keeps_history {
            let removed_at = state.removed.remove(&key);
            if let Some(removed_at) = removed_at {
                self.tombstones.remove(&removed_at);
            }
            if let Some(stale) = removed_at.or(before.map(|entry| entry.position)) {
                state.by_position.remove(&stale);
            }
            state.by_position.insert(position, key.clone());
        }
        match value {
            Some(value) => {
                state.insert_entry(key, Entry { value, position });
                self.entry_count += 1;
            }
            None if self.keeps_history => {
                state.removed.insert(key, position);
                self.tombstones.insert(position, scope);
                self.forget_oldest_tombstones();
            }
            None => {}
        }
    }

    fn forget_oldest_tombstones(&mut self) {
        while self.tombstones.len() > MAX_TOMBSTONES {
            let Some((position, scope)) = self.tombstones.pop_first() else {
                return;
            };
            self.raise_floor(position);
            let Some(state) = self.scopes.get_mut(&scope) else {
                continue;
            };
            if let Some(key) = state.by_position.remove(&position) {
                state.removed.remove(&key);
            }
        }
    }

    /// Forgets buckets of a scope, removals included.
    pub fn clear_buckets(&mut self, scope: Scope, buckets: BucketSet) {
        let Some(state) = self.scopes.get_mut(&scope) else {
            return;
        };
        for key in state.keys_in(buckets) {
            let entry = state.remove_entry(&key);
            if entry.is_some() {
                self.entry_count -= 1;
            }
            let removed_at = state.removed.remove(&key);
            if let Some(removed_at) = removed_at {
                self.tombstones.remove(&removed_at);
            }
            if let Some(position) = removed_at.or(entry.map(|entry| entry.position)) {
                state.by_position.remove(&position);
            }
        }
    }

    /// Forgets a scope.
    pub fn remove_scope(&mut self, scope: Scope) {
        self.clear_buckets(scope, BucketSet::ALL);
        self.scopes.remove(&scope);
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        *self = Self::new(self.keeps_history);
    }

    /// The next changes in the order of their positions.
    pub fn collect(&self, query: Query<'_>) -> Collected {
        let begin = (std::ops::Bound::Excluded(query.after), std::ops::Bound::Unbounded);
        let mut streams = Vec::new();
        let mut heads = BinaryHeap::new();
        for scope in query.scopes {
            let Some(state) = self.scopes.get(scope) else {
                continue;
            };
            let mut stream = state.by_position.range(begin);
            if let Some((position, key)) = stream.next() {
                heads.push(Reverse((*position, key, streams.len())));
                streams.push((*scope, state, stream));
            }
        }
        let mut collected = Collected { changes: Vec::new(), bytes: 0, complete: true };
        while let Some(Reverse((position, key, index))) = heads.pop() {
            let (scope, state, stream) = &mut streams[index];
            if let Some((next_position, next_key)) = stream.next() {
                heads.push(Reverse((*next_position, next_key, index)));
            }
            if !query.buckets.contains(bucket_of(key)) {
                continue;
            }
            let change = state.change_at(*scope, position, key);
            if change.value.is_none() && position <= query.removals_after {
                continue;
            }
            let bytes = change.encoded_bound();
            if collected.bytes + bytes > query.limit_bytes && !collected.changes.is_empty() {
                collected.complete = false;
                break;
            }
            collected.bytes += bytes;
            collected.changes.push(change);
        }
        collected
    }

    /// Changes the value of an entry behind the back of its digest, as a fault of the memory would.
    #[cfg(feature = "unguarded")]
    pub fn spoil(&mut self, scope: Scope, key: &Key, value: Value) {
        let Some(state) = self.scopes.get_mut(&scope) else {
            return;
        };
        let Some(mut entry) = state.remove_entry(key) else {
            return;
        };
        entry.value = value;
        state.insert_entry(key.clone(), entry);
    }
}
