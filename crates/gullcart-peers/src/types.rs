//! What the loop, the courier and operators say to each other of the group.

use crate::folder::FolderError;
use crate::settings::Settings;
use gullcart_group::member::MemberHandover;
use gullcart_group::membership::FolderHandover;
use gullcart_group::types::{Duty, Epoch, MemberId, Moment, Payload};
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
    Folder(#[from] FolderError),
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
    /// Why the duty has no holder.
    #[serde(rename = "why")]
    /// Why nobody holds it.
    pub vacancy_reason: Option<String>,
}

/// How the group stands, as this courier sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// This member.
    pub me: u64,
    /// The current incarnation of the member.
    #[serde(rename = "life")]
    /// Which start of it.
    pub incarnation: u64,
    /// Whether it votes now.
    pub votes: bool,
    /// Why it does not vote, or another problem.
    #[serde(rename = "trouble")]
    /// Why not, or what else is wrong.
    pub problem: Option<String>,
    /// Who leads.
    pub leader: Option<u64>,
    /// Commands agreed on, as far as is known here.
    pub version: u64,
    /// Duties that are held or wanted.
    pub duties: Vec<DutyStatus>,
    /// The duties on which this member may act now.
    #[serde(rename = "holds")]
    /// What this member may act on now.
    pub held_duties: Vec<String>,
    /// The members to which this one has an outgoing connection.
    #[serde(rename = "reached")]
    /// Members with a connection from here.
    pub reachable_members: Vec<u64>,
    /// Milliseconds since the group was last heard from.
    #[serde(rename = "heard_ms")]
    /// Milliseconds since the group was last heard from.
    pub last_contact_ms: u64,
}

/// How a duty stands that is wanted, as it was told last.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DutyObservation {
    /// Another member holds it, and is believed to until then.
    pub held_elsewhere_until: Option<Moment>,
    /// What was told of it: under which epoch, in which words, and when that was agreed on at the latest.
    pub note: Option<(Epoch, Vec<u8>, Moment)>,
}

/// What both sides see.
#[derive(Default)]
pub(crate) struct Shared {
    /// What may be acted on, until when.
    pub held_duties: BTreeMap<Duty, (Epoch, Moment)>,
    /// All that is wanted.
    pub requested_duties: BTreeMap<Duty, DutyObservation>,
    pub status: Status,
    /// The status was looked at since it was made.
    pub is_status_requested: bool,
}

/// What the courier wants of the loop.
pub(crate) enum GroupRequest {
    Request(Duty),
    Release(Duty),
    Yield(Duty, Duration),
    PublishNote(Duty, Payload),
    /// Its file was read again.
    ApplySettings(Box<Settings>),
    Leave(oneshot::Sender<()>),
    HandOver(oneshot::Sender<Box<GroupHandover>>),
}

/// A member that stopped, for another process of the same folder that goes on in its place.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GroupHandover {
    pub(crate) member: MemberHandover,
    pub(crate) folder: FolderHandover,
}

impl GroupHandover {
    /// As bytes, for the hand-over.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// What the process before wrote; none where it cannot be read, and the member begins a new life.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
