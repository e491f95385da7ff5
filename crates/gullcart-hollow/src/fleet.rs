//! All processes of a run: started within the limits, watched while it goes on, and ended by their ids.

use crate::limits::{Demand, Excess, Limits};
use crate::machine::{self, MachineError};
use crate::process::{Ending, Launch, Process, ProcessError};
use rustix::process::Pid;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::signal::unix::{signal, SignalKind};
use tokio::time::Instant;

/// How often the memory of the processes is looked at.
const WATCH_INTERVAL: Duration = Duration::from_millis(200);
/// How long processes may take together to end by themselves before they are killed ...
const END_PATIENCE: Duration = Duration::from_secs(5);
/// ... and how long after a run that was broken off.
const BROKEN_OFF_PATIENCE: Duration = Duration::from_millis(500);

/// Why a run did not come to its end.
#[derive(Debug, Error)]
pub enum FleetError {
    /// It was not started.
    #[error(transparent)]
    Excess(#[from] Excess),
    /// The machine could not be asked.
    #[error(transparent)]
    Machine(#[from] MachineError),
    /// A process failed.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// Its processes grew beyond what they may take.
    #[error("the processes hold {held} bytes of memory, and may hold {limit}")]
    Memory {
        /// What they hold.
        held: u64,
        /// What they may.
        limit: u64,
    },
    /// A relay that was to be killed amid snapshots sent none.
    #[error("the relay to be killed began no snapshot")]
    NoSnapshot,
    /// Somebody wants it to end.
    #[error("interrupted")]
    Interrupted,
    /// The signals that interrupt it cannot be listened to.
    #[error("cannot listen to signals: {0}")]
    Signals(std::io::Error),
}

/// Names a process of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProcessIndex(usize);

/// What the watch on the memory has seen.
#[derive(Default)]
struct Watched {
    ids: RefCell<Vec<Pid>>,
    peak: Cell<u64>,
}

/// How the processes of a run ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Endings {
    /// Processes that ended by themselves.
    pub orderly: usize,
    /// Processes that had to be killed at the end.
    pub killed: usize,
}

/// The processes of a run. Those that are left are killed when it is dropped.
pub struct Fleet {
    launch: Launch,
    limits: Limits,
    processes: Vec<Process>,
    watched: Rc<Watched>,
}

impl Fleet {
    /// A fleet without processes yet, if what is planned stays within the limits.
    pub fn admit(launch: Launch, limits: Limits, demand: &Demand) -> Result<Self, Excess> {
        limits.admit(demand)?;
        Ok(Fleet { launch, limits, processes: Vec::new(), watched: Rc::default() })
    }

    /// Starts a process.
    pub fn start(&mut self, name: &str) -> Result<ProcessIndex, FleetError> {
        // The manager is a process too.
        let wanted = self.watched.ids.borrow().len() + 2;
        if wanted > self.limits.processes {
            return Err(Excess::Processes { wanted, limit: self.limits.processes }.into());
        }
        let process = Process::start(&self.launch, name)?;
        self.watched.ids.borrow_mut().extend(process.id());
        self.processes.push(process);
        Ok(ProcessIndex(self.processes.len() - 1))
    }

    /// A process of this fleet.
    pub fn process(&mut self, index: ProcessIndex) -> &mut Process {
        &mut self.processes[index.0]
    }

    /// Kills a process.
    pub async fn kill(&mut self, index: ProcessIndex) -> Result<(), FleetError> {
        let process = &mut self.processes[index.0];
        let id = process.id();
        process.kill().await?;
        self.watched.ids.borrow_mut().retain(|watched| Some(*watched) != id);
        Ok(())
    }

    /// The most memory that all processes were seen to hold together.
    pub fn peak_memory(&self) -> u64 {
        self.watched.peak.get()
    }

    /// The ids of all processes that were not seen to end.
    pub fn ids(&self) -> Vec<Pid> {
        self.processes.iter().filter_map(Process::id).collect()
    }

    /// Does some work with the fleet. The work is broken off when the processes grow beyond their memory or somebody
    /// interrupts the run; the processes are ended whatever becomes of it.
    pub async fn run<Done, Error>(
        mut self,
        work: impl AsyncFnOnce(&mut Fleet) -> Result<Done, Error>,
    ) -> Result<(Done, Endings), Error>
    where
        Error: From<FleetError>,
    {
        let watch = watch_memory(self.watched.clone(), self.limits.memory);
        let done = tokio::select! {
            done = work(&mut self) => done,
            error = watch => Err(error.into()),
            error = interruption() => Err(error.into()),
        };
        let patience = if done.is_ok() { END_PATIENCE } else { BROKEN_OFF_PATIENCE };
        let endings = self.end(patience).await;
        Ok((done?, endings.map_err(FleetError::from)?))
    }

    /// Ends all processes, and returns once they are gone.
    async fn end(mut self, patience: Duration) -> Result<Endings, ProcessError> {
        let deadline = Instant::now() + patience;
        // All end side by side, and only then is each waited for.
        self.processes.iter_mut().for_each(Process::close);
        let mut endings = Endings::default();
        let mut failed = None;
        for process in self.processes.iter_mut().filter(|process| process.id().is_some()) {
            let deadline = if process.is_stopped() { Instant::now() } else { deadline };
            match process.finish(deadline).await {
                Ok(Ending::Orderly) => endings.orderly += 1,
                Ok(Ending::Killed) => endings.killed += 1,
                Err(error) => failed = Some(error),
            }
        }
        match failed {
            Some(error) => Err(error),
            None => Ok(endings),
        }
    }
}

/// Returns when the processes hold more memory than they may.
async fn watch_memory(watched: Rc<Watched>, limit: u64) -> FleetError {
    let mut ticks = tokio::time::interval(WATCH_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        // One that has just ended holds nothing.
        let of_process = |id: &Pid| machine::resident(*id).map_or(0, |resident| resident.all);
        let held = watched.ids.borrow().iter().map(of_process).sum();
        watched.peak.set(watched.peak.get().max(held));
        if held > limit {
            return FleetError::Memory { held, limit };
        }
    }
}

/// Returns when somebody wants the run to end.
async fn interruption() -> FleetError {
    let listen = || {
        Ok((
            signal(SignalKind::interrupt())?,
            signal(SignalKind::terminate())?,
            signal(SignalKind::hangup())?,
        ))
    };
    let (mut interrupt, mut terminate, mut hangup) = match listen() {
        Ok(signals) => signals,
        Err(error) => return FleetError::Signals(error),
    };
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
        _ = hangup.recv() => {}
    }
    FleetError::Interrupted
}
