//! What a run may use of the machine, and the thread that ends daemons beyond it.

use super::error::MeasureError;
use super::system;
use rustix::process::{kill_process, Pid, Signal};
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// Processes that a run may have at a time.
pub const MOST_PROCESSES: usize = 300;
/// How often the memory of the daemons is looked at.
const WATCH_INTERVAL: Duration = Duration::from_millis(50);

/// A flag that ends a run when it is set, by Ctrl-C for instance.
#[derive(Clone, Debug, Default)]
pub struct Cancellation(Arc<AtomicBool>);

impl Cancellation {
    /// Ends the run at its next step.
    pub fn cancel(&self) {
        self.0.store(true, Ordering::SeqCst);
    }

    /// An error once the run is to end.
    pub fn check(&self) -> Result<(), MeasureError> {
        match self.0.load(Ordering::SeqCst) {
            true => Err(MeasureError::Interrupted),
            false => Ok(()),
        }
    }
}

/// Bounds a run: half of the machine's memory, and [`MOST_PROCESSES`].
pub struct Limits {
    memory_bytes: u64,
    watched: Arc<Mutex<HashMap<u32, Arc<AtomicBool>>>>,
}

/// A daemon under watch, until it is dropped.
pub struct Watched {
    process: u32,
    is_beyond: Arc<AtomicBool>,
    watched: Arc<Mutex<HashMap<u32, Arc<AtomicBool>>>>,
}

impl Limits {
    /// The limits of this machine; starts the watch.
    pub fn of_this_machine() -> Result<Limits, MeasureError> {
        Ok(Limits::with_memory(system::memory_bytes()? / 2))
    }

    /// Limits with a bound on memory of one's own.
    pub fn with_memory(memory_bytes: u64) -> Limits {
        let watched = Arc::default();
        let limits = Limits { memory_bytes, watched };
        limits.start_watch();
        limits
    }

    /// The most memory that the daemons of a run may use together.
    pub fn memory_bytes(&self) -> u64 {
        self.memory_bytes
    }

    /// Refuses what would use more than the bound, or more than the machine has left.
    pub fn check_memory(&self, expected_bytes: u64) -> Result<(), MeasureError> {
        let bound_bytes = self.memory_bytes.min(system::available_memory_bytes()?);
        match expected_bytes > bound_bytes {
            true => Err(MeasureError::ExpectedMemory { expected_bytes, bound_bytes }),
            false => Ok(()),
        }
    }

    /// Watches a daemon's memory from now on.
    pub fn watch(&self, process: u32) -> Result<Watched, MeasureError> {
        let mut watched = self.watched.lock().unwrap_or_else(PoisonError::into_inner);
        if watched.len() >= MOST_PROCESSES {
            return Err(MeasureError::TooManyProcesses { asked: watched.len() + 1, most: MOST_PROCESSES });
        }
        let is_beyond = Arc::new(AtomicBool::new(false));
        watched.insert(process, is_beyond.clone());
        Ok(Watched { process, is_beyond, watched: self.watched.clone() })
    }

    fn start_watch(&self) {
        let (watched, bound) = (Arc::downgrade(&self.watched), self.memory_bytes);
        thread::spawn(move || {
            while let Some(watched) = watched.upgrade() {
                end_beyond(&watched.lock().unwrap_or_else(PoisonError::into_inner), bound);
                drop(watched);
                thread::sleep(WATCH_INTERVAL);
            }
        });
    }
}

/// Ends all daemons where they use more than the bound together.
fn end_beyond(watched: &HashMap<u32, Arc<AtomicBool>>, bound: u64) {
    let used: u64 = watched.keys().filter_map(|process| system::resident_bytes(*process)).sum();
    if used <= bound {
        return;
    }
    for (process, is_beyond) in watched {
        is_beyond.store(true, Ordering::SeqCst);
        if let Some(pid) = Pid::from_raw(*process as i32) {
            let _ = kill_process(pid, Signal::KILL);
        }
    }
}

impl Watched {
    /// Whether it was ended beyond the bound.
    pub fn is_beyond(&self) -> bool {
        self.is_beyond.load(Ordering::SeqCst)
    }
}

impl Drop for Watched {
    fn drop(&mut self) {
        self.watched.lock().unwrap_or_else(PoisonError::into_inner).remove(&self.process);
    }
}
