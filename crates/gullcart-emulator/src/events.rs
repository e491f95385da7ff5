//! What is scheduled to happen, and what such events carry.

use crate::address::Address;
use cloverstile::{MessageId, Outcome};
use gullcart_engine::{CallResult, Notice};
use gullcart_judge::trace::{
    CallId, EndpointId, EndpointState, EnqueueOutcome, MessageId as HandInId, Timestamp,
};
#[cfg(feature = "broken")]
use gullcart_message::ListingUpdate;
use gullcart_standins::partner::Fate;

/// An endpoint of a partner.
pub(crate) struct Endpoint {
    pub id: EndpointId,
    /// Its place in the partner's model.
    pub place: usize,
    pub address: Address,
    pub state: EndpointState,
}

/// A call at an endpoint.
pub(crate) struct EndpointCall {
    pub courier: usize,
    pub epoch: u32,
    pub message: MessageId,
    pub serial: u64,
    pub partner: usize,
    pub standing: usize,
    pub fate: Fate,
}

/// A call on its way.
pub(crate) struct CallInTransit {
    pub courier: usize,
    pub epoch: u32,
    pub message: MessageId,
    /// 0 for one that its courier does not know of.
    pub serial: u64,
    pub address: Address,
    pub id: String,
    pub key: Option<String>,
    pub first: Timestamp,
    pub fresh: bool,
}

/// A hand-in whose client waits.
pub(crate) struct PendingRequest {
    pub origin: usize,
    pub courier: usize,
    pub retry: bool,
    pub again: bool,
}

/// A message that waits for its key's turn.
#[derive(Clone, Copy)]
pub(crate) struct Sending {
    pub origin: usize,
    pub retry: bool,
    pub again: bool,
    pub avoid: Option<usize>,
}

/// An event that is going to happen.
pub(crate) enum Scheduled {
    /// The next message of the day is due.
    Arrival(usize),
    /// A client sends; whether it has its key's turn already.
    Send(Sending, bool),
    /// A request reaches its courier.
    Request(usize, u32, HandInId),
    /// An answer reaches its client, or the client gives up.
    Told(HandInId, EnqueueOutcome),
    /// A courier's turn.
    Turn(usize, u32),
    /// A connection is up, and the call is written.
    Write { courier: usize, epoch: u32, message: MessageId, serial: u64, fresh: bool },
    /// The last byte of a call reaches its endpoint.
    Call(CallInTransit),
    /// What becomes of a call is due at its endpoint.
    Fate(CallId),
    /// A courier closes the connection of a call.
    Cut(CallId),
    /// A call's end reaches its courier; with a connection that is of further use.
    Back { courier: usize, epoch: u32, message: MessageId, serial: u64, ended: CallResult, keep: bool },
    /// A courier gives a call up.
    GiveUp { courier: usize, epoch: u32, message: MessageId, serial: u64 },
    /// A call's connection does not come up in time.
    Never { courier: usize, epoch: u32, message: MessageId, serial: u64, outcome: Outcome },
    /// A notice reaches the platform.
    Notice(usize, u32, Notice),
    /// A notice's answer reaches its courier.
    Heard(usize, u32, MessageId),
    /// News of the list reaches a courier's agent.
    News(usize, usize, usize, EndpointState),
    /// News that was not told counts as told.
    ToldAtLast(usize),
    /// What is kept back by a broken courier.
    #[cfg(feature = "broken")]
    HeardAtLast(usize, u32, ListingUpdate),
    /// Something is done to the world.
    Act(usize),
    /// A process starts.
    Start(usize),
    /// It answers.
    Ready(usize, u32),
    /// The front has noticed that a courier ends.
    FrontNotices(usize, u32),
    /// SIGKILL, if it is still there.
    Kill(usize, u32),
    /// A look at the run.
    Look,
}
