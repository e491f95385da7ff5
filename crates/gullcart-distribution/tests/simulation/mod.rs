//! A fleet in virtual time: sources, relays and couriers, links with latency and faults, and a judge.
//!
//! Every message is encoded and decoded as on a socket. The same plan and the same calls give the same run.
#![allow(dead_code)] // each test uses a part

pub mod day;
pub mod judge;
pub mod node;
pub mod plan;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

use fastrand::Rng;
use gullcart_distribution::codec;
use gullcart_distribution::limits::{
    CLOCK_DRIFT_DIVISOR, FRAME_BYTES, LEASE, MAX_SNAPSHOTS_UNDER_WAY, MAX_VALUE_BYTES, WINDOW_BYTES,
};
use gullcart_distribution::position::{Epoch, Position};
use gullcart_distribution::relay::Relay;
use gullcart_distribution::scope::{Key, Scope, Value};
use gullcart_distribution::source::{Edit, Source, SourceState};
use gullcart_distribution::subscriber::{Acting, Role, Subscriber};

use self::judge::{Judge, Violation};
use self::node::{Clock, LinkId, Machine, Node, NodeId, Side};
use self::plan::Plan;

/// Longest time from the numbering of a change until it is in force.
pub const IN_FORCE_LIMIT_MICROS: u64 = 3_000_000;

/// A connection that can't be made is given up after this time.
const CONNECT_FAILURE_MICROS: u64 = 100_000;

