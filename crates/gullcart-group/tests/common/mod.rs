//! Simulation of a group in virtual time: clocks drift, the network loses, repeats, delays and reorders messages, and processes
//! pause, crash and restart from their persisted state. The same seed gives the same result.
#![allow(dead_code)]

use gullcart_group::log::{Record, VoterSnapshot};
use gullcart_group::member::MemberHandover;
use gullcart_group::membership::{FolderFingerprint, FolderOrigin, FolderVersion, ReplicaIdentity};
use gullcart_group::message::PeerMessage;
use gullcart_group::message_order::RunId;
use gullcart_group::node::Node;
use gullcart_group::table::Table;
use gullcart_group::types::*;
use gullcart_group::{member, voter};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

/// Microseconds in a second of virtual time.
pub const SECOND: u64 = 1_000_000;

pub fn duty(number: usize) -> Duty {
    Duty::new(&format!("trials/{number}")).unwrap()
}

/// Which faults happen, and how often.
#[derive(Clone, Copy, Debug)]
pub struct FaultProfile {
    /// Probability that a message is lost.
    pub loss: f64,
    /// Probability that a message is delivered twice.
    pub duplication: f64,
    /// Maximum delay of a message.
    pub max_delay_us: u64,
    /// Maximum delay of a late message.
    pub max_late_delay_us: u64,
    /// Percentage of late messages.
    pub late_percent: u8,
    /// Mean time between two faults.
    pub fault_every_us: u64,
    /// Maximum duration of pauses and cut links.
    pub max_fault_us: u64,
    /// Maximum drift of a clock, in either direction.
    pub max_drift_ppm: i64,
    /// When faults end.
    pub until_us: u64,
}

impl Default for FaultProfile {
    fn default() -> Self {
        FaultProfile {
            loss: 0.03,
            duplication: 0.03,
            max_delay_us: 2_000,
            max_late_delay_us: 400_000,
            late_percent: 1,
            fault_every_us: SECOND,
            max_fault_us: 4 * SECOND,
            max_drift_ppm: 19_000,
            until_us: 40 * SECOND,
        }
    }
}

/// A process of the group.
struct Process {
    node: Option<Node>,
    /// The identity stored in its folder.
    identity: Option<ReplicaIdentity>,
    /// The state that a stopped process handed over. The same process may later get it back.
    handover: Option<(MemberHandover, FolderVersion)>,
    /// The records in its folder.
    persisted: Vec<Record>,
    /// Speed of its clock relative to real time.
    clock_rate: f64,
    /// Reading of its clock at time 0.
    clock_offset_us: u64,
    /// It does not run before this time, and messages wait for it.
    paused_until_us: u64,
    waiting: Vec<(MemberId, PeerMessage)>,
    /// When it starts again.
    starts_at_us: Option<u64>,
    /// It crashes at the next poll that writes records, either before they are persisted or before its messages are sent.
    crash_on_write: bool,
    requested_duties: Vec<Duty>,
    /// The epoch of the last note about each duty that was received since the process was started.
    last_note_epochs: BTreeMap<Duty, Epoch>,
    /// When it has to be polled next.
    wakes_at_us: u64,
}

/// What a simulation has observed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunStats {
    /// How often a holder was found able to act on a duty.
    pub actions: u64,
    pub grants: u64,
    /// A hash of all actions, to compare two simulations.
    pub trace: u64,
    /// Longest time for which a requested duty had no holder after the last fault.
    pub vacant_us: u64,
    pub messages: u64,
    /// Total size of the messages, while [`Simulation::counts_bytes`] is set.
    pub bytes: u64,
    /// Notes that were new to the process that received them.
    pub notes_seen: u64,
}

/// Safety checks that are disabled in a simulation.
#[derive(Clone, Copy, Default)]
pub struct DisabledGuards {
    pub member: member::DisabledGuards,
    pub voter: voter::DisabledGuards,
    /// A voter that restarts has lost its persisted state.
    pub forget_votes: bool,
    /// Messages are sent although the records that they depend on were not persisted.
    pub send_before_persisting: bool,
    /// Holders publish no notes. This is not a safety check: the first seeds in `random.rs` were found without notes, and with
    /// them the same seeds give other simulations.
    pub no_notes: bool,
    /// Messages between voters are processed in any order.
    pub accept_late_messages: bool,
    /// A process that handed over continues when it is started again, even if another process has continued meanwhile.
    pub resume_regardless: bool,
}

