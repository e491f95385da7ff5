//! Real `gullcart` processes: started, signalled, and ended with the kit whatever happens to it.

use rustix::process::{kill_process, prlimit, Pid, Resource, Rlimit, Signal};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::ffi::OsString;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::sync::{oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::timeout;

/// A process that does not listen by then never will.
const START: Duration = Duration::from_secs(30);
/// Lines of its log that are kept.
const LOG_LINES: usize = 200;

/// How couriers are started.
#[derive(Clone, Debug)]
pub struct Launch {
    /// The daemon.
    pub program: PathBuf,
    /// A command that is put before it, so that it dies with the kit even if that is killed.
    pub guard: Vec<OsString>,
    /// Further variables.
    pub variables: Vec<(String, String)>,
}

/// Why a courier is not running.
#[derive(Debug, Error)]
pub enum StartError {
    /// It could not be started at all.
    #[error("cannot start {program}: {error}")]
    Spawn {
        /// The daemon.
        program: PathBuf,
        /// Why.
        error: io::Error,
    },
    /// It ended, or never listened.
    #[error("{program} did not listen; it said: {log}")]
    Silent {
        /// The daemon.
        program: PathBuf,
        /// Its last lines.
        log: String,
    },
}

/// The last lines of a log.
pub type Log = Rc<RefCell<VecDeque<String>>>;

/// A courier's process. It is killed when dropped.
pub struct Courier {
    pid: Pid,
    address: SocketAddr,
    ended: watch::Receiver<bool>,
    log: Log,
}

impl Courier {
    /// Starts a courier on a folder and a configuration, and waits until it listens.
    pub async fn start(launch: &Launch, config: &Path, state: &Path) -> Result<Self, StartError> {
        let program = launch.program.clone();
        let mut words = launch.guard.iter().cloned().chain([program.clone().into_os_string()]);
        let failed = |error| StartError::Spawn { program: program.clone(), error };
        let first = words.next().unwrap_or_default();
        let mut child = Command::new(first)
            .args(words)
            .env("BALANCER_STATE", state)
            .env("BALANCER_CONFIG", config)
            .envs(launch.variables.iter().map(|(name, value)| (name, value)))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .map_err(failed)?;
        let pid = child.id().and_then(|id| Pid::from_raw(id as i32));
        let pid = pid.ok_or_else(|| failed(io::Error::other("it has no process id")))?;
        let log = Log::default();
        let (found, address) = oneshot::channel();
        read_log(&mut child, log.clone(), found);
        let ended = watch_end(child);
        let silent = |log: &Log| {
            let lines: Vec<String> = log.borrow().iter().rev().take(5).rev().cloned().collect();
            StartError::Silent { program: program.clone(), log: lines.join(" | ") }
        };
        match timeout(START, address).await {
            Ok(Ok(address)) => Ok(Courier { pid, address, ended, log }),
            _ => {
                let _ = kill_process(pid, Signal::KILL);
                Err(silent(&log))
            }
        }
    }

    /// Where clients connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Its last lines.
    pub fn log(&self) -> Log {
        self.log.clone()
    }

    /// Turns true when the process has ended.
    pub fn ended(&self) -> watch::Receiver<bool> {
        self.ended.clone()
    }

    /// Whether it has ended.
    pub fn has_ended(&self) -> bool {
        *self.ended.borrow()
    }

    /// Sends a signal, if it is there.
    pub fn signal(&self, signal: Signal) {
        if !self.has_ended() {
            let _ = kill_process(self.pid, signal);
        }
    }

    /// Waits until it has ended, for so long at most; whether it has.
    pub async fn wait(&self, limit: Duration) -> bool {
        let mut ended = self.ended.clone();
        // The sender tells before it goes.
        let ended = timeout(limit, ended.wait_for(|ended| *ended)).await;
        ended.is_ok()
    }

    /// Lets no file grow past a size, as a full disk would; none lifts the limit.
    pub fn limit_files(&self, size: Option<u64>) -> io::Result<()> {
        let maximum = None;
        prlimit(Some(self.pid), Resource::Fsize, Rlimit { current: size, maximum })?;
        Ok(())
    }

    /// Memory in use, in KiB; none once it has ended.
    pub fn memory_kb(&self) -> Option<u64> {
        if self.has_ended() {
            return None;
        }
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid.as_raw_nonzero())).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        line.split_whitespace().next()?.parse().ok()
    }
}

impl Drop for Courier {
    fn drop(&mut self) {
        self.signal(Signal::KILL);
    }
}

fn read_log(child: &mut Child, log: Log, found: oneshot::Sender<SocketAddr>) {
    let Some(errors) = child.stderr.take() else { return };
    spawn_local(async move {
        let mut found = Some(found);
        let mut lines = BufReader::new(errors).lines();
        while let Ok(Some(line)) = lines.next_line().await {
            if let Some(address) = listening(&line) {
                if let Some(found) = found.take() {
                    let _ = found.send(address);
                }
            }
            let mut log = log.borrow_mut();
            if log.len() == LOG_LINES {
                log.pop_front();
            }
            log.push_back(line);
        }
    });
}

/// The address in the line that says where the daemon listens.
fn listening(line: &str) -> Option<SocketAddr> {
    let rest = line.contains("listening").then(|| line.split_once("address="))??.1;
    rest.split_whitespace().next()?.parse().ok()
}

/// Waits for the end of a process; it is killed if nobody waits any more.
fn watch_end(mut child: Child) -> watch::Receiver<bool> {
    let (tell, ended) = watch::channel(false);
    spawn_local(async move {
        let _ = child.wait().await;
        tell.send_replace(true);
        // Kept until all who ask are gone.
        tell.closed().await;
    });
    ended
}

/// Ties the calling process to the one that started it, and becomes the given program: if the starter dies, so does
/// it. Returns only on failure.
///
/// A file that may not grow ends a process by a signal unless that is ignored, which only a shell can pass on
/// without unsafe code.
pub fn guard(program: &OsString, arguments: &[OsString]) -> io::Error {
    use std::os::unix::process::CommandExt;
    let starter = rustix::process::getppid();
    if let Err(error) = rustix::process::set_parent_process_death_signal(Some(Signal::KILL)) {
        return error.into();
    }
    // It may have died before it could be watched.
    if rustix::process::getppid() != starter {
        return io::Error::other("the starter is gone");
    }
    std::process::Command::new("/bin/sh")
        .args(["-c", "trap '' XFSZ; exec \"$0\" \"$@\""])
        .arg(program)
        .args(arguments)
        .exec()
}
