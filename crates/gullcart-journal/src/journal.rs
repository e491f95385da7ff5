//! The journal's interface: it appends records, keeps the state to which they replay, and compacts the log in small steps.
//!
//! A record is written before any effect that relies on it leaves the process.

use crate::buffered_reader::BufferedReader;
use crate::chunks::into_chunks;
use crate::error::{io_error, Damage, DamageKind, JournalError};
use crate::folder_scan::scan_folder;
use crate::frame::FRAME_BYTES;
use crate::repaired_folder::unfinished_repair;
use crate::replay::{read_segment, SegmentEnd, SegmentFormat};
use crate::segment_index::{Scan, SegmentIndex};
use crate::segment_log::{segment_file_name, ActiveSegment, OpenedSegments, SealedSegment, SegmentLog};
use crate::space_plan::{message_cost, size_on_disk, RecordPurpose, SpacePlan, SpaceUsage};
use crate::state::{
    JournalState, OutageChanges, OutageKey, PendingMessage, PersistedOutage, Record, SentAttempt,
    MAX_SUSPENDED_ENDPOINTS,
};
use crate::store::{Folder, Store};
use crate::{Durability, Options};
use gullcart_message::{AcceptedMessage, ListingUpdate, Verdict};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Bound;
use std::path::Path;

/// Most listing entries, outages or uids in one record.
const ENTRIES_PER_RECORD: usize = 64;
/// Most destinations in one record.
const DESTINATIONS_PER_RECORD: usize = 2048;
/// A new snapshot of the shared state is due once the log from the oldest segment that has a part of it is longer than the
/// shared state times this factor, and longer than [`MIN_SNAPSHOT_DISTANCE_SEGMENTS`].
const SNAPSHOT_DISTANCE_FACTOR: u64 = 16;
/// Least distance after which a new snapshot is due, in segments.
const MIN_SNAPSHOT_DISTANCE_SEGMENTS: u64 = 8;
/// A new snapshot is also due once the changes since the last one take more than its size times this factor, and more than
/// [`MIN_SNAPSHOT_CHANGES_BYTES`].
const SNAPSHOT_CHANGES_FACTOR: u64 = 2;
/// Least size of the changes after which a new snapshot is due.
const MIN_SNAPSHOT_CHANGES_BYTES: u64 = 16 << 10;
/// Charged against the budget of a compaction step for one scan over dead messages, which writes nothing but takes time.
const SCAN_COST_BYTES: u64 = 512;
/// Charged against the budget of a compaction step for freeing a segment.
const FREE_SEGMENT_COST_BYTES: u64 = 2048;

/// Statistics of a journal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct JournalStats {
    /// Bytes of records that were appended for new events.
    pub appended_bytes: u64,
    /// Bytes of records that compaction rewrote to free their segments.
    pub rewritten_bytes: u64,
    /// Number of segments freed.
    pub freed_segments: u64,
    /// Number of segments at present.
    pub segments: u64,
    /// Size of all files on disk.
    pub used_bytes: u64,
    /// Bytes of live data, as charged against the limit for new messages.
    pub live_bytes: u64,
    /// What could not be written yet: the number of messages with unwritten records, plus one if the shared state has
    /// unwritten changes, and one if bytes of a failed write could not be truncated.
    pub unwritten_changes: u64,
}

/// Where the shared state is stored: listing, destinations, outages, suspended endpoints and former uids.
#[derive(Debug, Default)]
struct SharedStateLocation {
    /// Sequence number of the oldest segment that has a part of it.
    oldest_segment: u64,
    /// Bytes of the last snapshot and of all changes since.
    bytes: u64,
    /// Bytes of the last snapshot.
    snapshot_bytes: u64,
    /// A change of the shared state could not be written: a new snapshot is due.
    has_unwritten_changes: bool,
    /// Uids removed from the listing whose removal could not be written. A snapshot lists only what exists, so these are
    /// written before it. Bounded by the number of entries that existed.
    unwritten_removed_uids: BTreeSet<String>,
    /// The same for outages that are over.
    unwritten_removed_outages: BTreeSet<OutageKey>,
    snapshot: Option<SnapshotInProgress>,
}

/// A snapshot of the shared state that is being written, one record at a time.
#[derive(Debug)]
struct SnapshotInProgress {
    /// Sequence number of the segment that was active when the snapshot was begun.
    first_segment: u64,
    /// Bytes written so far.
    bytes: u64,
    position: SnapshotPosition,
}

/// The next part of a snapshot. Except for former uids, it holds the last entry already written.
#[derive(Clone, Debug)]
enum SnapshotPosition {
    Targets(Option<String>),
    Destinations(Option<u32>),
    Outages(Option<(u32, Option<String>)>),
    Suspended(Option<String>),
    /// Number of former uids already written.
    FormerUids(usize),
}

