//! Detects answers that do not belong to the call in flight on their connection. No I/O and no clock.
//!
//! An HTTP/1.1 answer does not name its call. On a reused connection an endpoint or proxy may write an earlier answer a second
//! time, and only the content distinguishes the call's own answer from such a duplicate. Therefore:
//!
//! - A connection is reused only while all its answers were successful deliveries with distinct content, and only for
//!   endpoints whose recent answers differ from each other.
//! - On a reused connection a delivery counts only if no earlier answer on the connection had the same content. The first
//!   answer on a connection always counts.
//! - A byte-for-byte duplicate is removed from the stream ([`DuplicateAnswerFilter`]), so that the call's own answer behind it
//!   can be read.

use std::collections::VecDeque;
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of calls on one connection. Each new answer is compared with all earlier ones of the connection.
const MAX_CALLS_PER_CONNECTION: usize = 8;
/// Maximum size of an answer, head and body, after which a connection is reused: the bytes are kept to find duplicates.
const MAX_COMPARED_BYTES: usize = 2 << 10;
/// Consecutive answers of an endpoint that have to differ before its connections are reused.
const MIN_DISTINCT_ANSWERS: usize = 4;
/// Upper bound of that number, which doubles with each ambiguous answer.
const MAX_DISTINCT_ANSWERS: usize = 16;

/// Hash of an answer's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerFingerprint(u64);

impl AnswerFingerprint {
    /// Hashes a body. An empty body has no fingerprint: it cannot be distinguished from another empty one.
    pub fn of(body: &[u8]) -> Option<Self> {
        (!body.is_empty()).then(|| AnswerFingerprint(xxh3_64(body)))
    }
}

/// Why a delivery does not count: the answer may be a duplicate of an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AmbiguousAnswer {
    /// The body is empty, as a duplicate's may be.
    Empty,
    /// An earlier answer on the connection had the same body.
    Repeated,
}

/// The successful answers that one connection has carried.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConnectionAnswers {
    seen: Vec<AnswerFingerprint>,
    /// The bytes of those answers that this process read itself.
    raw: Vec<Vec<u8>>,
    /// The connection must carry no further call: a duplicate of one of its answers could not be detected.
    is_exhausted: bool,
}

impl ConnectionAnswers {
    /// The answers on a connection that was taken over from another process.
    pub fn from_fingerprints(seen: &[u64]) -> Self {
        let seen = seen.iter().copied().take(MAX_CALLS_PER_CONNECTION).map(AnswerFingerprint).collect();
        ConnectionAnswers { seen, ..ConnectionAnswers::default() }
    }

    /// The fingerprints to hand to another process, for [`ConnectionAnswers::from_fingerprints`].
    pub fn fingerprints(&self) -> Vec<u64> {
        self.seen.iter().map(|fingerprint| fingerprint.0).collect()
    }

    /// Whether the connection has carried no answer yet. The next one then certainly belongs to its call.
    pub fn is_empty(&self) -> bool {
        self.seen.is_empty()
    }

    /// Checks a successful answer against the earlier ones and records it.
    pub fn accept(&mut self, answer: Option<AnswerFingerprint>) -> Result<(), AmbiguousAnswer> {
        match answer {
            Some(answer) if !self.seen.contains(&answer) => {
                self.seen.push(answer);
                Ok(())
            }
            answer => {
                self.is_exhausted = true;
                match answer {
                    _ if self.seen.is_empty() => Ok(()),
                    Some(_) => Err(AmbiguousAnswer::Repeated),
                    None => Err(AmbiguousAnswer::Empty),
                }
            }
        }
    }

    /// Keeps the bytes of the answer that was accepted last, to find duplicates of it. Pass `None` if they were not read
    /// completely, or if other bytes were read behind them.
    pub fn keep_bytes(&mut self, answer: Option<Vec<u8>>) {
        match answer.filter(|answer| (1..=MAX_COMPARED_BYTES).contains(&answer.len())) {
            Some(answer) => self.raw.push(answer),
            None => self.is_exhausted = true,
        }
    }

    /// Whether the connection may carry one more call.
    pub fn can_carry_call(&self) -> bool {
        !self.is_exhausted && self.seen.len() < MAX_CALLS_PER_CONNECTION
    }
}

/// Removes duplicates of earlier answers from the bytes that follow a call on its connection.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DuplicateAnswerFilter {
    /// Bytes that may be the beginning of a duplicate.
    buffered: Vec<u8>,
    /// The call's own answer has begun: all further bytes belong to it and pass unchecked.
    has_own_answer_begun: bool,
    duplicates_removed: u32,
}

impl DuplicateAnswerFilter {
    /// Number of duplicates removed so far.
    pub fn duplicates_removed(&self) -> u32 {
        self.duplicates_removed
    }

    /// Bytes that are held back because they may be the beginning of a duplicate.
    pub fn buffered(&self) -> &[u8] {
        &self.buffered
    }

    /// Adds received bytes and returns those, including bytes held back before, that belong to no duplicate.
    pub fn filter(&mut self, earlier: &ConnectionAnswers, bytes: &[u8]) -> Vec<u8> {
        self.buffered.extend_from_slice(bytes);
        while !self.has_own_answer_begun && !self.buffered.is_empty() {
            if let Some(duplicate) = earlier.raw.iter().find(|answer| self.buffered.starts_with(answer)) {
                self.buffered.drain(..duplicate.len());
                self.duplicates_removed += 1;
            } else if earlier.raw.iter().any(|answer| answer.starts_with(&self.buffered)) {
                return Vec::new();
            } else {
                self.has_own_answer_begun = true;
            }
        }
        std::mem::take(&mut self.buffered)
    }
}

/// The recent answers of an endpoint, which decide whether connections to it may be reused.
#[derive(Clone, Debug)]
pub struct EndpointAnswers {
    /// The latest consecutive answers that all differ.
    distinct: VecDeque<AnswerFingerprint>,
    /// How many consecutive answers have to differ.
    required: usize,
}

impl Default for EndpointAnswers {
    fn default() -> Self {
        EndpointAnswers { distinct: VecDeque::new(), required: MIN_DISTINCT_ANSWERS }
    }
}

impl EndpointAnswers {
    /// Records an answer whose delivery counts.
    pub fn observe(&mut self, answer: Option<AnswerFingerprint>) {
        if answer.is_none_or(|answer| self.distinct.contains(&answer)) {
            self.distinct.clear();
        }
        self.distinct.extend(answer);
        if self.distinct.len() > self.required {
            self.distinct.pop_front();
        }
    }

    /// Records an ambiguous answer: the sequence of distinct answers starts over and has to be twice as long.
    pub fn observe_ambiguous(&mut self) {
        self.distinct.clear();
        self.required = (2 * self.required).min(MAX_DISTINCT_ANSWERS);
    }

    /// Whether enough consecutive answers differed for connections to be reused.
    pub fn are_distinct(&self) -> bool {
        self.distinct.len() >= self.required
    }
}

#[cfg(test)]
mod tests;
