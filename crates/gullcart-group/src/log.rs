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
pub struct StoredBallot {
    config: u32,
    number: u32,
    priority: u32,
    member: u64,
}

impl From<Ballot> for StoredBallot {
    fn from(ballot: Ballot) -> Self {
        let Ballot { config_id, n, priority, pid } = ballot;
        StoredBallot { config: config_id, number: n, priority, member: pid }
    }
}

impl From<StoredBallot> for Ballot {
    fn from(stored: StoredBallot) -> Self {
        Ballot::with(stored.config, stored.number, stored.priority, stored.member)
    }
}

/// The end of a configuration, as it is written.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredStopSign {
    config: u32,
    voters: Vec<u64>,
    metadata: Option<Vec<u8>>,
}

/// One write. They are to be kept in their order, all of one turn or none of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// All of the log up to here, in place of what was written before.
    Snapshot(Box<VoterSnapshot>),
    /// Entries behind those that there are.
    Append(Vec<Command>),
    /// Entries from a place on, in the stead of those that there are.
    ReplaceSuffix(u64, Vec<Command>),
    /// No lower ballot is listened to.
    Promised(StoredBallot),
    /// The round in which the log was last written.
    Accepted(StoredBallot),
    /// So many entries are decided.
    Decided(u64),
    /// Entries before this place are no longer kept one by one.
    Compact(u64),
    /// The configuration ends, or does not after all.
    StopSign(Option<StoredStopSign>),
}

/// What is kept.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterSnapshot {
    /// The table of the entries that are no longer kept one by one, and how many those are.
    table: Table,
    compacted_count: u64,
    /// Entries behind them.
    entries: Vec<Command>,
    promised_ballot: Option<StoredBallot>,
    accepted_ballot: Option<StoredBallot>,
    decided_count: u64,
    stop_sign: Option<StoredStopSign>,
}

impl VoterSnapshot {
    /// What records add up to.
    pub fn replay(records: impl IntoIterator<Item = Record>) -> Self {
        let mut snapshot = VoterSnapshot::default();
        records.into_iter().for_each(|record| snapshot.write(record));
        snapshot
    }

    /// Entries that are kept one by one.
    pub fn entry_count(&self) -> usize {
        self.entries.len()
    }

    /// The table of the entries that are no longer kept one by one, and how many those are.
    pub fn compacted_table(&self) -> (&Table, usize) {
        (&self.table, self.compacted_count as usize)
    }

    /// Takes over the log of another voter, which has decided more; false where that may not be.
    ///
    /// All of it, with the round it was accepted in: the decided part alone under that round would say that nothing else was
    /// accepted in it, and under the round of before that nothing came since. Nobody is told of an acceptance, so that it
    /// counts for no majority, also where a higher round was promised already; who asks later is told of it like of any other.
    /// A log of a later round than the other one stays.
    pub fn install(&mut self, other: VoterSnapshot) -> bool {
        if other.decided_count <= self.decided_count || other.compacted_count <= self.compacted_count {
            return false;
        }
        let ballot =
            |stored: Option<StoredBallot>| stored.map(|b| (b.config, b.number, b.priority, b.member));
        if ballot(other.accepted_ballot) < ballot(self.accepted_ballot) {
            return false;
        }
        if ballot(self.promised_ballot) < ballot(other.accepted_ballot) {
            self.promised_ballot = other.accepted_ballot;
        }
        // Logs that were accepted under the same ballot are equal up to the length of the shorter one.
        let is_same_ballot = other.accepted_ballot == self.accepted_ballot;
        let own_len = self.compacted_count + self.entries.len() as u64;
        let other_len = other.compacted_count + other.entries.len() as u64;
        if is_same_ballot && own_len > other_len {
            self.entries
                .drain(..((other.compacted_count - self.compacted_count) as usize).min(self.entries.len()));
        } else {
            self.entries = other.entries;
        }
        self.table = other.table;
        self.compacted_count = other.compacted_count;
        self.accepted_ballot = other.accepted_ballot;
        self.decided_count = other.decided_count;
        self.stop_sign = other.stop_sign;
        true
    }

    fn write(&mut self, record: Record) {
        match record {
            Record::Snapshot(snapshot) => *self = *snapshot,
            Record::Append(entries) => self.entries.extend(entries),
            Record::ReplaceSuffix(from, entries) => {
                self.entries.truncate(from.saturating_sub(self.compacted_count) as usize);
                self.entries.extend(entries);
            }
            Record::Promised(ballot) => self.promised_ballot = Some(ballot),
            Record::Accepted(ballot) => self.accepted_ballot = Some(ballot),
            Record::Decided(count) => self.decided_count = count,
            Record::Compact(count) => {
                let dropped = (count.saturating_sub(self.compacted_count) as usize).min(self.entries.len());
                self.entries.drain(..dropped).for_each(|command| drop(self.table.apply(&command)));
                self.compacted_count += dropped as u64;
            }
            Record::StopSign(stop_sign) => self.stop_sign = stop_sign,
        }
    }

    fn range(&self, from: usize, to: usize) -> Vec<Command> {
        let index = |at: usize| (at as u64).saturating_sub(self.compacted_count) as usize;
        let to = index(to).min(self.entries.len());
        self.entries.get(index(from).min(to)..to).map(<[Command]>::to_vec).unwrap_or_default()
    }
}

