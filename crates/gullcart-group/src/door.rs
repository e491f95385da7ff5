//! Who a process is, and who is let in. A voter's promises are in its folder: a process whose folder was lost, or is an older
//! copy, is not the one that voted, and must not vote as if it were.
//!
//! A folder is born with a number drawn by chance, and knows which folder it is: a copy of it elsewhere, or put back, is not
//! the same one. Voters remember each other's births. A voter whose folder is new votes only once every other voter has said
//! that it knows of no older birth of it: at the first start of the group, when all have to be there once. Whoever is known by
//! another birth stays outside until an operator replaces it.

use crate::vocabulary::{Life, MemberId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// Drawn when a folder is born; never 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Birth(pub u64);

/// By what a folder knows that it is itself: device, inode and birth of a file in it that is never written anew.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// The device.
    pub device: u64,
    /// The file.
    pub inode: u64,
    /// When it was made, in nanoseconds of the file system's time; 0 where that is not known.
    pub made_ns: u64,
}

/// What a folder says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Passport {
    /// Its birth.
    pub birth: Birth,
    /// The folder it was born in.
    pub mark: Mark,
    /// Starts so far.
    pub life: Life,
    /// Processes that went on in this life before this one: an upgrade keeps it.
    pub hand: u64,
    /// Every other voter has said once that it knows of no other birth.
    pub is_proven: bool,
    /// Births of others.
    pub known: BTreeMap<MemberId, Birth>,
}

/// As what a process left its folder to the one that goes on in its place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Left {
    birth: Birth,
    life: Life,
    hand: u64,
}

impl Passport {
    /// As what the folder is left.
    pub fn left(&self) -> Left {
        Left { birth: self.birth, life: self.life, hand: self.hand }
    }
}

/// Whose folder this is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Origin {
    /// That of the process before: it goes on, one life later.
    Same(Passport),
    /// That of the process before, just as it left it to this one: it goes on in the same life. Who left it and comes back finds
    /// that somebody else went on meanwhile, if so, and begins a life of its own.
    GoesOn(Passport),
    /// A new one.
    New(Passport),
    /// A copy, or one that was put back: what it says may be older than what was promised. It begins as a new one.
    Copied(Passport),
}

impl Origin {
    /// Judges a folder at a start, by what it says, what is seen of it, and what a process that gave itself up to this one says
    /// that it left. `chance` gives a new one its birth.
    pub fn of(kept: Option<Passport>, seen: Mark, chance: u64, left: Option<Left>) -> Self {
        let new = Passport {
            birth: Birth(chance.max(1)),
            mark: seen,
            life: Life(1),
            hand: 0,
            is_proven: false,
            known: BTreeMap::new(),
        };
        match kept {
            None => Origin::New(new),
            Some(kept) if kept.mark == seen && left == Some(kept.left()) => {
                Origin::GoesOn(Passport { hand: kept.hand + 1, ..kept })
            }
            Some(kept) if kept.mark == seen => {
                Origin::Same(Passport { life: Life(kept.life.0 + 1), hand: 0, ..kept })
            }
            Some(_) => Origin::Copied(new),
        }
    }

    /// What it says of itself from now on.
    pub fn passport(self) -> Passport {
        match self {
            Origin::Same(passport)
            | Origin::GoesOn(passport)
            | Origin::New(passport)
            | Origin::Copied(passport) => passport,
        }
    }
}

/// What processes say to each other first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Card {
    /// Who.
    pub member: MemberId,
    /// By which birth.
    pub birth: Birth,
    /// In which life.
    pub life: Life,
    /// By which birth it knows the other one, if it does.
    pub knows_you: Option<Birth>,
}

/// Why somebody is not let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Turned {
    /// Nobody of that number belongs to the group.
    #[error("{0} is not a member")]
    Stranger(MemberId),
    /// Another folder was known by that name: it was lost, or is a copy.
    #[error("{0} has another folder than the one that is known; if that one is lost for good, replace it")]
    Changed(MemberId),
    /// It says it is this process.
    #[error("{0} is also running elsewhere")]
    Twin(MemberId),
}

/// The door of one process.
#[derive(Clone, Debug)]
pub struct Door {
    me: MemberId,
    members: BTreeSet<MemberId>,
    voters: BTreeSet<MemberId>,
    passport: Passport,
    /// Voters that said they know of no other birth of this one.
    vouched: BTreeSet<MemberId>,
    /// Somebody knows this member by another birth.
    is_stranger: bool,
}

impl Door {
    /// A process that knows who belongs to the group.
    pub fn new(me: MemberId, members: &[MemberId], voters: &[MemberId], passport: Passport) -> Self {
        Door {
            me,
            members: members.iter().copied().collect(),
            voters: voters.iter().copied().collect(),
            passport,
            vouched: BTreeSet::new(),
            is_stranger: false,
        }
    }

    /// What the folder says.
    pub fn passport(&self) -> &Passport {
        &self.passport
    }

    /// What to say to another one.
    pub fn card(&self, to: MemberId) -> Card {
        let Passport { birth, life, known, .. } = &self.passport;
        Card { member: self.me, birth: *birth, life: *life, knows_you: known.get(&to).copied() }
    }

    /// Another one says who it is. Whether what the folder says has changed by it, and is to be kept before anything else.
    pub fn meet(&mut self, card: Card) -> Result<bool, Turned> {
        let Card { member, birth, knows_you, .. } = card;
        if member == self.me {
            return Err(Turned::Twin(member));
        }
        if !self.members.contains(&member) {
            return Err(Turned::Stranger(member));
        }
        if self.passport.known.get(&member).is_some_and(|known| *known != birth) {
            return Err(Turned::Changed(member));
        }
        let mut changed = self.passport.known.insert(member, birth).is_none();
        if knows_you.is_some_and(|known| known != self.passport.birth) {
            self.is_stranger = true;
        } else if self.voters.contains(&member) {
            self.vouched.insert(member);
        }
        let all = self.voters.iter().all(|voter| *voter == self.me || self.vouched.contains(voter));
        if all && !self.is_stranger && !self.passport.is_proven && self.voters.contains(&self.me) {
            self.passport.is_proven = true;
            changed = true;
        }
        Ok(changed)
    }

    /// Who belongs to the group from now on. Births that are known stay known: a number is its courier's own for good.
    pub fn belong(&mut self, members: &[MemberId]) {
        self.members = members.iter().copied().collect();
    }

    /// Whether somebody belongs to the group.
    pub fn is_member(&self, member: MemberId) -> bool {
        self.members.contains(&member)
    }

    /// Whether this process may vote.
    pub fn may_vote(&self) -> bool {
        self.passport.is_proven && !self.is_stranger && self.voters.contains(&self.me)
    }

    /// Whether the group knows this member by another folder.
    pub fn is_stranger(&self) -> bool {
        self.is_stranger
    }
}

#[cfg(test)]
mod tests;
