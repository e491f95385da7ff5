//! The trace of a run: one [`Entry`] for each observed event, in time order.

use serde::Serialize;
use std::fmt;
use std::ops::{Add, Sub};
use std::time::Duration;

/// Time since the start of the run, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// The moment `millis` milliseconds after the start of the run.
    pub const fn from_millis(millis: u64) -> Self {
        Timestamp(millis * 1000)
    }

    /// Seconds since the start of the run.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;
    fn add(self, span: Duration) -> Timestamp {
        Timestamp(self.0.saturating_add(span.as_micros() as u64))
    }
}

/// The time elapsed since `earlier`; zero if `earlier` is in fact later.
impl Sub for Timestamp {
    type Output = Duration;
    fn sub(self, earlier: Timestamp) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl fmt::Display for Timestamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06} s", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}

/// Defines a numeric identifier that is displayed with a prefix.
macro_rules! id {
    ($(#[$doc:meta])* $name:ident($inner:ty), $prefix:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
        pub struct $name(pub $inner);
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!($prefix, "{}"), self.0)
            }
        }
    };
}

id!(/// Identifies one enqueue request of a message. A message that is enqueued again gets a new id.
    MessageId(u64), "message ");
id!(/// Identifies one call to an endpoint.
    CallId(u64), "call ");
id!(/// Identifies a courier; the id survives restarts of its process.
    CourierId(u16), "courier ");
id!(/// Identifies an endpoint by its `uid`: a replacement endpoint has an id of its own.
    EndpointId(u32), "endpoint ");
id!(/// Identifies a partner: the `dest` of a message, and the `pod_group` of endpoints.
    PartnerId(u32), "partner ");
id!(/// Index of a class in the settings.
    ClassId(u8), "class ");
id!(/// Order key: messages of an ordered class with the same key are delivered one after the other.
    OrderKey(u64), "key ");

/// How an enqueue request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum EnqueueOutcome {
    /// The courier replied `+OK`.
    #[serde(rename = "Taken")]
    Accepted,
    /// The courier replied `-BUSY`, optionally with the milliseconds after which to retry.
    Busy(Option<u64>),
    /// The courier sent any other reply.
    Error,
    /// No reply came within 400 ms and the client closed the connection. The rules do not apply to whatever is
    /// sent for this id.
    #[serde(rename = "GaveUp")]
    ClientTimedOut,
    /// The client wrote the request on two connections in turn, and each was closed without a reply.
    #[serde(rename = "Cut")]
    ConnectionLost,
    /// The connection could not be opened, or was closed because the courier's process ended.
    #[serde(rename = "Unreached")]
    Unreachable,
}

/// Writes the name that the variant has in serialized traces, in the format of `Debug`.
impl fmt::Display for EnqueueOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EnqueueOutcome::Accepted => f.write_str("Taken"),
            EnqueueOutcome::Busy(retry_after_ms) => write!(f, "Busy({retry_after_ms:?})"),
            EnqueueOutcome::Error => f.write_str("Error"),
            EnqueueOutcome::ClientTimedOut => f.write_str("GaveUp"),
            EnqueueOutcome::ConnectionLost => f.write_str("Cut"),
            EnqueueOutcome::Unreachable => f.write_str("Unreached"),
        }
    }
}

/// The response of an endpoint to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Answer {
    /// A status line with 200.
    Ok,
    /// 500, or another response that leaves open whether the call ran.
    Error,
    /// Bytes that do not form a complete response: the call may have run.
    #[serde(rename = "Spoilt")]
    Malformed,
    /// A complete 429 or 503: the call did not run. Holds the retry-after time in milliseconds, if one was given.
    #[serde(rename = "Full")]
    Rejected(Option<u64>),
    /// 504: the call did not run, and the message has used up its attempts.
    #[serde(rename = "Spent")]
    AttemptsExhausted,
}

impl Answer {
    /// Whether the call may have run.
    pub fn may_have_run(self) -> bool {
        matches!(self, Answer::Ok | Answer::Error | Answer::Malformed)
    }
}

