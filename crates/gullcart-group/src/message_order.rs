//! Words of voters in the order in which they were said, each once, between the runs that said them and that they were said to.
//!
//! The library is made for that, and for words that are lost; a word that comes late breaks it. An answer of an earlier go at
//! taking a voter up (`AcceptSync`), heard after a later one, cuts entries off its log that it has told others of, and
//! what was decided with them is undecided: seen on one random day in some 14,000. Connections keep the order each for itself,
//! but what was said on one may be read after what was said on the next.

use crate::types::{Incarnation, MemberId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One go of a voter, from when it began with what was kept of it until it ends. Each is higher than all before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RunId {
    /// In which start of its process.
    pub incarnation: Incarnation,
    /// In which process of that life.
    pub handovers: u64,
    /// How often it had begun before in that process.
    pub restarts: u64,
}

/// From which run to which a word goes, and where it stands among the words of the first to that member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MessageStamp {
    from: RunId,
    /// None where the sender has not heard of any.
    to: Option<RunId>,
    number: u64,
}

/// What to do with a word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reception {
    /// Listen to it.
    InOrder,
    /// It was heard, or what came after it was.
    Late,
    /// It was said to another run of this voter, or to none: its sender has to be told of this one.
    WrongRun,
}

/// The order that one run keeps.
#[derive(Clone, Debug)]
pub struct MessageOrder {
    run: RunId,
    last_sent: BTreeMap<MemberId, u64>,
    /// The newest run of each other voter, and its last word that was listened to.
    last_received: BTreeMap<MemberId, (RunId, u64)>,
}

impl MessageOrder {
    /// A run that has heard of nobody.
    pub fn new(run: RunId) -> Self {
        MessageOrder { run, last_sent: BTreeMap::new(), last_received: BTreeMap::new() }
    }

    /// It begins anew: what was said to it before is not listened to any more.
    pub fn restart(&mut self) {
        self.run.restarts += 1;
        self.last_sent.clear();
    }

    /// The stamp of the next word to a voter.
    pub fn stamp(&mut self, to: MemberId) -> MessageStamp {
        let number = self.last_sent.entry(to).or_default();
        *number += 1;
        MessageStamp { from: self.run, to: self.last_received.get(&to).map(|(run, _)| *run), number: *number }
    }

    /// A word came from a voter.
    pub fn receive(&mut self, from: MemberId, stamp: MessageStamp) -> Reception {
        let (run, last) = self.last_received.entry(from).or_insert((stamp.from, 0));
        if stamp.from < *run {
            return Reception::Late;
        }
        if stamp.from > *run {
            (*run, *last) = (stamp.from, 0);
        }
        if stamp.to != Some(self.run) {
            return Reception::WrongRun;
        }
        if stamp.number <= *last {
            return Reception::Late;
        }
        *last = stamp.number;
        Reception::InOrder
    }
}

#[cfg(test)]
mod tests;
