//! Storage backends for benchmarks. Each runs the same cycle: a message is accepted, an attempt begins and ends, and the
//! message is completed.
#![allow(dead_code)]

#[path = "legacy_journal.rs"]
mod legacy_journal;

use bytes::Bytes;
use gullcart_journal::{Durability, Journal, Options, PendingMessage};
use gullcart_message::AcceptedMessage;
use redb::ReadableTable;
use std::path::Path;

/// Size of a message's body.
pub const BODY_BYTES: usize = 900;

/// A backend that stores pending messages.
pub trait Backend {
    /// Disk size relative to the live data: the least with which this backend works. Zero for backends without a limit.
    const DISK_PER_LIVE: f64;
    /// Opens the store of a folder.
    fn open(folder: &Path, disk_bytes: u64) -> Self;
    /// Accepts the message with this index, and returns the number that the backend gives it.
    fn accept(&mut self, index: u64) -> u32;
    /// Begins an attempt.
    fn start_attempt(&mut self, number: u32);
    /// Ends the attempt.
    fn finish_attempt(&mut self, number: u32);
    /// Completes a message.
    fn complete(&mut self, number: u32);
    /// Bytes of appended records, and all bytes written including compaction, if the backend counts them.
    fn written_bytes(&self) -> Option<(u64, u64)> {
        None
    }
}

fn message(number: u64) -> AcceptedMessage {
    AcceptedMessage {
        id: format!("{number:016x}"),
        order_key: number,
        class: "pay-notice".to_owned(),
        destination: 3,
        idempotency_key: Some(format!("{number:016x}")),
        deadline_ms: 1_790_000_000_000 + number,
        from_dead_courier: false,
        body: Bytes::from(vec![number as u8; BODY_BYTES]),
    }
}

/// The segmented journal, without syncs.
pub struct SegmentedJournal(Journal);

impl SegmentedJournal {
    /// Number of pending messages.
    pub fn pending_messages(&self) -> usize {
        self.0.state().pending.len()
    }
}

impl Backend for SegmentedJournal {
    // The journal accepts live data up to 0.64 of the disk.
    const DISK_PER_LIVE: f64 = 1.0 / 0.6;
    fn open(folder: &Path, disk_bytes: u64) -> Self {
        SegmentedJournal(Journal::open(folder, disk_bytes, Options::default()).expect("the journal opens"))
    }
    fn accept(&mut self, index: u64) -> u32 {
        self.0.accept(message(index)).expect("there is space")
    }
    fn start_attempt(&mut self, number: u32) {
        self.0.start_attempt(number, (1, 0)).expect("there is space");
    }
    fn finish_attempt(&mut self, number: u32) {
        self.0.finish_attempt(number, true).expect("there is space");
    }
    fn complete(&mut self, number: u32) {
        self.0.complete(number).expect("there is space");
    }
    fn written_bytes(&self) -> Option<(u64, u64)> {
        let stats = self.0.stats();
        Some((stats.appended_bytes, stats.appended_bytes + stats.rewritten_bytes))
    }
}

/// The segmented journal with a sync at the end of each cycle.
pub struct SyncedJournal(SegmentedJournal);

impl Backend for SyncedJournal {
    const DISK_PER_LIVE: f64 = SegmentedJournal::DISK_PER_LIVE;
    fn open(folder: &Path, disk_bytes: u64) -> Self {
        let options = Options { durability: Durability::Machine, ..Options::default() };
        SyncedJournal(SegmentedJournal(
            Journal::open(folder, disk_bytes, options).expect("the journal opens"),
        ))
    }
    fn accept(&mut self, index: u64) -> u32 {
        self.0.accept(index)
    }
    fn start_attempt(&mut self, number: u32) {
        self.0.start_attempt(number);
    }
    fn finish_attempt(&mut self, number: u32) {
        self.0.finish_attempt(number);
    }
    fn complete(&mut self, number: u32) {
        self.0.complete(number);
        self.0 .0.commit().expect("the journal can be synced");
    }
    fn written_bytes(&self) -> Option<(u64, u64)> {
        self.0.written_bytes()
    }
}

/// The journal of releases before 0.2.
pub struct SingleFileJournal(legacy_journal::Journal);

