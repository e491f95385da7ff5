//! What happens to the nodes and links of a simulated fleet.

use std::time::Duration;

use gullcart_distribution::limits::{CLOCK_DRIFT_DIVISOR, LEASE};
use gullcart_distribution::relay::Relay;
use gullcart_distribution::scope::{Scope, Value};
use gullcart_distribution::subscriber::{Role, Subscriber};

use super::node::{LinkId, Machine, NodeId};
use super::{key, micros, Event, Fleet};

impl Fleet {
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
}
