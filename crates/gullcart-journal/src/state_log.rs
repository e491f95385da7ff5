//! A small log for the state of another subsystem, such as a group member, in a folder of its own. Its entries add up to a
//! state that the owner can write as one entry. File names and magic bytes keep the log's former name, "notes".
//!
//! Appended entries survive a crash of the machine; a crash leaves all of an entry or none of it. There is one file at a
//! time: a header, then entries with length and checksum. The checksum also covers the entry's offset. An
//! incomplete last write is never followed by a valid entry, which tells it from damage. When the file has grown, the
//! whole state is written to a new file, which is synced and then given the next number.

use crate::store::Store;
use std::io;
use thiserror::Error;

const MAGIC: [u8; 8] = *b"GCNOTES1";
const HEADER_BYTES: u64 = 16;
const FRAME_BYTES: usize = 8;
/// Most bytes of one entry.
pub const MAX_ENTRY_BYTES: usize = 4 << 20;
/// Name of a file that is being written and has no number yet.
const NEW_FILE_NAME: &str = "notes.new";

/// Why a state log cannot be opened or written.
#[derive(Debug, Error)]
pub enum StateLogError {
    /// A file operation failed.
    #[error("the state log's files cannot be read or written: {0}")]
    Io(#[from] io::Error),
    /// A durable entry is damaged, and valid ones follow it.
    #[error("{file} is damaged at byte {offset}; entries that were durable are lost")]
    Damaged {
        /// The file's name.
        file: String,
        /// Offset of the damage, in bytes.
        offset: u64,
    },
    /// The file has a format version that this program does not know.
    #[error("{0} has an unknown format version")]
    UnknownVersion(String),
    /// The entry is empty or longer than [`MAX_ENTRY_BYTES`], or the log would exceed its size limit.
    #[error("the entry is empty or too long, or the state log would need {bytes} of {max_bytes} bytes")]
    Full {
        /// Bytes needed, with those that are already used.
        bytes: u64,
        /// The limit.
        max_bytes: u64,
    },
    /// An earlier write failed, so it is unknown which entries are durable until the log is opened again.
    #[error("an earlier write of the state log failed")]
    WriteFailed,
}

/// An open state log.
#[derive(Debug)]
pub struct StateLog<S: Store> {
    store: S,
    file_number: u64,
    file: S::File,
    length: u64,
    max_bytes: u64,
    has_failed: bool,
}

fn file_name(file_number: u64) -> String {
    format!("notes-{file_number:016x}.log")
}

fn parse_file_number(name: &str) -> Option<u64> {
    let digits = name.strip_prefix("notes-")?.strip_suffix(".log")?;
    (digits.len() == 16).then(|| u64::from_str_radix(digits, 16).ok()).flatten()
}

fn checksum(file_number: u64, offset: u64, bytes: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&file_number.to_le_bytes());
    hasher.update(&offset.to_le_bytes());
    hasher.update(bytes);
    hasher.finalize()
}

fn encode_header(file_number: u64) -> Vec<u8> {
    [&MAGIC[..], &file_number.to_le_bytes()].concat()
}

fn encode_entry(file_number: u64, offset: u64, bytes: &[u8]) -> Vec<u8> {
    let length = (bytes.len() as u32).to_le_bytes();
    [&length[..], &checksum(file_number, offset, bytes).to_le_bytes(), bytes].concat()
}

/// The entry at an offset of a file's contents, if there is a valid one.
fn decode_entry(file_number: u64, offset: usize, contents: &[u8]) -> Option<&[u8]> {
    let frame = contents.get(offset..offset + FRAME_BYTES)?;
    let (length, sum) = frame.split_at(4);
    let length = u32::from_le_bytes(length.try_into().ok()?) as usize;
    let bytes = contents.get(offset + FRAME_BYTES..(offset + FRAME_BYTES).checked_add(length)?)?;
    (length > 0 && checksum(file_number, offset as u64, bytes).to_le_bytes() == *sum).then_some(bytes)
}

fn read_file<S: Store>(store: &S, file: &S::File, length: u64) -> io::Result<Vec<u8>> {
    let mut contents = vec![0; length as usize];
    let mut offset = 0;
    while offset < contents.len() {
        match store.read_at(file, &mut contents[offset..], offset as u64)? {
            0 => break,
            count => offset += count,
        }
    }
    contents.truncate(offset);
    Ok(contents)
}

