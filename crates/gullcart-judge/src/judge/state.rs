//! What the judge remembers of couriers, calls, order keys and partners.

use crate::cold::Cold;
use crate::trace::*;
use std::collections::{BTreeSet, VecDeque};

/// Trace lines of a partner in slow start that a breach shows.
const SLOW_START_PROOF: usize = 16;
/// The first lines of these, which are never dropped: the beginning of the outage and a failure seen.
const FIRST_PROOF: usize = 2;

/// A courier's process.
#[derive(Default)]
pub(super) struct Courier {
    /// From SIGTERM or its end until it is ready again.
    pub away: bool,
    /// When it became ready last.
    pub ready: At,
    /// When its process was stopped last.
    pub stopped: At,
    /// A new process tells what it finds in its journal before it is ready.
    pub started: At,
    /// Checks that wait until it is ready.
    pub waiting: Vec<(Check, MessageId)>,
}

/// Something to look at when its time comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Check {
    /// The deadline of a message has passed.
    Overdue,
    /// A message that cannot be delivered any more should have been ended by now.
    KeptBack,
    /// Two calls for one message were open a moment ago; this is the earlier one.
    SideBySide(CallId),
    /// A message may be forgotten.
    Forget,
}

/// A call without an outcome yet.
pub(super) struct OpenCall {
    /// None for a call whose message is unknown.
    pub message: Option<MessageId>,
    pub courier: CourierId,
    pub partner: PartnerId,
    pub key: Option<OrderKey>,
    pub begun: At,
}

/// A call that its courier cut, and that may still run.
#[derive(Clone, Copy)]
pub(super) struct CutCall {
    pub at: At,
    pub message: MessageId,
    pub entry: Entry,
}

/// The messages of one order key at one courier.
#[derive(Default)]
pub(super) struct KeyState {
    /// Messages in the order in which they were handed in; those that are over leave from the front.
    pub queue: VecDeque<MessageId>,
    /// The last call that was cut.
    pub last_cut: Option<CutCall>,
}

/// A wait that a partner asked a courier for.
pub(super) struct RetryAfter {
    pub told: At,
    pub until: At,
    pub entry: Entry,
}

/// An outage of a partner, and its slow start after it.
pub(super) struct Outage {
    /// Couriers that saw a failure during the outage.
    pub seen: BTreeSet<CourierId>,
    /// The slow start, once the partner is back.
    pub slow_start: Option<Cold>,
    pub proof: VecDeque<Entry>,
}

impl Outage {
    /// An outage that begins with this trace line.
    pub fn new(entry: Entry) -> Self {
        Outage { seen: BTreeSet::new(), slow_start: None, proof: [entry].into() }
    }

    /// Keeps the first lines and the last ones.
    pub fn note(&mut self, entry: Entry) {
        while self.proof.len() >= SLOW_START_PROOF {
            self.proof.remove(FIRST_PROOF);
        }
        self.proof.push_back(entry);
    }
}
