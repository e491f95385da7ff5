//! Messages between a subscriber (a courier or a relay) and what it subscribes to (a relay or the source).

mod from_relay;
mod to_relay;

use serde::{Deserialize, Serialize};

pub use self::from_relay::*;
pub use self::to_relay::*;
use crate::limits::{BACKOFF_MAX, DIGESTS_PER_MESSAGE, LEASE, MAX_SCOPES};

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
