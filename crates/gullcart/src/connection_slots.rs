//! The places of clients' connections, and who gives way when they are short. No socket: a connection says what it does.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, Semaphore};
use tokio::time::{timeout, Instant};

/// While places are short, a part of a request is given up once nothing of it came for as long as its client would wait for
/// an answer, a silent connection goes before the idle ones once its first request is not to be expected any more, ...
const STALLED_REQUEST_MIN_AGE: Duration = Duration::from_millis(400);
const NEW_CONNECTION_MIN_AGE: Duration = Duration::from_millis(250);
/// ... and one whose request comes slowly goes last, once it has come for so long.
const SLOW_REQUEST_MIN_AGE: Duration = Duration::from_millis(2500);
/// A connection that is shut keeps its place for so long at least: its client closes as soon as it hears of it.
const DRAINING_MIN_AGE: Duration = Duration::from_millis(20);
/// ConnectionSlots kept free, as a part of all of them, so that who comes next waits for no client that parts; one at least.
const SPARE_SLOTS_DIVISOR: usize = 8;

/// What clients may hold.
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    /// Connections that are open.
    pub max_connections: usize,
    /// Connections between two requests. Clients hold only so many themselves: those that ask once and stay would
    /// request_close them none to ask on.
    pub max_idle: usize,
    /// Requests longer than a few KiB that are read at a time.
    pub max_long_requests: usize,
}

/// What a connection is state, which decides who gives way when places are short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// Has not asked anything yet.
    New,
    /// Between two requests.
    Idle,
    /// A part of a request has come.
    PartialRequest,
    /// Has a request open.
    Busy,
    /// Its sending side is shut; what its client since_progress sends is thrown away until that one closes too.
    Draining,
    /// Has been told to give way.
    Closing,
}

/// The open connections of clients.
pub struct ConnectionSlots {
    max_connections: usize,
    max_idle: usize,
    table: RefCell<ConnectionTable>,
    /// A connection has closed or changed what it does.
    changed: Notify,
    long_requests: Semaphore,
}

#[derive(Default)]
struct ConnectionTable {
    last_id: u64,
    connections: BTreeMap<u64, ConnectionEntry>,
}

struct ConnectionEntry {
    state: ConnectionState,
    state_since: Instant,
    /// When something of a request last came.
    last_progress: Instant,
    close_request: Rc<Notify>,
}

/// Who gives way first has the least; none where it may not be closed. `state_age` is how long it has done so, `since_progress` how long
/// nothing of its request has come. Nobody waits for one that is shut; a silent one that should have asked by now goes
/// before those that ask now and then; one whose request since_progress comes goes last, and not while its client may be waiting.
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
            .map(|eviction_rank| (eviction_rank, self.state_since))
    }

    fn request_close(&mut self) {
        self.state = ConnectionState::Closing;
        self.close_request.notify_one();
    }
}

impl ConnectionSlots {
    pub fn new(limits: ClientLimits) -> Self {
        ConnectionSlots {
            max_connections: limits.max_connections,
            max_idle: limits.max_idle,
            table: RefCell::default(),
            changed: Notify::new(),
            long_requests: Semaphore::new(limits.max_long_requests),
        }
    }

    /// Connections that are open.
    pub fn open_count(&self) -> usize {
        self.table.borrow().connections.len()
    }

    /// Those that are not shut yet.
    pub fn active_count(&self) -> usize {
        self.table
            .borrow()
            .connections
            .values()
            .filter(|entry| entry.state != ConnectionState::Draining)
            .count()
    }

    /// ConnectionSlots for long requests.
    pub fn long_requests(&self) -> &Semaphore {
        &self.long_requests
    }

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

    /// Waits until a place is free. Some are kept free beyond it, by closing those connections that can best be spared; no
    /// more than that, whatever the others take to go.
    pub async fn wait_for_slot(&self) {
        let spare_slots = (self.max_connections / SPARE_SLOTS_DIVISOR).max(1);
        loop {
            while self.staying_count() + spare_slots > self.max_connections && self.evict_one() {}
            if self.open_count() < self.max_connections {
                return;
            }
            self.close_drained();
            // Those that may not be closed now may be so later.
            let _ = timeout(DRAINING_MIN_AGE, self.changed.notified()).await;
        }
    }

    /// Those that nobody has told to go.
    fn staying_count(&self) -> usize {
        let is_leaving =
            |state: ConnectionState| matches!(state, ConnectionState::Draining | ConnectionState::Closing);
        self.table.borrow().connections.values().filter(|entry| !is_leaving(entry.state)).count()
    }

    /// The longest idle one gives way where there are too many.
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

    /// Tells the one that can best be spared to go; whether there is one.
    fn evict_one(&self) -> bool {
        let now = Instant::now();
        let mut table = self.table.borrow_mut();
        let candidates =
            table.connections.values_mut().filter(|entry| entry.state != ConnectionState::Draining);
        let ranked = candidates.filter_map(|entry| Some((entry.eviction_rank(now)?, entry)));
        let first = ranked.min_by_key(|(eviction_rank, _)| *eviction_rank);
        first.map(|(_, entry)| entry.request_close()).is_some()
    }

    /// Closes those that are shut and had the time to close themselves.
    fn close_drained(&self) {
        let now = Instant::now();
        let mut table = self.table.borrow_mut();
        let draining =
            table.connections.values_mut().filter(|entry| entry.state == ConnectionState::Draining);
        draining.filter(|entry| entry.eviction_rank(now).is_some()).for_each(ConnectionEntry::request_close);
    }
}

/// The place of one connection, free again when dropped.
pub struct ConnectionSlot {
    id: u64,
    pub close_request: Rc<Notify>,
    pub slots: Rc<ConnectionSlots>,
}

impl ConnectionSlot {
    /// More of its request has come.
    pub fn record_progress(&self) {
        if let Some(entry) = self.slots.table.borrow_mut().connections.get_mut(&self.id) {
            entry.last_progress = Instant::now();
        }
    }

    pub fn set_state(&self, state: ConnectionState) {
        if let Some(entry) = self.slots.table.borrow_mut().connections.get_mut(&self.id) {
            if entry.state == ConnectionState::Closing {
                // It stays after all: another one has to give way.
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