/// Writes the name that the variant has in serialized traces, in the format of `Debug`.
impl fmt::Display for Answer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Answer::Ok => f.write_str("Ok"),
            Answer::Error => f.write_str("Error"),
            Answer::Malformed => f.write_str("Spoilt"),
            Answer::Rejected(retry_after_ms) => write!(f, "Full({retry_after_ms:?})"),
            Answer::AttemptsExhausted => f.write_str("Spent"),
        }
    }
}

/// The side that closed a connection on which a call was in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum ClosedBy {
    /// The courier: the call timed out or was cancelled, or the process ended.
    Courier,
    /// The partner, with a reset.
    Partner,
}

/// The final result of a message, as a notice states it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Verdict {
    /// `failed`.
    Failed,
    /// `returned`, optionally with the milliseconds after which to retry.
    Returned(Option<u64>),
}

impl Verdict {
    /// Whether both are the same verdict; the retry-after times may differ.
    pub fn has_same_kind(self, other: Verdict) -> bool {
        matches!(
            (self, other),
            (Verdict::Failed, Verdict::Failed) | (Verdict::Returned(_), Verdict::Returned(_))
        )
    }
}

/// The state of an endpoint in discovery's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum EndpointState {
    /// `SERVING`.
    Serving,
    /// `DRAINING`.
    Draining,
    /// `DELETED`, or missing from a full list.
    Gone,
}

/// A change in the life cycle of a courier's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum ProcessEvent {
    /// The process was started.
    Started,
    /// The process answers `PING`.
    Ready,
    /// SIGTERM was sent to the process, which may still be running.
    Terminated,
    /// The process ended after SIGTERM, or was killed with SIGKILL.
    Ended,
    /// The process ended without a signal from the test environment.
    Crashed,
    /// The process was paused (as with SIGSTOP) without notice.
    Suspended,
    /// The process runs again. Input that arrived during the pause is delivered from now on.
    Resumed,
    /// The machine was lost, and with it the courier's folder and all pending messages in it.
    FolderLost,
}

/// An observed event.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub enum Event {
    /// A client wrote the last byte of an enqueue request.
    #[serde(rename = "HandIn")]
    EnqueueSent {
        /// Id of the enqueue request.
        message: MessageId,
        /// The courier that the request was sent to.
        courier: CourierId,
        /// Class of the message.
        class: ClassId,
        /// Order key; only in ordered classes.
        key: Option<OrderKey>,
        /// The partner that the message is for.
        partner: PartnerId,
        /// The time until which the message may be delivered.
        deadline: Timestamp,
    },
    /// A client received the reply to an enqueue request, or none will come.
    #[serde(rename = "Answered")]
    EnqueueAnswered {
        /// Id of the enqueue request.
        message: MessageId,
        /// How the request ended.
        #[serde(rename = "told")]
        outcome: EnqueueOutcome,
    },
    /// The last byte of a call reached an endpoint.
    #[serde(rename = "Call")]
    CallReceived {
        /// Id of the call.
        call: CallId,
        /// The message that the call names; `None` if no client enqueued it.
        message: Option<MessageId>,
        /// The calling courier, known because the endpoints have separate addresses for each courier.
        courier: CourierId,
        /// The called endpoint.
        endpoint: EndpointId,
        /// The partner that the endpoint belongs to.
        partner: PartnerId,
        /// When the first byte of the call arrived.
        first_byte: Timestamp,
        /// Whether idempotency key and body are the ones that were enqueued.
        intact: bool,
    },
    /// The endpoint wrote the status line of its response to a call.
    CallAnswered {
        /// Id of the call.
        call: CallId,
        /// The response.
        answer: Answer,
    },
    /// The connection of a call was closed before any response.
    #[serde(rename = "CallCut")]
    CallAborted {
        /// Id of the call.
        call: CallId,
        /// The side that closed the connection.
        #[serde(rename = "by")]
        closed_by: ClosedBy,
    },
    /// A notice arrived.
    Notice {
        /// The message that it is about; `None` if no client enqueued it.
        message: Option<MessageId>,
        /// The courier that sent the notice.
        courier: CourierId,
        /// The final result of the message.
        #[serde(rename = "ended")]
        verdict: Verdict,
    },
    /// A notice was answered with 204.
    NoticeAnswered {
        /// The message that the notice was about.
        message: MessageId,
    },
    /// Discovery wrote a change of an endpoint's state to a courier, or the test environment treats the courier as
    /// notified without a write.
    #[serde(rename = "Listed")]
    ListingUpdated {
        /// The notified courier.
        courier: CourierId,
        /// The endpoint that changed.
        endpoint: EndpointId,
        /// Its new state.
        state: EndpointState,
    },
    /// An outage of a partner began.
    #[serde(rename = "Out")]
    OutageBegan {
        /// The partner that is out.
        partner: PartnerId,
    },
    /// An outage of a partner ended; its capacity grows from now on.
    #[serde(rename = "Back")]
    OutageEnded {
        /// The partner that is back.
        partner: PartnerId,
        /// Its full capacity, in calls a second.
        capacity: f64,
        /// The share of the full capacity that it starts with.
        #[serde(rename = "cold_from")]
        cold_capacity_share: f64,
        /// When it reaches its full capacity.
        #[serde(rename = "warm")]
        warm_at: Timestamp,
    },
    /// The process of a courier changed its state.
    Process {
        /// The courier.
        courier: CourierId,
        /// What happened to its process.
        #[serde(rename = "what")]
        change: ProcessEvent,
    },
}