/// A journal in a folder.
pub struct Journal<S: Store = Folder> {
    log: SegmentLog<S>,
    plan: SpacePlan,
    state: JournalState,
    index: SegmentIndex,
    /// Bytes charged for pending messages.
    message_bytes: u64,
    shared_state: SharedStateLocation,
    /// Position in the oldest segment's list of messages up to which compaction has come.
    compaction_position: usize,
    /// The record that frees the oldest segment is written, and the segment is not yet removed.
    is_oldest_freed: bool,
    /// Bytes to rewrite in the next compaction step.
    due_bytes: u64,
    /// Messages of which a record could not be written.
    unwritten_messages: BTreeSet<u32>,
    /// The last error of compaction that was not yet taken by the caller.
    maintenance_error: Option<JournalError>,
    stats: JournalStats,
    /// Reused buffer for encoded records.
    payload: Vec<u8>,
    #[cfg(feature = "broken")]
    early_ok: bool,
}

impl Journal<Folder> {
    /// Locks a folder, opens its journal and replays it.
    pub fn open(folder: &Path, disk_bytes: u64, options: Options) -> Result<Self, JournalError> {
        let store = Folder::lock(folder).map_err(JournalError::Folder)?;
        if let Some(unfinished) = unfinished_repair(folder) {
            return Err(JournalError::UnfinishedRepair(unfinished));
        }
        Self::replay(store, disk_bytes, options, fastrand::u64(1..))
    }

    /// Whether another process that opens the folder at this path finds this journal. It does not if the folder was replaced.
    pub fn is_in_place(&self) -> bool {
        self.log.store().is_in_place()
    }
}

impl<S: Store> Journal<S> {
    /// Replays the journal of a folder. An incomplete last write is truncated, as nothing relied on it. Damage is an error,
    /// and then no file is changed. An empty folder gets a new journal with the id `new_journal_id`.
    pub fn replay(
        store: S,
        disk_bytes: u64,
        options: Options,
        new_journal_id: u64,
    ) -> Result<Self, JournalError> {
        let plan = SpacePlan::new(disk_bytes, options.segment_bytes);
        let files = scan_folder(&store)?;
        let without_header = files.segments.iter().find(|segment| segment.format.is_none());
        if let Some(segment) = without_header {
            let file = segment_file_name(segment.sequence);
            let damage = Damage { file, offset: 0, kind: DamageKind::InvalidHeader };
            return Err(JournalError::Damaged(damage));
        }
        let mut state = JournalState::default();
        let mut index = SegmentIndex::default();
        let mut sealed: VecDeque<SealedSegment> = VecDeque::new();
        let mut active = None;
        let mut oldest_needed = files.oldest_needed;
        let (mut shared_state_segment, mut shared_state_bytes) = (None, 0);
        let count = files.segments.len();
        for (at, segment) in files.segments.iter().enumerate() {
            let is_last = at + 1 == count;
            let name = segment_file_name(segment.sequence);
            let file = store.open(&name).map_err(io_error("open", &name))?;
            let end =
                files.segments.get(at + 1).and_then(|next| next.previous_size).unwrap_or(segment.length);
            let damaged = |offset, kind| JournalError::Damaged(Damage { file: name.clone(), offset, kind });
            index.add_segment(segment.sequence);
            let mut reader = BufferedReader::new(&store, &file);
            let format = segment.format.unwrap_or(SegmentFormat::Legacy);
            let result = read_segment(&mut reader, format, end, is_last, |found| {
                match &found.record {
                    Record::Accepted(number, _) | Record::FullMessage(number, _) => {
                        index.insert(*number, segment.sequence, found.bytes);
                    }
                    Record::Completed(number) => index.remove(*number),
                    Record::Freed { below, .. } => oldest_needed = oldest_needed.max(*below),
                    Record::Listing { .. }
                    | Record::Destinations(_)
                    | Record::Outages { .. }
                    | Record::Suspended { .. }
                    | Record::FormerUids(_)
                    | Record::LegacyListing(_)
                    | Record::LegacyOutages(_) => {
                        shared_state_segment.get_or_insert(segment.sequence);
                        shared_state_bytes += found.bytes;
                    }
                    Record::AttemptStarted(..) | Record::AttemptFinished(..) | Record::VerdictSet(..) => {}
                }
                state.apply(found.record);
            });
            let size = match result.map_err(io_error("read", &name))? {
                SegmentEnd::Valid(size) => size,
                SegmentEnd::Damaged(offset, kind) => return Err(damaged(offset, kind)),
            };
            if is_last && segment.sequence > 0 {
                active = Some(ActiveSegment {
                    file,
                    sequence: segment.sequence,
                    size,
                    length: segment.length,
                    durable_size: size,
                });
            } else {
                let disk_size = size_on_disk(segment.length);
                sealed.push_back(SealedSegment { sequence: segment.sequence, size, disk_size });
            }
        }
        if let Some(first) = files.segments.first().filter(|first| first.sequence > oldest_needed) {
            let file = segment_file_name(first.sequence - 1);
            return Err(JournalError::Damaged(Damage { file, offset: 0, kind: DamageKind::Missing }));
        }
        // The clean-up below may be interrupted anywhere; the next start repeats it.
        for name in &files.leftovers {
            store.remove(name).map_err(io_error("remove", name))?;
        }
        if let Some(active) = &mut active {
            let name = segment_file_name(active.sequence);
            store.set_length(&active.file, active.size).map_err(io_error("cut", &name))?;
            active.length = active.size;
        }
        if options.durability == Durability::Machine {
            // The previous process may not have synced its last records, nor the names of its files.
            if let Some(active) = &active {
                let name = segment_file_name(active.sequence);
                store.sync(&active.file).map_err(io_error("sync", &name))?;
            }
            store.sync_directory().map_err(JournalError::Folder)?;
        }
        if files.segments.is_empty() {
            oldest_needed = 1;
        }
        let message_bytes = state.pending.values().map(pending_cost).sum();
        let journal_id = files.journal_id.unwrap_or(new_journal_id);
        let opened = OpenedSegments { journal_id, sealed, active, oldest_needed };
        let log = SegmentLog::new(store, plan, options.durability, files.other_files_bytes, opened);
        let shared_state = SharedStateLocation {
            oldest_segment: shared_state_segment.unwrap_or(log.current_sequence()),
            bytes: shared_state_bytes,
            ..SharedStateLocation::default()
        };
        Ok(Journal {
            log,
            plan,
            state,
            index,
            message_bytes,
            shared_state,
            compaction_position: 0,
            is_oldest_freed: false,
            due_bytes: 0,
            unwritten_messages: BTreeSet::new(),
            maintenance_error: None,
            stats: JournalStats::default(),
            payload: Vec::new(),
            #[cfg(feature = "broken")]
            early_ok: false,
        })
    }

