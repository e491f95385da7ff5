//! What the group has agreed on: who gave signs of life, and who holds which duty under which epoch. Every voter comes to
//! the same table from the same commands; nothing here knows a clock.
//!
//! Commands may come twice, late, and behind newer ones, as they are proposed again by whoever does not hear of them: each
//! says what it was proposed on, and does nothing where that is no longer so. A stretch of commands that is taken in once more
//! from its beginning to the last one changes nothing: the library does that where it joins what it compacted.

use crate::vocabulary::{Beat, Duty, Epoch, Life, MemberId, Words};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Members that are remembered, and duties that are held, at most.
pub const MOST_MEMBERS: usize = 1024;
/// Duties held at a time at most.
pub const MOST_DUTIES: usize = 16_384;
/// Duties of which something was told, at most.
const MOST_NOTES: usize = 1024;

/// What is agreed on, one after the other.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Command {
    /// A member gave a sign of life, and wants to hold its duties on, or to claim one.
    Beat {
        /// Who.
        member: MemberId,
        /// In which start of its process.
        life: Life,
        /// Its number, higher than those before.
        beat: Beat,
        /// What it asks for with it.
        claim: Option<Duty>,
    },
    /// A holder gives a duty up.
    Release {
        /// Who.
        member: MemberId,
        /// In which life.
        life: Life,
        /// Which.
        duty: Duty,
        /// As it was granted.
        epoch: Epoch,
    },
    /// A holder tells all that want a duty something of it.
    Note {
        /// Who.
        member: MemberId,
        /// In which life.
        life: Life,
        /// Of which.
        duty: Duty,
        /// As it was granted.
        epoch: Epoch,
        /// What.
        words: Words,
    },
    /// A voter has not heard from a member for longer than its lease since this sign of life.
    Expire {
        /// Who.
        member: MemberId,
        /// In which life.
        life: Life,
        /// Its last sign of life that the voter knows of.
        beat: Beat,
    },
}

/// A member that may hold duties.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Session {
    /// In which life.
    pub life: Life,
    /// The last sign of life.
    pub beat: Beat,
}

/// A duty that is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// By whom.
    pub holder: MemberId,
    /// In which life.
    pub life: Life,
    /// Under which epoch.
    pub epoch: Epoch,
}

/// What a holder told last of a duty; it outlasts its grant.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Note {
    /// Under which epoch.
    pub epoch: Epoch,
    /// What.
    pub words: Words,
}

/// Guards of the table that a test can take out.
#[cfg(feature = "unguarded")]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Unguarded {
    /// A lease ends though signs of life came after the one it is to have ended with.
    pub expires_whatever_came_since: bool,
    /// A new life takes over what the one before holds.
    pub new_life_inherits: bool,
    /// A duty that is held is granted to who claims it.
    pub grants_what_is_held: bool,
    /// Epochs begin anew when a duty was given up.
    pub epochs_begin_anew: bool,
    /// Who held a duty once is listened to.
    pub listens_to_past_holders: bool,
}

/// The agreed table.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Table {
    /// The last epoch that was granted.
    epoch: Epoch,
    /// The newest life of each member, and its last sign of life: older ones are never listened to again.
    lives: BTreeMap<MemberId, Session>,
    /// Members that may hold something.
    sessions: BTreeMap<MemberId, Session>,
    duties: BTreeMap<Duty, Grant>,
    notes: BTreeMap<Duty, Note>,
}

