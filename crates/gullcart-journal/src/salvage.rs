//! Reads a journal that may be damaged: all records that can be verified, and which messages are in doubt because of those
//! that cannot.

use crate::buffered_reader::BufferedReader;
use crate::error::{io_error, Damage, DamageKind, JournalError};
use crate::folder_scan::{scan_folder, SegmentFile};
use crate::frame::{SegmentId, HEADER_BYTES};
use crate::replay::{find_valid_records, read_segment, read_segment_from, SegmentEnd, SegmentFormat};
use crate::segment_index::SegmentIndex;
use crate::segment_log::segment_file_name;
use crate::space_plan::size_on_disk;
use crate::state::{JournalState, Record};
use crate::store::Store;
use serde::Serialize;
use std::collections::BTreeSet;

/// A message in doubt counts as attempted this long before its deadline, as the time of a lost attempt is unknown. After a
/// day no destination keeps an idempotency key any more, so the attempt is never taken for one that can be repeated safely.
const DOUBT_BACKDATE_MS: u64 = 86_400_000;

/// What was found in a segment.
#[derive(Clone, Debug, Serialize)]
pub struct SegmentReport {
    /// File name.
    pub file: String,
    /// Sequence number; 0 is the single file of releases before 0.2.
    pub sequence: u64,
    /// Size of the file on disk.
    pub on_disk: u64,
    /// Size of the header and all valid records.
    #[serde(rename = "size")]
    pub valid_bytes: u64,
    /// Number of valid records.
    pub records: u64,
    /// Bytes of the latest full records of pending messages.
    #[serde(rename = "live")]
    pub live_bytes: u64,
}

/// What was found in a journal's folder.
#[derive(Clone, Debug, Default, Serialize)]
pub struct JournalReport {
    /// The segments, oldest first.
    pub segments: Vec<SegmentReport>,
    /// Size of all files on disk.
    #[serde(rename = "used")]
    pub used_bytes: u64,
    /// Number of pending messages.
    #[serde(rename = "held")]
    pub pending: u64,
    /// Number of pending messages with an attempt in flight.
    #[serde(rename = "out")]
    pub in_flight: u64,
    /// Number of pending messages with a verdict that the client has not acknowledged.
    #[serde(rename = "ending")]
    pub unacknowledged: u64,
    /// Number of endpoints in the listing.
    pub endpoints: u64,
    /// Revision of the listing.
    pub rev: u64,
    /// Number of destinations for which messages are accepted.
    pub destinations: u64,
    /// Number of outages.
    pub outages: u64,
    /// Bytes of an incomplete last write that a crash left behind. Nothing relied on them.
    #[serde(rename = "torn")]
    pub torn_bytes: u64,
    /// Descriptions of all damage to durable records, each with file and offset.
    pub damage: Vec<String>,
    /// Pending messages of which a record may be lost: they count as attempted.
    pub in_doubt: Vec<u32>,
    /// Messages to which records after the damage refer, but whose contents are lost.
    pub lost: Vec<u32>,
}

impl JournalReport {
    /// Whether no durable record is damaged.
    pub fn is_undamaged(&self) -> bool {
        self.damage.is_empty()
    }
}

/// All that can be verified of a journal.
pub(crate) struct Salvage {
    pub report: JournalReport,
    pub state: JournalState,
}

/// Inspects the journal of a folder without changing any file.
pub fn inspect<S: Store>(store: &S) -> Result<JournalReport, JournalError> {
    Ok(salvage(store)?.report)
}

/// Reads all that can be verified of a folder's journal without changing any file.
pub(crate) fn salvage<S: Store>(store: &S) -> Result<Salvage, JournalError> {
    let files = scan_folder(store)?;
    let all: Vec<SegmentFile> = files.before_gap.iter().chain(&files.segments).copied().collect();
    let mut oldest_needed = files.oldest_needed;
    loop {
        let used_bytes =
            all.iter().map(|segment| size_on_disk(segment.length)).sum::<u64>() + files.other_files_bytes;
        let reader = SalvageReader::read(store, files.journal_id, &all, oldest_needed, used_bytes)?;
        // The record that frees a segment may come long after it: then read again without that segment.
        if reader.freed_below <= oldest_needed {
            return Ok(reader.finish());
        }
        oldest_needed = reader.freed_below;
    }
}