    /// Injects a fault for tests: with `early_ok`, [`Journal::accept`] reports success without writing the message.
    #[cfg(feature = "broken")]
    pub fn with_early_ok(self, early_ok: bool) -> Self {
        Journal { early_ok, ..self }
    }

    /// Writes the state of another journal into this one, which is empty.
    pub(crate) fn import(&mut self, state: JournalState) -> Result<(), JournalError> {
        self.add_destinations(state.destinations)?;
        let outages: Vec<PersistedOutage> = state.outages.into_values().collect();
        self.set_outages(&outages)?;
        let targets = state.targets.into_values().collect();
        self.update_listing(&ListingUpdate { rev: state.listing_rev, all: true, targets })?;
        let former: Vec<String> = state.former_uids.into();
        let record = |chunk: &[String]| Record::FormerUids(chunk.to_vec());
        self.write_shared_state(former.chunks(ENTRIES_PER_RECORD).map(record).collect())?;
        let suspended: Vec<String> = state.suspended_uids.into_iter().collect();
        let record = |chunk: &[String]| Record::Suspended { suspended: chunk.to_vec(), resumed: Vec::new() };
        self.write_shared_state(suspended.chunks(ENTRIES_PER_RECORD).map(record).collect())?;
        for (number, pending) in state.pending {
            self.message_bytes += pending_cost(&pending);
            let written = self.write(RecordPurpose::Progress, Record::FullMessage(number, pending))?;
            self.maintain(written);
        }
        // Frees no segment, but keeps the last number, which may be that of a message completed long ago.
        let record = Record::Freed { below: 0, last: state.last_number };
        self.write(RecordPurpose::Progress, record)?;
        self.commit()
    }

    /// The state to which the records replay.
    pub fn state(&self) -> &JournalState {
        &self.state
    }

    /// Statistics of the journal.
    pub fn stats(&self) -> JournalStats {
        JournalStats {
            segments: self.log.sealed().len() as u64 + 1,
            used_bytes: self.log.used_bytes(),
            live_bytes: self.message_bytes + self.shared_state.bytes,
            unwritten_changes: self.unwritten_messages.len() as u64
                + u64::from(self.shared_state.has_unwritten_changes)
                + u64::from(self.log.has_failed_write_tail()),
            ..self.stats
        }
    }

    /// Accepts a message and returns its number. Once this returns, the message survives a crash of the process.
    /// Fails with [`JournalError::Full`] without space for the message, or once all message numbers are used.
    pub fn accept(&mut self, message: AcceptedMessage) -> Result<u32, JournalError> {
        let number = self.state.last_number.checked_add(1).ok_or(JournalError::Full)?;
        let cost = accepted_cost(&message);
        let record = Record::Accepted(number, message);
        #[cfg(feature = "broken")]
        if self.early_ok {
            self.state.apply(record);
            return Ok(number);
        }
        if !self.plan.may_accept(&self.usage(), cost) {
            return Err(JournalError::Full);
        }
        let written = self.write(RecordPurpose::Accept, record)?;
        self.message_bytes += cost;
        self.maintain(written);
        Ok(number)
    }

