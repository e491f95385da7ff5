//! The journal's options file for operators: durability and segment size.

use serde::Deserialize;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Which crashes written records have to survive.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Durability {
    /// Records survive a crash of the process: nothing is synced.
    #[default]
    Process,
    /// Records survive a crash of the machine: all that one iteration of the event loop wrote is synced before any of its
    /// replies is sent.
    Machine,
}

/// Options of a journal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Options {
    /// Which crashes written records have to survive.
    pub durability: Durability,
    /// Size of a segment; follows from the disk size if not given.
    pub segment_bytes: Option<u64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct OptionsFile {
    #[serde(default)]
    durability: Durability,
    segment_kib: Option<u64>,
}

/// Why an options file cannot be used.
#[derive(Debug, Error)]
pub enum OptionsError {
    /// The file cannot be read.
    #[error("{}: {error}", path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// The cause.
        error: std::io::Error,
    },
    /// The file's contents are invalid.
    #[error("{}: {message}", path.display())]
    Parse {
        /// Path of the file.
        path: PathBuf,
        /// Position and cause of the error.
        message: String,
    },
}

impl Options {
    /// Reads an options file.
    pub fn read(path: &Path) -> Result<Self, OptionsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| OptionsError::Read { path: path.to_owned(), error })?;
        Self::parse(&text).map_err(|message| OptionsError::Parse { path: path.to_owned(), message })
    }

    /// Parses the text of an options file.
    pub fn parse(text: &str) -> Result<Self, String> {
        let file: OptionsFile = toml::from_str(text).map_err(|error| error.to_string())?;
        let kib = file.segment_kib;
        if let Some(kib) = kib.filter(|kib| !(3..=1 << 20).contains(kib)) {
            return Err(format!("segment_kib is {kib}; it has to be between 3 and 1048576"));
        }
        Ok(Options { durability: file.durability, segment_bytes: kib.map(|kib| kib << 10) })
    }
}

#[cfg(test)]
mod tests;
