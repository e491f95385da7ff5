//! What the engine is told, and what it wants done.

use bytes::Bytes;
use cloverstile::{Allowance, EndpointId, MessageId, Outcome, Time};
use gullcart_message::{Taken, Update, Verdict};
use std::net::SocketAddr;
use std::time::Duration;

/// A message that a client hands in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Enqueue {
    pub id: String,
    pub order_key: u64,
    pub class: String,
    pub destination: u32,
    /// How long it may still be delivered.
    pub time_left: Duration,
    pub idempotency_key: Option<String>,
    pub from_dead_courier: bool,
    pub body: Bytes,
}

impl Enqueue {
    /// Whether a message that is held is this one. What is left of its time differs from try to try.
    pub fn is_same(&self, held: &Taken) -> bool {
        (self.order_key, &self.class, self.destination) == (held.key, &held.class, held.destination)
            && (&self.idempotency_key, &self.body) == (&held.idempotency_key, &held.body)
    }
}

/// A hand-in that waits for its answer, by a number of the caller's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// What the client is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Taken on by this hand-in, which alone may withdraw it.
    Taken(MessageId),
    /// The same message is held already.
    Held,
    /// Refused: handing it in again does no harm, after some time.
    Busy(Option<Duration>),
    /// It cannot be taken.
    Error(&'static str),
}

/// What an operator wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorCommand {
    /// Nothing new is to go to this endpoint.
    Suspend(String),
    /// This endpoint may serve again.
    Restore(String),
}

/// Why an order was not carried out; nothing has changed then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandError {
    /// No endpoint of that id was ever listed, as far as is known.
    UnknownEndpoint,
    /// It cannot be written down, so that it would not last.
    NotRecorded,
}

/// The end of a message that was not delivered, on its way to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Notice {
    pub message: MessageId,
    pub id: String,
    pub verdict: Verdict,
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq)]
pub struct CallResult {
    pub outcome: Outcome,
    pub latency: Duration,
    /// The message is over.
    pub is_final: bool,
    pub allowance: Option<Allowance>,
}

/// What happens.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A client hands a message in, and waits.
    Enqueue(Ticket, Enqueue),
    /// A client was gone before it could be told that its message was taken on, by its own hand-in.
    AnswerUnacknowledged(MessageId),
    /// News of the list.
    ListUpdate(Update),
    /// A change of the list that was kept back.
    #[cfg(feature = "broken")]
    DelayedListUpdate(Update),
    /// An operator wants something, and waits.
    Command(Ticket, OperatorCommand),
    /// The last byte of a call has been written.
    CallWritten(MessageId),
    /// A call has ended.
    CallEnded(MessageId, EndpointId, CallResult),
    /// The platform has these notices.
    NoticesAcknowledged(Vec<MessageId>),
    /// The process is to end soon.
    Terminate,
}

/// A call that is to be made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    pub message: MessageId,
    pub endpoint: EndpointId,
    pub address: SocketAddr,
    pub id: String,
    pub idempotency_key: Option<String>,
    pub body: Bytes,
    pub try_for: Duration,
    /// After this nothing of it may be sent; none where only `try_for` bounds it.
    pub send_by: Option<Time>,
    /// An earlier attempt may have run: what becomes of this one is to be read from a connection of its own.
    pub may_have_run: bool,
}

/// Why a call is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// The module has called it off.
    Cancelled,
    /// It must not be sent any more: it is stopped only if no byte of it has been.
    Withdrawn,
}

/// What is to be done, in this order, once a turn is over.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// A client has its answer.
    Answer(Ticket, Answer),
    /// An operator has an answer.
    CommandResult(Ticket, Result<(), CommandError>),
    /// A call is to be made; its end is told by [`Input::CallEnded`], whatever becomes of it.
    StartCall(Call),
    /// A call is to be stopped. It ends all the same.
    StopCall(MessageId, StopReason),
    /// The platform is to be told, until it answers; then that is told by [`Input::NoticesAcknowledged`].
    SendNotice(Notice),
    /// Idle connections to an endpoint are to be closed.
    CloseIdle(EndpointId),
    /// The list has changed: idle connections to endpoints that take nothing new are to be closed.
    CloseIdleUnavailable,
    /// Clients are to be told that this courier ends.
    AnnounceShutdown,
    /// What the list says is to be heard so much later.
    #[cfg(feature = "broken")]
    DelayListUpdate(Update, Duration),
    /// The platform is to be told no sooner than that.
    #[cfg(feature = "broken")]
    DelayNotice(Notice, cloverstile::Time),
    /// A call is to be made that nobody knows of.
    #[cfg(feature = "broken")]
    StartUntrackedCall(Call),
}
