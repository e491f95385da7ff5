//! The identity of a process, and which other processes it accepts. A voter's promises are stored in its state folder: a process
//! whose folder was lost, or restored from an older copy, does not know these promises, and must not vote.
//!
//! A new folder gets a random id and stores a fingerprint of itself, by which a copy is recognized. Members remember each
//! other's folder ids. A voter with a new folder may vote only after every other voter has confirmed that it knows no other
//! folder id of this member, so all voters have to be reachable once when the group is first started. A member that is known
//! with another folder id stays excluded until an operator replaces it.

use crate::types::{Incarnation, MemberId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// Random id that a folder gets when it is created; never 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FolderId(pub u64);

/// Identifies the folder itself, as opposed to a copy of it, by a file in it that is created once and never rewritten.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FolderFingerprint {
    /// The device that the file is on.
    pub device: u64,
    /// The inode of the file.
    pub inode: u64,
    /// When the file was created, in nanoseconds since the Unix epoch; 0 if the file system does not say.
    pub created_ns: u64,
}

/// The identity of a member, as stored in its folder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaIdentity {
    /// The id of the folder.
    pub folder_id: FolderId,
    /// The fingerprint of the folder in which the identity was created.
    pub fingerprint: FolderFingerprint,
    /// The current incarnation, counted from 1.
    pub incarnation: Incarnation,
    /// How often this incarnation was handed over from one process to the next, as in an upgrade.
    pub handovers: u64,
    /// Every other voter has confirmed that it knows no other folder id of this member.
    pub is_confirmed: bool,
    /// The folder ids of other members.
    pub known_folders: BTreeMap<MemberId, FolderId>,
}

/// Identifies the contents of a folder at a hand-over: a process that continues the member compares them with what it finds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FolderVersion {
    folder_id: FolderId,
    incarnation: Incarnation,
    handovers: u64,
}

impl ReplicaIdentity {
    /// The version of the folder that a process leaves to the next one.
    pub fn folder_version(&self) -> FolderVersion {
        FolderVersion { folder_id: self.folder_id, incarnation: self.incarnation, handovers: self.handovers }
    }
}

/// How the folder that a process finds at its start relates to the member's previous process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FolderOrigin {
    /// The folder of the previous process, which did not hand over. A new incarnation begins.
    Unchanged(ReplicaIdentity),
    /// The folder exactly as the previous process left it to this one, so the incarnation continues. If that process starts
    /// again later, it finds that the handover count has changed, and begins a new incarnation.
    HandedOver(ReplicaIdentity),
    /// A new folder.
    New(ReplicaIdentity),
    /// A copy, or a folder that was restored: its contents may be older than the promises made. It is used as a new folder.
    Copied(ReplicaIdentity),
}

impl FolderOrigin {
    /// Classifies a folder by the identity stored in it, its actual fingerprint, and the version in which the previous process
    /// claims to have left it, if it handed over. A new folder gets `random_id`.
    pub fn determine(
        stored: Option<ReplicaIdentity>,
        fingerprint: FolderFingerprint,
        random_id: u64,
        left_version: Option<FolderVersion>,
    ) -> Self {
        let new = ReplicaIdentity {
            folder_id: FolderId(random_id.max(1)),
            fingerprint,
            incarnation: Incarnation(1),
            handovers: 0,
            is_confirmed: false,
            known_folders: BTreeMap::new(),
        };
        match stored {
            None => FolderOrigin::New(new),
            Some(stored)
                if stored.fingerprint == fingerprint && left_version == Some(stored.folder_version()) =>
            {
                FolderOrigin::HandedOver(ReplicaIdentity { handovers: stored.handovers + 1, ..stored })
            }
            Some(stored) if stored.fingerprint == fingerprint => FolderOrigin::Unchanged(ReplicaIdentity {
                incarnation: Incarnation(stored.incarnation.0 + 1),
                handovers: 0,
                ..stored
            }),
            Some(_) => FolderOrigin::Copied(new),
        }
    }

    /// The identity of the process from now on.
    pub fn into_identity(self) -> ReplicaIdentity {
        match self {
            FolderOrigin::Unchanged(identity)
            | FolderOrigin::HandedOver(identity)
            | FolderOrigin::New(identity)
            | FolderOrigin::Copied(identity) => identity,
        }
    }
}

/// The identity that processes send to each other when they connect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handshake {
    /// The sender.
    pub member: MemberId,
    /// The id of the sender's folder.
    pub folder_id: FolderId,
    /// The incarnation of the sender.
    pub incarnation: Incarnation,
    /// The folder id with which the sender knows the receiver, if any.
    pub expected_folder_id: Option<FolderId>,
}

/// Why a process is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum AdmissionError {
    /// The group has no member with this id.
    #[error("{0} is not a member")]
    NotMember(MemberId),
    /// The member is known with another folder: that one was lost, or this one is a copy.
    #[error("{0} does not have the folder that is known for it; if that folder is lost for good, replace the member")]
    DifferentFolder(MemberId),
    /// The process claims to be this member.
    #[error("{0} is also running elsewhere")]
    DuplicateMember(MemberId),
}

/// The members of the group as one process knows them, and its own identity.
#[derive(Clone, Debug)]
pub struct Membership {
    me: MemberId,
    members: BTreeSet<MemberId>,
    voters: BTreeSet<MemberId>,
    identity: ReplicaIdentity,
    /// Voters that know no other folder id of this member.
    confirming_voters: BTreeSet<MemberId>,
    /// Another member knows this one with another folder id.
    has_different_folder: bool,
}

impl Membership {
    /// Creates the membership of a process.
    pub fn new(me: MemberId, members: &[MemberId], voters: &[MemberId], identity: ReplicaIdentity) -> Self {
        Membership {
            me,
            members: members.iter().copied().collect(),
            voters: voters.iter().copied().collect(),
            identity,
            confirming_voters: BTreeSet::new(),
            has_different_folder: false,
        }
    }

    /// The identity of this process.
    pub fn identity(&self) -> &ReplicaIdentity {
        &self.identity
    }

    /// The handshake to send to another member.
    pub fn handshake(&self, to: MemberId) -> Handshake {
        let ReplicaIdentity { folder_id, incarnation, known_folders, .. } = &self.identity;
        Handshake {
            member: self.me,
            folder_id: *folder_id,
            incarnation: *incarnation,
            expected_folder_id: known_folders.get(&to).copied(),
        }
    }

    /// Checks the handshake of another process. Returns whether the identity of this one has changed, and must be saved before
    /// anything else is done.
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
            self.confirming_voters.insert(member);
        }
        let is_confirmed =
            self.voters.iter().all(|voter| *voter == self.me || self.confirming_voters.contains(voter));
        if is_confirmed
            && !self.has_different_folder
            && !self.identity.is_confirmed
            && self.voters.contains(&self.me)
        {
            self.identity.is_confirmed = true;
            changed = true;
        }
        Ok(changed)
    }

    /// Replaces the set of members. Known folder ids are kept, as a member's id is never given to another one.
    pub fn set_members(&mut self, members: &[MemberId]) {
        self.members = members.iter().copied().collect();
    }

    /// Whether a member belongs to the group.
    pub fn is_member(&self, member: MemberId) -> bool {
        self.members.contains(&member)
    }

    /// Whether this process may vote.
    pub fn may_vote(&self) -> bool {
        self.identity.is_confirmed && !self.has_different_folder && self.voters.contains(&self.me)
    }

    /// Whether another member knows this one with another folder id.
    pub fn has_different_folder(&self) -> bool {
        self.has_different_folder
    }
}

#[cfg(test)]
mod tests;
