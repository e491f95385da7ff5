//! Errors of the state machines. None of them leaves anything half applied: the last good state stays.

use crate::message::{Reason, Sequence};
use crate::position::{Epoch, Position, Revision};
use crate::scope::Scope;

/// A peer said what it may not say, or what does not fit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProtocolError {
    /// The message belongs to an earlier or unknown session. It is not heeded; the session goes on.
    #[error("the message belongs to another session")]
    OtherSession,
    /// The message does not come from this side of a link.
    #[error("a message that this side does not take")]
    WrongDirection,
    /// The message breaks a limit or its own order.
    #[error("the message breaks a limit or its own order")]
    Malformed,
    /// The peer is not known.
    #[error("the peer is not connected")]
    UnknownPeer,
    /// A frame that was taken in comes again.
    #[error("frame {0:?} was taken in before")]
    Repeated(Sequence),
    /// Frames are missing.
    #[error("frame {found:?} where {expected:?} is next")]
    MissingFrame {
        /// The frame that is next.
        expected: Sequence,
        /// The frame that came.
        found: Sequence,
    },
    /// A frame or renewal does not begin where the state ends.
    #[error("changes after {found:?} where the state ends at {expected:?}")]
    Gap {
        /// Where the state ends.
        expected: Position,
        /// Where the changes begin.
        found: Position,
    },
    /// A position that goes back.
    #[error("position {found:?} after {last:?}")]
    WentBack {
        /// The last position.
        last: Position,
        /// The position that came.
        found: Position,
    },
    /// The source or relay speaks for an epoch that is over.
    #[error("epoch {found:?} after {latest:?}")]
    OlderEpoch {
        /// The latest epoch that is known.
        latest: Epoch,
        /// The epoch that came.
        found: Epoch,
    },
    /// Changes of an epoch that was not announced.
    #[error("epoch {0:?} was not announced")]
    UnknownEpoch(Epoch),
    /// A change for a scope that is not subscribed to.
    #[error("{0:?} is not subscribed to")]
    NotSubscribed(Scope),
    /// The digest of all scopes does not fit. No lease is taken, and the digest of each is asked for; the session goes on.
    #[error("the digest of all scopes does not fit")]
    WrongCombinedDigest,
    /// A digest does not fit. The scope is not acted on, and its repair is asked for; the session goes on.
    #[error("the digest of {0:?} does not fit")]
    WrongDigest(Scope),
    /// An answer to a renewal that is not waited for.
    #[error("an answer to a renewal that is not waited for")]
    UnexpectedAnswer,
    /// More entries than a node may hold.
    #[error("more entries than a node may hold")]
    TooManyEntries,
    /// The session was refused or ended by the other side.
    #[error("the session was refused: {0:?}")]
    Refused(Reason),
}

impl ProtocolError {
    /// Whether the session ends with it. The subscriber then begins a new one by itself.
    pub fn ends_session(&self) -> bool {
        !matches!(
            self,
            ProtocolError::OtherSession
                | ProtocolError::Repeated(_)
                | ProtocolError::WrongDigest(_)
                | ProtocolError::WrongCombinedDigest
                | ProtocolError::UnexpectedAnswer
                | ProtocolError::UnknownPeer
        )
    }
}

/// A source does not take a change or an epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SourceError {
    /// The writer's epoch is over.
    #[error("epoch {found:?} is over: {latest:?} has begun")]
    OlderEpoch {
        /// The latest epoch.
        latest: Epoch,
        /// The writer's epoch.
        found: Epoch,
    },
    /// The writer's epoch has not begun.
    #[error("epoch {0:?} has not begun")]
    UnknownEpoch(Epoch),
    /// The source holds as many entries as it may.
    #[error("the source holds as many entries as it may")]
    Full,
    /// Changes that are not in force yet are as many as may wait.
    #[error("too many changes are not in force yet (in force up to {0:?})")]
    TooManyPending(Revision),
}

/// Bytes that are no message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CodecError {
    /// A message longer than is allowed.
    #[error("a message of {length} bytes where at most {limit} are allowed")]
    TooLong {
        /// Bytes of the message.
        length: usize,
        /// Bytes that are allowed.
        limit: usize,
    },
    /// An unknown version of the encoding.
    #[error("version {0} of the encoding is not known")]
    UnknownVersion(u8),
    /// A message without content.
    #[error("an empty message")]
    Empty,
    /// The content is no message.
    #[error("the content is no message")]
    Malformed,
    /// Bytes are left over behind the message.
    #[error("bytes are left over behind the message")]
    TrailingBytes,
    /// The message can't be encoded.
    #[error("the message can't be encoded")]
    NotEncodable,
}
