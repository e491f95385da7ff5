//! A folder in memory that can be cut off at any operation, run full, fail, and lose what was not synced. For tests of
//! this package and for fleets in virtual time; it is not used by the daemon.

use crate::plan::on_disk;
use crate::store::Store;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

const SECTOR: usize = 512;

/// What goes wrong with an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It fails, and nothing of it happens.
    Error,
    /// It fails, and a part of it happened; one that has no parts happened whole.
    Partly,
    /// There is no room for it.
    NoRoom,
}

/// How a crash leaves what was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Crash {
    /// The process ends: what was written is there.
    Process,
    /// The machine ends: what was not synced is there in any part and any order.
    Machine,
}

#[derive(Clone, Debug)]
enum Change {
    Write(usize, Vec<u8>),
    Length(usize),
}

impl Change {
    fn apply(&self, bytes: &mut Vec<u8>) {
        match self {
            Change::Write(at, data) => {
                if bytes.len() < at + data.len() {
                    bytes.resize(at + data.len(), 0);
                }
                bytes[*at..at + data.len()].copy_from_slice(data);
            }
            Change::Length(length) => bytes.resize(*length, 0),
        }
    }
}

#[derive(Clone, Debug)]
enum Naming {
    Set(String, usize),
    Rename(String, String),
    Remove(String),
}

impl Naming {
    fn apply(&self, names: &mut BTreeMap<String, usize>) {
        match self {
            Naming::Set(name, file) => drop(names.insert(name.clone(), *file)),
            Naming::Rename(from, to) => {
                if let Some(file) = names.remove(from) {
                    names.insert(to.clone(), file);
                }
            }
            Naming::Remove(name) => drop(names.remove(name)),
        }
    }
}

#[derive(Clone, Debug, Default)]
struct Content {
    now: Vec<u8>,
    synced: Vec<u8>,
    since: Vec<Change>,
}

#[derive(Clone, Debug)]
struct Inner {
    /// Shared with the folders that crashes left, until one of them writes.
    files: Vec<Rc<Content>>,
    names: BTreeMap<String, usize>,
    names_synced: BTreeMap<String, usize>,
    names_since: Vec<Naming>,
    capacity: u64,
    most_used: u64,
    operations: u64,
    faults: BTreeMap<u64, Fault>,
    is_refusing: bool,
    crash: Crash,
    captures: usize,
    captured: Vec<Disk>,
    rng: fastrand::Rng,
}

/// A folder in memory. Clones are the same folder.
#[derive(Clone, Debug)]
pub struct Disk(Rc<RefCell<Inner>>);

impl Disk {
    /// An empty folder with room for so much, all files counted in whole sectors.
    pub fn new(capacity: u64, crash: Crash, seed: u64) -> Self {
        Disk(Rc::new(RefCell::new(Inner {
            files: Vec::new(),
            names: BTreeMap::new(),
            names_synced: BTreeMap::new(),
            names_since: Vec::new(),
            capacity,
            most_used: 0,
            operations: 0,
            faults: BTreeMap::new(),
            is_refusing: false,
            crash,
            captures: 0,
            captured: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
        })))
    }

    /// Operations that changed something, or tried to.
    pub fn operations(&self) -> u64 {
        self.0.borrow().operations
    }

    /// The most that all files ever counted as.
    pub fn most_used(&self) -> u64 {
        self.0.borrow().most_used
    }

    /// What goes wrong with the operation of that number, from 1 on.
    pub fn fail(&self, operation: u64, fault: Fault) {
        self.0.borrow_mut().faults.insert(operation, fault);
    }

    /// Nothing goes wrong any more.
    pub fn mend(&self) {
        self.0.borrow_mut().faults.clear();
    }

    /// From now on nothing can be changed, or everything again.
    pub fn refuse(&self, is_refusing: bool) {
        self.0.borrow_mut().is_refusing = is_refusing;
    }

    /// Gives the folder other room.
    pub fn resize(&self, capacity: u64) {
        self.0.borrow_mut().capacity = capacity;
    }

    /// From now on, keeps so many folders as crashes in each operation would leave them.
    pub fn capture(&self, each: usize) {
        self.0.borrow_mut().captures = each;
    }

    /// The folders that were kept since the last time.
    pub fn captured(&self) -> Vec<Disk> {
        std::mem::take(&mut self.0.borrow_mut().captured)
    }

    /// The folder as a crash now would leave it.
    pub fn crashed(&self) -> Disk {
        let mut inner = self.0.borrow_mut();
        inner.crashed(None)
    }

    /// A file's bytes, if there is one of that name.
    pub fn bytes(&self, name: &str) -> Option<Vec<u8>> {
        let inner = self.0.borrow();
        inner.names.get(name).map(|file| inner.files[*file].now.clone())
    }