    /// Records that an attempt begins. If this fails the attempt must not be made, as it would be unknown after a restart.
    pub fn start_attempt(&mut self, number: u32, sent: SentAttempt) -> Result<(), JournalError> {
        let written = self.write(RecordPurpose::Progress, Record::AttemptStarted(number, sent))?;
        self.maintain(written);
        Ok(())
    }

    /// Records that the attempt in flight has ended, and whether it may have run.
    pub fn finish_attempt(&mut self, number: u32, may_have_run: bool) -> Result<(), JournalError> {
        self.write_event(number, Record::AttemptFinished(number, may_have_run))
    }

    /// Records that a message will not be delivered, and with which verdict the client is to be notified.
    pub fn set_verdict(&mut self, number: u32, verdict: Verdict) -> Result<(), JournalError> {
        self.write_event(number, Record::VerdictSet(number, verdict))
    }

    /// Completes a message: it was delivered, its notice was acknowledged, or it is not wanted any more.
    pub fn complete(&mut self, number: u32) -> Result<(), JournalError> {
        let Some(pending) = self.state.pending.get(&number) else { return Ok(()) };
        self.message_bytes = self.message_bytes.saturating_sub(pending_cost(pending));
        self.write_event(number, Record::Completed(number))
    }

    /// Records a listing of endpoints, or the changes of one.
    pub fn update_listing(&mut self, update: &ListingUpdate) -> Result<(), JournalError> {
        let (changed, removed, destinations) = self.state.listing_changes(update);
        let mut records = Vec::new();
        records.extend(into_chunks(destinations, DESTINATIONS_PER_RECORD).map(Record::Destinations));
        let removals = |removed| Record::Listing { rev: None, changed: Vec::new(), removed };
        records.extend(into_chunks(removed, ENTRIES_PER_RECORD).map(removals));
        let additions = |changed| Record::Listing { rev: None, changed, removed: Vec::new() };
        records.extend(into_chunks(changed, ENTRIES_PER_RECORD).map(additions));
        // The revision comes last: after a crash before it, the courier asks discovery for the whole listing again.
        match records.last_mut() {
            Some(Record::Listing { rev, changed, .. }) if !changed.is_empty() => *rev = Some(update.rev),
            _ => records.push(Record::Listing {
                rev: Some(update.rev),
                changed: Vec::new(),
                removed: Vec::new(),
            }),
        }
        self.write_shared_state(records)
    }

    /// Adds destinations for which messages may be accepted, besides those of the listing.
    pub fn add_destinations(
        &mut self,
        destinations: impl IntoIterator<Item = u32>,
    ) -> Result<(), JournalError> {
        let known = &self.state.destinations;
        let new: Vec<u32> = destinations.into_iter().filter(|number| !known.contains(number)).collect();
        self.write_shared_state(
            new.chunks(DESTINATIONS_PER_RECORD).map(|chunk| Record::Destinations(chunk.to_vec())).collect(),
        )
    }

    /// Whether a reported change could not be written. Then all current outages have to be passed to
    /// [`Journal::set_outages`] again.
    pub fn has_unwritten_changes(&self) -> bool {
        self.shared_state.has_unwritten_changes
            || self.log.has_failed_write_tail()
            || !self.unwritten_messages.is_empty()
    }

    /// Records the current outages of all destinations.
    pub fn set_outages(&mut self, outages: &[PersistedOutage]) -> Result<(), JournalError> {
        if !self.has_unwritten_changes() && self.state.outages_match(outages) {
            return Ok(());
        }
        let changes = self.state.outage_changes(outages);
        self.write_outages(changes)
    }

    /// Records the current outages of some destinations; those of all others have not changed.
    pub fn set_outages_of(
        &mut self,
        destinations: &[u32],
        outages: &[PersistedOutage],
    ) -> Result<(), JournalError> {
        let changes = self.state.outage_changes_of(destinations, outages);
        if changes.changed.is_empty() && changes.removed.is_empty() {
            return Ok(());
        }
        self.write_outages(changes)
    }

    fn write_outages(
        &mut self,
        OutageChanges { changed, removed }: OutageChanges,
    ) -> Result<(), JournalError> {
        let mut records: Vec<Record> = Vec::new();
        let removals = |removed| Record::Outages { changed: Vec::new(), removed };
        records.extend(into_chunks(removed, ENTRIES_PER_RECORD).map(removals));
        let changes = |changed| Record::Outages { changed, removed: Vec::new() };
        records.extend(into_chunks(changed, ENTRIES_PER_RECORD).map(changes));
        self.write_shared_state(records)
    }