/// Reads segments and collects what is valid, in doubt and lost.
struct SalvageReader {
    report: JournalReport,
    state: JournalState,
    index: SegmentIndex,
    /// Messages of which a record may be lost.
    in_doubt: BTreeSet<u32>,
    /// Unknown messages to which records after the damage refer.
    lost: BTreeSet<u32>,
    is_damaged: bool,
    /// Segments with sequence numbers less than this have been freed.
    freed_below: u64,
}

impl SalvageReader {
    /// Reads all segments from `oldest_needed` on.
    fn read<S: Store>(
        store: &S,
        journal_id: Option<u64>,
        all: &[SegmentFile],
        oldest_needed: u64,
        used_bytes: u64,
    ) -> Result<Self, JournalError> {
        let mut reader = SalvageReader {
            report: JournalReport { used_bytes, ..JournalReport::default() },
            state: JournalState::default(),
            index: SegmentIndex::default(),
            in_doubt: BTreeSet::new(),
            lost: BTreeSet::new(),
            is_damaged: false,
            freed_below: 0,
        };
        let needed: Vec<&SegmentFile> =
            all.iter().filter(|segment| segment.sequence >= oldest_needed).collect();
        let mut expected = oldest_needed;
        for (at, segment) in needed.iter().enumerate() {
            // A journal without a legacy file, which would be segment 0, begins with segment 1.
            let is_first_ever = expected == 0 && segment.sequence == 1;
            for missing in expected..segment.sequence {
                if !is_first_ever {
                    reader.add_damage(&segment_file_name(missing), 0, DamageKind::Missing);
                }
                reader.index.add_segment(missing);
            }
            expected = segment.sequence + 1;
            let next = needed.get(at + 1);
            let size = next.and_then(|next| next.previous_size);
            reader.read_segment(store, journal_id, segment, size, next.is_none())?;
        }
        Ok(reader)
    }

    fn add_damage(&mut self, file: &str, offset: u64, kind: DamageKind) {
        let damage = Damage { file: file.to_owned(), offset, kind };
        self.report.damage.push(damage.to_string());
        // The lost records may concern any message that is pending at this point.
        self.in_doubt.extend(self.state.pending.keys());
        self.is_damaged = true;
    }

    /// Reads one segment; `size` is its size according to its successor.
    fn read_segment<S: Store>(
        &mut self,
        store: &S,
        journal_id: Option<u64>,
        segment: &SegmentFile,
        size: Option<u64>,
        is_last: bool,
    ) -> Result<(), JournalError> {
        let name = segment_file_name(segment.sequence);
        let file = store.open(&name).map_err(io_error("open", &name))?;
        let mut reader = BufferedReader::new(store, &file);
        let id = SegmentId { journal_id: journal_id.unwrap_or_default(), sequence: segment.sequence };
        self.index.add_segment(segment.sequence);
        if segment.format.is_none() {
            self.add_damage(&name, 0, DamageKind::InvalidHeader);
        }
        let format = segment.format.unwrap_or(SegmentFormat::Segment(id));
        let end = size.unwrap_or(segment.length);
        let (mut records, mut valid_bytes) = (0, 0);
        let mut result = read_segment(&mut reader, format, end, is_last, |found| {
            records += 1;
            valid_bytes = found.offset + found.bytes;
            self.add_record(segment.sequence, found.bytes, found.record);
        })
        .map_err(io_error("read", &name))?;
        while let SegmentEnd::Damaged(offset, kind) = result.clone() {
            self.add_damage(&name, offset, kind);
            if matches!(format, SegmentFormat::Legacy) {
                break;
            }
            // Continues at the next valid record, at whichever offset it is.
            let mut from = None;
            let search_from = offset.max(HEADER_BYTES) + 1;
            find_valid_records(&mut reader, id, search_from, segment.length, |offset, _| {
                from = Some(offset);
                true
            })
            .map_err(io_error("read", &name))?;
            let Some(from) = from else { break };
            result = read_segment_from(&mut reader, id, from, end.max(from), is_last, |found| {
                records += 1;
                valid_bytes = found.offset + found.bytes;
                self.add_record(segment.sequence, found.bytes, found.record);
            })
            .map_err(io_error("read", &name))?;
        }
        if let (SegmentEnd::Valid(size), true) = (&result, is_last) {
            let torn_bytes = count_torn_bytes(&mut reader, *size, segment.length);
            self.report.torn_bytes = torn_bytes.map_err(io_error("read", &name))?;
        }
        self.report.segments.push(SegmentReport {
            file: name,
            sequence: segment.sequence,
            on_disk: size_on_disk(segment.length),
            valid_bytes,
            records,
            live_bytes: 0,
        });
        Ok(())
    }