    /// Puts a file there, synced.
    pub fn put(&self, name: &str, bytes: Vec<u8>) {
        let mut inner = self.0.borrow_mut();
        inner.files.push(Rc::new(Content { now: bytes.clone(), synced: bytes, since: Vec::new() }));
        let file = inner.files.len() - 1;
        inner.names.insert(name.to_owned(), file);
        inner.names_synced.insert(name.to_owned(), file);
    }

    /// Names of all files.
    pub fn names(&self) -> Vec<String> {
        self.0.borrow().names.keys().cloned().collect()
    }

    fn change(&self, file: usize, change: Change) -> io::Result<()> {
        let mut inner = self.0.borrow_mut();
        let fault = inner.begin(Some((file, &change)), None);
        let room = inner.room_for(file, &change);
        match fault {
            Some(Fault::Error) => return Err(io::Error::other("a simulated error")),
            Some(Fault::NoRoom) => return Err(full()),
            Some(Fault::Partly) => {
                let part = inner.part(&change);
                inner.make(file, part);
                return Err(io::Error::other("a simulated error in the midst"));
            }
            None => {}
        }
        if !room {
            // As much as fits.
            if let Change::Write(at, data) = &change {
                let fits = (0..=data.len())
                    .rev()
                    .step_by(64)
                    .find(|part| inner.room_for(file, &Change::Write(*at, data[..*part].to_vec())));
                let part = Change::Write(*at, data[..fits.unwrap_or(0)].to_vec());
                if fits.is_some_and(|fits| fits > 0) {
                    inner.make(file, part);
                }
            }
            return Err(full());
        }
        inner.make(file, change);
        Ok(())
    }

    fn name(&self, naming: Naming) -> io::Result<()> {
        let mut inner = self.0.borrow_mut();
        let fault = inner.begin(None, Some(&naming));
        match fault {
            Some(Fault::Error) => return Err(io::Error::other("a simulated error")),
            Some(Fault::NoRoom) => return Err(full()),
            _ => {}
        }
        inner.give(naming);
        match fault {
            Some(_) => Err(io::Error::other("a simulated error after the fact")),
            None => Ok(()),
        }
    }
}

fn full() -> io::Error {
    io::Error::new(io::ErrorKind::StorageFull, "a simulated full disk")
}

impl Inner {
    /// Counts an operation, keeps the folders that crashes in it would leave, and tells what goes wrong with it.
    fn begin(&mut self, change: Option<(usize, &Change)>, naming: Option<&Naming>) -> Option<Fault> {
        self.operations += 1;
        for _ in 0..self.captures {
            let disk = self.crashed(change.map(|(file, change)| (file, change.clone())));
            // Done, but not synced yet: the next crash may still undo it.
            if let Some(naming) = naming.filter(|_| self.rng.bool()) {
                disk.0.borrow_mut().give(naming.clone());
            }
            self.captured.push(disk);
        }
        if self.is_refusing {
            return Some(Fault::NoRoom);
        }
        self.faults.get(&self.operations).copied()
    }

    /// The folder as a crash leaves it in the midst of a change.
    fn crashed(&mut self, under_way: Option<(usize, Change)>) -> Disk {
        let mut after = self.clone();
        after.captured.clear();
        after.captures = 0;
        after.faults.clear();
        // A folder that nothing can be written to stays so over a restart.
        after.rng = self.rng.fork();
        if let Some((file, change)) = under_way {
            let part = after.part(&change);
            after.make(file, part);
        }
        if after.crash == Crash::Machine {
            after.lose();
        }
        for file in &mut after.files {
            if after.crash == Crash::Machine {
                let file = Rc::make_mut(file);
                file.synced = file.now.clone();
                file.since.clear();
            }
        }
        after.names_synced = after.names.clone();
        after.names_since.clear();
        Disk(Rc::new(RefCell::new(after)))
    }

    /// A part of a change, from nothing to all of it.
    fn part(&mut self, change: &Change) -> Change {
        match change {
            Change::Write(at, data) => {
                let part = match self.rng.u8(..8) {
                    0 => 0,
                    1 => data.len(),
                    _ => self.rng.usize(..=data.len()),
                };
                Change::Write(*at, data[..part].to_vec())
            }
            Change::Length(length) if self.rng.bool() => Change::Length(*length),
            Change::Length(_) => Change::Write(0, Vec::new()),
        }
    }

    /// Loses some of what was not synced, sector by sector and name by name.
    fn lose(&mut self) {
        let mut rng = self.rng.fork();
        // Often all or nothing, which is what machines do most of the time.
        let odds = [0.0, 0.2, 0.5, 0.8, 1.0][rng.usize(..5)];
        for file in &mut self.files {
            if file.since.is_empty() {
                continue;
            }
            let file = Rc::make_mut(file);
            let mut bytes = file.synced.clone();
            for change in &file.since {
                match change {
                    Change::Length(_) => {
                        if rng.f64() < odds {
                            change.apply(&mut bytes);
                        }
                    }
                    Change::Write(at, data) => {
                        let mut from = 0;
                        while from < data.len() {
                            let to = ((at + from) / SECTOR + 1) * SECTOR - at;
                            let to = to.min(data.len());
                            if rng.f64() < odds {
                                Change::Write(at + from, data[from..to].to_vec()).apply(&mut bytes);
                            }
                            from = to;
                        }
                    }
                }
            }
            file.now = bytes;
        }
        self.names = self.names_synced.clone();
        // File systems keep the order of what is done to names.
        let kept = rng.usize(..=self.names_since.len());
        for naming in &self.names_since[..kept] {
            naming.apply(&mut self.names);
        }
    }

