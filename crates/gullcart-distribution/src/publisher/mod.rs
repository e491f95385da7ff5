//! The side of a source or relay that feeds subscribers.
//!
//! Each subscriber has a cursor into the state of the node, a window of what is on the way to it, and nothing else: one that
//! reads slowly costs its window, and holds nobody else up.

mod demand;
pub(crate) mod feed;
mod in_force;
mod requests;
mod sending;
mod session;
mod window;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use fastrand::Rng;

use self::demand::Demand;
use self::feed::Feed;
use self::in_force::InForce;
use self::session::Session;
use crate::admission::{jitter, SnapshotAdmission};
use crate::error::ProtocolError;
use crate::guards::Guards;
use crate::lease::Grant;
use crate::limits::{BACKOFF_MIN, MAX_OUTPUT_MESSAGES, NOT_READY_RETRY};
use crate::message::{EpochBegan, Message, Reason, Refused, SessionId};
use crate::position::Position;
use crate::scope::Scope;
use crate::time::Instant;

/// The driver's number for a subscriber's link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SubscriberId(pub u64);

/// The most that there was at a time since the node began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Peaks {
    /// Bytes on the way to one subscriber.
    pub window_bytes: usize,
    /// Snapshots under way.
    pub snapshots: usize,
    /// Messages that waited for the driver.
    pub output_messages: usize,
}

/// Feeds subscribers from a [`Feed`].
#[derive(Clone, Debug)]
pub(crate) struct Publisher {
    links: BTreeSet<SubscriberId>,
    sessions: BTreeMap<SubscriberId, Session>,
    demand: Demand,
    in_force: InForce,
    admission: SnapshotAdmission,
    timers: BTreeSet<(Instant, SubscriberId)>,
    output: VecDeque<(SubscriberId, Message)>,
    output_per_peer: BTreeMap<SubscriberId, usize>,
    peaks: Peaks,
    random: Rng,
    pub guards: Guards,
}

impl Publisher {
    /// Subscribers of the node want at most `max_scopes` at a time.
    pub fn new(seed: u64, max_scopes: usize) -> Self {
        Self {
            links: BTreeSet::new(),
            sessions: BTreeMap::new(),
            demand: Demand::new(max_scopes),
            in_force: InForce::default(),
            admission: SnapshotAdmission::default(),
            timers: BTreeSet::new(),
            output: VecDeque::new(),
            output_per_peer: BTreeMap::new(),
            peaks: Peaks::default(),
            random: Rng::with_seed(seed),
            guards: Guards::ALL,
        }
    }

    /// Reckons with leases of which nothing is known here, such as those that were granted before a restart.
    pub fn assume_leases(&mut self, lease: Grant, now: Instant) {
        self.in_force.gone.push(lease, now);
    }

    pub fn connected(&mut self, subscriber: SubscriberId) {
        self.links.insert(subscriber);
    }

    pub fn disconnected(&mut self, now: Instant, subscriber: SubscriberId, feed: Feed<'_>) {
        self.links.remove(&subscriber);
        self.end_session(now, subscriber, feed);
        self.output.retain(|(to, _)| *to != subscriber);
        self.output_per_peer.remove(&subscriber);
    }

    /// Takes a message from a subscriber in. An error that ends the session has ended it; the subscriber is told.
    pub fn handle(
        &mut self,
        now: Instant,
        subscriber: SubscriberId,
        message: Message,
        feed: Feed<'_>,
    ) -> Result<(), ProtocolError> {
        let session = message.session();
        let result = self.take_message(now, subscriber, message, feed);
        if result.is_err_and(|error| error.ends_session()) {
            self.refuse(now, subscriber, session, Reason::Protocol, feed);
        }
        result
    }

    /// The state has moved on from `head_before`, in these scopes.
    pub fn changed(&mut self, now: Instant, scopes: &BTreeSet<Scope>, head_before: Position, feed: Feed<'_>) {
        let concerned: BTreeSet<SubscriberId> =
            scopes.iter().flat_map(|scope| self.demand.users(*scope)).collect();
        for subscriber in concerned {
            if let Some(session) = self.sessions.get_mut(&subscriber) {
                session.mark_dirty(head_before);
            }
            self.pump(now, subscriber, feed);
        }
    }

