//! Whether an answer belongs to the call that is out on its connection. No socket and no clock.
//!
//! An HTTP/1.1 answer names no call. On a connection that has carried calls before, an endpoint or a proxy may write an
//! earlier answer once more, and only what an answer says tells it from that copy. So a connection is used again only while it
//! has brought nothing but deliveries, and only where the endpoint's answers differ from each other; and a delivery counts
//! there only if no answer before it on the connection said the same. The first answer of a connection needs no such proof.
//!
//! A copy that is the same byte for byte is left out ([`CopyFilter`]), so that the call's own answer can be heard behind it.

use std::collections::VecDeque;
use xxhash_rust::xxh3::xxh3_64;

/// Calls that one connection carries at most: as many answers are compared with each new one.
const MAX_CALLS_PER_CONNECTION: usize = 8;
/// Bytes of an answer, head and body, behind which a connection is used again at most: they are kept to find copies.
const MAX_COMPARED_BYTES: usize = 2 << 10;
/// Answers of an endpoint in a row that have to differ before its connections are used again, ...
const MIN_DISTINCT_ANSWERS: usize = 4;
/// ... and as many at most, where answers were alike: the number doubles each time.
const MAX_DISTINCT_ANSWERS: usize = 16;

/// What an answer says, in short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerFingerprint(u64);

impl AnswerFingerprint {
    /// Of an answer's body; none of an empty one, which says nothing.
    pub fn of(body: &[u8]) -> Option<Self> {
        (!body.is_empty()).then(|| AnswerFingerprint(xxh3_64(body)))
    }
}

/// Why a delivery does not count: it may be a copy of an earlier answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AmbiguousAnswer {
    /// It says nothing that could tell it from a copy.
    Empty,
    /// An answer before it on the connection said the same.
    Repeated,
}

/// The deliveries that one connection has brought.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConnectionAnswers {
    seen: Vec<AnswerFingerprint>,
    /// All bytes of those that this process has read.
    raw: Vec<Vec<u8>>,
    /// It brought an answer that cannot be told from a copy, and carries no further call.
    has_ended: bool,
}

impl ConnectionAnswers {
    /// Those of a connection that another process has used.
    pub fn from_fingerprints(seen: &[u64]) -> Self {
        let seen = seen.iter().copied().take(MAX_CALLS_PER_CONNECTION).map(AnswerFingerprint).collect();
        ConnectionAnswers { seen, ..ConnectionAnswers::default() }
    }

    /// The same, for another process.
    pub fn fingerprints(&self) -> Vec<u64> {
        self.seen.iter().map(|fingerprint| fingerprint.0).collect()
    }

    /// It has brought none: the next one belongs to its call.
    pub fn is_empty(&self) -> bool {
        self.seen.is_empty()
    }

    /// A delivery has come.
    pub fn accept(&mut self, answer: Option<AnswerFingerprint>) -> Result<(), AmbiguousAnswer> {
        match answer {
            Some(answer) if !self.seen.contains(&answer) => {
                self.seen.push(answer);
                Ok(())
            }
            answer => {
                self.has_ended = true;
                match answer {
                    _ if self.seen.is_empty() => Ok(()),
                    Some(_) => Err(AmbiguousAnswer::Repeated),
                    None => Err(AmbiguousAnswer::Empty),
                }
            }
        }
    }

    /// The bytes of the delivery that was accepted last, of which all and nothing else has been read.
    pub fn keep_bytes(&mut self, answer: Option<Vec<u8>>) {
        match answer.filter(|answer| (1..=MAX_COMPARED_BYTES).contains(&answer.len())) {
            Some(answer) => self.raw.push(answer),
            None => self.has_ended = true,
        }
    }

    /// Whether the connection may carry one more call.
    pub fn can_carry_call(&self) -> bool {
        !self.has_ended && self.seen.len() < MAX_CALLS_PER_CONNECTION
    }
}

/// Leaves copies of earlier answers out of the bytes that come behind a call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DuplicateAnswerFilter {
    /// Bytes that may be the beginning of a copy.
    held: Vec<u8>,
    /// What has come is no copy: all that follows belongs to the same answer.
    has_passed: bool,
    left_out: u32,
}

impl DuplicateAnswerFilter {
    /// Copies left out so far.
    pub fn duplicates_removed(&self) -> u32 {
        self.left_out
    }

    /// What is held back, as it may be the beginning of a copy.
    pub fn buffered(&self) -> &[u8] {
        &self.held
    }

    /// Bytes have come; those of them, and of what was held back, that are part of no copy.
    pub fn filter(&mut self, earlier: &ConnectionAnswers, bytes: &[u8]) -> Vec<u8> {
        self.held.extend_from_slice(bytes);
        while !self.has_passed && !self.held.is_empty() {
            if let Some(copy) = earlier.raw.iter().find(|answer| self.held.starts_with(answer)) {
                self.held.drain(..copy.len());
                self.left_out += 1;
            } else if earlier.raw.iter().any(|answer| answer.starts_with(&self.held)) {
                return Vec::new();
            } else {
                self.has_passed = true;
            }
        }
        std::mem::take(&mut self.held)
    }
}

/// What the last answers of an endpoint were like.
#[derive(Clone, Debug)]
pub struct EndpointAnswers {
    /// The last ones in a row that all differ.
    differing: VecDeque<AnswerFingerprint>,
    needed: usize,
}

impl Default for EndpointAnswers {
    fn default() -> Self {
        EndpointAnswers { differing: VecDeque::new(), needed: MIN_DISTINCT_ANSWERS }
    }
}

impl EndpointAnswers {
    /// A delivery that counts.
    pub fn observe(&mut self, answer: Option<AnswerFingerprint>) {
        if answer.is_none_or(|answer| self.differing.contains(&answer)) {
            self.differing.clear();
        }
        self.differing.extend(answer);
        if self.differing.len() > self.needed {
            self.differing.pop_front();
        }
    }

    /// A delivery that does not count: its answers have to prove themselves anew, and for longer.
    pub fn observe_ambiguous(&mut self) {
        self.differing.clear();
        self.needed = (2 * self.needed).min(MAX_DISTINCT_ANSWERS);
    }

    /// Whether they can be told apart, so that its connections may be used again.
    pub fn are_distinct(&self) -> bool {
        self.differing.len() >= self.needed
    }
}

#[cfg(test)]
mod tests;
