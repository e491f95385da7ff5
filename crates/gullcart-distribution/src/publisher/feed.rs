//! What a publisher publishes: the state of the node, and on whose authority.

use std::time::Duration;

use crate::limits::LEASE;
use crate::position::{Lineage, Position};
use crate::scope::Scope;
use crate::store::Store;
use crate::subscriber::Subscriber;
use crate::time::Instant;

/// On whose authority leases are granted.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Authority<'a> {
    /// The node is the source; its writer's tenure ends at a moment, if that is known.
    Source {
        /// The end of the tenure.
        tenure_until: Option<Instant>,
    },
    /// The node is a relay, and has leases itself.
    Relay {
        /// Its upstream side.
        upstream: &'a Subscriber,
        /// Whether no more is handed on than is left.
        delegates: bool,
    },
}

/// The state that is published.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Feed<'a> {
    /// The entries.
    pub store: &'a Store,
    /// Up to where they go.
    pub head: Position,
    /// The history they belong to.
    pub lineage: &'a Lineage,
    /// On whose authority.
    pub authority: Authority<'a>,
}

impl Feed<'_> {
    /// Whether the content of a scope is here and sound.
    pub fn holds(&self, scope: Scope) -> bool {
        match self.authority {
            Authority::Source { .. } => true,
            Authority::Relay { upstream, .. } => upstream.holds(scope),
        }
    }

    /// For how long a lease on a scope can be granted; none if it can't.
    pub fn lease_left(&self, scope: Scope, now: Instant) -> Option<Duration> {
        let until = match self.authority {
            Authority::Source { tenure_until: None } => return Some(LEASE),
            Authority::Source { tenure_until: Some(until) } => until,
            Authority::Relay { upstream, delegates: true } => upstream.lease_until(scope, now)?,
            Authority::Relay { upstream, delegates: false } => return upstream.holds(scope).then_some(LEASE),
        };
        let left = until.since(now).min(LEASE);
        (!left.is_zero()).then_some(left)
    }

    /// Whether a subscriber at `position` can go on from there.
    pub fn can_resume(&self, position: Position) -> bool {
        self.lineage.contains(position) && self.store.floor() <= position && position <= self.head
    }

    /// Whether a subscriber at `position` has seen more than is here.
    pub fn is_behind(&self, position: Position) -> bool {
        let later_epoch = self.lineage.latest() < Some(position.epoch);
        later_epoch || (self.lineage.contains(position) && position > self.head)
    }
}