/// The log of one voter: the library has one handle, its owner another.
#[derive(Clone, Debug, Default)]
pub struct VoterLog {
    state: Rc<RefCell<LogState>>,
}

#[derive(Debug, Default)]
struct LogState {
    snapshot: VoterSnapshot,
    /// Written since the owner last asked.
    records: Vec<Record>,
}

impl VoterLog {
    /// One that goes on from what was kept.
    pub fn new(snapshot: VoterSnapshot) -> Self {
        VoterLog { state: Rc::new(RefCell::new(LogState { snapshot, records: Vec::new() })) }
    }

    /// What was written since the last time.
    pub fn take_records(&self) -> Vec<Record> {
        std::mem::take(&mut self.state.borrow_mut().records)
    }

    /// Puts records before those that were written since.
    pub fn prepend_records(&self, mut records: Vec<Record>, last: Record) {
        let mut state = self.state.borrow_mut();
        records.push(last);
        records.append(&mut state.records);
        state.records = records;
    }

    /// All of it, as one record.
    pub fn snapshot(&self) -> VoterSnapshot {
        self.state.borrow().snapshot.clone()
    }

    /// Entries that are kept one by one.
    pub fn entry_count(&self) -> usize {
        self.state.borrow().snapshot.entry_count()
    }

    /// The ballot under which the log was last written, and the length of the log including compacted entries.
    pub fn accepted_ballot_and_len(&self) -> (Option<Ballot>, usize) {
        let snapshot = &self.state.borrow().snapshot;
        (
            snapshot.accepted_ballot.map(Ballot::from),
            snapshot.compacted_count as usize + snapshot.entries.len(),
        )
    }

    /// Entries that are no longer kept one by one.
    pub fn compacted_count(&self) -> usize {
        self.state.borrow().snapshot.compacted_count as usize
    }

    /// Makes all but some of the decided entries into a table.
    pub fn compact(&self, keep: usize) {
        let decided = self.state.borrow().snapshot.decided_count;
        let count = decided.saturating_sub(keep as u64);
        if count > self.compacted_count() as u64 {
            self.write(Record::Compact(count));
        }
    }

    fn write(&self, record: Record) {
        let mut state = self.state.borrow_mut();
        state.snapshot.write(record.clone());
        state.records.push(record);
    }
}

fn to_stored(stop_sign: StopSign) -> StoredStopSign {
    let ClusterConfig { configuration_id, nodes, .. } = stop_sign.next_config;
    StoredStopSign { config: configuration_id, voters: nodes, metadata: stop_sign.metadata }
}

fn from_stored(stored: StoredStopSign) -> StopSign {
    let flexible_quorum: Option<FlexibleQuorum> = None;
    let next = ClusterConfig { configuration_id: stored.config, nodes: stored.voters, flexible_quorum };
    StopSign::with(next, stored.metadata)
}

/// The library is never asked to compact.
fn unsupported() -> StorageResult<()> {
    Err("the log is not compacted by the library".into())
}

impl Storage<Command> for VoterLog {
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
                StorageOp::SetCompactedIdx(_) | StorageOp::Trim(_) | StorageOp::SetSnapshot(_) => {
                    unsupported()?
                }
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
        self.write(Record::ReplaceSuffix(from as u64, entries));
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
        Ok(self.state.borrow().snapshot.decided_count as usize)
    }

    fn set_accepted_round(&mut self, ballot: Ballot) -> StorageResult<()> {
        self.write(Record::Accepted(ballot.into()));
        Ok(())
    }

    fn get_accepted_round(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.state.borrow().snapshot.accepted_ballot.map(Ballot::from))
    }

    fn get_entries(&self, from: usize, to: usize) -> StorageResult<Vec<Command>> {
        Ok(self.state.borrow().snapshot.range(from, to))
    }

    fn get_log_len(&self) -> StorageResult<usize> {
        let state = self.state.borrow();
        Ok(state.snapshot.compacted_count as usize + state.snapshot.entries.len())
    }

    fn get_suffix(&self, from: usize) -> StorageResult<Vec<Command>> {
        Ok(self.state.borrow().snapshot.range(from, usize::MAX))
    }

    fn get_promise(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.state.borrow().snapshot.promised_ballot.map(Ballot::from))
    }

    fn set_stopsign(&mut self, stop: Option<StopSign>) -> StorageResult<()> {
        self.write(Record::StopSign(stop.map(to_stored)));
        Ok(())
    }

    fn get_stopsign(&self) -> StorageResult<Option<StopSign>> {
        Ok(self.state.borrow().snapshot.stop_sign.clone().map(from_stored))
    }

    fn trim(&mut self, _: usize) -> StorageResult<()> {
        unsupported()
    }

    fn set_compacted_idx(&mut self, _: usize) -> StorageResult<()> {
        unsupported()
    }

    fn get_compacted_idx(&self) -> StorageResult<usize> {
        Ok(0)
    }

    fn set_snapshot(&mut self, _: Option<NoSnapshots>) -> StorageResult<()> {
        unsupported()
    }

    fn get_snapshot(&self) -> StorageResult<Option<NoSnapshots>> {
        Ok(None)
    }
}
