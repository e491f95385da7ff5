//! What discovery advertises of the endpoints, and further discovery agents.

use super::agent::Agent;
use super::harness::World;
use super::http::serve;
use serde_json::{json, Value};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;

impl World {
    /// The list entry of an endpoint.
    pub(super) fn target(&self, endpoint: usize, state: &str) -> Value {
        let destination = if self.separate_destinations { endpoint + 1 } else { 1 };
        json!({
            "uid": format!("s-{endpoint}"), "endpoint": self.endpoints[endpoint].to_string(), "az": "kingston",
            "model": "banks", "pod_group": destination, "state": state, "capacity_hint": 1000.0, "boot_ms": 0,
        })
    }

    /// An update of the list with the state of one endpoint.
    pub fn state_change(&self, rev: u32, endpoint: usize, state: &str) -> Value {
        json!({"rev": rev, "all": false, "targets": [self.target(endpoint, state)]})
    }

    /// Advertises that an endpoint is draining, in revision 2: the configured list has revision 1.
    pub fn advertise_draining(&self, endpoint: usize) {
        self.advertise(2, &[self.target(endpoint, "DRAINING")]);
    }

    /// Advertises that an endpoint is deleted, in revision 2 or, if later ones were advertised, in the last of them.
    pub fn advertise_deleted(&self, endpoint: usize) {
        self.advertise(2, &[self.target(endpoint, "DELETED")]);
    }

    /// Advertises in one update that an endpoint was replaced `count` times in a row by a new one at the same address. Callers
    /// number the `round`s from 0; each round after the first also deletes the last endpoint of the round before it. All
    /// rounds must have the same `count`.
    pub fn advertise_replacements(&self, endpoint: usize, round: u32, count: u32) {
        let mut targets = Vec::new();
        let entry = |uid: String, state| {
            let mut target = self.target(endpoint, state);
            target["uid"] = uid.into();
            target
        };
        targets.push(self.target(endpoint, "DELETED"));
        for index in 0..count {
            targets.push(entry(format!("s-{endpoint}-{round}-{index}"), "SERVING"));
            if index + 1 < count {
                targets.push(entry(format!("s-{endpoint}-{round}-{index}"), "DELETED"));
            }
        }
        if round > 0 {
            targets.push(entry(format!("s-{endpoint}-{}-{}", round - 1, count - 1), "DELETED"));
        }
        // Above the revisions of other updates, and increasing.
        self.advertise(10 + round, &targets);
    }

    /// List entries of `count` additional endpoints, to make a long list. All have the address of the first endpoint, and each
    /// destination from 2 on has two of them.
    fn extra_targets(&self, count: usize, state: &str) -> Vec<Value> {
        let entry = |number: usize| {
            let mut target = self.target(0, state);
            target["uid"] = format!("many-{number}").into();
            target["pod_group"] = (2 + number / 2).into();
            target
        };
        (0..count).map(entry).collect()
    }

    /// Advertises `count` additional endpoints in one update.
    pub fn advertise_many(&self, rev: u32, count: usize, state: &str) {
        self.advertise(rev, &self.extra_targets(count, state));
    }

    /// Advertises list entries on the watches.
    pub fn advertise(&self, rev: u32, targets: &[Value]) {
        self.discovery.state.advertise(rev, targets);
    }

    /// Sets whether discovery leaves requests for watches unanswered.
    pub fn silence_discovery(&self, silent: bool) {
        self.discovery.state.silent.store(silent, Ordering::SeqCst);
    }

    /// Sets whether discovery leaves notices unanswered.
    pub fn leave_notices_unanswered(&self, ignore: bool) {
        self.discovery.state.ignore_notices.store(ignore, Ordering::SeqCst);
    }

    /// An agent whose connections the test serves itself: `each` gets every connection with its number, from 0 on.
    pub fn agent_with_handler(&self, each: impl Fn(usize, TcpStream) + Clone + Send + 'static) -> Agent {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let count = Arc::new(AtomicU32::new(0));
        serve(listener, move |stream| each(count.fetch_add(1, Ordering::SeqCst) as usize, stream));
        Agent { state: Arc::default(), address }
    }

    /// Another agent, whose list has one endpoint as draining.
    pub fn agent_with_drain(&self, endpoint: usize) -> Agent {
        let agent = Agent::start(&self.action_sender);
        let state = |index| if index == endpoint { "DRAINING" } else { "SERVING" };
        let targets: Vec<Value> =
            (0..self.endpoints.len()).map(|index| self.target(index, state(index))).collect();
        *agent.state.list.lock().unwrap() = json!({"rev": 5, "all": true, "targets": targets}).to_string();
        agent
    }

    /// Another agent, whose list has `count` additional endpoints.
    pub fn agent_with_many(&self, rev: u32, count: usize, state: &str) -> Agent {
        let agent = Agent::start(&self.action_sender);
        let targets = [vec![self.target(0, "SERVING")], self.extra_targets(count, state)].concat();
        *agent.state.list.lock().unwrap() = json!({"rev": rev, "all": true, "targets": targets}).to_string();
        agent
    }
}
