//! The engine that goes on in another process: all that the journal does not hold, as one block of bytes.

use cloverstile::{Courier, EndpointId, MessageId, Time};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use thiserror::Error;

use crate::directory::Directory;

/// Whoever changes a type that is carried raises it.
pub(crate) const SNAPSHOT_FORMAT: u32 = 4;

/// A call that is out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlightCall {
    /// The endpoint that was called.
    pub endpoint: EndpointId,
    /// The how-manieth attempt of the message, from 0.
    pub attempt: u16,
    /// The module has called it off.
    pub is_cancel_requested: bool,
}

/// Why a block cannot be taken up. The journal alone is enough for an ordinary start.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum ResumeError {
    /// Written by a release that keeps other books.
    #[error("its format is {0}, and this release reads {SNAPSHOT_FORMAT}")]
    UnsupportedFormat(u32),
    /// Its classes, kinds, zones or figures are others.
    #[error("the settings are others")]
    SettingsMismatch,
    /// It ends early, or says what cannot be.
    #[error("it cannot be read")]
    Corrupt,
    /// The journal and the books do not hold the same messages.
    #[error("the journal holds other messages")]
    JournalMismatch,
}

/// Comes first, so that it can be read whatever follows.
#[derive(Serialize, Deserialize)]
pub(crate) struct SnapshotHeader {
    pub format: u32,
    /// Sum over the settings, which give the numbers in the books their meaning.
    pub settings: u32,
}

#[derive(Serialize, Deserialize)]
pub(crate) struct EngineSnapshot {
    pub courier: Courier,
    pub directory: Directory,
    pub in_flight: BTreeMap<MessageId, InFlightCall>,
    /// Messages that a second hand-in was told are held.
    pub shared_messages: Vec<MessageId>,
    pub wake_up: Option<(Time, u64)>,
}

pub(crate) fn write(label: &SnapshotHeader, carried: &EngineSnapshot) -> Result<Vec<u8>, postcard::Error> {
    let block = postcard::to_extend(label, Vec::new())?;
    postcard::to_extend(carried, block)
}

pub(crate) fn read(block: &[u8], settings: u32) -> Result<EngineSnapshot, ResumeError> {
    let (label, rest): (SnapshotHeader, _) =
        postcard::take_from_bytes(block).map_err(|_| ResumeError::Corrupt)?;
    if label.format != SNAPSHOT_FORMAT {
        return Err(ResumeError::UnsupportedFormat(label.format));
    }
    if label.settings != settings {
        return Err(ResumeError::SettingsMismatch);
    }
    match postcard::take_from_bytes(rest) {
        Ok((carried, [])) => Ok(carried),
        _ => Err(ResumeError::Corrupt),
    }
}
