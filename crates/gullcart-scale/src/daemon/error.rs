//! Why a measurement, or one size of it, has no result.

use crate::record::RecordError;
use std::io;
use std::time::Duration;
use thiserror::Error;

/// Why a measurement has no result.
#[derive(Debug, Error)]
pub enum MeasureError {
    /// Something around the daemon failed.
    #[error("{what}: {error}")]
    Io {
        /// What was being done.
        what: &'static str,
        /// Why it failed.
        error: io::Error,
    },
    /// The daemon never listened.
    #[error("the daemon did not listen within {limit:?}; it said: {log}")]
    NotReady {
        /// How long it was waited for.
        limit: Duration,
        /// Its last lines.
        log: String,
    },
    /// The daemon ended by itself.
    #[error("the daemon ended; it said: {log}")]
    Ended {
        /// Its last lines.
        log: String,
    },
    /// The daemon was ended because it used too much memory.
    #[error("the daemon was ended beyond {bound_bytes} bytes of memory")]
    MemoryBound {
        /// The most that it may use.
        bound_bytes: u64,
    },
    /// A size is not begun, because it would use too much memory.
    #[error("it would take about {expected_bytes} bytes of memory, and {bound_bytes} are allowed")]
    ExpectedMemory {
        /// What the smaller sizes lead to expect.
        expected_bytes: u64,
        /// The most that it may use.
        bound_bytes: u64,
    },
    /// Something did not happen in time.
    #[error("{what} did not happen within {limit:?}")]
    Late {
        /// What was waited for.
        what: String,
        /// For how long.
        limit: Duration,
    },
    /// Not all messages were taken on in time.
    #[error("{taken} messages were taken on within {limit:?}")]
    HeldOnly {
        /// How many were.
        taken: u64,
        /// How long there was.
        limit: Duration,
    },
    /// The daemon gave up its watch on the list instead of taking a change in.
    #[error("the daemon did not read the list: {log}")]
    ListRefused {
        /// What it said.
        log: String,
    },
    /// A client's connection broke, or it waited too long.
    #[error("a client of the daemon: {0}")]
    Client(io::Error),
    /// A client was answered something else than expected.
    #[error("a client was answered '{0}'")]
    Answer(String),
    /// More processes were asked for than a run may start.
    #[error("{asked} processes are more than the {most} of a run")]
    TooManyProcesses {
        /// How many there would be.
        asked: usize,
        /// How many there may be.
        most: usize,
    },
    /// The sizes given cannot be measured.
    #[error("sizes: {0}")]
    Sizes(&'static str),
    /// The run was told to end.
    #[error("interrupted: all that was started has been ended")]
    Interrupted,
    /// The result cannot be kept.
    #[error(transparent)]
    Record(#[from] RecordError),
}

impl MeasureError {
    /// For `map_err`: an I/O error with what was being done.
    pub fn io(what: &'static str) -> impl FnOnce(io::Error) -> MeasureError {
        move |error| MeasureError::Io { what, error }
    }

    /// Whether only the size at hand has no result; other errors end the whole run.
    pub fn is_of_one_size(&self) -> bool {
        !matches!(
            self,
            MeasureError::Interrupted
                | MeasureError::Io { .. }
                | MeasureError::Sizes(_)
                | MeasureError::TooManyProcesses { .. }
                | MeasureError::Record(_)
        )
    }
}
