//! Frames that wait until the part they belong to is complete.

use std::collections::{BTreeMap, BTreeSet};

use crate::digest::BucketSet;
use crate::error::ProtocolError;
use crate::limits::{MAX_ENTRIES, MAX_TOMBSTONES};
use crate::message::{Frame, Part};
use crate::position::{Lineage, Position};
use crate::scope::{Change, Key, Scope};
use crate::store::Store;

/// Changes that are waited for a complete frame with; each key with its latest one only.
#[derive(Clone, Debug)]
pub(super) struct Staged {
    /// Where the last frame ended.
    pub cursor: Position,
    /// What replaces the state, if it does.
    pub replaces: Option<Replacement>,
    changes: BTreeMap<(Scope, Key), Change>,
}

/// What a snapshot brings along with its entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Replacement {
    /// The history that the snapshot belongs to.
    pub lineage: Lineage,
    /// From where on removals are known.
    pub floor: Position,
    /// The scopes that the snapshot has.
    pub scopes: BTreeSet<Scope>,
}

impl Staged {
    /// Changes to the state at `cursor`.
    pub fn changes_after(cursor: Position) -> Self {
        Self { cursor, replaces: None, changes: BTreeMap::new() }
    }

    /// A state that replaces what is there.
    pub fn snapshot(replacement: Replacement) -> Self {
        Self { cursor: Position::ORIGIN, replaces: Some(replacement), changes: BTreeMap::new() }
    }

    /// Takes a frame in that has been checked.
    pub fn push(&mut self, frame: Frame) -> Result<(), ProtocolError> {
        if self.changes.len() + frame.changes.len() > MAX_ENTRIES + MAX_TOMBSTONES {
            return Err(ProtocolError::TooManyEntries);
        }
        self.cursor = frame.upto;
        for change in frame.changes {
            self.changes.insert((change.scope, change.key.clone()), change);
        }
        Ok(())
    }

    /// Changes that wait.
    pub fn len(&self) -> usize {
        self.changes.len()
    }

    /// Applies everything in `scopes` to the store; returns the scopes that are touched.
    pub fn commit(self, scopes: &BTreeSet<Scope>, store: &mut Store) -> Vec<Scope> {
        if let Some(replacement) = &self.replaces {
            store.clear();
            store.raise_floor(replacement.floor);
        }
        let wanted = self.changes.into_values().filter(|change| scopes.contains(&change.scope));
        apply_all(wanted, store)
    }
}

/// Buckets of a scope that are being replaced.
#[derive(Clone, Debug)]
pub(super) struct StagedRepair {
    scope: Scope,
    buckets: BucketSet,
    staged: Staged,
}

impl StagedRepair {
    /// Begins with nothing.
    pub fn new(scope: Scope, buckets: BucketSet) -> Self {
        Self { scope, buckets, staged: Staged::changes_after(Position::ORIGIN) }
    }

    /// Whether a frame goes on from here.
    pub fn is_followed_by(&self, frame: &Frame) -> bool {
        let part = Part::Buckets { scope: self.scope, buckets: self.buckets };
        frame.part == part && frame.after == self.staged.cursor
    }

    /// Takes a frame in that has been checked.
    pub fn push(&mut self, frame: Frame) -> Result<(), ProtocolError> {
        self.staged.push(frame)
    }

    /// Replaces the buckets.
    pub fn commit(self, store: &mut Store) {
        store.clear_buckets(self.scope, self.buckets);
        apply_all(self.staged.changes.into_values(), store);
    }
}

/// Applies changes in the order in which they come; returns the scopes that are touched, each once for each run of them.
pub(super) fn apply_all(changes: impl IntoIterator<Item = Change>, store: &mut Store) -> Vec<Scope> {
    let mut touched = Vec::new();
    for change in changes {
        if touched.last() != Some(&change.scope) {
            touched.push(change.scope);
        }
        store.apply(change);
    }
    touched
}
