//! Where and when a run is made.

use crate::record::{Machine, Measurement, RunRecord, SCHEMA};
use std::collections::BTreeMap;
use std::path::Path;
use std::process::Command;
use std::time::SystemTime;
use thiserror::Error;

/// Why a run cannot be recorded.
#[derive(Debug, Error)]
pub enum PlaceError {
    /// The system does not tell of its processor or memory.
    #[error("{0}: {1}")]
    System(&'static str, std::io::Error),
    /// The commit is not known.
    #[error("git does not tell which commit this is")]
    Commit,
}

const PROCESSOR: &str = "/proc/cpuinfo";
const MEMORY: &str = "/proc/meminfo";
const KILOBYTE: u64 = 1024;

/// Where runs are made: the commit and the machine, as they were when the first one began.
#[derive(Clone, Debug)]
pub struct RunPlace {
    commit: String,
    machine: Machine,
}

impl RunPlace {
    /// This machine, and the commit that is checked out in the current folder.
    pub fn here() -> Result<RunPlace, PlaceError> {
        Ok(RunPlace { commit: commit()?, machine: machine()? })
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

fn machine() -> Result<Machine, PlaceError> {
    let read = |path: &'static str| {
        std::fs::read_to_string(Path::new(path)).map_err(|error| PlaceError::System(path, error))
    };
    let processors = read(PROCESSOR)?;
    let memory = read(MEMORY)?;
    let kilobytes = field(&memory, "MemTotal").and_then(|text| text.split(' ').next()?.parse::<u64>().ok());
    Ok(Machine {
        processor: field(&processors, "model name").unwrap_or("unknown").to_owned(),
        cores: std::thread::available_parallelism().map_or(1, |count| count.get() as u32),
        memory_bytes: kilobytes.unwrap_or(0) * KILOBYTE,
    })
}

/// The value of the first `name: value` line.
fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let line = text.lines().find(|line| line.starts_with(name))?;
    Some(line.split_once(':')?.1.trim())
}
