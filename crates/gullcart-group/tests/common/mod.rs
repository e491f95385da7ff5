//! A group in virtual time: nodes with clocks that drift, a network that loses, repeats, delays and reorders, processes that
//! stop, die and come back with what they kept. The same seed gives the same trace.
#![allow(dead_code)]

use gullcart_group::door::{Left, Mark, Origin, Passport};
use gullcart_group::log::{Image, Record};
use gullcart_group::member::Packed;
use gullcart_group::node::Node;
use gullcart_group::order::Run;
use gullcart_group::say::Say;
use gullcart_group::table::Table;
use gullcart_group::vocabulary::*;
use gullcart_group::{member, voter};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

pub const SECOND: u64 = 1_000_000;

pub fn duty(number: usize) -> Duty {
    Duty::new(&format!("trials/{number}")).unwrap()
}

/// What may happen, and how often.
#[derive(Clone, Copy, Debug)]
pub struct Weather {
    pub loss: f64,
    pub twice: f64,
    /// Usual delay, and that of so many messages in a hundred.
    pub delay_us: (u64, u64),
    pub late_percent: u8,
    /// Mean time between two faults.
    pub fault_every_us: u64,
    /// How long stalls and cuts last at most.
    pub fault_us: u64,
    pub drift_ppm: i64,
    /// When faults end.
    pub until_us: u64,
}

impl Default for Weather {
    fn default() -> Self {
        Weather {
            loss: 0.03,
            twice: 0.03,
            delay_us: (2_000, 400_000),
            late_percent: 1,
            fault_every_us: SECOND,
            fault_us: 4 * SECOND,
            drift_ppm: 19_000,
            until_us: 40 * SECOND,
        }
    }
}

struct Process {
    node: Option<Node>,
    /// What its folder says of it.
    passport: Option<Passport>,
    /// What a process before gave to the one that goes on in its place, and may yet come back to itself.
    given: Option<(Packed, Left)>,
    kept: Vec<Record>,
    rate: f64,
    offset: u64,
    /// It does nothing until then, and messages wait for it.
    stopped_until: u64,
    waiting: Vec<(MemberId, Say)>,
    /// It is started again then.
    starts_at: Option<u64>,
    /// One turn of it was cut off before what it wrote was kept, or before what it said was sent.
    is_torn: bool,
    wants: Vec<Duty>,
    /// The epoch under which something was told last of each, in this start.
    told: BTreeMap<Duty, Epoch>,
    wake: u64,
}

/// What was seen.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Seen {
    pub acts: u64,
    pub grants: u64,
    pub trace: u64,
    /// Longest time in which nobody held a duty that was wanted, after the faults were over.
    pub vacant_us: u64,
    pub messages: u64,
    /// ... and their bytes, where they are weighed.
    pub bytes: u64,
    /// Words of holders that somebody heard for the first time.
    pub told: u64,
}

#[derive(Clone, Copy, Default)]
pub struct Guards {
    pub member: member::Unguarded,
    pub voter: voter::Unguarded,
    /// A voter that comes back has forgotten all.
    pub forgets_votes: bool,
    /// Messages leave although what they promise was not kept.
    pub sends_before_keeping: bool,
    /// Holders tell nothing: no guard, but days stay as they were when rare breaches were found.
    pub tells_nothing: bool,
    /// Words between voters are listened to in whatever order they come.
    pub hears_late_words: bool,
    /// Who gave itself up to another process, and comes back, goes on as it was whatever that one did.
    pub goes_on_anyway: bool,
}

pub struct World {
    pub now: u64,
    processes: Vec<Process>,
    voters: Vec<MemberId>,
    queue: BinaryHeap<Reverse<(u64, u64, usize, usize)>>,
    under_way: BTreeMap<u64, Say>,
    next: u64,
    cut: BTreeMap<(usize, usize), u64>,
    rng: fastrand::Rng,
    weather: Weather,
    terms: Terms,
    guards: Guards,
    next_fault: u64,
    highest: BTreeMap<Duty, Epoch>,
    grants: BTreeMap<(Duty, Epoch), MemberId>,
    vacant_since: BTreeMap<Duty, u64>,
    /// The table that voters came to, by its version: they must all come to the same.
    agreed: BTreeMap<u64, Table>,
    pub weighs: bool,
    pub seen: Seen,
}

/// What a holder tells: who it is, and under which epoch.
fn words(member: MemberId, epoch: Epoch) -> Words {
    Words::new(&[member.0.to_le_bytes(), epoch.0.to_le_bytes()].concat()).unwrap()
}

pub fn id(place: usize) -> MemberId {
    MemberId(place as u64 + 1)
}

