//! What the manager and the processes of its fleet say to each other: one JSON line for each command and for its report.

use crate::hollow::{Advance, SessionCounts};
use crate::layout::{CourierIndex, EntryIndex, Layout, ZoneIndex};
use crate::link::Traffic;
use crate::machine::{Monotonic, Resident};
use crate::structures::{StructureCosts, StructurePlan};
use gullcart_distribution::scope::Scope;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;

/// What a process is told. Each command is answered by one report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Builds hollow couriers without sockets and reports what one of them takes.
    Probe(Probe),
    /// Builds data structures by destinations and reports what they take.
    Structures(StructurePlan),
    /// Becomes the source.
    Source(SourcePlan),
    /// Runs relays.
    Relays(Vec<RelayPlan>),
    /// Runs hollow couriers.
    Couriers(CouriersPlan),
    /// To the source: makes changes, and goes on while they are made.
    Publish(Publication),
    /// To a process of couriers: some of them end as if they were killed, those that are here.
    StopCouriers(Range<u32>),
    /// To a process of couriers: those that are not running start anew, without state.
    StartCouriers(Range<u32>),
    /// To a process of couriers: a courier starts anew and reads a byte a second.
    SlowCourier(CourierIndex),
    /// To a process of relays: one ends as if it was killed.
    StopRelay(RelayIndex),
    /// To a process of relays: one that was stopped starts anew, without state, at its old address.
    StartRelay(RelayIndex),
    /// To a process of relays: all are cut off from their upstream, or are let through again.
    CutUpstream(bool),
    /// Reports processor time and traffic so far.
    Usage,
    /// Reports where the process stands.
    Status,
    /// Reports the changes that were made, or taken in, since the last time.
    Collect,
}

/// What a process answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Report {
    /// It cannot go on, for this reason.
    Failed(String),
    /// The command is carried out, and has nothing to tell.
    Done,
    /// Answers [`Command::Probe`].
    Probed(Cost),
    /// Answers [`Command::Structures`].
    Structures(StructureCosts),
    /// Answers [`Command::Source`] and [`Command::Relays`]: where they listen.
    Listening(Vec<SocketAddr>),
    /// Answers [`Command::Usage`].
    Usage(Usage),
    /// Answers [`Command::Status`] of the source.
    SourceStatus(SourceStatus),
    /// Answers [`Command::Status`] of relays.
    RelaysStatus(RelaysStatus),
    /// Answers [`Command::Status`] of couriers.
    CouriersStatus(CouriersStatus),
    /// Answers [`Command::Collect`] of the source.
    Published(Vec<Published>),
    /// Answers [`Command::Collect`] of couriers.
    Advanced(Advanced),
}

/// How many hollow couriers are built to see what one takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Probe {
    /// So many couriers ...
    pub couriers: u32,
    /// ... with so many endpoints each.
    pub endpoints: u32,
}

/// What hollow couriers take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cost {
    /// The process without any.
    pub empty: Resident,
    /// The process with all of them.
    pub full: Resident,
    /// How many there are.
    pub couriers: u32,
}

impl Cost {
    /// Bytes of private memory for each courier.
    pub fn per_courier(&self) -> u64 {
        let taken = self.full.private.saturating_sub(self.empty.private);
        taken / u64::from(self.couriers.max(1))
    }
}

/// What the source hands out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SourcePlan {
    /// The shape of the fleet.
    pub layout: Layout,
    /// For random choices.
    pub seed: u64,
}

/// Names a relay of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RelayIndex(pub usize);

/// A relay.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayPlan {
    /// Where it listens; port zero takes any.
    pub listen: SocketAddr,
    /// Where it subscribes, the first that takes it.
    pub upstream: Vec<SocketAddr>,
    /// For random choices.
    pub seed: u64,
}

/// Hollow couriers of one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CouriersPlan {
    /// The shape of the fleet.
    pub layout: Layout,
    /// Which of its couriers.
    pub couriers: Range<u32>,
    /// Where the relay of each zone listens.
    pub relays: Vec<SocketAddr>,
}

/// Changes to be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Publication {
    /// How many.
    pub changes: u32,
    /// Evenly over so long.
    pub over: Duration,
    /// Which.
    pub mix: Mix,
}

/// Which entries are changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Mix {
    /// Mostly destinations, some settings of zones and regions, few of the whole fleet.
    Usual,
    /// The settings of the whole fleet, which concern each courier.
    Global,
    /// The settings of a zone.
    Zone(ZoneIndex),
}

/// What a process has used since it began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// When this was so.
    pub at: Monotonic,
    /// Processor time.
    pub processor: Duration,
    /// Bytes and messages.
    pub traffic: Traffic,
    /// Memory.
    pub resident: Resident,
}

/// Where the source stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SourceStatus {
    /// The last revision.
    pub revision: u64,
    /// The last revision that is in force.
    pub in_force: u64,
    /// Changes that are still to be made.
    pub planned: u32,
    /// Changes that were refused.
    pub refused: u32,
}

/// Where the relays of a process stand.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelaysStatus {
    /// Sessions with their subscribers, all together.
    pub sessions: usize,
    /// Entries that they hold, all together.
    pub entries: usize,
    /// The most snapshots that were under way at a relay at one time.
    pub most_snapshots: usize,
    /// The largest window of a subscriber, in bytes.
    pub largest_window: usize,
    /// The most messages that waited for the driver of a relay.
    pub most_output: usize,
}

impl RelaysStatus {
    /// Adds those of another process.
    pub fn add(&mut self, other: &RelaysStatus) {
        self.sessions += other.sessions;
        self.entries += other.entries;
        self.most_snapshots = self.most_snapshots.max(other.most_snapshots);
        self.largest_window = self.largest_window.max(other.largest_window);
        self.most_output = self.most_output.max(other.most_output);
    }
}

/// Where the couriers of a process stand.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CouriersStatus {
    /// Couriers that run.
    pub running: u32,
    /// Couriers that may act on all of their scopes.
    pub current: u32,
    /// The least revision that a courier holds.
    pub least_revision: u64,
    /// Endpoints that the engines know, all together.
    pub endpoints: u64,
    /// What has become of their sessions.
    pub sessions: SessionCounts,
}

/// A change that was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Published {
    /// Its revision.
    pub revision: u64,
    /// The scope.
    pub scope: Scope,
    /// When it was numbered.
    pub at: Monotonic,
    /// When the source found it in force.
    pub in_force: Option<Monotonic>,
}

/// Changes that were taken in.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Advanced {
    /// What was noted.
    pub advances: Vec<Advance>,
    /// How much could not be noted.
    pub lost: u64,
}

impl Mix {
    /// An entry to change, by chance.
    pub fn choose(self, layout: &Layout, scopes: &[Scope], chance: &mut fastrand::Rng) -> EntryIndex {
        let scope = match self {
            Mix::Global => Scope::Global,
            Mix::Zone(zone) => Scope::Zone(zone.0),
            Mix::Usual => match chance.u32(..1000) {
                0..10 => Scope::Global,
                10..20 => Scope::Region(chance.u16(..layout.regions())),
                20..60 => Scope::Zone(chance.u16(..layout.zones())),
                _ => scopes[chance.usize(..scopes.len())],
            },
        };
        let entries: Vec<EntryIndex> = layout.entries_of(scope).collect();
        entries[chance.usize(..entries.len())]
    }
}
