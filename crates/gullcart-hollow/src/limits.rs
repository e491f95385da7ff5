//! What a run may take of the machine, and whether a planned one stays within it.

use crate::machine::{self, MachineError, Memory};
use thiserror::Error;

/// Processes of a run at most, the manager included.
pub const MOST_PROCESSES: usize = 300;
/// A run may take one part in so many of the machine's memory.
pub const MEMORY_DIVISOR: u64 = 2;
/// Descriptors that a process needs beside its connections: its pipes, its listener, the runtime's.
pub const OWN_DESCRIPTORS: u64 = 32;

/// What a run may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Resident memory of all its processes together, in bytes.
    pub memory: u64,
    /// Processes.
    pub processes: usize,
    /// Descriptors of any one process; none where there is no limit.
    pub descriptors: Option<u64>,
}

/// What a planned run takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Demand {
    /// Resident memory of all its processes together, in bytes.
    pub memory: u64,
    /// Processes, the manager included.
    pub processes: usize,
    /// Connections of the process that has most.
    pub connections: u64,
}

/// Why a run is not started.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Excess {
    /// Its processes would take too much memory together.
    #[error("the run would take about {wanted} bytes of memory, and may take {limit}")]
    Memory {
        /// What it would take.
        wanted: u64,
        /// What it may.
        limit: u64,
    },
    /// It would have too many processes.
    #[error("the run would have {wanted} processes, and may have {limit}")]
    Processes {
        /// How many it would have.
        wanted: usize,
        /// How many it may.
        limit: usize,
    },
    /// One of its processes would open too many connections.
    #[error("a process would have {wanted} descriptors open, and may have {limit}")]
    Descriptors {
        /// How many it would have.
        wanted: u64,
        /// How many it may.
        limit: u64,
    },
}

impl Limits {
    /// Those of this machine as it is now.
    pub fn of_machine() -> Result<Self, MachineError> {
        let descriptors = machine::descriptor_limit();
        Ok(Limits { memory: Self::memory_of(machine::memory()?), processes: MOST_PROCESSES, descriptors })
    }

    /// What a run may take of a machine's memory: half of it all, and no more than is to be had.
    pub fn memory_of(memory: Memory) -> u64 {
        (memory.total / MEMORY_DIVISOR).min(memory.available)
    }

    /// Whether a planned run stays within.
    pub fn admit(&self, demand: &Demand) -> Result<(), Excess> {
        if demand.memory > self.memory {
            return Err(Excess::Memory { wanted: demand.memory, limit: self.memory });
        }
        if demand.processes > self.processes {
            return Err(Excess::Processes { wanted: demand.processes, limit: self.processes });
        }
        let wanted = demand.connections + OWN_DESCRIPTORS;
        match self.descriptors {
            Some(limit) if wanted > limit => Err(Excess::Descriptors { wanted, limit }),
            _ => Ok(()),
        }
    }
}
