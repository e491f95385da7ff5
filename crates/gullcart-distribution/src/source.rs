//! The source: numbers the changes of one writer per epoch, and says which of them are in force.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use crate::error::{ProtocolError, SourceError};
use crate::guards::Guards;
use crate::lease::Grant;
use crate::limits::{LEASE, MAX_ENTRIES, MAX_PENDING_CHANGES, MAX_SOURCE_SCOPES};
use crate::message::Message;
use crate::position::{Epoch, Lineage, Position, Revision};
use crate::publisher::feed::{Authority, Feed};
use crate::publisher::{Publisher, SubscriberId};
use crate::scope::{Change, Key, Scope, Value};
use crate::store::Store;
use crate::time::Instant;

/// What a writer wants: a key in a scope set or removed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Edit {
    /// The scope.
    pub scope: Scope,
    /// The key.
    pub key: Key,
    /// The new value, or nothing to remove the key.
    pub value: Option<Value>,
}

/// A change that is in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InForce {
    /// The change.
    pub position: Position,
    /// The time from its numbering until it was found in force.
    pub after: Duration,
}

/// What a source is begun with: empty, or as an earlier one left it.
#[derive(Clone, Debug)]
pub struct SourceState {
    store: Store,
    position: Position,
    lineage: Lineage,
}

impl Default for SourceState {
    fn default() -> Self {
        Self { store: Store::new(true), position: Position::ORIGIN, lineage: Lineage::default() }
    }
}

/// The state machine of the source.
#[derive(Clone, Debug)]
pub struct Source {
    state: SourceState,
    tenure_until: Option<Instant>,
    pending: VecDeque<(Position, Instant)>,
    publisher: Publisher,
    guards: Guards,
}

impl Source {
    /// A source that goes on from `state`. It takes changes once an epoch has begun.
    ///
    /// An earlier source may have granted leases until now, so nothing counts as in force before those have run out.
    pub fn new(now: Instant, state: SourceState, seed: u64) -> Self {
        let mut publisher = Publisher::new(seed, MAX_SOURCE_SCOPES);
        publisher.assume_leases(Grant::new(Position::ORIGIN, now, LEASE), now);
        Self { state, tenure_until: None, pending: VecDeque::new(), publisher, guards: Guards::ALL }
    }

    /// Takes checks out.
    #[cfg(feature = "unguarded")]
    pub fn set_guards(&mut self, guards: Guards) {
        self.guards = guards;
        self.publisher.guards = guards;
    }

    /// What a successor is begun with.
    pub fn state(&self) -> &SourceState {
        &self.state
    }

    /// Begins the epoch of a new writer; earlier writers are refused from now on.
    ///
    /// Two sources must not grant leases at a time. Whoever gives out epochs gives the next one out when the tenure of the one
    /// before has ended; see [`Self::extend_tenure`].
    pub fn begin_epoch(&mut self, now: Instant, epoch: Epoch) -> Result<(), SourceError> {
        let latest = self.epoch();
        if !self.state.lineage.begin(epoch, self.state.position.revision) {
            return Err(SourceError::OlderEpoch { latest, found: epoch });
        }
        self.state.position.epoch = epoch;
        let (publisher, feed) = self.publisher_and_feed();
        publisher.lineage_changed(now, feed);
        Ok(())
    }

    /// No lease is granted beyond this moment. A tenure only grows; before the first call it has no end, so that the first
    /// call comes before any relay is connected.
    pub fn extend_tenure(&mut self, until: Instant) {
        self.tenure_until = self.tenure_until.max(Some(until));
    }

    /// The epoch of the current writer.
    pub fn epoch(&self) -> Epoch {
        self.state.lineage.latest().unwrap_or_default()
    }

    /// The position of the last change.
    pub fn position(&self) -> Position {
        self.state.position
    }

    /// The state.
    pub fn store(&self) -> &Store {
        &self.state.store
    }

