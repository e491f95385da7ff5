//! The daemon under measurement: started, watched, asked for what it used, and ended with its owner.

use super::error::MeasureError;
use super::limits::{Cancellation, Limits, Watched};
use super::system;
use rustix::process::{kill_process, Pid, Signal};
use std::collections::VecDeque;
use std::ffi::OsString;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Lines of its log that are kept.
const LOG_LINES: usize = 400;
/// Lines of its log that an error quotes.
const QUOTED_LINES: usize = 5;
/// Between two looks at what is waited for.
const LOOK: Duration = Duration::from_millis(20);
/// A daemon that used less than this over [`QUIET_FOR`] rests.
const QUIET_USE: Duration = Duration::from_micros(200);
const QUIET_FOR: Duration = Duration::from_millis(10);

/// How daemons are started.
#[derive(Clone, Debug)]
pub struct Launch {
    /// The daemon.
    pub program: PathBuf,
    /// A command that is put before it, so that it dies with this process even if that is killed.
    pub guard: Vec<OsString>,
}

/// A place in a daemon's log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct LogPosition(u64);

#[derive(Default)]
struct LogLines {
    /// The last lines.
    kept: VecDeque<String>,
    /// All lines so far.
    count: u64,
}

impl LogLines {
    /// The first line from a place on of which something is true.
    fn find(&self, from: LogPosition, is_it: &impl Fn(&str) -> bool) -> Option<String> {
        let first = self.count - self.kept.len() as u64;
        let skipped = from.0.saturating_sub(first) as usize;
        self.kept.iter().skip(skipped).find(|line| is_it(line)).cloned()
    }
}

#[derive(Default)]
struct Log {
    lines: Mutex<LogLines>,
    more: Condvar,
}

impl Log {
    fn lines(&self) -> MutexGuard<'_, LogLines> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn push(&self, line: String) {
        let mut lines = self.lines();
        if lines.kept.len() == LOG_LINES {
            lines.kept.pop_front();
        }
        lines.kept.push_back(line);
        lines.count += 1;
        self.more.notify_all();
    }

    fn last(&self) -> String {
        let lines = self.lines();
        let last: Vec<&str> = lines.kept.iter().rev().take(QUOTED_LINES).rev().map(String::as_str).collect();
        last.join(" | ")
    }
}

/// What a start took.
#[derive(Clone, Copy, Debug)]
pub struct StartCost {
    /// From the start of the process until it listened.
    pub wall: Duration,
    /// Processor time until then.
    pub processor: Duration,
}

/// A running daemon. It is killed when dropped.
pub struct Daemon {
    child: Child,
    log: Arc<Log>,
    watched: Watched,
    cancellation: Cancellation,
    address: SocketAddr,
    start_cost: StartCost,
    memory_bound: u64,
}

impl Daemon {
    /// Starts the daemon and waits until it listens, for so long at most.
    pub fn start(
        launch: &Launch,
        limits: &Limits,
        cancellation: &Cancellation,
        configuration: &Path,
        state: &Path,
        limit: Duration,
    ) -> Result<Self, MeasureError> {
        let begun = Instant::now();
        let mut child = spawn(launch, configuration, state)?;
        let log = Arc::new(Log::default());
        if let Some(errors) = child.stderr.take() {
            read_log(errors, log.clone());
        }
        let watched = match limits.watch(child.id()) {
            Ok(watched) => watched,
            Err(error) => {
                end(&mut child);
                return Err(error);
            }
        };
        let mut daemon = Daemon {
            child,
            log,
            watched,
            cancellation: cancellation.clone(),
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            start_cost: StartCost { wall: Duration::ZERO, processor: Duration::ZERO },
            memory_bound: limits.memory_bytes(),
        };
        let is_start = |line: &str| listening(line).is_some();
        let line = daemon.wait_for_line("the daemon's start", limit, LogPosition::default(), is_start);
        let line = line.map_err(|error| match error {
            MeasureError::Late { limit, .. } => MeasureError::NotReady { limit, log: daemon.log.last() },
            other => other,
        })?;
        daemon.start_cost.wall = begun.elapsed();
        daemon.start_cost.processor = daemon.processor_time()?;
        daemon.address = listening(&line).unwrap_or(daemon.address);
        Ok(daemon)
    }

    /// Where clients connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What its start took.
    pub fn start_cost(&self) -> StartCost {
        self.start_cost
    }

    /// Processor time that it has used so far.
    pub fn processor_time(&self) -> Result<Duration, MeasureError> {
        system::processor_time(self.child.id()).ok_or_else(|| self.why_ended())
    }

