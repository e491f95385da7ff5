//! The operators' file: how long what is written has to last, and how large segments are.

use serde::Deserialize;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// What has to outlast what.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Durability {
    /// What was written outlasts the process: nothing is synced.
    #[default]
    Process,
    /// What was promised outlasts the machine: all that a turn of the loop wrote is synced before any of it is
    /// answered.
    Machine,
}

/// How a journal is kept.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Options {
    /// What has to outlast what.
    pub durability: Durability,
    /// Bytes of a segment; worked out from the disk if not given.
    pub segment: Option<u64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    #[serde(default)]
    durability: Durability,
    segment_kib: Option<u64>,
}

/// Why an operators' file cannot be used.
#[derive(Debug, Error)]
pub enum OptionsError {
    /// It cannot be read.
    #[error("{}: {error}", path.display())]
    Read {
        /// Which file.
        path: PathBuf,
        /// Why not.
        error: std::io::Error,
    },
    /// It means nothing.
    #[error("{}: {what}", path.display())]
    Parse {
        /// Which file.
        path: PathBuf,
        /// Where and why.
        what: String,
    },
}

impl Options {
    /// Reads an operators' file.
    pub fn read(path: &Path) -> Result<Self, OptionsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| OptionsError::Read { path: path.to_owned(), error })?;
        Self::parse(&text).map_err(|what| OptionsError::Parse { path: path.to_owned(), what })
    }

    /// Reads the text of one.
    pub fn parse(text: &str) -> Result<Self, String> {
        let file: File = toml::from_str(text).map_err(|error| error.to_string())?;
        let kib = file.segment_kib;
        if let Some(kib) = kib.filter(|kib| !(3..=1 << 20).contains(kib)) {
            return Err(format!("segment_kib is {kib}; it has to lie between 3 and 1048576"));
        }
        Ok(Options { durability: file.durability, segment: kib.map(|kib| kib << 10) })
    }
}

#[cfg(test)]
mod tests;
