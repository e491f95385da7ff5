//! Where each held message stands whole, and how much of each segment is live. No I/O.

use std::collections::{HashMap, VecDeque};

/// Where a message stands whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Home {
    segment: u64,
    bytes: u32,
}

/// What a segment holds.
#[derive(Debug, Default)]
struct Share {
    live: u64,
    /// Messages that were written whole into it, in that order; some are over, or stand elsewhere by now.
    written: Vec<u32>,
}

/// The segments from the oldest on, which follow each other without a gap, and the messages in them.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    homes: HashMap<u32, Home>,
    first: u64,
    shares: VecDeque<Share>,
}

impl Ledger {
    /// The next segment. The first one may have any sequence.
    pub fn open(&mut self, sequence: u64) {
        if self.shares.is_empty() {
            self.first = sequence;
        }
        self.shares.push_back(Share::default());
    }

    /// The oldest segment goes, with nothing live in it.
    pub fn free(&mut self) {
        self.shares.pop_front();
        self.first += 1;
    }

    fn share(&mut self, sequence: u64) -> Option<&mut Share> {
        let place = usize::try_from(sequence.checked_sub(self.first)?).ok()?;
        self.shares.get_mut(place)
    }

    /// A message was written whole, to a segment.
    pub fn settle(&mut self, number: u32, segment: u64, bytes: u64) {
        self.forget(number);
        let Some(share) = self.share(segment) else { return };
        share.live += bytes;
        share.written.push(number);
        self.homes.insert(number, Home { segment, bytes: bytes as u32 });
    }

    /// A message is over.
    pub fn forget(&mut self, number: u32) {
        if let Some(home) = self.homes.remove(&number) {
            if let Some(share) = self.share(home.segment) {
                share.live -= u64::from(home.bytes);
            }
        }
    }

    /// Live bytes of a segment.
    pub fn live(&self, sequence: u64) -> u64 {
        let place = sequence.checked_sub(self.first).and_then(|at| usize::try_from(at).ok());
        place.and_then(|at| self.shares.get(at)).map_or(0, |share| share.live)
    }

    /// The next message that still stands in a segment, from some place of its list on; that place moves behind it.
    pub fn next(&self, sequence: u64, place: &mut usize) -> Next {
        let at = sequence.checked_sub(self.first).and_then(|at| usize::try_from(at).ok());
        let Some(share) = at.and_then(|at| self.shares.get(at)) else { return Next::End };
        let rest = share.written.get(*place..).unwrap_or_default();
        for number in rest.iter().take(MOST_WALKED) {
            *place += 1;
            if self.homes.get(number).is_some_and(|home| home.segment == sequence) {
                return Next::Message(*number);
            }
        }
        if rest.len() > MOST_WALKED {
            Next::Later
        } else {
            Next::End
        }
    }
}

/// Messages that are passed over at a time.
const MOST_WALKED: usize = 512;

/// What comes next in a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Next {
    /// A message that still stands there.
    Message(u32),
    /// Many that do not: enough for one time.
    Later,
    /// No more.
    End,
}

#[cfg(test)]
mod tests;