    /// Records that an operator suspended or resumed an endpoint. If this fails, nothing has changed. Fails with
    /// [`JournalError::Full`] without space for the record, or if [`MAX_SUSPENDED_ENDPOINTS`] are suspended.
    pub fn set_suspended(&mut self, uid: &str, is_suspended: bool) -> Result<(), JournalError> {
        if self.state.suspended_uids.contains(uid) == is_suspended {
            return Ok(());
        }
        if is_suspended && self.state.suspended_uids.len() >= MAX_SUSPENDED_ENDPOINTS {
            return Err(JournalError::Full);
        }
        let uids = vec![uid.to_owned()];
        let record = match is_suspended {
            true => Record::Suspended { suspended: uids, resumed: Vec::new() },
            false => Record::Suspended { suspended: Vec::new(), resumed: uids },
        };
        let written = self.write(RecordPurpose::Progress, record)?;
        self.maintain(written);
        Ok(())
    }

    /// Makes all written records durable, as configured. This has to come before any effect that relies on them leaves the
    /// process. A failure is final: it is unknown what is on the disk, so the process has to end.
    pub fn commit(&mut self) -> Result<(), JournalError> {
        self.log.commit()
    }

    /// Returns the last error of compaction since the previous call, if there was one.
    pub fn take_maintenance_error(&mut self) -> Option<JournalError> {
        self.maintenance_error.take()
    }

    fn usage(&self) -> SpaceUsage {
        let oldest_live_bytes = self.log.oldest().map(|oldest| {
            let shared_state = &self.shared_state;
            let shared_state_bytes =
                if shared_state.oldest_segment <= oldest.sequence { shared_state.bytes } else { 0 };
            self.index.live_bytes(oldest.sequence) + shared_state_bytes
        });
        SpaceUsage {
            used_bytes: self.log.used_bytes(),
            preallocated_bytes: self.log.preallocated_bytes(),
            oldest_live_bytes,
            pending_messages: self.state.pending.len() as u64,
            live_bytes: self.message_bytes + self.shared_state.bytes,
            is_disk_full: self.log.is_disk_full(),
        }
    }

    /// Records an event that has already happened. The state changes even if the record cannot be written now; it is
    /// written later.
    fn write_event(&mut self, number: u32, record: Record) -> Result<(), JournalError> {
        match self.write(RecordPurpose::Completion, record.clone()) {
            Ok(written) => {
                self.maintain(written);
                Ok(())
            }
            Err(error) => {
                if matches!(record, Record::Completed(_)) {
                    self.index.remove(number);
                }
                self.state.apply(record);
                self.unwritten_messages.insert(number);
                Err(error)
            }
        }
    }

    /// Writes changes of the shared state. After a failure the state changes all the same, and a snapshot becomes due.
    fn write_shared_state(&mut self, records: Vec<Record>) -> Result<(), JournalError> {
        let mut result = Ok(0);
        for record in records {
            if let Ok(before) = result {
                result = self.write(RecordPurpose::Progress, record.clone()).map(|written| before + written);
            }
            if result.is_err() {
                let shared_state = &mut self.shared_state;
                match &record {
                    Record::Listing { removed, .. } => {
                        shared_state.unwritten_removed_uids.extend(removed.iter().cloned());
                    }
                    Record::Outages { removed, .. } => {
                        shared_state.unwritten_removed_outages.extend(removed.iter().cloned());
                    }
                    _ => {}
                }
                self.state.apply(record);
                self.shared_state.has_unwritten_changes = true;
                self.shared_state.snapshot = None;
            }
        }
        let written = result?;
        self.maintain(written);
        Ok(())
    }

    /// Writes records that could not be written before, then `record`; returns the size of the latter. If there is no
    /// space, compacts first.
    fn write(&mut self, purpose: RecordPurpose, record: Record) -> Result<u64, JournalError> {
        self.write_unwritten_messages()?;
        let mut payload = self.encode(&record)?;
        let bytes = payload.len() as u64 + FRAME_BYTES;
        if !self.plan.may_write(&self.usage(), purpose, bytes) {
            self.payload = payload;
            self.compact(self.plan.forced_step_bytes());
            self.log.prepare_spare(self.state.pending.len() as u64);
            payload = self.encode(&record)?;
        }
        let written = self.append(purpose, record, payload)?;
        self.stats.appended_bytes += written;
        Ok(written)
    }

    /// Writes the current state of each message of which a record could not be written.
    fn write_unwritten_messages(&mut self) -> Result<(), JournalError> {
        while let Some(number) = self.unwritten_messages.first().copied() {
            let record = match self.state.pending.get(&number) {
                Some(pending) => Record::FullMessage(number, pending.clone()),
                None => Record::Completed(number),
            };
            let payload = self.encode(&record)?;
            let bytes = self.append(RecordPurpose::Completion, record, payload)?;
            self.stats.appended_bytes += bytes;
            self.unwritten_messages.remove(&number);
        }
        Ok(())
    }

