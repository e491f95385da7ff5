//! A hollow courier: a subscriber of the distribution on its socket, and the engine that acts on what it holds.

use crate::courier::{CourierError, CourierSettings, HollowEngine};
use crate::layout::{CourierIndex, Endpoints};
use crate::link::{Link, LinkError, LinkShared, ReadPace};
use crate::machine::{distribution_now, sleep_until, Monotonic};
use gullcart_distribution::error::ProtocolError;
use gullcart_distribution::message::{Message, Reason};
use gullcart_distribution::position::Position;
use gullcart_distribution::scope::Scope;
use gullcart_distribution::store::Entry;
use gullcart_distribution::subscriber::{Acting, Role, Subscriber};
use gullcart_distribution::time::Instant;
use gullcart_message::{ListingUpdate, Target};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use thiserror::Error;
use tokio::net::TcpSocket;

/// The receive buffer of a courier that reads slowly: the kernel is not to read in its place.
const SLOW_RECEIVE_BUFFER: u32 = 4 << 10;

/// Why a hollow courier's state cannot be acted on.
#[derive(Debug, Error)]
pub enum HollowError {
    /// Its engine failed.
    #[error(transparent)]
    Courier(#[from] CourierError),
    /// An entry of a destination cannot be read.
    #[error("an entry of a destination cannot be read: {0}")]
    Entry(#[from] postcard::Error),
}

/// A courier has begun to act on later changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Advance {
    /// The courier.
    pub courier: CourierIndex,
    /// The last revision that it acted on before.
    pub from: u64,
    /// The last revision that it acts on now.
    pub upto: u64,
    /// From when on it did not act on what the changes replaced: when it took them in, or when its lease had run out
    /// before that.
    pub in_force: Monotonic,
}

/// Advances of the couriers of a process, until they are collected.
pub struct AdvanceLog {
    advances: RefCell<Vec<Advance>>,
    lost: Cell<u64>,
}

/// Advances that wait to be collected at most, in one process.
const MOST_ADVANCES: usize = 1 << 18;

impl Default for AdvanceLog {
    fn default() -> Self {
        AdvanceLog { advances: RefCell::default(), lost: Cell::new(0) }
    }
}

impl AdvanceLog {
    fn note(&self, advance: Advance) {
        let mut advances = self.advances.borrow_mut();
        if advances.len() < MOST_ADVANCES {
            advances.push(advance);
        } else {
            self.lost.set(self.lost.get() + 1);
        }
    }

    /// What was noted since the last time, and how much could not be.
    pub fn take(&self) -> (Vec<Advance>, u64) {
        (self.advances.take(), self.lost.take())
    }
}

/// What has become of sessions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionCounts {
    /// Links that were made.
    pub links: u64,
    /// Links that could not be made.
    pub unreachable: u64,
    /// Links that the relay closed, or that broke.
    pub broken: u64,
    /// Links that were given up as the relay did not answer in time.
    pub silent: u64,
    /// Sessions that were refused as too many snapshots were under way.
    pub busy: u64,
    /// Sessions that were refused as the relay was not ready.
    pub not_ready: u64,
    /// Sessions that were refused as the relay's limits are reached.
    pub full: u64,
    /// Sessions that were refused or ended for another reason.
    pub refused: u64,
    /// Messages that broke the protocol.
    pub errors: u64,
}

impl SessionCounts {
    /// Adds those of another courier.
    pub fn add(&mut self, other: &SessionCounts) {
        self.links += other.links;
        self.unreachable += other.unreachable;
        self.broken += other.broken;
        self.silent += other.silent;
        self.busy += other.busy;
        self.not_ready += other.not_ready;
        self.full += other.full;
        self.refused += other.refused;
        self.errors += other.errors;
    }

    fn note(&mut self, error: ProtocolError) {
        match error {
            ProtocolError::Refused(Reason::SnapshotsBusy) => self.busy += 1,
            ProtocolError::Refused(Reason::NotReady) => self.not_ready += 1,
            ProtocolError::Refused(Reason::Full) => self.full += 1,
            ProtocolError::Refused(_) => self.refused += 1,
            _ => self.errors += 1,
        }
    }
}

