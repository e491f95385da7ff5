//! The state that the judge keeps for couriers, calls, order keys and partners.

use crate::slow_start::SlowStart;
use crate::trace::*;
use std::collections::{BTreeSet, VecDeque};

/// Maximum number of trace entries kept for an outage and its slow start.
const MAX_OUTAGE_EVIDENCE: usize = 16;
/// Number of entries at the head of an outage's evidence that are never dropped: its start and the entry after it.
const PINNED_OUTAGE_EVIDENCE: usize = 2;

/// The process of a courier.
#[derive(Default)]
pub(super) struct Courier {
    /// Whether the process is paused, or between SIGTERM or its end and the time when it is ready again.
    pub unavailable: bool,
    /// When it last became available; zero if it never did.
    pub ready_at: Timestamp,
    /// When it was last paused.
    pub suspended_at: Timestamp,
    /// When it was last started. A new process sends the notices found in its journal before it is ready.
    pub started_at: Timestamp,
    /// Checks that are postponed until the courier is ready.
    pub postponed_checks: Vec<(Check, MessageId)>,
}

/// A check that is due at a later time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Check {
    /// The deadline of the message has passed: it must be delivered or ended by a notice.
    Overdue,
    /// The message became undeliverable: its failure notice must have been sent.
    LateFailureNotice,
    /// A second call for the message began while this one was in flight: one of them must have ended.
    ConcurrentCalls(CallId),
    /// The message may be dropped from memory.
    Forget,
}

/// A call without an outcome yet.
pub(super) struct OpenCall {
    /// `None` for a call whose message is unknown.
    pub message: Option<MessageId>,
    pub courier: CourierId,
    pub partner: PartnerId,
    pub key: Option<OrderKey>,
    pub began_at: Timestamp,
}

/// A call whose connection was closed before a response, so that it may still be running.
#[derive(Clone, Copy)]
pub(super) struct AbortedCall {
    pub at: Timestamp,
    pub message: MessageId,
    pub entry: Entry,
}

/// The messages of one order key at one courier.
#[derive(Default)]
pub(super) struct OrderKeyState {
    /// Messages in the order in which they were enqueued. Those that are final are removed from the front.
    pub queue: VecDeque<MessageId>,
    /// The last aborted call.
    pub last_aborted: Option<AbortedCall>,
}

/// A retry-after time that a partner gave to a courier.
pub(super) struct RetryAfter {
    pub received_at: Timestamp,
    pub until: Timestamp,
    pub entry: Entry,
}

/// An outage of a partner, and the slow start that follows.
pub(super) struct Outage {
    /// Couriers that saw a call fail during the outage.
    pub informed_couriers: BTreeSet<CourierId>,
    /// The slow start, once the partner is back.
    pub slow_start: Option<SlowStart>,
    pub evidence: VecDeque<Entry>,
}

impl Outage {
    /// An outage that begins with this trace entry.
    pub fn new(entry: Entry) -> Self {
        Outage { informed_couriers: BTreeSet::new(), slow_start: None, evidence: [entry].into() }
    }

    /// Adds an entry to the evidence. If that is full, the oldest entry that is not pinned is dropped.
    pub fn record(&mut self, entry: Entry) {
        while self.evidence.len() >= MAX_OUTAGE_EVIDENCE {
            self.evidence.remove(PINNED_OUTAGE_EVIDENCE);
        }
        self.evidence.push_back(entry);
    }
}
