//! A fleet in virtual time: sources, relays and couriers, links with latency and faults, and a judge.
//!
//! Every message is encoded and decoded as on a socket. The same plan and the same calls give the same run.
#![allow(dead_code)] // each test uses a part

mod build;
mod checks;
pub mod day;
mod faults;
pub mod judge;
mod links;
pub mod node;
pub mod plan;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

use fastrand::Rng;
use gullcart_distribution::codec;
use gullcart_distribution::limits::{CLOCK_DRIFT_DIVISOR, LEASE};
use gullcart_distribution::position::{Epoch, Position};
use gullcart_distribution::scope::{Key, Scope, Value};
use gullcart_distribution::source::{Edit, Source, SourceState};
use gullcart_distribution::subscriber::{Acting, Subscriber};

use self::judge::{Judge, Violation};
use self::node::{LinkId, Machine, Node, NodeId};
use self::plan::Plan;

/// Longest time from the numbering of a change until it is in force.
pub const IN_FORCE_LIMIT_MICROS: u64 = 3_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    Up,
    Down,
}

#[derive(Debug)]
enum Event {
    Deliver { link: LinkId, direction: Direction, bytes: Vec<u8> },
    Timer(NodeId),
    Connect(NodeId),
    Opened { link: LinkId },
    Closed { link: LinkId, at: NodeId },
}

#[derive(Debug)]
struct Scheduled {
    at: u64,
    order: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

#[derive(Debug)]
struct Link {
    child: NodeId,
    parent: NodeId,
    /// When the last message of each direction arrives.
    last_arrival: [u64; 2],
    /// What waits for the end of a cut.
    held: Vec<(Direction, Vec<u8>)>,
    child_open: bool,
    parent_open: bool,
}

/// Processor time of all nodes of a kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct Processor {
    pub sources: Duration,
    pub relays: Duration,
    pub couriers: Duration,
}

/// The fleet.
pub struct Fleet {
    pub plan: Plan,
    pub now: u64,
    pub judge: Judge,
    pub processor: Processor,
    pub measure_processor: bool,
    /// Where a courier acted on nothing when it was sampled, out of all samples.
    pub not_current_samples: u64,
    pub samples: u64,
    pub errors: BTreeMap<String, usize>,
    nodes: BTreeMap<NodeId, Node>,
    links: BTreeMap<LinkId, Link>,
    events: BinaryHeap<Reverse<Scheduled>>,
    next_order: u64,
    next_link: u64,
    random: Rng,
    cut_regions: BTreeSet<usize>,
    /// Bytes a second that a slow courier reads.
    slow_couriers: BTreeMap<usize, u64>,
    current_source: usize,
    epoch: Epoch,
    pending: BTreeMap<Position, Scope>,
}

impl Fleet {
    /// A fleet with its state set at the source, and nobody connected yet.
    pub fn new(plan: Plan) -> Self {
        let mut fleet = Self {
            now: 1_000_000,
            judge: Judge::default(),
            processor: Processor::default(),
            measure_processor: false,
            not_current_samples: 0,
            samples: 0,
            errors: BTreeMap::new(),
            nodes: BTreeMap::new(),
            links: BTreeMap::new(),
            events: BinaryHeap::new(),
            next_order: 0,
            next_link: 1,
            random: Rng::with_seed(plan.seed),
            cut_regions: BTreeSet::new(),
            slow_couriers: BTreeMap::new(),
            current_source: 0,
            epoch: Epoch(1),
            pending: BTreeMap::new(),
            plan,
        };
        fleet.add_source(0, SourceState::default());
        fleet.add_relays();
        fleet.add_couriers();
        fleet.set_initial_state();
        fleet
    }

    /// Sets the key of a number in a scope to a new value.
    pub fn set(&mut self, scope: Scope, number: usize) {
        let mut value = vec![0; self.plan.value_bytes];
        self.random.fill(&mut value);
        self.change(scope, number, Some(Value::new(value).expect("short")));
    }

    /// Removes the key of a number from a scope.
    pub fn remove(&mut self, scope: Scope, number: usize) {
        self.change(scope, number, None);
    }

    fn change(&mut self, scope: Scope, number: usize, value: Option<Value>) {
        let source = NodeId::Source(self.current_source);
        self.change_at(source, self.epoch, scope, number, value);
    }

