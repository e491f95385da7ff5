//! Reads the status of a response incrementally.

use std::io;

/// Length of `HTTP/1.1 200` and the character behind the number.
const STATUS_PREFIX_LENGTH: usize = 13;
/// Limit of interim responses (1xx) before a response.
const MAX_INTERIM_RESPONSES: u32 = 16;

/// Incremental reader of a response's status line.
#[derive(Default)]
pub(super) struct StatusLine {
    /// The status, once it is known; 0 where the first line is no status line.
    pub(super) status: Option<u16>,
    /// The start of the current line.
    line: Vec<u8>,
    /// Within the head of an interim response, which an empty line ends.
    in_head: bool,
    interim_count: u32,
}

impl StatusLine {
    /// Takes the next bytes of the response.
    pub(super) fn feed(&mut self, bytes: &[u8]) -> io::Result<()> {
        for &byte in bytes {
            if self.status.is_some() {
                break;
            }
            if byte == b'\n' {
                if self.in_head && self.line.is_empty() {
                    self.in_head = false;
                } else if !self.in_head {
                    // The line may end right behind the status.
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

    /// Parses the status in the current line; the status of an interim response is skipped.
    fn parse_status(&mut self, terminator: u8) -> io::Result<()> {
        let text = std::str::from_utf8(&self.line).ok();
        let number = text.and_then(|text| text.strip_prefix("HTTP/1.0 ").or(text.strip_prefix("HTTP/1.1 ")));
        let number = number.and_then(|number| number.get(..3)).filter(|_| terminator == b' ');
        match number.and_then(|number| number.parse().ok()) {
            Some(100..=199) => {
                self.in_head = true;
                self.interim_count += 1;
                if self.interim_count > MAX_INTERIM_RESPONSES {
                    return Err(io::Error::new(io::ErrorKind::InvalidData, "too many interim responses"));
                }
            }
            Some(status) => self.status = Some(status),
            // Not a status line, and no later line can be one.
            None => self.status = Some(0),
        }
        Ok(())
    }
}
