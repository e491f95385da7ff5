//! A simulated folder in memory. It can crash at any operation, run full, fail, and lose data that was not synced. Tests
//! of this package and simulations in virtual time use it; the daemon does not.

use crate::space_plan::size_on_disk;
use crate::store::Store;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

/// Unsynced writes are lost or kept in units of this size.
const SECTOR_BYTES: usize = 512;

/// How an operation fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It fails without any effect.
    Error,
    /// It fails after a part of it was done; an operation that has no parts is done entirely.
    Partial,
    /// It fails because the disk is full.
    NoSpace,
}

/// What a crash leaves of the data that was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Crash {
    /// A crash of the process: everything that was written is kept.
    Process,
    /// A crash of the machine: of data that was not synced, any part may be kept, in any order.
    Machine,
}

/// A change of a file's contents.
#[derive(Clone, Debug)]
enum FileChange {
    /// Writes bytes at an offset.
    Write(usize, Vec<u8>),
    /// Truncates or extends the file.
    SetLength(usize),
}

impl FileChange {
    fn apply(&self, bytes: &mut Vec<u8>) {
        match self {
            FileChange::Write(at, data) => {
                if bytes.len() < at + data.len() {
                    bytes.resize(at + data.len(), 0);
                }
                bytes[*at..at + data.len()].copy_from_slice(data);
            }
            FileChange::SetLength(length) => bytes.resize(*length, 0),
        }
    }
}

/// A change of the names in the folder.
#[derive(Clone, Debug)]
enum DirectoryChange {
    /// Gives a name to the file with this index.
    Set(String, usize),
    /// Renames a file from the first name to the second one.
    Rename(String, String),
    /// Removes a name.
    Remove(String),
}

impl DirectoryChange {
    fn apply(&self, names: &mut BTreeMap<String, usize>) {
        match self {
            DirectoryChange::Set(name, file) => drop(names.insert(name.clone(), *file)),
            DirectoryChange::Rename(from, to) => {
                if let Some(file) = names.remove(from) {
                    names.insert(to.clone(), file);
                }
            }
            DirectoryChange::Remove(name) => drop(names.remove(name)),
        }
    }
}

/// Contents of a file, with what a crash of the machine may undo.
#[derive(Clone, Debug, Default)]
struct FileContent {
    current: Vec<u8>,
    /// Contents at the last sync.
    synced: Vec<u8>,
    /// Changes since the last sync, in order. Recorded only if machine crashes are simulated.
    unsynced_changes: Vec<FileChange>,
}

/// State that all clones of a [`Disk`] share.
#[derive(Clone, Debug)]
struct DiskState {
    /// Contents are shared with captured copies of the folder until one of them changes a file.
    files: Vec<Rc<FileContent>>,
    /// Indexes of files by name.
    names: BTreeMap<String, usize>,
    /// Names at the last sync of the directory, and the changes since.
    synced_names: BTreeMap<String, usize>,
    unsynced_name_changes: Vec<DirectoryChange>,
    capacity_bytes: u64,
    max_used_bytes: u64,
    operations: u64,
    /// Faults by the number of the operation that fails.
    faults: BTreeMap<u64, Fault>,
    is_refusing_changes: bool,
    crash: Crash,
    /// Number of crashes that are simulated in each operation.
    captures_per_operation: usize,
    captured_disks: Vec<Disk>,
    rng: fastrand::Rng,
}

/// A simulated disk with a single folder, in memory. Clones refer to the same disk.
#[derive(Clone, Debug)]
pub struct Disk(Rc<RefCell<DiskState>>);

impl Disk {
    /// An empty folder on a disk of `capacity_bytes`. File sizes count in whole sectors.
    pub fn new(capacity_bytes: u64, crash: Crash, seed: u64) -> Self {
        Disk(Rc::new(RefCell::new(DiskState {
            files: Vec::new(),
            names: BTreeMap::new(),
            synced_names: BTreeMap::new(),
            unsynced_name_changes: Vec::new(),
            capacity_bytes,
            max_used_bytes: 0,
            operations: 0,
            faults: BTreeMap::new(),
            is_refusing_changes: false,
            crash,
            captures_per_operation: 0,
            captured_disks: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
        })))
    }

