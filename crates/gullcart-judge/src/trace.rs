//! What is written down of a rehearsal: one [`Entry`] for each thing that happened, in the order of time.

use serde::Serialize;
use std::fmt;
use std::ops::{Add, Sub};
use std::time::Duration;

/// Time since the rehearsal began, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct At(pub u64);

impl At {
    /// So many milliseconds after the beginning.
    pub const fn ms(count: u64) -> Self {
        At(count * 1000)
    }

    /// In seconds.
    pub fn seconds(self) -> f64 {
        self.0 as f64 / 1e6
    }
}

impl Add<Duration> for At {
    type Output = At;
    fn add(self, span: Duration) -> At {
        At(self.0.saturating_add(span.as_micros() as u64))
    }
}

/// The time between two moments; none where the second is earlier.
impl Sub for At {
    type Output = Duration;
    fn sub(self, earlier: At) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl fmt::Display for At {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06} s", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}

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

id!(/// One hand-in of a message: a message that is handed in again has a new one.
    MessageId(u64), "message ");
id!(/// One call at an endpoint.
    CallId(u64), "call ");
id!(/// A courier, the same over its restarts.
    CourierId(u16), "courier ");
id!(/// An endpoint, one for each `uid`: one that comes in the place of another has its own.
    EndpointId(u32), "endpoint ");
id!(/// A partner, the `dest` of a message and `pod_group` of endpoints.
    PartnerId(u32), "partner ");
id!(/// Place of a class in the settings.
    ClassId(u8), "class ");
id!(/// What messages of an ordered class share that must go one after the other.
    OrderKey(u64), "key ");

/// What a client was told of a hand-in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Told {
    /// `+OK`.
    Taken,
    /// `-BUSY`, with the milliseconds after which to come again.
    Busy(Option<u64>),
    /// Any other answer.
    Error,
    /// Nothing in 400 ms: the client closed, and what is sent under this id counts for nothing.
    GaveUp,
    /// The connection ended without a word after the request was written, twice.
    Cut,
    /// The connection ended because its courier's process did, or it never came up.
    Unreached,
}

/// What an endpoint answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Answer {
    /// A first line with 200.
    Ok,
    /// 500, or another answer that leaves open whether it ran.
    Error,
    /// Bytes that cannot be read as a whole answer: it may have run.
    Spoilt,
    /// 429 or 503, whole: it never ran. With a wait in milliseconds where one was told.
    Full(Option<u64>),
    /// 504: it never ran, and the message has had all its attempts.
    Spent,
}

impl Answer {
    /// Whether the call may have run.
    pub fn may_have_run(self) -> bool {
        matches!(self, Answer::Ok | Answer::Error | Answer::Spoilt)
    }
}

/// Who ended a connection with a call out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum By {
    /// The courier: it timed out, cancelled, or its process ended.
    Courier,
    /// The partner: a reset.
    Partner,
}

/// How a notice says that a message ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Ended {
    /// `failed`.
    Failed,
    /// `returned`, with the milliseconds after which to come again.
    Returned(Option<u64>),
}

impl Ended {
    /// Whether both say the same, whatever the wait.
    pub fn is_like(self, other: Ended) -> bool {
        matches!((self, other), (Ended::Failed, Ended::Failed) | (Ended::Returned(_), Ended::Returned(_)))
    }
}

/// What the register says of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum State {
    /// `SERVING`.
    Serving,
    /// `DRAINING`.
    Draining,
    /// `DELETED`, or not in a whole list any more.
    Gone,
}

/// What happened to a courier's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Process {
    /// Started.
    Started,
    /// Answers `PING`.
    Ready,
    /// Was sent SIGTERM.
    Terminated,
    /// Was sent SIGKILL, or ended after SIGTERM.
    Ended,
    /// Ended without being told to.
    Crashed,
    /// Was stopped, and knows nothing of it.
    Suspended,
    /// Goes on: what came to it meanwhile reaches it from now on.
    Resumed,
    /// Its folder was lost with the machine: what it held is nobody's any more.
    FolderLost,
}

