//! The outcome of a run, and the errors that prevent one.

use gullcart_rehearsal::Report;

/// The outcome of a run.
#[derive(Debug)]
pub struct EmulatedRun {
    /// The same report as that of a rehearsal.
    pub report: Report,
    /// CRC-32 of all trace lines. It depends only on the scenario and the seed.
    pub trace_checksum: u32,
    /// Number of trace lines.
    pub trace_lines: u64,
    /// Number of events that were scheduled, including those that were still to come at the end.
    pub scheduled_events: u64,
}

/// Why a run was not possible.
#[derive(Debug, thiserror::Error)]
pub enum EmulationError {
    /// The scenario results in settings that the couriers reject.
    #[error("the scenario gives invalid courier settings: {0}")]
    Settings(#[from] cloverstile::SettingError),
    /// A courier cannot start, since its journal cannot be replayed.
    #[error("courier {courier} cannot start: {error}")]
    Start {
        /// Index of the courier.
        courier: usize,
        /// The error of its journal.
        error: gullcart_journal::JournalError,
    },
}
