//! Clients: messages sent by the schedule, and what they do with answers.

use crate::events::{PendingRequest, Scheduled, Sending};
use crate::simulation::{World, LEAD};
use bytes_of::body;
use gullcart_engine::{Enqueue, Input, Ticket};
use gullcart_judge::trace::{ClassId, CourierId, Event, MessageId, OrderKey, Told};
use gullcart_rehearsal::book::{Handed, Origin};
use gullcart_rehearsal::figures::{MOST_TRIES, REMEMBERED};
use gullcart_rehearsal::{Arrival, Effect};
use gullcart_standins::ids;
use std::time::Duration;

/// A client gives up waiting for its answer.
const PATIENCE: Duration = Duration::from_millis(400);
/// Before it tries the next courier.
const PAUSE: Duration = Duration::from_millis(50);

mod bytes_of {
    /// A message's body, as the wire has it.
    pub fn body(origin: u64, size: usize) -> bytes::Bytes {
        gullcart_standins::ids::body(origin, size).into()
    }
}

impl World<'_> {
    /// Open loop: each message is sent when it is due, whatever became of those before.
    pub(crate) fn arrive(&mut self, number: usize) {
        let drawn = self.day.arrivals[number];
        let arrival = Arrival { at: drawn.at + LEAD, ..drawn };
        self.book.counts.messages += 1;
        self.book.service.asked(arrival.class, arrival.at);
        let retries = u32::from(self.scenario.traffic.retries);
        self.book.origins.push(Origin { arrival, retries, tries: 0, delivered: false });
        let origin = self.book.origins.len() - 1;
        self.send_after(Sending { origin, retry: false, again: false, avoid: None }, Duration::ZERO);
    }

    /// A message is handed in after a while.
    pub(crate) fn send_after(&mut self, sending: Sending, after: Duration) {
        self.busy += 1;
        self.queue.put(self.now + after, Scheduled::Send(sending, false));
    }

    /// Who gets a message: those of one key go to one courier while it runs.
    fn front(&mut self, key: Option<u64>, avoid: Option<usize>) -> usize {
        let count = self.places.len();
        let first = match key {
            Some(key) => (key.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32) as usize % count,
            None => self.rng.usize(0..count),
        };
        let order = (0..count).map(|step| (first + step) % count);
        let serving = order.clone().find(|at| self.places[*at].is_serving && Some(*at) != avoid);
        serving.or_else(|| order.clone().find(|at| self.places[*at].is_serving)).unwrap_or(first)
    }

    pub(crate) fn send(&mut self, sending: Sending, has_turn: bool) {
        let Sending { origin, retry, again, avoid } = sending;
        let arrival = self.book.origins[origin].arrival;
        // Messages of one key are handed in one after another, each when the one before has its answer.
        if let Some(key) = arrival.key.filter(|_| !has_turn) {
            if let Some(behind) = self.turns.get_mut(&key) {
                behind.push_back(sending);
                return;
            }
            self.turns.insert(key, Default::default());
        }
        let class = &self.scenario.classes[arrival.class];
        let deadline = arrival.at + Duration::from_secs_f64(class.deadline_s);
        let (left, tries) = (deadline - self.now, self.book.origins[origin].tries);
        if left < Duration::from_millis(10) || tries > MOST_TRIES {
            return self.turn_ends(origin);
        }
        let courier = self.front(arrival.key, avoid);
        let message = MessageId(self.book.next);
        self.book.next += 1;
        self.book.counts.hand_ins += 1;
        self.book.origins[origin].tries += 1;
        let forget = deadline + REMEMBERED;
        let handed = Handed { origin, courier, taken: false, delivered: None, over: false, forget };
        self.book.handed.insert(message, handed);
        self.book.forget.push_back(message);
        self.note(Event::HandIn {
            message,
            courier: CourierId(courier as u16),
            class: ClassId(arrival.class as u8),
            key: arrival.key.map(OrderKey),
            partner: World::partner_id(arrival.partner),
            deadline,
        });
        self.waiting.insert(message, PendingRequest { origin, courier, retry, again });
        let (at, epoch) = (self.over_there(), self.places[courier].epoch);
        self.queue.put(at, Scheduled::Request(courier, epoch, message));
        self.queue.put(self.now + PATIENCE, Scheduled::Told(message, Told::GaveUp));
    }

    /// A request reaches its courier, or nobody.
    pub(crate) fn request(&mut self, courier: usize, epoch: u32, message: MessageId) {
        let Some(waiting) = self.waiting.get(&message) else { return };
        if self.places[courier].process(epoch).is_none() {
            let at = self.over_there();
            return self.queue.put(at, Scheduled::Told(message, Told::Unreached));
        }
        let (origin, again) = (waiting.origin, waiting.again);
        let arrival = self.book.origins[origin].arrival;
        let class = &self.scenario.classes[arrival.class];
        let deadline = arrival.at + Duration::from_secs_f64(class.deadline_s);
        let enqueue = Enqueue {
            id: ids::wire_id(message),
            order_key: arrival.key.unwrap_or(0),
            class: class.name.clone(),
            destination: World::partner_id(arrival.partner).0,
            // Counted from when the client sent it: what came over the network is not taken off.
            time_left: deadline - self.now,
            idempotency_key: (class.effect == Effect::Keyed).then(|| ids::idempotency_key(origin as u64)),
            from_dead_courier: again,
            body: body(origin as u64, self.scenario.traffic.body),
        };
        self.input(courier, epoch, Input::Enqueue(Ticket(message.0), enqueue));
    }

    /// A client has its answer, or waits no more.
    pub(crate) fn told(&mut self, message: MessageId, told: Told) {
        let Some(waiting) = self.waiting.remove(&message) else { return };
        let PendingRequest { origin, courier, retry, .. } = waiting;
        self.note(Event::Answered { message, told });
        match told {
            Told::Taken | Told::Error => self.turn_ends(origin),
            Told::Busy(wait) => {
                self.come_back(origin, wait);
                self.turn_ends(origin);
            }
            Told::GaveUp | Told::Cut | Told::Unreached => {
                let sending = Sending { origin, retry, again: true, avoid: Some(courier) };
                self.queue.put(self.now + PAUSE, Scheduled::Send(sending, true));
            }
        }
    }

    /// A message has been handed in for now: the next one of its key has its turn.
    fn turn_ends(&mut self, origin: usize) {
        self.busy -= 1;
        let Some(key) = self.book.origins[origin].arrival.key else { return };
        match self.turns.get_mut(&key).and_then(std::collections::VecDeque::pop_front) {
            Some(next) => self.queue.put(self.now, Scheduled::Send(next, true)),
            None => drop(self.turns.remove(&key)),
        }
    }

    /// A refused message comes again once, after the longer of what was told and the client's own wait.
    pub(crate) fn come_back(&mut self, origin: usize, wait: Option<u64>) {
        let retries = std::mem::replace(&mut self.book.origins[origin].retries, 0);
        if retries == 0 {
            return;
        }
        let [from, to] = self.scenario.traffic.retry_ms;
        let own = from + (to - from) * self.rng.f64();
        let wait = own.max(wait.unwrap_or(0) as f64);
        let sending = Sending { origin, retry: true, again: false, avoid: None };
        self.send_after(sending, Duration::from_secs_f64(wait / 1e3));
    }
}
