//! A courier's place: its folder, its process while it runs, its connections, and what its register's agent knows.

use crate::address::Address;
use cloverstile::{EndpointId, MessageId, Time};
use gullcart_engine::{Engine, IdleConnectionPolicy, PROCESS_START};
use gullcart_journal::simulated::{Crash, Disk};
use gullcart_judge::trace::{CallId, EndpointId as TraceEndpoint, EndpointState, Timestamp};
use gullcart_message::{ListingUpdate, Target};
use std::collections::BTreeMap;
use std::time::Duration;

/// A kept connection rests for so long before it is used again, and is closed after so long; as the daemon's pool has it.
const REST: Duration = Duration::from_millis(5);
const KEPT: Duration = Duration::from_millis(10_500);
/// Kept connections, for each call slot.
const IDLE_OF_SLOTS: usize = 4;

/// A call as its courier sees it.
pub(crate) struct OutCall {
    pub serial: u64,
    pub endpoint: EndpointId,
    pub address: Address,
    pub id: String,
    pub key: Option<String>,
    pub is_sent: bool,
    /// Its number at the endpoint, once it is there.
    pub call: Option<CallId>,
    /// Its outcome is known and on its way to the engine.
    pub is_done: bool,
}

/// A process.
pub(crate) struct Process {
    pub engine: Engine<Disk>,
    pub started: Timestamp,
    pub out: BTreeMap<MessageId, OutCall>,
    idle: BTreeMap<EndpointId, Vec<(Timestamp, Address)>>,
    most_idle: usize,
    share: IdleConnectionPolicy,
    /// When its next turn is due, if one is.
    pub wake: Option<Timestamp>,
    pub is_ending: bool,
}

impl Process {
    pub fn new(engine: Engine<Disk>, started: Timestamp, slots: u32, share: IdleConnectionPolicy) -> Self {
        let most_idle = IDLE_OF_SLOTS * slots as usize;
        let (out, idle) = Default::default();
        Process { engine, started, out, idle, most_idle, share, wake: None, is_ending: false }
    }

    /// The module's time.
    pub fn time(&self, now: Timestamp) -> Time {
        PROCESS_START + (now - self.started)
    }

    /// When that is; never too early.
    pub fn at(&self, time: Time) -> Timestamp {
        let micros = (time - PROCESS_START).as_nanos().div_ceil(1000);
        self.started + Duration::from_micros(micros as u64)
    }

    /// A kept connection, and when it has rested.
    pub fn connection(
        &mut self,
        endpoint: EndpointId,
        address: Address,
        now: Timestamp,
    ) -> Option<Timestamp> {
        let kept = self.idle.get_mut(&endpoint)?;
        kept.retain(|(since, at)| *at == address && now - *since < KEPT);
        let rested = kept.iter().rposition(|(since, _)| now - *since >= REST);
        let place = rested.or(if kept.is_empty() { None } else { Some(0) })?;
        let (since, _) = kept.remove(place);
        Some(now.max(since + REST))
    }

    /// A connection is of further use.
    pub fn keep(&mut self, endpoint: EndpointId, address: Address, now: Timestamp) {
        if !self.share.should_keep() {
            return;
        }
        if self.idle.values().map(Vec::len).sum::<usize>() >= self.most_idle {
            let oldest =
                self.idle.iter().filter_map(|(at, kept)| kept.first().map(|(since, _)| (*since, *at)));
            if let Some((_, at)) = oldest.min() {
                if let Some(kept) = self.idle.get_mut(&at) {
                    kept.remove(0);
                }
            }
        }
        self.idle.entry(endpoint).or_default().push((now, address));
    }

    /// Kept connections to an address are broken.
    pub fn break_off(&mut self, address: Address) {
        self.idle.values_mut().for_each(|kept| kept.retain(|(_, at)| *at != address));
    }

    /// Kept connections to some endpoints are closed.
    pub fn close(&mut self, which: impl Fn(EndpointId) -> bool) {
        self.idle.retain(|endpoint, _| !which(*endpoint));
    }

    /// Kept connections to those that take nothing new are closed.
    pub fn close_shut(&mut self) {
        let engine = &self.engine;
        self.idle.retain(|endpoint, _| engine.is_open(*endpoint));
    }
}

/// What the agent of the register on a courier's machine has.
#[derive(Default)]
pub(crate) struct Agent {
    pub targets: BTreeMap<TraceEndpoint, (Target, EndpointState)>,
    pub rev: u64,
    pub is_silent: bool,
    /// Changes that the courier has not been told yet.
    pub untold: Vec<TraceEndpoint>,
}

impl Agent {
    /// The whole list.
    pub fn list(&self) -> ListingUpdate {
        let there = self.targets.values().filter(|(_, state)| *state != EndpointState::Gone);
        ListingUpdate { rev: self.rev, all: true, targets: there.map(|(target, _)| target.clone()).collect() }
    }

    /// What the courier has not been told.
    pub fn changes(&mut self) -> (ListingUpdate, Vec<(TraceEndpoint, EndpointState)>) {
        let untold = std::mem::take(&mut self.untold);
        let of =
            |id: &TraceEndpoint| self.targets.get(id).map(|(target, state)| (target.clone(), (*id, *state)));
        let (targets, told) = untold.iter().filter_map(of).unzip();
        (ListingUpdate { rev: self.rev, all: false, targets }, told)
    }
}

/// A courier's place.
pub(crate) struct Place {
    pub disk: Disk,
    pub process: Option<Process>,
    /// One more with each process: what was meant for another is not for this.
    pub epoch: u32,
    pub agent: Agent,
    /// Clients are sent to it.
    pub is_serving: bool,
    pub signalled: Option<Timestamp>,
}

impl Place {
    pub fn new(disk_bytes: u64, seed: u64) -> Self {
        Place {
            disk: Disk::new(disk_bytes, Crash::Process, seed),
            process: None,
            epoch: 0,
            agent: Agent { rev: 1, ..Agent::default() },
            is_serving: false,
            signalled: None,
        }
    }

    /// The process of that number, if it is still there.
    pub fn process(&mut self, epoch: u32) -> Option<&mut Process> {
        self.process.as_mut().filter(|_| self.epoch == epoch)
    }
}
