//! A file read through one buffer.

use crate::store::Store;
use std::io;

/// Bytes read at a time.
pub(crate) const CHUNK: usize = 64 << 10;

/// A part of a file, read as needed.
pub(crate) struct Window<'a, S: Store> {
    store: &'a S,
    file: &'a S::File,
    start: u64,
    buffer: Vec<u8>,
}

impl<'a, S: Store> Window<'a, S> {
    pub fn new(store: &'a S, file: &'a S::File) -> Self {
        Window { store, file, start: 0, buffer: Vec::new() }
    }

    /// Some bytes; none where the file ends before.
    pub fn get(&mut self, offset: u64, length: usize) -> io::Result<Option<&[u8]>> {
        let inside = offset >= self.start && offset + length as u64 <= self.start + self.buffer.len() as u64;
        if !inside {
            self.start = offset;
            self.buffer.resize(length.max(CHUNK), 0);
            let mut filled = 0;
            while filled < self.buffer.len() {
                let place = offset + filled as u64;
                match self.store.read_at(self.file, &mut self.buffer[filled..], place) {
                    Ok(0) => break,
                    Ok(more) => filled += more,
                    Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                    Err(error) => return Err(error),
                }
            }
            self.buffer.truncate(filled);
            if filled < length {
                return Ok(None);
            }
        }
        let from = (offset - self.start) as usize;
        Ok(Some(&self.buffer[from..from + length]))
    }
}
