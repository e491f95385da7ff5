//! The segment files: appends records, begins the next segment and frees the oldest. It handles bytes and files, and does
//! not know what the records mean.
//!
//! No file offset of a segment is ever used for two records, so the rest of a failed write can never be taken for a record.
//! The next segment's header is written into a spare file before that file gets its name, and holds the size of the
//! previous segment. A segment that has a successor therefore has an exact size, and only the last one can end in an
//! incomplete write.

use crate::error::{io_error, JournalError};
use crate::frame::{self, Header, SegmentId, FRAME_BYTES, HEADER_BYTES};
use crate::legacy;
use crate::space_plan::{size_on_disk, SpacePlan, SECTOR_BYTES};
use crate::store::Store;
use crate::Durability;
use std::collections::VecDeque;

/// Name of the file that is preallocated for the next segment.
pub(crate) const SPARE_FILE_NAME: &str = "journal.spare";
const PREFIX: &str = "journal-";
const SUFFIX: &str = ".seg";
/// A spare segment is not preallocated if the disk has less space left than this.
const MIN_SPARE_BYTES: u64 = 4 << 10;

/// File name of a segment; 0 stands for the single file of releases before 0.2.
pub(crate) fn segment_file_name(sequence: u64) -> String {
    match sequence {
        0 => legacy::FILE_NAME.to_owned(),
        sequence => format!("{PREFIX}{sequence:016x}{SUFFIX}"),
    }
}

/// Sequence number of the segment with this file name; none for other files.
pub(crate) fn segment_sequence(name: &str) -> Option<u64> {
    if name == legacy::FILE_NAME {
        return Some(0);
    }
    let digits = name.strip_prefix(PREFIX)?.strip_suffix(SUFFIX)?;
    let sequence = u64::from_str_radix(digits, 16).ok().filter(|sequence| *sequence > 0)?;
    (segment_file_name(sequence) == name).then_some(sequence)
}

/// A segment that is not written to any more.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SealedSegment {
    pub sequence: u64,
    /// Header and records.
    pub size: u64,
    /// Space that the file takes on disk, in whole sectors.
    pub disk_size: u64,
}

/// The segment to which records are appended.
pub(crate) struct ActiveSegment<F> {
    pub file: F,
    pub sequence: u64,
    /// Header and records; the next record is written at this offset.
    pub size: u64,
    /// Length of the file: the bytes after `size` are preallocated.
    pub length: u64,
    /// Bytes that were synced. With [`Durability::Process`] nothing is synced, and all written bytes count as durable.
    pub durable_size: u64,
}

/// A preallocated file for the next segment.
struct SpareFile<F> {
    file: F,
    length: u64,
}

/// The segments that were found when the folder was opened.
pub(crate) struct OpenedSegments<F> {
    pub journal_id: u64,
    pub sealed: VecDeque<SealedSegment>,
    pub active: Option<ActiveSegment<F>>,
    /// Sequence number of the oldest segment that is needed.
    pub oldest_needed: u64,
}

/// The segment files of a journal's folder.
pub(crate) struct SegmentLog<S: Store> {
    store: S,
    plan: SpacePlan,
    durability: Durability,
    journal_id: u64,
    sealed: VecDeque<SealedSegment>,
    /// Space that the sealed segments take on disk.
    sealed_disk_size: u64,
    active: Option<ActiveSegment<S::File>>,
    spare: Option<SpareFile<S::File>>,
    /// A spare file could not be preallocated, though the journal has not reached its own limit.
    is_disk_full: bool,
    /// No record may be appended to the active segment any more. Set before the spare file is renamed to the next segment:
    /// its header says where the active segment ends, and a rename that is reported as failed may still have happened.
    is_active_closed: bool,
    oldest_needed: u64,
    /// Bytes of a failed write may be left after the last record, and could not be truncated yet.
    has_failed_write_tail: bool,
    /// Size on disk of files that do not belong to the journal.
    other_files_bytes: u64,
    /// Size on disk of a spare file that could neither be preallocated nor removed.
    abandoned_spare_bytes: u64,
    buffer: Vec<u8>,
}

impl<S: Store> SegmentLog<S> {
    /// The folder.
    pub fn store(&self) -> &S {
        &self.store
    }

