//! What members say to each other. Everything that comes from outside is checked before it is listened to.

use crate::log::Image;
use crate::order::Stamp;
use crate::table::{Command, Grant, Note, Session};
use crate::vocabulary::{Beat, Duty, Epoch, Life, MemberId, Words};
use omnipaxos::messages::Message;
use serde::{Deserialize, Serialize};

/// Duties that one member watches, or holds, at most.
pub const MOST_WATCHED: usize = 1024;

/// What a member asks of a voter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// In which start of its process.
    pub life: Life,
    /// A sign of life, where it holds or claims something.
    pub beat: Option<Beat>,
    /// What it claims with that sign of life.
    pub claim: Option<Duty>,
    /// What it gives up.
    pub releases: Vec<(Duty, Epoch)>,
    /// What it tells of duties that it holds.
    pub notes: Vec<(Duty, Epoch, Words)>,
    /// What it wants to be told of.
    pub watches: Vec<Duty>,
}

/// How the agreed table stands for one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// How many commands the table comes from: one that is behind another says nothing new.
    pub version: u64,
    /// Its session.
    pub session: Option<Session>,
    /// The newest life of it that was heard of.
    pub newest_life: Option<Life>,
    /// What it holds, in whatever life.
    pub holds: Vec<(Duty, Life, Epoch)>,
    /// How what it watches stands.
    pub watched: Vec<Watched>,
}

/// How a duty stands that a member watches.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Watched {
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
pub enum Say {
    /// A voter to another one: the library's own words.
    Vote(Stamp, Box<Message<Command>>),
    /// A voter to one that lacks what is no longer kept one by one: all that it keeps.
    Base(Stamp, Box<Image>),
    /// A voter to one that spoke to another run of it: which one there is.
    Here(Stamp),
    /// A member to a voter.
    Ask(Ask),
    /// A voter to a member.
    View(View),
}

/// Why something is not listened to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refused {
    /// It is not from whom it says, or not for who got it.
    #[error("it names another sender or receiver")]
    Address,
    /// It asks for more than anybody needs.
    #[error("it is too long")]
    Length,
    /// It is for voters alone.
    #[error("it is for voters, or from one")]
    Voter,
}

impl Say {
    /// Checks what came from a member that is known to be that one.
    pub fn check(&self, from: MemberId, to: MemberId, voters: &[MemberId]) -> Result<(), Refused> {
        match self {
            Say::Vote(_, message) => {
                if !(voters.contains(&from) && voters.contains(&to)) {
                    return Err(Refused::Voter);
                }
                let honest = message.get_sender() == from.0 && message.get_receiver() == to.0;
                honest.then_some(()).ok_or(Refused::Address)
            }
            Say::Base(..) | Say::Here(..) => {
                let both = voters.contains(&from) && voters.contains(&to);
                both.then_some(()).ok_or(Refused::Voter)
            }
            Say::Ask(ask) => {
                if !voters.contains(&to) {
                    return Err(Refused::Voter);
                }
                let most = ask.watches.len().max(ask.releases.len()).max(ask.notes.len());
                (most <= MOST_WATCHED).then_some(()).ok_or(Refused::Length)
            }
            Say::View(view) => {
                if !voters.contains(&from) {
                    return Err(Refused::Voter);
                }
                let most = view.holds.len().max(view.watched.len());
                (most <= 2 * MOST_WATCHED).then_some(()).ok_or(Refused::Length)
            }
        }
    }
}
