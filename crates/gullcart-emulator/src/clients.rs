//! Clients: they enqueue messages on schedule and react to the answers.

use crate::events::{PendingRequest, ScheduledEvent, Submission};
use crate::simulation::{Simulation, STARTUP_OFFSET};
use gullcart_engine::{Enqueue, Input, Ticket};
use gullcart_judge::trace::{ClassId, CourierId, EnqueueOutcome, Event, MessageId as RequestId, OrderKey};
use gullcart_rehearsal::book::{Handed, Origin};
use gullcart_rehearsal::figures::{MOST_TRIES, REMEMBERED};
use gullcart_rehearsal::{Arrival, Effect};
use gullcart_standins::ids;
use std::time::Duration;

/// How long a client waits for the answer to a request. This and the delay below are the same as in a rehearsal with real
/// processes.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// Delay before a client without an answer tries another courier.
const RESEND_DELAY: Duration = Duration::from_millis(50);
/// A message is not enqueued with less time than this until its deadline.
const MIN_TIME_LEFT: Duration = Duration::from_millis(10);
/// Multiplier of Fibonacci hashing (2^64 divided by the golden ratio), which spreads order keys over the couriers.
const KEY_HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

impl Simulation<'_> {
    /// Submits the scheduled message with this index. The load is open-loop: a message is sent when it is due, whatever
    /// happened to earlier ones.
    pub(crate) fn submit_scheduled(&mut self, index: usize) {
        let scheduled = self.plan.arrivals[index];
        let arrival = Arrival { at: scheduled.at + STARTUP_OFFSET, ..scheduled };
        self.book.counts.messages += 1;
        self.book.service.record_request(arrival.class, arrival.at);
        let retries = u32::from(self.scenario.traffic.retries);
        self.book.origins.push(Origin { arrival, retries, tries: 0, delivered: false });
        let origin = self.book.origins.len() - 1;
        let submission =
            Submission { origin, is_retry: false, from_dead_courier: false, avoided_courier: None };
        self.submit_after(submission, Duration::ZERO);
    }

    /// Schedules a submission after a delay.
    pub(crate) fn submit_after(&mut self, submission: Submission, delay: Duration) {
        self.open_submissions += 1;
        self.queue.push(self.now + delay, ScheduledEvent::Submit { submission, holds_order_key: false });
    }

    /// Chooses the courier for a message. Messages with the same order key go to the same courier while it is serving.
    fn choose_courier(&mut self, order_key: Option<u64>, avoided_courier: Option<usize>) -> usize {
        let count = self.couriers.len();
        let first = match order_key {
            Some(key) => (key.wrapping_mul(KEY_HASH_MULTIPLIER) >> 32) as usize % count,
            None => self.rng.usize(0..count),
        };
        let candidates = (0..count).map(|step| (first + step) % count);
        let preferred = candidates
            .clone()
            .find(|courier| self.couriers[*courier].is_serving && Some(*courier) != avoided_courier);
        preferred
            .or_else(|| candidates.clone().find(|courier| self.couriers[*courier].is_serving))
            .unwrap_or(first)
    }

    /// Sends an enqueue request for a message, once it is the turn of its order key. A message near its deadline, or after too
    /// many tries, is dropped.
    pub(crate) fn submit(&mut self, submission: Submission, holds_order_key: bool) {
        let Submission { origin, is_retry, from_dead_courier, avoided_courier } = submission;
        let arrival = self.book.origins[origin].arrival;
        // Messages with the same order key are enqueued one after another, each once the previous one has its answer.
        if let Some(key) = arrival.key.filter(|_| !holds_order_key) {
            if let Some(waiting) = self.waiting_by_key.get_mut(&key) {
                waiting.push_back(submission);
                return;
            }
            self.waiting_by_key.insert(key, Default::default());
        }
        let class = &self.scenario.classes[arrival.class];
        let deadline = arrival.at + Duration::from_secs_f64(class.deadline_s);
        let (time_left, tries) = (deadline - self.now, self.book.origins[origin].tries);
        if time_left < MIN_TIME_LEFT || tries > MOST_TRIES {
            return self.complete_submission(origin);
        }
        let courier = self.choose_courier(arrival.key, avoided_courier);
        let request = RequestId(self.book.next);
        self.book.next += 1;
        self.book.counts.hand_ins += 1;
        self.book.origins[origin].tries += 1;
        let forget = deadline + REMEMBERED;
        let handed = Handed { origin, courier, taken: false, delivered: None, over: false, forget };
        self.book.handed.insert(request, handed);
        self.book.forget.push_back(request);
        self.record(Event::EnqueueSent {
            message: request,
            courier: CourierId(courier as u16),
            class: ClassId(arrival.class as u8),
            key: arrival.key.map(OrderKey),
            partner: Simulation::partner_id(arrival.partner),
            deadline,
        });
        let pending = PendingRequest { origin, courier, is_retry, from_dead_courier };
        self.pending_requests.insert(request, pending);
        let (at, incarnation) = (self.draw_arrival_time(), self.couriers[courier].incarnation);
        self.queue.push(at, ScheduledEvent::RequestArrives { courier, incarnation, request });
        let timeout = ScheduledEvent::RequestEnds { request, outcome: EnqueueOutcome::ClientTimedOut };
        self.queue.push(self.now + ANSWER_TIMEOUT, timeout);
    }

    /// A request reaches its courier, or fails if the process is gone.
    pub(crate) fn receive_request(&mut self, courier: usize, incarnation: u32, request: RequestId) {
        let Some(pending) = self.pending_requests.get(&request) else { return };
        if self.couriers[courier].process(incarnation).is_none() {
            let at = self.draw_arrival_time();
            let event = ScheduledEvent::RequestEnds { request, outcome: EnqueueOutcome::Unreachable };
            return self.queue.push(at, event);
        }
        let (origin, from_dead_courier) = (pending.origin, pending.from_dead_courier);
        let arrival = self.book.origins[origin].arrival;
        let class = &self.scenario.classes[arrival.class];
        let deadline = arrival.at + Duration::from_secs_f64(class.deadline_s);
        let enqueue = Enqueue {
            id: ids::wire_id(request),
            order_key: arrival.key.unwrap_or(0),
            class: class.name.clone(),
            destination: Simulation::partner_id(arrival.partner).0,
            // The time left when the request arrives.
            time_left: deadline - self.now,
            idempotency_key: (class.effect == Effect::Keyed).then(|| ids::idempotency_key(origin as u64)),
            from_dead_courier,
            body: ids::body(origin as u64, self.scenario.traffic.body).into(),
            client: None,
        };
        self.deliver_input(courier, incarnation, Input::Enqueue(Ticket(request.0), enqueue));
    }

    /// A request ends for its client. Rejected messages are retried; without an answer, another courier is tried.
    pub(crate) fn end_request(&mut self, request: RequestId, outcome: EnqueueOutcome) {
        let Some(pending) = self.pending_requests.remove(&request) else { return };
        let PendingRequest { origin, courier, is_retry, .. } = pending;
        self.record(Event::EnqueueAnswered { message: request, outcome });
        match outcome {
            EnqueueOutcome::Accepted | EnqueueOutcome::Error => self.complete_submission(origin),
            EnqueueOutcome::Busy(retry_after_ms) => {
                self.retry_message(origin, retry_after_ms);
                self.complete_submission(origin);
            }
            EnqueueOutcome::ClientTimedOut | EnqueueOutcome::ConnectionLost | EnqueueOutcome::Unreachable => {
                let submission =
                    Submission { origin, is_retry, from_dead_courier: true, avoided_courier: Some(courier) };
                let event = ScheduledEvent::Submit { submission, holds_order_key: true };
                self.queue.push(self.now + RESEND_DELAY, event);
            }
        }
    }

    /// Completes a submission and starts the next one with the same order key.
    fn complete_submission(&mut self, origin: usize) {
        self.open_submissions -= 1;
        let Some(key) = self.book.origins[origin].arrival.key else { return };
        match self.waiting_by_key.get_mut(&key).and_then(std::collections::VecDeque::pop_front) {
            Some(submission) => {
                self.queue.push(self.now, ScheduledEvent::Submit { submission, holds_order_key: true });
            }
            // No other message with the key waits.
            None => drop(self.waiting_by_key.remove(&key)),
        }
    }

    /// Submits a rejected or returned message again after the client's own delay or the retry-after time, whichever is longer. A
    /// client retries a message once, if the scenario has retries at all.
    pub(crate) fn retry_message(&mut self, origin: usize, retry_after_ms: Option<u64>) {
        let retries = std::mem::replace(&mut self.book.origins[origin].retries, 0);
        if retries == 0 {
            return;
        }
        let [min_ms, max_ms] = self.scenario.traffic.retry_ms;
        let client_delay_ms = min_ms + (max_ms - min_ms) * self.rng.f64();
        let delay_ms = client_delay_ms.max(retry_after_ms.unwrap_or(0) as f64);
        let submission =
            Submission { origin, is_retry: true, from_dead_courier: false, avoided_courier: None };
        self.submit_after(submission, Duration::from_secs_f64(delay_ms / 1e3));
    }
}
