//! Messages to a relay or the source.

use serde::{Deserialize, Serialize};

use super::{RenewalId, Sequence, SessionId};
use crate::digest::BucketDigests;
use crate::position::Position;
use crate::scope::Scope;

/// Begins a session; an earlier session of the same connection ends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Subscribe {
    /// The session.
    pub session: SessionId,
    /// The scopes that are wanted; at most [`crate::limits::MAX_SCOPES`].
    pub scopes: Vec<Scope>,
    /// Where to go on from, if the subscriber has state.
    pub resume: Option<Position>,
    /// Whether removed keys are wanted, too: a relay needs them to let its own subscribers resume.
    pub history: bool,
}

/// Changes the scopes of a session. The contents of added ones come by [`RequestRepair`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rescope {
    /// The session.
    pub session: SessionId,
    /// Scopes that are wanted from now on.
    pub add: Vec<Scope>,
    /// Scopes on which the subscriber acts no longer.
    pub remove: Vec<Scope>,
}

/// What a subscriber has taken in; part of all that it says regularly.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The last frame that was taken in; what is on the way is reckoned from it.
    pub received: Sequence,
    /// Changes up to here are in force at the subscriber and at all below it.
    pub in_force: Position,
}

/// Asks for a new lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renew {
    /// The session.
    pub session: SessionId,
    /// The renewal.
    pub renewal: RenewalId,
    /// What has been taken in.
    pub progress: Progress,
    /// Scopes whose content is not here yet or is known to be wrong; the lease leaves them out.
    pub without: Vec<Scope>,
}

/// Asks for the digest of each scope, after that of all did not fit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestDigests {
    /// The session.
    pub session: SessionId,
}

/// Tells what has been taken in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acknowledge {
    /// The session.
    pub session: SessionId,
    /// What has been taken in.
    pub progress: Progress,
}

/// Asks for the buckets of a scope that differ from these digests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRepair {
    /// The session.
    pub session: SessionId,
    /// The scope.
    pub scope: Scope,
    /// What the subscriber has; none if it has nothing.
    pub digests: Option<BucketDigests>,
}
