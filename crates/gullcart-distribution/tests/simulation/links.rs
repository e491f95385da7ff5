//! Links of a simulated fleet: how messages travel, connections are made and end.

use gullcart_distribution::codec;
use gullcart_distribution::subscriber::Subscriber;

use super::node::{LinkId, NodeId, Side};
use super::{Direction, Event, Fleet, Link};

/// A connection that can't be made is given up after this time.
const CONNECT_FAILURE_MICROS: u64 = 100_000;

/// The other end of a link that is cut off hears of its end after this time at the latest.
const KEEPALIVE_MICROS: u64 = 15_000_000;

impl Fleet {
    pub(super) fn schedule_connect(&mut self, id: NodeId, at: u64) {
        let node = self.nodes.get_mut(&id).expect("a node");
        if !node.is_connecting {
            node.is_connecting = true;
            self.schedule(at.max(self.now), Event::Connect(id));
        }
    }

    pub(super) fn connect(&mut self, id: NodeId) {
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

    pub(super) fn schedule_reconnect(&mut self, id: NodeId, at_least: u64) {
        let node = &self.nodes[&id];
        let Some(upstream) = node.upstream() else {
            return;
        };
        let at = node.clock.global(upstream.reconnect_at());
        self.schedule_connect(id, at.max(self.now + at_least));
    }

    pub(super) fn opened(&mut self, link_id: LinkId) {
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
    pub(super) fn close_at(&mut self, link_id: LinkId, at: NodeId) {
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

    pub(super) fn close_if_wanted(&mut self, id: NodeId) {
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
    pub(super) fn close_all(&mut self, id: NodeId) {
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

    pub(super) fn region_of(&self, id: NodeId) -> Option<usize> {
        match id {
            NodeId::Source(_) => None,
            NodeId::Relay(number) if number < self.plan.regions => Some(number),
            NodeId::Relay(number) => Some(self.plan.region_of(number - self.plan.regions)),
            NodeId::Courier(number) => Some(self.plan.region_of(self.plan.zone_of(number))),
        }
    }

    pub(super) fn is_cut(&self, link: &Link) -> bool {
        let (child, parent) = (self.region_of(link.child), self.region_of(link.parent));
        let is_outside =
            |region: Option<usize>| region.is_some_and(|region| self.cut_regions.contains(&region));
        child != parent && (is_outside(child) || is_outside(parent))
    }

    pub(super) fn latency_of(&mut self, link_id: LinkId) -> u64 {
        let base = self.base_latency(&self.links[&link_id]);
        base + self.random.u64(0..=base / 2)
    }

    pub(super) fn latency(&mut self, link: &Link) -> u64 {
        let base = self.base_latency(link);
        base + self.random.u64(0..=base / 2)
    }

    pub(super) fn base_latency(&self, link: &Link) -> u64 {
        match (link.parent, link.child) {
            (NodeId::Source(_), _) => self.plan.latency_to_source,
            (_, NodeId::Courier(_)) => self.plan.latency_in_zone,
            _ if self.region_of(link.parent) == self.region_of(link.child) => self.plan.latency_in_region,
            _ => self.plan.latency_to_source,
        }
    }

    pub(super) fn send(&mut self, from: NodeId, side: Side, bytes: Vec<u8>) {
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

    pub(super) fn schedule_delivery(&mut self, link_id: LinkId, direction: Direction, bytes: Vec<u8>) {
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

    pub(super) fn reading_time(&self, link_id: LinkId, direction: Direction, bytes: usize) -> u64 {
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

    pub(super) fn deliver(&mut self, link_id: LinkId, direction: Direction, bytes: Vec<u8>) {
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
}
