//! What goes wrong, at its time.

use crate::address::Address;
use crate::courier::Process;
use crate::events::{Endpoint, Scheduled, Sending};
use crate::simulation::{World, LEAD};
use gullcart_engine::Input;
use gullcart_judge::trace::{By, CallId, CourierId, EndpointId, Event, Process as What, State};
use gullcart_message::Target;
use gullcart_rehearsal::figures::{END, FRONT_NOTICES, HANDED_AGAIN_MS, RESTART, ZONE};
use gullcart_rehearsal::{Action, Replace};
use gullcart_standins::partner::Trouble;
use std::time::Duration;

/// What the register has to tell counts as told so much later.
const TOLD_AT_LAST: Duration = Duration::from_secs(6);

impl World<'_> {
    /// A new endpoint, at an address of its own or at that of another.
    pub(crate) fn stand(&mut self, _partner: usize, place: usize, address: Option<Address>) -> Endpoint {
        let id = EndpointId(self.next_endpoint);
        self.next_endpoint += 1;
        Endpoint { id, place, address: address.unwrap_or(Address(id.0)), state: State::Serving }
    }

    /// An endpoint as the register lists it.
    pub(crate) fn target(&self, partner: usize, standing: &Endpoint) -> (Target, State) {
        let state = match standing.state {
            State::Serving => "SERVING",
            State::Draining => "DRAINING",
            State::Gone => "DELETED",
        };
        let target = Target {
            uid: format!("s-{:08x}", standing.id.0),
            endpoint: standing.address.text(),
            az: ZONE.to_owned(),
            model: self.scenario.partners[partner].kind.clone(),
            pod_group: World::partner_id(partner).0,
            state: state.to_owned(),
            capacity_hint: self.partners[partner].spec().limit.per_second(),
        };
        (target, standing.state)
    }

    pub(crate) fn act(&mut self, action: Action) {
        let now = self.now;
        match action {
            Action::Begin { id, trouble, partner, endpoint, until } => {
                self.partners[partner].begin(id, trouble, endpoint, until + LEAD);
                if trouble == Trouble::Down {
                    for standing in 0..self.endpoints[partner].len() {
                        if self.partners[partner].is_down(self.endpoints[partner][standing].place) {
                            self.break_connections(partner, standing);
                        }
                    }
                }
            }
            Action::End { id, partner } => self.partners[partner].end(id),
            Action::Out(partner) => self.note(Event::Out { partner: World::partner_id(partner) }),
            Action::Back(partner) => {
                self.partners[partner].come_back(now);
                let (capacity, spec) =
                    (self.partners[partner].capacity(), self.partners[partner].spec().clone());
                // Calls of before hang no more.
                (0..self.endpoints[partner].len())
                    .for_each(|standing| self.break_connections(partner, standing));
                self.note(Event::Back {
                    partner: World::partner_id(partner),
                    capacity,
                    cold_from: spec.cold_from,
                    warm: now + spec.cold,
                });
            }
            Action::Drain { partner, endpoint, replace } => {
                self.change(partner, endpoint, State::Draining);
                if replace == Replace::New {
                    self.replace(partner, None);
                }
            }
            Action::Gone { partner, endpoint, replace } => {
                self.break_connections(partner, endpoint);
                let address = self.endpoints[partner][endpoint].address;
                self.change(partner, endpoint, State::Gone);
                if replace == Replace::SameAddress {
                    self.replace(partner, Some(address));
                }
            }
            Action::Silence(courier, is_silent) => {
                self.places[courier].agent.is_silent = is_silent;
                if !is_silent {
                    self.tell_news(courier);
                }
            }
            Action::Move(courier) => {
                let (list, epoch) = (self.places[courier].agent.list(), self.places[courier].epoch);
                if !self.places[courier].agent.is_silent {
                    self.input(courier, epoch, Input::ListUpdate(list));
                }
            }
            // Not modelled: the courier goes on.
            // Neither is modelled.
            Action::Upgrade(_) | Action::Suspend(..) => {}
            Action::Term(courier) => self.terminate(courier),
            Action::Kill { courier, folder_lost } => self.kill(courier, folder_lost),
            Action::Start(courier) => {
                let after = self.places[courier].signalled.map_or(now, |at| at + RESTART);
                // Not before the one before has ended.
                let at = if self.places[courier].process.is_some() { now + END } else { now };
                self.queue.put(at.max(after), Scheduled::Start(courier));
            }
            Action::Full(courier, full) => self.places[courier].disk.refuse_changes(full),
        }
    }

    fn replace(&mut self, partner: usize, address: Option<Address>) {
        let place = self.partners[partner].add_endpoint();
        let standing = self.stand(partner, place, address);
        self.endpoints[partner].push(standing);
        self.change(partner, self.endpoints[partner].len() - 1, State::Serving);
    }

    /// An endpoint changes, and the register tells each courier in its own time.
    fn change(&mut self, partner: usize, standing: usize, state: State) {
        self.endpoints[partner][standing].state = state;
        let [from, to] = self.scenario.register.late_s;
        for courier in 0..self.places.len() {
            let late = from + (to - from) * self.rng.f64();
            let at = self.now + Duration::from_secs_f64(late);
            self.queue.put(at, Scheduled::News(courier, partner, standing, state));
        }
    }

    /// News reaches a courier's agent.
    pub(crate) fn news(&mut self, courier: usize, partner: usize, standing: usize, state: State) {
        let there = &self.endpoints[partner][standing];
        let known = Endpoint { id: there.id, place: there.place, address: there.address, state };
        let target = self.target(partner, &known);
        let agent = &mut self.places[courier].agent;
        agent.rev += 1;
        agent.targets.insert(known.id, target);
        agent.untold.push(known.id);
        self.queue.put(self.now + TOLD_AT_LAST, Scheduled::ToldAtLast(courier));
        if !self.places[courier].agent.is_silent {
            self.tell_news(courier);
        }
    }

    /// The agent writes to its courier what that has not heard.
    fn tell_news(&mut self, courier: usize) {
        let epoch = self.places[courier].epoch;
        if self.places[courier].process.is_none() || self.places[courier].agent.untold.is_empty() {
            return;
        }
        let (update, told) = self.places[courier].agent.changes();
        for (endpoint, state) in told {
            self.note(Event::Listed { courier: CourierId(courier as u16), endpoint, state });
        }
        self.input(courier, epoch, Input::ListUpdate(update));
    }

    /// What was not told counts as told.
    pub(crate) fn count_as_told(&mut self, courier: usize) {
        let (_, told) = self.places[courier].agent.changes();
        for (endpoint, state) in told {
            self.note(Event::Listed { courier: CourierId(courier as u16), endpoint, state });
        }
    }

    /// All connections to an endpoint are reset.
    fn break_connections(&mut self, partner: usize, standing: usize) {
        let address = self.endpoints[partner][standing].address;
        for place in &mut self.places {
            if let Some(process) = &mut place.process {
                process.break_off(address);
            }
        }
        let there =
            self.calls.iter().filter(|(_, call)| (call.partner, call.standing) == (partner, standing));
        let calls: Vec<CallId> = there.map(|(call, _)| *call).collect();
        for call in calls {
            if let Some(there) = self.calls.remove(&call) {
                self.broken_off(call, there.courier, there.epoch, there.message, there.serial);
            }
        }
    }

    fn process(&mut self, courier: usize, what: What) {
        self.note(Event::Process { courier: CourierId(courier as u16), what });
    }

    fn terminate(&mut self, courier: usize) {
        let (now, epoch) = (self.now, self.places[courier].epoch);
        self.places[courier].signalled = Some(now);
        self.process(courier, What::Terminated);
        if let Some(Process { is_ending, .. }) = &mut self.places[courier].process {
            *is_ending = true;
        }
        self.input(courier, epoch, Input::Terminate);
        self.queue.put(now + FRONT_NOTICES, Scheduled::FrontNotices(courier, epoch));
        self.queue.put(now + END, Scheduled::Kill(courier, epoch));
    }

    fn kill(&mut self, courier: usize, folder_lost: bool) {
        self.places[courier].signalled = Some(self.now);
        self.end_process(courier);
        if folder_lost {
            let disk = (self.scenario.couriers.disk_mb * 1e6) as u64;
            let seed = self.rng.u64(..);
            self.places[courier].disk = gullcart_journal::simulated::Disk::new(
                disk,
                gullcart_journal::simulated::Crash::Process,
                seed,
            );
            for origin in self.book.lost_with(courier, self.scenario) {
                let (from, to) = HANDED_AGAIN_MS;
                let after = Duration::from_millis(self.rng.u64(from..to));
                self.send_after(Sending { origin, retry: false, again: true, avoid: None }, after);
            }
            self.process(courier, What::FolderLost);
        }
    }

    /// A process is gone: its connections break, and its folder is as it left it.
    pub(crate) fn end_process(&mut self, courier: usize) {
        let place = &mut self.places[courier];
        place.is_serving = false;
        let Some(_) = place.process.take() else { return };
        place.disk = place.disk.after_crash();
        self.process(courier, What::Ended);
        let there = self.calls.iter().filter(|(_, call)| call.courier == courier);
        let calls: Vec<CallId> = there.map(|(call, _)| *call).collect();
        for call in calls {
            self.calls.remove(&call);
            self.note(Event::CallCut { call, by: By::Courier });
        }
        let waiting: Vec<_> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| waiting.courier == courier)
            .map(|(id, _)| *id)
            .collect();
        for message in waiting {
            let at = self.over_there();
            self.queue.put(at, Scheduled::Told(message, gullcart_judge::trace::Told::Unreached));
        }
    }
}
