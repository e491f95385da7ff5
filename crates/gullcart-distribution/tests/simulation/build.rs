//! How a simulated fleet is set up.

use gullcart_distribution::relay::Relay;
use gullcart_distribution::scope::Scope;
use gullcart_distribution::source::{Source, SourceState};
use gullcart_distribution::subscriber::{Role, Subscriber};

use super::node::{Clock, Machine, Node, NodeId};
use super::Fleet;

impl Fleet {
    pub(super) fn add_source(&mut self, number: usize, state: SourceState) {
        let clock = self.random_clock();
        let mut source = Source::new(clock.local(self.now), state, self.random.u64(..));
        source.set_guards(self.plan.guards);
        source.begin_epoch(clock.local(self.now), self.epoch).expect("a later epoch");
        let node = Node::new(Machine::Source(Box::new(source)), clock, Vec::new());
        self.nodes.insert(NodeId::Source(number), node);
    }

    pub(super) fn add_relays(&mut self) {
        for region in 0..self.plan.regions {
            self.add_relay(region, vec![NodeId::Source(0)]);
        }
        for zone in 0..self.plan.zones {
            let region = self.plan.region_of(zone);
            let other = (region + 1) % self.plan.regions;
            self.add_relay(self.plan.regions + zone, vec![NodeId::Relay(region), NodeId::Relay(other)]);
        }
    }

    pub(super) fn add_relay(&mut self, number: usize, parents: Vec<NodeId>) {
        let mut relay = Relay::new(self.random.u64(..));
        relay.set_guards(self.plan.guards);
        let node = Node::new(Machine::Relay(Box::new(relay)), self.random_clock(), parents);
        self.nodes.insert(NodeId::Relay(number), node);
        self.schedule_connect(NodeId::Relay(number), self.now);
    }

    pub(super) fn add_couriers(&mut self) {
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

    pub(super) fn random_clock(&mut self) -> Clock {
        let ppm = self.plan.clock_ppm;
        Clock::new(self.random.u64(0..1_000_000_000_000), self.random.i64(-ppm..=ppm))
    }

    pub(super) fn set_initial_state(&mut self) {
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

    pub(super) fn set_entries(&mut self, scope: Scope, count: usize) {
        for number in 0..count {
            self.set(scope, number);
        }
    }
}