    pub fn new(
        store: S,
        plan: SpacePlan,
        durability: Durability,
        other_files_bytes: u64,
        opened: OpenedSegments<S::File>,
    ) -> Self {
        let OpenedSegments { journal_id, sealed, active, oldest_needed } = opened;
        SegmentLog {
            store,
            plan,
            durability,
            journal_id,
            sealed_disk_size: sealed.iter().map(|sealed| sealed.disk_size).sum(),
            sealed,
            active,
            spare: None,
            is_disk_full: false,
            is_active_closed: false,
            oldest_needed,
            has_failed_write_tail: false,
            other_files_bytes,
            abandoned_spare_bytes: 0,
            buffer: Vec::new(),
        }
    }

    /// Size of all files on disk.
    pub fn used_bytes(&self) -> u64 {
        let active = self.active.as_ref().map_or(0, |active| size_on_disk(active.length));
        self.sealed_disk_size
            + active
            + self.spare.as_ref().map_or(0, |spare| size_on_disk(spare.length))
            + self.other_files_bytes
            + self.abandoned_spare_bytes
    }

    /// Preallocated bytes that are not yet written.
    pub fn preallocated_bytes(&self) -> u64 {
        let active = self.active.as_ref().map_or(0, |active| match self.is_active_closed {
            true => 0,
            false => active.length - active.size,
        });
        active + self.spare.as_ref().map_or(0, |spare| spare.length.saturating_sub(HEADER_BYTES))
    }

    /// The oldest sealed segment.
    pub fn oldest(&self) -> Option<SealedSegment> {
        self.sealed.front().copied()
    }

    /// All sealed segments, oldest first.
    pub fn sealed(&self) -> impl ExactSizeIterator<Item = &SealedSegment> {
        self.sealed.iter()
    }

    /// Sequence number of the active segment, or of the one that will be begun next.
    pub fn current_sequence(&self) -> u64 {
        self.active.as_ref().map_or(self.next_sequence(), |active| active.sequence)
    }

    fn next_sequence(&self) -> u64 {
        let last = self.active.as_ref().map(|active| active.sequence);
        last.or(self.sealed.back().map(|sealed| sealed.sequence))
            .map_or(1, |last| last + 1)
            .max(self.oldest_needed)
    }

    /// Appends a record; begins the next segment first if the active one has no space for it.
    pub fn append(&mut self, payload: &[u8]) -> Result<AppendedRecord, JournalError> {
        if payload.len() > frame::MAX_PAYLOAD_BYTES as usize {
            return Err(JournalError::RecordTooLong(payload.len()));
        }
        let bytes = FRAME_BYTES + payload.len() as u64;
        let is_new_segment = !self.fits_active(bytes);
        if is_new_segment {
            self.begin_segment()?;
        }
        let preallocated = self.active.as_ref().map_or(0, |active| active.length);
        match self.write_records(payload, &[payload.len()]) {
            // The segment could not grow beyond its preallocated bytes. The spare segment is preallocated, so it has space.
            Err(_)
                if !is_new_segment && self.spare.is_some() && self.active_size() + bytes > preallocated =>
            {
                self.begin_segment()?;
                self.write_records(payload, &[payload.len()]).map(|segment| AppendedRecord {
                    segment,
                    is_new_segment: true,
                    bytes,
                })
            }
            result => result.map(|segment| AppendedRecord { segment, is_new_segment, bytes }),
        }
    }

    /// Bytes that [`SegmentLog::append_batch`] may write: the preallocated rest of the active segment.
    pub fn batch_capacity(&self) -> u64 {
        match &self.active {
            Some(active)
                if !self.is_active_closed
                    && !self.has_failed_write_tail
                    && active.size < self.plan.segment_bytes() =>
            {
                active.length - active.size
            }
            _ => 0,
        }
    }

    /// Appends several records to the active segment in one write: all of them or none. With their frames they have to fit
    /// into [`SegmentLog::batch_capacity`]. `payloads` holds the concatenated payloads, and `lengths` the length of each.
    /// Returns the segment's sequence number.
    pub fn append_batch(&mut self, payloads: &[u8], lengths: &[usize]) -> Result<u64, JournalError> {
        if let Some(long) = lengths.iter().find(|length| **length > frame::MAX_PAYLOAD_BYTES as usize) {
            return Err(JournalError::RecordTooLong(*long));
        }
        self.write_records(payloads, lengths)
    }

    fn active_size(&self) -> u64 {
        self.active.as_ref().map_or(0, |active| active.size)
    }

    /// Whether bytes of a failed write may be left after the last record.
    pub fn has_failed_write_tail(&self) -> bool {
        self.has_failed_write_tail
    }