    fn used(&self) -> u64 {
        self.names.values().map(|file| on_disk(self.files[*file].now.len() as u64)).sum()
    }

    fn room_for(&self, file: usize, change: &Change) -> bool {
        let now = self.files[file].now.len();
        let then = match change {
            Change::Write(at, data) => now.max(at + data.len()),
            Change::Length(length) => *length,
        };
        then <= now || self.used() - on_disk(now as u64) + on_disk(then as u64) <= self.capacity
    }

    fn make(&mut self, file: usize, change: Change) {
        let content = Rc::make_mut(&mut self.files[file]);
        change.apply(&mut content.now);
        if self.crash == Crash::Machine {
            content.since.push(change);
        }
        self.most_used = self.most_used.max(self.used());
    }

    fn give(&mut self, naming: Naming) {
        naming.apply(&mut self.names);
        if self.crash == Crash::Machine {
            self.names_since.push(naming);
        } else {
            self.drop_nameless();
        }
    }

    /// Files that nobody can open any more take no memory; the one made last gets its name in a moment.
    fn drop_nameless(&mut self) {
        let last = self.files.len().saturating_sub(1);
        for (number, file) in self.files.iter_mut().enumerate() {
            let is_named = |names: &BTreeMap<String, usize>| names.values().any(|named| *named == number);
            if number != last
                && !file.now.is_empty()
                && !is_named(&self.names)
                && !is_named(&self.names_synced)
            {
                *file = Rc::default();
            }
        }
    }
}

impl Store for Disk {
    type File = usize;

    fn list(&self) -> io::Result<Vec<(String, u64)>> {
        let inner = self.0.borrow();
        Ok(inner
            .names
            .iter()
            .map(|(name, file)| (name.clone(), inner.files[*file].now.len() as u64))
            .collect())
    }

    fn create(&self, name: &str) -> io::Result<usize> {
        let file = {
            let mut inner = self.0.borrow_mut();
            inner.files.push(Rc::default());
            inner.files.len() - 1
        };
        self.name(Naming::Set(name.to_owned(), file))?;
        Ok(file)
    }

    fn open(&self, name: &str) -> io::Result<usize> {
        let found = self.0.borrow().names.get(name).copied();
        found.ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn set_aside(&self, file: &usize, length: u64) -> io::Result<()> {
        let now = self.0.borrow().files[*file].now.len();
        self.change(*file, Change::Length(now.max(length as usize)))
    }

    fn read_at(&self, file: &usize, buffer: &mut [u8], offset: u64) -> io::Result<usize> {
        let inner = self.0.borrow();
        let bytes = &inner.files[*file].now;
        let from = (offset as usize).min(bytes.len());
        let length = buffer.len().min(bytes.len() - from);
        buffer[..length].copy_from_slice(&bytes[from..from + length]);
        Ok(length)
    }

    fn write_at(&self, file: &usize, bytes: &[u8], offset: u64) -> io::Result<()> {
        self.change(*file, Change::Write(offset as usize, bytes.to_vec()))
    }

    fn set_length(&self, file: &usize, length: u64) -> io::Result<()> {
        self.change(*file, Change::Length(length as usize))
    }

    fn sync(&self, file: &usize) -> io::Result<()> {
        let mut inner = self.0.borrow_mut();
        match inner.begin(None, None) {
            Some(_) => Err(io::Error::other("a simulated error of a sync")),
            None => {
                let content = Rc::make_mut(&mut inner.files[*file]);
                content.synced = content.now.clone();
                content.since.clear();
                Ok(())
            }
        }
    }

    fn sync_names(&self) -> io::Result<()> {
        let mut inner = self.0.borrow_mut();
        match inner.begin(None, None) {
            Some(_) => Err(io::Error::other("a simulated error of a sync")),
            None => {
                inner.names_synced = inner.names.clone();
                inner.names_since.clear();
                inner.drop_nameless();
                Ok(())
            }
        }
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        if !self.0.borrow().names.contains_key(from) {
            return Err(io::ErrorKind::NotFound.into());
        }
        self.name(Naming::Rename(from.to_owned(), to.to_owned()))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        if !self.0.borrow().names.contains_key(name) {
            return Err(io::ErrorKind::NotFound.into());
        }
        self.name(Naming::Remove(name.to_owned()))
    }
}
