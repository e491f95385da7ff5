//! What the kernel tells of this machine and of processes on it.

use rustix::process::{getrlimit, Pid, Resource};
use rustix::time::{clock_gettime, ClockId};
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};
use std::time::Duration;
use thiserror::Error;

const MEMINFO: &str = "/proc/meminfo";
const CPUINFO: &str = "/proc/cpuinfo";
const LOADAVG: &str = "/proc/loadavg";
const KIB: u64 = 1024;

/// Why the kernel's word cannot be had.
#[derive(Debug, Error)]
pub enum MachineError {
    /// A file of `/proc` cannot be read.
    #[error("{}: {error}", path.display())]
    Read {
        /// Which file.
        path: PathBuf,
        /// Why not.
        error: std::io::Error,
    },
    /// A file of `/proc` lacks a line.
    #[error("{} has no {field}", path.display())]
    Missing {
        /// Which file.
        path: PathBuf,
        /// Which line.
        field: &'static str,
    },
}

/// Memory of the machine in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Memory {
    /// All of it.
    pub total: u64,
    /// What can be had without swapping.
    pub available: u64,
}

/// Memory of a process in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resident {
    /// All resident pages, also those shared with other processes.
    pub all: u64,
    /// Pages that belong to this process alone: its heap and stacks.
    pub private: u64,
}

/// A point of `CLOCK_MONOTONIC`, which all processes of a machine share.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Monotonic(pub u64);

impl Monotonic {
    /// The present.
    pub fn now() -> Self {
        Monotonic(nanoseconds(ClockId::Monotonic))
    }

    /// How long after an earlier point this is; zero if it is not after it.
    pub fn since(self, earlier: Monotonic) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }
}

/// Processor time of the calling process, user and system together.
pub fn processor_time() -> Duration {
    Duration::from_nanos(nanoseconds(ClockId::ProcessCPUTime))
}

fn nanoseconds(clock: ClockId) -> u64 {
    let time = clock_gettime(clock);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let rest = u64::try_from(time.tv_nsec).unwrap_or_default();
    seconds * 1_000_000_000 + rest
}

/// The memory of this machine.
pub fn memory() -> Result<Memory, MachineError> {
    let path = Path::new(MEMINFO);
    let text = read(path)?;
    Ok(Memory {
        total: kib_field(path, &text, "MemTotal:")?,
        available: kib_field(path, &text, "MemAvailable:")?,
    })
}

/// The resident memory of a process.
pub fn resident(process: Pid) -> Result<Resident, MachineError> {
    let path = PathBuf::from(format!("/proc/{}/status", process.as_raw_nonzero()));
    let text = read(&path)?;
    Ok(Resident { all: kib_field(&path, &text, "VmRSS:")?, private: kib_field(&path, &text, "RssAnon:")? })
}

/// How many file descriptors a process started from here may have open; none where there is no limit.
pub fn descriptor_limit() -> Option<u64> {
    getrlimit(Resource::Nofile).current
}

/// How busy this machine was over the last one, five and fifteen minutes.
pub fn load_average() -> Result<String, MachineError> {
    let text = read(Path::new(LOADAVG))?;
    Ok(text.split_whitespace().take(3).collect::<Vec<_>>().join(" "))
}

/// This machine as a record names it.
pub fn describe() -> Result<gullcart_scale::Machine, MachineError> {
    let path = Path::new(CPUINFO);
    let text = read(path)?;
    let processor = field(&text, "model name").unwrap_or("unknown").trim_start_matches(':').trim();
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    Ok(gullcart_scale::Machine {
        processor: processor.to_owned(),
        cores: u32::try_from(cores).unwrap_or(u32::MAX),
        memory_bytes: memory()?.total,
    })
}

fn read(path: &Path) -> Result<String, MachineError> {
    std::fs::read_to_string(path).map_err(|error| MachineError::Read { path: path.to_owned(), error })
}

fn field<'text>(text: &'text str, name: &str) -> Option<&'text str> {
    text.lines().find_map(|line| line.strip_prefix(name)).map(str::trim)
}

fn kib_field(path: &Path, text: &str, name: &'static str) -> Result<u64, MachineError> {
    let number = field(text, name).and_then(|rest| rest.split_whitespace().next());
    let kib: Option<u64> = number.and_then(|number| number.parse().ok());
    kib.map(|kib| kib * KIB).ok_or(MachineError::Missing { path: path.to_owned(), field: name })
}

impl Monotonic {
    /// The same point as the distribution counts time.
    pub fn to_distribution(self) -> gullcart_distribution::time::Instant {
        gullcart_distribution::time::Instant::from_micros(self.0 / 1000)
    }

    /// A point of the distribution's time.
    pub fn of_distribution(instant: gullcart_distribution::time::Instant) -> Self {
        Monotonic(instant.as_micros() * 1000)
    }
}

/// The present, as the distribution counts time.
pub fn distribution_now() -> gullcart_distribution::time::Instant {
    Monotonic::now().to_distribution()
}

/// Sleeps until a point of the distribution's time; for ever if there is none.
pub async fn sleep_until(wanted: Option<gullcart_distribution::time::Instant>) {
    match wanted {
        Some(wanted) => tokio::time::sleep(wanted.since(distribution_now())).await,
        None => std::future::pending().await,
    }
}
