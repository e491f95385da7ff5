//! Which scopes the subscribers of a node want.

use std::collections::{BTreeMap, BTreeSet};

use super::SubscriberId;
use crate::limits::{SCOPE_LINGER, SCOPE_RELEASE_INTERVAL};
use crate::scope::Scope;
use crate::time::Instant;

/// When a scope that is used no longer from now on ceases to be wanted: after [`SCOPE_LINGER`], together with others.
fn released_at(now: Instant) -> Instant {
    let interval = SCOPE_RELEASE_INTERVAL.as_micros() as u64;
    let earliest = (now + SCOPE_LINGER).as_micros();
    Instant::from_micros(earliest.div_ceil(interval) * interval)
}

/// The scopes that are wanted: those in use, and for some time those that were asked for or used last.
#[derive(Clone, Debug)]
pub(super) struct Demand {
    limit: usize,
    users: BTreeMap<Scope, BTreeSet<SubscriberId>>,
    lingering: BTreeMap<Scope, Instant>,
    changed: bool,
}

impl Demand {
    /// Nothing is wanted yet, and at most `limit` scopes may be.
    pub fn new(limit: usize) -> Self {
        Self { limit, users: BTreeMap::new(), lingering: BTreeMap::new(), changed: false }
    }

    /// Whether these scopes can be wanted beside those that are.
    pub fn has_room_for(&self, scopes: &BTreeSet<Scope>) -> bool {
        let added = scopes.iter().filter(|scope| !self.is_wanted(**scope)).count();
        self.users.len() + self.lingering.len() + added <= self.limit
    }

    fn is_wanted(&self, scope: Scope) -> bool {
        self.users.contains_key(&scope) || self.lingering.contains_key(&scope)
    }

    /// A scope is asked for by someone who has to come again.
    pub fn ask(&mut self, scope: Scope, now: Instant) {
        if !self.users.contains_key(&scope) {
            self.changed |= self.lingering.insert(scope, released_at(now)).is_none();
        }
    }

    /// A subscriber uses a scope.
    pub fn add(&mut self, scope: Scope, subscriber: SubscriberId) {
        let was_wanted = self.lingering.remove(&scope).is_some() || self.users.contains_key(&scope);
        self.changed |= !was_wanted;
        self.users.entry(scope).or_default().insert(subscriber);
    }

    /// A subscriber uses a scope no longer.
    pub fn remove(&mut self, scope: Scope, subscriber: SubscriberId, now: Instant) {
        let Some(users) = self.users.get_mut(&scope) else {
            return;
        };
        users.remove(&subscriber);
        if users.is_empty() {
            self.users.remove(&scope);
            self.lingering.insert(scope, released_at(now));
        }
    }

    /// The subscribers that use a scope.
    pub fn users(&self, scope: Scope) -> impl Iterator<Item = SubscriberId> + '_ {
        self.users.get(&scope).into_iter().flatten().copied()
    }

    /// Whether scopes came to be wanted since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// When the next scope ceases to be wanted, unless it comes into use.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.lingering.values().min().copied()
    }

    /// The scopes that are wanted now.
    pub fn wanted(&mut self, now: Instant) -> BTreeSet<Scope> {
        self.lingering.retain(|_, until| now < *until);
        self.users.keys().chain(self.lingering.keys()).copied().collect()
    }
}
