//! Index of live messages: which segment holds the latest full record of each pending message, and how many live bytes
//! each segment has. It does no I/O.

use std::collections::{HashMap, VecDeque};

/// Most messages that one scan skips before it pauses.
const MAX_SCANNED_MESSAGES: usize = 512;

/// Where the latest full record of a message is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RecordLocation {
    segment: u64,
    bytes: u32,
}

/// The messages of one segment.
#[derive(Debug, Default)]
struct SegmentEntry {
    live_bytes: u64,
    /// Messages whose full record was written to the segment, in that order. Some of them are completed by now, or have
    /// a later full record elsewhere.
    message_numbers: Vec<u32>,
}

/// The segments of the log, oldest first and without gaps, and the messages in them.
#[derive(Debug, Default)]
pub(crate) struct SegmentIndex {
    locations: HashMap<u32, RecordLocation>,
    first_sequence: u64,
    segments: VecDeque<SegmentEntry>,
}

impl SegmentIndex {
    /// Adds the next segment. The first one may have any sequence number.
    pub fn add_segment(&mut self, sequence: u64) {
        if self.segments.is_empty() {
            self.first_sequence = sequence;
        }
        self.segments.push_back(SegmentEntry::default());
    }

    /// Removes the oldest segment, which has no live messages.
    pub fn remove_oldest(&mut self) {
        self.segments.pop_front();
        self.first_sequence += 1;
    }

    fn segment_mut(&mut self, sequence: u64) -> Option<&mut SegmentEntry> {
        let position = usize::try_from(sequence.checked_sub(self.first_sequence)?).ok()?;
        self.segments.get_mut(position)
    }

    /// Notes that a full record of a message was written to a segment.
    pub fn insert(&mut self, number: u32, sequence: u64, bytes: u64) {
        self.remove(number);
        let Some(segment) = self.segment_mut(sequence) else { return };
        segment.live_bytes += bytes;
        segment.message_numbers.push(number);
        self.locations.insert(number, RecordLocation { segment: sequence, bytes: bytes as u32 });
    }

    /// Removes a message that is completed.
    pub fn remove(&mut self, number: u32) {
        if let Some(location) = self.locations.remove(&number) {
            if let Some(segment) = self.segment_mut(location.segment) {
                segment.live_bytes -= u64::from(location.bytes);
            }
        }
    }

    /// Live bytes of a segment.
    pub fn live_bytes(&self, sequence: u64) -> u64 {
        let position = sequence.checked_sub(self.first_sequence).and_then(|at| usize::try_from(at).ok());
        position.and_then(|at| self.segments.get(at)).map_or(0, |segment| segment.live_bytes)
    }

    /// Finds the next live message of a segment, starting at `position` in the order in which they were written, and
    /// moves `position` past it.
    pub fn next_live(&self, sequence: u64, position: &mut usize) -> Scan {
        let at = sequence.checked_sub(self.first_sequence).and_then(|at| usize::try_from(at).ok());
        let Some(segment) = at.and_then(|at| self.segments.get(at)) else { return Scan::End };
        let rest = segment.message_numbers.get(*position..).unwrap_or_default();
        for number in rest.iter().take(MAX_SCANNED_MESSAGES) {
            *position += 1;
            if self.locations.get(number).is_some_and(|location| location.segment == sequence) {
                return Scan::Live(*number);
            }
        }
        if rest.len() > MAX_SCANNED_MESSAGES {
            Scan::Paused
        } else {
            Scan::End
        }
    }
}

/// Result of a scan for the next live message of a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Scan {
    /// A message whose latest full record is in the segment.
    Live(u32),
    /// Only dead messages so far, and more are left to scan.
    Paused,
    /// No live message is left.
    End,
}

#[cfg(test)]
mod tests;
