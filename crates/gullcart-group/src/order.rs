//! Words of voters in the order in which they were said, each once, between the runs that said them and that they were said to.
//!
//! The library is made for that, and for words that are lost; a word that comes late breaks it. An answer of an earlier go at
//! taking a voter up (`AcceptSync`), heard after a later one, cuts entries off its log that it has told others of, and
//! what was decided with them is undecided: seen on one random day in some 14,000. Connections keep the order each for itself,
//! but what was said on one may be read after what was said on the next.

use crate::vocabulary::{Life, MemberId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One go of a voter, from when it began with what was kept of it until it ends. Each is higher than all before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Run {
    /// In which start of its process.
    pub life: Life,
    /// In which process of that life.
    pub hand: u64,
    /// How often it had begun before in that process.
    pub begun: u64,
}

/// From which run to which a word goes, and where it stands among the words of the first to that member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    from: Run,
    /// None where the sender has not heard of any.
    to: Option<Run>,
    number: u64,
}

/// What to do with a word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// Listen to it.
    InOrder,
    /// It was heard, or what came after it was.
    Late,
    /// It was said to another run of this voter, or to none: its sender has to be told of this one.
    Elsewhere,
}

/// The order that one run keeps.
#[derive(Clone, Debug)]
pub struct Order {
    me: Run,
    said: BTreeMap<MemberId, u64>,
    /// The newest run of each other voter, and its last word that was listened to.
    heard: BTreeMap<MemberId, (Run, u64)>,
}

impl Order {
    /// A run that has heard of nobody.
    pub fn new(me: Run) -> Self {
        Order { me, said: BTreeMap::new(), heard: BTreeMap::new() }
    }

    /// It begins anew: what was said to it before is not listened to any more.
    pub fn begin_anew(&mut self) {
        self.me.begun += 1;
        self.said.clear();
    }

    /// The stamp of the next word to a voter.
    pub fn stamp(&mut self, to: MemberId) -> Stamp {
        let number = self.said.entry(to).or_default();
        *number += 1;
        Stamp { from: self.me, to: self.heard.get(&to).map(|(run, _)| *run), number: *number }
    }

    /// A word came from a voter.
    pub fn hear(&mut self, from: MemberId, stamp: Stamp) -> Heard {
        let (run, last) = self.heard.entry(from).or_insert((stamp.from, 0));
        if stamp.from < *run {
            return Heard::Late;
        }
        if stamp.from > *run {
            (*run, *last) = (stamp.from, 0);
        }
        if stamp.to != Some(self.me) {
            return Heard::Elsewhere;
        }
        if stamp.number <= *last {
            return Heard::Late;
        }
        *last = stamp.number;
        Heard::InOrder
    }
}

#[cfg(test)]
mod tests;