    /// A change by the writer of `epoch`. Refused ones are not noted.
    pub fn change_at(&mut self, id: NodeId, epoch: Epoch, scope: Scope, number: usize, value: Option<Value>) {
        let now = self.now;
        let edit = Edit { scope, key: key(number), value };
        let current = id == NodeId::Source(self.current_source);
        let foreign = current && epoch != self.epoch;
        let node = self.nodes.get_mut(&id).expect("a node");
        let Machine::Source(source) = &mut node.machine else {
            unreachable!("a source");
        };
        let Ok(position) = source.change(node.clock.local(now), epoch, edit) else {
            return;
        };
        if foreign {
            self.judge.report(Violation::ForeignWriter, format!("{now} us: {position:?} of {epoch:?}"));
        }
        if current {
            self.judge.changed(scope, position, source.store().digest(scope));
            self.pending.insert(position, scope);
        }
        self.after_call(id);
    }

    /// A new source takes over what the current one has, and the old one goes on with its writer and its links. As with a
    /// lease of the writers, the tenure of the old one, and so all leases that it granted, end before the new one begins.
    pub fn replace_source(&mut self, beyond_leases: Duration) {
        let tenure = LEASE + beyond_leases;
        let old = NodeId::Source(self.current_source);
        let now = self.now;
        let node = self.nodes.get_mut(&old).expect("a node");
        let until = node.clock.local(now) + tenure;
        let Machine::Source(source) = &mut node.machine else {
            unreachable!("a source");
        };
        source.extend_tenure(until);
        let state = source.state().clone();
        let kept = source.position();
        self.run_for(tenure + tenure / CLOCK_DRIFT_DIVISOR);
        self.epoch = Epoch(self.epoch.0 + 1);
        self.current_source += 1;
        self.judge.cut_back(kept);
        self.pending.clear();
        self.add_source(self.current_source, state);
        for region in 0..self.plan.regions {
            let parents = vec![old, NodeId::Source(self.current_source)];
            self.nodes.get_mut(&NodeId::Relay(region)).expect("a node").parents = parents;
        }
    }

    /// The current source.
    pub fn source(&self) -> NodeId {
        NodeId::Source(self.current_source)
    }

    /// The current epoch.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// The digest of a scope at the source.
    fn source_machine(&self) -> &Source {
        match &self.nodes[&self.source()].machine {
            Machine::Source(source) => source,
            _ => unreachable!("a source"),
        }
    }

    /// A node.
    pub fn node(&self, id: NodeId) -> &Node {
        &self.nodes[&id]
    }

    /// All nodes.
    pub fn nodes(&self) -> impl Iterator<Item = (&NodeId, &Node)> {
        self.nodes.iter()
    }

    /// The couriers.
    pub fn couriers(&self) -> impl Iterator<Item = (usize, &Node, &Subscriber)> {
        self.nodes.iter().filter_map(|(id, node)| match (id, &node.machine) {
            (NodeId::Courier(number), Machine::Courier(courier)) => Some((*number, node, &**courier)),
            _ => None,
        })
    }

    /// Forgets what was counted so far.
    pub fn reset_counters(&mut self) {
        self.judge.in_force_micros.clear();
        self.processor = Processor::default();
        self.not_current_samples = 0;
        self.samples = 0;
        self.errors.clear();
        for node in self.nodes.values_mut() {
            node.traffic = Default::default();
        }
    }

    /// Runs for a span.
    pub fn run_for(&mut self, span: Duration) {
        self.run_until(self.now + micros(span));
    }

    /// Runs until a moment.
    pub fn run_until(&mut self, end: u64) {
        while self.events.peek().is_some_and(|Reverse(next)| next.at <= end) {
            let Some(Reverse(next)) = self.events.pop() else {
                break;
            };
            self.now = next.at.max(self.now);
            self.take_event(next.event);
        }
        self.now = end.max(self.now);
    }

    /// Runs in steps of a second, and looks after each how many couriers may not act.
    pub fn run_sampled(&mut self, span: Duration) {
        let end = self.now + micros(span);
        while self.now < end {
            self.run_until(end.min(self.now + 1_000_000));
            self.sample();
        }
    }

