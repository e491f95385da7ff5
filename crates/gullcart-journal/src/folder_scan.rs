//! Finds the segments of a folder by file names and headers, before any record is read.

use crate::buffered_reader::BufferedReader;
use crate::error::{io_error, JournalError};
use crate::frame::{Header, HeaderError, SegmentId, FORMAT_VERSION, HEADER_BYTES};
use crate::legacy;
use crate::replay::SegmentFormat;
use crate::segment_log::{segment_file_name, segment_sequence, SPARE_FILE_NAME};
use crate::space_plan::size_on_disk;
use crate::store::Store;
use std::collections::BTreeMap;

/// A segment file.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SegmentFile {
    pub sequence: u64,
    pub length: u64,
    /// None if the header cannot be read, or belongs to another journal.
    pub format: Option<SegmentFormat>,
    /// Size of the previous segment, as the header says.
    pub previous_size: Option<u64>,
}

/// The files of a folder.
pub(crate) struct FolderScan {
    /// Segments in the order of their sequence numbers, without a gap.
    pub segments: Vec<SegmentFile>,
    /// Segments before a gap in the sequence. They are not needed, unless segments of the gap are missing because of damage.
    pub before_gap: Vec<SegmentFile>,
    /// Names of files that [`Journal::replay`](crate::Journal::replay) removes: spare files, and the segments before a gap.
    pub leftovers: Vec<String>,
    pub journal_id: Option<u64>,
    /// Sequence number of the oldest segment that is needed, as the headers say.
    pub oldest_needed: u64,
    /// Size on disk of files that do not belong to the journal.
    pub other_files_bytes: u64,
}

/// Reads the names and segment headers of a folder. A segment with a newer format version is an error.
pub(crate) fn scan_folder<S: Store>(store: &S) -> Result<FolderScan, JournalError> {
    let mut found = BTreeMap::new();
    let mut leftovers = Vec::new();
    let mut other_files_bytes = 0;
    for (name, length) in store.list().map_err(JournalError::Folder)? {
        if let Some(sequence) = segment_sequence(&name) {
            found.insert(sequence, length);
        } else if name == SPARE_FILE_NAME || name == legacy::COMPACTION_FILE_NAME {
            leftovers.push(name);
        } else {
            other_files_bytes += size_on_disk(length);
        }
    }
    let mut segments: Vec<SegmentFile> = Vec::new();
    let (mut journal_id, mut oldest_needed) = (None, 0);
    for (&sequence, &length) in &found {
        if sequence == 0 {
            segments.push(SegmentFile {
                sequence,
                length,
                format: Some(SegmentFormat::Legacy),
                previous_size: None,
            });
            continue;
        }
        let header = read_header(store, sequence)?.filter(|header| {
            let own_id = *journal_id.get_or_insert(header.id.journal_id);
            header.id == SegmentId { journal_id: own_id, sequence }
        });
        oldest_needed = oldest_needed.max(header.map_or(0, |header| header.oldest_needed));
        segments.push(SegmentFile {
            sequence,
            length,
            format: header.map(|header| SegmentFormat::Segment(header.id)),
            previous_size: header.map(|header| header.previous_size),
        });
    }
    // A machine crash may bring removed segments back. The segments that are needed have no gap.
    let gap = segments.windows(2).rposition(|two| two[1].sequence != two[0].sequence + 1);
    let before_gap: Vec<SegmentFile> = gap.map_or(Vec::new(), |gap| segments.drain(..=gap).collect());
    leftovers.extend(before_gap.iter().map(|segment| segment_file_name(segment.sequence)));
    Ok(FolderScan { segments, before_gap, leftovers, journal_id, oldest_needed, other_files_bytes })
}

fn read_header<S: Store>(store: &S, sequence: u64) -> Result<Option<Header>, JournalError> {
    let name = segment_file_name(sequence);
    let file = store.open(&name).map_err(io_error("open", &name))?;
    let mut reader = BufferedReader::new(store, &file);
    let bytes = reader.get(0, HEADER_BYTES as usize).map_err(io_error("read", &name))?;
    match Header::decode(bytes.unwrap_or_default()) {
        Ok(header) => Ok(Some(header)),
        Err(HeaderError::NewerVersion(version)) => {
            Err(JournalError::NewerVersion { file: name, version, supported: FORMAT_VERSION })
        }
        Err(HeaderError::Damaged) => Ok(None),
    }
}
