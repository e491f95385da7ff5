//! The replicated state machine: members' sessions, and which member holds which duty under which epoch. Every voter computes
//! the same table from the same commands. It uses no clock.
//!
//! Commands are proposed again when their result is not seen, so they may be applied twice, late, or after newer ones. Each
//! command therefore names the state that it was based on, and has no effect if that state has changed. Applying a range of
//! commands a second time, from its first to its last, changes nothing.

use crate::types::{Duty, Epoch, HeartbeatNumber, Incarnation, MemberId, Payload};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum number of members in a group. Heartbeats of further members are ignored.
pub const MAX_MEMBERS: usize = 1024;
/// Maximum number of duties held at a time.
pub const MAX_DUTIES: usize = 16_384;
/// Maximum number of duties for which the table keeps a note.
const MAX_NOTES: usize = 1024;

/// A command of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Command {
    /// Renews a member's session, and optionally claims a duty.
    Heartbeat {
        /// The member that sends the heartbeat.
        member: MemberId,
        /// The incarnation of the sender.
        incarnation: Incarnation,
        /// The number of the heartbeat; higher than those of all earlier ones in this incarnation.
        heartbeat: HeartbeatNumber,
        /// The duty to claim.
        claim: Option<Duty>,
    },
    /// Releases a duty.
    Release {
        /// The holder.
        member: MemberId,
        /// The incarnation of the holder.
        incarnation: Incarnation,
        /// The duty to release.
        duty: Duty,
        /// The epoch of the grant.
        epoch: Epoch,
    },
    /// Publishes a note of the holder about its duty to all members that watch it.
    Note {
        /// The holder.
        member: MemberId,
        /// The incarnation of the holder.
        incarnation: Incarnation,
        /// The duty that the note is about.
        duty: Duty,
        /// The epoch of the grant.
        epoch: Epoch,
        /// The contents of the note.
        payload: Payload,
    },
    /// Ends a member's session, because a voter has observed no newer heartbeat for longer than the lease.
    Expire {
        /// The member whose lease has run out.
        member: MemberId,
        /// The incarnation of the session.
        incarnation: Incarnation,
        /// The last heartbeat that the voter has observed.
        heartbeat: HeartbeatNumber,
    },
}

/// The session of a member: while it lasts, the member may hold duties.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Session {
    /// The incarnation that owns the session.
    pub incarnation: Incarnation,
    /// The last heartbeat.
    pub heartbeat: HeartbeatNumber,
}

/// The grant of a duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// The member that holds the duty.
    pub holder: MemberId,
    /// The incarnation of the holder.
    pub incarnation: Incarnation,
    /// The epoch of the grant.
    pub epoch: Epoch,
}

/// The last note that a holder published about a duty. It outlasts the grant.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Note {
    /// The epoch under which it was published.
    pub epoch: Epoch,
    /// The contents of the note.
    pub payload: Payload,
}

/// Safety checks of the table that tests can disable.
#[cfg(feature = "unguarded")]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct DisabledGuards {
    /// A session expires although newer heartbeats than the named one were applied.
    pub expire_despite_newer_heartbeat: bool,
    /// A new incarnation takes over the duties of the one before.
    pub new_incarnation_inherits: bool,
    /// A duty that is already held is granted again.
    pub grant_held_duties: bool,
    /// Epochs restart when a duty is released.
    pub reset_epochs: bool,
    /// Notes of members that no longer hold the duty are accepted.
    pub accept_notes_of_past_holders: bool,
}

/// The replicated table.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Table {
    /// The last epoch that was granted.
    last_epoch: Epoch,
    /// The newest incarnation and heartbeat of each member, also of members without a session. Older ones are ignored for good.
    latest_heartbeats: BTreeMap<MemberId, Session>,
    /// The sessions of members that may hold duties.
    sessions: BTreeMap<MemberId, Session>,
    grants: BTreeMap<Duty, Grant>,
    notes: BTreeMap<Duty, Note>,
}

impl Table {
    /// The sessions of members that may hold duties.
    pub fn sessions(&self) -> impl Iterator<Item = (MemberId, Session)> + '_ {
        self.sessions.iter().map(|(member, session)| (*member, *session))
    }

    /// The session of a member.
    pub fn session(&self, member: MemberId) -> Option<Session> {
        self.sessions.get(&member).copied()
    }

    /// The newest known incarnation of a member.
    pub fn newest_incarnation(&self, member: MemberId) -> Option<Incarnation> {
        self.latest_heartbeats.get(&member).map(|session| session.incarnation)
    }

    /// The current grant of a duty.
    pub fn grant(&self, duty: &Duty) -> Option<Grant> {
        self.grants.get(duty).copied()
    }

    /// The last note about a duty.
    pub fn note(&self, duty: &Duty) -> Option<&Note> {
        self.notes.get(duty)
    }

    /// All current grants.
    pub fn grants(&self) -> impl Iterator<Item = (&Duty, Grant)> + '_ {
        self.grants.iter().map(|(duty, grant)| (duty, *grant))
    }

    /// Applies a command. Returns the duties whose holder or note has changed.
    pub fn apply(&mut self, command: &Command) -> Vec<Duty> {
        self.apply_guarded(
            command,
            #[cfg(feature = "unguarded")]
            DisabledGuards::default(),
        )
    }

    /// Applies a command with safety checks disabled.
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
                // From an older incarnation, or older than a heartbeat that was already applied.
                if self.latest_heartbeats.get(member).is_some_and(|newest| current <= *newest) {
                    return changed;
                }
                if self.latest_heartbeats.len() >= MAX_MEMBERS && !self.latest_heartbeats.contains_key(member)
                {
                    return changed;
                }
                self.latest_heartbeats.insert(*member, current);
                let session = self.sessions.entry(*member).or_insert(current);
                // The process of the old incarnation may still be running. Its duties stay with it until its lease has expired;
                // its heartbeats no longer renew that lease.
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
                    // One counter for all duties, which is never reset.
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
                    // Evicts the note with the oldest epoch.
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
