//! What goes wrong around the couriers, at its time.

use super::*;
use crate::day::Action;
use crate::scenario::Replace;
use gullcart_standins::partner::PartnerFault;
use rustix::process::Signal;

impl World {
    pub(super) fn act(self: &Rc<Self>, action: Action) {
        let now = self.recorder.now();
        match action {
            Action::Begin { id, trouble, partner, endpoint, until } => {
                self.partners[partner].borrow_mut().begin_fault(id, trouble, endpoint, until);
                if matches!(trouble, PartnerFault::Down | PartnerFault::Unreachable) {
                    self.reopen(partner);
                }
            }
            Action::End { id, partner } => {
                self.partners[partner].borrow_mut().end_fault(id);
                self.reopen(partner);
            }
            Action::Out(partner) => {
                self.recorder.record(Event::OutageBegan { partner: partner_id(partner) });
            }
            Action::Back(partner) => self.back(partner, now),
            Action::Drain { partner, endpoint, replace } => self.drain(partner, endpoint, replace),
            Action::Gone { partner, endpoint, replace } => self.gone(partner, endpoint, replace),
            Action::Silence(courier, silent) => {
                if let Some(agent) = &*self.places[courier].agent.borrow() {
                    agent.set_silent(silent);
                }
            }
            Action::Move(courier) => {
                let world = self.clone();
                spawn_local(async move { world.move_agent(courier).await });
            }
            Action::Term(courier) => {
                let world = self.clone();
                spawn_local(async move { world.terminate(courier).await });
            }
            Action::Kill { courier, folder_lost } => self.kill(courier, folder_lost),
            Action::Start(courier) => {
                let world = self.clone();
                spawn_local(async move { world.start_again(courier).await });
            }
            Action::Upgrade(courier) => {
                let world = self.clone();
                spawn_local(async move { world.upgrade(courier).await });
            }
            Action::Suspend(courier, true) => {
                let world = self.clone();
                spawn_local(async move { world.suspend(courier).await });
            }
            Action::Suspend(courier, false) => self.go_on(courier),
            Action::Full(courier, full) => self.full(courier, full),
        }
    }

    /// Opens or shuts the addresses of a partner's endpoints, as they are up or down.
    pub(super) fn reopen(&self, partner: usize) {
        for standing in &self.endpoints.borrow()[partner] {
            if standing.state.get() == EndpointState::Gone {
                continue;
            }
            if self.partners[partner].borrow().is_down(standing.endpoint.index) {
                standing.doors.iter().for_each(EndpointListener::refuse_connections);
                standing.endpoint.reset_connections();
                continue;
            }
            let is_cut = self.partners[partner].borrow().unreachable_until(standing.endpoint.index).is_some();
            let change = if is_cut { EndpointListener::block_connections } else { EndpointListener::reopen };
            if let Some(error) = standing.doors.iter().find_map(|door| change(door).err()) {
                self.remark(format!("an endpoint's address could not be opened again or cut off: {error}"));
            }
        }
    }

    pub(super) fn back(&self, partner: usize, now: Timestamp) {
        let mut model = self.partners[partner].borrow_mut();
        model.begin_slow_start(now);
        let (capacity, spec) = (model.capacity(), model.spec().clone());
        drop(model);
        // Calls of before hang no more.
        self.endpoints.borrow()[partner].iter().for_each(|standing| standing.endpoint.reset_connections());
        self.recorder.record(Event::OutageEnded {
            partner: partner_id(partner),
            capacity,
            cold_capacity_share: spec.cold_capacity_share,
            warm_at: now + spec.warm_up,
        });
    }

    pub(super) fn tell(self: &Rc<Self>, partner: usize, place: usize) {
        for courier in 0..self.places.len() {
            let target = self.target(courier, partner, &self.endpoints.borrow()[partner][place]);
            let [from, to] = self.scenario.register.late_s;
            let late = from + (to - from) * self.rng.borrow_mut().f64();
            let world = self.clone();
            spawn_local(async move {
                sleep(Duration::from_secs_f64(late)).await;
                if let Some(agent) = &*world.places[courier].agent.borrow() {
                    agent.update_target(target);
                }
            });
        }
    }

    pub(super) fn drain(self: &Rc<Self>, partner: usize, place: usize, replace: Replace) {
        self.endpoints.borrow()[partner][place].state.set(EndpointState::Draining);
        self.tell(partner, place);
        if replace == Replace::New {
            let model = self.partners[partner].borrow_mut().add_endpoint();
            match self.endpoint(partner, model) {
                Ok(standing) => {
                    self.endpoints.borrow_mut()[partner].push(standing);
                    let place = self.endpoints.borrow()[partner].len() - 1;
                    self.tell(partner, place);
                }
                Err(error) => self.remark(format!("no new endpoint could be opened: {error}")),
            }
        }
    }

    pub(super) fn gone(self: &Rc<Self>, partner: usize, place: usize, replace: Replace) {
        {
            let endpoints = self.endpoints.borrow();
            let standing = &endpoints[partner][place];
            standing.state.set(EndpointState::Gone);
            standing.endpoint.reset_connections();
            if replace != Replace::SameAddress {
                standing.doors.iter().for_each(EndpointListener::refuse_connections);
            }
        }
        self.tell(partner, place);
        if replace == Replace::SameAddress {
            let model = self.partners[partner].borrow_mut().add_endpoint();
            let endpoint = self.new_endpoint(partner, model);
            let doors = self.endpoints.borrow()[partner][place].doors.clone();
            doors.iter().for_each(|door| door.replace_endpoint(endpoint.clone()));
            let standing = Standing { endpoint, doors, state: Cell::new(EndpointState::Serving) };
            self.endpoints.borrow_mut()[partner].push(standing);
            let place = self.endpoints.borrow()[partner].len() - 1;
            self.tell(partner, place);
        }
    }

    pub(super) async fn move_agent(&self, courier: usize) {
        let place = &self.places[courier];
        let Some(agent) = place.agent.borrow_mut().take() else { return };
        match agent.restart_at_new_address().await {
            Ok(agent) => *place.agent.borrow_mut() = Some(agent),
            Err(error) => return self.remark(format!("the register could not move: {error}")),
        }
        match self.configure(courier) {
            Ok(_) => {
                if let Some(process) = &*place.process.borrow() {
                    process.signal(Signal::HUP);
                }
            }
            Err(error) => self.remark(format!("no new configuration could be written: {error}")),
        }
    }
}
