//! Splits the byte stream of a watch into JSON objects as the bytes arrive. Without sockets: the caller feeds in the bytes.

use gullcart_message::ListingUpdate;
use thiserror::Error;

/// Bytes that a list may have, however small the memory limit is.
const MIN_LIST_LIMIT_BYTES: usize = 4 << 20;
/// Bytes of memory for each byte that a list may have. An endpoint takes more than this many times the roughly 150 bytes of its
/// entry in a list, so the list of as many endpoints as fit into the memory is within the limit.
const MEMORY_TO_LIST_RATIO: f64 = 16.0;
const BYTES_PER_MB: f64 = 1e6;

/// Limit on the size of a list, or of a change, in bytes. A longer one is invalid: an agent that sends one without end must not
/// use up all memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MaxListBytes(pub usize);

impl MaxListBytes {
    /// The limit for a courier with this much memory.
    pub fn for_memory(memory_mb: f64) -> Self {
        MaxListBytes(MIN_LIST_LIMIT_BYTES.max((memory_mb * BYTES_PER_MB / MEMORY_TO_LIST_RATIO) as usize))
    }
}

/// Why a stream is invalid.
#[derive(Debug, Error)]
pub enum StreamError {
    #[error("a change cannot be read: {0}")]
    Json(#[from] serde_json::Error),
    #[error("unexpected byte between two changes")]
    UnexpectedByte,
    #[error("a change is longer than {0} bytes")]
    TooLong(usize),
}

/// A complete item of the stream.
#[derive(Debug, PartialEq)]
pub enum StreamItem {
    /// The end of a line outside of a change: it shows that the watch is alive.
    KeepAlive,
    /// A change. It ends with its last brace, so that it may span several lines.
    Change(ListingUpdate),
}

/// Splits a stream into its items. Each byte is scanned once, however the stream is cut into parts.
pub struct UpdateStream {
    max_bytes: MaxListBytes,
    /// The bytes that do not make up an item yet.
    buffer: Vec<u8>,
    /// Number of bytes of the buffer that were scanned.
    scanned: usize,
    /// Open braces; 0 between two changes.
    depth: usize,
    in_string: bool,
    is_escaped: bool,
}

impl UpdateStream {
    /// An empty stream.
    pub fn new(max_bytes: MaxListBytes) -> Self {
        UpdateStream {
            max_bytes,
            buffer: Vec::new(),
            scanned: 0,
            depth: 0,
            in_string: false,
            is_escaped: false,
        }
    }

    /// Adds bytes. A change that is too long is reported by [`UpdateStream::next`].
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next complete item; none until more bytes are fed in.
    pub fn next(&mut self) -> Result<Option<StreamItem>, StreamError> {
        while let Some(&byte) = self.buffer.get(self.scanned) {
            self.scanned += 1;
            if self.in_string {
                match byte {
                    _ if self.is_escaped => self.is_escaped = false,
                    b'\\' => self.is_escaped = true,
                    b'"' => self.in_string = false,
                    _ => {}
                }
                continue;
            }
            match byte {
                b'{' => self.depth += 1,
                b'}' if self.depth == 1 => {
                    self.depth = 0;
                    let change = serde_json::from_slice(&self.buffer[..self.scanned]);
                    self.discard_scanned();
                    return Ok(Some(StreamItem::Change(change?)));
                }
                b'}' if self.depth > 1 => self.depth -= 1,
                b'"' if self.depth > 0 => self.in_string = true,
                _ if self.depth > 0 => {}
                b'\n' => {
                    self.discard_scanned();
                    return Ok(Some(StreamItem::KeepAlive));
                }
                b' ' | b'\t' | b'\r' => {}
                _ => return Err(StreamError::UnexpectedByte),
            }
        }
        if self.buffer.len() > self.max_bytes.0 {
            return Err(StreamError::TooLong(self.max_bytes.0));
        }
        Ok(None)
    }

    fn discard_scanned(&mut self) {
        self.buffer.drain(..self.scanned);
        self.scanned = 0;
        if self.buffer.is_empty() {
            // Frees the memory of a long list.
            self.buffer = Vec::new();
        }
    }
}

#[cfg(test)]
mod tests;
