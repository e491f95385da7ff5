//! The journal of releases before 0.2, for comparison: a single file that is compacted all at once.
//!
//! A record is written before any effect that relies on it. The system call has to return, but the data need not reach the
//! disk: records survive a crash of the process, not of the machine.
#![allow(dead_code)]

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fs::{self, File, OpenOptions};
use std::io::{self, BufReader, BufWriter, Read, Write};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use thiserror::Error;

use gullcart_message::{AcceptedMessage, ListingUpdate, Target, Verdict};

/// Messages are accepted only while live data fits into this fraction of the disk.
const MAX_LIVE_FRACTION: f64 = 0.43;
/// The file is compacted before it exceeds this fraction, so that the old and the new file fit on the disk together.
const COMPACTION_FRACTION: f64 = 0.54;
/// No record is appended beyond this fraction, even if compaction fails.
const MAX_FILE_FRACTION: f64 = 0.95;
/// Space reserved for the later records of each live message.
const RESERVED_PER_MESSAGE_BYTES: u64 = 128;
/// Size of length and checksum before each record.
const FRAME_BYTES: usize = 8;
/// A longer record counts as damaged. The longest that is written is a whole listing of endpoints.
const MAX_PAYLOAD_BYTES: usize = 4 << 20;

/// Why the journal cannot be read, or a record cannot be written.
#[derive(Debug, Error)]
pub enum JournalError {
    #[error("the journal's file: {0}")]
    Io(#[from] io::Error),
    #[error("a record cannot be encoded: {0}")]
    Encode(#[from] postcard::Error),
    #[error("a record is too long")]
    RecordTooLong,
    #[error("the journal is full")]
    Full,
}

/// A sent attempt: when it was sent, in Unix milliseconds, and the index of the zone to which it was sent.
pub type SentAttempt = (u64, u8);

/// An accepted message that is not completed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PendingMessage {
    pub message: AcceptedMessage,
    pub attempts: u32,
    /// The first attempt that may have run.
    pub may_have_run: Option<SentAttempt>,
    /// The attempt that has no outcome yet: after a restart it may have run.
    pub in_flight: Option<SentAttempt>,
    pub verdict: Option<Verdict>,
}

/// An outage, in terms that stay valid over a restart of the process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PersistedOutage {
    pub destination: u16,
    pub uid: Option<String>,
    pub since_ms: u64,
    pub failure_weight: u32,
    pub calls_were_lost: Option<bool>,
    pub slow_start_since_ms: Option<u64>,
    pub served_per_second: f64,
}

#[derive(Serialize, Deserialize)]
enum Record {
    Accepted(u32, AcceptedMessage),
    AttemptStarted(u32, SentAttempt),
    /// The attempt in flight has ended; whether it may have run.
    AttemptFinished(u32, bool),
    VerdictSet(u32, Verdict),
    Completed(u32),
    /// All that is known of a pending message; compaction writes these.
    FullMessage(u32, PendingMessage),
    /// A listing update as it was received.
    Listing(ListingUpdate),
    /// All current outages.
    Outages(Vec<PersistedOutage>),
    /// Every destination that was ever listed.
    Destinations(Vec<u16>),
}

/// The state to which the records replay.
#[derive(Default)]
pub struct JournalState {
    /// Pending messages by their number. Numbers are given out in the order of acceptance.
    pub pending: BTreeMap<u32, PendingMessage>,
    pub last_number: u32,
    pub listing_rev: u64,
    pub targets: BTreeMap<String, Target>,
    /// All destinations that were ever listed: one without endpoints may get some later.
    pub destinations: BTreeSet<u32>,
    pub outages: Vec<PersistedOutage>,
}

