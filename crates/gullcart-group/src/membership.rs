//! Who a process is, and who is let in. A voter's promises are in its folder: a process whose folder was lost, or is an older
//! copy, is not the one that voted, and must not vote as if it were.
//!
//! A folder is born with a number drawn by chance, and knows which folder it is: a copy of it elsewhere, or put back, is not
//! the same one. Voters remember each other's births. A voter whose folder is new votes only once every other voter has said
//! that it knows of no older birth of it: at the first start of the group, when all have to be there once. Whoever is known by
//! another birth stays outside until an operator replaces it.

use crate::types::{Incarnation, MemberId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// Drawn when a folder is born; never 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FolderId(pub u64);

/// By what a folder knows that it is itself: device, inode and birth of a file in it that is never written anew.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FolderFingerprint {
    /// The device.
    pub device: u64,
    /// The file.
    pub inode: u64,
    /// When it was made, in nanoseconds of the file system's time; 0 where that is not known.
    pub created_ns: u64,
}

/// What a folder says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaIdentity {
    /// Its birth.
    pub folder_id: FolderId,
    /// The folder it was born in.
    pub fingerprint: FolderFingerprint,
    /// Starts so far.
    pub incarnation: Incarnation,
    /// Processes that went on in this life before this one: an upgrade keeps it.
    pub handovers: u64,
    /// Every other voter has said once that it knows of no other birth.
    pub is_proven: bool,
    /// Births of others.
    pub known_folders: BTreeMap<MemberId, FolderId>,
}

/// As what a process left its folder to the one that goes on in its place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FolderHandover {
    folder_id: FolderId,
    incarnation: Incarnation,
    handovers: u64,
}

impl ReplicaIdentity {
    /// As what the folder is left.
    pub fn handover(&self) -> FolderHandover {
        FolderHandover { folder_id: self.folder_id, incarnation: self.incarnation, handovers: self.handovers }
    }
}

/// Whose folder this is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FolderOrigin {
    /// That of the process before: it goes on, one life later.
    Restarted(ReplicaIdentity),
    /// That of the process before, just as it left it to this one: it goes on in the same life. Who left it and comes back finds
    /// that somebody else went on meanwhile, if so, and begins a life of its own.
    Continued(ReplicaIdentity),
    /// A new one.
    New(ReplicaIdentity),
    /// A copy, or one that was put back: what it says may be older than what was promised. It begins as a new one.
    Copied(ReplicaIdentity),
}

impl FolderOrigin {
    /// Classifies a folder by the identity stored in it, its actual fingerprint, and the state in which the previous process
    /// claims to have left it. A new folder gets `random_id`.
    pub fn determine(
        stored: Option<ReplicaIdentity>,
        fingerprint: FolderFingerprint,
        random_id: u64,
        handover: Option<FolderHandover>,
    ) -> Self {
        let new = ReplicaIdentity {
            folder_id: FolderId(random_id.max(1)),
            fingerprint,
            incarnation: Incarnation(1),
            handovers: 0,
            is_proven: false,
            known_folders: BTreeMap::new(),
        };
        match stored {
            None => FolderOrigin::New(new),
            Some(stored) if stored.fingerprint == fingerprint && handover == Some(stored.handover()) => {
                FolderOrigin::Continued(ReplicaIdentity { handovers: stored.handovers + 1, ..stored })
            }
            Some(stored) if stored.fingerprint == fingerprint => FolderOrigin::Restarted(ReplicaIdentity {
                incarnation: Incarnation(stored.incarnation.0 + 1),
                handovers: 0,
                ..stored
            }),
            Some(_) => FolderOrigin::Copied(new),
        }
    }

    /// What it says of itself from now on.
    pub fn into_identity(self) -> ReplicaIdentity {
        match self {
            FolderOrigin::Restarted(identity)
            | FolderOrigin::Continued(identity)
            | FolderOrigin::New(identity)
            | FolderOrigin::Copied(identity) => identity,
        }
    }
}

