//! What is looked at after each call of a node of a simulated fleet.

use std::collections::BTreeSet;

use gullcart_distribution::limits::{FRAME_BYTES, MAX_SNAPSHOTS_UNDER_WAY, MAX_VALUE_BYTES, WINDOW_BYTES};
use gullcart_distribution::scope::Scope;

use super::judge::Violation;
use super::node::{Machine, NodeId};
use super::{Fleet, IN_FORCE_LIMIT_MICROS};

impl Fleet {
    pub(super) fn check(&mut self, id: NodeId) {
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

    pub(super) fn check_in_force(&mut self, id: NodeId) {
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

    pub(super) fn check_all_acting(&mut self, scopes: &BTreeSet<Scope>) {
        let now = self.now;
        for (id, node) in &self.nodes {
            let Machine::Courier(courier) = &node.machine else {
                continue;
            };
            let concerned: BTreeSet<Scope> = scopes.intersection(courier.scopes()).copied().collect();
            self.judge.check_acting(id, courier, &concerned, node.clock.local(now), now);
        }
    }
}
