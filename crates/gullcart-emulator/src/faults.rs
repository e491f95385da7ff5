//! Faults: changes of partners, endpoints, the register and couriers at their scheduled times.

use crate::address::Address;
use crate::events::{Endpoint, ScheduledEvent, Submission};
use crate::simulation::{Simulation, STARTUP_OFFSET};
use gullcart_engine::Input;
use gullcart_journal::simulated::{Crash, Disk};
use gullcart_judge::trace::{
    CallId, ClosedBy, CourierId, EndpointId, EndpointState, EnqueueOutcome, Event, ProcessEvent,
};
use gullcart_message::Target;
use gullcart_rehearsal::figures::{END, FRONT_NOTICES, HANDED_AGAIN_MS, RESTART, ZONE};
use gullcart_rehearsal::{Action, Replace};
use gullcart_standins::partner::PartnerFault;
use std::time::Duration;

/// Time after which the judge takes a change that the register's agent knows for reported to the courier, the same as in the
/// register of a rehearsal with real processes. Only a courier that is not running has unreported changes by then, unless the
/// agent is silent, and it gets the whole list when it starts.
const MAX_REPORT_DELAY: Duration = Duration::from_secs(6);

impl Simulation<'_> {
    /// Creates an endpoint, at the given address or at a new one.
    pub(crate) fn new_endpoint(&mut self, model_index: usize, address: Option<Address>) -> Endpoint {
        let id = EndpointId(self.next_endpoint_id);
        self.next_endpoint_id += 1;
        Endpoint { id, model_index, address: address.unwrap_or(Address(id.0)), state: EndpointState::Serving }
    }

    /// The entry of an endpoint in the register's list, and its state.
    pub(crate) fn listed_target(&self, partner: usize, endpoint: &Endpoint) -> (Target, EndpointState) {
        let state = match endpoint.state {
            EndpointState::Serving => "SERVING",
            EndpointState::Draining => "DRAINING",
            EndpointState::Gone => "DELETED",
        };
        let target = Target {
            uid: format!("s-{:08x}", endpoint.id.0),
            endpoint: endpoint.address.text(),
            az: ZONE.to_owned(),
            model: self.scenario.partners[partner].kind.clone(),
            pod_group: Simulation::partner_id(partner).0,
            state: state.to_owned(),
            capacity_hint: self.partners[partner].spec().limit.per_second(),
        };
        (target, endpoint.state)
    }

    /// Applies a fault action.
    pub(crate) fn apply_action(&mut self, action: Action) {
        let now = self.now;
        match action {
            Action::Begin { id, trouble, partner, endpoint, until } => {
                self.partners[partner].begin_fault(id, trouble, endpoint, until + STARTUP_OFFSET);
                if trouble == PartnerFault::Down {
                    for index in 0..self.endpoints[partner].len() {
                        if self.partners[partner].is_down(self.endpoints[partner][index].model_index) {
                            self.reset_connections(partner, index);
                        }
                    }
                }
            }
            Action::End { id, partner } => self.partners[partner].end_fault(id),
            Action::Out(partner) => {
                self.record(Event::OutageBegan { partner: Simulation::partner_id(partner) })
            }
            Action::Back(partner) => {
                self.partners[partner].begin_slow_start(now);
                let (capacity, spec) =
                    (self.partners[partner].capacity(), self.partners[partner].spec().clone());
                // The partner starts anew, so the connections with unanswered calls from the outage are reset.
                (0..self.endpoints[partner].len()).for_each(|index| self.reset_connections(partner, index));
                self.record(Event::OutageEnded {
                    partner: Simulation::partner_id(partner),
                    capacity,
                    cold_capacity_share: spec.cold_capacity_share,
                    warm_at: now + spec.warm_up,
                });
            }
            Action::Drain { partner, endpoint, replace } => {
                self.change_state(partner, endpoint, EndpointState::Draining);
                if replace == Replace::New {
                    self.add_replacement(partner, None);
                }
            }
            Action::Gone { partner, endpoint, replace } => {
                self.reset_connections(partner, endpoint);
                let address = self.endpoints[partner][endpoint].address;
                self.change_state(partner, endpoint, EndpointState::Gone);
                if replace == Replace::SameAddress {
                    self.add_replacement(partner, Some(address));
                }
            }
            Action::Silence(courier, is_silent) => {
                self.couriers[courier].agent.is_silent = is_silent;
                if !is_silent {
                    self.report_changes(courier);
                }
            }
            // The agent moves to another address, where the courier's new connection to it gets the whole list.
            Action::Move(courier) => {
                let state = &self.couriers[courier];
                let (list, incarnation) = (state.agent.full_list(), state.incarnation);
                if !state.agent.is_silent {
                    self.deliver_input(courier, incarnation, Input::ListUpdate(list));
                }
            }
            // Not emulated: the courier goes on as before.
            Action::Upgrade(_) | Action::Suspend(..) => {}
            Action::Term(courier) => self.terminate_process(courier),
            Action::Kill { courier, folder_lost } => self.kill_process(courier, folder_lost),
            Action::Start(courier) => {
                let not_before = self.couriers[courier].signalled_at.map_or(now, |at| at + RESTART);
                // A process that is terminating is killed `END` after its SIGTERM at the latest, which is before the new start.
                let at = if self.couriers[courier].process.is_some() { now + END } else { now };
                self.queue.push(at.max(not_before), ScheduledEvent::ProcessStarts { courier });
            }
            Action::Full(courier, is_full) => self.couriers[courier].disk.refuse_changes(is_full),
        }
    }

    /// Adds an endpoint that replaces another one.
    fn add_replacement(&mut self, partner: usize, address: Option<Address>) {
        let model_index = self.partners[partner].add_endpoint();
        let endpoint = self.new_endpoint(model_index, address);
        self.endpoints[partner].push(endpoint);
        self.change_state(partner, self.endpoints[partner].len() - 1, EndpointState::Serving);
    }

    /// Changes the state of an endpoint. The register's agent of each courier learns of it after a delay of its own.
    fn change_state(&mut self, partner: usize, endpoint_index: usize, state: EndpointState) {
        self.endpoints[partner][endpoint_index].state = state;
        let [min_delay_s, max_delay_s] = self.scenario.register.late_s;
        for courier in 0..self.couriers.len() {
            let delay_s = min_delay_s + (max_delay_s - min_delay_s) * self.rng.f64();
            let at = self.now + Duration::from_secs_f64(delay_s);
            let event = ScheduledEvent::ListingChange { courier, partner, endpoint_index, state };
            self.queue.push(at, event);
        }
    }

    /// The changed state of an endpoint reaches the register's agent of a courier.
    pub(crate) fn receive_listing_change(
        &mut self,
        courier: usize,
        partner: usize,
        endpoint_index: usize,
        state: EndpointState,
    ) {
        let endpoint = &self.endpoints[partner][endpoint_index];
        let listed =
            Endpoint { id: endpoint.id, model_index: endpoint.model_index, address: endpoint.address, state };
        let target = self.listed_target(partner, &listed);
        let agent = &mut self.couriers[courier].agent;
        agent.revision += 1;
        agent.targets.insert(listed.id, target);
        agent.unreported.push(listed.id);
        self.queue.push(self.now + MAX_REPORT_DELAY, ScheduledEvent::ListingChangeOverdue { courier });
        if !self.couriers[courier].agent.is_silent {
            self.report_changes(courier);
        }
    }

    /// Reports the unreported changes of the list to a courier, if it is running.
    fn report_changes(&mut self, courier: usize) {
        let incarnation = self.couriers[courier].incarnation;
        if self.couriers[courier].process.is_none() || self.couriers[courier].agent.unreported.is_empty() {
            return;
        }
        let (update, states) = self.couriers[courier].agent.take_unreported();
        for (endpoint, state) in states {
            self.record(Event::ListingUpdated { courier: CourierId(courier as u16), endpoint, state });
        }
        self.deliver_input(courier, incarnation, Input::ListUpdate(update));
    }

    /// Drops all unreported changes of the list and records them as reported, since the courier has got the whole list at its
    /// start or gets it at the next one.
    pub(crate) fn mark_changes_reported(&mut self, courier: usize) {
        let (_, states) = self.couriers[courier].agent.take_unreported();
        for (endpoint, state) in states {
            self.record(Event::ListingUpdated { courier: CourierId(courier as u16), endpoint, state });
        }
    }

    /// An endpoint resets all of its connections.
    fn reset_connections(&mut self, partner: usize, endpoint_index: usize) {
        let address = self.endpoints[partner][endpoint_index].address;
        for courier in &mut self.couriers {
            if let Some(process) = &mut courier.process {
                process.drop_connections_to(address);
            }
        }
        let calls = self
            .endpoint_calls
            .iter()
            .filter(|(_, call)| (call.partner, call.endpoint_index) == (partner, endpoint_index));
        let calls: Vec<CallId> = calls.map(|(id, _)| *id).collect();
        for id in calls {
            if let Some(call) = self.endpoint_calls.remove(&id) {
                self.reset_call(id, call.courier, call.incarnation, call.message, call.serial);
            }
        }
    }

    /// Records an event of a courier's process.
    pub(crate) fn record_process_event(&mut self, courier: usize, event: ProcessEvent) {
        self.record(Event::Process { courier: CourierId(courier as u16), change: event });
    }

    /// Sends SIGTERM to a courier's process.
    fn terminate_process(&mut self, courier: usize) {
        let (now, incarnation) = (self.now, self.couriers[courier].incarnation);
        self.couriers[courier].signalled_at = Some(now);
        self.record_process_event(courier, ProcessEvent::Terminated);
        if let Some(process) = &mut self.couriers[courier].process {
            process.is_terminating = true;
        }
        self.deliver_input(courier, incarnation, Input::Terminate);
        let noticed = ScheduledEvent::TerminationNoticed { courier, incarnation };
        self.queue.push(now + FRONT_NOTICES, noticed);
        self.queue.push(now + END, ScheduledEvent::KillDue { courier, incarnation });
    }

    /// Sends SIGKILL to a courier's process. If its folder is lost too, clients enqueue the lost messages again, at
    /// other couriers.
    fn kill_process(&mut self, courier: usize, folder_lost: bool) {
        self.couriers[courier].signalled_at = Some(self.now);
        self.end_process(courier);
        if folder_lost {
            let disk_bytes = (self.scenario.couriers.disk_mb * 1e6) as u64;
            let seed = self.rng.u64(..);
            self.couriers[courier].disk = Disk::new(disk_bytes, Crash::Process, seed);
            for origin in self.book.lost_with(courier, self.scenario) {
                let (min_ms, max_ms) = HANDED_AGAIN_MS;
                let delay = Duration::from_millis(self.rng.u64(min_ms..max_ms));
                let submission =
                    Submission { origin, is_retry: false, from_dead_courier: true, avoided_courier: None };
                self.submit_after(submission, delay);
            }
            self.record_process_event(courier, ProcessEvent::FolderLost);
        }
    }

    /// Ends a courier's process: its disk keeps what survives a crash, and its calls and clients' connections are closed.
    pub(crate) fn end_process(&mut self, courier: usize) {
        let state = &mut self.couriers[courier];
        state.is_serving = false;
        let Some(_) = state.process.take() else { return };
        state.disk = state.disk.after_crash();
        self.record_process_event(courier, ProcessEvent::Ended);
        let calls = self.endpoint_calls.iter().filter(|(_, call)| call.courier == courier);
        let calls: Vec<CallId> = calls.map(|(id, _)| *id).collect();
        for call in calls {
            self.endpoint_calls.remove(&call);
            self.record(Event::CallAborted { call, closed_by: ClosedBy::Courier });
        }
        // In the trace, `Unreached` includes connections that end with their courier's process.
        let requests: Vec<_> = self
            .pending_requests
            .iter()
            .filter(|(_, request)| request.courier == courier)
            .map(|(id, _)| *id)
            .collect();
        for request in requests {
            let at = self.draw_arrival_time();
            let event = ScheduledEvent::RequestEnds { request, outcome: EnqueueOutcome::Unreachable };
            self.queue.push(at, event);
        }
    }
}
