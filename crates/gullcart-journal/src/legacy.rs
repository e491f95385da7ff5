//! Reads the single journal file of releases before 0.2: records with length and checksum, of which the first damaged one
//! ends the file.
//!
//! The file counts as the oldest segment, and is freed like any other once its live records have been rewritten. So there
//! is no conversion in one go, and a crash on the way does no harm.

use crate::buffered_reader::BufferedReader;
use crate::error::DamageKind;
use crate::state::{PendingMessage, PersistedOutage, Record, SentAttempt};
use crate::store::Store;
use gullcart_message::{AcceptedMessage, ListingUpdate, Verdict};
use serde::{Deserialize, Serialize};
use std::io;

/// Name of the journal file.
pub(crate) const FILE_NAME: &str = "journal";
/// Name of the file into which those releases compacted it.
pub(crate) const COMPACTION_FILE_NAME: &str = "journal.new";
const FRAME_BYTES: u64 = 8;
const MAX_PAYLOAD_BYTES: u32 = 4 << 20;

/// Records of the file. Variants are stored by their index, in the order that those releases gave them.
#[derive(Serialize, Deserialize)]
enum LegacyRecord {
    Accepted(u32, AcceptedMessage),
    AttemptStarted(u32, SentAttempt),
    AttemptFinished(u32, bool),
    VerdictSet(u32, Verdict),
    Completed(u32),
    FullMessage(u32, PendingMessage),
    Listing(ListingUpdate),
    Outages(Vec<PersistedOutage>),
    Destinations(Vec<u32>),
}

impl From<LegacyRecord> for Record {
    fn from(legacy: LegacyRecord) -> Record {
        match legacy {
            LegacyRecord::Accepted(number, message) => Record::Accepted(number, message),
            LegacyRecord::AttemptStarted(number, sent) => Record::AttemptStarted(number, sent),
            LegacyRecord::AttemptFinished(number, may_have_run) => {
                Record::AttemptFinished(number, may_have_run)
            }
            LegacyRecord::VerdictSet(number, verdict) => Record::VerdictSet(number, verdict),
            LegacyRecord::Completed(number) => Record::Completed(number),
            LegacyRecord::FullMessage(number, pending) => Record::FullMessage(number, pending),
            LegacyRecord::Listing(update) => Record::LegacyListing(update),
            LegacyRecord::Outages(outages) => Record::LegacyOutages(outages),
            LegacyRecord::Destinations(destinations) => Record::Destinations(destinations),
        }
    }
}

/// Reads the record at `offset`; returns it with its size, frame included.
pub(crate) fn read_record<S: Store>(
    reader: &mut BufferedReader<'_, S>,
    offset: u64,
    end: u64,
) -> io::Result<Result<(Record, u64), DamageKind>> {
    if offset + FRAME_BYTES > end {
        return Ok(Err(DamageKind::Truncated));
    }
    let Some(frame) = reader.get(offset, FRAME_BYTES as usize)? else {
        return Ok(Err(DamageKind::Truncated));
    };
    let (mut length, mut checksum) = ([0; 4], [0; 4]);
    length.copy_from_slice(&frame[..4]);
    checksum.copy_from_slice(&frame[4..8]);
    let length = u32::from_le_bytes(length);
    if length == 0 || length > MAX_PAYLOAD_BYTES || offset + FRAME_BYTES + u64::from(length) > end {
        return Ok(Err(DamageKind::UnreadableRecord));
    }
    let Some(payload) = reader.get(offset + FRAME_BYTES, length as usize)? else {
        return Ok(Err(DamageKind::Truncated));
    };
    if crc32fast::hash(payload) != u32::from_le_bytes(checksum) {
        return Ok(Err(DamageKind::UnreadableRecord));
    }
    let record: Result<LegacyRecord, _> = postcard::from_bytes(payload);
    Ok(record
        .map(|record| (record.into(), FRAME_BYTES + u64::from(length)))
        .map_err(|_| DamageKind::UnreadableRecord))
}
