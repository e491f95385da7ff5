//! What the loop, the courier and operators say to each other of the group.

use crate::folder::KeepError;
use crate::settings::Settings;
use gullcart_group::door::Left;
use gullcart_group::member::Packed;
use gullcart_group::vocabulary::{Duty, Epoch, MemberId, Moment, Words};
use rustix::time::{clock_gettime, ClockId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::oneshot;

/// Who an operator's tool says it is: no member has that number.
pub const OPERATOR: MemberId = MemberId(0);

/// The time, on the clock that also runs while the machine sleeps.
pub fn now() -> Moment {
    let time = clock_gettime(ClockId::Boottime);
    Moment(time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1000)
}

/// Why a courier is in no group.
#[derive(Debug, Error)]
pub enum GroupError {
    /// Its folder cannot be used.
    #[error(transparent)]
    Keep(#[from] KeepError),
    /// Its address cannot be had.
    #[error("cannot listen at {0}: {1}")]
    Listen(SocketAddr, std::io::Error),
    /// Its thread cannot be.
    #[error("the group's thread: {0}")]
    Thread(std::io::Error),
    /// The voters cannot be these.
    #[error(transparent)]
    Voter(#[from] gullcart_group::voter::VoterError),
}

/// A duty, as one member sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyStatus {
    /// Its name.
    pub name: String,
    /// Who holds it; nobody where it is wanted and free.
    pub holder: Option<u64>,
    /// Under which epoch.
    pub epoch: Option<u64>,
    /// For how many milliseconds that has been so, as far as this member has seen.
    pub since_ms: u64,
    /// Why nobody holds it.
    pub why: Option<String>,
}

/// How the group stands, as this courier sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// This member.
    pub me: u64,
    /// Which start of it.
    pub life: u64,
    /// Whether it votes now.
    pub votes: bool,
    /// Why not, or what else is wrong.
    pub trouble: Option<String>,
    /// Who leads.
    pub leader: Option<u64>,
    /// Commands agreed on, as far as is known here.
    pub version: u64,
    /// Duties that are held or wanted.
    pub duties: Vec<DutyStatus>,
    /// What this member may act on now.
    pub holds: Vec<String>,
    /// Members with a connection from here.
    pub reached: Vec<u64>,
    /// Milliseconds since the group was last heard from.
    pub heard_ms: u64,
}

/// How a duty stands that is wanted, as it was told last.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Look {
    /// Another member holds it, and is believed to until then.
    pub other_until: Option<Moment>,
    /// What was told of it: under which epoch, in which words, and when that was agreed on at the latest.
    pub told: Option<(Epoch, Vec<u8>, Moment)>,
}

/// What both sides see.
#[derive(Default)]
pub(crate) struct Shared {
    /// What may be acted on, until when.
    pub held: BTreeMap<Duty, (Epoch, Moment)>,
    /// All that is wanted.
    pub looks: BTreeMap<Duty, Look>,
    pub status: Status,
    /// The status was looked at since it was made.
    pub is_asked: bool,
}

/// What the courier wants of the loop.
pub(crate) enum Wish {
    Want(Duty),
    GiveUp(Duty),
    PassOn(Duty, Duration),
    Tell(Duty, Words),
    /// Its file was read again.
    Follow(Box<Settings>),
    Leave(oneshot::Sender<()>),
    Pack(oneshot::Sender<Box<Given>>),
}

/// A member that stopped, for another process of the same folder that goes on in its place.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Given {
    pub(crate) member: Packed,
    pub(crate) left: Left,
}

impl Given {
    /// As bytes, for the hand-over.
    pub fn write(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// What the process before wrote; none where it cannot be read, and the member begins a new life.
    pub fn read(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
