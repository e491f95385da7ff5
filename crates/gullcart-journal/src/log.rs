//! The segments on disk: appending, beginning the next one, freeing the oldest. It knows bytes and files, and nothing of
//! what the records mean.
//!
//! A record goes to a place that is never used twice, so that what a failed write left behind can never be taken for
//! a record. The next segment's header is written into a spare file before that gets its name, and says where the
//! segment before ends: so a segment that has a successor has an exact length, and only the last one can be torn.

use crate::error::{doing, JournalError};
use crate::frame::{self, Header, Place, FRAME, HEADER};
use crate::legacy;
use crate::plan::{on_disk, Plan};
use crate::store::Store;
use crate::Durability;
use std::collections::VecDeque;

/// A segment that is set aside for the next one.
pub(crate) const SPARE: &str = "journal.spare";
const PREFIX: &str = "journal-";
const SUFFIX: &str = ".seg";
/// A spare segment has so much at least.
const LEAST_SPARE: u64 = 4 << 10;

/// The name of a segment; 0 stands for the single file of old releases.
pub(crate) fn name(sequence: u64) -> String {
    match sequence {
        0 => legacy::NAME.to_owned(),
        sequence => format!("{PREFIX}{sequence:016x}{SUFFIX}"),
    }
}

/// Which segment has that name.
pub(crate) fn sequence(name: &str) -> Option<u64> {
    if name == legacy::NAME {
        return Some(0);
    }
    let digits = name.strip_prefix(PREFIX)?.strip_suffix(SUFFIX)?;
    let sequence = u64::from_str_radix(digits, 16).ok().filter(|sequence| *sequence > 0)?;
    (self::name(sequence) == name).then_some(sequence)
}

/// A segment that has a successor, or is to be gone.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sealed {
    pub sequence: u64,
    /// Header and records.
    pub size: u64,
    /// What the file counts as.
    pub on_disk: u64,
}

/// The segment that is written.
pub(crate) struct Active<F> {
    pub file: F,
    pub sequence: u64,
    /// Header and records; the next record goes here.
    pub size: u64,
    /// The file's length: what stands behind `size` is set aside.
    pub length: u64,
    /// All before this outlasts what it is to outlast.
    pub settled: u64,
}

/// A file that was set aside.
struct Spare<F> {
    file: F,
    length: u64,
}

/// What opening a folder found.
pub(crate) struct Start<F> {
    pub identity: u64,
    pub sealed: VecDeque<Sealed>,
    pub active: Option<Active<F>>,
    /// The oldest segment that is needed.
    pub lowest: u64,
}

pub(crate) struct Log<S: Store> {
    store: S,
    plan: Plan,
    durability: Durability,
    identity: u64,
    sealed: VecDeque<Sealed>,
    /// What they count as together.
    sealed_on_disk: u64,
    active: Option<Active<S::File>>,
    spare: Option<Spare<S::File>>,
    /// No spare could be made, though the folder may hold more.
    is_tight: bool,
    /// The next segment may have its name already, and says how long the one before is: that one is not written to
    /// any more, whether or not the name could be given.
    closing: bool,
    lowest: u64,
    /// What a failed write left behind the last record could not be cut off yet.
    is_suspect: bool,
    /// Files that count besides the segments.
    others: u64,
    /// What is left of a spare file that could neither be made nor removed.
    stray: u64,
    buffer: Vec<u8>,
}

impl<S: Store> Log<S> {
    pub fn new(store: S, plan: Plan, durability: Durability, others: u64, start: Start<S::File>) -> Self {
        let Start { identity, sealed, active, lowest } = start;
        Log {
            store,
            plan,
            durability,
            identity,
            sealed_on_disk: sealed.iter().map(|sealed| sealed.on_disk).sum(),
            sealed,
            active,
            spare: None,
            is_tight: false,
            closing: false,
            lowest,
            is_suspect: false,
            others,
            stray: 0,
            buffer: Vec::new(),
        }
    }

    /// All files as they count.
    pub fn used(&self) -> u64 {
        let active = self.active.as_ref().map_or(0, |active| on_disk(active.length));
        self.sealed_on_disk
            + active
            + self.spare.as_ref().map_or(0, |spare| on_disk(spare.length))
            + self.others
            + self.stray
    }

    /// What is set aside and not yet written.
    pub fn aside(&self) -> u64 {
        let active = self.active.as_ref().map_or(0, |active| match self.closing {
            true => 0,
            false => active.length - active.size,
        });
        active + self.spare.as_ref().map_or(0, |spare| spare.length.saturating_sub(HEADER))
    }

    pub fn oldest(&self) -> Option<Sealed> {
        self.sealed.front().copied()
    }

    /// All that were sealed, oldest first.
    pub fn sealed(&self) -> impl ExactSizeIterator<Item = &Sealed> {
        self.sealed.iter()
    }

