//! The side of a source or relay that feeds subscribers.
//!
//! Each subscriber has a cursor into the state of the node, a window of what is on the way to it, and nothing else: one that
//! reads slowly costs its window, and holds nobody else up.

mod demand;
pub(crate) mod feed;
mod in_force;
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
use crate::limits::{BACKOFF_MIN, MAX_OUTPUT_MESSAGES, MAX_PEERS, MAX_SCOPES, NOT_READY_RETRY};
use crate::message::{
    EpochBegan, Message, Reason, Refused, Renew, RequestRepair, Rescope, SessionId, Start, Subscribe, Welcome,
};
use crate::position::Position;
use crate::scope::Scope;
use crate::time::Instant;

/// The driver's number for a subscriber's link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SubscriberId(pub u64);

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
    random: Rng,
    pub guards: Guards,
}

impl Publisher {
    pub fn new(seed: u64) -> Self {
        Self {
            links: BTreeSet::new(),
            sessions: BTreeMap::new(),
            demand: Demand::default(),
            in_force: InForce::default(),
            admission: SnapshotAdmission::default(),
            timers: BTreeSet::new(),
            output: VecDeque::new(),
            output_per_peer: BTreeMap::new(),
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

    fn take_message(
        &mut self,
        now: Instant,
        subscriber: SubscriberId,
        message: Message,
        feed: Feed<'_>,
    ) -> Result<(), ProtocolError> {
        if !self.links.contains(&subscriber) {
            return Err(ProtocolError::UnknownPeer);
        }
        if !message.is_well_formed() {
            return Err(ProtocolError::Malformed);
        }
        let session = match message {
            Message::Subscribe(subscribe) => {
                self.take_subscribe(now, subscriber, subscribe, feed);
                return Ok(());
            }
            other => self.session_of(subscriber, other.session()).map(|session| (session, other))?,
        };
        match session {
            (session, Message::Acknowledge(message)) => session.note_progress(message.progress),
            (session, Message::Renew(message)) => {
                session.note_progress(message.progress);
                self.take_renew(now, subscriber, message, feed);
                return Ok(());
            }
            (session, Message::RequestRepair(message)) => take_repair_request(session, message)?,
            (_, Message::Rescope(message)) => self.take_rescope(now, subscriber, message, feed)?,
            _ => return Err(ProtocolError::WrongDirection),
        }
        self.pump(now, subscriber, feed);
        Ok(())
    }

    fn session_of(&mut self, subscriber: SubscriberId, id: SessionId) -> Result<&mut Session, ProtocolError> {
        let session = self.sessions.get_mut(&subscriber).filter(|session| session.id == id);
        session.ok_or(ProtocolError::OtherSession)
    }

    fn take_subscribe(&mut self, now: Instant, subscriber: SubscriberId, message: Subscribe, feed: Feed<'_>) {
        self.end_session(now, subscriber, feed);
        let scopes: BTreeSet<Scope> = message.scopes.into_iter().collect();
        match self.begin(now, &scopes, message.resume, feed) {
            Ok(resume) => {
                let session = Session::new(message.session, scopes, message.history, resume, feed);
                self.welcome(subscriber, &session, feed);
                session.scopes.iter().for_each(|scope| self.demand.add(*scope, subscriber));
                self.sessions.insert(subscriber, session);
                self.pump(now, subscriber, feed);
            }
            Err((reason, retry_after)) => self.send_refused(subscriber, message.session, reason, retry_after),
        }
    }

    /// Decides whether a session begins: from the position returned, or with a snapshot if there is none.
    fn begin(
        &mut self,
        now: Instant,
        scopes: &BTreeSet<Scope>,
        resume: Option<Position>,
        feed: Feed<'_>,
    ) -> Result<Option<Position>, (Reason, std::time::Duration)> {
        if self.sessions.len() >= MAX_PEERS || !self.demand.has_room_for(scopes) {
            return Err((Reason::Full, self.soon()));
        }
        let is_ready = feed.lineage.latest().is_some() && scopes.iter().all(|scope| feed.holds(*scope));
        if !is_ready {
            scopes.iter().for_each(|scope| self.demand.ask(*scope, now));
            return Err((Reason::NotReady, self.soon()));
        }
        if resume.is_some_and(|position| feed.is_behind(position)) {
            return Err((Reason::Behind, self.soon()));
        }
        let resume = resume.filter(|position| feed.can_resume(*position));
        if resume.is_none() && self.guards.admission {
            let admitted = self.admission.admit(now, &mut self.random);
            admitted.map_err(|retry_after| (Reason::SnapshotsBusy, retry_after))?;
        }
        Ok(resume)
    }

    fn soon(&mut self) -> std::time::Duration {
        NOT_READY_RETRY + jitter(NOT_READY_RETRY, &mut self.random)
    }

    fn welcome(&mut self, subscriber: SubscriberId, session: &Session, feed: Feed<'_>) {
        let start = if session.in_snapshot { Start::Snapshot } else { Start::Resume };
        let floor = if session.history { feed.store.floor() } else { feed.head };
        let lineage = feed.lineage.clone();
        self.send(subscriber, Message::Welcome(Welcome { session: session.id, start, lineage, floor }));
    }

    fn take_renew(&mut self, now: Instant, subscriber: SubscriberId, message: Renew, feed: Feed<'_>) {
        self.send_frames(now, subscriber, feed, Pace::AtOnce);
        let Some(session) = self.sessions.get_mut(&subscriber) else {
            return;
        };
        let answer = session.answer_renewal(now, message.renewal, feed);
        self.send(subscriber, answer);
        self.pump(now, subscriber, feed);
    }

    fn take_rescope(
        &mut self,
        now: Instant,
        subscriber: SubscriberId,
        message: Rescope,
        feed: Feed<'_>,
    ) -> Result<(), ProtocolError> {
        let added: BTreeSet<Scope> = message.add.into_iter().collect();
        let Some(session) = self.sessions.get_mut(&subscriber) else {
            return Err(ProtocolError::OtherSession);
        };
        if session.scopes.len() + added.len() > MAX_SCOPES || !self.demand.has_room_for(&added) {
            return Err(ProtocolError::Malformed);
        }
        for scope in &message.remove {
            session.scopes.remove(scope);
            session.cancel_repair(*scope);
            self.demand.remove(*scope, subscriber, now);
        }
        session.scopes.extend(&added);
        // What was passed over in the added scopes so far may lie behind the cursor.
        session.mark_dirty(feed.head);
        added.iter().for_each(|scope| self.demand.add(*scope, subscriber));
        Ok(())
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

    /// Sends what may be sent to a subscriber and sets its timer for the rest.
    fn pump(&mut self, now: Instant, subscriber: SubscriberId, feed: Feed<'_>) {
        self.send_frames(now, subscriber, feed, Pace::Spaced);
        let Some(session) = self.sessions.get_mut(&subscriber) else {
            return;
        };
        if session.in_snapshot && !session.mid_transfer {
            session.in_snapshot = false;
            self.admission.finish();
        }
        if session.dirty && session.window.has_room() {
            self.timers.insert((session.next_frame_at.max(now), subscriber));
        }
    }

    fn send_frames(&mut self, now: Instant, subscriber: SubscriberId, feed: Feed<'_>, pace: Pace) {
        let has_window = self.guards.window;
        while let Some(session) = self.sessions.get_mut(&subscriber) {
            let has_room = session.window.has_room() || !has_window;
            let is_early = pace == Pace::Spaced && now < session.next_frame_at;
            let must_wait = session.dirty && !session.mid_transfer && is_early;
            if !has_room || must_wait {
                return;
            }
            if !session.has_all_removals(feed) {
                let id = session.id;
                self.refuse(now, subscriber, id, Reason::Replaced, feed);
                return;
            }
            let Some(frame) = session.next_frame(now, feed) else {
                return;
            };
            self.send(subscriber, Message::Frame(frame));
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

    /// Bytes that are on their way to one subscriber, at most.
    pub fn largest_window(&self) -> usize {
        self.sessions.values().map(|session| session.window.bytes()).max().unwrap_or(0)
    }

    /// Snapshots under way.
    pub fn snapshots_under_way(&self) -> usize {
        self.admission.under_way()
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
    }
}

/// How frames follow on each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pace {
    /// As far as the window goes.
    AtOnce,
    /// Those with changes at least [`crate::limits::FRAME_INTERVAL`] apart.
    Spaced,
}

fn take_repair_request(session: &mut Session, message: RequestRepair) -> Result<(), ProtocolError> {
    if !session.scopes.contains(&message.scope) {
        return Err(ProtocolError::NotSubscribed(message.scope));
    }
    session.request_repair(message.scope, message.digests);
    Ok(())
}