impl SessionCounts {
    /// Each count with its name.
    pub fn by_name(&self) -> [(&'static str, u64); 9] {
        [
            ("links", self.links),
            ("unreachable", self.unreachable),
            ("broken", self.broken),
            ("silent", self.silent),
            ("refused_busy", self.busy),
            ("refused_not_ready", self.not_ready),
            ("refused_full", self.full),
            ("refused_otherwise", self.refused),
            ("errors", self.errors),
        ]
    }
}

impl std::fmt::Display for SessionCounts {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let counts = self.by_name().map(|(name, count)| format!("{name} {count}"));
        formatter.write_str(&counts.join(", "))
    }
}

/// What a courier holds.
pub struct HollowCourier {
    courier: CourierIndex,
    subscriber: Subscriber,
    engine: HollowEngine,
    log: Rc<AdvanceLog>,
    /// The end of the longest lease that was held last: after it the courier acts on nothing.
    leased_until: Option<Instant>,
    /// Entries that the engine was told of.
    told_entries: usize,
    counts: SessionCounts,
}

impl HollowCourier {
    /// A courier without state, as it is after its start.
    pub fn new(
        courier: CourierIndex,
        scopes: Vec<Scope>,
        settings: &CourierSettings,
        log: Rc<AdvanceLog>,
    ) -> Result<Self, CourierError> {
        let seed = u64::from(courier.0) + 1;
        Ok(HollowCourier {
            courier,
            subscriber: Subscriber::new(Role::Edge, scopes, seed),
            engine: HollowEngine::new(settings, seed)?,
            log,
            leased_until: None,
            told_entries: 0,
            counts: SessionCounts::default(),
        })
    }

    /// The last revision that it holds.
    pub fn revision(&self) -> u64 {
        self.subscriber.position().revision.0
    }

    /// Whether it may act on all of its scopes now.
    pub fn is_current(&self) -> bool {
        let now = distribution_now();
        let acts = |scope: &Scope| matches!(self.subscriber.acting(now, *scope), Acting::UnderRevision(_));
        self.subscriber.scopes().iter().all(acts)
    }

    /// Endpoints that its engine knows.
    pub fn endpoints(&self) -> usize {
        self.engine.endpoints()
    }

    /// What has become of its sessions.
    pub fn counts(&self) -> SessionCounts {
        self.counts
    }

    fn next_timeout(&self) -> Option<Instant> {
        let engine = self.engine.next_turn().map(|left| distribution_now() + left);
        self.subscriber.next_timeout().into_iter().chain(engine).min()
    }

    fn on_timeout(&mut self) -> Result<(), HollowError> {
        let now = distribution_now();
        if self.subscriber.next_timeout().is_some_and(|at| at <= now) {
            self.subscriber.on_timeout(now);
            self.counts.silent += u64::from(self.subscriber.wants_close());
        }
        if self.engine.next_turn().is_some_and(|left| left.is_zero()) {
            self.engine.turn()?;
        }
        Ok(())
    }

    fn handle(&mut self, message: Message) -> Result<(), HollowError> {
        let now = distribution_now();
        let before = self.subscriber.position();
        if let Err(error) = self.subscriber.handle(now, message) {
            self.counts.note(error);
        }
        if self.subscriber.position() != before {
            self.take_changes(before)?;
        }
        self.leased_until = self.longest_lease(now).or(self.leased_until);
        Ok(())
    }

    /// The end of the longest lease that runs.
    fn longest_lease(&self, now: Instant) -> Option<Instant> {
        let until = |scope: &Scope| self.subscriber.lease_until(*scope, now);
        self.subscriber.scopes().iter().filter_map(until).max()
    }