    /// Encodes a record into the reused buffer.
    fn encode(&mut self, record: &Record) -> Result<Vec<u8>, JournalError> {
        let mut buffer = std::mem::take(&mut self.payload);
        buffer.clear();
        Ok(postcard::to_extend(record, buffer)?)
    }

    /// Appends an encoded record if space allows it for this purpose, and applies it to the state.
    fn append(
        &mut self,
        purpose: RecordPurpose,
        record: Record,
        payload: Vec<u8>,
    ) -> Result<u64, JournalError> {
        let bytes = payload.len() as u64 + FRAME_BYTES;
        let result = match self.plan.may_write(&self.usage(), purpose, bytes) {
            true => self.log.append(&payload),
            false => Err(JournalError::Full),
        };
        self.payload = payload;
        let appended = result?;
        if appended.is_new_segment {
            self.index.add_segment(appended.segment);
        }
        match &record {
            Record::Accepted(number, _) | Record::FullMessage(number, _) => {
                self.index.insert(*number, appended.segment, appended.bytes);
            }
            Record::Completed(number) => self.index.remove(*number),
            Record::Listing { .. }
            | Record::Destinations(_)
            | Record::Outages { .. }
            | Record::Suspended { .. }
            | Record::FormerUids(_) => {
                self.shared_state.bytes += appended.bytes;
            }
            _ => {}
        }
        self.state.apply(record);
        Ok(appended.bytes)
    }

    /// Appends a record for compaction, and counts it as rewritten.
    fn append_rewritten(&mut self, record: Record) -> Result<u64, JournalError> {
        let payload = self.encode(&record)?;
        let written = self.append(RecordPurpose::Rewrite, record, payload)?;
        self.stats.rewritten_bytes += written;
        Ok(written)
    }

    /// Maintenance after `written` bytes were written: frees segments, compacts a small step if one is due, and prepares
    /// the next segment.
    fn maintain(&mut self, written: u64) {
        self.free_dead_segments();
        let shared_state = &self.shared_state;
        let distance = self.log.current_sequence().saturating_sub(shared_state.oldest_segment)
            * self.plan.segment_bytes();
        let changed = shared_state.bytes.saturating_sub(shared_state.snapshot_bytes);
        let is_snapshot_due = shared_state.has_unwritten_changes
            || distance
                > (SNAPSHOT_DISTANCE_FACTOR * shared_state.bytes)
                    .max(MIN_SNAPSHOT_DISTANCE_SEGMENTS * self.plan.segment_bytes())
            || changed
                > (SNAPSHOT_CHANGES_FACTOR * shared_state.snapshot_bytes).max(MIN_SNAPSHOT_CHANGES_BYTES);
        if is_snapshot_due || shared_state.snapshot.is_some() {
            if let Err(error) = self.write_snapshot_part() {
                self.maintenance_error = Some(error);
            }
        }
        let usage = self.usage();
        let step = self.plan.step_bytes(&usage, written);
        // Small steps are accumulated, so that one write moves several messages.
        self.due_bytes = if step > 0 { self.due_bytes + step } else { 0 };
        if self.due_bytes > 0 && self.plan.is_step_due(&usage, self.due_bytes) {
            let due_bytes = std::mem::take(&mut self.due_bytes);
            self.compact(due_bytes);
        }
        self.log.prepare_spare(self.state.pending.len() as u64);
    }

    /// Frees the oldest segments as long as they have no live data.
    fn free_dead_segments(&mut self) {
        while let Some(oldest) = self.log.oldest() {
            let is_needed = self.index.live_bytes(oldest.sequence) > 0
                || self.shared_state.oldest_segment <= oldest.sequence;
            // Completions that could not be written have to be written before their messages' segment is freed.
            if is_needed || !self.unwritten_messages.is_empty() {
                return;
            }
            if let Err(error) = self.free_oldest(oldest.sequence) {
                self.maintenance_error = Some(error);
                return;
            }
        }
    }

    fn free_oldest(&mut self, sequence: u64) -> Result<(), JournalError> {
        if !self.is_oldest_freed {
            let record = Record::Freed { below: sequence + 1, last: self.state.last_number };
            self.append_rewritten(record)?;
            self.is_oldest_freed = true;
        }
        self.log.free_oldest()?;
        self.index.remove_oldest();
        self.is_oldest_freed = false;
        self.compaction_position = 0;
        self.stats.freed_segments += 1;
        Ok(())
    }

    /// Rewrites about `budget_bytes` of live data of the oldest segments, and frees those without live data.
    fn compact(&mut self, budget_bytes: u64) {
        if let Err(error) = self.try_compact(budget_bytes) {
            self.maintenance_error = Some(error);
        }
    }