    /// Looks how many couriers may not act.
    pub fn sample(&mut self) {
        let now = self.now;
        let not_current = |(_, node, courier): &(usize, &Node, &Subscriber)| {
            node.stopped_until <= now
                && courier.acting(node.clock.local(now), Scope::Global) == Acting::NotCurrent
        };
        self.not_current_samples += self.couriers().filter(not_current).count() as u64;
        self.samples += self.plan.couriers as u64;
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.next_order += 1;
        self.events.push(Reverse(Scheduled { at, order: self.next_order, event }));
    }

    fn take_event(&mut self, event: Event) {
        match event {
            Event::Deliver { link, direction, bytes } => self.deliver(link, direction, bytes),
            Event::Timer(id) => self.fire_timer(id),
            Event::Connect(id) => self.connect(id),
            Event::Opened { link } => self.opened(link),
            Event::Closed { link, at } => self.close_at(link, at),
        }
    }

    /// Puts an event off if the node is stopped.
    fn is_put_off(&mut self, id: NodeId, event: impl FnOnce() -> Event) -> bool {
        let until = self.nodes[&id].stopped_until;
        if until <= self.now {
            return false;
        }
        self.schedule(until, event());
        true
    }

    fn fire_timer(&mut self, id: NodeId) {
        if self.nodes[&id].timer_at != Some(self.now) {
            // It was set anew, or put off.
            if self.nodes[&id].timer_at.is_none_or(|at| at > self.now) {
                return;
            }
        }
        if self.is_put_off(id, || Event::Timer(id)) {
            return;
        }
        let now = self.now;
        self.timed(id, |node| {
            node.timer_at = None;
            node.on_timeout(node.clock.local(now));
        });
        self.after_call(id);
    }

    /// Calls a node, and counts its processor time.
    fn timed<T>(&mut self, id: NodeId, call: impl FnOnce(&mut Node) -> T) -> T {
        let node = self.nodes.get_mut(&id).expect("a node");
        if !self.measure_processor {
            return call(node);
        }
        let begin = std::time::Instant::now();
        let result = call(node);
        let spent = begin.elapsed();
        match id {
            NodeId::Source(_) => self.processor.sources += spent,
            NodeId::Relay(_) => self.processor.relays += spent,
            NodeId::Courier(_) => self.processor.couriers += spent,
        }
        result
    }

    /// Sends what a node has to say, sets its timer, and looks what has become of it.
    fn after_call(&mut self, id: NodeId) {
        while let Some((side, bytes)) = self.timed(id, |node| {
            let (side, message) = node.poll_output()?;
            Some((side, codec::encode(&message).expect("within the limits")))
        }) {
            self.send(id, side, bytes);
        }
        self.close_if_wanted(id);
        self.set_timer(id);
        self.check(id);
    }

    fn set_timer(&mut self, id: NodeId) {
        let now = self.now;
        let node = self.nodes.get_mut(&id).expect("a node");
        let local = node.clock.local(now);
        let Some(timeout) = node.next_timeout(local) else {
            node.timer_at = None;
            return;
        };
        let at = node.clock.global(timeout).max(now);
        if node.timer_at == Some(at) {
            return;
        }
        node.timer_at = Some(at);
        self.schedule(at, Event::Timer(id));
    }

    /// Takes a node away, to see what it held.
    pub fn take_node(&mut self, id: NodeId) -> Option<Node> {
        self.nodes.remove(&id)
    }

    /// Whether every courier is current in every scope and has what the source has; else the first that has not.
    pub fn converged(&self) -> Result<(), String> {
        let source = self.source_machine();
        for (number, node, courier) in self.couriers() {
            let now = node.clock.local(self.now);
            for scope in courier.scopes() {
                if courier.acting(now, *scope) == Acting::NotCurrent {
                    return Err(format!("courier {number} is not current in {scope:?}"));
                }
                let here = courier.store().scope(*scope).map(|state| state.entries());
                let there = source.store().scope(*scope).map(|state| state.entries());
                if here.into_iter().flatten().ne(there.into_iter().flatten()) {
                    return Err(format!("courier {number} has another {scope:?}"));
                }
            }
        }
        Ok(())
    }
}

/// The key of a number.
pub fn key(number: usize) -> Key {
    Key::new(format!("key-{number}")).expect("short")
}

/// Microseconds of a span.
pub fn micros(span: Duration) -> u64 {
    span.as_micros() as u64
}