    /// Tells the engine what has changed since a position, and notes from when on that is in force.
    fn take_changes(&mut self, before: Position) -> Result<(), HollowError> {
        let entries = self.entry_count();
        let is_whole = before == Position::ORIGIN || entries != self.told_entries;
        let since = if is_whole { Position::ORIGIN } else { before };
        let changed: Vec<(Scope, &Entry)> =
            self.entries().filter(|(_, entry)| entry.position > since).collect();
        if changed.is_empty() {
            return Ok(());
        }
        let mut targets: Vec<Target> = Vec::new();
        for (scope, entry) in changed {
            if matches!(scope, Scope::Destinations(_)) {
                let Endpoints(endpoints) = postcard::from_bytes(entry.value.as_bytes())?;
                targets.extend(endpoints);
            }
        }
        let upto = self.revision();
        self.engine.apply(ListingUpdate { rev: upto, all: is_whole, targets })?;
        self.told_entries = entries;
        if before != Position::ORIGIN {
            // Until now it acted on what it had before, if its lease lasted so long.
            let taken = Monotonic::now();
            let leased_until = self.leased_until.map(Monotonic::of_distribution);
            let in_force = leased_until.map_or(taken, |leased_until| taken.min(leased_until));
            self.log.note(Advance { courier: self.courier, from: before.revision.0, upto, in_force });
        }
        Ok(())
    }

    fn entries(&self) -> impl Iterator<Item = (Scope, &Entry)> {
        let store = self.subscriber.store();
        let scopes = self.subscriber.scopes().iter();
        let held = scopes.filter_map(move |scope| store.scope(*scope).map(|state| (*scope, state)));
        held.flat_map(|(scope, state)| state.entries().values().map(move |entry| (scope, entry)))
    }

    fn entry_count(&self) -> usize {
        self.subscriber.store().entry_count()
    }
}

/// Where a courier connects to, and how it reads.
#[derive(Clone)]
pub struct Way {
    /// Relays, the first of them first.
    pub relays: Vec<SocketAddr>,
    /// How it reads.
    pub pace: ReadPace,
    /// Shared with the other links of the process.
    pub shared: LinkShared,
}

/// Serves a courier for ever. A fault of its own ends it, and is told.
pub async fn serve_courier(courier: Rc<RefCell<HollowCourier>>, way: Way) -> HollowError {
    let mut next_relay = 0;
    loop {
        let reconnect_at = courier.borrow().subscriber.reconnect_at();
        sleep_until(Some(reconnect_at)).await;
        let address = way.relays[next_relay % way.relays.len()];
        next_relay += 1;
        match connect(address, &way).await {
            Ok(mut link) => {
                courier.borrow_mut().counts.links += 1;
                courier.borrow_mut().subscriber.connected(distribution_now());
                match serve_link(&courier, &mut link).await {
                    Ok(()) => {}
                    Err(SessionEnd::Link) => courier.borrow_mut().counts.broken += 1,
                    Err(SessionEnd::Failed(error)) => return error,
                }
                courier.borrow_mut().subscriber.disconnected(distribution_now());
            }
            // When to try again is the subscriber's to say.
            Err(_) => {
                courier.borrow_mut().counts.unreachable += 1;
                courier.borrow_mut().subscriber.connect_failed(distribution_now());
            }
        }
    }
}

async fn connect(address: SocketAddr, way: &Way) -> Result<Link, LinkError> {
    let socket = TcpSocket::new_v4()?;
    if way.pace != ReadPace::Full {
        socket.set_recv_buffer_size(SLOW_RECEIVE_BUFFER)?;
    }
    let stream = socket.connect(address).await?;
    Link::new(stream, way.shared.clone(), way.pace)
}

/// Why a link is served no longer.
enum SessionEnd {
    Link,
    Failed(HollowError),
}

impl From<LinkError> for SessionEnd {
    fn from(_: LinkError) -> Self {
        SessionEnd::Link
    }
}

impl From<HollowError> for SessionEnd {
    fn from(error: HollowError) -> Self {
        SessionEnd::Failed(error)
    }
}

async fn serve_link(courier: &RefCell<HollowCourier>, link: &mut Link) -> Result<(), SessionEnd> {
    loop {
        send_output(courier, link)?;
        if courier.borrow().subscriber.wants_close() {
            return Ok(());
        }
        let timeout = courier.borrow().next_timeout();
        tokio::select! {
            ready = link.ready() => {
                ready?;
                link.read()?;
                while let Some(message) = link.next_message()? {
                    courier.borrow_mut().handle(message)?;
                }
            }
            () = sleep_until(timeout) => courier.borrow_mut().on_timeout()?,
        }
    }
}

fn send_output(courier: &RefCell<HollowCourier>, link: &mut Link) -> Result<(), LinkError> {
    while let Some(message) = courier.borrow_mut().subscriber.poll_output() {
        link.queue(&message)?;
    }
    link.flush()
}
