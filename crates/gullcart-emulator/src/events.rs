//! The events of the simulation and the data that they refer to.
//!
//! - A message that a client wants to send is an entry of [`Book::origins`](gullcart_rehearsal::book::Book::origins), called
//!   `origin` where its index is meant. Each attempt to enqueue it is a [`Submission`]. Once a courier is chosen, the submission
//!   becomes a request with a [`RequestId`] of its own, from which the message's id on the wire is made.
//! - [`MessageId`] is the number that a courier's engine gives to a message that it has accepted.
//! - Couriers and partners are referred to by their index. `endpoint_index` is the index of an endpoint in
//!   [`Simulation::endpoints`](crate::simulation::Simulation::endpoints) of its partner, `model_index` the one in the partner's
//!   model. [`TraceEndpointId`] is the endpoint's id in the trace and in the register's list; each courier's engine has an
//!   `EndpointId` of its own for it.
//! - `incarnation` is the number of a courier's process. An event for an earlier process of the courier has no effect.
//! - The partner's model decides the planned outcome of a call ([`Fate`]) when the endpoint receives it. The endpoint's answer
//!   goes into the trace, and its courier's engine gets a [`CallResult`].

use crate::address::Address;
use cloverstile::{MessageId, Outcome};
use gullcart_engine::{CallResult, Notice};
use gullcart_judge::trace::{
    CallId, EndpointId as TraceEndpointId, EndpointState, EnqueueOutcome, MessageId as RequestId, Timestamp,
};
#[cfg(feature = "broken")]
use gullcart_message::ListingUpdate;
use gullcart_standins::partner::CallOutcome;

/// Serial number of calls whose end is not reported to their courier's engine, for an injected fault.
pub(crate) const UNTRACKED_SERIAL: u64 = 0;

/// An endpoint of a partner.
pub(crate) struct Endpoint {
    pub id: TraceEndpointId,
    /// Index of the endpoint in the partner's model.
    pub model_index: usize,
    pub address: Address,
    pub state: EndpointState,
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
    pub planned_outcome: CallOutcome,
}

/// A call on its way from a courier to an endpoint.
pub(crate) struct CallInTransit {
    pub courier: usize,
    pub incarnation: u32,
    pub message: MessageId,
    /// Number of the call among all calls of the run, from 1, or [`UNTRACKED_SERIAL`].
    pub serial: u64,
    pub address: Address,
    /// The message's id on the wire.
    pub wire_id: String,
    pub idempotency_key: Option<String>,
    /// When the first byte was written.
    pub first_byte_at: Timestamp,
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
    /// The client assumes that the former courier is dead: it was lost with its folder, or a request to it got no answer. The flag
    /// is sent with the request.
    pub from_dead_courier: bool,
    /// The courier that did not answer. The client prefers any other.
    pub avoided_courier: Option<usize>,
}

/// An event of the simulation.
pub(crate) enum ScheduledEvent {
    /// The scheduled message with this index is due.
    MessageDue { index: usize },
    /// A client enqueues a message. `holds_order_key` says that no earlier message with the same order key is being
    /// enqueued any more, so that this one need not wait.
    Submit { submission: Submission, holds_order_key: bool },
    /// An enqueue request reaches its courier.
    RequestArrives { courier: usize, incarnation: u32, request: RequestId },
    /// An enqueue request ends: its answer reaches the client, its connection ends or the client's timeout expires.
    RequestEnds { request: RequestId, outcome: EnqueueOutcome },
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
    ListingChange { courier: usize, partner: usize, endpoint_index: usize, state: EndpointState },
    /// The maximum time for which a change of the list may be unreported is over.
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