    /// The segment that is written, or that will be next.
    pub fn current(&self) -> u64 {
        self.active.as_ref().map_or(self.next(), |active| active.sequence)
    }

    fn next(&self) -> u64 {
        let last = self.active.as_ref().map(|active| active.sequence);
        last.or(self.sealed.back().map(|sealed| sealed.sequence)).map_or(1, |last| last + 1).max(self.lowest)
    }

    /// Appends a record; which segment it went to, whether that was begun for it, and its bytes with the frame.
    pub fn append(&mut self, payload: &[u8]) -> Result<Appended, JournalError> {
        if payload.len() > frame::LONGEST as usize {
            return Err(JournalError::Long(payload.len()));
        }
        let bytes = FRAME + payload.len() as u64;
        let begun = !self.has_place(bytes);
        if begun {
            self.roll()?;
        }
        let set_aside = self.active.as_ref().map_or(0, |active| active.length);
        match self.put(payload, &[payload.len()]) {
            // The disk gave no more than was set aside; the spare segment is.
            Err(_) if !begun && self.spare.is_some() && self.size() + bytes > set_aside => {
                self.roll()?;
                self.put(payload, &[payload.len()]).map(|segment| Appended { segment, begun: true, bytes })
            }
            put => put.map(|segment| Appended { segment, begun, bytes }),
        }
    }

    /// Bytes that [`Log::append_run`] may write: what is set aside in the segment that is written.
    pub fn run(&self) -> u64 {
        match &self.active {
            Some(active) if !self.closing && !self.is_suspect && active.size < self.plan.segment() => {
                active.length - active.size
            }
            _ => 0,
        }
    }

    /// Appends several records in one write, to the segment that is written: all of them or none. With their frames they
    /// fit into [`Log::run`]. The payloads stand behind each other, each as long as its place in `lengths` says.
    pub fn append_run(&mut self, payloads: &[u8], lengths: &[usize]) -> Result<u64, JournalError> {
        if let Some(long) = lengths.iter().find(|length| **length > frame::LONGEST as usize) {
            return Err(JournalError::Long(*long));
        }
        self.put(payloads, lengths)
    }

    fn size(&self) -> u64 {
        self.active.as_ref().map_or(0, |active| active.size)
    }

    /// Whether something may stand behind the last record that was refused.
    pub fn is_suspect(&self) -> bool {
        self.is_suspect
    }

    /// Cuts off what a failed write left: it may be there in part, or even whole, and must not come back as something
    /// that was promised.
    fn cut_off(&mut self) -> Result<(), JournalError> {
        let Some(active) = self.active.as_mut().filter(|_| self.is_suspect) else { return Ok(()) };
        let cut = self.store.set_length(&active.file, active.size);
        cut.map_err(doing("cut", &name(active.sequence)))?;
        active.length = active.size;
        self.is_suspect = false;
        Ok(())
    }

    /// Writes records behind the last one; to which segment.
    fn put(&mut self, mut payloads: &[u8], lengths: &[usize]) -> Result<u64, JournalError> {
        self.cut_off()?;
        let (used, durability) = (self.used(), self.durability);
        let (store, plan, identity) = (&self.store, &self.plan, self.identity);
        let Some(active) = &mut self.active else { return Err(JournalError::Full) };
        let end = active.size + payloads.len() as u64 + lengths.len() as u64 * FRAME;
        if used - on_disk(active.length) + on_disk(end.max(active.length)) > plan.disk() {
            return Err(JournalError::Full);
        }
        let settled = match durability {
            Durability::Process => active.size,
            Durability::Machine => active.settled,
        };
        let place = Place { identity, sequence: active.sequence };
        self.buffer.clear();
        for length in lengths {
            let (payload, rest) = payloads.split_at((*length).min(payloads.len()));
            let begin = self.buffer.len();
            self.buffer.resize(begin + FRAME as usize, 0);
            self.buffer.extend_from_slice(payload);
            frame::seal(place, active.size + begin as u64, settled, &mut self.buffer[begin..]);
            payloads = rest;
        }
        if let Err(error) = store.write_at(&active.file, &self.buffer, active.size) {
            active.length = active.length.max(end);
            let failed = doing("write", &name(active.sequence))(error);
            self.is_suspect = true;
            let _ = self.cut_off();
            return Err(failed);
        }
        active.size = end;
        active.length = active.length.max(end);
        Ok(active.sequence)
    }

    /// Whether a record can go to the segment that is written.
    fn has_place(&self, bytes: u64) -> bool {
        let Some(active) = self.active.as_ref().filter(|_| !self.closing) else { return false };
        if active.size + bytes <= active.length {
            // Where there can be no next segment, what is set aside in this one is used up.
            return active.size < self.plan.segment() || (self.is_tight && self.spare.is_none());
        }
        let more = on_disk(active.size + bytes) - on_disk(active.length);
        active.size < self.plan.segment() && self.used() + more <= self.plan.disk()
    }

