//! The events of the simulation and the data that they refer to.
//!
//! Endpoints of a partner are kept in [`Simulation::endpoints`](crate::simulation::Simulation::endpoints) and referred to by
//! their index there, `endpoint_index`. Couriers and partners are referred to by their index too. `incarnation` is the number
//! of a courier's process: an event for an earlier process of the courier has no effect.

use crate::address::Address;
use cloverstile::{MessageId, Outcome};
use gullcart_engine::{CallResult, Notice};
use gullcart_judge::trace::{At, CallId, EndpointId, MessageId as HandInId, State, Told};
#[cfg(feature = "broken")]
use gullcart_message::ListingUpdate;
use gullcart_standins::partner::Fate;

/// An endpoint of a partner.
pub(crate) struct Endpoint {
    pub id: EndpointId,
    /// Index of the endpoint in the partner's model.
    pub model_index: usize,
    pub address: Address,
    pub state: State,
}

/// A call that an endpoint has received and not completed yet.
pub(crate) struct EndpointCall {
    pub courier: usize,
    pub incarnation: u32,
    pub message: MessageId,
    /// See [`CallInTransit::serial`].
    pub serial: u64,
    pub partner: usize,
    pub endpoint_index: usize,
    pub fate: Fate,
}

/// A call on its way from a courier to an endpoint.
pub(crate) struct CallInTransit {
    pub courier: usize,
    pub incarnation: u32,
    pub message: MessageId,
    /// Number of the call among all calls of the run; 0 for a call whose end is not reported to its courier's engine.
    pub serial: u64,
    pub address: Address,
    /// The message's id on the wire.
    pub wire_id: String,
    pub idempotency_key: Option<String>,
    /// When the first byte was written.
    pub first_byte_at: At,
    pub is_new_connection: bool,
}

/// A client's enqueue request that has no answer yet.
pub(crate) struct PendingRequest {
    /// Index in [`Book::origins`](gullcart_rehearsal::book::Book::origins).
    pub origin: usize,
    pub courier: usize,
    /// See [`Submission::is_retry`].
    pub is_retry: bool,
    /// See [`Submission::from_dead_courier`].
    pub from_dead_courier: bool,
}

/// A message that a client is about to enqueue.
#[derive(Clone, Copy)]
pub(crate) struct Submission {
    /// Index in [`Book::origins`](gullcart_rehearsal::book::Book::origins).
    pub origin: usize,
    /// The message was rejected or returned before.
    pub is_retry: bool,
    /// The message is enqueued again after its former courier was lost or did not answer.
    pub from_dead_courier: bool,
    /// The courier that did not answer. The client prefers any other.
    pub avoided_courier: Option<usize>,
}

/// An event of the simulation.
pub(crate) enum ScheduledEvent {
    /// The scheduled message with this index is due.
    MessageDue { index: usize },
    /// A client enqueues a message. `has_turn` says that no earlier message with the same order key is still being enqueued.
    Submit { submission: Submission, has_turn: bool },
    /// An enqueue request reaches its courier.
    RequestArrives { courier: usize, incarnation: u32, message: HandInId },
    /// An enqueue request ends: its answer reaches the client, its connection ends or the client's timeout expires.
    RequestEnds { message: HandInId, told: Told },
    /// A turn of a courier's engine is due.
    EngineTurn { courier: usize, incarnation: u32 },
    /// The connection of a call is ready, and the call is written.
    WriteCall { courier: usize, incarnation: u32, message: MessageId, serial: u64, is_new_connection: bool },
    /// The last byte of a call reaches its endpoint.
    CallArrives(CallInTransit),
    /// An endpoint answers a call or resets its connection.
    EndpointOutcome(CallId),
    /// An endpoint notices that the courier has closed the connection of a call.
    CallClosed(CallId),
    /// The end of a call reaches its courier. `is_reusable` says whether the connection may carry another call.
    CallEnds {
        courier: usize,
        incarnation: u32,
        message: MessageId,
        serial: u64,
        result: CallResult,
        is_reusable: bool,
    },
    /// The timeout of a call expires.
    CallTimeout { courier: usize, incarnation: u32, message: MessageId, serial: u64 },
    /// A call ends unwritten, since its connection was not ready in time.
    CallUnwritten { courier: usize, incarnation: u32, message: MessageId, serial: u64, outcome: Outcome },
    /// A notice reaches the platform.
    NoticeArrives { courier: usize, incarnation: u32, notice: Notice },
    /// The acknowledgement of a notice reaches its courier.
    NoticeAcknowledged { courier: usize, incarnation: u32, message: MessageId },
    /// A changed endpoint reaches the register's agent of a courier.
    ListingChange { courier: usize, partner: usize, endpoint_index: usize, state: State },
    /// Changes of the list that the agent has not reported to its courier count as reported.
    ListingChangeOverdue { courier: usize },
    /// A list update that an injected fault delayed reaches the engine.
    #[cfg(feature = "broken")]
    DelayedListUpdate { courier: usize, incarnation: u32, update: ListingUpdate },
    /// The scheduled fault action with this index is due.
    FaultAction { index: usize },
    /// A courier's process starts.
    ProcessStarts { courier: usize },
    /// A courier's process is ready to answer clients.
    ProcessReady { courier: usize, incarnation: u32 },
    /// Clients notice that a courier is terminating.
    TerminationNoticed { courier: usize, incarnation: u32 },
    /// A terminating process that is still running is killed.
    KillDue { courier: usize, incarnation: u32 },
    /// Periodic check of the judge's deadlines and of the end of the run.
    PeriodicCheck,
}
