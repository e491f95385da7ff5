//! Slots for clients' connections, and which connection is closed when slots run short. Without sockets: each connection
//! reports its own state.

use gullcart_engine::ClientId;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, Semaphore};
use tokio::time::{timeout, Instant};

/// While slots are short, a connection with an incomplete request may be closed once nothing of the request has arrived for
/// this long: clients wait no longer for a reply.
const STALLED_REQUEST_MIN_AGE: Duration = Duration::from_millis(400);
/// While slots are short, a connection without a request is closed before idle ones once it is this old: its first request is
/// not expected any more.
const NEW_CONNECTION_MIN_AGE: Duration = Duration::from_millis(250);
/// While slots are short, a connection whose request arrives slowly may be closed, after all others, once it has taken this
/// long.
const SLOW_REQUEST_MIN_AGE: Duration = Duration::from_millis(2500);
/// A draining connection keeps its slot for at least this long, which its client needs to notice the shutdown and close.
const DRAINING_MIN_AGE: Duration = Duration::from_millis(20);
/// One slot in this many is kept free, and at least one, so that a new connection need not wait for another one to close.
const SPARE_SLOTS_DIVISOR: usize = 8;

/// Limits on clients' connections.
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    /// Open connections.
    pub max_connections: usize,
    /// Connections between two requests. Clients limit how many connections they open, so connections that stay open after one
    /// request would leave them none for further requests.
    pub max_idle: usize,
    /// Requests longer than a few KiB that are read at the same time.
    pub max_long_requests: usize,
}

/// The state of a connection, which decides on the order of closing when slots are short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// No request has arrived yet.
    New,
    /// Between two requests.
    Idle,
    /// Part of a request has arrived.
    PartialRequest,
    /// A request is being handled.
    Busy,
    /// The sending side is shut down; what the client still sends is discarded until it closes too.
    Draining,
    /// It was asked to close.
    Closing,
}

/// The slots of the clients' connections.
pub struct ConnectionSlots {
    max_connections: usize,
    max_idle: usize,
    table: RefCell<ConnectionTable>,
    /// Notified when a connection has closed or changed its state.
    changed: Notify,
    long_requests: Semaphore,
}

/// The open connections by id.
#[derive(Default)]
struct ConnectionTable {
    last_id: u64,
    connections: BTreeMap<u64, ConnectionEntry>,
}

/// An open connection.
struct ConnectionEntry {
    state: ConnectionState,
    state_since: Instant,
    /// When a part of a request last arrived.
    last_progress: Instant,
    /// Asks the connection's task to close it.
    close_request: Rc<Notify>,
}

/// The rank in the order of closing, the lowest first; none if the connection may not be closed. `state_age` is the time since
/// the state was entered, `since_progress` the time since a part of the request arrived. Draining connections are of no further
/// use; a new connection whose first request is overdue goes before idle ones, which are used now and then; one whose request
/// is still arriving goes last, and not while its client may be waiting.
fn eviction_rank(state: ConnectionState, state_age: Duration, since_progress: Duration) -> Option<u8> {
    match state {
        ConnectionState::Draining if state_age >= DRAINING_MIN_AGE => Some(0),
        ConnectionState::New if state_age >= NEW_CONNECTION_MIN_AGE => Some(1),
        ConnectionState::PartialRequest if since_progress >= STALLED_REQUEST_MIN_AGE => Some(2),
        ConnectionState::Idle => Some(3),
        ConnectionState::New => Some(4),
        ConnectionState::PartialRequest if state_age >= SLOW_REQUEST_MIN_AGE => Some(5),
        ConnectionState::PartialRequest
        | ConnectionState::Busy
        | ConnectionState::Closing
        | ConnectionState::Draining => None,
    }
}

impl ConnectionEntry {
    fn eviction_rank(&self, now: Instant) -> Option<(u8, Instant)> {
        eviction_rank(self.state, now - self.state_since, now - self.last_progress)
            .map(|rank| (rank, self.state_since))
    }

    /// Asks the connection to close.
    fn request_close(&mut self) {
        self.state = ConnectionState::Closing;
        self.close_request.notify_one();
    }
}

impl ConnectionSlots {
    /// Slots within `limits`, all of them free.
    pub fn new(limits: ClientLimits) -> Self {
        ConnectionSlots {
            max_connections: limits.max_connections,
            max_idle: limits.max_idle,
            table: RefCell::default(),
            changed: Notify::new(),
            long_requests: Semaphore::new(limits.max_long_requests),
        }
    }

    /// Number of open connections.
    pub fn open_count(&self) -> usize {
        self.table.borrow().connections.len()
    }

