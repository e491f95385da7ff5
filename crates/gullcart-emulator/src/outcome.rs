//! How a day in virtual time went, and why it may not be played.

use gullcart_rehearsal::Report;

/// How a day in virtual time went.
#[derive(Debug)]
pub struct Emulated {
    /// As of a rehearsal.
    pub report: Report,
    /// The sum of all trace lines: the same wherever the same is played.
    pub trace: u32,
    /// Trace lines.
    pub entries: u64,
    /// Things that happened in the world.
    pub steps: u64,
}

/// What stands in the way of playing a day.
#[derive(Debug, thiserror::Error)]
pub enum EmulationError {
    /// The scenario's figures are none that a courier takes.
    #[error("the couriers' settings: {0}")]
    Settings(#[from] cloverstile::SettingError),
    /// A courier cannot start.
    #[error("courier {courier} cannot start: {error}")]
    Start {
        /// Which.
        courier: usize,
        /// Why.
        error: gullcart_journal::JournalError,
    },
}
