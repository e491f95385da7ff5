//! Space policy of the journal: how many bytes of live messages may be accepted, which records may be written now, and
//! how much is rewritten per compaction step. It does no I/O and reads no clock; all sizes are bytes.
//!
//! Segments are freed oldest first. Live records of the oldest segment are rewritten to the end of the log before it is
//! removed. The log is therefore always a contiguous run of segments that replays to the current state, and a
//! completion record never has to outlive the message that it completes.

/// Fraction of the disk that live messages may take.
const MAX_LIVE_FRACTION: f64 = 0.64;
/// Number of segments that fill the disk, unless the size limits below change the segment size.
const SEGMENTS_PER_DISK: u64 = 64;
/// Least size of a segment. Small segments need little free space beside the live data: on a busy day the deployment
/// platform has only 150 KB of disk.
const MIN_SEGMENT_BYTES: u64 = 3 << 10;
/// Largest size of a segment. Large segments keep the number of files low.
const MAX_SEGMENT_BYTES: u64 = 4 << 20;
/// Space reserved per pending message for the records that end it: outcome, verdict and completion.
const COMPLETION_BYTES: u64 = 64;
/// Overhead of a record that holds a whole message, beyond its strings and its body.
const MESSAGE_OVERHEAD_BYTES: u64 = 96;
/// Most that one compaction step rewrites; its last record may exceed this.
const MAX_STEP_BYTES: u64 = 32 << 10;
/// Least that is rewritten per record written, once compaction has begun.
const MIN_STEP_BYTES: u64 = 1 << 10;
/// Bytes to rewrite are accumulated until they reach this or a quarter of a segment, whichever is less; then a compaction
/// step runs.
const BATCHED_STEP_BYTES: u64 = 16 << 10;
/// File sizes are rounded up to whole sectors.
pub(crate) const SECTOR_BYTES: u64 = 512;

/// Bytes that a file of the given length takes on disk, in whole sectors.
pub fn size_on_disk(length: u64) -> u64 {
    length.div_ceil(SECTOR_BYTES) * SECTOR_BYTES
}

/// Bytes charged for a message while it is pending.
pub fn message_cost(string_bytes: usize, body_bytes: usize) -> u64 {
    (string_bytes + body_bytes) as u64 + MESSAGE_OVERHEAD_BYTES
}

/// Size limits of a journal folder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpacePlan {
    disk_bytes: u64,
    segment_bytes: u64,
}

/// Current space usage of the journal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SpaceUsage {
    /// Size of all files on disk, preallocated space included.
    pub used_bytes: u64,
    /// Preallocated and not yet written: the rest of the active segment, and the spare one.
    pub preallocated_bytes: u64,
    /// Bytes to rewrite before the oldest segment can be freed; none if the oldest segment is the active one.
    pub oldest_live_bytes: Option<u64>,
    /// Number of pending messages.
    pub pending_messages: u64,
    /// Bytes charged for the pending messages and for the shared state (listing, destinations, outages).
    pub live_bytes: u64,
    /// The disk itself is full, even if the journal has not reached its own limit.
    pub is_disk_full: bool,
}

/// Why a record is written. When space is short, records that add obligations are refused before records that fulfil
/// them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordPurpose {
    /// Accepts a new message.
    Accept,
    /// Records the start of an attempt, or a change of the shared state.
    Progress,
    /// Rewrites live data so that its old segment can be freed.
    Rewrite,
    /// Records an outcome, a verdict or a completion.
    Completion,
}

impl SpacePlan {
    /// Plans for a folder of `disk_bytes` bytes; without `segment_bytes` the segment size follows from the disk. Tests use
    /// smaller segments than the options file allows.
    pub fn new(disk_bytes: u64, segment_bytes: Option<u64>) -> Self {
        let default_bytes = (disk_bytes / SEGMENTS_PER_DISK).clamp(MIN_SEGMENT_BYTES, MAX_SEGMENT_BYTES);
        let segment_bytes =
            segment_bytes.unwrap_or(default_bytes).clamp(SECTOR_BYTES, 1 << 30) / SECTOR_BYTES * SECTOR_BYTES;
        SpacePlan { disk_bytes, segment_bytes }
    }

    /// Size at which the next segment is begun; each segment file is preallocated with this size.
    pub fn segment_bytes(&self) -> u64 {
        self.segment_bytes
    }

