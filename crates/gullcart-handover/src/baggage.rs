//! All that a courier is beside its journal. Descriptors travel apart, in this order: the listener, each client's connection,
//! each call's.

use serde::{Deserialize, Serialize};

/// A client's connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CarriedClient {
    /// It has not brought a request yet.
    pub is_fresh: bool,
    /// What was read and not served.
    pub unread: Vec<u8>,
}

/// A call that is out, and wholly written.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CarriedCall {
    /// Whose message it carries, by the courier's number.
    pub message: u32,
    /// How long it may take in all, and how long it has taken, in microseconds.
    pub try_for_us: u64,
    pub elapsed_us: u64,
    /// What was read of its answer.
    pub answer: Vec<u8>,
    /// Fingerprints of the answers that its connection has brought before.
    pub earlier_answers: Vec<u64>,
}

/// The courier.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Baggage {
    /// Unix milliseconds at which its clock began.
    pub epoch_ms: u64,
    /// Nanoseconds on that clock at which it stopped.
    pub stopped_ns: u64,
    /// The books of the engine.
    pub books: Vec<u8>,
    /// The listener comes with it.
    pub has_listener: bool,
    pub clients: Vec<CarriedClient>,
    pub calls: Vec<CarriedCall>,
    /// The courier as a member of its group, in the group's own words; empty where it is in none.
    pub group: Vec<u8>,
}

impl Baggage {
    /// Descriptors that come with it.
    pub fn descriptors(&self) -> usize {
        usize::from(self.has_listener) + self.clients.len() + self.calls.len()
    }
}