impl JournalState {
    fn apply(&mut self, record: Record) {
        match record {
            Record::Accepted(number, message) => {
                self.last_number = self.last_number.max(number);
                let pending = PendingMessage {
                    message,
                    attempts: 0,
                    may_have_run: None,
                    in_flight: None,
                    verdict: None,
                };
                self.pending.insert(number, pending);
            }
            Record::FullMessage(number, pending) => {
                self.last_number = self.last_number.max(number);
                self.pending.insert(number, pending);
            }
            Record::AttemptStarted(number, sent) => {
                if let Some(pending) = self.pending.get_mut(&number) {
                    pending.attempts += 1;
                    pending.in_flight = Some(sent);
                }
            }
            Record::AttemptFinished(number, may_have_run) => {
                if let Some(pending) = self.pending.get_mut(&number) {
                    let sent = pending.in_flight.take().filter(|_| may_have_run);
                    pending.may_have_run = pending.may_have_run.or(sent);
                }
            }
            Record::VerdictSet(number, verdict) => {
                if let Some(pending) = self.pending.get_mut(&number) {
                    pending.verdict = Some(verdict);
                }
            }
            Record::Completed(number) => {
                self.pending.remove(&number);
            }
            Record::Listing(update) => {
                self.listing_rev = update.rev;
                if update.all {
                    self.targets.clear();
                }
                for target in update.targets {
                    self.destinations.insert(target.pod_group);
                    if target.is_deleted() {
                        self.targets.remove(&target.uid);
                    } else {
                        self.targets.insert(target.uid.clone(), target);
                    }
                }
            }
            Record::Outages(outages) => self.outages = outages,
            Record::Destinations(destinations) => {
                self.destinations.extend(destinations.into_iter().map(u32::from))
            }
        }
    }
}

/// A journal in a folder.
pub struct Journal {
    path: PathBuf,
    file: File,
    size: u64,
    /// Most bytes that a compacted file would need.
    live_bytes: u64,
    disk_bytes: u64,
    pub state: JournalState,
}

impl Journal {
    /// Opens the journal of a folder and replays it. An incomplete or damaged end is truncated, as nothing relied on it.
    pub fn open(folder: &Path, disk_bytes: u64) -> Result<Self, JournalError> {
        let path = folder.join("journal");
        match fs::remove_file(path.with_extension("new")) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error.into()),
            _ => {}
        }
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(&path)?;
        let end = file.metadata()?.len();
        let mut state = JournalState::default();
        // Reads one record at a time, as the file may be larger than the memory.
        let mut reader = BufReader::new(&file);
        let mut size = 0;
        while let Some((record, length)) = read_record(&mut reader, end - size)? {
            state.apply(record);
            size += length;
        }
        file.set_len(size)?;
        let live_bytes = state.pending.values().map(pending_cost).sum();
        Ok(Journal { path, file, size, live_bytes, disk_bytes, state })
    }

    /// Accepts a message and returns its number. Once this returns, the message survives a crash of the process.
    pub fn accept(&mut self, message: AcceptedMessage) -> Result<u32, JournalError> {
        let number = self.state.last_number + 1;
        let cost = accepted_cost(&message);
        if self.live_bytes + cost > self.fraction_of_disk(MAX_LIVE_FRACTION) {
            return Err(JournalError::Full);
        }
        self.append(Record::Accepted(number, message))?;
        self.live_bytes += cost;
        Ok(number)
    }

    /// Records that an attempt begins.
    pub fn start_attempt(&mut self, number: u32, sent: SentAttempt) -> Result<(), JournalError> {
        self.append(Record::AttemptStarted(number, sent))
    }

    /// Records that the attempt in flight has ended, and whether it may have run.
    pub fn finish_attempt(&mut self, number: u32, may_have_run: bool) -> Result<(), JournalError> {
        self.append(Record::AttemptFinished(number, may_have_run))
    }

    /// Records that a message will not be delivered, and the verdict for the client.
    pub fn set_verdict(&mut self, number: u32, verdict: Verdict) -> Result<(), JournalError> {
        self.append(Record::VerdictSet(number, verdict))
    }

    /// Completes a message: it was delivered, its notice was acknowledged, or it is not wanted any more.
    pub fn complete(&mut self, number: u32) -> Result<(), JournalError> {
        let Some(cost) = self.state.pending.get(&number).map(pending_cost) else { return Ok(()) };
        let result = self.append(Record::Completed(number));
        // Removed even if the record could not be written: at worst the next process notifies the client once more.
        self.state.pending.remove(&number);
        self.live_bytes = self.live_bytes.saturating_sub(cost);
        result
    }

    /// Records a listing of endpoints, or the changes of one.
    pub fn update_listing(&mut self, update: ListingUpdate) -> Result<(), JournalError> {
        self.append(Record::Listing(update))
    }

    /// Records all current outages.
    pub fn set_outages(&mut self, outages: Vec<PersistedOutage>) -> Result<(), JournalError> {
        self.append(Record::Outages(outages))
    }

    fn fraction_of_disk(&self, fraction: f64) -> u64 {
        (self.disk_bytes as f64 * fraction) as u64
    }

    /// Appends a record at the tracked end of the file, so that the next record overwrites what a failed write left.
    fn append(&mut self, record: Record) -> Result<(), JournalError> {
        let bytes = encode(&record)?;
        let length = bytes.len() as u64;
        let mut compacted = Ok(());
        if self.size + length > self.fraction_of_disk(COMPACTION_FRACTION) {
            compacted = self.compact();
        }
        if self.size + length > self.fraction_of_disk(MAX_FILE_FRACTION) {
            return compacted.and(Err(JournalError::Full));
        }
        self.file.write_all_at(&bytes, self.size)?;
        self.size += length;
        self.state.apply(record);
        Ok(())
    }

    /// Writes the state to a new file and renames it over the old one.
    fn compact(&mut self) -> Result<(), JournalError> {
        let new = self.path.with_extension("new");
        match self.write_state(&new) {
            Ok((file, size)) => {
                (self.file, self.size) = (file, size);
                Ok(())
            }
            Err(error) => {
                let _ = fs::remove_file(&new);
                Err(error)
            }
        }
    }

    fn write_state(&self, new: &Path) -> Result<(File, u64), JournalError> {
        let mut file = BufWriter::new(File::create(new)?);
        let mut size = 0;
        let mut write = |record: Record| {
            let bytes = encode(&record)?;
            size += bytes.len() as u64;
            if self.size + size > self.disk_bytes {
                return Err(JournalError::Full);
            }
            Ok(file.write_all(&bytes)?)
        };
        let targets = self.state.targets.values().cloned().collect();
        write(Record::Listing(ListingUpdate { rev: self.state.listing_rev, all: true, targets }))?;
        let numbers = self.state.destinations.iter().filter_map(|number| u16::try_from(*number).ok());
        write(Record::Destinations(numbers.collect()))?;
        write(Record::Outages(self.state.outages.clone()))?;
        for (number, pending) in &self.state.pending {
            write(Record::FullMessage(*number, pending.clone()))?;
        }
        let file = file.into_inner().map_err(io::IntoInnerError::into_error)?;
        fs::rename(new, &self.path)?;
        Ok((file, size))
    }
}

