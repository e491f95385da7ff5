//! A courier: its disk, its process with calls and connections, and the register's agent that keeps its list of endpoints.

use crate::address::Address;
use cloverstile::{EndpointId, MessageId, Time};
use gullcart_engine::{Engine, IdleConnectionPolicy, PROCESS_START};
use gullcart_journal::simulated::{Crash, Disk};
use gullcart_judge::trace::{CallId, EndpointId as TraceEndpointId, EndpointState, Timestamp};
use gullcart_message::{ListingUpdate, Target};
use std::collections::BTreeMap;
use std::time::Duration;

/// How long a connection stays unused after a response. This and the two limits below repeat those of the daemon's connection
/// pool, which leaves time to notice surplus bytes behind the response.
const REUSE_DELAY: Duration = Duration::from_millis(5);
/// Idle time after which a connection is closed: 0.7 of the endpoints' idle timeout of 15 s.
const MAX_IDLE_TIME: Duration = Duration::from_millis(10_500);
/// Maximum number of idle connections for each connection slot, that is, for each call that a courier may have in flight.
const IDLE_CONNECTIONS_PER_SLOT: usize = 4;

/// A call as its courier sees it.
pub(crate) struct CourierCall {
    /// Number of the call among all calls of the run.
    pub serial: u64,
    pub endpoint: EndpointId,
    pub address: Address,
    /// The message's id on the wire.
    pub wire_id: String,
    pub idempotency_key: Option<String>,
    pub is_written: bool,
    /// Id of the call in the trace, once it has reached its endpoint.
    pub trace_id: Option<CallId>,
    /// The outcome is decided, and its event for the engine is scheduled.
    pub has_ended: bool,
}

/// An idle connection that is kept for another call.
struct IdleConnection {
    since: Timestamp,
    address: Address,
}

/// A process of a courier.
pub(crate) struct CourierProcess {
    pub engine: Engine<Disk>,
    pub started_at: Timestamp,
    /// Calls in flight.
    pub calls: BTreeMap<MessageId, CourierCall>,
    /// Idle connections by endpoint, the oldest first.
    idle_connections: BTreeMap<EndpointId, Vec<IdleConnection>>,
    max_idle_connections: usize,
    idle_policy: IdleConnectionPolicy,
    /// When the engine's next turn is due.
    pub next_turn: Option<Timestamp>,
    /// SIGTERM was sent.
    pub is_terminating: bool,
}

impl CourierProcess {
    /// A process that starts now; `slots` is the maximum number of calls in flight.
    pub fn new(engine: Engine<Disk>, now: Timestamp, slots: u32, idle_policy: IdleConnectionPolicy) -> Self {
        CourierProcess {
            engine,
            started_at: now,
            calls: BTreeMap::new(),
            idle_connections: BTreeMap::new(),
            max_idle_connections: IDLE_CONNECTIONS_PER_SLOT * slots as usize,
            idle_policy,
            next_turn: None,
            is_terminating: false,
        }
    }

    /// The engine's time, counted from the start of the process, for a time of the run.
    pub fn engine_time(&self, now: Timestamp) -> Time {
        PROCESS_START + (now - self.started_at)
    }

    /// The time of the run for a time of the engine, rounded up to whole microseconds so that no timer fires early.
    pub fn run_time(&self, time: Time) -> Timestamp {
        let micros = (time - PROCESS_START).as_nanos().div_ceil(1000);
        self.started_at + Duration::from_micros(micros as u64)
    }

    /// Takes an idle connection to an endpoint and returns when it may be used: the most recently used one of those whose
    /// reuse delay is over, else the one whose reuse delay ends first.
    pub fn take_idle_connection(
        &mut self,
        endpoint: EndpointId,
        address: Address,
        now: Timestamp,
    ) -> Option<Timestamp> {
        let idle = self.idle_connections.get_mut(&endpoint)?;
        idle.retain(|connection| connection.address == address && now - connection.since < MAX_IDLE_TIME);
        let reusable = idle.iter().rposition(|connection| now - connection.since >= REUSE_DELAY);
        let index = reusable.or(if idle.is_empty() { None } else { Some(0) })?;
        let connection = idle.remove(index);
        Some(now.max(connection.since + REUSE_DELAY))
    }

