//! What can go wrong with a journal.

use std::fmt;
use std::io;
use thiserror::Error;

/// Why the journal cannot be read, or a record not be written.
#[derive(Debug, Error)]
pub enum JournalError {
    /// The folder failed.
    #[error("the journal cannot {doing} {file}: {error}")]
    Io {
        /// What was tried.
        doing: &'static str,
        /// With which file.
        file: String,
        /// Why not.
        error: io::Error,
    },
    /// The folder is in use, or cannot be used at all.
    #[error("the journal's folder: {0}")]
    Folder(io::Error),
    /// A newer program wrote it. Nothing was touched.
    #[error(
        "{file} has format {version}, and this program reads up to {known}; start a program that knows it"
    )]
    Newer {
        /// Which file.
        file: String,
        /// Its format.
        version: u32,
        /// The newest that this program reads.
        known: u32,
    },
    /// Something is damaged that was promised. Nothing was touched.
    #[error(
        "{0}; nothing was changed. 'gullcartctl journal verify' says more, and 'gullcartctl journal repair' keeps the \
         files aside and takes over what can be proven"
    )]
    Damaged(Damage),
    /// A repair was cut off.
    #[error("a repair was not finished in {}; run 'gullcartctl journal repair' once more", .0.display())]
    Unfinished(std::path::PathBuf),
    /// There is no room for it now.
    #[error("the journal is full")]
    Full,
    /// It is larger than any record.
    #[error("a record of {0} bytes is too long for the journal")]
    Long(usize),
    /// It cannot be encoded.
    #[error("a record cannot be encoded: {0}")]
    Encode(#[from] postcard::Error),
}

/// Damage before records that are good.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Damage {
    /// Which file.
    pub file: String,
    /// Bytes from its beginning.
    pub offset: u64,
    /// What is wrong there.
    pub what: Wrong,
}

impl fmt::Display for Damage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} is damaged at byte {}: {}", self.file, self.offset, self.what)
    }
}

/// What is wrong at a place of the journal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Wrong {
    /// Its header cannot be read, or belongs to another journal.
    Header,
    /// A record cannot be read, and good ones come after it.
    Record,
    /// A record reads well and means nothing to this program.
    Unknown,
    /// The file ends before the records that it had.
    Short,
    /// The file is missing.
    Missing,
}

impl fmt::Display for Wrong {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Wrong::Header => "its header cannot be read, or is of another journal",
            Wrong::Record => "a record cannot be read, and good ones follow it",
            Wrong::Unknown => "a record is of no kind that this program knows",
            Wrong::Short => "it ends before the records that it had",
            Wrong::Missing => "it is missing, and others come after it",
        })
    }
}

pub(crate) fn doing(doing: &'static str, file: &str) -> impl FnOnce(io::Error) -> JournalError {
    let file = file.to_owned();
    move |error| JournalError::Io { doing, file, error }
}