    /// Number of operations so far that changed something or tried to.
    pub fn operations(&self) -> u64 {
        self.0.borrow().operations
    }

    /// Largest total size on disk that all files ever had.
    pub fn max_used_bytes(&self) -> u64 {
        self.0.borrow().max_used_bytes
    }

    /// Injects a fault into the operation with this number; the first operation has number 1.
    pub fn inject_fault(&self, operation: u64, fault: Fault) {
        self.0.borrow_mut().faults.insert(operation, fault);
    }

    /// Removes all injected faults.
    pub fn clear_faults(&self) {
        self.0.borrow_mut().faults.clear();
    }

    /// Makes all changes fail as on a full disk, or stops that.
    pub fn refuse_changes(&self, is_refusing: bool) {
        self.0.borrow_mut().is_refusing_changes = is_refusing;
    }

    /// Changes the size of the disk.
    pub fn set_capacity(&self, capacity_bytes: u64) {
        self.0.borrow_mut().capacity_bytes = capacity_bytes;
    }

    /// From now on, simulates this many crashes in each operation, and keeps the folders that they leave.
    pub fn capture_crashes(&self, per_operation: usize) {
        self.0.borrow_mut().captures_per_operation = per_operation;
    }

    /// Takes the folders that simulated crashes have left since the last call.
    pub fn take_captured(&self) -> Vec<Disk> {
        std::mem::take(&mut self.0.borrow_mut().captured_disks)
    }

    /// The folder as a crash between two operations would leave it now.
    pub fn after_crash(&self) -> Disk {
        let mut state = self.0.borrow_mut();
        state.after_crash(None)
    }

    /// Contents of the file with this name, if there is one.
    pub fn file_bytes(&self, name: &str) -> Option<Vec<u8>> {
        let state = self.0.borrow();
        state.names.get(name).map(|file| state.files[*file].current.clone())
    }

    /// Adds or replaces a file, as if it were synced already.
    pub fn put_file(&self, name: &str, bytes: Vec<u8>) {
        let mut state = self.0.borrow_mut();
        state.files.push(Rc::new(FileContent {
            current: bytes.clone(),
            synced: bytes,
            unsynced_changes: Vec::new(),
        }));
        let file = state.files.len() - 1;
        state.names.insert(name.to_owned(), file);
        state.synced_names.insert(name.to_owned(), file);
    }

    /// Names of all files.
    pub fn file_names(&self) -> Vec<String> {
        self.0.borrow().names.keys().cloned().collect()
    }

    fn change_file(&self, file: usize, change: FileChange) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        let fault = state.begin(Some((file, &change)), None);
        let has_space = state.has_space_for(file, &change);
        match fault {
            Some(Fault::Error) => return Err(io::Error::other("a simulated error")),
            Some(Fault::NoSpace) => return Err(disk_full()),
            Some(Fault::Partial) => {
                let part = state.partial(&change);
                state.apply_file_change(file, part);
                return Err(io::Error::other("a simulated error after a part of the write"));
            }
            None => {}
        }
        if !has_space {
            // Writes as much as fits, in steps of 64 bytes.
            if let FileChange::Write(at, data) = &change {
                let fits = (0..=data.len())
                    .rev()
                    .step_by(64)
                    .find(|part| state.has_space_for(file, &FileChange::Write(*at, data[..*part].to_vec())));
                let part = FileChange::Write(*at, data[..fits.unwrap_or(0)].to_vec());
                if fits.is_some_and(|fits| fits > 0) {
                    state.apply_file_change(file, part);
                }
            }
            return Err(disk_full());
        }
        state.apply_file_change(file, change);
        Ok(())
    }

    fn change_directory(&self, change: DirectoryChange) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        let fault = state.begin(None, Some(&change));
        match fault {
            Some(Fault::Error) => return Err(io::Error::other("a simulated error")),
            Some(Fault::NoSpace) => return Err(disk_full()),
            _ => {}
        }
        state.apply_directory_change(change);
        match fault {
            Some(_) => Err(io::Error::other("a simulated error after the change")),
            None => Ok(()),
        }
    }
}

fn disk_full() -> io::Error {
    io::Error::new(io::ErrorKind::StorageFull, "a simulated full disk")
}