    /// Whether the disk itself gives no more room.
    pub fn is_tight(&self) -> bool {
        self.is_tight
    }

    /// Sets the next segment aside, if there is room; a failure is told when it is needed.
    pub fn prepare(&mut self, held: u64) {
        let _ = self.cut_off();
        if self.spare.is_none() {
            let result = self.set_aside(self.plan.spare(held));
            self.is_tight = matches!(result, Err(JournalError::Io { .. }));
        }
    }

    fn set_aside(&mut self, wanted: u64) -> Result<(), JournalError> {
        let left = self.plan.disk().saturating_sub(self.used()) / 512 * 512;
        let length = wanted.min(left);
        if length < LEAST_SPARE.min(self.plan.segment()) {
            return Err(JournalError::Full);
        }
        let file = self.store.create(SPARE).map_err(doing("make", SPARE))?;
        self.stray = 0;
        if let Err(error) = self.store.set_aside(&file, length) {
            if self.store.remove(SPARE).is_err() {
                self.stray = on_disk(length);
            }
            return Err(doing("set room aside for", SPARE)(error));
        }
        self.spare = Some(Spare { file, length });
        Ok(())
    }

    /// Begins the next segment.
    fn roll(&mut self) -> Result<(), JournalError> {
        if self.spare.is_none() {
            self.set_aside(self.plan.segment())?;
        }
        let Some(spare) = &self.spare else { return Err(JournalError::Full) };
        let sequence = self.next();
        let is_synced = self.durability == Durability::Machine;
        let previous_size = match &mut self.active {
            Some(active) => {
                if is_synced {
                    self.store.sync(&active.file).map_err(doing("sync", &name(active.sequence)))?;
                    active.settled = active.size;
                }
                active.size
            }
            None => self.sealed.back().map_or(0, |sealed| sealed.size),
        };
        let place = Place { identity: self.identity, sequence };
        let header = Header { place, previous_size, lowest: self.lowest };
        self.store.write_at(&spare.file, &header.encode(), 0).map_err(doing("write", SPARE))?;
        if is_synced {
            self.store.sync(&spare.file).map_err(doing("sync", SPARE))?;
        }
        // From here on the segment before may have a successor that says where it ends.
        let again = std::mem::replace(&mut self.closing, true);
        match self.store.rename(SPARE, &name(sequence)) {
            // It had its name all the same.
            Err(error) if again && error.kind() == std::io::ErrorKind::NotFound => {}
            other => other.map_err(doing("rename", SPARE))?,
        }
        if is_synced {
            self.store.sync_names().map_err(doing("sync names beside", &name(sequence)))?;
        }
        let Some(Spare { file, length }) = self.spare.take() else { return Err(JournalError::Full) };
        let begun = Active { file, sequence, size: HEADER, length: length.max(HEADER), settled: HEADER };
        if let Some(before) = self.active.replace(begun) {
            // What was set aside and not used is given back; if that fails it goes on counting.
            let cut = self.store.set_length(&before.file, before.size).is_ok();
            let length = if cut { before.size } else { before.length };
            let sealed = Sealed { sequence: before.sequence, size: before.size, on_disk: on_disk(length) };
            self.sealed_on_disk += sealed.on_disk;
            self.sealed.push_back(sealed);
        }
        self.closing = false;
        // The segment before ends where the header says, whatever stands behind that.
        self.is_suspect = false;
        Ok(())
    }

    /// Removes the oldest segment. Its records must not be needed any more, and a record that says so be written. In
    /// order: the next one stays until this one is gone.
    pub fn free_oldest(&mut self) -> Result<(), JournalError> {
        let Some(oldest) = self.oldest() else { return Ok(()) };
        // What was rewritten has to be there for certain.
        self.commit()?;
        self.lowest = oldest.sequence + 1;
        let name = name(oldest.sequence);
        match self.store.remove(&name) {
            Err(error) if error.kind() != std::io::ErrorKind::NotFound => Err(doing("remove", &name)(error)),
            _ => {
                self.sealed.pop_front();
                self.sealed_on_disk -= oldest.on_disk;
                if self.durability == Durability::Machine {
                    self.store.sync_names().map_err(doing("sync names after removing", &name))?;
                }
                Ok(())
            }
        }
    }

    /// What was written outlasts what it is to outlast. A failure is final: nobody knows what is on the disk.
    pub fn commit(&mut self) -> Result<(), JournalError> {
        if self.durability == Durability::Process {
            return Ok(());
        }
        let Some(active) = &mut self.active else { return Ok(()) };
        if active.settled < active.size {
            self.store.sync(&active.file).map_err(doing("sync", &name(active.sequence)))?;
            active.settled = active.size;
        }
        Ok(())
    }
}

/// Where a record went.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Appended {
    pub segment: u64,
    /// The segment was begun for it.
    pub begun: bool,
    pub bytes: u64,
}

#[cfg(test)]
mod tests;
