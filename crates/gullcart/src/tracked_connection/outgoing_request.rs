//! The end of a request in the bytes that are written.

use std::rc::Rc;

use super::write_progress::{Stage, WriteProgress};

/// The bytes that end a head.
const HEAD_TERMINATOR: &[u8] = b"\r\n\r\n";

/// Finds the end of a request in its outgoing bytes: a head, and a body of known length.
pub(super) struct OutgoingRequest {
    pub progress: Rc<WriteProgress>,
    /// Bytes of [`HEAD_TERMINATOR`] matched so far.
    pub matched_terminator_bytes: usize,
    /// Bytes of the body still to be written.
    pub remaining_body_bytes: usize,
}

impl OutgoingRequest {
    /// Whether the last byte was written.
    pub fn is_complete(&self) -> bool {
        self.matched_terminator_bytes == HEAD_TERMINATOR.len() && self.remaining_body_bytes == 0
    }

    /// Takes bytes that were written.
    pub fn feed(&mut self, mut bytes: &[u8]) {
        while let (Some((byte, rest)), true) =
            (bytes.split_first(), self.matched_terminator_bytes < HEAD_TERMINATOR.len())
        {
            self.matched_terminator_bytes = match HEAD_TERMINATOR[self.matched_terminator_bytes] == *byte {
                true => self.matched_terminator_bytes + 1,
                false => usize::from(*byte == HEAD_TERMINATOR[0]),
            };
            bytes = rest;
        }
        self.remaining_body_bytes = self.remaining_body_bytes.saturating_sub(bytes.len());
        if self.is_complete() && self.progress.stage.get() == Stage::Started {
            self.progress.stage.set(Stage::Complete);
            self.progress.completed.notify_one();
        }
    }
}
