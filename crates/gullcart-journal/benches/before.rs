//! The journal of releases before 0.2, for comparison: one file, compacted in one go.
#![allow(dead_code)]
//!
//! Every record is written before what it promises. A write need not reach the disk (the folder outlasts the
//! process, not the machine), but the system call must have returned.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fs::{self, File, OpenOptions};
use std::io::{self, BufReader, BufWriter, Read, Write};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use thiserror::Error;

use gullcart_message::{Taken, Target, Update, Verdict};

/// Messages are taken on only while what is live fits into this part of the disk ...
const LIVE_PART: f64 = 0.43;
/// ... and the file is compacted before it passes this part, so that old and new fit side by side.
const FILE_PART: f64 = 0.54;
/// No append goes past this part, also if compaction fails.
const HARD_PART: f64 = 0.95;
/// Room kept for the later records of each live message.
const PER_MESSAGE: u64 = 128;
/// Length and checksum before each record.
const FRAME: usize = 8;
/// A longer record is damage. The longest is a whole list of endpoints.
const LONGEST: usize = 4 << 20;

#[derive(Debug, Error)]
pub enum JournalError {
    #[error("the journal's file: {0}")]
    Io(#[from] io::Error),
    #[error("a record cannot be encoded: {0}")]
    Encode(#[from] postcard::Error),
    #[error("a record is too long")]
    Long,
    #[error("the journal is full")]
    Full,
}

/// When an attempt was sent, and to which zone.
pub type Sent = (u64, u8);

/// A message that the courier still owes its end.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Held {
    pub taken: Taken,
    pub attempts: u32,
    /// The first attempt that may have run.
    pub maybe_ran: Option<Sent>,
    /// The attempt that has no outcome yet: after a restart it may have run.
    pub out: Option<Sent>,
    pub verdict: Option<Verdict>,
}

/// An [`Outage`] in terms that mean the same to the next process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OutageNote {
    pub destination: u16,
    pub uid: Option<String>,
    pub since_ms: u64,
    pub evidence: u32,
    pub lost: Option<bool>,
    pub returned_ms: Option<u64>,
    pub share: f64,
}

#[derive(Serialize, Deserialize)]
enum Record {
    Take(u32, Taken),
    Start(u32, Sent),
    /// The outcome of the attempt that was out; whether it may have run.
    Outcome(u32, bool),
    Owe(u32, Verdict),
    Over(u32),
    /// A message with all that is known of it; compaction writes these.
    Whole(u32, Held),
    /// The list of endpoints as it was told.
    Targets(Update),
    /// All outages that are remembered now.
    Outages(Vec<OutageNote>),
    /// Every destination that was ever listed.
    Destinations(Vec<u16>),
}

/// What the records add up to.
#[derive(Default)]
pub struct Image {
    /// Messages by the number that they were given when taken on, so in that order.
    pub held: BTreeMap<u32, Held>,
    pub last: u32,
    pub rev: u64,
    pub targets: BTreeMap<String, Target>,
    /// One that has no endpoints just now may get others.
    pub destinations: BTreeSet<u32>,
    pub outages: Vec<OutageNote>,
}

