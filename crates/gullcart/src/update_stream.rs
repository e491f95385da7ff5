//! The stream of changes of a watch, cut into its objects as its bytes come. No socket: whoever reads hands bytes in.

use gullcart_message::Update;
use thiserror::Error;

/// A list, or a change of it, that is longer is damage. An entry takes about 150 bytes: 400,000 endpoints have room.
pub const LONGEST_LIST: usize = 64 << 20;

#[derive(Debug, Error)]
pub enum StreamError {
    #[error("a change cannot be read: {0}")]
    Json(#[from] serde_json::Error),
    #[error("something else than a change stands between two of them")]
    Stray,
    #[error("longer than {LONGEST_LIST} bytes")]
    Long,
}

/// What came whole.
#[derive(Debug, PartialEq)]
pub enum Piece {
    /// The end of a line outside of a change: the watch lasts.
    KeepAlive,
    /// A change. It ends with its last brace, so that it may be indented, over several lines.
    Change(Update),
}

/// Cuts a stream into pieces. Each byte is looked at once, in whatever parts they come.
#[derive(Default)]
pub struct UpdateStream {
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
    /// More bytes have come. What is too long for a change is an error once it is asked for.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next piece that is whole; none until more has come.
    pub fn next(&mut self) -> Result<Option<Piece>, StreamError> {
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
                    self.cut();
                    return Ok(Some(Piece::Change(change?)));
                }
                b'}' if self.depth > 1 => self.depth -= 1,
                b'"' if self.depth > 0 => self.in_string = true,
                _ if self.depth > 0 => {}
                b'\n' => {
                    self.cut();
                    return Ok(Some(Piece::KeepAlive));
                }
                b' ' | b'\t' | b'\r' => {}
                _ => return Err(StreamError::Stray),
            }
        }
        if self.buffer.len() > LONGEST_LIST {
            return Err(StreamError::Long);
        }
        Ok(None)
    }

    fn cut(&mut self) {
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