    fn try_compact(&mut self, mut budget_bytes: u64) -> Result<(), JournalError> {
        self.write_unwritten_messages()?;
        while let Some(oldest) = self.log.oldest().filter(|_| budget_bytes > 0) {
            let cost = match self.index.next_live(oldest.sequence, &mut self.compaction_position) {
                Scan::Live(number) => {
                    let position = self.compaction_position;
                    let result = self.rewrite_messages(oldest.sequence, number, budget_bytes);
                    if result.is_err() {
                        // The message is still to be rewritten.
                        self.compaction_position = position - 1;
                    }
                    result?
                }
                Scan::Paused => SCAN_COST_BYTES,
                Scan::End if self.shared_state.oldest_segment <= oldest.sequence => {
                    self.write_snapshot_part()?
                }
                Scan::End => {
                    self.free_oldest(oldest.sequence)?;
                    FREE_SEGMENT_COST_BYTES
                }
            };
            budget_bytes = budget_bytes.saturating_sub(cost);
        }
        Ok(())
    }

    /// Rewrites a message of the oldest segment, and the live ones after it as far as the budget and one batched write
    /// allow. Returns the bytes written.
    fn rewrite_messages(
        &mut self,
        sequence: u64,
        first: u32,
        budget_bytes: u64,
    ) -> Result<u64, JournalError> {
        let record_cost = |pending: &PendingMessage| pending_cost(pending) + FRAME_BYTES;
        let capacity = self.log.batch_capacity();
        let mut batch = Vec::new();
        let (mut number, mut expected_bytes) = (first, 0);
        while let Some(pending) = self.state.pending.get(&number) {
            let position = self.compaction_position;
            expected_bytes += record_cost(pending);
            batch.push(number);
            if expected_bytes >= budget_bytes {
                break;
            }
            let next = match self.index.next_live(sequence, &mut self.compaction_position) {
                Scan::Live(next) => {
                    let pending = self.state.pending.get(&next);
                    pending.map(|pending| (next, expected_bytes + record_cost(pending)))
                }
                Scan::Paused | Scan::End => None,
            };
            match next {
                Some((next, total)) if total <= capacity => number = next,
                _ => {
                    self.compaction_position = position;
                    break;
                }
            }
        }
        if batch.len() < 2 {
            let Some(pending) = self.state.pending.get(&first).cloned() else { return Ok(0) };
            return self.append_rewritten(Record::FullMessage(first, pending));
        }
        let (mut payloads, mut lengths) =
            (std::mem::take(&mut self.payload), Vec::with_capacity(batch.len()));
        payloads.clear();
        for number in &batch {
            let Some(pending) = self.state.pending.get(number) else { continue };
            let begin = payloads.len();
            payloads = postcard::to_extend(&Record::FullMessage(*number, pending.clone()), payloads)?;
            lengths.push(payloads.len() - begin);
        }
        let bytes = payloads.len() as u64 + lengths.len() as u64 * FRAME_BYTES;
        let result = match self.plan.may_write(&self.usage(), RecordPurpose::Rewrite, bytes) {
            true => self.log.append_batch(&payloads, &lengths),
            false => Err(JournalError::Full),
        };
        self.payload = payloads;
        let segment = result?;
        for (number, length) in batch.into_iter().zip(lengths) {
            self.index.insert(number, segment, length as u64 + FRAME_BYTES);
        }
        self.stats.rewritten_bytes += bytes;
        Ok(bytes)
    }

    /// The next record of removals that could not be written. Entries that exist again are dropped: the snapshot has them.
    fn next_unwritten_removals(&mut self) -> Option<Record> {
        let uids = &mut self.shared_state.unwritten_removed_uids;
        let outages = &mut self.shared_state.unwritten_removed_outages;
        uids.retain(|uid| !self.state.targets.contains_key(uid));
        outages.retain(|key| !self.state.outages.contains_key(key));
        if !uids.is_empty() {
            let removed = uids.iter().take(ENTRIES_PER_RECORD).cloned().collect();
            return Some(Record::Listing { rev: None, changed: Vec::new(), removed });
        }
        let removed: Vec<OutageKey> = outages.iter().take(ENTRIES_PER_RECORD).cloned().collect();
        (!removed.is_empty()).then(|| Record::Outages { changed: Vec::new(), removed })
    }

