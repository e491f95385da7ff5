//! Leases: how long a subscriber may act on its state, and until when the side that granted them has to reckon with it.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::limits::{CLOCK_DRIFT_DIVISOR, GRANT_SLOT};
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

/// Leases that were granted and may not have run out.
///
/// Those that run out within the same [`GRANT_SLOT`] count as one, with the earliest position and the latest end, so that there
/// are never more than slots in a lease. No lease is reckoned with for longer than a slot too much.
#[derive(Clone, Debug, Default)]
pub struct Grants {
    by_slot: BTreeMap<u64, Grant>,
}

impl Grants {
    /// Notes a grant.
    pub fn push(&mut self, grant: Grant, now: Instant) {
        self.drop_expired(now);
        let slot = grant.expires.as_micros() / GRANT_SLOT.as_micros() as u64;
        let joined = self.by_slot.entry(slot).or_insert(grant);
        joined.position = joined.position.min(grant.position);
        joined.expires = joined.expires.max(grant.expires);
    }

    /// Takes over the grants to a holder that acts on nothing before `settled`.
    pub fn absorb(&mut self, others: &Grants, settled: Position, now: Instant) {
        for grant in others.running(now) {
            self.push(Grant { position: grant.position.max(settled), ..*grant }, now);
        }
    }

    /// How many are told apart.
    pub fn len(&self) -> usize {
        self.by_slot.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.by_slot.is_empty()
    }

    fn drop_expired(&mut self, now: Instant) {
        self.by_slot.retain(|_, grant| now < grant.expires);
    }

    /// The earliest position that a holder may still act on; none if all have run out.
    pub fn earliest(&self, now: Instant) -> Option<Position> {
        self.running(now).map(|grant| grant.position).min()
    }

    /// When the next one runs out.
    pub fn next_expiry(&self, now: Instant) -> Option<Instant> {
        self.running(now).map(|grant| grant.expires).min()
    }

    fn running(&self, now: Instant) -> impl Iterator<Item = &Grant> {
        self.by_slot.values().filter(move |grant| now < grant.expires)
    }
}
