//! The engine's state in serialized form, which lets another process resume the engine. It holds what the journal does not.

use cloverstile::{Courier, EndpointId, MessageId, Time};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use thiserror::Error;

use crate::directory::Directory;
use crate::ended_messages::EndedMessages;

/// Version of the snapshot's format. Raise it with every change of a type that the snapshot contains.
pub(crate) const SNAPSHOT_FORMAT: u32 = 5;
/// The previous format, which lacks the ended messages at the end. It is read too, so that an upgrade from the release that writes
/// it keeps its state.
const FORMAT_WITHOUT_ENDED_MESSAGES: u32 = 4;

/// A call that is in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlightCall {
    /// The endpoint that is called.
    pub endpoint: EndpointId,
    /// Index of the attempt among the message's attempts, from 0.
    pub attempt: u16,
    /// The call was asked to stop.
    pub is_cancel_requested: bool,
}

/// Why a snapshot cannot be resumed. The engine then starts from the journal alone.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum ResumeError {
    /// The snapshot was written by a release with another format.
    #[error("the snapshot has format {0}, but this release reads format {SNAPSHOT_FORMAT}")]
    UnsupportedFormat(u32),
    /// The snapshot was written under other settings.
    #[error("the snapshot was written under other settings")]
    SettingsMismatch,
    /// The snapshot is truncated, has trailing bytes or does not decode.
    #[error("the snapshot is corrupt")]
    Corrupt,
    /// The journal and the snapshot do not hold the same messages.
    #[error(
        "the snapshot and the journal hold different messages: {only_in_journal} are only in the journal, and \
         {calls_without_message} calls in flight have no message there"
    )]
    JournalMismatch {
        /// Number of undecided messages that the snapshot lacks.
        only_in_journal: usize,
        /// Number of calls in flight whose message the journal lacks.
        calls_without_message: usize,
    },
}

/// Precedes the snapshot. Its own format never changes, so that every release can read it.
#[derive(Serialize, Deserialize)]
pub(crate) struct SnapshotHeader {
    pub format: u32,
    /// Checksum of the settings. Class, zone and kind numbers in the snapshot are valid only under the same settings.
    pub settings_checksum: u32,
}

/// What another process needs besides the journal to resume the engine.
#[derive(Serialize, Deserialize)]
pub(crate) struct EngineSnapshot {
    pub decision_logic: Courier,
    pub directory: Directory,
    pub in_flight: BTreeMap<MessageId, InFlightCall>,
    /// Messages for which more than one enqueue request was answered.
    pub shared_messages: Vec<MessageId>,
    /// When the decision logic's timer is due, and the timer's token.
    pub wake_up: Option<(Time, u64)>,
    /// Messages that have ended and may have run. Stands behind all other fields, see [`FORMAT_WITHOUT_ENDED_MESSAGES`].
    #[serde(skip)]
    pub ended_messages: EndedMessages,
}

/// Serializes the header and the snapshot.
pub(crate) fn write(header: &SnapshotHeader, snapshot: &EngineSnapshot) -> Result<Vec<u8>, postcard::Error> {
    let bytes = postcard::to_extend(header, Vec::new())?;
    let bytes = postcard::to_extend(snapshot, bytes)?;
    postcard::to_extend(&snapshot.ended_messages, bytes)
}

/// Deserializes a header and a snapshot, and checks the format and the checksum of the settings.
pub(crate) fn read(bytes: &[u8], settings_checksum: u32) -> Result<EngineSnapshot, ResumeError> {
    let (header, rest): (SnapshotHeader, _) =
        postcard::take_from_bytes(bytes).map_err(|_| ResumeError::Corrupt)?;
    if ![SNAPSHOT_FORMAT, FORMAT_WITHOUT_ENDED_MESSAGES].contains(&header.format) {
        return Err(ResumeError::UnsupportedFormat(header.format));
    }
    if header.settings_checksum != settings_checksum {
        return Err(ResumeError::SettingsMismatch);
    }
    let (mut snapshot, mut rest): (EngineSnapshot, _) =
        postcard::take_from_bytes(rest).map_err(|_| ResumeError::Corrupt)?;
    if header.format != FORMAT_WITHOUT_ENDED_MESSAGES {
        (snapshot.ended_messages, rest) =
            postcard::take_from_bytes(rest).map_err(|_| ResumeError::Corrupt)?;
    }
    match rest {
        [] => Ok(snapshot),
        _ => Err(ResumeError::Corrupt),
    }
}
