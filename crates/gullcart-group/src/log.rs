//! What a voter keeps of the agreed log, in memory: the library writes here, and each write is a record that must last
//! before anything leaves that the library says after it. Whoever has the records has the voter.

use crate::table::{Command, Table};
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::storage::{Entry, Snapshot, StopSign, Storage, StorageOp, StorageResult};
use omnipaxos::{util::FlexibleQuorum, ClusterConfig};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::rc::Rc;

/// The library's snapshots are not used: where it joins one with the log of a voter that is behind, it takes in entries of
/// that log which were never decided. Old entries are made into a table here, behind its back ([`Log::trim`]); who needs
/// them still is given the table ([`crate::voter`]).
impl Entry for Command {
    type Snapshot = NoSnapshots;
}

/// None are made.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct NoSnapshots;

impl Snapshot<Command> for NoSnapshots {
    fn create(_: &[Command]) -> Self {
        NoSnapshots
    }

    fn merge(&mut self, _: Self) {}

    fn use_snapshots() -> bool {
        false
    }
}

/// A ballot, as it is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Promise {
    config: u32,
    number: u32,
    priority: u32,
    member: u64,
}

impl From<Ballot> for Promise {
    fn from(ballot: Ballot) -> Self {
        let Ballot { config_id, n, priority, pid } = ballot;
        Promise { config: config_id, number: n, priority, member: pid }
    }
}

impl From<Promise> for Ballot {
    fn from(promise: Promise) -> Self {
        Ballot::with(promise.config, promise.number, promise.priority, promise.member)
    }
}

/// The end of a configuration, as it is written.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    config: u32,
    voters: Vec<u64>,
    metadata: Option<Vec<u8>>,
}

/// One write. They are to be kept in their order, all of one turn or none of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// All of the log up to here, in place of what was written before.
    Image(Box<Image>),
    /// Entries behind those that there are.
    Append(Vec<Command>),
    /// Entries from a place on, in the stead of those that there are.
    Replace(u64, Vec<Command>),
    /// No lower ballot is listened to.
    Promised(Promise),
    /// The round in which the log was last written.
    Accepted(Promise),
    /// So many entries are decided.
    Decided(u64),
    /// Entries before this place are no longer kept one by one.
    Trim(u64),
    /// The configuration ends, or does not after all.
    Ends(Option<End>),
}

/// What is kept.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Image {
    /// The table of the entries that are no longer kept one by one, and how many those are.
    base: Table,
    trimmed: u64,
    /// Entries behind them.
    log: Vec<Command>,
    promised: Option<Promise>,
    accepted: Option<Promise>,
    decided: u64,
    ends: Option<End>,
}

impl Image {
    /// What records add up to.
    pub fn replay(records: impl IntoIterator<Item = Record>) -> Self {
        let mut image = Image::default();
        records.into_iter().for_each(|record| image.write(record));
        image
    }

    /// Entries that are kept one by one.
    pub fn entries(&self) -> usize {
        self.log.len()
    }

    /// The table of the entries that are no longer kept one by one, and how many those are.
    pub fn base(&self) -> (&Table, usize) {
        (&self.base, self.trimmed as usize)
    }

    /// Takes over the log of another voter, which has decided more; false where that may not be.
    ///
    /// All of it, with the round it was accepted in: the decided part alone under that round would say that nothing else was
    /// accepted in it, and under the round of before that nothing came since. Nobody is told of an acceptance, so that it
    /// counts for no majority, also where a higher round was promised already; who asks later is told of it like of any other.
    /// A log of a later round than the other one stays.
    pub fn install(&mut self, other: Image) -> bool {
        if other.decided <= self.decided || other.trimmed <= self.trimmed {
            return false;
        }
        let round = |promise: Option<Promise>| promise.map(|p| (p.config, p.number, p.priority, p.member));
        if round(other.accepted) < round(self.accepted) {
            return false;
        }
        if round(self.promised) < round(other.accepted) {
            self.promised = other.accepted;
        }
        // Logs of one round are the same as far as both go.
        let is_same_round = other.accepted == self.accepted;
        let (mine, theirs) = (self.trimmed + self.log.len() as u64, other.trimmed + other.log.len() as u64);
        if is_same_round && mine > theirs {
            self.log.drain(..((other.trimmed - self.trimmed) as usize).min(self.log.len()));
        } else {
            self.log = other.log;
        }
        (self.base, self.trimmed) = (other.base, other.trimmed);
        (self.accepted, self.decided, self.ends) = (other.accepted, other.decided, other.ends);
        true
    }

