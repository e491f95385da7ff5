//! Errors of the journal.

use std::fmt;
use std::io;
use thiserror::Error;

/// Why the journal cannot be read, or a record cannot be written.
#[derive(Debug, Error)]
pub enum JournalError {
    /// A file operation failed.
    #[error("the journal cannot {operation} {file}: {error}")]
    Io {
        /// The operation that failed.
        operation: &'static str,
        /// The file's name.
        file: String,
        /// The cause.
        error: io::Error,
    },
    /// The folder cannot be used, for example because another process uses it.
    #[error("the journal's folder cannot be used: {0}")]
    Folder(io::Error),
    /// A newer program wrote the journal. No file was changed.
    #[error("{file} has format {version}, and this program reads up to {supported}; start a newer release")]
    NewerVersion {
        /// The file's name.
        file: String,
        /// Its format version.
        version: u32,
        /// The newest version that this program reads.
        supported: u32,
    },
    /// Records that had been durable are damaged. No file was changed.
    #[error(
        "{0}; nothing was changed. 'gullcartctl journal verify' shows details, and 'gullcartctl journal repair' keeps \
         the damaged files aside and recovers all records that can be verified"
    )]
    Damaged(Damage),
    /// A repair was interrupted.
    #[error("a repair was not finished in {}; run 'gullcartctl journal repair' once more", .0.display())]
    UnfinishedRepair(std::path::PathBuf),
    /// There is no space for the record now.
    #[error("the journal is full")]
    Full,
    /// The record is larger than the format allows.
    #[error("a record of {0} bytes is too long for the journal")]
    RecordTooLong(usize),
    /// The record cannot be encoded.
    #[error("a record cannot be encoded: {0}")]
    Encode(#[from] postcard::Error),
}

/// Damage to records that had been durable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Damage {
    /// The file's name.
    pub file: String,
    /// Offset of the damage in the file, in bytes.
    pub offset: u64,
    /// The kind of damage.
    pub kind: DamageKind,
}

impl fmt::Display for Damage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} is damaged at byte {}: {}", self.file, self.offset, self.kind)
    }
}

/// Kinds of damage to a segment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DamageKind {
    /// The segment's header cannot be read, or belongs to another journal.
    InvalidHeader,
    /// A record that was written completely cannot be read.
    UnreadableRecord,
    /// A record has a valid checksum, but this program cannot decode it.
    UnknownRecordKind,
    /// The file ends before the last of its records.
    Truncated,
    /// The file is missing.
    Missing,
}

impl fmt::Display for DamageKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            DamageKind::InvalidHeader => "its header cannot be read, or belongs to another journal",
            DamageKind::UnreadableRecord => "a record that was written completely cannot be read",
            DamageKind::UnknownRecordKind => "a record is of a kind that this program does not know",
            DamageKind::Truncated => "the file ends before the last of its records",
            DamageKind::Missing => "the file is missing, and later segments exist",
        })
    }
}

/// Wraps an I/O error with the operation that failed and the file's name.
pub(crate) fn io_error(operation: &'static str, file: &str) -> impl FnOnce(io::Error) -> JournalError {
    let file = file.to_owned();
    move |error| JournalError::Io { operation, file, error }
}
