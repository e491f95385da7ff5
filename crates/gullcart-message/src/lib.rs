//! Types that several packages share: an accepted message, how an undelivered message ends, and service discovery's
//! listing of endpoints. They are kept in the journal and sent between processes.
#![forbid(unsafe_code)]

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// A message as a courier accepted it from a client.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedMessage {
    /// The client's id of the message.
    pub id: String,
    /// Messages with the same key are delivered in order. Zero in classes without order.
    pub order_key: u64,
    /// The name of its class. An index would not do: settings may list classes in another order after a restart.
    pub class: String,
    /// The destination that it is to be delivered to.
    pub destination: u32,
    /// With a key, the destination recognizes a repeated attempt as long as its repeat window lasts.
    pub idempotency_key: Option<String>,
    /// When the message expires: wall-clock time in Unix milliseconds.
    pub deadline_ms: u64,
    /// The client enqueued it again after the courier that held it failed, so an attempt may have run there.
    pub from_dead_courier: bool,
    /// The payload that is sent to an endpoint.
    pub body: Bytes,
}

/// How a message ends that was not delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// Delivery failed for good.
    Failed,
    /// The courier gives the message back undelivered; the client may enqueue it again.
    Returned {
        /// How long the client should wait before it enqueues the message again, in milliseconds.
        after_ms: u64,
    },
}

/// An entry of service discovery's listing: an endpoint with its uid, address and properties.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// Unique id of the endpoint.
    pub uid: String,
    /// Network address of the endpoint.
    pub endpoint: String,
    /// Availability zone.
    pub az: String,
    /// Hardware or service model, as discovery names it.
    pub model: String,
    /// The destination that the endpoint serves.
    pub pod_group: u32,
    /// Lifecycle state, as discovery names it, for example `SERVING`, `DRAINING` or `DELETED`.
    pub state: String,
    /// Relative capacity, as discovery announces it.
    pub capacity_hint: f64,
}

impl Target {
    /// Whether discovery has removed the endpoint from the listing.
    pub fn is_deleted(&self) -> bool {
        self.state == "DELETED"
    }
}

/// A listing from service discovery: all endpoints, or those that changed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ListingUpdate {
    /// Revision of the listing after this update.
    pub rev: u64,
    /// Whether `targets` is the whole listing; otherwise it holds the changed entries only.
    pub all: bool,
    /// The endpoints of the listing, or those that changed.
    pub targets: Vec<Target>,
}