/// An event and its time.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Entry {
    /// When the event was observed.
    pub at: Timestamp,
    /// The event.
    pub event: Event,
}

/// Writes the entry as a line of the trace. Trace digests are computed over this text, so a change of its wording
/// changes the digest of every run.
impl fmt::Display for Entry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}  ", self.at)?;
        match self.event {
            Event::EnqueueSent { message, courier, class, key, partner, deadline } => {
                write!(f, "{message} handed in to {courier}: {class}, {partner}, until {deadline}")?;
                key.map_or(Ok(()), |key| write!(f, ", {key:x?}"))
            }
            Event::EnqueueAnswered { message, outcome } => write!(f, "{message} answered: {outcome}"),
            Event::CallReceived { call, message, courier, endpoint, partner, first_byte, intact } => {
                write!(f, "{call} from {courier} at {endpoint} of {partner}")?;
                match message {
                    Some(message) => write!(f, " for {message}")?,
                    None => write!(f, " for a message that nobody handed in")?,
                }
                write!(f, ", first byte at {first_byte}{}", if intact { "" } else { ", changed" })
            }
            Event::CallAnswered { call, answer } => write!(f, "{call} answered: {answer}"),
            Event::CallAborted { call, closed_by } => write!(f, "{call} cut by the {closed_by:?}"),
            Event::Notice { message: Some(message), courier, verdict } => {
                write!(f, "notice from {courier}: {message} {verdict:?}")
            }
            Event::Notice { message: None, courier, verdict } => {
                write!(f, "notice from {courier} for a message that nobody handed in: {verdict:?}")
            }
            Event::NoticeAnswered { message } => write!(f, "notice for {message} answered"),
            Event::ListingUpdated { courier, endpoint, state } => {
                write!(f, "{courier} told: {endpoint} is {state:?}")
            }
            Event::OutageBegan { partner } => write!(f, "{partner} is out"),
            Event::OutageEnded { partner, capacity, cold_capacity_share, warm_at } => write!(
                f,
                "{partner} is back with {:.0} % of {capacity:.1} calls a second, warm at {warm_at}",
                cold_capacity_share * 100.0
            ),
            Event::Process { courier, change } => write!(f, "{courier}: {change:?}"),
        }
    }
}