    fn write(&mut self, record: Record) {
        match record {
            Record::Image(image) => *self = *image,
            Record::Append(entries) => self.log.extend(entries),
            Record::Replace(from, entries) => {
                self.log.truncate(from.saturating_sub(self.trimmed) as usize);
                self.log.extend(entries);
            }
            Record::Promised(promise) => self.promised = Some(promise),
            Record::Accepted(promise) => self.accepted = Some(promise),
            Record::Decided(count) => self.decided = count,
            Record::Trim(count) => {
                let gone = (count.saturating_sub(self.trimmed) as usize).min(self.log.len());
                self.log.drain(..gone).for_each(|command| drop(self.base.apply(&command)));
                self.trimmed += gone as u64;
            }
            Record::Ends(end) => self.ends = end,
        }
    }

    fn part(&self, from: usize, to: usize) -> Vec<Command> {
        let place = |at: usize| (at as u64).saturating_sub(self.trimmed) as usize;
        let to = place(to).min(self.log.len());
        self.log.get(place(from).min(to)..to).map(<[Command]>::to_vec).unwrap_or_default()
    }
}

/// The log of one voter: the library has one handle, its owner another.
#[derive(Clone, Debug, Default)]
pub struct Log {
    kept: Rc<RefCell<Kept>>,
}

#[derive(Debug, Default)]
struct Kept {
    image: Image,
    /// Written since the owner last asked.
    records: Vec<Record>,
}

impl Log {
    /// One that goes on from what was kept.
    pub fn new(image: Image) -> Self {
        Log { kept: Rc::new(RefCell::new(Kept { image, records: Vec::new() })) }
    }

    /// What was written since the last time.
    pub fn take_records(&self) -> Vec<Record> {
        std::mem::take(&mut self.kept.borrow_mut().records)
    }

    /// Puts records before those that were written since.
    pub fn put_first(&self, mut records: Vec<Record>, last: Record) {
        let mut kept = self.kept.borrow_mut();
        records.push(last);
        records.append(&mut kept.records);
        kept.records = records;
    }

    /// All of it, as one record.
    pub fn image(&self) -> Image {
        self.kept.borrow().image.clone()
    }

    /// Entries that are kept one by one.
    pub fn entries(&self) -> usize {
        self.kept.borrow().image.entries()
    }

    /// The round in which the log was last written, and how long it is.
    pub fn accepted(&self) -> (Option<Ballot>, usize) {
        let image = &self.kept.borrow().image;
        (image.accepted.map(Ballot::from), image.trimmed as usize + image.log.len())
    }

    /// Entries that are no longer kept one by one.
    pub fn trimmed(&self) -> usize {
        self.kept.borrow().image.trimmed as usize
    }

    /// Makes all but some of the decided entries into a table.
    pub fn trim(&self, but: usize) {
        let decided = self.kept.borrow().image.decided;
        let count = decided.saturating_sub(but as u64);
        if count > self.trimmed() as u64 {
            self.write(Record::Trim(count));
        }
    }

    fn write(&self, record: Record) {
        let mut kept = self.kept.borrow_mut();
        kept.image.write(record.clone());
        kept.records.push(record);
    }
}

fn end(sign: StopSign) -> End {
    let ClusterConfig { configuration_id, nodes, .. } = sign.next_config;
    End { config: configuration_id, voters: nodes, metadata: sign.metadata }
}