/// What processes say to each other first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handshake {
    /// Who.
    pub member: MemberId,
    /// By which birth.
    pub folder_id: FolderId,
    /// In which life.
    pub incarnation: Incarnation,
    /// By which birth it knows the other one, if it does.
    pub expected_folder_id: Option<FolderId>,
}

/// Why somebody is not let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum AdmissionError {
    /// Nobody of that number belongs to the group.
    #[error("{0} is not a member")]
    NotMember(MemberId),
    /// The member is known with another folder: that one was lost, or this one is a copy.
    #[error("{0} does not have the folder that is known for it; if that folder is lost for good, replace the member")]
    DifferentFolder(MemberId),
    /// It says it is this process.
    #[error("{0} is also running elsewhere")]
    DuplicateMember(MemberId),
}

/// The door of one process.
#[derive(Clone, Debug)]
pub struct Membership {
    me: MemberId,
    members: BTreeSet<MemberId>,
    voters: BTreeSet<MemberId>,
    identity: ReplicaIdentity,
    /// Voters that said they know of no other birth of this one.
    vouching_voters: BTreeSet<MemberId>,
    /// Somebody knows this member by another birth.
    has_different_folder: bool,
}

impl Membership {
    /// A process that knows who belongs to the group.
    pub fn new(me: MemberId, members: &[MemberId], voters: &[MemberId], identity: ReplicaIdentity) -> Self {
        Membership {
            me,
            members: members.iter().copied().collect(),
            voters: voters.iter().copied().collect(),
            identity,
            vouching_voters: BTreeSet::new(),
            has_different_folder: false,
        }
    }

    /// What the folder says.
    pub fn identity(&self) -> &ReplicaIdentity {
        &self.identity
    }

    /// What to say to another one.
    pub fn handshake(&self, to: MemberId) -> Handshake {
        let ReplicaIdentity { folder_id, incarnation, known_folders, .. } = &self.identity;
        Handshake {
            member: self.me,
            folder_id: *folder_id,
            incarnation: *incarnation,
            expected_folder_id: known_folders.get(&to).copied(),
        }
    }

    /// Another one says who it is. Whether what the folder says has changed by it, and is to be kept before anything else.
    pub fn admit(&mut self, handshake: Handshake) -> Result<bool, AdmissionError> {
        let Handshake { member, folder_id, expected_folder_id, .. } = handshake;
        if member == self.me {
            return Err(AdmissionError::DuplicateMember(member));
        }
        if !self.members.contains(&member) {
            return Err(AdmissionError::NotMember(member));
        }
        if self.identity.known_folders.get(&member).is_some_and(|known| *known != folder_id) {
            return Err(AdmissionError::DifferentFolder(member));
        }
        let mut changed = self.identity.known_folders.insert(member, folder_id).is_none();
        if expected_folder_id.is_some_and(|expected| expected != self.identity.folder_id) {
            self.has_different_folder = true;
        } else if self.voters.contains(&member) {
            self.vouching_voters.insert(member);
        }
        let is_confirmed =
            self.voters.iter().all(|voter| *voter == self.me || self.vouching_voters.contains(voter));
        if is_confirmed
            && !self.has_different_folder
            && !self.identity.is_proven
            && self.voters.contains(&self.me)
        {
            self.identity.is_proven = true;
            changed = true;
        }
        Ok(changed)
    }

    /// Who belongs to the group from now on. Births that are known stay known: a number is its courier's own for good.
    pub fn set_members(&mut self, members: &[MemberId]) {
        self.members = members.iter().copied().collect();
    }

    /// Whether somebody belongs to the group.
    pub fn is_member(&self, member: MemberId) -> bool {
        self.members.contains(&member)
    }

    /// Whether this process may vote.
    pub fn may_vote(&self) -> bool {
        self.identity.is_proven && !self.has_different_folder && self.voters.contains(&self.me)
    }

    /// Whether the group knows this member by another folder.
    pub fn has_different_folder(&self) -> bool {
        self.has_different_folder
    }
}

#[cfg(test)]
mod tests;