    /// Writes the next record of a snapshot of the shared state, and begins a snapshot if none is in progress. Changes
    /// meanwhile are appended as usual, so the last record of each entry is always the current one. Returns the bytes
    /// written.
    fn write_snapshot_part(&mut self) -> Result<u64, JournalError> {
        if let Some(record) = self.next_unwritten_removals() {
            let bytes = self.append_rewritten(record.clone())?;
            let uids = &mut self.shared_state.unwritten_removed_uids;
            let outages = &mut self.shared_state.unwritten_removed_outages;
            match record {
                Record::Listing { removed, .. } => uids.retain(|uid| !removed.contains(uid)),
                Record::Outages { removed, .. } => outages.retain(|key| !removed.contains(key)),
                _ => {}
            }
            return Ok(bytes);
        }
        let first_segment = self.log.current_sequence();
        let snapshot = self.shared_state.snapshot.get_or_insert(SnapshotInProgress {
            first_segment,
            bytes: 0,
            position: SnapshotPosition::Targets(None),
        });
        let state = &self.state;
        let (record, next) = match snapshot.position.clone() {
            SnapshotPosition::Targets(after) => {
                let changed: Vec<_> = entries_after(&state.targets, after)
                    .take(ENTRIES_PER_RECORD)
                    .map(|(_, target)| target.clone())
                    .collect();
                let is_last = changed.len() < ENTRIES_PER_RECORD;
                let next = match changed.last() {
                    Some(target) if !is_last => SnapshotPosition::Targets(Some(target.uid.clone())),
                    _ => SnapshotPosition::Destinations(None),
                };
                let rev = is_last.then_some(state.listing_rev);
                (Record::Listing { rev, changed, removed: Vec::new() }, Some(next))
            }
            SnapshotPosition::Destinations(after) => {
                let range = (after.map_or(Bound::Unbounded, Bound::Excluded), Bound::Unbounded);
                let numbers: Vec<u32> =
                    state.destinations.range(range).take(DESTINATIONS_PER_RECORD).copied().collect();
                let next = match numbers.last() {
                    Some(number) if numbers.len() == DESTINATIONS_PER_RECORD => {
                        SnapshotPosition::Destinations(Some(*number))
                    }
                    _ => SnapshotPosition::Outages(None),
                };
                (Record::Destinations(numbers), Some(next))
            }
            SnapshotPosition::Outages(after) => {
                let entries: Vec<_> = entries_after(&state.outages, after).take(ENTRIES_PER_RECORD).collect();
                let next = match entries.last() {
                    Some((key, _)) if entries.len() == ENTRIES_PER_RECORD => {
                        SnapshotPosition::Outages(Some((*key).clone()))
                    }
                    _ => SnapshotPosition::Suspended(None),
                };
                let changed = entries.into_iter().map(|(_, outage)| outage.clone()).collect();
                (Record::Outages { changed, removed: Vec::new() }, Some(next))
            }
            SnapshotPosition::Suspended(after) => {
                let range = (after.map_or(Bound::Unbounded, Bound::Excluded), Bound::Unbounded);
                let changed: Vec<String> =
                    state.suspended_uids.range(range).take(ENTRIES_PER_RECORD).cloned().collect();
                let next = match changed.last() {
                    Some(uid) if changed.len() == ENTRIES_PER_RECORD => {
                        SnapshotPosition::Suspended(Some(uid.clone()))
                    }
                    _ => SnapshotPosition::FormerUids(0),
                };
                (Record::Suspended { suspended: changed, resumed: Vec::new() }, Some(next))
            }
            // Uids that are dropped meanwhile move the others forward, so some may be left to the next snapshot.
            SnapshotPosition::FormerUids(written) => {
                let uids: Vec<String> =
                    state.former_uids.iter().skip(written).take(ENTRIES_PER_RECORD).cloned().collect();
                let next = (uids.len() == ENTRIES_PER_RECORD)
                    .then_some(SnapshotPosition::FormerUids(written + ENTRIES_PER_RECORD));
                (Record::FormerUids(uids), next)
            }
        };
        let bytes = self.append_rewritten(record)?;
        let Some(snapshot) = &mut self.shared_state.snapshot else { return Ok(bytes) };
        snapshot.bytes += bytes;
        match next {
            Some(next) => snapshot.position = next,
            None => {
                // Resets `has_unwritten_changes` and the removals too: the snapshot has all changes that could not be written before, and
                // a failure during a snapshot starts it anew.
                let (oldest_segment, snapshot_bytes) = (snapshot.first_segment, snapshot.bytes);
                self.shared_state = SharedStateLocation {
                    oldest_segment,
                    bytes: snapshot_bytes,
                    snapshot_bytes,
                    ..SharedStateLocation::default()
                };
            }
        }
        Ok(bytes)
    }
}

fn entries_after<K: Ord + Clone, V>(
    map: &BTreeMap<K, V>,
    after: Option<K>,
) -> impl Iterator<Item = (&K, &V)> {
    map.range((after.map_or(Bound::Unbounded, Bound::Excluded), Bound::Unbounded))
}

fn accepted_cost(message: &AcceptedMessage) -> u64 {
    let string_bytes =
        message.id.len() + message.class.len() + message.idempotency_key.as_ref().map_or(0, String::len);
    message_cost(string_bytes, message.body.len())
}

fn pending_cost(pending: &PendingMessage) -> u64 {
    accepted_cost(&pending.message)
}
