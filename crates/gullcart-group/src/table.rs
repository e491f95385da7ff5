//! What the group has agreed on: who gave signs of life, and who holds which duty under which epoch. Every voter comes to
//! the same table from the same commands; nothing here knows a clock.
//!
//! Commands may come twice, late, and behind newer ones, as they are proposed again by whoever does not hear of them: each
//! says what it was proposed on, and does nothing where that is no longer so. A stretch of commands that is taken in once more
//! from its beginning to the last one changes nothing: the library does that where it joins what it compacted.

use crate::types::{Duty, Epoch, HeartbeatNumber, Incarnation, MemberId, Payload};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Members that are remembered, and duties that are held, at most.
pub const MAX_MEMBERS: usize = 1024;
/// Duties held at a time at most.
pub const MAX_DUTIES: usize = 16_384;
/// Duties of which something was told, at most.
const MAX_NOTES: usize = 1024;

/// What is agreed on, one after the other.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Command {
    /// A member gave a sign of life, and wants to hold its duties on, or to claim one.
    Heartbeat {
        /// Who.
        member: MemberId,
        /// In which start of its process.
        incarnation: Incarnation,
        /// Its number, higher than those before.
        heartbeat: HeartbeatNumber,
        /// What it asks for with it.
        claim: Option<Duty>,
    },
    /// A holder gives a duty up.
    Release {
        /// Who.
        member: MemberId,
        /// In which life.
        incarnation: Incarnation,
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
        incarnation: Incarnation,
        /// Of which.
        duty: Duty,
        /// As it was granted.
        epoch: Epoch,
        /// What.
        payload: Payload,
    },
    /// A voter has not heard from a member for longer than its lease since this sign of life.
    Expire {
        /// Who.
        member: MemberId,
        /// In which life.
        incarnation: Incarnation,
        /// Its last sign of life that the voter knows of.
        heartbeat: HeartbeatNumber,
    },
}

/// A member that may hold duties.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Session {
    /// In which life.
    pub incarnation: Incarnation,
    /// The last sign of life.
    pub heartbeat: HeartbeatNumber,
}

/// A duty that is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// By whom.
    pub holder: MemberId,
    /// In which life.
    pub incarnation: Incarnation,
    /// Under which epoch.
    pub epoch: Epoch,
}

/// What a holder told last of a duty; it outlasts its grant.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Note {
    /// Under which epoch.
    pub epoch: Epoch,
    /// What.
    pub payload: Payload,
}

/// Guards of the table that a test can take out.
#[cfg(feature = "unguarded")]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct DisabledGuards {
    /// A lease ends though signs of life came after the one it is to have ended with.
    pub expire_despite_newer_heartbeat: bool,
    /// A new life takes over what the one before holds.
    pub new_incarnation_inherits: bool,
    /// A duty that is held is granted to who claims it.
    pub grant_held_duties: bool,
    /// Epochs begin anew when a duty was given up.
    pub reset_epochs: bool,
    /// Who held a duty once is listened to.
    pub accept_notes_of_past_holders: bool,
}

