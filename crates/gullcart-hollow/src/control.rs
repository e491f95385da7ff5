//! What the manager and the processes of its fleet say to each other: one JSON line for each command and for its report.

use crate::machine::Resident;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What a process is told. Each command is answered by one report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Builds hollow couriers without sockets and reports what one of them takes.
    Probe(Probe),
    /// Reports processor time and traffic so far.
    Usage,
}

/// What a process answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Report {
    /// It cannot go on, for this reason.
    Failed(String),
    /// Answers [`Command::Probe`].
    Probed(Cost),
    /// Answers [`Command::Usage`].
    Usage(Usage),
}

/// How many hollow couriers are built to see what one takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Probe {
    /// So many couriers ...
    pub couriers: u32,
    /// ... with so many endpoints each.
    pub endpoints: u32,
}

/// What hollow couriers take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cost {
    /// The process without any.
    pub empty: Resident,
    /// The process with all of them.
    pub full: Resident,
    /// How many there are.
    pub couriers: u32,
}

/// What a process has used since it began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Processor time.
    pub processor: Duration,
}

impl Cost {
    /// Bytes of private memory for each courier.
    pub fn per_courier(&self) -> u64 {
        let taken = self.full.private.saturating_sub(self.empty.private);
        taken / u64::from(self.couriers.max(1))
    }
}