impl Backend for SingleFileJournal {
    // This journal accepts no more live data than 0.43 of the disk.
    const DISK_PER_LIVE: f64 = 1.0 / 0.38;
    fn open(folder: &Path, disk_bytes: u64) -> Self {
        SingleFileJournal(legacy_journal::Journal::open(folder, disk_bytes).expect("the journal opens"))
    }
    fn accept(&mut self, index: u64) -> u32 {
        self.0.accept(message(index)).expect("there is space")
    }
    fn start_attempt(&mut self, number: u32) {
        self.0.start_attempt(number, (1, 0)).expect("there is space");
    }
    fn finish_attempt(&mut self, number: u32) {
        self.0.finish_attempt(number, true).expect("there is space");
    }
    fn complete(&mut self, number: u32) {
        self.0.complete(number).expect("there is space");
    }
}

const TABLE: redb::TableDefinition<'_, u32, &[u8]> = redb::TableDefinition::new("held");

/// The embedded store redb, without syncs.
pub struct Redb {
    database: redb::Database,
    last_number: u32,
}

impl Redb {
    fn update(&mut self, number: u32, change: impl FnOnce(&mut PendingMessage)) {
        let mut write = self.database.begin_write().expect("a transaction begins");
        // Not synced, like the journal.
        write.set_durability(redb::Durability::None).expect("the durability can be set");
        {
            let mut table = write.open_table(TABLE).expect("the table opens");
            let pending =
                table.get(number).expect("the message can be read").map(|bytes| decode(bytes.value()));
            if let Some(mut pending) = pending {
                change(&mut pending);
                table.insert(number, encode(&pending).as_slice()).expect("the message can be written");
            }
        }
        write.commit().expect("the transaction commits");
    }
}

fn encode(pending: &PendingMessage) -> Vec<u8> {
    postcard::to_stdvec(pending).expect("the message can be encoded")
}

fn decode(bytes: &[u8]) -> PendingMessage {
    postcard::from_bytes(bytes).expect("the message can be decoded")
}

impl Backend for Redb {
    const DISK_PER_LIVE: f64 = 0.0;
    fn open(folder: &Path, _: u64) -> Self {
        let database = redb::Database::create(folder.join("redb")).expect("the store opens");
        Redb { database, last_number: 0 }
    }
    fn accept(&mut self, index: u64) -> u32 {
        self.last_number += 1;
        let mut write = self.database.begin_write().expect("a transaction begins");
        write.set_durability(redb::Durability::None).expect("the durability can be set");
        {
            let mut table = write.open_table(TABLE).expect("the table opens");
            let bytes = encode(&PendingMessage::new(message(index)));
            table.insert(self.last_number, bytes.as_slice()).expect("the message can be written");
        }
        write.commit().expect("the transaction commits");
        self.last_number
    }
    fn start_attempt(&mut self, number: u32) {
        self.update(number, |pending| pending.start_attempt((1, 0)));
    }
    fn finish_attempt(&mut self, number: u32) {
        self.update(number, |pending| pending.finish_attempt(true));
    }
    fn complete(&mut self, number: u32) {
        let mut write = self.database.begin_write().expect("a transaction begins");
        write.set_durability(redb::Durability::None).expect("the durability can be set");
        write.open_table(TABLE).expect("the table opens").remove(number).expect("the message can be removed");
        write.commit().expect("the transaction commits");
    }
}

/// The embedded store fjall, without syncs.
pub struct Fjall {
    _database: fjall::Database,
    pending: fjall::Keyspace,
    last_number: u32,
}

impl Fjall {
    fn update(&mut self, number: u32, change: impl FnOnce(&mut PendingMessage)) {
        let key = number.to_be_bytes();
        let pending = self.pending.get(key).expect("the message can be read").map(|bytes| decode(&bytes));
        if let Some(mut pending) = pending {
            change(&mut pending);
            self.pending.insert(key, encode(&pending)).expect("the message can be written");
        }
    }
}

impl Backend for Fjall {
    const DISK_PER_LIVE: f64 = 0.0;
    fn open(folder: &Path, _: u64) -> Self {
        let database = fjall::Database::builder(folder.join("fjall")).open().expect("the store opens");
        let pending =
            database.keyspace("held", fjall::KeyspaceCreateOptions::default).expect("the keyspace opens");
        Fjall { _database: database, pending, last_number: 0 }
    }
    fn accept(&mut self, index: u64) -> u32 {
        self.last_number += 1;
        let bytes = encode(&PendingMessage::new(message(index)));
        self.pending.insert(self.last_number.to_be_bytes(), bytes).expect("the message can be written");
        self.last_number
    }
    fn start_attempt(&mut self, number: u32) {
        self.update(number, |pending| pending.start_attempt((1, 0)));
    }
    fn finish_attempt(&mut self, number: u32) {
        self.update(number, |pending| pending.finish_attempt(true));
    }
    fn complete(&mut self, number: u32) {
        self.pending.remove(number.to_be_bytes()).expect("the message can be removed");
    }
}
