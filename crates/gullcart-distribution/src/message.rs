//! Messages between a subscriber (a courier or a relay) and what it subscribes to (a relay or the source).

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::digest::{BucketDigests, BucketSet, Digest};
use crate::limits::{BACKOFF_MAX, DIGESTS_PER_MESSAGE, LEASE, MAX_SCOPES};
use crate::position::{Lineage, Position};
use crate::scope::{Change, Scope};

/// A subscriber's number for a session, larger than those of its earlier sessions. Messages of other sessions are not
/// heeded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SessionId(pub u64);

/// The number of a frame in its session, from 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Sequence(pub u64);

/// The number of a renewal in its session, from 1. It ties an answer to the moment the renewal was sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RenewalId(pub u64);

/// Anything that is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// To the relay: begins a session.
    Subscribe(Subscribe),
    /// To the relay: changes the scopes of a session.
    Rescope(Rescope),
    /// To the relay: asks for a new lease.
    Renew(Renew),
    /// To the relay: frames have been taken in.
    Acknowledge(Acknowledge),
    /// To the relay: asks for the buckets of a scope that differ.
    RequestRepair(RequestRepair),
    /// To the subscriber: the session has begun.
    Welcome(Welcome),
    /// To the subscriber: the session is refused or ended.
    Refused(Refused),
    /// To the subscriber: changes.
    Frame(Frame),
    /// To the subscriber: a new lease.
    Renewed(Renewed),
    /// To the subscriber: no new lease.
    NotRenewed(NotRenewed),
    /// To the subscriber: the source has a new writer.
    EpochBegan(EpochBegan),
    /// To the relay: asks for the digest of each scope.
    RequestDigests(RequestDigests),
    /// To the subscriber: the digests of scopes.
    ScopeDigests(ScopeDigests),
}

/// Begins a session; an earlier session of the same connection ends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Subscribe {
    /// The session.
    pub session: SessionId,
    /// The scopes that are wanted; at most [`MAX_SCOPES`].
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

/// Digests of scopes, in answer to [`RequestDigests`]; there may be several of these messages.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScopeDigests {
    /// The session.
    pub session: SessionId,
    /// Where the subscriber's state ends when it comes to this message. The digests are of this position.
    pub at: Position,
    /// The digests; at most [`DIGESTS_PER_MESSAGE`].
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

impl Message {
    /// The session that it belongs to.
    pub fn session(&self) -> SessionId {
        match self {
            Message::Subscribe(message) => message.session,
            Message::Rescope(message) => message.session,
            Message::Renew(message) => message.session,
            Message::Acknowledge(message) => message.session,
            Message::RequestRepair(message) => message.session,
            Message::Welcome(message) => message.session,
            Message::Refused(message) => message.session,
            Message::Frame(message) => message.session,
            Message::Renewed(message) => message.session,
            Message::NotRenewed(message) => message.session,
            Message::EpochBegan(message) => message.session,
            Message::RequestDigests(message) => message.session,
            Message::ScopeDigests(message) => message.session,
        }
    }

    /// Whether its lists and spans keep to the limits; a check for what comes from outside.
    pub fn is_well_formed(&self) -> bool {
        match self {
            Message::Subscribe(message) => message.scopes.len() <= MAX_SCOPES,
            Message::Rescope(message) => message.add.len() + message.remove.len() <= MAX_SCOPES,
            Message::Welcome(message) => message.lineage.is_well_formed(),
            Message::EpochBegan(message) => message.lineage.is_well_formed(),
            Message::Refused(message) => message.retry_after() <= BACKOFF_MAX,
            Message::Frame(message) => message.is_well_formed(),
            Message::Renewed(message) => {
                message.after <= message.upto
                    && message.valid_for() <= LEASE
                    && message.not_leased.len() <= MAX_SCOPES
            }
            Message::Renew(message) => message.without.len() <= MAX_SCOPES,
            Message::ScopeDigests(message) => message.digests.len() <= DIGESTS_PER_MESSAGE,
            Message::Acknowledge(_)
            | Message::RequestRepair(_)
            | Message::NotRenewed(_)
            | Message::RequestDigests(_) => true,
        }
    }
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