impl<S: Store> StateLog<S> {
    /// Opens the log of a folder that nobody else uses, and returns its entries. `max_bytes` limits the size of all its
    /// files together.
    pub fn open(store: S, max_bytes: u64) -> Result<(Self, Vec<Vec<u8>>), StateLogError> {
        let files = store.list()?;
        if files.iter().any(|(name, _)| name == NEW_FILE_NAME) {
            // Its rewrite was interrupted; it must not be renamed by a later one.
            store.remove(NEW_FILE_NAME)?;
            store.sync_directory()?;
        }
        let newest =
            files.iter().filter_map(|(name, length)| Some((parse_file_number(name)?, *length))).max();
        let Some((newest, length)) = newest else {
            let (file, length) = Self::write_file(&store, 1, &[])?;
            let log = StateLog { store, file_number: 1, file, length, max_bytes, has_failed: false };
            return Ok((log, Vec::new()));
        };
        // The file may have been renamed just before a crash, without the directory being synced.
        store.sync_directory()?;
        // Older files were to be removed after the last rewrite.
        for (old, _) in
            files.iter().filter(|(name, _)| parse_file_number(name).is_some_and(|number| number < newest))
        {
            store.remove(old)?;
        }
        let name = file_name(newest);
        let file = store.open(&name)?;
        let contents = read_file(&store, &file, length)?;
        if contents.get(..HEADER_BYTES as usize) != Some(&encode_header(newest)) {
            return Err(match contents.starts_with(&MAGIC[..7]) && !contents.starts_with(&MAGIC) {
                true => StateLogError::UnknownVersion(name),
                // The header was synced before the file got its name, so this is no incomplete write.
                false => StateLogError::Damaged { file: name, offset: 0 },
            });
        }
        let (mut offset, mut entries) = (HEADER_BYTES as usize, Vec::new());
        while let Some(bytes) = decode_entry(newest, offset, &contents) {
            entries.push(bytes.to_vec());
            offset += FRAME_BYTES + bytes.len();
        }
        let has_later_entry =
            (offset + 1..contents.len()).any(|later| decode_entry(newest, later, &contents).is_some());
        if has_later_entry {
            return Err(StateLogError::Damaged { file: name, offset: offset as u64 });
        }
        let length = offset as u64;
        if contents.len() > offset {
            store.set_length(&file, length)?;
            store.sync(&file)?;
        }
        let log = StateLog { store, file_number: newest, file, length, max_bytes, has_failed: false };
        Ok((log, entries))
    }

    /// Appends an entry, which is durable once this returns. If the log is full, nothing is written.
    pub fn append(&mut self, bytes: &[u8]) -> Result<(), StateLogError> {
        if self.has_failed {
            return Err(StateLogError::WriteFailed);
        }
        let entry = encode_entry(self.file_number, self.length, bytes);
        self.check_size(self.length + entry.len() as u64, bytes)?;
        let result = self.store.write_at(&self.file, &entry, self.length);
        let result = result.and_then(|()| self.store.sync(&self.file));
        self.has_failed = result.is_err();
        result?;
        self.length += entry.len() as u64;
        Ok(())
    }

    /// Whether the file has grown so much that a rewrite is due.
    pub fn needs_rewrite(&self) -> bool {
        self.length > self.max_bytes / 4
    }

    /// Length of the file, in bytes.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Replaces all entries by one with the whole state.
    pub fn rewrite(&mut self, state: &[u8]) -> Result<(), StateLogError> {
        if self.has_failed {
            return Err(StateLogError::WriteFailed);
        }
        let next = self.file_number + 1;
        // Both files exist until the old one is removed.
        self.check_size(self.length + HEADER_BYTES + (FRAME_BYTES + state.len()) as u64, state)?;
        let written = Self::write_file(&self.store, next, state);
        self.has_failed = written.is_err();
        (self.file, self.length) = written?;
        let previous = file_name(std::mem::replace(&mut self.file_number, next));
        // If this fails, the next start removes the file.
        let _ = self.store.remove(&previous);
        Ok(())
    }

    /// Checks the log's total size and that of one entry against the limits.
    fn check_size(&self, bytes: u64, entry: &[u8]) -> Result<(), StateLogError> {
        match bytes > self.max_bytes || entry.len() > MAX_ENTRY_BYTES || entry.is_empty() {
            true => Err(StateLogError::Full { bytes, max_bytes: self.max_bytes }),
            false => Ok(()),
        }
    }

    /// Writes a new file with at most one entry, syncs it, and gives it its final name.
    fn write_file(store: &S, file_number: u64, state: &[u8]) -> Result<(S::File, u64), StateLogError> {
        let file = store.create(NEW_FILE_NAME)?;
        let mut bytes = encode_header(file_number);
        if !state.is_empty() {
            bytes.extend(encode_entry(file_number, HEADER_BYTES, state));
        }
        store.write_at(&file, &bytes, 0)?;
        store.sync(&file)?;
        store.rename(NEW_FILE_NAME, &file_name(file_number))?;
        store.sync_directory()?;
        Ok((file, bytes.len() as u64))
    }
}
