//! What the parts of the daemon say to each other: messages and their ends, the list of endpoints, how a call ended,
//! and what the driver is told. It lies below all parts that use it, so that imports run one way.

use bytes::Bytes;
use cloverstile::{Allowance, EndpointId, MessageId, Outcome};
use gullcart_message::{Taken, Update, Verdict};
use std::time::Duration;
use tokio::sync::oneshot;

/// A message that a client hands in.
#[derive(Debug, PartialEq, Eq)]
pub struct Enqueue {
    pub id: String,
    pub key: u64,
    pub class: String,
    pub destination: u16,
    /// How long it may still be delivered.
    pub left: Duration,
    pub idempotency_key: Option<String>,
    pub again: bool,
    pub body: Bytes,
}

impl Enqueue {
    /// Whether a message that is held is this one. What is left of its time differs from try to try.
    pub fn is_same(&self, held: &Taken) -> bool {
        (self.key, &self.class, self.destination) == (held.key, &held.class, held.destination)
            && (&self.idempotency_key, &self.body) == (&held.idempotency_key, &held.body)
    }
}

/// What the client is told.
#[derive(Debug)]
pub enum Answer {
    /// Taken on by this hand-in, which alone may withdraw it.
    Taken(MessageId),
    /// The same message is held already.
    Held,
    Busy(Option<Duration>),
    Error(&'static str),
}

/// The end of a message that was not delivered, on its way to the platform.
#[derive(Debug)]
pub struct Notice {
    pub message: MessageId,
    pub id: String,
    pub verdict: Verdict,
}

/// How a call ended.
#[derive(Debug)]
pub struct Ended {
    pub outcome: Outcome,
    pub latency: Duration,
    /// The message is over.
    pub complete: bool,
    pub allowance: Option<Allowance>,
}

/// What happens, from all the other parts.
pub enum Input {
    Enqueue(Enqueue, oneshot::Sender<Answer>),
    /// A client was gone before it could be told that its message was taken on, by its own hand-in.
    Unheard(MessageId),
    Listed(Update),
    /// A change of the list that was kept back.
    #[cfg(feature = "broken")]
    HeardAtLast(Update),
    Ended(MessageId, EndpointId, Ended),
    /// The platform has these notices.
    Heard(Vec<MessageId>),
    Terminate,
}
