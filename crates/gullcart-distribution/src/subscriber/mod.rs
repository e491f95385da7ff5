//! A subscriber: holds the state of its scopes, a lease on each, and asks for repair where a digest does not fit.
//!
//! A courier uses it directly; a relay has one for its upstream side.

mod frames;
mod progress;
mod renewal;
mod scopes;
mod session;
mod staging;

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use fastrand::Rng;

use self::session::Session;
use self::staging::Staged;
use crate::admission::{jitter, Backoff};
use crate::error::ProtocolError;
use crate::guards::Guards;
use crate::lease::Leases;
use crate::limits::{MAX_OUTPUT_MESSAGES, RELAY_RENEW_INTERVAL, SUBSCRIBER_RENEW_INTERVAL};
use crate::message::{Message, SessionId, Subscribe};
use crate::position::{Epoch, Lineage, Position};
use crate::scope::Scope;
use crate::store::Store;
use crate::time::Instant;

/// What a subscriber is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It acts on the state itself.
    Edge,
    /// It feeds others, keeps the history for them, and answers for what they act on.
    Relay,
}

/// Whether the state of a scope may be acted on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acting {
    /// Yes: it is that of the source at this position, and a lease on it runs.
    UnderRevision(Position),
    /// No: it may have been replaced. What was known last is kept, and the caller falls back on what is safe in any case.
    NotCurrent,
}

/// The state machine of a subscriber.
#[derive(Clone, Debug)]
pub struct Subscriber {
    role: Role,
    scopes: BTreeSet<Scope>,
    /// Scopes whose content is that of the relay.
    held: BTreeSet<Scope>,
    store: Store,
    position: Position,
    lineage: Lineage,
    /// The latest epoch that was heard of, even if its state is not here yet.
    latest_epoch: Epoch,
    staged: Option<Staged>,
    /// Scopes touched since they were last asked for; kept by relays only.
    touched: BTreeSet<Scope>,
    leases: Leases,
    in_force: Position,
    session: Option<Session>,
    last_session: SessionId,
    backoff: Backoff,
    reconnect_at: Instant,
    output: VecDeque<Message>,
    random: Rng,
    guards: Guards,
}

impl Subscriber {
    /// A subscriber without state. `seed` is for the jitter of its timers.
    pub fn new(role: Role, scopes: impl IntoIterator<Item = Scope>, seed: u64) -> Self {
        Self {
            role,
            scopes: scopes.into_iter().collect(),
            held: BTreeSet::new(),
            store: Store::new(role == Role::Relay),
            position: Position::ORIGIN,
            lineage: Lineage::default(),
            latest_epoch: Epoch(0),
            staged: None,
            touched: BTreeSet::new(),
            leases: Leases::default(),
            in_force: Position::ORIGIN,
            session: None,
            last_session: SessionId(0),
            backoff: Backoff::default(),
            reconnect_at: Instant::default(),
            output: VecDeque::new(),
            random: Rng::with_seed(seed),
            guards: Guards::ALL,
        }
    }

    /// Takes checks out.
    #[cfg(feature = "unguarded")]
    pub fn set_guards(&mut self, guards: Guards) {
        self.guards = guards;
    }

    /// Its store, to spoil it.
    #[cfg(feature = "unguarded")]
    pub fn store_mut(&mut self) -> &mut Store {
        &mut self.store
    }

    /// Whether the state of `scope` may be acted on now.
    pub fn acting(&self, now: Instant, scope: Scope) -> Acting {
        let leased = self.leases.until(scope, now).is_some() || !self.guards.lease_check;
        if leased && self.held.contains(&scope) {
            Acting::UnderRevision(self.position)
        } else {
            Acting::NotCurrent
        }
    }

    /// The state, current or not.
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// Up to where its state goes.
    pub fn position(&self) -> Position {
        self.position
    }

    /// The epochs of the history that its state belongs to.
    pub fn lineage(&self) -> &Lineage {
        &self.lineage
    }

    /// The scopes that it subscribes to.
    pub fn scopes(&self) -> &BTreeSet<Scope> {
        &self.scopes
    }

    /// Whether the content of a scope is that of the relay, as far as is known.
    pub fn holds(&self, scope: Scope) -> bool {
        self.held.contains(&scope)
    }

    /// The end of the lease on a scope, if it has not run out and the scope is sound.
    pub fn lease_until(&self, scope: Scope, now: Instant) -> Option<Instant> {
        self.leases.until(scope, now).filter(|_| self.holds(scope))
    }

    /// Changes that are staged and not applied.
    pub fn staged_len(&self) -> usize {
        self.staged.as_ref().map_or(0, Staged::len)
    }