impl Table {
    /// Members that may hold something.
    pub fn sessions(&self) -> impl Iterator<Item = (MemberId, Session)> + '_ {
        self.sessions.iter().map(|(member, session)| (*member, *session))
    }

    /// The session of a member.
    pub fn session(&self, member: MemberId) -> Option<Session> {
        self.sessions.get(&member).copied()
    }

    /// The newest life that was heard of.
    pub fn newest_life(&self, member: MemberId) -> Option<Life> {
        self.lives.get(&member).map(|session| session.life)
    }

    /// Who holds a duty.
    pub fn grant(&self, duty: &Duty) -> Option<Grant> {
        self.duties.get(duty).copied()
    }

    /// What was told last of a duty.
    pub fn note(&self, duty: &Duty) -> Option<&Note> {
        self.notes.get(duty)
    }

    /// All that is held.
    pub fn grants(&self) -> impl Iterator<Item = (&Duty, Grant)> + '_ {
        self.duties.iter().map(|(duty, grant)| (duty, *grant))
    }

    /// Takes in what was agreed on next; duties that have another holder, or none, or of which something was told by it.
    pub fn apply(&mut self, command: &Command) -> Vec<Duty> {
        self.apply_guarded(
            command,
            #[cfg(feature = "unguarded")]
            Unguarded::default(),
        )
    }

    /// The same, without some guards.
    #[cfg(feature = "unguarded")]
    pub fn apply_without(&mut self, command: &Command, unguarded: Unguarded) {
        self.apply_guarded(command, unguarded);
    }

    fn apply_guarded(
        &mut self,
        command: &Command,
        #[cfg(feature = "unguarded")] unguarded: Unguarded,
    ) -> Vec<Duty> {
        let mut changed = Vec::new();
        match command {
            Command::Beat { member, life, beat, claim } => {
                let now = Session { life: *life, beat: *beat };
                // An older life, or a sign of life that newer ones have passed.
                if self.lives.get(member).is_some_and(|newest| now <= *newest) {
                    return changed;
                }
                if self.lives.len() >= MOST_MEMBERS && !self.lives.contains_key(member) {
                    return changed;
                }
                self.lives.insert(*member, now);
                let session = self.sessions.entry(*member).or_insert(now);
                // The process before may not know that it is over. What it holds stays its own until its lease has run out,
                // which nothing renews from now on.
                #[cfg(feature = "unguarded")]
                if unguarded.new_life_inherits && session.life < now.life {
                    session.life = now.life;
                    for grant in self.duties.values_mut().filter(|grant| grant.holder == *member) {
                        grant.life = now.life;
                    }
                }
                if session.life != now.life {
                    return changed;
                }
                *session = now;
                let Some(duty) = claim else { return changed };
                let is_held = self.duties.contains_key(duty);
                #[cfg(feature = "unguarded")]
                let is_held = is_held && !unguarded.grants_what_is_held;
                if !is_held && self.duties.len() < MOST_DUTIES {
                    // One count for all duties: it goes on whatever becomes of them.
                    self.epoch.0 += 1;
                    let grant = Grant { holder: *member, life: *life, epoch: self.epoch };
                    self.duties.insert(duty.clone(), grant);
                    changed.push(duty.clone());
                }
            }
            Command::Release { member, life, duty, epoch } => {
                let given = Grant { holder: *member, life: *life, epoch: *epoch };
                if self.duties.get(duty) == Some(&given) {
                    self.duties.remove(duty);
                    changed.push(duty.clone());
                    #[cfg(feature = "unguarded")]
                    if unguarded.epochs_begin_anew {
                        self.epoch = Epoch(0);
                    }
                }
            }
            Command::Note { member, life, duty, epoch, words } => {
                let given = Grant { holder: *member, life: *life, epoch: *epoch };
                let is_given = self.duties.get(duty) == Some(&given);
                #[cfg(feature = "unguarded")]
                let is_given = is_given || unguarded.listens_to_past_holders;
                let note = Note { epoch: *epoch, words: words.clone() };
                if !is_given || self.notes.get(duty) == Some(&note) {
                    return changed;
                }
                if self.notes.len() >= MOST_NOTES && !self.notes.contains_key(duty) {
                    // The one of longest ago.
                    let oldest = self.notes.iter().min_by_key(|(_, note)| note.epoch);
                    if let Some(oldest) = oldest.map(|(duty, _)| duty.clone()) {
                        self.notes.remove(&oldest);
                    }
                }
                self.notes.insert(duty.clone(), note);
                changed.push(duty.clone());
            }
            Command::Expire { member, life, beat } => {
                let last = Session { life: *life, beat: *beat };
                let is_last = self.sessions.get(member) == Some(&last);
                #[cfg(feature = "unguarded")]
                let is_last = is_last
                    || (unguarded.expires_whatever_came_since
                        && self.sessions.get(member).is_some_and(|session| session.life == *life));
                if is_last {
                    self.sessions.remove(member);
                    self.duties.retain(|duty, grant| {
                        let stays = grant.holder != *member;
                        if !stays {
                            changed.push(duty.clone());
                        }
                        stays
                    });
                }
            }
        }
        changed
    }
}

#[cfg(test)]
mod tests;
