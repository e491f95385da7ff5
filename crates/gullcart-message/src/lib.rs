//! What a message, its end and an entry of the list are. This lies below all packages that hold, write or send them.
#![forbid(unsafe_code)]

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// A message as it was taken on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Taken {
    pub id: String,
    /// Zero in classes without order.
    pub key: u64,
    /// By name: its place in the settings may differ after a restart.
    pub class: String,
    pub destination: u32,
    pub idempotency_key: Option<String>,
    /// Wall time, Unix milliseconds, as are all times here.
    pub deadline_ms: u64,
    pub again: bool,
    pub body: Bytes,
}

/// How a message ends that was not delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    Failed,
    Returned { after_ms: u64 },
}

/// An entry of the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Target {
    pub uid: String,
    pub endpoint: String,
    pub az: String,
    pub model: String,
    pub pod_group: u32,
    pub state: String,
    pub capacity_hint: f64,
}

impl Target {
    pub fn is_gone(&self) -> bool {
        self.state == "DELETED"
    }
}

/// The whole list, or what changed in it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Update {
    pub rev: u64,
    pub all: bool,
    pub targets: Vec<Target>,
}
