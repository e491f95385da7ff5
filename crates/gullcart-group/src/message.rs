//! What members say to each other. Everything that comes from outside is checked before it is listened to.

use crate::log::VoterSnapshot;
use crate::message_order::MessageStamp;
use crate::table::{Command, Grant, Note, Session};
use crate::types::{Duty, Epoch, HeartbeatNumber, Incarnation, MemberId, Payload};
use omnipaxos::messages::Message;
use serde::{Deserialize, Serialize};

/// Duties that one member watches, or holds, at most.
pub const MAX_WATCHED_DUTIES: usize = 1024;

/// What a member asks of a voter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRequest {
    /// In which start of its process.
    pub incarnation: Incarnation,
    /// A sign of life, where it holds or claims something.
    pub heartbeat: Option<HeartbeatNumber>,
    /// What it claims with that sign of life.
    pub claim: Option<Duty>,
    /// What it gives up.
    pub releases: Vec<(Duty, Epoch)>,
    /// What it tells of duties that it holds.
    pub notes: Vec<(Duty, Epoch, Payload)>,
    /// What it wants to be told of.
    pub watched_duties: Vec<Duty>,
}

/// How the agreed table stands for one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberView {
    /// How many commands the table comes from: one that is behind another says nothing new.
    pub version: u64,
    /// Its session.
    pub session: Option<Session>,
    /// The newest life of it that was heard of.
    pub newest_incarnation: Option<Incarnation>,
    /// What it holds, in whatever life.
    pub held_duties: Vec<(Duty, Incarnation, Epoch)>,
    /// How what it watches stands.
    pub watched_duties: Vec<WatchedDuty>,
}

/// How a duty stands that a member watches.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchedDuty {
    /// Which.
    pub duty: Duty,
    /// Who holds it.
    pub grant: Option<Grant>,
    /// What was told last of it, and how many microseconds ago that was agreed on at the least; none where the voter that says
    /// this cannot tell, as it was agreed on before it began.
    pub note: Option<(Note, u64)>,
}

/// What one process says to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A voter to another one: the library's own words.
    Consensus(MessageStamp, Box<Message<Command>>),
    /// A voter to one that lacks what is no longer kept one by one: all that it keeps.
    Snapshot(MessageStamp, Box<VoterSnapshot>),
    /// A voter to one that spoke to another run of it: which one there is.
    CurrentRun(MessageStamp),
    /// A member to a voter.
    Request(MemberRequest),
    /// A voter to a member.
    View(MemberView),
}

/// Why something is not listened to.
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
    /// Checks what came from a member that is known to be that one.
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