impl DiskState {
    /// Counts an operation, captures the folders that crashes in it would leave, and returns the fault injected into it.
    fn begin(
        &mut self,
        file_change: Option<(usize, &FileChange)>,
        directory_change: Option<&DirectoryChange>,
    ) -> Option<Fault> {
        self.operations += 1;
        for _ in 0..self.captures_per_operation {
            let disk = self.after_crash(file_change.map(|(file, change)| (file, change.clone())));
            // Done but not synced: the next crash may still undo it.
            if let Some(change) = directory_change.filter(|_| self.rng.bool()) {
                disk.0.borrow_mut().apply_directory_change(change.clone());
            }
            self.captured_disks.push(disk);
        }
        if self.is_refusing_changes {
            return Some(Fault::NoSpace);
        }
        self.faults.get(&self.operations).copied()
    }

    /// The folder as a crash leaves it, in the middle of a change if one is given.
    fn after_crash(&mut self, interrupted: Option<(usize, FileChange)>) -> Disk {
        let mut after = self.clone();
        after.captured_disks.clear();
        after.captures_per_operation = 0;
        after.faults.clear();
        // `is_refusing_changes` is kept: a folder that cannot be written stays so over a restart.
        after.rng = self.rng.fork();
        if let Some((file, change)) = interrupted {
            let part = after.partial(&change);
            after.apply_file_change(file, part);
        }
        if after.crash == Crash::Machine {
            after.lose_unsynced();
        }
        for file in &mut after.files {
            if after.crash == Crash::Machine {
                let file = Rc::make_mut(file);
                file.synced = file.current.clone();
                file.unsynced_changes.clear();
            }
        }
        after.synced_names = after.names.clone();
        after.unsynced_name_changes.clear();
        Disk(Rc::new(RefCell::new(after)))
    }

    /// A random part of a change, from nothing to all of it.
    fn partial(&mut self, change: &FileChange) -> FileChange {
        match change {
            FileChange::Write(at, data) => {
                let part = match self.rng.u8(..8) {
                    0 => 0,
                    1 => data.len(),
                    _ => self.rng.usize(..=data.len()),
                };
                FileChange::Write(*at, data[..part].to_vec())
            }
            FileChange::SetLength(length) if self.rng.bool() => FileChange::SetLength(*length),
            FileChange::SetLength(_) => FileChange::Write(0, Vec::new()),
        }
    }

    /// Loses a random part of the data that was not synced, sector by sector, and of the last name changes.
    fn lose_unsynced(&mut self) {
        let mut rng = self.rng.fork();
        // All or nothing is likely, as it is the most common case on real machines.
        let keep_probability = [0.0, 0.2, 0.5, 0.8, 1.0][rng.usize(..5)];
        for file in &mut self.files {
            if file.unsynced_changes.is_empty() {
                continue;
            }
            let file = Rc::make_mut(file);
            let mut bytes = file.synced.clone();
            for change in &file.unsynced_changes {
                match change {
                    FileChange::SetLength(_) => {
                        if rng.f64() < keep_probability {
                            change.apply(&mut bytes);
                        }
                    }
                    FileChange::Write(at, data) => {
                        let mut from = 0;
                        while from < data.len() {
                            let to = ((at + from) / SECTOR_BYTES + 1) * SECTOR_BYTES - at;
                            let to = to.min(data.len());
                            if rng.f64() < keep_probability {
                                FileChange::Write(at + from, data[from..to].to_vec()).apply(&mut bytes);
                            }
                            from = to;
                        }
                    }
                }
            }
            file.current = bytes;
        }
        self.names = self.synced_names.clone();
        // File systems keep the order of name changes.
        let kept_changes = rng.usize(..=self.unsynced_name_changes.len());
        for change in &self.unsynced_name_changes[..kept_changes] {
            change.apply(&mut self.names);
        }
    }

    fn used_bytes(&self) -> u64 {
        self.names.values().map(|file| size_on_disk(self.files[*file].current.len() as u64)).sum()
    }

