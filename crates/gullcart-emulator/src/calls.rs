//! Calls on their way: connections, what endpoints make of them, and what couriers hear.

use crate::address::Address;
use crate::courier::OutCall;
use crate::events::{CallInTransit, EndpointCall, Scheduled};
use crate::simulation::World;
use cloverstile::{LimitReport, MessageId, Outcome};
use gullcart_engine::{Call, CallResult, Input, StopReason};
use gullcart_judge::trace::{Answer, At, By, CallId, CourierId, Event, State};
use gullcart_rehearsal::Effect;
use gullcart_standins::ids;
use gullcart_standins::partner::Fate;
use std::time::Duration;

/// What a new connection costs the first call on it.
const HANDSHAKE: Duration = Duration::from_millis(10);

/// After this the kernel says the first word of a connection again, then after twice as long, and so on.
const FIRST_RETRY: Duration = Duration::from_secs(1);

fn ended(outcome: Outcome, latency: Duration, allowance: Option<LimitReport>) -> CallResult {
    CallResult { is_final: outcome == Outcome::Ok, outcome, latency, allowance }
}

impl World<'_> {
    /// Where an address leads now: a partner and one of its endpoints; none if nobody listens there.
    fn at_address(&self, address: Address) -> Option<(usize, usize)> {
        for (partner, all) in self.endpoints.iter().enumerate() {
            // The last that came to it.
            if let Some(standing) = all.iter().rposition(|standing| standing.address == address) {
                let there = &all[standing];
                let is_up = there.state != State::Gone && !self.partners[partner].is_down(there.place);
                return is_up.then_some((partner, standing));
            }
        }
        None
    }

    pub(crate) fn begin(&mut self, courier: usize, epoch: u32, call: &Call) {
        self.next_serial += 1;
        let (now, serial, message) = (self.now, self.next_serial, call.message);
        let Some(address) = Address::of(call.address) else { return };
        let Some(process) = self.places[courier].process(epoch) else { return };
        let kept = process.connection(call.endpoint, address, now);
        let out = OutCall {
            serial,
            endpoint: call.endpoint,
            address,
            id: call.id.clone(),
            key: call.idempotency_key.clone(),
            is_sent: false,
            call: None,
            is_done: false,
        };
        process.out.insert(message, out);
        let (at, fresh) = match kept {
            Some(rested) => (rested, false),
            // There and back.
            None => (self.comes_up(address) + (self.over_there() - now), true),
        };
        let send_by = call.send_by.and_then(|by| self.places[courier].process(epoch).map(|p| p.at(by)));
        let limit = now + call.try_for.min(Duration::from_secs_f64(self.scenario.couriers.connect_s));
        // As the daemon's network code has it: too late to be sent says nothing of the endpoint, never up says that it is out.
        match send_by.filter(|by| *by < limit) {
            Some(by) if at > by => self
                .queue
                .put(by, Scheduled::Never { courier, epoch, message, serial, outcome: Outcome::NotSent }),
            _ if fresh && at > limit => {
                let outcome = Outcome::ConnectFailed;
                self.queue.put(limit, Scheduled::Never { courier, epoch, message, serial, outcome });
            }
            _ => {
                self.queue.put(at, Scheduled::Write { courier, epoch, message, serial, fresh });
                self.queue.put(now + call.try_for, Scheduled::GiveUp { courier, epoch, message, serial });
            }
        }
    }

    /// When the first word of a connection gets there: where an endpoint is cut off, once the kernel tries again after that.
    fn comes_up(&mut self, address: Address) -> At {
        let (now, there) = (self.now, self.over_there());
        let cut = self.at_address(address).and_then(|(partner, standing)| {
            self.partners[partner].cut_until(self.endpoints[partner][standing].place)
        });
        let (mut at, mut wait) = (there, FIRST_RETRY);
        while cut.is_some_and(|until| at < until) {
            at = at.max(now) + wait;
            wait *= 2;
        }
        at
    }

    /// A call's connection does not come up in time.
    pub(crate) fn never(
        &mut self,
        courier: usize,
        epoch: u32,
        message: MessageId,
        serial: u64,
        outcome: Outcome,
    ) {
        self.finish(courier, epoch, message, serial, outcome, Duration::ZERO);
    }

    /// A call that its courier does not know of itself.
    #[cfg(feature = "broken")]
    pub(crate) fn begin_unknown(&mut self, courier: usize, epoch: u32, call: &Call) {
        let Some(address) = Address::of(call.address) else { return };
        let (first, at) = (self.now, self.over_there());
        let (message, id, key) = (call.message, call.id.clone(), call.idempotency_key.clone());
        let arriving =
            CallInTransit { courier, epoch, message, serial: 0, address, id, key, first, fresh: true };
        self.queue.put(at, Scheduled::Call(arriving));
    }

    pub(crate) fn write(&mut self, courier: usize, epoch: u32, message: MessageId, serial: u64, fresh: bool) {
        let now = self.now;
        let Some(process) = self.places[courier].process(epoch) else { return };
        let Some(out) = process.out.get_mut(&message).filter(|out| out.serial == serial && !out.is_done)
        else {
            return;
        };
        let address = out.address;
        if fresh && self.at_address(address).is_none() {
            return self.finish(courier, epoch, message, serial, Outcome::ConnectFailed, Duration::ZERO);
        }
        self.counts.connections += u64::from(fresh);
        let at = self.over_there();
        let process = self.places[courier].process(epoch);
        let Some(out) = process.and_then(|process| process.out.get_mut(&message)) else { return };
        out.is_sent = true;
        let (id, key) = (out.id.clone(), out.key.clone());
        let arriving = CallInTransit { courier, epoch, message, serial, address, id, key, first: now, fresh };
        self.queue.put(at, Scheduled::Call(arriving));
    }

    /// The outcome of a call is known to its courier after a while.
    fn finish(
        &mut self,
        courier: usize,
        epoch: u32,
        message: MessageId,
        serial: u64,
        outcome: Outcome,
        after: Duration,
    ) {
        let now = self.now;
        let Some(process) = self.places[courier].process(epoch) else { return };
        let Some(out) = process.out.get_mut(&message).filter(|out| out.serial == serial && !out.is_done)
        else {
            return;
        };
        out.is_done = true;
        let ended = ended(outcome, after, None);
        self.queue.put(now + after, Scheduled::Back { courier, epoch, message, serial, ended, keep: false });
    }

    /// The last byte of a call has come.
    pub(crate) fn call(&mut self, arriving: CallInTransit) {
        let CallInTransit { courier, epoch, message, serial, address, id, key, first, fresh } = arriving;
        let Some((partner, standing)) = self.at_address(address) else {
            // Broken meanwhile: some of it was written.
            return self.finish(courier, epoch, message, serial, Outcome::Reset, Duration::from_micros(100));
        };
        let now = self.now;
        self.next_call += 1;
        let call = CallId(self.next_call);
        let hand_in = ids::message_of(&id);
        let handed = hand_in.and_then(|hand_in| self.book.handed.get(&hand_in));
        let origin = handed.map(|handed| handed.origin as u64);
        let intact = origin.is_some_and(|origin| {
            let class = &self.scenario.classes[self.book.origins[origin as usize].arrival.class];
            let expected = (class.effect == Effect::Keyed).then(|| ids::idempotency_key(origin));
            expected == key
        });
        let there = &self.endpoints[partner][standing];
        let (endpoint, place) = (there.id, there.place);
        self.note(Event::Call {
            call,
            message: hand_in.filter(|_| origin.is_some()),
            courier: CourierId(courier as u16),
            endpoint,
            partner: World::partner_id(partner),
            first_byte: first,
            intact,
        });
        let fate = self.partners[partner].call(place, now);
        let handshake = if fresh { HANDSHAKE } else { Duration::ZERO };
        let due = match fate {
            Fate::Done(at) | Fate::Error(at) | Fate::Reset(at) | Fate::Spoilt(at) => Some(at + handshake),
            Fate::Refused(_) => Some(now + handshake),
            Fate::Silent => None,
        };
        self.calls.insert(call, EndpointCall { courier, epoch, message, serial, partner, standing, fate });
        if let Some(due) = due {
            self.queue.put(due, Scheduled::Fate(call));
        }
        let process = self.places[courier].process(epoch);
        let out =
            process.and_then(|process| process.out.get_mut(&message)).filter(|out| out.serial == serial);
        match out {
            Some(out) if !out.is_done => out.call = Some(call),
            // Given up on the way; one that its courier does not know of stays.
            _ if serial > 0 => self.cut(call),
            _ => {}
        }
    }

    /// What becomes of a call is due.
    pub(crate) fn fate(&mut self, call: CallId) {
        let now = self.now;
        let Some(there) = self.calls.get(&call) else { return };
        let (partner, standing) = (there.partner, there.standing);
        let place = self.endpoints[partner][standing].place;
        if let Some(until) = self.partners[partner].stalled(place).filter(|until| *until > now) {
            return self.queue.put(until, Scheduled::Fate(call));
        }
        let Some(EndpointCall { courier, epoch, message, serial, fate, .. }) = self.calls.remove(&call)
        else {
            return;
        };
        let reports = self.scenario.partners[partner].reports;
        let allowance = reports.then(|| {
            let (left, limit) = self.partners[partner].report(now);
            LimitReport {
                remaining_share: (left * 100.0).round() / 100.0,
                limit: (limit * 10.0).round() / 10.0,
            }
        });
        let (answer, outcome, keep) = match fate {
            Fate::Done(_) => (Answer::Ok, Outcome::Ok, true),
            Fate::Error(_) => (Answer::Error, Outcome::Error, true),
            Fate::Refused(wait) => {
                self.counts.refused += 1;
                let wait = wait.map(|wait| wait.as_micros().div_ceil(1000).max(1) as u64);
                (Answer::Full(wait), Outcome::Rejected(wait.map(Duration::from_millis)), true)
            }
            // In five, four cannot be read, and one has a first line that can.
            Fate::Spoilt(_) if call.0 % 5 == 4 => (Answer::Ok, Outcome::Ok, false),
            Fate::Spoilt(_) => (Answer::Spoilt, Outcome::Malformed, false),
            Fate::Reset(_) | Fate::Silent => return self.broken_off(call, courier, epoch, message, serial),
        };
        self.note(Event::CallAnswered { call, answer });
        let at = self.over_there();
        let allowance = allowance.filter(|_| keep);
        let ended = ended(outcome, Duration::ZERO, allowance);
        self.queue.put(at, Scheduled::Back { courier, epoch, message, serial, ended, keep });
    }

    /// A partner resets the connection of a call.
    pub(crate) fn broken_off(
        &mut self,
        call: CallId,
        courier: usize,
        epoch: u32,
        message: MessageId,
        serial: u64,
    ) {
        self.note(Event::CallCut { call, by: By::Partner });
        let at = self.over_there();
        let ended = ended(Outcome::Reset, Duration::ZERO, None);
        self.queue.put(at, Scheduled::Back { courier, epoch, message, serial, ended, keep: false });
    }

    /// A courier has closed the connection of a call.
    pub(crate) fn cut(&mut self, call: CallId) {
        if self.calls.remove(&call).is_some() {
            self.note(Event::CallCut { call, by: By::Courier });
        }
    }

    /// A call's end reaches its courier.
    pub(crate) fn back_at(
        &mut self,
        courier: usize,
        epoch: u32,
        message: MessageId,
        serial: u64,
        ended: CallResult,
        keep: bool,
    ) {
        let now = self.now;
        let Some(process) = self.places[courier].process(epoch) else { return };
        let Some(out) = process.out.get(&message).filter(|out| out.serial == serial) else { return };
        // An answer that crosses its call's being given up is not heard.
        let is_answer = ended.latency.is_zero() && ended.outcome != Outcome::ConnectFailed;
        if out.is_done && is_answer && keep {
            return;
        }
        let (endpoint, address) = (out.endpoint, out.address);
        process.out.remove(&message);
        if keep {
            process.keep(endpoint, address, now);
        }
        self.input(courier, epoch, Input::CallEnded(message, endpoint, ended));
    }

    /// The time that a call was given is up.
    pub(crate) fn give_up(&mut self, courier: usize, epoch: u32, message: MessageId, serial: u64) {
        let Some(process) = self.places[courier].process(epoch) else { return };
        let Some(out) = process.out.get(&message).filter(|out| out.serial == serial && !out.is_done) else {
            return;
        };
        let outcome = if out.is_sent { Outcome::Timeout } else { Outcome::ConnectFailed };
        self.close(courier, epoch, message, outcome);
    }

    /// A courier closes a call's connection, and knows its end once the other side has closed too.
    fn close(&mut self, courier: usize, epoch: u32, message: MessageId, outcome: Outcome) {
        let at = self.over_there();
        let back = at + (self.over_there() - self.now);
        let after = back - self.now;
        let Some(process) = self.places[courier].process(epoch) else { return };
        let Some(out) = process.out.get(&message) else { return };
        let (serial, is_sent) = (out.serial, out.is_sent);
        if let Some(call) = out.call {
            self.queue.put(at, Scheduled::Cut(call));
        }
        let after = if is_sent { after } else { Duration::ZERO };
        self.finish(courier, epoch, message, serial, outcome, after);
    }

    pub(crate) fn stop(&mut self, courier: usize, epoch: u32, message: MessageId, reason: StopReason) {
        let Some(process) = self.places[courier].process(epoch) else { return };
        let Some(out) = process.out.get(&message).filter(|out| !out.is_done) else { return };
        match (reason, out.is_sent) {
            (StopReason::Withdrawn, true) => {}
            (StopReason::Withdrawn, false) => self.close(courier, epoch, message, Outcome::NotSent),
            (StopReason::Cancelled, false) => self.close(courier, epoch, message, Outcome::ConnectFailed),
            (StopReason::Cancelled, true) => self.close(courier, epoch, message, Outcome::Cancelled),
        }
    }
}