    /// Number of open connections that are not draining.
    pub fn active_count(&self) -> usize {
        self.table
            .borrow()
            .connections
            .values()
            .filter(|entry| entry.state != ConnectionState::Draining)
            .count()
    }

    /// Permits for requests longer than a few KiB.
    pub fn long_requests(&self) -> &Semaphore {
        &self.long_requests
    }

    /// Enters a new connection.
    pub fn add(self: Rc<Self>) -> ConnectionSlot {
        let close_request = Rc::new(Notify::new());
        let id = {
            let mut table = self.table.borrow_mut();
            table.last_id += 1;
            let id = table.last_id;
            let now = Instant::now();
            let entry = ConnectionEntry {
                state: ConnectionState::New,
                state_since: now,
                last_progress: now,
                close_request: close_request.clone(),
            };
            table.connections.insert(id, entry);
            id
        };
        ConnectionSlot { id, close_request, slots: self }
    }

    /// Waits until a slot is free. Keeps some spare slots besides by asking the connections ranked first to close; it asks no
    /// more of them, however long they take.
    pub async fn wait_for_slot(&self) {
        let spare_slots = (self.max_connections / SPARE_SLOTS_DIVISOR).max(1);
        loop {
            while self.staying_count() + spare_slots > self.max_connections && self.evict_one() {}
            if self.open_count() < self.max_connections {
                return;
            }
            self.close_drained();
            // Connections that may not be closed now may be later.
            let _ = timeout(DRAINING_MIN_AGE, self.changed.notified()).await;
        }
    }

    /// Number of connections that were not asked to close.
    fn staying_count(&self) -> usize {
        let is_leaving =
            |state: ConnectionState| matches!(state, ConnectionState::Draining | ConnectionState::Closing);
        self.table.borrow().connections.values().filter(|entry| !is_leaving(entry.state)).count()
    }

    /// Asks the connection that has been idle longest to close if there are too many idle ones.
    fn limit_idle(&self) {
        let mut table = self.table.borrow_mut();
        let mut idle: Vec<_> =
            table.connections.values_mut().filter(|entry| entry.state == ConnectionState::Idle).collect();
        if idle.len() > self.max_idle {
            if let Some(oldest) = idle.iter_mut().min_by_key(|entry| entry.state_since) {
                oldest.request_close();
            }
        }
    }

    /// Asks the connection ranked first to close; returns whether there is one.
    fn evict_one(&self) -> bool {
        let now = Instant::now();
        let mut table = self.table.borrow_mut();
        let candidates =
            table.connections.values_mut().filter(|entry| entry.state != ConnectionState::Draining);
        let ranked = candidates.filter_map(|entry| Some((entry.eviction_rank(now)?, entry)));
        let first = ranked.min_by_key(|(rank, _)| *rank);
        first.map(|(_, entry)| entry.request_close()).is_some()
    }

    /// Closes the draining connections that had time to close themselves.
    fn close_drained(&self) {
        let now = Instant::now();
        let mut table = self.table.borrow_mut();
        let draining =
            table.connections.values_mut().filter(|entry| entry.state == ConnectionState::Draining);
        draining.filter(|entry| entry.eviction_rank(now).is_some()).for_each(ConnectionEntry::request_close);
    }
}

/// The slot of one connection, freed when dropped.
pub struct ConnectionSlot {
    id: u64,
    /// Notified when the connection should close.
    pub close_request: Rc<Notify>,
    /// All slots, this one among them.
    pub slots: Rc<ConnectionSlots>,
}

impl ConnectionSlot {
    /// The client of this connection, as the engine knows it.
    pub fn client_id(&self) -> ClientId {
        ClientId(self.id)
    }

    /// Records that more of a request has arrived.
    pub fn record_progress(&self) {
        if let Some(entry) = self.slots.table.borrow_mut().connections.get_mut(&self.id) {
            entry.last_progress = Instant::now();
        }
    }

    /// Records the connection's new state.
    pub fn set_state(&self, state: ConnectionState) {
        if let Some(entry) = self.slots.table.borrow_mut().connections.get_mut(&self.id) {
            if entry.state == ConnectionState::Closing {
                // It was asked to close but goes on: another one has to close.
                self.slots.changed.notify_one();
            }
            let now = Instant::now();
            (entry.state, entry.state_since, entry.last_progress) = (state, now, now);
        }
        if state == ConnectionState::Idle {
            self.slots.limit_idle();
        }
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.slots.table.borrow_mut().connections.remove(&self.id);
        self.slots.changed.notify_one();
    }
}

#[cfg(test)]
mod tests;
