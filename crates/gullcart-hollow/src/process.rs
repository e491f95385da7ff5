//! One process of the fleet: started, spoken to line by line, and ended by its id.

use crate::control::{Command, Report};
use rustix::process::{kill_process, Pid, Signal};
use std::ffi::OsString;
use std::io;
use std::path::PathBuf;
use std::process::Stdio;
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::process::{Child, ChildStdin, ChildStdout};
use tokio::time::{timeout, timeout_at, Instant};

/// The longest line that a process may write.
const MOST_LINE_BYTES: u64 = 32 << 20;
/// A process that has not answered a command by then is held to be lost.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(180);

/// How processes of the fleet are started: a program that serves as one when it is given these arguments.
#[derive(Clone, Debug)]
pub struct Launch {
    /// The program.
    pub program: PathBuf,
    /// What it is given.
    pub arguments: Vec<OsString>,
}

/// What went wrong with a process.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// It could not be started.
    #[error("cannot start {name}: {error}")]
    Start {
        /// The process.
        name: String,
        /// Why not.
        error: io::Error,
    },
    /// A signal could not be sent to it.
    #[error("cannot signal {name}: {error}")]
    Signal {
        /// The process.
        name: String,
        /// Why not.
        error: io::Error,
    },
    /// Its pipes broke.
    #[error("cannot speak with {name}: {error}")]
    Pipe {
        /// The process.
        name: String,
        /// Why not.
        error: io::Error,
    },
    /// It ended although nobody asked it to.
    #[error("{name} ended by itself")]
    Ended {
        /// The process.
        name: String,
    },
    /// It did not answer in time.
    #[error("{name} did not answer within {ANSWER_TIMEOUT:?}")]
    Silent {
        /// The process.
        name: String,
    },
    /// What it wrote is no report.
    #[error("{name} wrote what is no report: {error}")]
    Unreadable {
        /// The process.
        name: String,
        /// Why not.
        error: serde_json::Error,
    },
    /// It said that it cannot go on.
    #[error("{name}: {reason}")]
    Failed {
        /// The process.
        name: String,
        /// What it said.
        reason: String,
    },
    /// It answered something else than was asked.
    #[error("{name} answered something else than was asked")]
    Unexpected {
        /// The process.
        name: String,
    },
}

/// How a process came to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// By itself, once its commands ended.
    Orderly,
    /// It had to be killed.
    Killed,
}

/// A process of the fleet. It is killed when dropped.
pub struct Process {
    name: String,
    child: Child,
    commands: Option<ChildStdin>,
    reports: BufReader<ChildStdout>,
    is_stopped: bool,
}

impl Process {
    /// Starts a process that waits for its first command.
    pub fn start(launch: &Launch, name: &str) -> Result<Self, ProcessError> {
        let failed = |error| ProcessError::Start { name: name.to_owned(), error };
        let mut child = tokio::process::Command::new(&launch.program)
            .args(&launch.arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::inherit())
            .kill_on_drop(true)
            .spawn()
            .map_err(failed)?;
        let commands = child.stdin.take();
        let reports = child.stdout.take().ok_or_else(|| failed(io::ErrorKind::BrokenPipe.into()))?;
        Ok(Process {
            name: name.to_owned(),
            child,
            commands,
            reports: BufReader::new(reports),
            is_stopped: false,
        })
    }

    /// What it is called in messages.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Its id; none once it has ended.
    pub fn id(&self) -> Option<Pid> {
        self.child.id().and_then(|id| i32::try_from(id).ok()).and_then(Pid::from_raw)
    }

    /// Whether it was told to pause.
    pub fn is_stopped(&self) -> bool {
        self.is_stopped
    }

    /// Sends a command without waiting for its answer.
    pub async fn send(&mut self, command: &Command) -> Result<(), ProcessError> {
        let Some(commands) = &mut self.commands else {
            return Err(ProcessError::Ended { name: self.name.clone() });
        };
        let mut line = serde_json::to_vec(command)
            .map_err(|error| ProcessError::Unreadable { name: self.name.clone(), error })?;
        line.push(b'\n');
        let written = commands.write_all(&line).await;
        written.map_err(|error| ProcessError::Pipe { name: self.name.clone(), error })
    }

    /// The answer to the oldest command that was not answered yet.
    pub async fn receive(&mut self) -> Result<Report, ProcessError> {
        let mut line = Vec::new();
        let mut limited = (&mut self.reports).take(MOST_LINE_BYTES);
        let read = match timeout(ANSWER_TIMEOUT, limited.read_until(b'\n', &mut line)).await {
            Ok(read) => read,
            Err(_) => return Err(ProcessError::Silent { name: self.name.clone() }),
        };
        read.map_err(|error| ProcessError::Pipe { name: self.name.clone(), error })?;
        if line.is_empty() {
            return Err(ProcessError::Ended { name: self.name.clone() });
        }
        match serde_json::from_slice(&line) {
            Ok(Report::Failed(reason)) => Err(ProcessError::Failed { name: self.name.clone(), reason }),
            Ok(report) => Ok(report),
            Err(error) => Err(ProcessError::Unreadable { name: self.name.clone(), error }),
        }
    }

    /// Sends a command and waits for its answer.
    pub async fn call(&mut self, command: &Command) -> Result<Report, ProcessError> {
        self.send(command).await?;
        self.receive().await
    }

    /// An answer of another kind than the command has.
    pub fn unexpected(&self) -> ProcessError {
        ProcessError::Unexpected { name: self.name.clone() }
    }

    /// Pauses the process as a whole (`SIGSTOP`).
    pub fn stop(&mut self) -> Result<(), ProcessError> {
        self.signal(Signal::STOP)?;
        self.is_stopped = true;
        Ok(())
    }

    /// Lets a paused process go on (`SIGCONT`).
    pub fn resume(&mut self) -> Result<(), ProcessError> {
        self.signal(Signal::CONT)?;
        self.is_stopped = false;
        Ok(())
    }

    /// Kills the process and waits until it is gone.
    pub async fn kill(&mut self) -> Result<(), ProcessError> {
        self.signal(Signal::KILL)?;
        let ended = self.child.wait().await;
        ended.map(drop).map_err(|error| ProcessError::Signal { name: self.name.clone(), error })
    }

    /// Lets no further command come, which ends a process that is well.
    pub fn close(&mut self) {
        self.commands = None;
    }

    /// Waits for the end until then, and kills what has not ended. Returns when the process is gone.
    pub async fn finish(&mut self, deadline: Instant) -> Result<Ending, ProcessError> {
        self.close();
        if timeout_at(deadline, self.child.wait()).await.is_ok() {
            return Ok(Ending::Orderly);
        }
        self.kill().await?;
        Ok(Ending::Killed)
    }

    fn signal(&self, signal: Signal) -> Result<(), ProcessError> {
        let Some(id) = self.id() else {
            return Err(ProcessError::Ended { name: self.name.clone() });
        };
        let sent = kill_process(id, signal);
        sent.map_err(|error| ProcessError::Signal { name: self.name.clone(), error: error.into() })
    }
}
