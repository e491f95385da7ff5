//! Where and when a run without a daemon is made.

use crate::daemon::system;
use crate::record::{Machine, Measurement, RunRecord, SCHEMA};
use std::collections::BTreeMap;
use std::process::Command;
use std::time::SystemTime;
use thiserror::Error;

/// Why a run cannot be recorded.
#[derive(Debug, Error)]
pub enum PlaceError {
    /// The system does not tell of its processor or memory.
    #[error(transparent)]
    Machine(#[from] crate::daemon::MeasureError),
    /// The commit is not known.
    #[error("git does not tell which commit this is")]
    Commit,
}

/// Where runs are made: the commit and the machine, as they were when the first one began.
#[derive(Clone, Debug)]
pub struct RunPlace {
    commit: String,
    machine: Machine,
}

impl RunPlace {
    /// This machine, and the commit that is checked out in the current folder.
    pub fn here() -> Result<RunPlace, PlaceError> {
        Ok(RunPlace { commit: commit()?, machine: system::machine()? })
    }

    /// A record of measurements that were made here just now.
    pub fn record(&self, name: &str, command: &str, measurements: Vec<Measurement>) -> RunRecord {
        RunRecord {
            schema: SCHEMA,
            name: name.to_owned(),
            command: command.to_owned(),
            commit: self.commit.clone(),
            date: humantime::format_rfc3339_seconds(SystemTime::now()).to_string(),
            machine: self.machine.clone(),
            parameters: BTreeMap::new(),
            measurements,
            figures: Vec::new(),
        }
    }
}

/// The commit that is checked out, with a mark where files differ from it.
fn commit() -> Result<String, PlaceError> {
    let output = Command::new("git").args(["describe", "--always", "--dirty", "--abbrev=12"]).output();
    let output = output.map_err(|_| PlaceError::Commit)?;
    let text = String::from_utf8_lossy(&output.stdout).trim().to_owned();
    (output.status.success() && !text.is_empty()).then_some(text).ok_or(PlaceError::Commit)
}
