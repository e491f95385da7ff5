//! Messages between members of a group. Received messages are checked before they are processed.

use crate::log::VoterSnapshot;
use crate::message_order::MessageStamp;
use crate::table::{Command, Grant, Note, Session};
use crate::types::{Duty, Epoch, HeartbeatNumber, Incarnation, MemberId, Payload};
use omnipaxos::messages::Message;
use serde::{Deserialize, Serialize};

/// Maximum number of duties that one member may request, and so watch, or hold.
pub const MAX_WATCHED_DUTIES: usize = 1024;

/// A request of a member to a voter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRequest {
    /// The incarnation of the member.
    pub incarnation: Incarnation,
    /// A heartbeat, if the member holds or claims a duty.
    pub heartbeat: Option<HeartbeatNumber>,
    /// The duty that is claimed with the heartbeat.
    pub claim: Option<Duty>,
    /// Duties to release, with the epochs of their grants.
    pub releases: Vec<(Duty, Epoch)>,
    /// Notes about duties that the member holds.
    pub notes: Vec<(Duty, Epoch, Payload)>,
    /// The duties that the member requests. The voter sends views of their state.
    pub watched_duties: Vec<Duty>,
}

/// The part of the replicated table that concerns one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberView {
    /// The number of commands applied to the table. A view with a lower version than an earlier one is outdated.
    pub version: u64,
    /// The session of the member.
    pub session: Option<Session>,
    /// The newest known incarnation of the member.
    pub newest_incarnation: Option<Incarnation>,
    /// Duties that the member holds, in any incarnation.
    pub held_duties: Vec<(Duty, Incarnation, Epoch)>,
    /// The state of the duties that the member watches.
    pub watched_duties: Vec<WatchedDuty>,
}

/// The state of a duty that a member watches.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchedDuty {
    /// The duty.
    pub duty: Duty,
    /// The current grant.
    pub grant: Option<Grant>,
    /// The last note, and the minimum number of microseconds since it was decided. `None` also if the note was decided before
    /// the reporting voter was started, which then does not know its age.
    pub note: Option<(Note, u64)>,
}

/// A message between two processes of the group.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A message of the consensus library, between voters.
    Consensus(MessageStamp, Box<Message<Command>>),
    /// The complete state of a voter, for a voter that needs entries which the sender has compacted.
    Snapshot(MessageStamp, Box<VoterSnapshot>),
    /// Tells a voter the current run of the sender, because it addressed a different run.
    CurrentRun(MessageStamp),
    /// From a member to a voter.
    Request(MemberRequest),
    /// From a voter to a member.
    View(MemberView),
}

/// Why a message is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// The sender or receiver named in the message differs from the actual one.
    #[error("the message names another sender or receiver")]
    Address,
    /// A list in the message is longer than any member needs.
    #[error("the message is too long")]
    TooLong,
    /// Only voters may send or receive this message.
    #[error("the message is only valid from or to a voter")]
    NotVoter,
}

impl PeerMessage {
    /// Checks a message that was received from the authenticated member `from`.
    pub fn check(&self, from: MemberId, to: MemberId, voters: &[MemberId]) -> Result<(), MessageError> {
        match self {
            PeerMessage::Consensus(_, message) => {
                if !(voters.contains(&from) && voters.contains(&to)) {
                    return Err(MessageError::NotVoter);
                }
                let is_addressed = message.get_sender() == from.0 && message.get_receiver() == to.0;
                is_addressed.then_some(()).ok_or(MessageError::Address)
            }
            PeerMessage::Snapshot(..) | PeerMessage::CurrentRun(..) => {
                let are_voters = voters.contains(&from) && voters.contains(&to);
                are_voters.then_some(()).ok_or(MessageError::NotVoter)
            }
            PeerMessage::Request(request) => {
                if !voters.contains(&to) {
                    return Err(MessageError::NotVoter);
                }
                let length =
                    request.watched_duties.len().max(request.releases.len()).max(request.notes.len());
                (length <= MAX_WATCHED_DUTIES).then_some(()).ok_or(MessageError::TooLong)
            }
            PeerMessage::View(view) => {
                if !voters.contains(&from) {
                    return Err(MessageError::NotVoter);
                }
                let length = view.held_duties.len().max(view.watched_duties.len());
                (length <= 2 * MAX_WATCHED_DUTIES).then_some(()).ok_or(MessageError::TooLong)
            }
        }
    }
}