    /// Size of the spare segment: it has to fit the completion records of all pending messages.
    pub fn spare_bytes(&self, pending_messages: u64) -> u64 {
        size_on_disk(self.segment_bytes.max((pending_messages + 1) * COMPLETION_BYTES))
    }

    /// Most bytes that the folder may hold.
    pub fn disk_bytes(&self) -> u64 {
        self.disk_bytes
    }

    /// Most bytes of live data that may be accepted at a time, as [`message_cost`] charges them.
    pub fn max_live_bytes(&self) -> u64 {
        (self.disk_bytes as f64 * MAX_LIVE_FRACTION) as u64
    }

    /// Bytes that can still be written for any purpose.
    fn available_bytes(&self, usage: &SpaceUsage) -> u64 {
        match usage.is_disk_full {
            true => usage.preallocated_bytes,
            false => self.disk_bytes.saturating_sub(usage.used_bytes) + usage.preallocated_bytes,
        }
    }

    /// Bytes that have to stay available after a record of the given purpose.
    fn reserved_bytes(&self, usage: &SpaceUsage, purpose: RecordPurpose) -> u64 {
        let completions = usage.pending_messages * COMPLETION_BYTES;
        let oldest_live = usage.oldest_live_bytes.unwrap_or(0);
        match purpose {
            RecordPurpose::Accept => completions + COMPLETION_BYTES + oldest_live + self.segment_bytes,
            RecordPurpose::Progress => completions + oldest_live,
            RecordPurpose::Rewrite => completions,
            RecordPurpose::Completion => 0,
        }
    }

    /// Whether a record of `bytes` bytes may be written now.
    pub fn may_write(&self, usage: &SpaceUsage, purpose: RecordPurpose, bytes: u64) -> bool {
        self.available_bytes(usage) >= bytes + self.reserved_bytes(usage, purpose)
    }

    /// Whether a message of the given cost may be accepted.
    pub fn may_accept(&self, usage: &SpaceUsage, cost: u64) -> bool {
        usage.live_bytes + cost <= self.max_live_bytes()
    }

    /// Whether a file of `bytes` bytes may be preallocated.
    pub fn may_preallocate(&self, usage: &SpaceUsage, bytes: u64) -> bool {
        usage.used_bytes + size_on_disk(bytes) <= self.disk_bytes
    }

    /// Bytes to rewrite after `written` bytes were written; none as long as two segments of space are left over for new
    /// messages (the surplus). Per byte written, `2 * oldest_live / surplus` bytes are rewritten. At this rate the live
    /// bytes of the oldest segment fall in proportion to the square of the surplus, so the segment can be freed before the
    /// surplus is used up and new messages have to be refused.
    pub fn step_bytes(&self, usage: &SpaceUsage, written: u64) -> u64 {
        let Some(oldest_live) = usage.oldest_live_bytes else { return 0 };
        let surplus = self.accept_surplus_bytes(usage);
        if surplus >= 2 * self.segment_bytes {
            return 0;
        }
        let bytes =
            written as f64 * 2.0 * (oldest_live + SECTOR_BYTES) as f64 / (surplus.max(SECTOR_BYTES)) as f64;
        (bytes as u64).clamp(MIN_STEP_BYTES, MAX_STEP_BYTES)
    }

    /// Whether the accumulated bytes to rewrite, `due_bytes`, are enough for a compaction step: one write for several messages costs little
    /// more than a write for each. When space for new messages is short, nothing is accumulated.
    pub fn is_step_due(&self, usage: &SpaceUsage, due_bytes: u64) -> bool {
        let surplus = self.accept_surplus_bytes(usage);
        due_bytes >= (self.segment_bytes / 4).min(BATCHED_STEP_BYTES) || surplus < self.segment_bytes / 2
    }

    /// Bytes available for new messages, beyond what has to stay reserved.
    fn accept_surplus_bytes(&self, usage: &SpaceUsage) -> u64 {
        self.available_bytes(usage).saturating_sub(self.reserved_bytes(usage, RecordPurpose::Accept))
    }

    /// Bytes to rewrite when a record was refused for lack of space.
    pub fn forced_step_bytes(&self) -> u64 {
        MAX_STEP_BYTES
    }
}

#[cfg(test)]
mod tests;
