//! Random access to a file through one read buffer.

use crate::store::Store;
use std::io;

/// Least bytes that are read at a time.
pub(crate) const CHUNK_BYTES: usize = 64 << 10;

/// Reads ranges of a file through a buffer that is refilled when a range lies outside it.
pub(crate) struct BufferedReader<'a, S: Store> {
    store: &'a S,
    file: &'a S::File,
    buffer_offset: u64,
    buffer: Vec<u8>,
}

impl<'a, S: Store> BufferedReader<'a, S> {
    pub fn new(store: &'a S, file: &'a S::File) -> Self {
        BufferedReader { store, file, buffer_offset: 0, buffer: Vec::new() }
    }

    /// Returns `length` bytes at `offset`, or none if the file ends before them.
    pub fn get(&mut self, offset: u64, length: usize) -> io::Result<Option<&[u8]>> {
        let is_buffered = offset >= self.buffer_offset
            && offset + length as u64 <= self.buffer_offset + self.buffer.len() as u64;
        if !is_buffered {
            self.buffer_offset = offset;
            self.buffer.resize(length.max(CHUNK_BYTES), 0);
            let mut filled = 0;
            while filled < self.buffer.len() {
                let position = offset + filled as u64;
                match self.store.read_at(self.file, &mut self.buffer[filled..], position) {
                    Ok(0) => break,
                    Ok(count) => filled += count,
                    Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                    Err(error) => return Err(error),
                }
            }
            self.buffer.truncate(filled);
            if filled < length {
                return Ok(None);
            }
        }
        let from = (offset - self.buffer_offset) as usize;
        Ok(Some(&self.buffer[from..from + length]))
    }
}
