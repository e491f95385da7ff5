//! The same cycle on each kind of store: a message is taken on, an attempt begins and has an outcome, and it is over.
#![allow(dead_code)]

#[path = "before.rs"]
mod before;

use bytes::Bytes;
use gullcart_journal::{Durability, Held, Journal, Options};
use gullcart_message::Taken;
use redb::ReadableTable;
use std::path::Path;

/// Bytes of a message's body.
pub const BODY: usize = 900;

pub trait Keep {
    /// How much of the disk it is given, over what is live: each as much as it can do with.
    const ROOM: f64;
    fn open(folder: &Path, disk: u64) -> Self;
    fn take(&mut self, number: u64) -> u32;
    fn start(&mut self, number: u32);
    fn outcome(&mut self, number: u32);
    fn over(&mut self, number: u32);
    /// Bytes that were asked for, and all that were written.
    fn written(&self) -> Option<(u64, u64)> {
        None
    }
}

fn message(number: u64) -> Taken {
    Taken {
        id: format!("{number:016x}"),
        key: number,
        class: "pay-notice".to_owned(),
        destination: 3,
        idempotency_key: Some(format!("{number:016x}")),
        deadline_ms: 1_790_000_000_000 + number,
        again: false,
        body: Bytes::from(vec![number as u8; BODY]),
    }
}

pub struct New(Journal);

impl New {
    /// Messages held.
    pub fn held(&self) -> usize {
        self.0.image().held.len()
    }
}

impl Keep for New {
    const ROOM: f64 = 1.0 / 0.6;
    fn open(folder: &Path, disk: u64) -> Self {
        New(Journal::open(folder, disk, Options::default()).expect("the journal opens"))
    }
    fn take(&mut self, number: u64) -> u32 {
        self.0.take(message(number)).expect("there is room")
    }
    fn start(&mut self, number: u32) {
        self.0.start(number, (1, 0)).expect("there is room");
    }
    fn outcome(&mut self, number: u32) {
        self.0.outcome(number, true).expect("there is room");
    }
    fn over(&mut self, number: u32) {
        self.0.over(number).expect("there is room");
    }
    fn written(&self) -> Option<(u64, u64)> {
        let figures = self.0.figures();
        Some((figures.appended, figures.appended + figures.rewritten))
    }
}

/// As `New`, and each end of a cycle is synced with all before it.
pub struct Synced(New);

impl Keep for Synced {
    const ROOM: f64 = New::ROOM;
    fn open(folder: &Path, disk: u64) -> Self {
        let options = Options { durability: Durability::Machine, ..Options::default() };
        Synced(New(Journal::open(folder, disk, options).expect("the journal opens")))
    }
    fn take(&mut self, number: u64) -> u32 {
        self.0.take(number)
    }
    fn start(&mut self, number: u32) {
        self.0.start(number);
    }
    fn outcome(&mut self, number: u32) {
        self.0.outcome(number);
    }
    fn over(&mut self, number: u32) {
        self.0.over(number);
        self.0 .0.commit().expect("it can be synced");
    }
    fn written(&self) -> Option<(u64, u64)> {
        self.0.written()
    }
}

pub struct Old(before::Journal);

impl Keep for Old {
    // It promises no more than 0.43 of the disk.
    const ROOM: f64 = 1.0 / 0.38;
    fn open(folder: &Path, disk: u64) -> Self {
        Old(before::Journal::open(folder, disk).expect("the journal opens"))
    }
    fn take(&mut self, number: u64) -> u32 {
        self.0.take(message(number)).expect("there is room")
    }
    fn start(&mut self, number: u32) {
        self.0.start(number, (1, 0)).expect("there is room");
    }
    fn outcome(&mut self, number: u32) {
        self.0.outcome(number, true).expect("there is room");
    }
    fn over(&mut self, number: u32) {
        self.0.over(number).expect("there is room");
    }
}

const TABLE: redb::TableDefinition<'_, u32, &[u8]> = redb::TableDefinition::new("held");

pub struct Redb {
    store: redb::Database,
    last: u32,
}

impl Redb {
    fn put(&mut self, number: u32, change: impl FnOnce(&mut Held)) {
        let mut write = self.store.begin_write().expect("a transaction begins");
        // Not synced, as the journal is not.
        write.set_durability(redb::Durability::None).expect("it may be set");
        {
            let mut table = write.open_table(TABLE).expect("the table opens");
            let held = table.get(number).expect("it can be read").map(|bytes| decode(bytes.value()));
            if let Some(mut held) = held {
                change(&mut held);
                table.insert(number, encode(&held).as_slice()).expect("it can be written");
            }
        }
        write.commit().expect("it commits");
    }
}

fn encode(held: &Held) -> Vec<u8> {
    postcard::to_stdvec(held).expect("it can be encoded")
}

fn decode(bytes: &[u8]) -> Held {
    postcard::from_bytes(bytes).expect("it can be decoded")
}

impl Keep for Redb {
    const ROOM: f64 = 0.0;
    fn open(folder: &Path, _: u64) -> Self {
        let store = redb::Database::create(folder.join("redb")).expect("the store opens");
        Redb { store, last: 0 }
    }
    fn take(&mut self, number: u64) -> u32 {
        self.last += 1;
        let mut write = self.store.begin_write().expect("a transaction begins");
        write.set_durability(redb::Durability::None).expect("it may be set");
        {
            let mut table = write.open_table(TABLE).expect("the table opens");
            let bytes = encode(&Held::new(message(number)));
            table.insert(self.last, bytes.as_slice()).expect("it can be written");
        }
        write.commit().expect("it commits");
        self.last
    }
    fn start(&mut self, number: u32) {
        self.put(number, |held| held.start((1, 0)));
    }
    fn outcome(&mut self, number: u32) {
        self.put(number, |held| held.outcome(true));
    }
    fn over(&mut self, number: u32) {
        let mut write = self.store.begin_write().expect("a transaction begins");
        write.set_durability(redb::Durability::None).expect("it may be set");
        write.open_table(TABLE).expect("the table opens").remove(number).expect("it can be removed");
        write.commit().expect("it commits");
    }
}

pub struct Fjall {
    _database: fjall::Database,
    held: fjall::Keyspace,
    last: u32,
}

impl Fjall {
    fn put(&mut self, number: u32, change: impl FnOnce(&mut Held)) {
        let key = number.to_be_bytes();
        let held = self.held.get(key).expect("it can be read").map(|bytes| decode(&bytes));
        if let Some(mut held) = held {
            change(&mut held);
            self.held.insert(key, encode(&held)).expect("it can be written");
        }
    }
}

impl Keep for Fjall {
    const ROOM: f64 = 0.0;
    fn open(folder: &Path, _: u64) -> Self {
        let database = fjall::Database::builder(folder.join("fjall")).open().expect("the store opens");
        let held =
            database.keyspace("held", fjall::KeyspaceCreateOptions::default).expect("the keyspace opens");
        Fjall { _database: database, held, last: 0 }
    }
    fn take(&mut self, number: u64) -> u32 {
        self.last += 1;
        let bytes = encode(&Held::new(message(number)));
        self.held.insert(self.last.to_be_bytes(), bytes).expect("it can be written");
        self.last
    }
    fn start(&mut self, number: u32) {
        self.put(number, |held| held.start((1, 0)));
    }
    fn outcome(&mut self, number: u32) {
        self.put(number, |held| held.outcome(true));
    }
    fn over(&mut self, number: u32) {
        self.held.remove(number.to_be_bytes()).expect("it can be removed");
    }
}