/// Something that happened.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub enum Event {
    /// A client wrote the last byte of a hand-in.
    HandIn {
        /// The hand-in.
        message: MessageId,
        /// To whom.
        courier: CourierId,
        /// Class.
        class: ClassId,
        /// In ordered classes.
        key: Option<OrderKey>,
        /// Where it is to go.
        partner: PartnerId,
        /// Until when it may be delivered.
        deadline: At,
    },
    /// A client's answer.
    Answered {
        /// Of which hand-in.
        message: MessageId,
        /// What it says.
        told: Told,
    },
    /// The last byte of a call came.
    Call {
        /// The call.
        call: CallId,
        /// The message that it names; none if no client handed in such a one.
        message: Option<MessageId>,
        /// By whom: each courier has addresses of its own for all endpoints.
        courier: CourierId,
        /// Where.
        endpoint: EndpointId,
        /// Whose endpoint it is.
        partner: PartnerId,
        /// When its first byte came.
        first_byte: At,
        /// Whether idempotency key and body are those that were handed in.
        intact: bool,
    },
    /// The answer to a call was written: its first line.
    CallAnswered {
        /// Which.
        call: CallId,
        /// What it says.
        answer: Answer,
    },
    /// The connection of a call ended before any answer.
    CallCut {
        /// Which.
        call: CallId,
        /// Who ended it.
        by: By,
    },
    /// A notice came.
    Notice {
        /// For which hand-in; none if no client handed in such a one.
        message: Option<MessageId>,
        /// From whom.
        courier: CourierId,
        /// What it says.
        ended: Ended,
    },
    /// A notice was answered with 204.
    NoticeAnswered {
        /// For which hand-in.
        message: MessageId,
    },
    /// The register wrote a change to a courier, or it counts as told.
    Listed {
        /// To whom.
        courier: CourierId,
        /// Of which endpoint.
        endpoint: EndpointId,
        /// What it is from now on.
        state: State,
    },
    /// A partner went out.
    Out {
        /// Which.
        partner: PartnerId,
    },
    /// A partner came back.
    Back {
        /// Which.
        partner: PartnerId,
        /// What it can do when warm, in calls a second.
        capacity: f64,
        /// The share of that with which it starts.
        cold_from: f64,
        /// When it is warm.
        warm: At,
    },
    /// Something happened to a courier's process.
    Process {
        /// Whose.
        courier: CourierId,
        /// What.
        what: Process,
    },
}

/// An event and its time.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Entry {
    /// When.
    pub at: At,
    /// What.
    pub event: Event,
}

impl fmt::Display for Entry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}  ", self.at)?;
        match self.event {
            Event::HandIn { message, courier, class, key, partner, deadline } => {
                write!(f, "{message} handed in to {courier}: {class}, {partner}, until {deadline}")?;
                key.map_or(Ok(()), |key| write!(f, ", {key:x?}"))
            }
            Event::Answered { message, told } => write!(f, "{message} answered: {told:?}"),
            Event::Call { call, message, courier, endpoint, partner, first_byte, intact } => {
                write!(f, "{call} from {courier} at {endpoint} of {partner}")?;
                match message {
                    Some(message) => write!(f, " for {message}")?,
                    None => write!(f, " for a message that nobody handed in")?,
                }
                write!(f, ", first byte at {first_byte}{}", if intact { "" } else { ", changed" })
            }
            Event::CallAnswered { call, answer } => write!(f, "{call} answered: {answer:?}"),
            Event::CallCut { call, by } => write!(f, "{call} cut by the {by:?}"),
            Event::Notice { message: Some(message), courier, ended } => {
                write!(f, "notice from {courier}: {message} {ended:?}")
            }
            Event::Notice { message: None, courier, ended } => {
                write!(f, "notice from {courier} for a message that nobody handed in: {ended:?}")
            }
            Event::NoticeAnswered { message } => write!(f, "notice for {message} answered"),
            Event::Listed { courier, endpoint, state } => {
                write!(f, "{courier} told: {endpoint} is {state:?}")
            }
            Event::Out { partner } => write!(f, "{partner} is out"),
            Event::Back { partner, capacity, cold_from, warm } => write!(
                f,
                "{partner} is back with {:.0} % of {capacity:.1} calls a second, warm at {warm}",
                cold_from * 100.0
            ),
            Event::Process { courier, what } => write!(f, "{courier}: {what:?}"),
        }
    }
}
