//! Messages from a relay or the source.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{RenewalId, Sequence, SessionId};
use crate::digest::{BucketSet, Digest};
use crate::position::{Lineage, Position};
use crate::scope::{Change, Scope};

/// How a session begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Start {
    /// Frames go on from the position that the subscriber asked for.
    Resume,
    /// Frames begin at [`Position::ORIGIN`]; what the subscriber has is replaced when the first complete one is in.
    Snapshot,
}

/// Accepts a session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Welcome {
    /// The session.
    pub session: SessionId,
    /// How it begins.
    pub start: Start,
    /// The epochs of the history.
    pub lineage: Lineage,
    /// Removed keys are known from here on; nobody can resume from an earlier position.
    pub floor: Position,
}

/// Tells that the source has a new writer, before the first frame of its epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EpochBegan {
    /// The session.
    pub session: SessionId,
    /// The epochs of the history.
    pub lineage: Lineage,
}

/// Why a session is refused or ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reason {
    /// Too many snapshots are under way.
    SnapshotsBusy,
    /// The relay has not yet all of the scopes that are wanted, or no state at all.
    NotReady,
    /// The subscriber is ahead of the relay.
    Behind,
    /// The relay's own state was replaced.
    Replaced,
    /// Too many subscribers or scopes.
    Full,
    /// The subscriber broke the protocol.
    Protocol,
}

/// Refuses or ends a session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// The session.
    pub session: SessionId,
    /// Why.
    pub reason: Reason,
    /// The subscriber waits for this long before it subscribes again.
    pub retry_after_millis: u32,
}

/// What a frame is part of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Part {
    /// The whole subscription.
    Subscription,
    /// Some buckets of one scope, to replace what the subscriber has of them.
    Buckets {
        /// The scope.
        scope: Scope,
        /// The buckets.
        buckets: BucketSet,
    },
}

/// Changes, each key with its latest one only, in the order of their positions.
///
/// Frames of one part follow on each other: each begins `after` where the one before ended. Those up to a `complete` one are
/// applied together, as only then is the state one that the source had.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// The session.
    pub session: SessionId,
    /// The number of the frame.
    pub sequence: Sequence,
    /// What it is part of.
    pub part: Part,
    /// Where the frame before it ended; [`Position::ORIGIN`] begins with nothing.
    pub after: Position,
    /// Where it ends.
    pub upto: Position,
    /// Whether the part is that of the source at `upto` with this frame.
    pub complete: bool,
    /// The changes.
    pub changes: Vec<Change>,
}

/// The digest of a scope.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScopeDigest {
    /// The scope.
    pub scope: Scope,
    /// Its digest.
    pub digest: Digest,
}

/// Grants a lease to a subscriber that is current.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewed {
    /// The session.
    pub session: SessionId,
    /// The renewal that is answered.
    pub renewal: RenewalId,
    /// The last frame that was sent.
    pub sequence: Sequence,
    /// Where the last frame or renewal ended; in the scopes of the session nothing changed from there to `upto`.
    pub after: Position,
    /// Up to where the subscriber is current.
    pub upto: Position,
    /// How long the lease lasts from the moment the renewal was sent.
    pub valid_for_micros: u32,
    /// Scopes on which the relay has no lease itself; this one leaves them out.
    pub not_leased: Vec<Scope>,
    /// The digest of all scopes of the lease at `upto`; see [`Digest::of_scope`].
    pub digest: Digest,
}

/// Digests of scopes, in answer to [`super::RequestDigests`]; there may be several of these messages.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScopeDigests {
    /// The session.
    pub session: SessionId,
    /// Where the subscriber's state ends when it comes to this message. The digests are of this position.
    pub at: Position,
    /// The digests; at most [`crate::limits::DIGESTS_PER_MESSAGE`].
    pub digests: Vec<ScopeDigest>,
}

/// Answers a renewal without a lease: the subscriber is not current yet, or the relay has no lease itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NotRenewed {
    /// The session.
    pub session: SessionId,
    /// The renewal that is answered.
    pub renewal: RenewalId,
}

impl Refused {
    /// How long the subscriber waits before it subscribes again.
    pub fn retry_after(&self) -> Duration {
        Duration::from_millis(u64::from(self.retry_after_millis))
    }
}

impl Renewed {
    /// How long the lease lasts from the moment the renewal was sent.
    pub fn valid_for(&self) -> Duration {
        Duration::from_micros(u64::from(self.valid_for_micros))
    }
}

impl Frame {
    /// Whether its changes are in order, behind `after` and not behind `upto`.
    pub fn is_well_formed(&self) -> bool {
        let mut last = self.after;
        for change in &self.changes {
            if change.position <= last {
                return false;
            }
            last = change.position;
        }
        last <= self.upto
    }
}