/// The agreed table.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Table {
    /// The last epoch that was granted.
    last_epoch: Epoch,
    /// The newest life of each member, and its last sign of life: older ones are never listened to again.
    latest_sessions: BTreeMap<MemberId, Session>,
    /// Members that may hold something.
    sessions: BTreeMap<MemberId, Session>,
    grants: BTreeMap<Duty, Grant>,
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
    pub fn newest_incarnation(&self, member: MemberId) -> Option<Incarnation> {
        self.latest_sessions.get(&member).map(|session| session.incarnation)
    }

    /// Who holds a duty.
    pub fn grant(&self, duty: &Duty) -> Option<Grant> {
        self.grants.get(duty).copied()
    }

    /// What was told last of a duty.
    pub fn note(&self, duty: &Duty) -> Option<&Note> {
        self.notes.get(duty)
    }

    /// All that is held.
    pub fn grants(&self) -> impl Iterator<Item = (&Duty, Grant)> + '_ {
        self.grants.iter().map(|(duty, grant)| (duty, *grant))
    }

    /// Takes in what was agreed on next; duties that have another holder, or none, or of which something was told by it.
    pub fn apply(&mut self, command: &Command) -> Vec<Duty> {
        self.apply_guarded(
            command,
            #[cfg(feature = "unguarded")]
            DisabledGuards::default(),
        )
    }

    /// The same, without some guards.
    #[cfg(feature = "unguarded")]
    pub fn apply_unguarded(&mut self, command: &Command, disabled: DisabledGuards) {
        self.apply_guarded(command, disabled);
    }

    fn apply_guarded(
        &mut self,
        command: &Command,
        #[cfg(feature = "unguarded")] disabled: DisabledGuards,
    ) -> Vec<Duty> {
        let mut changed = Vec::new();
        match command {
            Command::Heartbeat { member, incarnation, heartbeat, claim } => {
                let current = Session { incarnation: *incarnation, heartbeat: *heartbeat };
                // An older life, or a sign of life that newer ones have passed.
                if self.latest_sessions.get(member).is_some_and(|newest| current <= *newest) {
                    return changed;
                }
                if self.latest_sessions.len() >= MAX_MEMBERS && !self.latest_sessions.contains_key(member) {
                    return changed;
                }
                self.latest_sessions.insert(*member, current);
                let session = self.sessions.entry(*member).or_insert(current);
                // The process before may not know that it is over. What it holds stays its own until its lease has run out,
                // which nothing renews from now on.
                #[cfg(feature = "unguarded")]
                if disabled.new_incarnation_inherits && session.incarnation < current.incarnation {
                    session.incarnation = current.incarnation;
                    for grant in self.grants.values_mut().filter(|grant| grant.holder == *member) {
                        grant.incarnation = current.incarnation;
                    }
                }
                if session.incarnation != current.incarnation {
                    return changed;
                }
                *session = current;
                let Some(duty) = claim else { return changed };
                let is_held = self.grants.contains_key(duty);
                #[cfg(feature = "unguarded")]
                let is_held = is_held && !disabled.grant_held_duties;
                if !is_held && self.grants.len() < MAX_DUTIES {
                    // One count for all duties: it goes on whatever becomes of them.
                    self.last_epoch.0 += 1;
                    let grant = Grant { holder: *member, incarnation: *incarnation, epoch: self.last_epoch };
                    self.grants.insert(duty.clone(), grant);
                    changed.push(duty.clone());
                }
            }
            Command::Release { member, incarnation, duty, epoch } => {
                let expected_grant = Grant { holder: *member, incarnation: *incarnation, epoch: *epoch };
                if self.grants.get(duty) == Some(&expected_grant) {
                    self.grants.remove(duty);
                    changed.push(duty.clone());
                    #[cfg(feature = "unguarded")]
                    if disabled.reset_epochs {
                        self.last_epoch = Epoch(0);
                    }
                }
            }
            Command::Note { member, incarnation, duty, epoch, payload } => {
                let expected_grant = Grant { holder: *member, incarnation: *incarnation, epoch: *epoch };
                let is_holder = self.grants.get(duty) == Some(&expected_grant);
                #[cfg(feature = "unguarded")]
                let is_holder = is_holder || disabled.accept_notes_of_past_holders;
                let note = Note { epoch: *epoch, payload: payload.clone() };
                if !is_holder || self.notes.get(duty) == Some(&note) {
                    return changed;
                }
                if self.notes.len() >= MAX_NOTES && !self.notes.contains_key(duty) {
                    // The one of longest ago.
                    let oldest = self.notes.iter().min_by_key(|(_, note)| note.epoch);
                    if let Some(oldest) = oldest.map(|(duty, _)| duty.clone()) {
                        self.notes.remove(&oldest);
                    }
                }
                self.notes.insert(duty.clone(), note);
                changed.push(duty.clone());
            }
            Command::Expire { member, incarnation, heartbeat } => {
                let last = Session { incarnation: *incarnation, heartbeat: *heartbeat };
                let is_last = self.sessions.get(member) == Some(&last);
                #[cfg(feature = "unguarded")]
                let is_last = is_last
                    || (disabled.expire_despite_newer_heartbeat
                        && self
                            .sessions
                            .get(member)
                            .is_some_and(|session| session.incarnation == *incarnation));
                if is_last {
                    self.sessions.remove(member);
                    self.grants.retain(|duty, grant| {
                        let keep = grant.holder != *member;
                        if !keep {
                            changed.push(duty.clone());
                        }
                        keep
                    });
                }
            }
        }
        changed
    }
}

#[cfg(test)]
mod tests;
