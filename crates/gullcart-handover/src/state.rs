//! The state of a courier that is not in its journal. File descriptors are sent separately, in this order: the listener, the
//! connection of each client, the connection of each call.

use serde::{Deserialize, Serialize};

/// A client's connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverClient {
    /// Whether the client has not sent a request yet.
    pub is_fresh: bool,
    /// Bytes that were read from the connection and not processed yet.
    pub unprocessed: Vec<u8>,
}

/// A call in flight whose request has been written completely.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverCall {
    /// The number that the courier gave to the message which this call delivers.
    pub message: u32,
    /// The call's timeout, from its start.
    pub timeout_us: u64,
    /// Time since the call's start.
    pub elapsed_us: u64,
    /// The part of the response that has been read.
    pub response: Vec<u8>,
    /// Hashes of the earlier responses on the same connection. Bytes that repeat one of them are a duplicate, not the response
    /// to this call.
    pub earlier_response_hashes: Vec<u64>,
}

/// Everything that the new process needs besides the journal to go on as the same courier.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverState {
    /// Unix time in milliseconds at which the courier's clock started.
    pub clock_epoch_ms: u64,
    /// Time on the courier's clock, in nanoseconds, at which the old process stopped.
    pub stopped_at_ns: u64,
    /// The engine's state, as the engine encodes it.
    pub engine_state: Vec<u8>,
    /// Whether the listener's descriptor is sent too.
    pub has_listener: bool,
    /// The clients' connections.
    pub clients: Vec<HandoverClient>,
    /// The calls in flight.
    pub calls: Vec<HandoverCall>,
    /// The state of the courier's group membership, as the group encodes it; empty for a courier without a group.
    pub group_state: Vec<u8>,
}

impl HandoverState {
    /// Number of file descriptors that are sent with this state.
    pub fn descriptor_count(&self) -> usize {
        usize::from(self.has_listener) + self.clients.len() + self.calls.len()
    }
}
