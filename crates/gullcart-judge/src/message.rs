//! The state that the judge keeps for each message.

use crate::trace::*;

/// Maximum number of trace entries kept for a message. Beyond it, the oldest one after the enqueue request is dropped.
const MAX_EVIDENCE_ENTRIES: usize = 24;

/// What the client of a message knows about its enqueue request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EnqueueStatus {
    /// The request has no reply yet.
    Unanswered,
    /// The courier accepted the message and has to deliver it or send a notice.
    Accepted,
    /// The courier has no obligation: the request was rejected, failed or timed out, or the courier's folder was lost.
    Void,
}

/// The first notice for a message.
#[derive(Clone, Copy, Debug)]
pub struct NoticeRecord {
    pub verdict: Verdict,
    pub received_at: Timestamp,
    pub answered_at: Option<Timestamp>,
}

/// A message, from its enqueue request until it is forgotten.
#[derive(Clone, Debug)]
pub struct Message {
    pub courier: CourierId,
    pub class: ClassId,
    pub key: Option<OrderKey>,
    pub partner: PartnerId,
    pub deadline: Timestamp,
    pub status: EnqueueStatus,
    /// Whether the courier rejected the enqueue request with `-BUSY`.
    pub rejected: bool,
    pub delivered_at: Option<Timestamp>,
    pub first_notice: Option<NoticeRecord>,
    /// When the first call that may have run began.
    pub first_possible_run: Option<Timestamp>,
    /// Calls that have no outcome yet.
    pub calls_in_flight: Vec<CallId>,
    /// Since when the message can neither be sent again nor returned, so that a `failed` notice is due.
    pub undeliverable_since: Option<Timestamp>,
    /// Whether the message was already reported as lost, or its failure notice as late.
    pub is_reported: bool,
    pub evidence: Vec<Entry>,
}

impl Message {
    /// Adds an entry to the evidence. The enqueue request at its head is always kept.
    pub fn record(&mut self, entry: Entry) {
        if self.evidence.len() == MAX_EVIDENCE_ENTRIES {
            self.evidence.remove(1);
        }
        self.evidence.push(entry);
    }

    /// Whether some call for the message may have run.
    pub fn may_have_run(&self) -> bool {
        self.first_possible_run.is_some() || !self.calls_in_flight.is_empty()
    }

    /// Whether the next message with the same order key may be sent.
    pub fn is_final(&self) -> bool {
        self.status == EnqueueStatus::Void
            || self.delivered_at.is_some()
            || self.first_notice.is_some_and(|notice| notice.answered_at.is_some())
    }

    /// Whether the courier still has to deliver the message or send a notice for it.
    pub fn is_pending(&self) -> bool {
        self.status == EnqueueStatus::Accepted && self.delivered_at.is_none() && self.first_notice.is_none()
    }
}
