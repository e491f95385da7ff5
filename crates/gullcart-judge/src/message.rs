//! What the judge remembers of one hand-in.

use crate::trace::*;

/// Trace lines that are kept of a message; later ones push out those in the middle, never the hand-in.
const PROOF: usize = 24;

/// What a client believes of a hand-in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// No answer yet.
    Asked,
    /// The courier owes its end.
    Taken,
    /// Nothing is owed: refused, in error, given up, or lost with its courier's machine.
    Void,
}

/// The end that a notice told.
#[derive(Clone, Copy, Debug)]
pub struct Noticed {
    pub ended: Ended,
    pub at: At,
    pub answered: Option<At>,
}

/// A message, from its hand-in until it is forgotten.
#[derive(Clone, Debug)]
pub struct Message {
    pub courier: CourierId,
    pub class: ClassId,
    pub key: Option<OrderKey>,
    pub partner: PartnerId,
    pub deadline: At,
    pub standing: Standing,
    pub refused: bool,
    pub delivered: Option<At>,
    pub noticed: Option<Noticed>,
    /// The first call that may have run.
    pub maybe_ran: Option<At>,
    /// Calls that have no outcome yet.
    pub out: Vec<CallId>,
    /// Since when nothing can be done for it any more.
    pub hopeless: Option<At>,
    /// It was already reported as lost, or as kept back.
    pub is_reported: bool,
    pub proof: Vec<Entry>,
}

impl Message {
    pub fn note(&mut self, entry: Entry) {
        if self.proof.len() == PROOF {
            self.proof.remove(1);
        }
        self.proof.push(entry);
    }

    /// Whether some call for it may have run.
    pub fn may_have_run(&self) -> bool {
        self.maybe_ran.is_some() || !self.out.is_empty()
    }

    /// Whether the next one with its key may go.
    pub fn is_over(&self) -> bool {
        self.standing == Standing::Void
            || self.delivered.is_some()
            || self.noticed.is_some_and(|noticed| noticed.answered.is_some())
    }

    /// Whether the courier still owes it an end.
    pub fn is_owed(&self) -> bool {
        self.standing == Standing::Taken && self.delivered.is_none() && self.noticed.is_none()
    }
}