    /// Keeps the connection of a completed call for another one if the idle connection policy says so. At the maximum number
    /// of idle connections, the oldest one is closed.
    pub fn release_connection(&mut self, endpoint: EndpointId, address: Address, now: Timestamp) {
        if !self.idle_policy.should_keep() {
            return;
        }
        if self.idle_connections.values().map(Vec::len).sum::<usize>() >= self.max_idle_connections {
            let oldest = self
                .idle_connections
                .iter()
                .filter_map(|(endpoint, idle)| idle.first().map(|connection| (connection.since, *endpoint)));
            if let Some((_, endpoint)) = oldest.min() {
                if let Some(idle) = self.idle_connections.get_mut(&endpoint) {
                    idle.remove(0);
                }
            }
        }
        self.idle_connections.entry(endpoint).or_default().push(IdleConnection { since: now, address });
    }

    /// Drops the idle connections to an address, which the other side has reset.
    pub fn drop_connections_to(&mut self, address: Address) {
        self.idle_connections
            .values_mut()
            .for_each(|idle| idle.retain(|connection| connection.address != address));
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_idle_connections(&mut self, endpoint: EndpointId) {
        self.idle_connections.remove(&endpoint);
    }

    /// Closes the idle connections to all endpoints that may get no new work.
    pub fn close_idle_unavailable(&mut self) {
        let engine = &self.engine;
        self.idle_connections.retain(|endpoint, _| engine.is_open(*endpoint));
    }
}

/// The register's agent on a courier's machine, which reports the list of endpoints to the courier.
#[derive(Default)]
pub(crate) struct RegisterAgent {
    /// All endpoints that the agent knows, including deleted ones.
    pub targets: BTreeMap<TraceEndpointId, (Target, EndpointState)>,
    /// Revision of the list.
    pub revision: u64,
    /// The agent reports nothing, as an injected fault.
    pub is_silent: bool,
    /// Changed endpoints that the courier has not been told of.
    pub unreported: Vec<TraceEndpointId>,
}

impl RegisterAgent {
    /// The whole list.
    pub fn full_list(&self) -> ListingUpdate {
        let present = self.targets.values().filter(|(_, state)| *state != EndpointState::Gone);
        ListingUpdate {
            rev: self.revision,
            all: true,
            targets: present.map(|(target, _)| target.clone()).collect(),
        }
    }

    /// Takes the changes that were not reported yet: the update for the courier, and the state of each endpoint in it.
    pub fn take_unreported(&mut self) -> (ListingUpdate, Vec<(TraceEndpointId, EndpointState)>) {
        let unreported = std::mem::take(&mut self.unreported);
        let change = |id: &TraceEndpointId| {
            self.targets.get(id).map(|(target, state)| (target.clone(), (*id, *state)))
        };
        let (targets, states) = unreported.iter().filter_map(change).unzip();
        (ListingUpdate { rev: self.revision, all: false, targets }, states)
    }
}

/// A courier, the same over restarts of its process.
pub(crate) struct Courier {
    pub disk: Disk,
    /// `None` while the courier is not running.
    pub process: Option<CourierProcess>,
    /// Number of the latest process. Events carry it, so that those meant for an earlier process have no effect.
    pub incarnation: u32,
    pub agent: RegisterAgent,
    /// Clients send requests to the courier.
    pub is_serving: bool,
    /// When the latest SIGTERM or SIGKILL was sent.
    pub signalled_at: Option<Timestamp>,
}

impl Courier {
    /// A courier that has not been started yet.
    pub fn new(disk_bytes: u64, seed: u64) -> Self {
        Courier {
            disk: Disk::new(disk_bytes, Crash::Process, seed),
            process: None,
            incarnation: 0,
            agent: RegisterAgent { revision: 1, ..RegisterAgent::default() },
            is_serving: false,
            signalled_at: None,
        }
    }

    /// The process with this number, if it is still running.
    pub fn process(&mut self, incarnation: u32) -> Option<&mut CourierProcess> {
        self.process.as_mut().filter(|_| self.incarnation == incarnation)
    }
}