    /// The state was replaced, or has a new lineage: sessions that can't go on from where they are end, the others are told.
    pub fn lineage_changed(&mut self, now: Instant, feed: Feed<'_>) {
        let sessions: Vec<(SubscriberId, SessionId, bool)> = self
            .sessions
            .iter()
            .map(|(subscriber, session)| (*subscriber, session.id, session.can_go_on(feed)))
            .collect();
        for (subscriber, session, goes_on) in sessions {
            if goes_on {
                let began = EpochBegan { session, lineage: feed.lineage.clone() };
                self.send(subscriber, Message::EpochBegan(began));
            } else {
                self.refuse(now, subscriber, session, Reason::Replaced, feed);
            }
        }
    }

    fn refuse(
        &mut self,
        now: Instant,
        subscriber: SubscriberId,
        session: SessionId,
        reason: Reason,
        feed: Feed<'_>,
    ) {
        self.end_session(now, subscriber, feed);
        let retry_after = BACKOFF_MIN + jitter(NOT_READY_RETRY, &mut self.random);
        self.send_refused(subscriber, session, reason, retry_after);
    }

    fn send_refused(
        &mut self,
        subscriber: SubscriberId,
        session: SessionId,
        reason: Reason,
        retry_after: std::time::Duration,
    ) {
        let retry_after_millis = u32::try_from(retry_after.as_millis()).unwrap_or(u32::MAX);
        self.send(subscriber, Message::Refused(Refused { session, reason, retry_after_millis }));
    }

    fn end_session(&mut self, now: Instant, subscriber: SubscriberId, feed: Feed<'_>) {
        let Some(session) = self.sessions.remove(&subscriber) else {
            return;
        };
        if session.in_snapshot {
            self.admission.finish();
        }
        for scope in &session.scopes {
            self.demand.remove(*scope, subscriber, now);
        }
        if self.guards.lease_of_the_gone {
            let settled = session.settled(feed.head);
            self.in_force.gone.absorb(&session.grants, settled, now);
        }
    }

    /// The position up to which changes are in force at all subscribers.
    pub fn in_force(&mut self, now: Instant, head: Position) -> Position {
        self.in_force.update(now, head, &self.sessions)
    }

    /// Whether scopes came to be wanted since the last call.
    pub fn take_demand_changed(&mut self) -> bool {
        self.demand.take_changed()
    }

    /// When a scope may cease to be wanted.
    pub fn next_demand_expiry(&self) -> Option<Instant> {
        self.demand.next_expiry()
    }

    /// The scopes that subscribers want.
    pub fn wanted_scopes(&mut self, now: Instant) -> BTreeSet<Scope> {
        self.demand.wanted(now)
    }

    pub fn next_timeout(&self, now: Instant) -> Option<Instant> {
        let frame_at = self.timers.first().map(|(at, _)| *at);
        let expiry = self.in_force.next_expiry(now, &self.sessions);
        frame_at.into_iter().chain(expiry).min()
    }

    pub fn on_timeout(&mut self, now: Instant, feed: Feed<'_>) {
        while let Some((at, subscriber)) = self.timers.first().copied() {
            if at > now {
                return;
            }
            self.timers.pop_first();
            self.pump(now, subscriber, feed);
        }
    }

    pub fn poll_output(&mut self) -> Option<(SubscriberId, Message)> {
        let (subscriber, message) = self.output.pop_front()?;
        if let Some(count) = self.output_per_peer.get_mut(&subscriber) {
            *count -= 1;
        }
        Some((subscriber, message))
    }

    /// Sessions, for figures.
    pub fn session_count(&self) -> usize {
        self.sessions.len()
    }

    /// The most that there was at a time.
    pub fn peaks(&self) -> Peaks {
        self.peaks
    }

    /// A driver takes messages after each call. What it does not take is bounded: the window bounds frames, and answers
    /// beyond the limit are dropped, so that the subscriber gives the session up.
    fn send(&mut self, subscriber: SubscriberId, message: Message) {
        let count = self.output_per_peer.entry(subscriber).or_default();
        if *count >= MAX_OUTPUT_MESSAGES {
            return;
        }
        *count += 1;
        self.output.push_back((subscriber, message));
        self.peaks.output_messages = self.peaks.output_messages.max(self.output.len());
    }
}
