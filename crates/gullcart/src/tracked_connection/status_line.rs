//! The status of an answer as its first line comes.

use std::io;

/// `HTTP/1.1 200` and what ends the number.
const STATUS_PREFIX_LENGTH: usize = 13;
/// More interim_count answers (1xx) than this before the answer itself are no answer.
const MAX_INTERIM_RESPONSES: u32 = 16;

/// The status of an answer, from its bytes as they come.
#[derive(Default)]
pub(super) struct StatusLine {
    pub(super) status: Option<u16>,
    /// The start of the line that is being read.
    line: Vec<u8>,
    /// In the rest of a head of which the status is known; an empty line ends it.
    in_head: bool,
    interim_count: u32,
}

impl StatusLine {
    /// Reads on.
    pub(super) fn feed(&mut self, bytes: &[u8]) -> io::Result<()> {
        for &byte in bytes {
            if self.status.is_some() {
                break;
            }
            if byte == b'\n' {
                if self.in_head && self.line.is_empty() {
                    self.in_head = false;
                } else if !self.in_head {
                    // A line that ends before its number does says nothing.
                    self.parse_status(b' ')?;
                }
                self.line.clear();
            } else if byte != b'\r' && self.line.len() < STATUS_PREFIX_LENGTH {
                self.line.push(byte);
                if !self.in_head && self.line.len() == STATUS_PREFIX_LENGTH {
                    self.parse_status(byte)?;
                }
            }
        }
        Ok(())
    }

    /// Reads the number of a first line; that of an interim_count answer is passed over.
    fn parse_status(&mut self, terminator: u8) -> io::Result<()> {
        let text = std::str::from_utf8(&self.line).ok();
        let number = text.and_then(|text| text.strip_prefix("HTTP/1.0 ").or(text.strip_prefix("HTTP/1.1 ")));
        let number = number.and_then(|number| number.get(..3)).filter(|_| terminator == b' ');
        match number.and_then(|number| number.parse().ok()) {
            Some(100..=199) => {
                self.in_head = true;
                self.interim_count += 1;
                if self.interim_count > MAX_INTERIM_RESPONSES {
                    return Err(io::Error::new(
                        io::ErrorKind::InvalidData,
                        "interim answers without end",
                    ));
                }
            }
            Some(status) => self.status = Some(status),
            // No first line at all: nothing that comes later can be one.
            None => self.status = Some(0),
        }
        Ok(())
    }
}