    /// Memory that it uses.
    pub fn resident_bytes(&self) -> Result<u64, MeasureError> {
        system::resident_bytes(self.child.id()).ok_or_else(|| self.why_ended())
    }

    /// The most memory that it has used so far.
    pub fn peak_resident_bytes(&self) -> Result<u64, MeasureError> {
        system::peak_resident_bytes(self.child.id()).ok_or_else(|| self.why_ended())
    }

    /// The end of its log as it is now.
    pub fn log_end(&self) -> LogPosition {
        LogPosition(self.log.lines().count)
    }

    /// Waits for a line of the log from a place on, and returns it.
    pub fn wait_for_line(
        &mut self,
        what: &str,
        limit: Duration,
        from: LogPosition,
        is_it: impl Fn(&str) -> bool,
    ) -> Result<String, MeasureError> {
        let end = Instant::now() + limit;
        loop {
            if let Some(line) = self.find_line(from, &is_it) {
                return Ok(line);
            }
            self.check()?;
            if Instant::now() >= end {
                return Err(MeasureError::Late { what: what.to_owned(), limit });
            }
        }
    }

    /// A line of the log that is there, or comes within a moment.
    fn find_line(&self, from: LogPosition, is_it: &impl Fn(&str) -> bool) -> Option<String> {
        let lines = self.log.lines();
        lines.find(from, is_it).or_else(|| {
            let waited = self.log.more.wait_timeout(lines, LOOK);
            waited.unwrap_or_else(PoisonError::into_inner).0.find(from, is_it)
        })
    }

    /// An error if the run is to end, or the daemon has ended.
    pub fn check(&mut self) -> Result<(), MeasureError> {
        self.cancellation.check()?;
        match self.child.try_wait().map_err(MeasureError::io("waiting for the daemon"))? {
            Some(_) => Err(self.why_ended()),
            None => Ok(()),
        }
    }

    fn why_ended(&self) -> MeasureError {
        match self.watched.is_beyond() {
            true => MeasureError::MemoryBound { bound_bytes: self.memory_bound },
            false => MeasureError::Ended { log: self.log.last() },
        }
    }

    /// Waits until it rests, so that all that was asked of it is in its processor time.
    pub fn settle(&mut self, limit: Duration) -> Result<(), MeasureError> {
        let end = Instant::now() + limit;
        let mut before = self.processor_time()?;
        loop {
            thread::sleep(QUIET_FOR);
            self.check()?;
            let now = self.processor_time()?;
            if now.saturating_sub(before) < QUIET_USE {
                return Ok(());
            }
            if Instant::now() >= end {
                return Err(MeasureError::Late { what: "the daemon's rest".to_owned(), limit });
            }
            before = now;
        }
    }

    /// Tells it to read its configuration again.
    pub fn hang_up(&self) {
        self.signal(Signal::HUP);
    }

    /// Tells it to end, and waits for that.
    pub fn terminate(&mut self, limit: Duration) -> Result<(), MeasureError> {
        self.signal(Signal::TERM);
        let end = Instant::now() + limit;
        loop {
            if self.child.try_wait().map_err(MeasureError::io("waiting for the daemon"))?.is_some() {
                return Ok(());
            }
            self.cancellation.check()?;
            if Instant::now() >= end {
                return Err(MeasureError::Late { what: "the daemon's end".to_owned(), limit });
            }
            thread::sleep(Duration::from_millis(1));
        }
    }

    /// Ends it at once, as a crash would.
    pub fn kill(&mut self) {
        end(&mut self.child);
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            let _ = kill_process(pid, signal);
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        end(&mut self.child);
    }
}

fn spawn(launch: &Launch, configuration: &Path, state: &Path) -> Result<Child, MeasureError> {
    let mut words = launch.guard.iter().cloned().chain([launch.program.clone().into_os_string()]);
    let first = words.next().unwrap_or_default();
    Command::new(first)
        .args(words)
        .env("BALANCER_CONFIG", configuration)
        .env("BALANCER_STATE", state)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .map_err(MeasureError::io("starting the daemon"))
}

fn end(child: &mut Child) {
    // One that has ended already cannot be killed, and is waited for all the same.
    let _ = child.kill();
    let _ = child.wait();
}

fn read_log(errors: ChildStderr, log: Arc<Log>) {
    thread::spawn(move || {
        let lines = BufReader::new(errors).lines();
        lines.map_while(Result::ok).for_each(|line| log.push(line));
    });
}

/// The address in the line that says where the daemon listens.
fn listening(line: &str) -> Option<SocketAddr> {
    let rest = line.contains("listening").then(|| line.split_once("address="))??.1;
    rest.split_whitespace().next()?.parse().ok()
}
