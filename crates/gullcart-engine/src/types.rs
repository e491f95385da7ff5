//! Inputs and effects of the engine, and the types that they carry.
//!
//! A client enqueues a message. Once the courier has accepted it ([`Answer::Taken`]), it holds the message until it is delivered,
//! until the platform acknowledges the notice of its end, or until no client waits for it any more.

use bytes::Bytes;
use cloverstile::{EndpointId, LimitReport, MessageId, Outcome, Time};
use gullcart_message::{AcceptedMessage, ListingUpdate, Verdict};
use std::net::SocketAddr;
use std::time::Duration;

/// The connection on which a request came, unique in its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ClientId(pub u64);

/// A message that a client enqueues.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Enqueue {
    /// The client's id of the message, unique among the messages that are held. The courier numbers messages itself as well, with
    /// [`MessageId`].
    pub id: String,
    /// The order key; zero in classes without order.
    pub order_key: u64,
    /// Name of the message's class.
    pub class: String,
    /// Number of the destination.
    pub destination: u32,
    /// Time left until the message's deadline.
    pub time_left: Duration,
    /// The idempotency key that every attempt carries.
    pub idempotency_key: Option<String>,
    /// The message was held by a courier that died, so that an earlier attempt may have run.
    pub from_dead_courier: bool,
    /// The content.
    pub body: Bytes,
    /// The client, whose share of the places for messages is limited; without one it is not.
    pub client: Option<ClientId>,
}

impl Enqueue {
    /// Whether this is the same message as one that is held. The time left is not compared: it differs between requests.
    pub fn is_same(&self, accepted: &AcceptedMessage) -> bool {
        (self.order_key, &self.class, self.destination)
            == (accepted.order_key, &accepted.class, accepted.destination)
            && (&self.idempotency_key, &self.body) == (&accepted.idempotency_key, &accepted.body)
    }
}

/// The caller's number of a request that waits for an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// The answer to an [`Enqueue`] request. The message trace prints the variants by name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The message was accepted by this request. If the client does not get this answer ([`Input::AnswerUnacknowledged`]),
    /// the message is dropped, unless another request for it was answered with [`Answer::Held`].
    Taken(MessageId),
    /// The same message is already held.
    Held,
    /// The message is rejected and may be enqueued again, after this time if one is given.
    Busy(Option<Duration>),
    /// The request is invalid, for this reason.
    Error(&'static str),
}

/// An operator's command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorCommand {
    /// Sends no new work to the endpoint with this uid.
    Suspend(String),
    /// Lifts the suspension of the endpoint with this uid.
    Unsuspend(String),
}

/// Why an operator's command was rejected. A rejected command changes nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandError {
    /// No endpoint with this uid is known to have been listed.
    UnknownEndpoint,
    /// The journal could not record the command, so it would be lost at a restart.
    NotRecorded,
}

/// Notifies the platform that a message ended without delivery.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Notice {
    /// The message.
    pub message: MessageId,
    /// The client's id of the message.
    pub id: String,
    /// How the message ended.
    pub verdict: Verdict,
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq)]
pub struct CallResult {
    /// The result of the attempt.
    pub outcome: Outcome,
    /// Time from the start of the call until its end.
    pub latency: Duration,
    /// The message was delivered and needs no further attempt.
    pub is_final: bool,
    /// The rate limit that the endpoint reported with its answer.
    pub allowance: Option<LimitReport>,
}

/// An event that the engine handles.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A client enqueues a message and waits for the answer.
    Enqueue(Ticket, Enqueue),
    /// The [`Answer::Taken`] for this message could not be delivered to its client.
    AnswerUnacknowledged(MessageId),
    /// Discovery sent the list of endpoints or a change of it.
    ListUpdate(ListingUpdate),
    /// A change of the list that [`Effect::DelayListUpdate`] delayed.
    #[cfg(feature = "broken")]
    DelayedListUpdate(ListingUpdate),
    /// An operator sends a command and waits for the result.
    Command(Ticket, OperatorCommand),
    /// The last byte of a call was written.
    CallWritten(MessageId),
    /// A call ended.
    CallEnded(MessageId, EndpointId, CallResult),
    /// The platform acknowledged the notices of these messages.
    NoticesAcknowledged(Vec<MessageId>),
    /// The process was asked to shut down.
    Terminate,
}

/// A call to start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The message to deliver.
    pub message: MessageId,
    /// The endpoint to call.
    pub endpoint: EndpointId,
    /// The endpoint's address.
    pub address: SocketAddr,
    /// The client's id of the message.
    pub id: String,
    /// The idempotency key to send.
    pub idempotency_key: Option<String>,
    /// The content.
    pub body: Bytes,
    /// Time limit of the attempt from its start, including the connection setup.
    pub try_for: Duration,
    /// No byte of the call may be sent after this moment; without it only `try_for` limits the call.
    pub send_by: Option<Time>,
    /// An earlier attempt may have run. The call must use a new connection, so that its answer is unambiguous.
    pub may_have_run: bool,
}

/// Why a call is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// The attempt was cancelled.
    Cancelled,
    /// The endpoint may get no new work, or asked to retry later. The call is stopped only if no byte of it was sent.
    Withdrawn,
}

/// An action for the caller. Effects are carried out in order after the turn that returned them.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Answer a client.
    Answer(Ticket, Answer),
    /// Answer an operator's command.
    CommandResult(Ticket, Result<(), CommandError>),
    /// Start a call. Every started call has to end with an [`Input::CallEnded`].
    StartCall(Call),
    /// Stop the call for a message. The call still ends with an [`Input::CallEnded`].
    StopCall(MessageId, StopReason),
    /// Send a notice to the platform until it is acknowledged with [`Input::NoticesAcknowledged`].
    SendNotice(Notice),
    /// Close the idle connections to an endpoint.
    CloseIdle(EndpointId),
    /// Close the idle connections to all endpoints that may get no new work; the list of endpoints has changed.
    CloseIdleUnavailable,
    /// Tell clients that this courier shuts down.
    AnnounceShutdown,
    /// Pass this list update back as [`Input::DelayedListUpdate`] after the delay.
    #[cfg(feature = "broken")]
    DelayListUpdate(ListingUpdate, Duration),
    /// Send this notice not before the given moment.
    #[cfg(feature = "broken")]
    DelayNotice(Notice, cloverstile::Time),
    /// Start a call whose end is not reported to the engine.
    #[cfg(feature = "broken")]
    StartUntrackedCall(Call),
}
