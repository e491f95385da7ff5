//! The relays of one process.

use crate::control::{RelayIndex, RelayPlan, RelaysStatus};
use crate::link::LinkShared;
use crate::station::{Machine, Station};
use gullcart_distribution::relay::Relay;
use std::io;
use std::net::SocketAddr;

/// The relays of a process; one that is stopped leaves its place empty.
pub struct RelaysNode {
    plans: Vec<RelayPlan>,
    stations: Vec<Option<Station>>,
    shared: LinkShared,
}

impl RelaysNode {
    /// Starts relays.
    pub async fn start(plans: Vec<RelayPlan>, shared: LinkShared) -> io::Result<Self> {
        let stations = plans.iter().map(|_| None).collect();
        let mut node = RelaysNode { plans, stations, shared };
        for place in 0..node.plans.len() {
            node.start_relay(RelayIndex(place)).await?;
        }
        Ok(node)
    }

    /// Where they listen, in the order of their plans.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.plans.iter().map(|plan| plan.listen).collect()
    }

    /// Starts a relay that does not run, without state.
    pub async fn start_relay(&mut self, relay: RelayIndex) -> io::Result<()> {
        let Some(plan) = self.plans.get_mut(relay.0).filter(|_| self.stations[relay.0].is_none()) else {
            return Ok(());
        };
        let machine = Machine::Relay(Box::new(Relay::new(plan.seed)));
        let station =
            Station::start(machine, plan.listen, plan.upstream.clone(), self.shared.clone()).await?;
        // The next one is to be found where this one was.
        plan.listen = station.address();
        self.stations[relay.0] = Some(station);
        Ok(())
    }

    /// Ends a relay.
    pub fn stop_relay(&mut self, relay: RelayIndex) {
        if let Some(station) = self.stations.get_mut(relay.0) {
            *station = None;
        }
    }

    /// Cuts all relays off from their upstream, or lets them through again.
    pub fn cut_upstream(&self, is_cut: bool) {
        self.stations.iter().flatten().for_each(|station| station.cut_upstream(is_cut));
    }

    /// Where they stand.
    pub fn status(&self) -> RelaysStatus {
        let mut status = RelaysStatus::default();
        for station in self.stations.iter().flatten() {
            station.inspect(|machine| {
                if let Machine::Relay(relay) = machine {
                    let peaks = relay.peaks();
                    status.sessions += relay.session_count();
                    status.entries += relay.upstream().store().entry_count();
                    status.most_snapshots = status.most_snapshots.max(peaks.snapshots);
                    status.largest_window = status.largest_window.max(peaks.window_bytes);
                    status.most_output = status.most_output.max(peaks.output_messages);
                }
            });
        }
        status
    }
}