/// The other end of a link that is cut off hears of its end after this time at the latest.
const KEEPALIVE_MICROS: u64 = 15_000_000;

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

    fn add_source(&mut self, number: usize, state: SourceState) {
        let clock = self.random_clock();
        let mut source = Source::new(clock.local(self.now), state, self.random.u64(..));
        source.set_guards(self.plan.guards);
        source.begin_epoch(clock.local(self.now), self.epoch).expect("a later epoch");
        let node = Node::new(Machine::Source(Box::new(source)), clock, Vec::new());
        self.nodes.insert(NodeId::Source(number), node);
    }

    fn add_relays(&mut self) {
        for region in 0..self.plan.regions {
            self.add_relay(region, vec![NodeId::Source(0)]);
        }
        for zone in 0..self.plan.zones {
            let region = self.plan.region_of(zone);
            let other = (region + 1) % self.plan.regions;
            self.add_relay(self.plan.regions + zone, vec![NodeId::Relay(region), NodeId::Relay(other)]);
        }
    }

    fn add_relay(&mut self, number: usize, parents: Vec<NodeId>) {
        let mut relay = Relay::new(self.random.u64(..));
        relay.set_guards(self.plan.guards);
        let node = Node::new(Machine::Relay(Box::new(relay)), self.random_clock(), parents);
        self.nodes.insert(NodeId::Relay(number), node);
        self.schedule_connect(NodeId::Relay(number), self.now);
    }

    fn add_couriers(&mut self) {
        for courier in 0..self.plan.couriers {
            let zone = self.plan.zone_of(courier);
            let relays = [zone, self.plan.neighbour_of(zone)];
            let parents = relays.map(|zone| NodeId::Relay(self.plan.regions + zone)).to_vec();
            let mut subscriber =
                Subscriber::new(Role::Edge, self.plan.scopes_of(courier), self.random.u64(..));
            subscriber.set_guards(self.plan.guards);
            let node = Node::new(Machine::Courier(Box::new(subscriber)), self.random_clock(), parents);
            self.nodes.insert(NodeId::Courier(courier), node);
            // A fleet does not start within a moment.
            let start = self.now + 500_000 + self.random.u64(0..5_000_000);
            self.schedule_connect(NodeId::Courier(courier), start);
        }
    }

    fn random_clock(&mut self) -> Clock {
        let ppm = self.plan.clock_ppm;
        Clock::new(self.random.u64(0..1_000_000_000_000), self.random.i64(-ppm..=ppm))
    }

    fn set_initial_state(&mut self) {
        let plan = self.plan.clone();
        self.set_entries(Scope::Global, plan.global_entries);
        for region in 0..plan.regions {
            self.set_entries(Scope::Region(region as u16), plan.region_entries);
        }
        for zone in 0..plan.zones {
            self.set_entries(Scope::Zone(zone as u16), plan.zone_entries);
            for number in 0..plan.shares_per_zone {
                self.set_entries(plan.share(zone, number), plan.down_per_share);
            }
        }
        // What a new source numbers before anybody is connected is no measure of anything.
        self.judge.in_force_micros.clear();
    }

    fn set_entries(&mut self, scope: Scope, count: usize) {
        for number in 0..count {
            self.set(scope, number);
        }
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

    // What happens to the nodes.

    /// A node does nothing for some time; what comes for it waits.
    pub fn stop(&mut self, id: NodeId, span: Duration) {
        self.nodes.get_mut(&id).expect("a node").stopped_until = self.now + micros(span);
    }

    /// A relay loses its state and its links, and is there again after some time.
    pub fn crash_relay(&mut self, number: usize, down_for: Duration) {
        let id = NodeId::Relay(number);
        self.close_all(id);
        let mut relay = Relay::new(self.random.u64(..));
        relay.set_guards(self.plan.guards);
        let clock = self.random_clock();
        let stopped_until = self.now + micros(down_for);
        let node = self.nodes.get_mut(&id).expect("a node");
        node.machine = Machine::Relay(Box::new(relay));
        node.clock = clock;
        node.timer_at = None;
        node.is_up = false;
        self.schedule_connect(id, stopped_until);
    }

    /// A courier loses its state and its link, and is there again after some time.
    pub fn restart_courier(&mut self, number: usize, down_for: Duration) {
        let id = NodeId::Courier(number);
        self.close_all(id);
        let scopes = self.plan.scopes_of(number);
        let mut courier = Subscriber::new(Role::Edge, scopes, self.random.u64(..));
        courier.set_guards(self.plan.guards);
        let node = self.nodes.get_mut(&id).expect("a node");
        node.machine = Machine::Courier(Box::new(courier));
        node.timer_at = None;
        node.next_parent = 0;
        self.schedule_connect(id, self.now + micros(down_for));
    }

    /// The link of a node to its parent breaks; both sides hear of it.
    pub fn break_uplink(&mut self, id: NodeId) {
        if let Some(link) = self.nodes[&id].uplink {
            let parent = self.links[&link].parent;
            self.close_at(link, id);
            self.schedule(self.now, Event::Closed { link, at: parent });
        }
    }

    /// A region can't be reached from outside it.
    pub fn cut_region(&mut self, region: usize) {
        self.cut_regions.insert(region);
    }

    /// A region can be reached again; what was held up on links arrives.
    pub fn heal_region(&mut self, region: usize) {
        self.cut_regions.remove(&region);
        let reachable: Vec<LinkId> =
            self.links.iter().filter(|(_, link)| !self.is_cut(link)).map(|(id, _)| *id).collect();
        for id in reachable {
            let held = std::mem::take(&mut self.links.get_mut(&id).expect("a link").held);
            for (direction, bytes) in held {
                self.schedule_delivery(id, direction, bytes);
            }
        }
    }

    /// A courier reads no more than so many bytes a second.
    pub fn slow_down(&mut self, courier: usize, bytes_per_second: u64) {
        self.slow_couriers.insert(courier, bytes_per_second);
    }

    /// A courier reads as fast as others again.
    pub fn speed_up(&mut self, courier: usize) {
        self.slow_couriers.remove(&courier);
    }

    /// An entry is changed by a fault of the memory of a courier or relay. Returns whether there was one.
    pub fn spoil(&mut self, id: NodeId, scope: Scope, number: usize) -> bool {
        let until = self.now + micros(LEASE + LEASE / CLOCK_DRIFT_DIVISOR) + 1_000;
        let node = self.nodes.get_mut(&id).expect("a node");
        let subscriber = match &mut node.machine {
            Machine::Relay(relay) => relay.upstream_mut(),
            Machine::Courier(courier) => courier,
            Machine::Source(_) => unreachable!("not the source"),
        };
        let before = subscriber.store().digest(scope);
        subscriber.store_mut().spoil(scope, &key(number), Value::new("spoilt").expect("short"));
        let spoilt = subscriber.store().digest(scope) != before;
        if spoilt {
            self.judge.spoilt(scope, until);
        }
        spoilt
    }

    // The course of time.

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

    fn check(&mut self, id: NodeId) {
        let now = self.now;
        let compares_always = self.plan.compares_always;
        let node = self.nodes.get_mut(&id).expect("a node");
        match &node.machine {
            Machine::Courier(courier) => {
                let local = node.clock.local(now);
                self.judge.check_acting(id, courier, courier.scopes(), local, now);
                if compares_always || courier.position() != node.compared_at {
                    node.compared_at = courier.position();
                    self.judge.check_state(id, courier, local, now);
                }
            }
            Machine::Relay(relay) => {
                let peaks = relay.peaks();
                if peaks.window_bytes > WINDOW_BYTES + FRAME_BYTES + MAX_VALUE_BYTES {
                    let detail = format!("{now} us: {id:?} {} bytes", peaks.window_bytes);
                    self.judge.report(Violation::WindowExceeded, detail);
                }
                if peaks.snapshots > MAX_SNAPSHOTS_UNDER_WAY {
                    let detail = format!("{now} us: {id:?} {} snapshots", peaks.snapshots);
                    self.judge.report(Violation::SnapshotsExceeded, detail);
                }
            }
            Machine::Source(_) => self.check_in_force(id),
        }
    }

    fn check_in_force(&mut self, id: NodeId) {
        if id != self.source() {
            return;
        }
        let now = self.now;
        let mut scopes = BTreeSet::new();
        loop {
            let node = self.nodes.get_mut(&id).expect("a node");
            let Machine::Source(source) = &mut node.machine else {
                return;
            };
            let Some(in_force) = source.poll_in_force(node.clock.local(now)) else {
                break;
            };
            let micros = in_force.after.as_micros() as u64;
            let Some(scope) = self.pending.remove(&in_force.position) else {
                continue;
            };
            self.judge.in_force(scope, in_force.position, micros);
            if micros > IN_FORCE_LIMIT_MICROS {
                let detail = format!("{now} us: {:?} after {micros} us", in_force.position);
                self.judge.report(Violation::LateInForce, detail);
            }
            scopes.insert(scope);
        }
        if !scopes.is_empty() {
            self.check_all_acting(&scopes);
        }
    }

    fn check_all_acting(&mut self, scopes: &BTreeSet<Scope>) {
        let now = self.now;
        for (id, node) in &self.nodes {
            let Machine::Courier(courier) = &node.machine else {
                continue;
            };
            let concerned: BTreeSet<Scope> = scopes.intersection(courier.scopes()).copied().collect();
            self.judge.check_acting(id, courier, &concerned, node.clock.local(now), now);
        }
    }

    // Links.

    fn schedule_connect(&mut self, id: NodeId, at: u64) {
        let node = self.nodes.get_mut(&id).expect("a node");
        if !node.is_connecting {
            node.is_connecting = true;
            self.schedule(at.max(self.now), Event::Connect(id));
        }
    }

    fn connect(&mut self, id: NodeId) {
        if self.is_put_off(id, || Event::Connect(id)) {
            return;
        }
        let node = self.nodes.get_mut(&id).expect("a node");
        node.is_connecting = false;
        node.is_up = true;
        if node.uplink.is_some() {
            return;
        }
        let parent = node.parents[node.next_parent % node.parents.len()];
        node.next_parent += 1;
        let link = Link {
            child: id,
            parent,
            last_arrival: [0; 2],
            held: Vec::new(),
            child_open: false,
            parent_open: false,
        };
        if self.is_cut(&link) || !self.nodes[&parent].is_up {
            let local = self.nodes[&id].clock.local(self.now);
            self.nodes.get_mut(&id).expect("a node").connect_failed(local);
            self.schedule_reconnect(id, CONNECT_FAILURE_MICROS);
            return;
        }
        let link_id = LinkId(self.next_link);
        self.next_link += 1;
        let latency = self.latency(&link);
        self.links.insert(link_id, link);
        self.nodes.get_mut(&id).expect("a node").uplink = Some(link_id);
        self.schedule(self.now + 2 * latency, Event::Opened { link: link_id });
    }

    fn schedule_reconnect(&mut self, id: NodeId, at_least: u64) {
        let node = &self.nodes[&id];
        let Some(upstream) = node.upstream() else {
            return;
        };
        let at = node.clock.global(upstream.reconnect_at());
        self.schedule_connect(id, at.max(self.now + at_least));
    }

    fn opened(&mut self, link_id: LinkId) {
        let Some(link) = self.links.get_mut(&link_id) else {
            return;
        };
        let (child, parent) = (link.child, link.parent);
        link.child_open = true;
        link.parent_open = true;
        let now = self.now;
        let parent_node = self.nodes.get_mut(&parent).expect("a node");
        parent_node.downlinks.push(link_id);
        parent_node.connected(parent_node.clock.local(now), Side::Down(link_id));
        let child_node = self.nodes.get_mut(&child).expect("a node");
        child_node.connected(child_node.clock.local(now), Side::Up);
        self.after_call(child);
    }

    /// The link ends as seen by one of its nodes.
    fn close_at(&mut self, link_id: LinkId, at: NodeId) {
        if self.is_put_off(at, || Event::Closed { link: link_id, at }) {
            return;
        }
        let Some(link) = self.links.get_mut(&link_id) else {
            return;
        };
        let now = self.now;
        let is_child = link.child == at;
        let was_open = if is_child { &mut link.child_open } else { &mut link.parent_open };
        let was_open = std::mem::replace(was_open, false);
        let is_done = !link.child_open && !link.parent_open;
        if is_done {
            self.links.remove(&link_id);
        }
        let node = self.nodes.get_mut(&at).expect("a node");
        if is_child && node.uplink == Some(link_id) {
            node.uplink = None;
        }
        node.downlinks.retain(|other| *other != link_id);
        if was_open {
            let side = if is_child { Side::Up } else { Side::Down(link_id) };
            node.disconnected(node.clock.local(now), side);
        }
        if is_child {
            self.schedule_reconnect(at, 0);
        }
        if was_open {
            self.after_call(at);
        }
    }

    fn close_if_wanted(&mut self, id: NodeId) {
        let node = &self.nodes[&id];
        let Some(link_id) = node.uplink else {
            return;
        };
        let is_open = self.links.get(&link_id).is_some_and(|link| link.child_open);
        if !is_open || !node.upstream().is_some_and(Subscriber::wants_close) {
            return;
        }
        let link = &self.links[&link_id];
        let parent = link.parent;
        let heard_after = if self.is_cut(link) { KEEPALIVE_MICROS } else { self.latency_of(link_id) };
        self.schedule(self.now + heard_after, Event::Closed { link: link_id, at: parent });
        self.close_at(link_id, id);
    }

    /// All links of a node end at once, and the others hear of it.
    fn close_all(&mut self, id: NodeId) {
        let node = self.nodes.get_mut(&id).expect("a node");
        let links: Vec<LinkId> = node.downlinks.drain(..).chain(node.uplink.take()).collect();
        for link_id in links {
            let Some(link) = self.links.get_mut(&link_id) else {
                continue;
            };
            let other = if link.child == id { link.parent } else { link.child };
            if link.child == id {
                link.child_open = false;
            } else {
                link.parent_open = false;
            }
            let latency = self.latency_of(link_id);
            self.schedule(self.now + latency, Event::Closed { link: link_id, at: other });
        }
    }

    fn region_of(&self, id: NodeId) -> Option<usize> {
        match id {
            NodeId::Source(_) => None,
            NodeId::Relay(number) if number < self.plan.regions => Some(number),
            NodeId::Relay(number) => Some(self.plan.region_of(number - self.plan.regions)),
            NodeId::Courier(number) => Some(self.plan.region_of(self.plan.zone_of(number))),
        }
    }

    fn is_cut(&self, link: &Link) -> bool {
        let (child, parent) = (self.region_of(link.child), self.region_of(link.parent));
        let is_outside =
            |region: Option<usize>| region.is_some_and(|region| self.cut_regions.contains(&region));
        child != parent && (is_outside(child) || is_outside(parent))
    }

    fn latency_of(&mut self, link_id: LinkId) -> u64 {
        let base = self.base_latency(&self.links[&link_id]);
        base + self.random.u64(0..=base / 2)
    }

    fn latency(&mut self, link: &Link) -> u64 {
        let base = self.base_latency(link);
        base + self.random.u64(0..=base / 2)
    }

    fn base_latency(&self, link: &Link) -> u64 {
        match (link.parent, link.child) {
            (NodeId::Source(_), _) => self.plan.latency_to_source,
            (_, NodeId::Courier(_)) => self.plan.latency_in_zone,
            _ if self.region_of(link.parent) == self.region_of(link.child) => self.plan.latency_in_region,
            _ => self.plan.latency_to_source,
        }
    }

    fn send(&mut self, from: NodeId, side: Side, bytes: Vec<u8>) {
        let now = self.now;
        let node = self.nodes.get_mut(&from).expect("a node");
        node.traffic.count(now, bytes.len());
        let (link_id, direction) = match side {
            Side::Up => (node.uplink, Direction::Up),
            Side::Down(link) => (Some(link), Direction::Down),
        };
        let Some(link_id) = link_id.filter(|id| self.links.contains_key(id)) else {
            return;
        };
        if self.is_cut(&self.links[&link_id]) {
            self.links.get_mut(&link_id).expect("a link").held.push((direction, bytes));
            return;
        }
        let faults = self.plan.faults;
        if self.random.f64() < faults.loss {
            return;
        }
        if self.random.f64() < faults.duplicate {
            self.schedule_delivery(link_id, direction, bytes.clone());
        }
        self.schedule_delivery(link_id, direction, bytes);
    }

    fn schedule_delivery(&mut self, link_id: LinkId, direction: Direction, bytes: Vec<u8>) {
        let mut arrival = self.now + self.latency_of(link_id);
        if self.random.f64() < self.plan.retransmission {
            arrival += self.plan.retransmission_micros;
        }
        let reordered = self.random.f64() < self.plan.faults.reorder;
        let reading = self.reading_time(link_id, direction, bytes.len());
        let last = &mut self.links.get_mut(&link_id).expect("a link").last_arrival[direction as usize];
        if reordered {
            arrival += 50_000;
        } else {
            arrival = arrival.max(*last) + reading;
            *last = arrival;
        }
        self.schedule(arrival, Event::Deliver { link: link_id, direction, bytes });
    }

    fn reading_time(&self, link_id: LinkId, direction: Direction, bytes: usize) -> u64 {
        let NodeId::Courier(courier) = self.links[&link_id].child else {
            return 0;
        };
        match self.slow_couriers.get(&courier) {
            Some(bytes_per_second) if direction == Direction::Down => {
                bytes as u64 * 1_000_000 / bytes_per_second.max(&1)
            }
            _ => 0,
        }
    }

    fn deliver(&mut self, link_id: LinkId, direction: Direction, bytes: Vec<u8>) {
        let Some(link) = self.links.get(&link_id) else {
            return;
        };
        let (to, is_open) = match direction {
            Direction::Up => (link.parent, link.parent_open),
            Direction::Down => (link.child, link.child_open),
        };
        if !is_open {
            return;
        }
        if self.nodes[&to].stopped_until > self.now {
            let until = self.nodes[&to].stopped_until;
            self.schedule(until, Event::Deliver { link: link_id, direction, bytes });
            return;
        }
        let now = self.now;
        let side = match direction {
            Direction::Up => Side::Down(link_id),
            Direction::Down => Side::Up,
        };
        let result = self.timed(to, |node| {
            node.traffic.count(now, bytes.len());
            let message = codec::decode(&bytes).expect("what was encoded");
            node.handle(node.clock.local(now), side, message)
        });
        if let Err(error) = result {
            let name = format!("{error:?}");
            let kind = name.split([' ', '(', '{']).next().unwrap_or_default().to_string();
            *self.errors.entry(kind).or_default() += 1;
        }
        self.after_call(to);
    }

    /// Takes a node away, to see what it held.
    pub fn take_node(&mut self, id: NodeId) -> Option<Node> {
        self.nodes.remove(&id)
    }

    // What has become of it.

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
