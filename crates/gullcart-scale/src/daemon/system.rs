//! What `/proc` tells of the machine and of a process.

use super::error::MeasureError;
use crate::record::Machine;
use std::fs;
use std::thread;
use std::time::Duration;

const MEMORY_FILE: &str = "/proc/meminfo";
const PROCESSOR_FILE: &str = "/proc/cpuinfo";
const KIB: u64 = 1024;

/// The machine of this run.
pub fn machine() -> Result<Machine, MeasureError> {
    let text = fs::read_to_string(PROCESSOR_FILE).map_err(MeasureError::io(PROCESSOR_FILE))?;
    let model =
        text.lines().find(|line| line.starts_with("model name")).and_then(|line| line.split_once(':'));
    Ok(Machine {
        processor: model.map_or("unknown", |(_, name)| name.trim()).to_owned(),
        cores: thread::available_parallelism().map_or(1, |cores| cores.get() as u32),
        memory_bytes: memory_bytes()?,
    })
}

/// All memory of the machine.
pub fn memory_bytes() -> Result<u64, MeasureError> {
    memory_field("MemTotal:")
}

/// Memory that can be used without swapping.
pub fn available_memory_bytes() -> Result<u64, MeasureError> {
    memory_field("MemAvailable:")
}

fn memory_field(name: &str) -> Result<u64, MeasureError> {
    let text = fs::read_to_string(MEMORY_FILE).map_err(MeasureError::io(MEMORY_FILE))?;
    let missing =
        || MeasureError::Io { what: MEMORY_FILE, error: std::io::Error::other("a field is missing") };
    kib_field(&text, name).ok_or_else(missing)
}

/// Memory of a process that is in use; none once it has ended.
pub fn resident_bytes(process: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    kib_field(&status, "VmRSS:")
}

/// The most memory that a process has used so far; none once it has ended.
pub fn peak_resident_bytes(process: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    kib_field(&status, "VmHWM:")
}

fn kib_field(text: &str, name: &str) -> Option<u64> {
    let rest = text.lines().find_map(|line| line.strip_prefix(name))?;
    let kib: u64 = rest.split_whitespace().next()?.parse().ok()?;
    Some(kib * KIB)
}

/// Processor time of all threads of a process; none once it has ended.
pub fn processor_time(process: u32) -> Option<Duration> {
    let tasks = fs::read_dir(format!("/proc/{process}/task")).ok()?;
    let times = tasks.filter_map(|task| thread_time(&task.ok()?.path().join("schedstat")));
    let sum = times.reduce(|sum, time| sum + time)?;
    Some(Duration::from_nanos(sum))
}

fn thread_time(path: &std::path::Path) -> Option<u64> {
    fs::read_to_string(path).ok()?.split_whitespace().next()?.parse().ok()
}
