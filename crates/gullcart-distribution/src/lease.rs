//! Leases: how long a subscriber may act on its state, and until when the side that granted them has to reckon with it.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::limits::{CLOCK_DRIFT_DIVISOR, MAX_GRANTS};
use crate::position::Position;
use crate::scope::Scope;
use crate::time::Instant;

/// The leases that a subscriber holds, by scope, on its own clock.
#[derive(Clone, Debug, Default)]
pub struct Leases {
    until: BTreeMap<Scope, Instant>,
}

impl Leases {
    /// Takes a lease that lasts `valid_for` from when the renewal was sent. A lease is never shortened by another one.
    pub fn renew(&mut self, scope: Scope, renewal_sent: Instant, valid_for: Duration) {
        let until = renewal_sent + valid_for;
        let held = self.until.entry(scope).or_default();
        *held = until.max(*held);
    }

    /// Gives up the lease on a scope.
    pub fn give_up(&mut self, scope: Scope) {
        self.until.remove(&scope);
    }

    /// The end of the lease on a scope, if it has not run out.
    pub fn until(&self, scope: Scope, now: Instant) -> Option<Instant> {
        self.until.get(&scope).copied().filter(|until| now < *until)
    }
}

/// A lease that was granted: its holder acts on the state at `position` or a later one until `expires`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Up to where the holder is current.
    pub position: Position,
    /// When it has run out on the holder's clock, too, whatever the drift.
    pub expires: Instant,
}

impl Grant {
    /// A lease granted now.
    pub fn new(position: Position, now: Instant, valid_for: Duration) -> Self {
        Self { position, expires: now + valid_for + valid_for / CLOCK_DRIFT_DIVISOR }
    }
}

/// Leases that were granted and may not have run out; at most [`MAX_GRANTS`], joined on the safe side beyond that.
#[derive(Clone, Debug, Default)]
pub struct Grants {
    grants: VecDeque<Grant>,
}

impl Grants {
    /// Notes a grant. One that covers an earlier one makes it needless.
    pub fn push(&mut self, grant: Grant, now: Instant) {
        self.drop_expired(now);
        while self
            .grants
            .back()
            .is_some_and(|last| last.position >= grant.position && last.expires <= grant.expires)
        {
            self.grants.pop_back();
        }
        self.grants.push_back(grant);
        if self.grants.len() > MAX_GRANTS {
            self.join_oldest();
        }
    }

    fn join_oldest(&mut self) {
        let (Some(first), Some(second)) = (self.grants.pop_front(), self.grants.pop_front()) else {
            return;
        };
        let position = first.position.min(second.position);
        let expires = first.expires.max(second.expires);
        self.grants.push_front(Grant { position, expires });
    }

    fn drop_expired(&mut self, now: Instant) {
        self.grants.retain(|grant| now < grant.expires);
    }

    /// The earliest position that a holder may still act on; none if all have run out.
    pub fn earliest(&self, now: Instant) -> Option<Position> {
        self.running(now).map(|grant| grant.position).min()
    }

    /// When the next one runs out.
    pub fn next_expiry(&self, now: Instant) -> Option<Instant> {
        self.running(now).map(|grant| grant.expires).min()
    }

    /// When the last one runs out.
    pub fn last_expiry(&self, now: Instant) -> Option<Instant> {
        self.running(now).map(|grant| grant.expires).max()
    }

    fn running(&self, now: Instant) -> impl Iterator<Item = &Grant> {
        self.grants.iter().filter(move |grant| now < grant.expires)
    }
}
