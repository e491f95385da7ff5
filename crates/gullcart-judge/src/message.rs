//! The state that the judge keeps for each message.

use crate::trace::*;

/// Maximum number of trace entries kept for a message. Beyond it, the oldest one after the enqueue request is dropped.
const MAX_EVIDENCE_ENTRIES: usize = 24;

/// What the reply to an enqueue request obliges the courier to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EnqueueStatus {
    /// The request has no reply yet.
    Unanswered,
    /// The courier accepted the message and has to deliver it or send a notice.
    Accepted,
    /// The courier has no obligation: the request was rejected, failed or timed out, or the courier's folder was lost.
    NoObligation,
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
    /// Whether the courier replied `-BUSY` to the enqueue request. It must not send the message then.
    pub got_busy_reply: bool,
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

    /// Whether the courier is done with the message: it was delivered, its notice was answered, or the courier has no
    /// obligation for it. The next message with the same order key may then be sent.
    pub fn is_final(&self) -> bool {
        self.status == EnqueueStatus::NoObligation
            || self.delivered_at.is_some()
            || self.first_notice.is_some_and(|notice| notice.answered_at.is_some())
    }

    /// Whether the courier accepted the message and has neither delivered it nor sent a notice. A message whose notice
    /// has no answer yet is neither pending nor final.
    pub fn is_pending(&self) -> bool {
        self.status == EnqueueStatus::Accepted && self.delivered_at.is_none() && self.first_notice.is_none()
    }
}