    /// Truncates what a failed write left: the record may be there in part or even completely, but was reported as not
    /// written, so a replay must not find it.
    fn truncate_tail(&mut self) -> Result<(), JournalError> {
        let Some(active) = self.active.as_mut().filter(|_| self.has_failed_write_tail) else { return Ok(()) };
        let truncated = self.store.set_length(&active.file, active.size);
        truncated.map_err(io_error("cut", &segment_file_name(active.sequence)))?;
        active.length = active.size;
        self.has_failed_write_tail = false;
        Ok(())
    }

    /// Writes records after the last one of the active segment; returns the segment's sequence number.
    fn write_records(&mut self, mut payloads: &[u8], lengths: &[usize]) -> Result<u64, JournalError> {
        self.truncate_tail()?;
        let (used_bytes, durability) = (self.used_bytes(), self.durability);
        let (store, plan, journal_id) = (&self.store, &self.plan, self.journal_id);
        let Some(active) = &mut self.active else { return Err(JournalError::Full) };
        let end = active.size + payloads.len() as u64 + lengths.len() as u64 * FRAME_BYTES;
        if used_bytes - size_on_disk(active.length) + size_on_disk(end.max(active.length)) > plan.disk_bytes()
        {
            return Err(JournalError::Full);
        }
        let durable_size = match durability {
            Durability::Process => active.size,
            Durability::Machine => active.durable_size,
        };
        let segment = SegmentId { journal_id, sequence: active.sequence };
        self.buffer.clear();
        for length in lengths {
            let (payload, rest) = payloads.split_at((*length).min(payloads.len()));
            let begin = self.buffer.len();
            self.buffer.resize(begin + FRAME_BYTES as usize, 0);
            self.buffer.extend_from_slice(payload);
            frame::write_frame(segment, active.size + begin as u64, durable_size, &mut self.buffer[begin..]);
            payloads = rest;
        }
        if let Err(error) = store.write_at(&active.file, &self.buffer, active.size) {
            active.length = active.length.max(end);
            let failed = io_error("write", &segment_file_name(active.sequence))(error);
            self.has_failed_write_tail = true;
            let _ = self.truncate_tail();
            return Err(failed);
        }
        active.size = end;
        active.length = active.length.max(end);
        Ok(active.sequence)
    }

    /// Whether a record of `bytes` bytes can be written to the active segment.
    fn fits_active(&self, bytes: u64) -> bool {
        let Some(active) = self.active.as_ref().filter(|_| !self.is_active_closed) else { return false };
        if active.size + bytes <= active.length {
            // If no next segment can be begun, all preallocated bytes of this one are used.
            return active.size < self.plan.segment_bytes() || (self.is_disk_full && self.spare.is_none());
        }
        let more = size_on_disk(active.size + bytes) - size_on_disk(active.length);
        active.size < self.plan.segment_bytes() && self.used_bytes() + more <= self.plan.disk_bytes()
    }

    /// Whether the disk itself is full, though the journal has not reached its own limit.
    pub fn is_disk_full(&self) -> bool {
        self.is_disk_full
    }

    /// Preallocates the spare file if there is none and space allows. A failure is reported once the file is needed.
    pub fn prepare_spare(&mut self, pending_messages: u64) {
        let _ = self.truncate_tail();
        if self.spare.is_none() {
            let result = self.preallocate_spare(self.plan.spare_bytes(pending_messages));
            self.is_disk_full = matches!(result, Err(JournalError::Io { .. }));
        }
    }

    fn preallocate_spare(&mut self, wanted_bytes: u64) -> Result<(), JournalError> {
        let left = self.plan.disk_bytes().saturating_sub(self.used_bytes()) / SECTOR_BYTES * SECTOR_BYTES;
        let length = wanted_bytes.min(left);
        if length < MIN_SPARE_BYTES.min(self.plan.segment_bytes()) {
            return Err(JournalError::Full);
        }
        let file = self.store.create(SPARE_FILE_NAME).map_err(io_error("make", SPARE_FILE_NAME))?;
        self.abandoned_spare_bytes = 0;
        if let Err(error) = self.store.preallocate(&file, length) {
            if self.store.remove(SPARE_FILE_NAME).is_err() {
                self.abandoned_spare_bytes = size_on_disk(length);
            }
            return Err(io_error("preallocate", SPARE_FILE_NAME)(error));
        }
        self.spare = Some(SpareFile { file, length });
        Ok(())
    }