    /// Numbers a change of the writer of `epoch` and sends it out.
    pub fn change(&mut self, now: Instant, epoch: Epoch, edit: Edit) -> Result<Position, SourceError> {
        self.check_writer(epoch)?;
        self.check_room(now, &edit)?;
        let head_before = self.state.position;
        let revision = Revision(head_before.revision.0 + 1);
        let position = Position { epoch: self.epoch(), revision };
        let Edit { scope, key, value } = edit;
        self.state.store.apply(Change { scope, position, key, value });
        self.state.position = position;
        self.pending.push_back((position, now));
        let (publisher, feed) = self.publisher_and_feed();
        publisher.changed(now, &BTreeSet::from([scope]), head_before, feed);
        self.in_force(now);
        Ok(position)
    }

    fn check_writer(&self, epoch: Epoch) -> Result<(), SourceError> {
        let latest = self.epoch();
        if epoch > latest || latest == Epoch::default() {
            return Err(SourceError::UnknownEpoch(epoch));
        }
        if epoch < latest && self.guards.epoch_fence {
            return Err(SourceError::OlderEpoch { latest, found: epoch });
        }
        Ok(())
    }

    fn check_room(&mut self, now: Instant, edit: &Edit) -> Result<(), SourceError> {
        let is_new = edit.value.is_some() && self.state.store.get(edit.scope, &edit.key).is_none();
        if is_new && self.state.store.entry_count() >= MAX_ENTRIES {
            return Err(SourceError::Full);
        }
        if self.pending.len() >= MAX_PENDING_CHANGES {
            return Err(SourceError::TooManyPending(self.in_force(now).revision));
        }
        Ok(())
    }

    /// The position up to which changes are in force everywhere. It is also found out in every other call, so that
    /// [`Self::next_timeout`] knows whose lease is waited for.
    pub fn in_force(&mut self, now: Instant) -> Position {
        self.publisher.in_force(now, self.state.position)
    }

    /// The next change, in order, that is in force and was not reported yet.
    pub fn poll_in_force(&mut self, now: Instant) -> Option<InForce> {
        let (position, numbered) = self.pending.front().copied()?;
        if position > self.in_force(now) {
            return None;
        }
        self.pending.pop_front();
        Some(InForce { position, after: now - numbered })
    }

    /// A link to a relay is there.
    pub fn connected(&mut self, subscriber: SubscriberId) {
        self.publisher.connected(subscriber);
    }

    /// A link to a relay is gone.
    pub fn disconnected(&mut self, now: Instant, subscriber: SubscriberId) {
        let (publisher, feed) = self.publisher_and_feed();
        publisher.disconnected(now, subscriber, feed);
        self.in_force(now);
    }

    /// Takes a message from a relay in. After an error for which [`ProtocolError::ends_session`] is true the driver closes
    /// the link once the output is sent.
    pub fn handle(
        &mut self,
        now: Instant,
        from: SubscriberId,
        message: Message,
    ) -> Result<(), ProtocolError> {
        let (publisher, feed) = self.publisher_and_feed();
        let result = publisher.handle(now, from, message, feed);
        self.in_force(now);
        result
    }

    /// The next message, and for whom.
    pub fn poll_output(&mut self) -> Option<(SubscriberId, Message)> {
        self.publisher.poll_output()
    }

    /// When [`Self::on_timeout`] is to be called, at the latest.
    pub fn next_timeout(&self, now: Instant) -> Option<Instant> {
        self.publisher.next_timeout(now)
    }

    /// Sends what is due.
    pub fn on_timeout(&mut self, now: Instant) {
        let (publisher, feed) = self.publisher_and_feed();
        publisher.on_timeout(now, feed);
        self.in_force(now);
    }

    fn publisher_and_feed(&mut self) -> (&mut Publisher, Feed<'_>) {
        let feed = Feed {
            store: &self.state.store,
            head: self.state.position,
            lineage: &self.state.lineage,
            authority: Authority::Source { tenure_until: self.tenure_until },
        };
        (&mut self.publisher, feed)
    }
}