    fn add_record(&mut self, sequence: u64, bytes: u64, record: Record) {
        match &record {
            Record::Accepted(number, _) | Record::FullMessage(number, _) => {
                // The record has all that is known of the message, so records lost before it do not matter.
                self.in_doubt.remove(number);
                self.lost.remove(number);
                self.index.insert(*number, sequence, bytes);
            }
            Record::Completed(number) => {
                self.in_doubt.remove(number);
                self.lost.remove(number);
                self.index.remove(*number);
            }
            Record::AttemptStarted(number, _)
            | Record::AttemptFinished(number, _)
            | Record::VerdictSet(number, _)
                if self.is_damaged && !self.state.pending.contains_key(number) =>
            {
                self.lost.insert(*number);
            }
            Record::Freed { below, .. } => self.freed_below = self.freed_below.max(*below),
            _ => {}
        }
        self.state.apply(record);
    }

    /// Marks the messages in doubt as attempted, and completes the report.
    fn finish(mut self) -> Salvage {
        for number in &self.in_doubt {
            let Some(pending) = self.state.pending.get_mut(number) else { continue };
            // The zone of the attempt is unknown too: the first one is assumed.
            let assumed_ms = pending.message.deadline_ms.saturating_sub(DOUBT_BACKDATE_MS);
            pending.finish_attempt(true);
            pending.may_have_run = pending.may_have_run.or(Some((assumed_ms, 0)));
            pending.attempts = pending.attempts.max(1);
        }
        for segment in &mut self.report.segments {
            segment.live_bytes = self.index.live_bytes(segment.sequence);
        }
        let pending = self.state.pending.values();
        self.report.pending = pending.len() as u64;
        self.report.in_flight = pending.clone().filter(|pending| pending.in_flight.is_some()).count() as u64;
        self.report.unacknowledged = pending.filter(|pending| pending.verdict.is_some()).count() as u64;
        self.report.endpoints = self.state.targets.len() as u64;
        self.report.rev = self.state.listing_rev;
        self.report.destinations = self.state.destinations.len() as u64;
        self.report.outages = self.state.outages.len() as u64;
        let is_pending = |number: &u32| self.state.pending.contains_key(number);
        self.report.in_doubt = self.in_doubt.iter().copied().filter(is_pending).collect();
        self.report.lost = self.lost.into_iter().collect();
        Salvage { report: self.report, state: self.state }
    }
}

/// Number of bytes from `from` up to the last one that is not zero; the rest of a segment is preallocated with zeros.
fn count_torn_bytes<S: Store>(
    reader: &mut BufferedReader<'_, S>,
    from: u64,
    end: u64,
) -> std::io::Result<u64> {
    let (mut offset, mut last) = (from, from);
    while offset < end {
        let length = (end - offset).min(4096) as usize;
        let Some(bytes) = reader.get(offset, length)? else { break };
        if let Some(position) = bytes.iter().rposition(|byte| *byte != 0) {
            last = offset + position as u64 + 1;
        }
        offset += length as u64;
    }
    Ok(last - from)
}
