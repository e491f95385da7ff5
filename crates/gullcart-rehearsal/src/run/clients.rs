//! Clients: messages sent by the schedule, and what they do with answers.

use super::*;
use gullcart_standins::client::EnqueueRequest;
use tokio::time::timeout;

impl World {
    /// Open loop: each message is sent when it is due, whatever became of those before.
    pub(super) async fn arrive(self: &Rc<Self>) {
        for place in 0..self.day.arrivals.len() {
            let arrival = self.day.arrivals[place];
            sleep_until(self.recorder.instant(arrival.at)).await;
            let late = self.recorder.now() - arrival.at;
            self.late.borrow_mut().saturating_record((late.as_micros() as u64).max(1));
            let origin = {
                let mut book = self.book.borrow_mut();
                book.counts.messages += 1;
                book.service.record_request(arrival.class, arrival.at);
                let retries = u32::from(self.scenario.traffic.retries);
                book.origins.push(Origin { arrival, retries, tries: 0, delivered: false });
                book.origins.len() - 1
            };
            self.send(origin, false, false, Duration::ZERO);
        }
    }

    /// Hands a message in after a while.
    pub(super) fn send(self: &Rc<Self>, origin: usize, retry: bool, again: bool, after: Duration) {
        let world = self.clone();
        self.busy.set(self.busy.get() + 1);
        spawn_local(async move {
            sleep(after).await;
            world.hand_in(origin, retry, again).await;
            world.busy.set(world.busy.get() - 1);
        });
    }

    /// Who gets a message: those of one key go to one courier while it runs.
    pub(super) fn front(&self, key: Option<u64>, avoid: Option<usize>) -> usize {
        let count = self.places.len();
        let first = match key {
            Some(key) => (key.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32) as usize % count,
            None => self.rng.borrow_mut().usize(0..count),
        };
        let order = (0..count).map(|step| (first + step) % count);
        let serving = order.clone().find(|at| self.places[*at].serving.get() && Some(*at) != avoid);
        serving.or_else(|| order.clone().find(|at| self.places[*at].serving.get())).unwrap_or(first)
    }

    pub(super) async fn hand_in(self: &Rc<Self>, origin: usize, retry: bool, again: bool) {
        let arrival = self.book.borrow().origins[origin].arrival;
        let class = self.scenario.classes[arrival.class].clone();
        // Messages of one key are handed in one after another, each when the one before has its answer.
        let turn = arrival.key.map(|key| self.keys.borrow_mut().entry(key).or_default().clone());
        let _turn = match &turn {
            Some(turn) => Some(turn.lock().await),
            None => None,
        };
        let mut avoid = None;
        let mut again = again;
        loop {
            let deadline = arrival.at + Duration::from_secs_f64(class.deadline_s);
            let now = self.recorder.now();
            let (left, tries) = (deadline - now, self.book.borrow().origins[origin].tries);
            if left < Duration::from_millis(10) || tries > MOST_TRIES {
                return;
            }
            let courier = self.front(arrival.key, avoid);
            let message = {
                let mut book = self.book.borrow_mut();
                let message = MessageId(book.next);
                book.next += 1;
                book.counts.hand_ins += 1;
                book.origins[origin].tries += 1;
                let forget = deadline + REMEMBERED;
                let handed = Handed { origin, courier, taken: false, delivered: None, over: false, forget };
                book.handed.insert(message, handed);
                book.forget.push_back(message);
                message
            };
            let keyed = class.effect == Effect::Keyed;
            let idempotency_key = keyed.then(|| ids::idempotency_key(origin as u64));
            let request = EnqueueRequest {
                id: &ids::wire_id(message),
                order_key: arrival.key.unwrap_or(0),
                class: &class.name,
                partner: partner_id(arrival.partner).0,
                time_left: left,
                idempotency_key: idempotency_key.as_deref(),
                retry,
                from_dead_courier: again,
                body: &ids::body(origin as u64, self.scenario.traffic.body),
            }
            .encode();
            self.recorder.record(Event::EnqueueSent {
                message,
                courier: CourierId(courier as u16),
                class: ClassId(arrival.class as u8),
                key: arrival.key.map(OrderKey),
                partner: partner_id(arrival.partner),
                deadline,
            });
            let mut told = self.places[courier].clients.enqueue(&request).await;
            if told == EnqueueOutcome::ConnectionLost && self.is_away(courier).await {
                told = EnqueueOutcome::Unreachable;
            }
            self.recorder.record(Event::EnqueueAnswered { message, outcome: told });
            match told {
                EnqueueOutcome::Accepted | EnqueueOutcome::Error => return,
                EnqueueOutcome::Busy(wait) => {
                    self.come_back(origin, wait);
                    return;
                }
                EnqueueOutcome::ClientTimedOut
                | EnqueueOutcome::ConnectionLost
                | EnqueueOutcome::Unreachable => {
                    (avoid, again) = (Some(courier), true);
                    // A client that cannot reach anybody does not ask all the time.
                    sleep(Duration::from_millis(50)).await;
                }
            }
        }
    }

    /// Whether a courier's process has ended, or does so in a moment.
    pub(super) async fn is_away(&self, courier: usize) -> bool {
        let ended = self.places[courier].process.borrow().as_ref().map(Courier::exit_watch);
        match ended {
            Some(mut ended) => {
                timeout(Duration::from_millis(100), ended.wait_for(|ended| *ended)).await.is_ok()
            }
            None => true,
        }
    }

    /// A refused message comes again once, after the longer of what was told and the client's own wait.
    pub(super) fn come_back(self: &Rc<Self>, origin: usize, wait: Option<u64>) {
        let retries = {
            let mut book = self.book.borrow_mut();
            let origin = &mut book.origins[origin];
            let retries = origin.retries;
            origin.retries = retries.saturating_sub(1);
            retries
        };
        if retries == 0 {
            return;
        }
        let [from, to] = self.scenario.traffic.retry_ms;
        let own = from + (to - from) * self.rng.borrow_mut().f64();
        let wait = own.max(wait.unwrap_or(0) as f64);
        self.send(origin, true, false, Duration::from_secs_f64(wait / 1e3));
    }

    pub(super) fn serve_returned(self: &Rc<Self>) {
        let returned = std::mem::take(&mut self.book.borrow_mut().returned);
        for (origin, wait) in returned {
            self.come_back(origin, wait);
        }
    }
}
