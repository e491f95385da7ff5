//! A relay: a subscriber upstream, and a publisher of what its own subscribers want.

use std::collections::BTreeSet;

use crate::error::ProtocolError;
use crate::guards::Guards;
use crate::limits::{MAX_SCOPES, RESCOPE_DELAY};
use crate::message::Message;
use crate::position::{Lineage, Position};
use crate::publisher::feed::{Authority, Feed};
use crate::publisher::{Peaks, Publisher, SubscriberId};
use crate::scope::Scope;
use crate::subscriber::{Role, Subscriber};
use crate::time::Instant;

/// Who is at the other end of one of a relay's links.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PeerId {
    /// The source, or the relay above.
    Upstream,
    /// A subscriber: a courier, or a relay below.
    Subscriber(SubscriberId),
}

/// The state machine of a relay.
#[derive(Clone, Debug)]
pub struct Relay {
    upstream: Subscriber,
    publisher: Publisher,
    /// When the scopes that are wanted are asked for.
    rescope_at: Option<Instant>,
    guards: Guards,
}

/// What has to be compared after the upstream side has taken something in.
struct Before {
    head: Position,
    lineage: Lineage,
    floor: Position,
}

impl Before {
    fn of(upstream: &Subscriber) -> Self {
        Self {
            head: upstream.position(),
            lineage: upstream.lineage().clone(),
            floor: upstream.store().floor(),
        }
    }
}

impl Relay {
    /// A relay without state and subscribers.
    pub fn new(seed: u64) -> Self {
        Self {
            upstream: Subscriber::new(Role::Relay, [], seed),
            publisher: Publisher::new(seed.wrapping_add(1), MAX_SCOPES),
            rescope_at: None,
            guards: Guards::ALL,
        }
    }

    /// Takes checks out.
    #[cfg(feature = "unguarded")]
    pub fn set_guards(&mut self, guards: Guards) {
        self.guards = guards;
        self.upstream.set_guards(guards);
        self.publisher.guards = guards;
    }

    /// Its upstream side, to spoil it.
    #[cfg(feature = "unguarded")]
    pub fn upstream_mut(&mut self) -> &mut Subscriber {
        &mut self.upstream
    }

    /// Its upstream side: the state, and when to connect again.
    pub fn upstream(&self) -> &Subscriber {
        &self.upstream
    }

    /// A link is there.
    pub fn connected(&mut self, now: Instant, peer: PeerId) {
        match peer {
            PeerId::Upstream => self.upstream.connected(now),
            PeerId::Subscriber(subscriber) => self.publisher.connected(subscriber),
        }
    }

    /// An attempt to connect upstream has failed; see [`Subscriber::reconnect_at`].
    pub fn connect_failed(&mut self, now: Instant) {
        self.upstream.connect_failed(now);
    }

    /// A link is gone.
    pub fn disconnected(&mut self, now: Instant, peer: PeerId) {
        match peer {
            PeerId::Upstream => self.upstream.disconnected(now),
            PeerId::Subscriber(subscriber) => {
                let (publisher, feed) = self.publisher_and_feed();
                publisher.disconnected(now, subscriber, feed);
                self.after_downstream(now);
            }
        }
    }

    /// Takes a message in. After an error for which [`ProtocolError::ends_session`] is true the driver closes that link once
    /// the output is sent.
    pub fn handle(&mut self, now: Instant, from: PeerId, message: Message) -> Result<(), ProtocolError> {
        match from {
            PeerId::Upstream => {
                let before = Before::of(&self.upstream);
                let result = self.upstream.handle(now, message);
                self.after_upstream(now, before);
                result
            }
            PeerId::Subscriber(subscriber) => {
                let (publisher, feed) = self.publisher_and_feed();
                let result = publisher.handle(now, subscriber, message, feed);
                self.after_downstream(now);
                result
            }
        }
    }

    /// Whether the upstream link is of no more use; see [`Subscriber::wants_close`].
    pub fn wants_upstream_close(&self) -> bool {
        self.upstream.wants_close()
    }

    /// The next message, and for whom.
    pub fn poll_output(&mut self) -> Option<(PeerId, Message)> {
        if let Some(message) = self.upstream.poll_output() {
            return Some((PeerId::Upstream, message));
        }
        let (subscriber, message) = self.publisher.poll_output()?;
        Some((PeerId::Subscriber(subscriber), message))
    }

    /// When [`Self::on_timeout`] is to be called, at the latest.
    pub fn next_timeout(&self, now: Instant) -> Option<Instant> {
        let parts = [self.upstream.next_timeout(), self.publisher.next_timeout(now), self.rescope_at];
        parts.into_iter().flatten().min()
    }

    /// Sends what is due.
    pub fn on_timeout(&mut self, now: Instant) {
        self.upstream.on_timeout(now);
        let (publisher, feed) = self.publisher_and_feed();
        publisher.on_timeout(now, feed);
        if self.rescope_at.is_some_and(|at| at <= now) {
            self.rescope(now);
        }
        self.report_in_force(now);
    }

    /// Up to where changes are in force at the relay's subscribers.
    pub fn in_force(&mut self, now: Instant) -> Position {
        self.publisher.in_force(now, self.upstream.position())
    }

    /// Sessions with subscribers.
    pub fn session_count(&self) -> usize {
        self.publisher.session_count()
    }

    /// The most that there was at a time.
    pub fn peaks(&self) -> Peaks {
        self.publisher.peaks()
    }

    fn after_upstream(&mut self, now: Instant, before: Before) {
        let lineage_changed = *self.upstream.lineage() != before.lineage;
        let replaced = self.upstream.store().floor() != before.floor;
        let touched = self.upstream.take_touched();
        let (publisher, feed) = self.publisher_and_feed();
        if lineage_changed || replaced {
            publisher.lineage_changed(now, feed);
        }
        if !touched.is_empty() {
            publisher.changed(now, &touched, before.head, feed);
        }
        self.report_in_force(now);
    }

    fn after_downstream(&mut self, now: Instant) {
        self.schedule_rescope(now);
        self.report_in_force(now);
    }

    fn report_in_force(&mut self, now: Instant) {
        let in_force = self.in_force(now);
        self.upstream.report_in_force(in_force);
    }

    /// Scopes are gathered for a moment, as subscribers come in crowds.
    fn schedule_rescope(&mut self, now: Instant) {
        if self.publisher.take_demand_changed() {
            let at = now + RESCOPE_DELAY;
            self.rescope_at = Some(self.rescope_at.map_or(at, |planned| planned.min(at)));
        } else if self.rescope_at.is_none() {
            self.rescope_at = self.publisher.next_demand_expiry();
        }
    }

    fn rescope(&mut self, now: Instant) {
        let wanted = self.publisher.wanted_scopes(now);
        self.rescope_at = self.publisher.next_demand_expiry();
        let add: BTreeSet<Scope> = wanted.difference(self.upstream.scopes()).copied().collect();
        let remove: BTreeSet<Scope> = self.upstream.scopes().difference(&wanted).copied().collect();
        self.upstream.rescope(&add, &remove);
    }

    fn publisher_and_feed(&mut self) -> (&mut Publisher, Feed<'_>) {
        let authority =
            Authority::Relay { upstream: &self.upstream, delegates: self.guards.lease_delegation };
        let feed = Feed {
            store: self.upstream.store(),
            head: self.upstream.position(),
            lineage: self.upstream.lineage(),
            authority,
        };
        (&mut self.publisher, feed)
    }
}
