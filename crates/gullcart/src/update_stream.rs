//! The stream of changes of a watch, discard_scanned into its objects as its bytes come. No socket: whoever reads hands bytes in.

use gullcart_message::Update;
use thiserror::Error;

/// Bytes that a list may have at any limit of memory.
const MIN_LIST_LIMIT_BYTES: usize = 4 << 20;
/// Part of the memory that a list's text may take. An endpoint that is held takes more than this many times the 150 bytes
/// or so that tell of it, so that all endpoints that fit into the memory can be told of.
const MEMORY_TO_LIST_RATIO: f64 = 16.0;
const BYTES_PER_MB: f64 = 1e6;

/// How many bytes a list, or a change of it, may have. One that is longer is damage: an agent that never ends one must
/// not take all memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MaxListBytes(pub usize);

impl MaxListBytes {
    /// The bound for a courier with so much memory.
    pub fn for_memory(memory_mb: f64) -> Self {
        MaxListBytes(MIN_LIST_LIMIT_BYTES.max((memory_mb * BYTES_PER_MB / MEMORY_TO_LIST_RATIO) as usize))
    }
}

#[derive(Debug, Error)]
pub enum StreamError {
    #[error("a change cannot be read: {0}")]
    Json(#[from] serde_json::Error),
    #[error("something else than a change stands between two of them")]
    UnexpectedByte,
    #[error("longer than {0} bytes")]
    TooLong(usize),
}

/// What came whole.
#[derive(Debug, PartialEq)]
pub enum StreamItem {
    /// The end of a line outside of a change: the watch lasts.
    KeepAlive,
    /// A change. It ends with its last brace, so that it may be indented, over several lines.
    Change(Update),
}

/// Cuts a stream into pieces. Each byte is looked at once, in whatever parts they come.
pub struct UpdateStream {
    max_bytes: MaxListBytes,
    /// What came of the change that is not whole yet, or was not looked at.
    buffer: Vec<u8>,
    /// How much of it was looked at.
    scanned: usize,
    /// Braces that are open; none between two changes.
    depth: usize,
    in_string: bool,
    is_escaped: bool,
}

impl UpdateStream {
    /// A stream of which nothing has come.
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

    /// More bytes have come. What is too long for a change is an error once it is asked for.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next piece that is whole; none until more has come.
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
            // A long list's room is given back.
            self.buffer = Vec::new();
        }
    }
}

#[cfg(test)]
mod tests;