    /// Seals the active segment and begins the next one.
    fn begin_segment(&mut self) -> Result<(), JournalError> {
        if self.spare.is_none() {
            self.preallocate_spare(self.plan.segment_bytes())?;
        }
        let Some(spare) = &self.spare else { return Err(JournalError::Full) };
        let sequence = self.next_sequence();
        let is_synced = self.durability == Durability::Machine;
        let previous_size = match &mut self.active {
            Some(active) => {
                if is_synced {
                    let name = segment_file_name(active.sequence);
                    self.store.sync(&active.file).map_err(io_error("sync", &name))?;
                    active.durable_size = active.size;
                }
                active.size
            }
            None => self.sealed.back().map_or(0, |sealed| sealed.size),
        };
        let id = SegmentId { journal_id: self.journal_id, sequence };
        let header = Header { id, previous_size, oldest_needed: self.oldest_needed };
        self.store.write_at(&spare.file, &header.encode(), 0).map_err(io_error("write", SPARE_FILE_NAME))?;
        if is_synced {
            self.store.sync(&spare.file).map_err(io_error("sync", SPARE_FILE_NAME))?;
        }
        // From here on the active segment may have a successor that says where it ends.
        let was_closed = std::mem::replace(&mut self.is_active_closed, true);
        match self.store.rename(SPARE_FILE_NAME, &segment_file_name(sequence)) {
            // An earlier rename was reported as failed but did happen.
            Err(error) if was_closed && error.kind() == std::io::ErrorKind::NotFound => {}
            other => other.map_err(io_error("rename", SPARE_FILE_NAME))?,
        }
        if is_synced {
            let name = segment_file_name(sequence);
            self.store.sync_directory().map_err(io_error("sync the directory of", &name))?;
        }
        let Some(SpareFile { file, length }) = self.spare.take() else { return Err(JournalError::Full) };
        let begun = ActiveSegment {
            file,
            sequence,
            size: HEADER_BYTES,
            length: length.max(HEADER_BYTES),
            durable_size: HEADER_BYTES,
        };
        if let Some(previous) = self.active.replace(begun) {
            // Gives unused preallocated space back; if that fails it still counts as used.
            let is_truncated = self.store.set_length(&previous.file, previous.size).is_ok();
            let length = if is_truncated { previous.size } else { previous.length };
            let sealed = SealedSegment {
                sequence: previous.sequence,
                size: previous.size,
                disk_size: size_on_disk(length),
            };
            self.sealed_disk_size += sealed.disk_size;
            self.sealed.push_back(sealed);
        }
        self.is_active_closed = false;
        // The header says where the previous segment ends, so bytes after that do no harm.
        self.has_failed_write_tail = false;
        Ok(())
    }

    /// Removes the oldest segment. Its records must not be needed any more, and a record that says so must have been
    /// written. Segments are removed in order: the next one stays until this one is gone.
    pub fn free_oldest(&mut self) -> Result<(), JournalError> {
        let Some(oldest) = self.oldest() else { return Ok(()) };
        // The rewritten records have to be durable first.
        self.commit()?;
        self.oldest_needed = oldest.sequence + 1;
        let name = segment_file_name(oldest.sequence);
        match self.store.remove(&name) {
            Err(error) if error.kind() != std::io::ErrorKind::NotFound => {
                Err(io_error("remove", &name)(error))
            }
            _ => {
                self.sealed.pop_front();
                self.sealed_disk_size -= oldest.disk_size;
                if self.durability == Durability::Machine {
                    let result = self.store.sync_directory();
                    result.map_err(io_error("sync the directory after removing", &name))?;
                }
                Ok(())
            }
        }
    }

    /// Makes all appended records durable, as configured. A failure is final: it is unknown what is on the disk.
    pub fn commit(&mut self) -> Result<(), JournalError> {
        if self.durability == Durability::Process {
            return Ok(());
        }
        let Some(active) = &mut self.active else { return Ok(()) };
        if active.durable_size < active.size {
            let name = segment_file_name(active.sequence);
            self.store.sync(&active.file).map_err(io_error("sync", &name))?;
            active.durable_size = active.size;
        }
        Ok(())
    }
}

/// Where a record was appended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AppendedRecord {
    /// Sequence number of the segment.
    pub segment: u64,
    /// Whether the segment was begun for this record.
    pub is_new_segment: bool,
    /// Size with the frame.
    pub bytes: u64,
}

#[cfg(test)]
mod tests;