impl Image {
    fn apply(&mut self, record: Record) {
        match record {
            Record::Take(number, taken) => {
                self.last = self.last.max(number);
                let held = Held { taken, attempts: 0, maybe_ran: None, out: None, verdict: None };
                self.held.insert(number, held);
            }
            Record::Whole(number, held) => {
                self.last = self.last.max(number);
                self.held.insert(number, held);
            }
            Record::Start(number, sent) => {
                if let Some(held) = self.held.get_mut(&number) {
                    held.attempts += 1;
                    held.out = Some(sent);
                }
            }
            Record::Outcome(number, may_have_run) => {
                if let Some(held) = self.held.get_mut(&number) {
                    let sent = held.out.take().filter(|_| may_have_run);
                    held.maybe_ran = held.maybe_ran.or(sent);
                }
            }
            Record::Owe(number, verdict) => {
                if let Some(held) = self.held.get_mut(&number) {
                    held.verdict = Some(verdict);
                }
            }
            Record::Over(number) => {
                self.held.remove(&number);
            }
            Record::Targets(update) => {
                self.rev = update.rev;
                if update.all {
                    self.targets.clear();
                }
                for target in update.targets {
                    self.destinations.insert(target.pod_group);
                    if target.is_gone() {
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

pub struct Journal {
    path: PathBuf,
    file: File,
    size: u64,
    /// Bytes that a compacted file would need at most.
    live: u64,
    disk: u64,
    pub image: Image,
}

impl Journal {
    /// Opens the journal of a folder and replays it. A torn or damaged tail is cut off: whatever it would have
    /// promised was not promised yet.
    pub fn open(folder: &Path, disk: u64) -> Result<Self, JournalError> {
        let path = folder.join("journal");
        match fs::remove_file(path.with_extension("new")) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error.into()),
            _ => {}
        }
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(&path)?;
        let end = file.metadata()?.len();
        let mut image = Image::default();
        // One record at a time: a file may be larger than the memory.
        let mut reader = BufReader::new(&file);
        let mut size = 0;
        while let Some((record, length)) = read_record(&mut reader, end - size)? {
            image.apply(record);
            size += length;
        }
        file.set_len(size)?;
        let live = image.held.values().map(cost).sum();
        Ok(Journal { path, file, size, live, disk, image })
    }

    /// Takes a message on and gives it its number; after this it outlasts the process.
    pub fn take(&mut self, taken: Taken) -> Result<u32, JournalError> {
        let number = self.image.last + 1;
        let more = taken_cost(&taken);
        if self.live + more > self.part(LIVE_PART) {
            return Err(JournalError::Full);
        }
        self.append(Record::Take(number, taken))?;
        self.live += more;
        Ok(number)
    }

    pub fn start(&mut self, number: u32, sent: Sent) -> Result<(), JournalError> {
        self.append(Record::Start(number, sent))
    }

    pub fn outcome(&mut self, number: u32, may_have_run: bool) -> Result<(), JournalError> {
        self.append(Record::Outcome(number, may_have_run))
    }

    pub fn owe(&mut self, number: u32, verdict: Verdict) -> Result<(), JournalError> {
        self.append(Record::Owe(number, verdict))
    }

    /// A message has its end: it was delivered, its notice was answered, or nobody wants it.
    pub fn over(&mut self, number: u32) -> Result<(), JournalError> {
        let Some(less) = self.image.held.get(&number).map(cost) else { return Ok(()) };
        let result = self.append(Record::Over(number));
        // Forgotten here even if it could not be written: at worst the next process tells its end once more.
        self.image.held.remove(&number);
        self.live = self.live.saturating_sub(less);
        result
    }

    pub fn targets(&mut self, update: Update) -> Result<(), JournalError> {
        self.append(Record::Targets(update))
    }

    pub fn outages(&mut self, outages: Vec<OutageNote>) -> Result<(), JournalError> {
        self.append(Record::Outages(outages))
    }

    fn part(&self, part: f64) -> u64 {
        (self.disk as f64 * part) as u64
    }

    /// Writes at a place of its own keeping: what a failed write left behind is written over by the next one.
    fn append(&mut self, record: Record) -> Result<(), JournalError> {
        let bytes = frame(&record)?;
        let more = bytes.len() as u64;
        let mut compacted = Ok(());
        if self.size + more > self.part(FILE_PART) {
            compacted = self.compact();
        }
        if self.size + more > self.part(HARD_PART) {
            return compacted.and(Err(JournalError::Full));
        }
        self.file.write_all_at(&bytes, self.size)?;
        self.size += more;
        self.image.apply(record);
        Ok(())
    }

    /// Writes the image to a new file and puts it in the old one's place.
    fn compact(&mut self) -> Result<(), JournalError> {
        let new = self.path.with_extension("new");
        match self.write_image(&new) {
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

    fn write_image(&self, new: &Path) -> Result<(File, u64), JournalError> {
        let mut file = BufWriter::new(File::create(new)?);
        let mut size = 0;
        let mut write = |record: Record| {
            let bytes = frame(&record)?;
            size += bytes.len() as u64;
            if self.size + size > self.disk {
                return Err(JournalError::Full);
            }
            Ok(file.write_all(&bytes)?)
        };
        let targets = self.image.targets.values().cloned().collect();
        write(Record::Targets(Update { rev: self.image.rev, all: true, targets }))?;
        let numbers = self.image.destinations.iter().filter_map(|number| u16::try_from(*number).ok());
        write(Record::Destinations(numbers.collect()))?;
        write(Record::Outages(self.image.outages.clone()))?;
        for (number, held) in &self.image.held {
            write(Record::Whole(*number, held.clone()))?;
        }
        let file = file.into_inner().map_err(io::IntoInnerError::into_error)?;
        fs::rename(new, &self.path)?;
        Ok((file, size))
    }
}

fn taken_cost(taken: &Taken) -> u64 {
    let texts = taken.id.len() + taken.class.len() + taken.idempotency_key.as_ref().map_or(0, String::len);
    (taken.body.len() + texts) as u64 + PER_MESSAGE
}

fn cost(held: &Held) -> u64 {
    taken_cost(&held.taken)
}

fn frame(record: &Record) -> Result<Vec<u8>, JournalError> {
    let payload = postcard::to_stdvec(record)?;
    if payload.len() > LONGEST {
        // It would be taken for damage, and cut off what comes after it.
        return Err(JournalError::Long);
    }
    let mut out = Vec::with_capacity(FRAME + payload.len());
    out.extend((payload.len() as u32).to_le_bytes());
    out.extend(crc32fast::hash(&payload).to_le_bytes());
    out.extend(payload);
    Ok(out)
}

/// The next record and its length, of a file that goes on for `left` bytes; none at the end or where it is
/// damaged.
fn read_record(file: &mut impl Read, left: u64) -> io::Result<Option<(Record, u64)>> {
    let Some(left) = left.checked_sub(FRAME as u64) else { return Ok(None) };
    let (mut length, mut sum) = ([0; 4], [0; 4]);
    file.read_exact(&mut length)?;
    file.read_exact(&mut sum)?;
    let length = u32::from_le_bytes(length);
    if length == 0 || length as usize > LONGEST || u64::from(length) > left {
        return Ok(None);
    }
    let mut payload = vec![0; length as usize];
    file.read_exact(&mut payload)?;
    if crc32fast::hash(&payload) != u32::from_le_bytes(sum) {
        return Ok(None);
    }
    let record = postcard::from_bytes(&payload).ok();
    Ok(record.map(|record| (record, FRAME as u64 + u64::from(length))))
}