fn sign(end: End) -> StopSign {
    let flexible_quorum: Option<FlexibleQuorum> = None;
    let next = ClusterConfig { configuration_id: end.config, nodes: end.voters, flexible_quorum };
    StopSign::with(next, end.metadata)
}

/// The library is never asked to compact.
fn unused() -> StorageResult<()> {
    Err("the log is not compacted by the library".into())
}

impl Storage<Command> for Log {
    fn write_atomically(&mut self, ops: Vec<StorageOp<Command>>) -> StorageResult<()> {
        for op in ops {
            match op {
                StorageOp::AppendEntry(entry) => self.append_entry(entry)?,
                StorageOp::AppendEntries(entries) => self.append_entries(entries)?,
                StorageOp::AppendOnPrefix(from, entries) => self.append_on_prefix(from, entries)?,
                StorageOp::SetPromise(ballot) => self.set_promise(ballot)?,
                StorageOp::SetDecidedIndex(count) => self.set_decided_idx(count)?,
                StorageOp::SetAcceptedRound(ballot) => self.set_accepted_round(ballot)?,
                StorageOp::SetStopsign(sign) => self.set_stopsign(sign)?,
                StorageOp::SetCompactedIdx(_) | StorageOp::Trim(_) | StorageOp::SetSnapshot(_) => unused()?,
            }
        }
        Ok(())
    }

    fn append_entry(&mut self, entry: Command) -> StorageResult<()> {
        self.append_entries(vec![entry])
    }

    fn append_entries(&mut self, entries: Vec<Command>) -> StorageResult<()> {
        self.write(Record::Append(entries));
        Ok(())
    }

    fn append_on_prefix(&mut self, from: usize, entries: Vec<Command>) -> StorageResult<()> {
        self.write(Record::Replace(from as u64, entries));
        Ok(())
    }

    fn set_promise(&mut self, ballot: Ballot) -> StorageResult<()> {
        self.write(Record::Promised(ballot.into()));
        Ok(())
    }

    fn set_decided_idx(&mut self, count: usize) -> StorageResult<()> {
        self.write(Record::Decided(count as u64));
        Ok(())
    }

    fn get_decided_idx(&self) -> StorageResult<usize> {
        Ok(self.kept.borrow().image.decided as usize)
    }

    fn set_accepted_round(&mut self, ballot: Ballot) -> StorageResult<()> {
        self.write(Record::Accepted(ballot.into()));
        Ok(())
    }

    fn get_accepted_round(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.kept.borrow().image.accepted.map(Ballot::from))
    }

    fn get_entries(&self, from: usize, to: usize) -> StorageResult<Vec<Command>> {
        Ok(self.kept.borrow().image.part(from, to))
    }

    fn get_log_len(&self) -> StorageResult<usize> {
        let kept = self.kept.borrow();
        Ok(kept.image.trimmed as usize + kept.image.log.len())
    }

    fn get_suffix(&self, from: usize) -> StorageResult<Vec<Command>> {
        Ok(self.kept.borrow().image.part(from, usize::MAX))
    }

    fn get_promise(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.kept.borrow().image.promised.map(Ballot::from))
    }

    fn set_stopsign(&mut self, stop: Option<StopSign>) -> StorageResult<()> {
        self.write(Record::Ends(stop.map(end)));
        Ok(())
    }

    fn get_stopsign(&self) -> StorageResult<Option<StopSign>> {
        Ok(self.kept.borrow().image.ends.clone().map(sign))
    }

    fn trim(&mut self, _: usize) -> StorageResult<()> {
        unused()
    }

    fn set_compacted_idx(&mut self, _: usize) -> StorageResult<()> {
        unused()
    }

    fn get_compacted_idx(&self) -> StorageResult<usize> {
        Ok(0)
    }

    fn set_snapshot(&mut self, _: Option<NoSnapshots>) -> StorageResult<()> {
        unused()
    }

    fn get_snapshot(&self) -> StorageResult<Option<NoSnapshots>> {
        Ok(None)
    }
}