fn accepted_cost(message: &AcceptedMessage) -> u64 {
    let string_bytes =
        message.id.len() + message.class.len() + message.idempotency_key.as_ref().map_or(0, String::len);
    (message.body.len() + string_bytes) as u64 + RESERVED_PER_MESSAGE_BYTES
}

fn pending_cost(pending: &PendingMessage) -> u64 {
    accepted_cost(&pending.message)
}

/// Encodes a record with its frame.
fn encode(record: &Record) -> Result<Vec<u8>, JournalError> {
    let payload = postcard::to_stdvec(record)?;
    if payload.len() > MAX_PAYLOAD_BYTES {
        // A replay would take it for damage and truncate the file there.
        return Err(JournalError::RecordTooLong);
    }
    let mut out = Vec::with_capacity(FRAME_BYTES + payload.len());
    out.extend((payload.len() as u32).to_le_bytes());
    out.extend(crc32fast::hash(&payload).to_le_bytes());
    out.extend(payload);
    Ok(out)
}

/// Reads the next record and its length from a file with `left` more bytes; none at the end or at damage.
fn read_record(file: &mut impl Read, left: u64) -> io::Result<Option<(Record, u64)>> {
    let Some(left) = left.checked_sub(FRAME_BYTES as u64) else { return Ok(None) };
    let (mut length, mut checksum) = ([0; 4], [0; 4]);
    file.read_exact(&mut length)?;
    file.read_exact(&mut checksum)?;
    let length = u32::from_le_bytes(length);
    if length == 0 || length as usize > MAX_PAYLOAD_BYTES || u64::from(length) > left {
        return Ok(None);
    }
    let mut payload = vec![0; length as usize];
    file.read_exact(&mut payload)?;
    if crc32fast::hash(&payload) != u32::from_le_bytes(checksum) {
        return Ok(None);
    }
    let record = postcard::from_bytes(&payload).ok();
    Ok(record.map(|record| (record, FRAME_BYTES as u64 + u64::from(length))))
}