/// A group of processes and the network between them.
pub struct Simulation {
    /// The virtual time.
    pub now_us: u64,
    processes: Vec<Process>,
    voters: Vec<MemberId>,
    /// Messages in flight, by arrival time: id, sender and receiver.
    queue: BinaryHeap<Reverse<(u64, u64, usize, usize)>>,
    in_flight: BTreeMap<u64, PeerMessage>,
    next_message_id: u64,
    cut_links: BTreeMap<(usize, usize), u64>,
    rng: fastrand::Rng,
    profile: FaultProfile,
    terms: LeaseTerms,
    disabled: DisabledGuards,
    next_fault_us: u64,
    /// The highest epoch under which each duty was acted on.
    highest_epochs: BTreeMap<Duty, Epoch>,
    grants: BTreeMap<(Duty, Epoch), MemberId>,
    vacant_since_us: BTreeMap<Duty, u64>,
    /// The table at each version: all voters must compute the same.
    tables: BTreeMap<u64, Table>,
    /// Whether the size of messages is counted.
    pub counts_bytes: bool,
    pub stats: RunStats,
}

/// The contents of a note: the holder and its epoch.
fn payload(member: MemberId, epoch: Epoch) -> Payload {
    Payload::new(&[member.0.to_le_bytes(), epoch.0.to_le_bytes()].concat()).unwrap()
}

pub fn id(index: usize) -> MemberId {
    MemberId(index as u64 + 1)
}

