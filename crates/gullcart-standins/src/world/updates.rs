//! What discovery says of the endpoints, and other agents beside the first.

use super::agent::Agent;
use super::harness::World;
use super::http::serve;
use serde_json::{json, Value};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;

impl World {
    /// An endpoint as discovery lists it.
    pub(super) fn target(&self, endpoint: usize, state: &str) -> Value {
        let destination = if self.separate_destinations { endpoint + 1 } else { 1 };
        json!({
            "uid": format!("s-{endpoint}"), "endpoint": self.endpoints[endpoint].to_string(), "az": "kingston",
            "model": "banks", "pod_group": destination, "state": state, "capacity_hint": 1000.0, "boot_ms": 0,
        })
    }

    /// A change of the list that tells the state of one endpoint.
    pub fn state_change(&self, rev: u32, endpoint: usize, state: &str) -> Value {
        json!({"rev": rev, "all": false, "targets": [self.target(endpoint, state)]})
    }

    /// Tells the watch that an endpoint drains.
    pub fn advertise_draining(&self, endpoint: usize) {
        self.advertise(2, &[self.target(endpoint, "DRAINING")]);
    }

    /// Tells the watch that an endpoint is gone.
    pub fn advertise_deleted(&self, endpoint: usize) {
        self.advertise(2, &[self.target(endpoint, "DELETED")]);
    }

    /// Tells the watch that other endpoints, at the same address, have come in the place of one: so many, one
    /// after the other, under ids with this number in them.
    pub fn advertise_replacements(&self, endpoint: usize, number: u32, times: u32) {
        let mut targets = Vec::new();
        let entry = |uid: String, state| {
            let mut target = self.target(endpoint, state);
            target["uid"] = uid.into();
            target
        };
        targets.push(self.target(endpoint, "DELETED"));
        for time in 0..times {
            targets.push(entry(format!("s-{endpoint}-{number}-{time}"), "SERVING"));
            if time + 1 < times {
                targets.push(entry(format!("s-{endpoint}-{number}-{time}"), "DELETED"));
            }
        }
        if number > 0 {
            targets.push(entry(format!("s-{endpoint}-{}-{}", number - 1, times - 1), "DELETED"));
        }
        self.advertise(10 + number, &targets);
    }

    /// So many more endpoints, all at the address of the first one, at destinations from 2 on.
    fn extra_targets(&self, count: usize, state: &str) -> Vec<Value> {
        let entry = |number: usize| {
            let mut target = self.target(0, state);
            target["uid"] = format!("many-{number}").into();
            target["pod_group"] = (2 + number / 2).into();
            target
        };
        (0..count).map(entry).collect()
    }

    /// Tells the watch of so many more endpoints in one change.
    pub fn advertise_many(&self, rev: u32, count: usize, state: &str) {
        self.advertise(rev, &self.extra_targets(count, state));
    }

    pub fn advertise(&self, rev: u32, targets: &[Value]) {
        self.discovery.state.advertise(rev, targets);
    }

    /// Discovery takes connections and says nothing.
    pub fn silence_discovery(&self, silent: bool) {
        self.discovery.state.silent.store(silent, Ordering::SeqCst);
    }

    /// Whether discovery leaves notices unanswered.
    pub fn leave_notices_unanswered(&self, hold: bool) {
        self.discovery.state.hold_notices.store(hold, Ordering::SeqCst);
    }

    /// An agent whose every byte the test decides: it is given each connection, with its number from zero on.
    pub fn agent_with_handler(&self, each: impl Fn(usize, TcpStream) + Clone + Send + 'static) -> Agent {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let count = Arc::new(AtomicU32::new(0));
        serve(listener, move |stream| each(count.fetch_add(1, Ordering::SeqCst) as usize, stream));
        Agent { state: Arc::default(), address }
    }

    /// Another agent, which knows that an endpoint drains.
    pub fn agent_with_drain(&self, endpoint: usize) -> Agent {
        let agent = Agent::start(&self.action_sender);
        let state = |at| if at == endpoint { "DRAINING" } else { "SERVING" };
        let targets: Vec<Value> = (0..self.endpoints.len()).map(|at| self.target(at, state(at))).collect();
        *agent.state.list.lock().unwrap() = json!({"rev": 5, "all": true, "targets": targets}).to_string();
        agent
    }

    /// Another agent, with so many more endpoints in its whole list.
    pub fn agent_with_many(&self, rev: u32, count: usize, state: &str) -> Agent {
        let agent = Agent::start(&self.action_sender);
        let targets = [vec![self.target(0, "SERVING")], self.extra_targets(count, state)].concat();
        *agent.state.list.lock().unwrap() = json!({"rev": rev, "all": true, "targets": targets}).to_string();
        agent
    }
}
