//! Up to where changes are in force at all subscribers.

use std::collections::BTreeMap;

use super::session::Session;
use super::SubscriberId;
use crate::lease::Grant;
use crate::position::Position;
use crate::time::Instant;

/// Leases of subscribers that have gone. Beyond this many, they are joined on the safe side.
const MAX_GONE: usize = 64;

/// Leases of subscribers that have gone and may still act.
#[derive(Clone, Debug, Default)]
pub(super) struct GoneHolders {
    leases: Vec<Grant>,
}

impl GoneHolders {
    /// Notes a lease that may run on.
    pub fn push(&mut self, lease: Grant, now: Instant) {
        self.leases.retain(|lease| now < lease.expires);
        self.leases.push(lease);
        if self.leases.len() > MAX_GONE {
            self.join_all();
        }
    }

    fn join_all(&mut self) {
        let position = self.leases.iter().map(|lease| lease.position).min();
        let expires = self.leases.iter().map(|lease| lease.expires).max();
        self.leases.clear();
        if let (Some(position), Some(expires)) = (position, expires) {
            self.leases.push(Grant { position, expires });
        }
    }

    fn earliest(&self, now: Instant) -> Option<Position> {
        self.running(now).map(|lease| lease.position).min()
    }

    fn next_expiry(&self, now: Instant) -> Option<Instant> {
        self.running(now).map(|lease| lease.expires).min()
    }

    fn running(&self, now: Instant) -> impl Iterator<Item = &Grant> {
        self.leases.iter().filter(move |lease| now < lease.expires)
    }
}

/// What kept changes from being in force when it was last looked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Blocker {
    Nobody,
    Subscriber(SubscriberId),
    Gone,
}

/// Remembers who is last, as only that one can let the position move on.
#[derive(Clone, Debug)]
pub(super) struct InForce {
    position: Position,
    blocker: Blocker,
    pub gone: GoneHolders,
}

impl Default for InForce {
    fn default() -> Self {
        Self { position: Position::ORIGIN, blocker: Blocker::Nobody, gone: GoneHolders::default() }
    }
}

impl InForce {
    /// The position up to which changes are in force. It never goes back.
    pub fn update(
        &mut self,
        now: Instant,
        head: Position,
        sessions: &BTreeMap<SubscriberId, Session>,
    ) -> Position {
        if self.position >= head || self.is_blocked_still(now, head, sessions) {
            return self.position;
        }
        let gone = self.gone.earliest(now).map(|position| (position, Blocker::Gone));
        let present = sessions
            .iter()
            .map(|(id, session)| (session.in_force(now, head), Blocker::Subscriber(*id)))
            .min_by_key(|(position, _)| *position);
        let last = present.into_iter().chain(gone).min_by_key(|(position, _)| *position);
        let (position, blocker) = last.unwrap_or((head, Blocker::Nobody));
        self.blocker = if position < head { blocker } else { Blocker::Nobody };
        self.position = self.position.max(position.min(head));
        self.position
    }

    fn is_blocked_still(
        &self,
        now: Instant,
        head: Position,
        sessions: &BTreeMap<SubscriberId, Session>,
    ) -> bool {
        let blocked_at = match self.blocker {
            Blocker::Nobody => return false,
            Blocker::Subscriber(id) => sessions.get(&id).map(|session| session.in_force(now, head)),
            Blocker::Gone => self.gone.earliest(now),
        };
        blocked_at.is_some_and(|position| position <= self.position)
    }

    /// When a lease runs out that may let the position move on.
    pub fn next_expiry(&self, now: Instant, sessions: &BTreeMap<SubscriberId, Session>) -> Option<Instant> {
        match self.blocker {
            Blocker::Nobody => None,
            Blocker::Subscriber(id) => sessions.get(&id)?.grants.next_expiry(now),
            Blocker::Gone => self.gone.next_expiry(now),
        }
    }
}