impl Simulation {
    pub fn new(
        members: usize,
        voters: usize,
        seed: u64,
        profile: FaultProfile,
        disabled: DisabledGuards,
    ) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let processes = (0..members).map(|_| Process {
            node: None,
            identity: None,
            handover: None,
            persisted: Vec::new(),
            clock_rate: 1.0 + rng.i64(-profile.max_drift_ppm..=profile.max_drift_ppm) as f64 / 1e6,
            clock_offset_us: rng.u64(0..1000 * SECOND),
            paused_until_us: 0,
            waiting: Vec::new(),
            starts_at_us: Some(0),
            crash_on_write: false,
            requested_duties: Vec::new(),
            last_note_epochs: BTreeMap::new(),
            wakes_at_us: 0,
        });
        let mut simulation = Simulation {
            now_us: 0,
            processes: processes.collect(),
            voters: (0..voters).map(id).collect(),
            queue: BinaryHeap::new(),
            in_flight: BTreeMap::new(),
            next_message_id: 0,
            cut_links: BTreeMap::new(),
            rng,
            profile,
            terms: LeaseTerms { duration: Duration::from_secs(1), drift_ppm: 20_000 },
            disabled,
            next_fault_us: profile.fault_every_us,
            highest_epochs: BTreeMap::new(),
            grants: BTreeMap::new(),
            vacant_since_us: BTreeMap::new(),
            tables: BTreeMap::new(),
            counts_bytes: false,
            stats: RunStats::default(),
        };
        if profile.fault_every_us == 0 {
            simulation.next_fault_us = u64::MAX;
        }
        simulation
    }

    pub fn request(&mut self, index: usize, duty_count: usize) {
        self.processes[index].requested_duties = (0..duty_count).map(duty).collect();
    }

    fn clock(&self, index: usize) -> Moment {
        let process = &self.processes[index];
        Moment(process.clock_offset_us + (self.now_us as f64 * process.clock_rate) as u64)
    }

    /// The real time at which the clock of a process shows `moment`.
    fn real_time(&self, index: usize, moment: Moment) -> u64 {
        let process = &self.processes[index];
        (moment.0.saturating_sub(process.clock_offset_us) as f64 / process.clock_rate).ceil() as u64 + 1
    }

    fn start(&mut self, index: usize) {
        let now = self.clock(index);
        let seed = self.rng.u64(..);
        let process = &mut self.processes[index];
        process.starts_at_us = None;
        let fingerprint = FolderFingerprint { device: 1, inode: index as u64, created_ns: 1 };
        let folder_handover = process.handover.as_ref().map(|(_, folder_handover)| *folder_handover);
        let folder_handover = folder_handover.map(|folder_handover| {
            match (&process.identity, self.disabled.resume_regardless) {
                (Some(identity), true) => identity.folder_version(),
                _ => folder_handover,
            }
        });
        let origin = FolderOrigin::determine(process.identity.take(), fingerprint, 1, folder_handover);
        let is_resumed = matches!(origin, FolderOrigin::HandedOver(_));
        let identity = process.identity.insert(origin.into_identity());
        let run =
            RunId { incarnation: identity.incarnation, handovers: identity.handovers, previous_runs: 0 };
        // Half of the time a copy of the state is kept and handed over again at the next start. That process must not continue
        // with it, as this one has acted since.
        let handover = process.handover.take();
        if self.rng.bool() {
            process.handover = handover.clone();
        }
        if self.disabled.forget_votes {
            process.persisted.clear();
        }
        let snapshot = VoterSnapshot::replay(process.persisted.iter().cloned());
        let me = id(index);
        let mut node = Node::new(me, run, &self.voters, self.terms, Some(snapshot), seed, now).unwrap();
        node.member = node.member.with_guards_disabled(self.disabled.member);
        node.accept_late_messages(self.disabled.accept_late_messages);
        if let Some(voter) = node.voter_mut() {
            voter.disable_guards(self.disabled.voter);
            voter.set_max_entries(24);
        }
        if let Some((member, _)) = handover.filter(|_| is_resumed) {
            assert!(node.resume(member, now), "the state is of this incarnation and clock");
        }
        for duty in process.requested_duties.clone() {
            node.member.request(now, &duty);
        }
        process.node = Some(node);
        process.last_note_epochs.clear();
        process.wakes_at_us = self.now_us;
    }

    pub fn kill(&mut self, index: usize, for_us: u64) {
        let process = &mut self.processes[index];
        process.node = None;
        process.waiting.clear();
        process.starts_at_us = Some(self.now_us + for_us);
    }

    /// Stops a process for an upgrade; another process continues it.
    pub fn hand_over(&mut self, index: usize, for_us: u64) {
        let process = &mut self.processes[index];
        let (Some(node), Some(identity)) = (process.node.take(), &process.identity) else { return };
        process.handover = Some((node.member.hand_over(), identity.folder_version()));
        process.waiting.clear();
        process.starts_at_us = Some(self.now_us + for_us);
    }

    pub fn pause(&mut self, index: usize, for_us: u64) {
        self.processes[index].paused_until_us = self.now_us + for_us;
    }

    pub fn cut_off(&mut self, index: usize, for_us: u64) {
        for other in 0..self.processes.len() {
            self.cut_links.insert((index, other), self.now_us + for_us);
            self.cut_links.insert((other, index), self.now_us + for_us);
        }
    }

    /// The processes that may act on a duty now.
    pub fn holders(&self, duty: &Duty) -> Vec<(usize, Epoch)> {
        let running = |index: &usize| self.processes[*index].paused_until_us <= self.now_us;
        (0..self.processes.len())
            .filter(running)
            .filter_map(|index| {
                let node = self.processes[index].node.as_ref()?;
                Some((index, node.member.active_epoch(self.clock(index), duty)?))
            })
            .collect()
    }

    pub fn leader(&self) -> Option<usize> {
        let leaders = self.processes.iter().filter_map(|p| p.node.as_ref()?.voter()?.leader());
        let mut votes: BTreeMap<MemberId, usize> = BTreeMap::new();
        leaders.for_each(|leader| *votes.entry(leader).or_default() += 1);
        votes.into_iter().max_by_key(|(_, count)| *count).map(|(leader, _)| leader.0 as usize - 1)
    }

    fn fault(&mut self) {
        let index = self.rng.usize(0..self.processes.len());
        let duration = self.rng.u64(1..self.profile.max_fault_us);
        match self.rng.u8(0..9) {
            0 => self.kill(index, duration),
            1 => self.processes[index].crash_on_write = true,
            2 | 3 => self.pause(index, duration),
            4 => self.cut_off(index, duration),
            5 => {
                let other = self.rng.usize(0..self.processes.len());
                self.cut_links.insert((index, other), self.now_us + duration);
            }
            6 => self.hand_over(index, duration / 40),
            7 => {
                // All processes at once.
                for index in 0..self.processes.len() {
                    self.kill(index, 1 + duration / 8);
                }
            }
            _ => {
                if let Some(leader) = self.leader() {
                    self.pause(leader, duration);
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: MemberId, message: PeerMessage) {
        self.stats.messages += 1;
        if self.counts_bytes {
            self.stats.bytes += postcard::to_allocvec(&message).map_or(0, |bytes| bytes.len() as u64);
        }
        let to = to.0 as usize - 1;
        if to >= self.processes.len()
            || self.cut_links.get(&(from, to)).is_some_and(|until| *until > self.now_us)
        {
            return;
        }
        let is_calm = self.now_us > self.profile.until_us;
        if !is_calm && self.rng.f64() < self.profile.loss {
            return;
        }
        let copies = if !is_calm && self.rng.f64() < self.profile.duplication { 2 } else { 1 };
        for _ in 0..copies {
            let is_late = !is_calm && self.rng.u8(0..100) < self.profile.late_percent;
            let max_delay_us =
                if is_late { self.profile.max_late_delay_us } else { self.profile.max_delay_us };
            let at = self.now_us + self.rng.u64(max_delay_us / 4..=max_delay_us);
            self.next_message_id += 1;
            self.in_flight.insert(self.next_message_id, message.clone());
            self.queue.push(Reverse((at, self.next_message_id, from, to)));
        }
    }

    fn poll(&mut self, index: usize) {
        let clock = self.clock(index);
        let process = &mut self.processes[index];
        let Some(node) = &mut process.node else { return };
        for duty in process.requested_duties.iter().filter(|_| !self.disabled.no_notes) {
            // A holder publishes one note under each epoch.
            if let Some(epoch) = node.member.active_epoch(clock, duty) {
                let payload = payload(id(index), epoch);
                if node.member.note(duty).is_none_or(|(note, _)| note.payload != payload) {
                    node.member.publish_note(clock, duty, payload);
                }
            }
        }
        let output = node.poll(clock);
        // A crash does most harm while records are being persisted.
        let crashes = process.crash_on_write && !output.records.is_empty();
        process.crash_on_write &= !crashes;
        let persists = !crashes || self.rng.bool();
        if persists {
            process.persisted.extend(output.records);
        }
        if !crashes && process.persisted.len() > 200 {
            if let Some(voter) = node.voter() {
                process.persisted = vec![voter.snapshot_record()];
            }
        }
        if crashes {
            if !persists && self.disabled.send_before_persisting {
                for (to, message) in output.messages {
                    self.send(index, to, message);
                }
            }
            let downtime_us = self.rng.u64(1..self.profile.max_fault_us);
            return self.kill(index, downtime_us);
        }
        for (to, message) in output.messages {
            self.send(index, to, message);
        }
        let next_poll = self.processes[index].node.as_ref().and_then(Node::next_poll);
        let wakes_at_us = next_poll.map_or(u64::MAX, |next_poll| self.real_time(index, next_poll));
        self.processes[index].wakes_at_us = wakes_at_us.max(self.now_us + 1);
    }

    /// Checks that all voters have the same table at the same version.
    fn check_tables(&mut self, index: usize) -> Result<(), String> {
        let node = self.processes[index].node.as_ref();
        let Some(voter) = node.and_then(Node::voter) else { return Ok(()) };
        let table = voter.table();
        let known = self.tables.entry(voter.version()).or_insert_with(|| table.clone());
        if known != table {
            return Err(format!("{} us: {} has {table:?}, others have {known:?}", self.now_us, id(index)));
        }
        if self.tables.len() > 5000 {
            self.tables.pop_first();
        }
        Ok(())
    }

    /// Checks that notes were published by the holder of their epoch, and that no older note follows a newer one.
    fn check_notes(&mut self, index: usize) -> Result<(), String> {
        let process = &mut self.processes[index];
        let Some(node) = &process.node else { return Ok(()) };
        for duty in &process.requested_duties {
            let Some((note, _)) = node.member.note(duty) else { continue };
            let holder = self.grants.get(&(duty.clone(), note.epoch)).copied();
            if holder.is_some_and(|holder| note.payload != payload(holder, note.epoch)) {
                return Err(format!(
                    "{} us: {duty}: {note:?} was published, but {holder:?} was the holder",
                    self.now_us
                ));
            }
            let last = process.last_note_epochs.insert(duty.clone(), note.epoch);
            if last.is_some_and(|last| last > note.epoch) {
                return Err(format!("{} us: {duty}: {note:?} after {last:?}", self.now_us));
            }
            self.stats.notes_seen += u64::from(last != Some(note.epoch));
        }
        Ok(())
    }

    /// Lets every process act on its duties, and checks that at most one may and that epochs are correct.
    fn check_holders(&mut self, duty_count: usize) -> Result<(), String> {
        for duty in (0..duty_count).map(duty) {
            let holders = self.holders(&duty);
            if holders.len() > 1 {
                return Err(format!("{} us: {duty} is held by {holders:?}", self.now_us));
            }
            let wanted =
                self.processes.iter().any(|p| p.node.is_some() && p.requested_duties.contains(&duty));
            match holders.first() {
                Some((index, epoch)) => {
                    self.stats.actions += 1;
                    self.stats.trace = self.stats.trace.rotate_left(5) ^ (self.now_us ^ epoch.0);
                    let highest = self.highest_epochs.entry(duty.clone()).or_default();
                    if *epoch < *highest {
                        return Err(format!("{} us: {duty} under {epoch} after {highest}", self.now_us));
                    }
                    *highest = *epoch;
                    let holder = *self.grants.entry((duty.clone(), *epoch)).or_insert(id(*index));
                    if holder != id(*index) {
                        return Err(format!(
                            "{} us: {duty} under {epoch} held by {holder} and by {}",
                            self.now_us,
                            id(*index)
                        ));
                    }
                    self.vacant_since_us.remove(&duty);
                }
                None if wanted && self.now_us > self.profile.until_us + self.profile.max_fault_us => {
                    let since = *self.vacant_since_us.entry(duty).or_insert(self.now_us);
                    self.stats.vacant_us = self.stats.vacant_us.max(self.now_us - since);
                }
                None => {}
            }
        }
        self.stats.grants = self.grants.len() as u64;
        Ok(())
    }

    /// Describes the state of all processes for debugging.
    pub fn debug_state(&self) -> String {
        let describe = |(index, process): (usize, &Process)| {
            let voter = process.node.as_ref().and_then(Node::voter);
            let voter = voter.map(|voter| (voter.leader(), voter.log_len(), voter.ballot_state()));
            let member = process.node.as_ref().map(|node| node.member.debug_state());
            format!(
                "{}: {:?} {voter:?} {member:?}; ",
                id(index),
                process.identity.as_ref().map(|identity| identity.incarnation)
            )
        };
        let table = self.processes.iter().find_map(|process| process.node.as_ref()?.table());
        format!("{table:?} {}", self.processes.iter().enumerate().map(describe).collect::<String>())
    }

    /// Runs the simulation until the given time. Returns an error if a check fails.
    pub fn run(&mut self, until_us: u64, duty_count: usize) -> Result<(), String> {
        while self.now_us < until_us {
            let starts = self.processes.iter().filter_map(|process| process.starts_at_us);
            let wakes = self
                .processes
                .iter()
                .filter(|p| p.node.is_some())
                .map(|p| p.wakes_at_us.max(p.paused_until_us));
            let message = self.queue.peek().map(|Reverse((at, ..))| *at);
            let fault = (self.next_fault_us <= self.profile.until_us).then_some(self.next_fault_us);
            let next_event = starts.chain(wakes).chain(message).chain(fault).min().unwrap_or(until_us);
            self.now_us = next_event.max(self.now_us).min(until_us);
            if self.next_fault_us <= self.now_us && self.next_fault_us <= self.profile.until_us {
                self.next_fault_us = self.now_us + self.rng.u64(1..2 * self.profile.fault_every_us);
                self.fault();
            }
            for index in 0..self.processes.len() {
                if self.processes[index].starts_at_us.is_some_and(|at| at <= self.now_us) {
                    self.start(index);
                }
            }
            while let Some(Reverse((_, message_id, from, to))) =
                self.queue.peek().copied().filter(|Reverse((at, ..))| *at <= self.now_us)
            {
                self.queue.pop();
                let Some(message) = self.in_flight.remove(&message_id) else { continue };
                let process = &mut self.processes[to];
                if process.node.is_some() && process.waiting.len() < 10_000 {
                    process.waiting.push((id(from), message));
                    process.wakes_at_us = self.now_us;
                }
            }
            for index in 0..self.processes.len() {
                if self.processes[index].paused_until_us > self.now_us
                    || self.processes[index].wakes_at_us > self.now_us
                {
                    continue;
                }
                // A process that wakes up may act before it reads any message.
                self.check_holders(duty_count)?;
                let clock = self.clock(index);
                let waiting = std::mem::take(&mut self.processes[index].waiting);
                if let Some(node) = &mut self.processes[index].node {
                    for (from, message) in waiting {
                        node.handle_message(clock, from, message).expect("messages of members are valid");
                    }
                }
                self.poll(index);
                self.check_tables(index)?;
                self.check_notes(index)?;
                self.check_holders(duty_count)?;
            }
        }
        Ok(())
    }
}
