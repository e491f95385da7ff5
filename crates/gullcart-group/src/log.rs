//! The storage of one voter's replicated log, in memory. The consensus library writes to it through the [`Storage`] trait. Each
//! write also produces a [`Record`], which must be persisted before any message that the library produced after the write is
//! sent. A voter can be restored from its records alone.

use crate::table::{Command, Table};
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::storage::{Entry, Snapshot, StopSign, Storage, StorageOp, StorageResult};
use omnipaxos::{util::FlexibleQuorum, ClusterConfig};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::rc::Rc;

/// The library's own snapshots are not used: when it merges a snapshot into the log of a lagging voter, it also applies entries
/// of that log that were never decided. [`VoterLog::compact`] replaces old entries by a table without involving the library,
/// and a voter that still needs them is sent a [`VoterSnapshot`] (see [`crate::voter`]).
impl Entry for Command {
    type Snapshot = NoLibrarySnapshot;
}

/// A placeholder for the snapshot type that the library requires. It has nothing to do with [`VoterSnapshot`].
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct NoLibrarySnapshot;

impl Snapshot<Command> for NoLibrarySnapshot {
    fn create(_: &[Command]) -> Self {
        NoLibrarySnapshot
    }

    fn merge(&mut self, _: Self) {}

    fn use_snapshots() -> bool {
        false
    }
}

/// A ballot in its stored form.
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

/// The entry that ends a configuration, in its stored form.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredStopSign {
    config: u32,
    voters: Vec<u64>,
    metadata: Option<Vec<u8>>,
}

/// One write to the log. Records must be persisted in order, and those of one poll all or none.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// The complete state, which replaces all earlier records.
    Snapshot(Box<VoterSnapshot>),
    /// Appends entries.
    Append(Vec<Command>),
    /// Replaces all entries from an index on.
    ReplaceSuffix(u64, Vec<Command>),
    /// Ballots lower than this one are rejected from now on.
    Promised(StoredBallot),
    /// The ballot under which the log was last written.
    Accepted(StoredBallot),
    /// The number of decided entries.
    Decided(u64),
    /// Entries before this index are applied to the table and dropped.
    Compact(u64),
    /// Sets or removes the entry that ends the configuration.
    StopSign(Option<StoredStopSign>),
}

/// The complete persistent state of a voter.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterSnapshot {
    /// The table after the entries that were dropped by compaction.
    table: Table,
    /// The number of these entries.
    compacted_count: u64,
    /// The entries after them.
    entries: Vec<Command>,
    promised_ballot: Option<StoredBallot>,
    accepted_ballot: Option<StoredBallot>,
    decided_count: u64,
    stop_sign: Option<StoredStopSign>,
}

impl VoterSnapshot {
    /// Rebuilds the state from records.
    pub fn replay(records: impl IntoIterator<Item = Record>) -> Self {
        let mut snapshot = VoterSnapshot::default();
        records.into_iter().for_each(|record| snapshot.write(record));
        snapshot
    }

    /// The number of entries that are still stored individually.
    pub fn entry_count(&self) -> usize {
        self.entries.len()
    }

    /// The table after the compacted entries, and the number of these.
    pub fn compacted_table(&self) -> (&Table, usize) {
        (&self.table, self.compacted_count as usize)
    }

    /// Takes over the log of another voter that has decided and compacted more. Returns whether it was taken over.
    ///
    /// The whole log is taken, together with the ballot under which the other voter accepted it. It would be wrong to take only
    /// its decided part under that ballot, as this would claim that nothing else was accepted under it. It would also be wrong
    /// to keep the ballot of this voter, as this would claim that nothing was accepted since.
    ///
    /// No acceptance is sent for these entries, so they count for no majority, even if this voter has already promised a higher
    /// ballot. They are reported like any other entries when a new leader asks for the log. If the log of this voter was
    /// accepted under a later ballot, it is kept.
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

/// The log of one voter. Clones share their state: the library owns one, the voter another.
#[derive(Clone, Debug, Default)]
pub struct VoterLog {
    state: Rc<RefCell<LogState>>,
}

#[derive(Debug, Default)]
struct LogState {
    snapshot: VoterSnapshot,
    /// Records written since the last call of [`VoterLog::take_records`].
    records: Vec<Record>,
}

impl VoterLog {
    /// Continues from a stored state.
    pub fn new(snapshot: VoterSnapshot) -> Self {
        VoterLog { state: Rc::new(RefCell::new(LogState { snapshot, records: Vec::new() })) }
    }

    /// Returns the records written since the last call.
    pub fn take_records(&self) -> Vec<Record> {
        std::mem::take(&mut self.state.borrow_mut().records)
    }

    /// Inserts `records` and then `last` before the records that are waiting to be taken.
    pub fn prepend_records(&self, mut records: Vec<Record>, last: Record) {
        let mut state = self.state.borrow_mut();
        records.push(last);
        records.append(&mut state.records);
        state.records = records;
    }

    /// A copy of the complete state.
    pub fn snapshot(&self) -> VoterSnapshot {
        self.state.borrow().snapshot.clone()
    }

    /// The number of entries that are still stored individually.
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

    /// The number of entries that were compacted.
    pub fn compacted_count(&self) -> usize {
        self.state.borrow().snapshot.compacted_count as usize
    }

    /// Applies all decided entries but the last `keep` to the table, and drops them.
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

/// Compaction by the library is never requested.
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

    fn set_snapshot(&mut self, _: Option<NoLibrarySnapshot>) -> StorageResult<()> {
        unsupported()
    }

    fn get_snapshot(&self) -> StorageResult<Option<NoLibrarySnapshot>> {
        Ok(None)
    }
}
