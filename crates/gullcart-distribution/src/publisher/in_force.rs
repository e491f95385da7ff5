//! Up to where changes are in force at all subscribers.

use std::collections::BTreeMap;

use super::session::Session;
use super::SubscriberId;
use crate::lease::Grants;
use crate::position::Position;
use crate::time::Instant;

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
    /// Leases of subscribers that have gone and may still act.
    pub gone: Grants,
}

impl Default for InForce {
    fn default() -> Self {
        Self { position: Position::ORIGIN, blocker: Blocker::Nobody, gone: Grants::default() }
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