impl World {
    pub fn new(members: usize, voters: usize, seed: u64, weather: Weather, guards: Guards) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let processes = (0..members).map(|_| Process {
            node: None,
            passport: None,
            given: None,
            kept: Vec::new(),
            rate: 1.0 + rng.i64(-weather.drift_ppm..=weather.drift_ppm) as f64 / 1e6,
            offset: rng.u64(0..1000 * SECOND),
            stopped_until: 0,
            waiting: Vec::new(),
            starts_at: Some(0),
            is_torn: false,
            wants: Vec::new(),
            told: BTreeMap::new(),
            wake: 0,
        });
        let mut world = World {
            now: 0,
            processes: processes.collect(),
            voters: (0..voters).map(id).collect(),
            queue: BinaryHeap::new(),
            under_way: BTreeMap::new(),
            next: 0,
            cut: BTreeMap::new(),
            rng,
            weather,
            terms: Terms { lease: Duration::from_secs(1), drift_ppm: 20_000 },
            guards,
            next_fault: weather.fault_every_us,
            highest: BTreeMap::new(),
            grants: BTreeMap::new(),
            vacant_since: BTreeMap::new(),
            agreed: BTreeMap::new(),
            weighs: false,
            seen: Seen::default(),
        };
        if weather.fault_every_us == 0 {
            world.next_fault = u64::MAX;
        }
        world
    }

    pub fn want(&mut self, place: usize, duties: usize) {
        self.processes[place].wants = (0..duties).map(duty).collect();
    }

    fn clock(&self, place: usize) -> Moment {
        let process = &self.processes[place];
        Moment(process.offset + (self.now as f64 * process.rate) as u64)
    }

    /// The right time at which a process's clock shows some moment.
    fn when(&self, place: usize, moment: Moment) -> u64 {
        let process = &self.processes[place];
        (moment.0.saturating_sub(process.offset) as f64 / process.rate).ceil() as u64 + 1
    }

    fn start(&mut self, place: usize) {
        let now = self.clock(place);
        let seed = self.rng.u64(..);
        let process = &mut self.processes[place];
        process.starts_at = None;
        let mark = Mark { device: 1, inode: place as u64, made_ns: 1 };
        let left = process.given.as_ref().map(|(_, left)| *left);
        let left = left.map(|left| match (&process.passport, self.guards.goes_on_anyway) {
            (Some(passport), true) => passport.left(),
            _ => left,
        });
        let origin = Origin::of(process.passport.take(), mark, 1, left);
        let goes_on = matches!(origin, Origin::GoesOn(_));
        let passport = process.passport.insert(origin.passport());
        let run = Run { life: passport.life, hand: passport.hand, begun: 0 };
        // It may be given back, by a process that does not serve.
        let given = process.given.take();
        if self.rng.bool() {
            process.given = given.clone();
        }
        if self.guards.forgets_votes {
            process.kept.clear();
        }
        let image = Image::replay(process.kept.iter().cloned());
        let me = id(place);
        let mut node = Node::new(me, run, &self.voters, self.terms, Some(image), seed, now).unwrap();
        node.member = node.member.without(self.guards.member);
        node.hear_late_words(self.guards.hears_late_words);
        if let Some(voter) = node.voter_mut() {
            voter.guard(self.guards.voter);
            voter.keep_entries(24);
        }
        if let Some((packed, _)) = given.filter(|_| goes_on) {
            assert!(node.go_on(packed, now), "it is of this life and clock");
        }
        for duty in process.wants.clone() {
            node.member.want(now, &duty);
        }
        process.node = Some(node);
        process.told.clear();
        process.wake = self.now;
    }

    pub fn kill(&mut self, place: usize, for_us: u64) {
        let process = &mut self.processes[place];
        process.node = None;
        process.waiting.clear();
        process.starts_at = Some(self.now + for_us);
    }

    /// An upgrade: another process goes on in its place.
    pub fn hand_over(&mut self, place: usize, for_us: u64) {
        let process = &mut self.processes[place];
        let (Some(node), Some(passport)) = (process.node.take(), &process.passport) else { return };
        process.given = Some((node.member.pack(), passport.left()));
        process.waiting.clear();
        process.starts_at = Some(self.now + for_us);
    }

    pub fn stop(&mut self, place: usize, for_us: u64) {
        self.processes[place].stopped_until = self.now + for_us;
    }

    pub fn cut_off(&mut self, place: usize, for_us: u64) {
        for other in 0..self.processes.len() {
            self.cut.insert((place, other), self.now + for_us);
            self.cut.insert((other, place), self.now + for_us);
        }
    }

    /// Who may act on a duty now.
    pub fn holders(&self, duty: &Duty) -> Vec<(usize, Epoch)> {
        let running = |place: &usize| self.processes[*place].stopped_until <= self.now;
        (0..self.processes.len())
            .filter(running)
            .filter_map(|place| {
                let node = self.processes[place].node.as_ref()?;
                Some((place, node.member.may_act(self.clock(place), duty)?))
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
        let place = self.rng.usize(0..self.processes.len());
        let long = self.rng.u64(1..self.weather.fault_us);
        match self.rng.u8(0..9) {
            0 => self.kill(place, long),
            1 => self.processes[place].is_torn = true,
            2 | 3 => self.stop(place, long),
            4 => self.cut_off(place, long),
            5 => {
                let other = self.rng.usize(0..self.processes.len());
                self.cut.insert((place, other), self.now + long);
            }
            6 => self.hand_over(place, long / 40),
            7 => {
                // All at once.
                for place in 0..self.processes.len() {
                    self.kill(place, 1 + long / 8);
                }
            }
            _ => {
                if let Some(leader) = self.leader() {
                    self.stop(leader, long);
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: MemberId, say: Say) {
        self.seen.messages += 1;
        if self.weighs {
            self.seen.bytes += postcard::to_allocvec(&say).map_or(0, |bytes| bytes.len() as u64);
        }
        let to = to.0 as usize - 1;
        if to >= self.processes.len() || self.cut.get(&(from, to)).is_some_and(|until| *until > self.now) {
            return;
        }
        let calm = self.now > self.weather.until_us;
        if !calm && self.rng.f64() < self.weather.loss {
            return;
        }
        let copies = if !calm && self.rng.f64() < self.weather.twice { 2 } else { 1 };
        for _ in 0..copies {
            let (usual, seldom) = self.weather.delay_us;
            let most = if !calm && self.rng.u8(0..100) < self.weather.late_percent { seldom } else { usual };
            let at = self.now + self.rng.u64(most / 4..=most);
            self.next += 1;
            self.under_way.insert(self.next, say.clone());
            self.queue.push(Reverse((at, self.next, from, to)));
        }
    }

    fn turn(&mut self, place: usize) {
        let clock = self.clock(place);
        let process = &mut self.processes[place];
        let Some(node) = &mut process.node else { return };
        for duty in process.wants.iter().filter(|_| !self.guards.tells_nothing) {
            // Who holds it says so once under each epoch.
            if let Some(epoch) = node.member.may_act(clock, duty) {
                let words = words(id(place), epoch);
                if node.member.note(duty).is_none_or(|(note, _)| note.words != words) {
                    node.member.tell(clock, duty, words);
                }
            }
        }
        let output = node.turn(clock);
        // A cut is worst where something was to be kept.
        let torn = process.is_torn && !output.records.is_empty();
        process.is_torn &= !torn;
        let keeps = !torn || self.rng.bool();
        if keeps {
            process.kept.extend(output.records);
        }
        if !torn && process.kept.len() > 200 {
            if let Some(voter) = node.voter() {
                process.kept = vec![voter.image()];
            }
        }
        if torn {
            if !keeps && self.guards.sends_before_keeping {
                for (to, say) in output.messages {
                    self.send(place, to, say);
                }
            }
            let away = self.rng.u64(1..self.weather.fault_us);
            return self.kill(place, away);
        }
        for (to, say) in output.messages {
            self.send(place, to, say);
        }
        let next = self.processes[place].node.as_ref().and_then(Node::next_turn);
        let wake = next.map_or(u64::MAX, |next| self.when(place, next));
        self.processes[place].wake = wake.max(self.now + 1);
    }

    /// Voters agree: at each version they have one table.
    fn agrees(&mut self, place: usize) -> Result<(), String> {
        let node = self.processes[place].node.as_ref();
        let Some(voter) = node.and_then(Node::voter) else { return Ok(()) };
        let table = voter.table();
        let known = self.agreed.entry(voter.version()).or_insert_with(|| table.clone());
        if known != table {
            return Err(format!("{} us: {} came to {table:?}, others to {known:?}", self.now, id(place)));
        }
        if self.agreed.len() > 5000 {
            self.agreed.pop_first();
        }
        Ok(())
    }

    /// What is told of a duty was told by who held it then, and nothing older comes after it.
    fn hears(&mut self, place: usize) -> Result<(), String> {
        let process = &mut self.processes[place];
        let Some(node) = &process.node else { return Ok(()) };
        for duty in &process.wants {
            let Some((note, _)) = node.member.note(duty) else { continue };
            let holder = self.grants.get(&(duty.clone(), note.epoch)).copied();
            if holder.is_some_and(|holder| note.words != words(holder, note.epoch)) {
                return Err(format!("{} us: {duty}: {note:?} was told, and {holder:?} held it", self.now));
            }
            let last = process.told.insert(duty.clone(), note.epoch);
            if last.is_some_and(|last| last > note.epoch) {
                return Err(format!("{} us: {duty}: {note:?} after {last:?}", self.now));
            }
            self.seen.told += u64::from(last != Some(note.epoch));
        }
        Ok(())
    }

    /// Everybody who may act does; what lands is judged. An error is a breach.
    fn judge(&mut self, duties: usize) -> Result<(), String> {
        for duty in (0..duties).map(duty) {
            let holders = self.holders(&duty);
            if holders.len() > 1 {
                return Err(format!("{} us: {duty} is held by {holders:?}", self.now));
            }
            let wanted = self.processes.iter().any(|p| p.node.is_some() && p.wants.contains(&duty));
            match holders.first() {
                Some((place, epoch)) => {
                    self.seen.acts += 1;
                    self.seen.trace = self.seen.trace.rotate_left(5) ^ (self.now ^ epoch.0);
                    let highest = self.highest.entry(duty.clone()).or_default();
                    if *epoch < *highest {
                        return Err(format!("{} us: {duty} under {epoch} after {highest}", self.now));
                    }
                    *highest = *epoch;
                    let of = *self.grants.entry((duty.clone(), *epoch)).or_insert(id(*place));
                    if of != id(*place) {
                        return Err(format!(
                            "{} us: {duty} under {epoch} by {of} and by {}",
                            self.now,
                            id(*place)
                        ));
                    }
                    self.vacant_since.remove(&duty);
                }
                None if wanted && self.now > self.weather.until_us + self.weather.fault_us => {
                    let since = *self.vacant_since.entry(duty).or_insert(self.now);
                    self.seen.vacant_us = self.seen.vacant_us.max(self.now - since);
                }
                None => {}
            }
        }
        self.seen.grants = self.grants.len() as u64;
        Ok(())
    }

    /// How each voter stands.
    pub fn standing(&self) -> String {
        let of = |(place, process): (usize, &Process)| {
            let voter = process.node.as_ref().and_then(Node::voter);
            let voter = voter.map(|voter| (voter.leader(), voter.log_len(), voter.phase()));
            let member = process.node.as_ref().map(|node| node.member.standing());
            format!("{}: {:?} {voter:?} {member:?}; ", id(place), process.passport.as_ref().map(|of| of.life))
        };
        let table = self.processes.iter().find_map(|process| process.node.as_ref()?.table());
        format!("{table:?} {}", self.processes.iter().enumerate().map(of).collect::<String>())
    }

    /// Plays until some time. An error is a breach, with the time of it.
    pub fn play(&mut self, until: u64, duties: usize) -> Result<(), String> {
        while self.now < until {
            let starts = self.processes.iter().filter_map(|process| process.starts_at);
            let wakes =
                self.processes.iter().filter(|p| p.node.is_some()).map(|p| p.wake.max(p.stopped_until));
            let message = self.queue.peek().map(|Reverse((at, ..))| *at);
            let fault = (self.next_fault <= self.weather.until_us).then_some(self.next_fault);
            let next = starts.chain(wakes).chain(message).chain(fault).min().unwrap_or(until);
            self.now = next.max(self.now).min(until);
            if self.next_fault <= self.now && self.next_fault <= self.weather.until_us {
                self.next_fault = self.now + self.rng.u64(1..2 * self.weather.fault_every_us);
                self.fault();
            }
            for place in 0..self.processes.len() {
                if self.processes[place].starts_at.is_some_and(|at| at <= self.now) {
                    self.start(place);
                }
            }
            while let Some(Reverse((_, number, from, to))) =
                self.queue.peek().copied().filter(|Reverse((at, ..))| *at <= self.now)
            {
                self.queue.pop();
                let Some(say) = self.under_way.remove(&number) else { continue };
                let process = &mut self.processes[to];
                if process.node.is_some() && process.waiting.len() < 10_000 {
                    process.waiting.push((id(from), say));
                    process.wake = self.now;
                }
            }
            for place in 0..self.processes.len() {
                if self.processes[place].stopped_until > self.now || self.processes[place].wake > self.now {
                    continue;
                }
                // A process that wakes may act before it reads anything.
                self.judge(duties)?;
                let clock = self.clock(place);
                let waiting = std::mem::take(&mut self.processes[place].waiting);
                if let Some(node) = &mut self.processes[place].node {
                    for (from, say) in waiting {
                        node.hear(clock, from, say).expect("what members say to each other is right");
                    }
                }
                self.turn(place);
                self.agrees(place)?;
                self.hears(place)?;
                self.judge(duties)?;
            }
        }
        Ok(())
    }
}
