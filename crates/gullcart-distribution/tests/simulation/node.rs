//! The nodes of a simulated fleet: their state machines, clocks and counters.

use std::time::Duration;

use gullcart_distribution::error::ProtocolError;
use gullcart_distribution::message::Message;
use gullcart_distribution::position::Position;
use gullcart_distribution::publisher::SubscriberId;
use gullcart_distribution::relay::{PeerId, Relay};
use gullcart_distribution::source::Source;
use gullcart_distribution::subscriber::Subscriber;
use gullcart_distribution::time::Instant;

/// Which node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum NodeId {
    Source(usize),
    Relay(usize),
    Courier(usize),
}

/// A clock that started somewhere and does not run at the rate of the simulation's time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    offset: u64,
    ppm: i64,
}

impl Clock {
    pub fn new(offset: u64, ppm: i64) -> Self {
        Self { offset, ppm }
    }

    /// The clock's time at a moment of the simulation, in microseconds.
    pub fn local(&self, global: u64) -> Instant {
        let drift = (global as i128 * i128::from(self.ppm)) / 1_000_000;
        Instant::from_micros((i128::from(self.offset) + i128::from(global) + drift) as u64)
    }

    /// The first moment of the simulation at which the clock has reached `local`.
    pub fn global(&self, local: Instant) -> u64 {
        let since_start = i128::from(local.as_micros()) - i128::from(self.offset);
        let mut global = (since_start * 1_000_000 / (1_000_000 + i128::from(self.ppm))).max(0) as u64;
        while self.local(global) < local {
            global += 1;
        }
        global
    }
}

/// The state machine of a node.
#[derive(Debug)]
pub enum Machine {
    Source(Box<Source>),
    Relay(Box<Relay>),
    Courier(Box<Subscriber>),
}

/// A link's number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

/// Where a message comes from or goes to, as the node sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    Up,
    Down(LinkId),
}

/// What a node has sent and taken in.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    pub bytes: u64,
    pub messages: u64,
    second: u64,
    bytes_in_second: u64,
    pub most_bytes_in_second: u64,
}

impl Traffic {
    pub fn count(&mut self, now: u64, bytes: usize) {
        self.bytes += bytes as u64;
        self.messages += 1;
        let second = now / 1_000_000;
        if second != self.second {
            self.second = second;
            self.bytes_in_second = 0;
        }
        self.bytes_in_second += bytes as u64;
        self.most_bytes_in_second = self.most_bytes_in_second.max(self.bytes_in_second);
    }
}

/// A node.
#[derive(Debug)]
pub struct Node {
    pub machine: Machine,
    pub clock: Clock,
    pub parents: Vec<NodeId>,
    pub next_parent: usize,
    /// The link to the parent.
    pub uplink: Option<LinkId>,
    pub downlinks: Vec<LinkId>,
    /// Events are held back until then.
    pub stopped_until: u64,
    pub is_up: bool,
    /// When its timer is set for.
    pub timer_at: Option<u64>,
    /// A connection is being made.
    pub is_connecting: bool,
    pub traffic: Traffic,
    /// The position at which the judge compared its state last.
    pub compared_at: Position,
}

impl Node {
    pub fn new(machine: Machine, clock: Clock, parents: Vec<NodeId>) -> Self {
        Self {
            machine,
            clock,
            parents,
            next_parent: 0,
            uplink: None,
            downlinks: Vec::new(),
            stopped_until: 0,
            is_up: true,
            timer_at: None,
            is_connecting: false,
            traffic: Traffic::default(),
            compared_at: Position::ORIGIN,
        }
    }

    pub fn handle(&mut self, now: Instant, side: Side, message: Message) -> Result<(), ProtocolError> {
        match (&mut self.machine, side) {
            (Machine::Source(source), Side::Down(link)) => source.handle(now, subscriber(link), message),
            (Machine::Relay(relay), side) => relay.handle(now, peer(side), message),
            (Machine::Courier(courier), Side::Up) => courier.handle(now, message),
            _ => unreachable!("no such link"),
        }
    }

    pub fn connected(&mut self, now: Instant, side: Side) {
        match (&mut self.machine, side) {
            (Machine::Source(source), Side::Down(link)) => source.connected(subscriber(link)),
            (Machine::Relay(relay), side) => relay.connected(now, peer(side)),
            (Machine::Courier(courier), Side::Up) => courier.connected(now),
            _ => unreachable!("no such link"),
        }
    }

    pub fn disconnected(&mut self, now: Instant, side: Side) {
        match (&mut self.machine, side) {
            (Machine::Source(source), Side::Down(link)) => source.disconnected(now, subscriber(link)),
            (Machine::Relay(relay), side) => relay.disconnected(now, peer(side)),
            (Machine::Courier(courier), Side::Up) => courier.disconnected(now),
            _ => unreachable!("no such link"),
        }
    }

    pub fn connect_failed(&mut self, now: Instant) {
        match &mut self.machine {
            Machine::Source(_) => {}
            Machine::Relay(relay) => relay.connect_failed(now),
            Machine::Courier(courier) => courier.connect_failed(now),
        }
    }

    pub fn poll_output(&mut self) -> Option<(Side, Message)> {
        match &mut self.machine {
            Machine::Source(source) => {
                let (to, message) = source.poll_output()?;
                Some((Side::Down(LinkId(to.0)), message))
            }
            Machine::Relay(relay) => {
                let (to, message) = relay.poll_output()?;
                Some((side_of(to), message))
            }
            Machine::Courier(courier) => Some((Side::Up, courier.poll_output()?)),
        }
    }

    pub fn next_timeout(&self, now: Instant) -> Option<Instant> {
        match &self.machine {
            Machine::Source(source) => source.next_timeout(now),
            Machine::Relay(relay) => relay.next_timeout(now),
            Machine::Courier(courier) => courier.next_timeout(),
        }
    }

    pub fn on_timeout(&mut self, now: Instant) {
        match &mut self.machine {
            Machine::Source(source) => source.on_timeout(now),
            Machine::Relay(relay) => relay.on_timeout(now),
            Machine::Courier(courier) => courier.on_timeout(now),
        }
    }

    /// Its side towards the parent.
    pub fn upstream(&self) -> Option<&Subscriber> {
        match &self.machine {
            Machine::Source(_) => None,
            Machine::Relay(relay) => Some(relay.upstream()),
            Machine::Courier(courier) => Some(courier),
        }
    }

    /// How long a moment of its clock is still to come, in the simulation's time.
    pub fn until(&self, global: u64, local: Instant) -> Duration {
        Duration::from_micros(self.clock.global(local).saturating_sub(global))
    }
}

fn subscriber(link: LinkId) -> SubscriberId {
    SubscriberId(link.0)
}

fn peer(side: Side) -> PeerId {
    match side {
        Side::Up => PeerId::Upstream,
        Side::Down(link) => PeerId::Subscriber(subscriber(link)),
    }
}

fn side_of(peer: PeerId) -> Side {
    match peer {
        PeerId::Upstream => Side::Up,
        PeerId::Subscriber(subscriber) => Side::Down(LinkId(subscriber.0)),
    }
}
