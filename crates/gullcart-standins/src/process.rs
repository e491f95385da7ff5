//! Runs real `gullcart` processes. They are killed when the process that started them ends, however it ends.

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

/// How long a process may take until it listens.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Most recent lines of the log that are kept.
const MAX_LOG_LINES: usize = 200;

/// How couriers are started.
#[derive(Clone, Debug)]
pub struct LaunchOptions {
    /// The executable of the daemon.
    pub program: PathBuf,
    /// A command line that runs the program given after it, so that the courier dies with its parent even if that is
    /// killed; see [`exec_tied_to_parent`]. Empty for none.
    pub wrapper: Vec<OsString>,
    /// Additional environment variables.
    pub environment: Vec<(String, String)>,
}

/// Why a courier could not be started.
#[derive(Debug, Error)]
pub enum StartError {
    /// The process could not be spawned.
    #[error("cannot start {program}: {error}")]
    Spawn {
        /// The executable of the daemon.
        program: PathBuf,
        /// The cause.
        error: io::Error,
    },
    /// The process ended, or did not listen in time.
    #[error("{program} ended or did not listen in time; end of its log: {log}")]
    NotListening {
        /// The executable of the daemon.
        program: PathBuf,
        /// The last lines of its log.
        log: String,
    },
}

/// The last lines of a log, shared with the task that reads them.
pub type Log = Rc<RefCell<VecDeque<String>>>;

/// A courier's process in a rehearsal, for a single-threaded runtime. It is killed when dropped. The blocking counterpart for
/// tests is [`crate::world::Courier`].
pub struct Courier {
    pid: Pid,
    address: SocketAddr,
    exited: watch::Receiver<bool>,
    log: Log,
}

impl Courier {
    /// Starts a courier with a state folder and a configuration file, and waits until it listens.
    pub async fn start(options: &LaunchOptions, config: &Path, state: &Path) -> Result<Self, StartError> {
        let program = options.program.clone();
        let mut command_line = options.wrapper.iter().cloned().chain([program.clone().into_os_string()]);
        let failed = |error| StartError::Spawn { program: program.clone(), error };
        let executable = command_line.next().unwrap_or_default();
        let mut child = Command::new(executable)
            .args(command_line)
            .env("BALANCER_STATE", state)
            .env("BALANCER_CONFIG", config)
            .envs(options.environment.iter().map(|(name, value)| (name, value)))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .map_err(failed)?;
        let pid = child.id().and_then(|id| Pid::from_raw(id as i32));
        let pid = pid.ok_or_else(|| failed(io::Error::other("the process has ended already")))?;
        let log = Log::default();
        let (address_sender, address) = oneshot::channel();
        read_log(&mut child, log.clone(), address_sender);
        let exited = watch_exit(child);
        let not_listening = |log: &Log| {
            let lines: Vec<String> = log.borrow().iter().rev().take(5).rev().cloned().collect();
            StartError::NotListening { program: program.clone(), log: lines.join(" | ") }
        };
        match timeout(START_TIMEOUT, address).await {
            Ok(Ok(address)) => Ok(Courier { pid, address, exited, log }),
            _ => {
                let _ = kill_process(pid, Signal::KILL);
                Err(not_listening(&log))
            }
        }
    }

    /// The address for clients.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The last lines of its log.
    pub fn log(&self) -> Log {
        self.log.clone()
    }

    /// A channel whose value becomes true when the process has ended.
    pub fn exit_watch(&self) -> watch::Receiver<bool> {
        self.exited.clone()
    }

    /// Whether the process has ended.
    pub fn has_exited(&self) -> bool {
        *self.exited.borrow()
    }

    /// Sends a signal, unless the process has ended.
    pub fn signal(&self, signal: Signal) {
        if !self.has_exited() {
            let _ = kill_process(self.pid, signal);
        }
    }

    /// Waits until the process has ended, for `limit` at most, and returns whether it has.
    pub async fn wait_for_exit(&self, limit: Duration) -> bool {
        let mut exited = self.exited.clone();
        // The channel is closed only after the exit, so a closed channel means that the process has ended.
        let exited = timeout(limit, exited.wait_for(|exited| *exited)).await;
        exited.is_ok()
    }

    /// Limits the size of the files that the process writes, to simulate a full disk; `None` removes the limit.
    pub fn limit_file_size(&self, size: Option<u64>) -> io::Result<()> {
        let maximum = None;
        prlimit(Some(self.pid), Resource::Fsize, Rlimit { current: size, maximum })?;
        Ok(())
    }

    /// Resident memory in KiB; `None` once the process has ended.
    pub fn resident_kib(&self) -> Option<u64> {
        if self.has_exited() {
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

/// Collects the log from stderr, and sends the address once the log names it.
fn read_log(child: &mut Child, log: Log, address_sender: oneshot::Sender<SocketAddr>) {
    let Some(errors) = child.stderr.take() else { return };
    spawn_local(async move {
        let mut address_sender = Some(address_sender);
        let mut lines = BufReader::new(errors).lines();
        while let Ok(Some(line)) = lines.next_line().await {
            if let Some(address) = listening_address(&line) {
                if let Some(address_sender) = address_sender.take() {
                    let _ = address_sender.send(address);
                }
            }
            let mut log = log.borrow_mut();
            if log.len() == MAX_LOG_LINES {
                log.pop_front();
            }
            log.push_back(line);
        }
    });
}

/// The address in the log line with which the daemon reports that it listens.
fn listening_address(line: &str) -> Option<SocketAddr> {
    let rest = line.contains("listening").then(|| line.split_once("address="))??.1;
    rest.split_whitespace().next()?.parse().ok()
}

/// Watches for the end of a process. The process is killed when the runtime drops this task.
fn watch_exit(mut child: Child) -> watch::Receiver<bool> {
    let (sender, exited) = watch::channel(false);
    spawn_local(async move {
        let _ = child.wait().await;
        sender.send_replace(true);
        // Keeps the sender while there are receivers.
        sender.closed().await;
    });
    exited
}

/// Replaces the calling process with the given program, which is killed when the parent process dies. Returns only on
/// failure.
///
/// The program runs with `SIGXFSZ` ignored, because that signal would end a process that exceeds
/// [`Courier::limit_file_size`]. It is started through a shell, since setting the disposition of a signal takes unsafe code.
pub fn exec_tied_to_parent(program: &OsString, arguments: &[OsString]) -> io::Error {
    use std::os::unix::process::CommandExt;
    let parent = rustix::process::getppid();
    if let Err(error) = rustix::process::set_parent_process_death_signal(Some(Signal::KILL)) {
        return error.into();
    }
    // The parent may have died before the death signal was set.
    if rustix::process::getppid() != parent {
        return io::Error::other("the parent process has ended");
    }
    std::process::Command::new("/bin/sh")
        .args(["-c", "trap '' XFSZ; exec \"$0\" \"$@\""])
        .arg(program)
        .args(arguments)
        .exec()
}