    /// The link to the relay is there: a session is begun.
    pub fn connected(&mut self, now: Instant) {
        let id = SessionId(self.last_session.0 + 1);
        self.last_session = id;
        self.output.clear();
        self.session = Some(Session::new(id, now, self.scopes.clone()));
        let resume = self.staged.as_ref().map_or(self.position, |staged| staged.cursor);
        let subscribe = Subscribe {
            session: id,
            scopes: self.scopes.iter().copied().collect(),
            resume: (resume != Position::ORIGIN).then_some(resume),
            history: self.role == Role::Relay,
        };
        self.send(Message::Subscribe(subscribe));
    }

    /// The link to the relay is gone. Leases run on; [`Self::reconnect_at`] says when to connect again.
    pub fn disconnected(&mut self, now: Instant) {
        self.output.clear();
        let broke_off = self.session.take().is_some();
        if broke_off {
            self.wait_before_reconnecting(now);
        }
    }

    /// An attempt to connect has failed; [`Self::reconnect_at`] says when to try again.
    pub fn connect_failed(&mut self, now: Instant) {
        self.wait_before_reconnecting(now);
    }

    /// When to connect again, while there is no link; to another relay, if there is one.
    pub fn reconnect_at(&self) -> Instant {
        self.reconnect_at
    }

    /// Whether the link is of no more use: the driver closes it, calls [`Self::disconnected`], and connects again at
    /// [`Self::reconnect_at`].
    pub fn wants_close(&self) -> bool {
        self.session.is_none()
    }

    /// Takes a message from the relay in. After an error the state is as before; if it ends the session,
    /// [`Self::wants_close`] is true.
    pub fn handle(&mut self, now: Instant, message: Message) -> Result<(), ProtocolError> {
        let result = self.take_message(now, message);
        if result.is_err_and(|error| error.ends_session()) && self.session.take().is_some() {
            self.wait_before_reconnecting(now);
        }
        result
    }

    fn take_message(&mut self, now: Instant, message: Message) -> Result<(), ProtocolError> {
        let session = self.session.as_ref().ok_or(ProtocolError::OtherSession)?;
        if message.session() != session.id {
            return Err(ProtocolError::OtherSession);
        }
        if !message.is_well_formed() {
            return Err(ProtocolError::Malformed);
        }
        match message {
            Message::Welcome(welcome) => self.take_welcome(now, welcome),
            Message::EpochBegan(began) => self.take_lineage(began.lineage),
            Message::Frame(frame) => self.take_frame(now, frame),
            Message::ScopeDigests(digests) => self.take_digests(digests),
            Message::Renewed(renewed) => self.take_renewed(now, renewed),
            Message::NotRenewed(answer) => self.take_not_renewed(now, answer),
            Message::Refused(refused) => {
                self.session = None;
                self.reconnect_at = now + refused.retry_after();
                Err(ProtocolError::Refused(refused.reason))
            }
            _ => Err(ProtocolError::WrongDirection),
        }
    }

    /// The next message for the relay.
    pub fn poll_output(&mut self) -> Option<Message> {
        self.output.pop_front()
    }

    /// When [`Self::on_timeout`] is to be called, at the latest.
    pub fn next_timeout(&self) -> Option<Instant> {
        let session = self.session.as_ref()?;
        let renew_at = session.accepted.then_some(session.renew_at);
        Some(renew_at.map_or(session.gives_up_at(), |at| at.min(session.gives_up_at())))
    }

    /// Sends what is due, and gives the session up if the relay has been silent for too long.
    pub fn on_timeout(&mut self, now: Instant) {
        let Some(session) = &mut self.session else {
            return;
        };
        if session.gives_up_at() <= now {
            self.session = None;
            self.wait_before_reconnecting(now);
            return;
        }
        if session.accepted && session.renew_at <= now {
            self.repeat_requests(now);
            self.send_renewal(now);
        }
    }

    /// The scopes that were touched since the last call, for a relay to feed its own subscribers.
    pub(crate) fn take_touched(&mut self) -> BTreeSet<Scope> {
        std::mem::take(&mut self.touched)
    }

    fn wait_before_reconnecting(&mut self, now: Instant) {
        self.reconnect_at = now + self.backoff.next_wait(&mut self.random);
    }

    fn renew_interval(&mut self) -> Duration {
        let interval = match self.role {
            Role::Edge => SUBSCRIBER_RENEW_INTERVAL,
            Role::Relay => RELAY_RENEW_INTERVAL,
        };
        // Up to a tenth less, so that those who began together drift apart.
        interval - jitter(interval / 10, &mut self.random)
    }

    /// Messages are taken by the driver after each call. If they are not, the session ends rather than memory grows.
    fn send(&mut self, message: Message) {
        if self.output.len() >= MAX_OUTPUT_MESSAGES + self.scopes.len() {
            self.output.clear();
            self.session = None;
            return;
        }
        self.output.push_back(message);
    }
}
