//! Types shared by the group's thread, the courier that uses it, and operators' tools.

use crate::folder::FolderError;
use crate::settings::Settings;
use gullcart_group::member::MemberHandover;
use gullcart_group::membership::FolderVersion;
use gullcart_group::types::{Duty, Epoch, MemberId, Moment, Payload};
use rustix::time::{clock_gettime, ClockId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::oneshot;

/// The id that operators' tools use in place of a member's.
pub const OPERATOR: MemberId = MemberId(0);

/// The current time, on the clock that also runs while the machine is suspended.
pub fn now() -> Moment {
    let time = clock_gettime(ClockId::Boottime);
    Moment(time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1000)
}

/// Why a courier cannot take part in its group.
#[derive(Debug, Error)]
pub enum GroupError {
    /// The folder cannot be used.
    #[error(transparent)]
    Folder(#[from] FolderError),
    /// The address cannot be bound.
    #[error("cannot listen at {0}: {1}")]
    Listen(SocketAddr, std::io::Error),
    /// The thread cannot be started.
    #[error("cannot run the group's thread: {0}")]
    Thread(std::io::Error),
    /// The set of voters is invalid.
    #[error(transparent)]
    Voter(#[from] gullcart_group::voter::VoterError),
}

/// The state of a duty, as one member sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyStatus {
    /// The name of the duty.
    pub name: String,
    /// The member that holds it; `None` if it is requested but free.
    pub holder: Option<u64>,
    /// The epoch of the grant.
    pub epoch: Option<u64>,
    /// For how many milliseconds this has been so, as far as this member has observed.
    pub since_ms: u64,
    /// Why the duty has no holder.
    #[serde(rename = "why")]
    pub vacancy_reason: Option<String>,
}

/// The state of the group, as one member sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The id of the member.
    pub me: u64,
    /// The current incarnation of the member.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Whether the member votes now.
    pub votes: bool,
    /// Why it does not vote, or another problem.
    #[serde(rename = "trouble")]
    pub problem: Option<String>,
    /// The current leader.
    pub leader: Option<u64>,
    /// The number of decided commands, as far as is known here.
    pub version: u64,
    /// Duties that are held or requested.
    pub duties: Vec<DutyStatus>,
    /// The duties on which this member may act now.
    #[serde(rename = "holds")]
    pub held_duties: Vec<String>,
    /// The members to which this one has an outgoing connection.
    #[serde(rename = "reached")]
    pub connected_members: Vec<u64>,
    /// Milliseconds since the group was last heard from.
    #[serde(rename = "heard_ms")]
    pub last_contact_ms: u64,
}

/// The last reported state of a requested duty.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DutyObservation {
    /// The time until which another member is assumed to hold the duty.
    pub held_elsewhere_until: Option<Moment>,
    /// The last note: its epoch, its payload, and the latest time at which it can have been decided.
    pub note: Option<(Epoch, Vec<u8>, Moment)>,
}

/// State shared by the courier and the group's thread.
#[derive(Default)]
pub(crate) struct Shared {
    /// The duties on which this member may act, with the ends of the leases.
    pub held_duties: BTreeMap<Duty, (Epoch, Moment)>,
    /// The requested duties.
    pub requested_duties: BTreeMap<Duty, DutyObservation>,
    /// The last status that was published.
    pub status: Status,
    /// The status was read since it was published, so the next one is wanted.
    pub is_status_requested: bool,
}

/// A command of the courier to the main loop on the group's thread.
pub(crate) enum LoopCommand {
    /// Request a duty.
    RequestDuty(Duty),
    /// Withdraw the request for a duty, and release it.
    ReleaseDuty(Duty),
    /// Release a duty, and do not claim it for some time.
    YieldDuty(Duty, Duration),
    /// Publish a note about a held duty.
    PublishNote(Duty, Payload),
    /// Apply settings that were read again.
    ApplySettings(Box<Settings>),
    /// Release all duties and end; the sender is notified once that is done.
    Leave(oneshot::Sender<()>),
    /// Stop, and send the state for the next process.
    HandOver(oneshot::Sender<Box<GroupHandover>>),
}

/// The state of a stopped member, for another process that continues it with the same folder.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GroupHandover {
    pub(crate) member: MemberHandover,
    pub(crate) folder_version: FolderVersion,
}

impl GroupHandover {
    /// Encodes the state for the hand-over.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Decodes the state. `None` if it cannot be read; the member then begins a new incarnation.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