    fn has_space_for(&self, file: usize, change: &FileChange) -> bool {
        let length = self.files[file].current.len();
        let new_length = match change {
            FileChange::Write(at, data) => length.max(at + data.len()),
            FileChange::SetLength(length) => *length,
        };
        new_length <= length
            || self.used_bytes() - size_on_disk(length as u64) + size_on_disk(new_length as u64)
                <= self.capacity_bytes
    }

    fn apply_file_change(&mut self, file: usize, change: FileChange) {
        let content = Rc::make_mut(&mut self.files[file]);
        change.apply(&mut content.current);
        if self.crash == Crash::Machine {
            content.unsynced_changes.push(change);
        }
        self.max_used_bytes = self.max_used_bytes.max(self.used_bytes());
    }

    fn apply_directory_change(&mut self, change: DirectoryChange) {
        change.apply(&mut self.names);
        if self.crash == Crash::Machine {
            self.unsynced_name_changes.push(change);
        } else {
            self.drop_unnamed_files();
        }
    }

    /// Releases the contents of files that have no name any more. The file created last is kept, as it is about to get a
    /// name.
    fn drop_unnamed_files(&mut self) {
        let last = self.files.len().saturating_sub(1);
        for (number, file) in self.files.iter_mut().enumerate() {
            let is_named = |names: &BTreeMap<String, usize>| names.values().any(|named| *named == number);
            if number != last
                && !file.current.is_empty()
                && !is_named(&self.names)
                && !is_named(&self.synced_names)
            {
                *file = Rc::default();
            }
        }
    }
}

impl Store for Disk {
    type File = usize;

    fn list(&self) -> io::Result<Vec<(String, u64)>> {
        let state = self.0.borrow();
        Ok(state
            .names
            .iter()
            .map(|(name, file)| (name.clone(), state.files[*file].current.len() as u64))
            .collect())
    }

    fn create(&self, name: &str) -> io::Result<usize> {
        let file = {
            let mut state = self.0.borrow_mut();
            state.files.push(Rc::default());
            state.files.len() - 1
        };
        self.change_directory(DirectoryChange::Set(name.to_owned(), file))?;
        Ok(file)
    }

    fn open(&self, name: &str) -> io::Result<usize> {
        let found = self.0.borrow().names.get(name).copied();
        found.ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn preallocate(&self, file: &usize, length: u64) -> io::Result<()> {
        let current_length = self.0.borrow().files[*file].current.len();
        self.change_file(*file, FileChange::SetLength(current_length.max(length as usize)))
    }

    fn read_at(&self, file: &usize, buffer: &mut [u8], offset: u64) -> io::Result<usize> {
        let state = self.0.borrow();
        let bytes = &state.files[*file].current;
        let from = (offset as usize).min(bytes.len());
        let length = buffer.len().min(bytes.len() - from);
        buffer[..length].copy_from_slice(&bytes[from..from + length]);
        Ok(length)
    }

    fn write_at(&self, file: &usize, bytes: &[u8], offset: u64) -> io::Result<()> {
        self.change_file(*file, FileChange::Write(offset as usize, bytes.to_vec()))
    }

    fn set_length(&self, file: &usize, length: u64) -> io::Result<()> {
        self.change_file(*file, FileChange::SetLength(length as usize))
    }

    fn sync(&self, file: &usize) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        match state.begin(None, None) {
            Some(_) => Err(io::Error::other("a simulated sync error")),
            None => {
                let content = Rc::make_mut(&mut state.files[*file]);
                content.synced = content.current.clone();
                content.unsynced_changes.clear();
                Ok(())
            }
        }
    }

    fn sync_directory(&self) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        match state.begin(None, None) {
            Some(_) => Err(io::Error::other("a simulated sync error")),
            None => {
                state.synced_names = state.names.clone();
                state.unsynced_name_changes.clear();
                state.drop_unnamed_files();
                Ok(())
            }
        }
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        if !self.0.borrow().names.contains_key(from) {
            return Err(io::ErrorKind::NotFound.into());
        }
        self.change_directory(DirectoryChange::Rename(from.to_owned(), to.to_owned()))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        if !self.0.borrow().names.contains_key(name) {
            return Err(io::ErrorKind::NotFound.into());
        }
        self.change_directory(DirectoryChange::Remove(name.to_owned()))
    }
}
