//! Calls: their connections, what happens to them at endpoints, and how their results reach the couriers.

use crate::address::Address;
use crate::courier::CourierCall;
use crate::events::{CallInTransit, EndpointCall, ScheduledEvent, UNTRACKED_SERIAL};
use crate::simulation::Simulation;
use cloverstile::{LimitReport, MessageId, Outcome};
use gullcart_engine::{Call, CallResult, Input, StopReason};
use gullcart_judge::trace::{Answer, CallId, ClosedBy, CourierId, EndpointState, Event, Timestamp};
use gullcart_rehearsal::Effect;
use gullcart_standins::ids;
use gullcart_standins::partner::CallOutcome;
use std::time::Duration;

/// Additional time that an endpoint takes for the first call on a connection.
const NEW_CONNECTION_OVERHEAD: Duration = Duration::from_millis(10);

/// Delay after which the kernel first retransmits the SYN of a new connection; it doubles with each retransmission.
const FIRST_SYN_RETRY: Duration = Duration::from_secs(1);

/// How long a courier takes to notice that a connection broke while its call was in transit.
const RESET_NOTICE_DELAY: Duration = Duration::from_micros(100);

/// Number of different malformed answers. As in the endpoint stand-in, the number of the call selects one of them.
const MALFORMED_ANSWER_KINDS: u64 = 5;
/// The malformed answer that has a valid status line with 200.
const MALFORMED_AFTER_STATUS: u64 = 4;

/// The result of a call for the engine. `latency` is the delay between the end of a call and the moment at which its courier learns
/// of it, where the courier closed the connection or found it broken; for answers and resets it is zero.
fn call_result(outcome: Outcome, latency: Duration, limit_report: Option<LimitReport>) -> CallResult {
    CallResult { is_final: outcome == Outcome::Ok, outcome, latency, allowance: limit_report }
}

impl Simulation<'_> {
    /// The partner and the index of the endpoint that listens at an address, if there is one.
    fn listening_endpoint(&self, address: Address) -> Option<(usize, usize)> {
        for (partner, endpoints) in self.endpoints.iter().enumerate() {
            // An address may be reused; the latest endpoint has it.
            if let Some(index) = endpoints.iter().rposition(|endpoint| endpoint.address == address) {
                let endpoint = &endpoints[index];
                let is_listening = endpoint.state != EndpointState::Gone
                    && !self.partners[partner].is_down(endpoint.model_index);
                return is_listening.then_some((partner, index));
            }
        }
        None
    }

    /// Starts a call: takes an idle connection or opens a new one, and schedules when the call is written.
    pub(crate) fn start_call(&mut self, courier: usize, incarnation: u32, call: &Call) {
        self.last_serial += 1;
        let (now, serial, message) = (self.now, self.last_serial, call.message);
        let Some(address) = Address::of(call.address) else { return };
        let Some(process) = self.couriers[courier].process(incarnation) else { return };
        let idle_connection = process.take_idle_connection(call.endpoint, address, now);
        let courier_call = CourierCall {
            serial,
            endpoint: call.endpoint,
            address,
            wire_id: call.id.clone(),
            idempotency_key: call.idempotency_key.clone(),
            is_written: false,
            trace_id: None,
            has_ended: false,
        };
        process.calls.insert(message, courier_call);
        let (ready_at, is_new_connection) = match idle_connection {
            Some(reusable_at) => (reusable_at, false),
            // Opening a connection takes one round trip.
            None => (self.draw_connect_arrival(address) + (self.draw_arrival_time() - now), true),
        };
        let send_by =
            call.send_by.and_then(|by| self.couriers[courier].process(incarnation).map(|p| p.run_time(by)));
        let connect_timeout = call.try_for.min(Duration::from_secs_f64(self.scenario.couriers.connect_s));
        let connect_by = now + connect_timeout;
        // As in the daemon's network code: only a connection that cannot be opened within its timeout counts as a failure of the
        // endpoint, not a call that cannot be written by `send_by`.
        match send_by.filter(|by| *by < connect_by) {
            Some(by) if ready_at > by => {
                let outcome = Outcome::NotSent;
                let event = ScheduledEvent::CallUnwritten { courier, incarnation, message, serial, outcome };
                self.queue.push(by, event);
            }
            _ if is_new_connection && ready_at > connect_by => {
                let outcome = Outcome::ConnectFailed;
                let event = ScheduledEvent::CallUnwritten { courier, incarnation, message, serial, outcome };
                self.queue.push(connect_by, event);
            }
            _ => {
                let write =
                    ScheduledEvent::WriteCall { courier, incarnation, message, serial, is_new_connection };
                self.queue.push(ready_at, write);
                let timeout = ScheduledEvent::CallTimeout { courier, incarnation, message, serial };
                self.queue.push(now + call.try_for, timeout);
            }
        }
    }

    /// Draws when the SYN of a new connection arrives. While the endpoint is unreachable, packets are lost, and the kernel
    /// retransmits the SYN with increasing delays.
    fn draw_connect_arrival(&mut self, address: Address) -> Timestamp {
        let first_arrival = self.draw_arrival_time();
        let unreachable_until = self.listening_endpoint(address).and_then(|(partner, index)| {
            self.partners[partner].unreachable_until(self.endpoints[partner][index].model_index)
        });
        let (mut at, mut retry_delay) = (first_arrival, FIRST_SYN_RETRY);
        while unreachable_until.is_some_and(|until| at < until) {
            at = at + retry_delay;
            retry_delay *= 2;
        }
        at
    }

    /// Ends a call whose connection was not ready in time.
    pub(crate) fn end_unwritten_call(
        &mut self,
        courier: usize,
        incarnation: u32,
        message: MessageId,
        serial: u64,
        outcome: Outcome,
    ) {
        self.schedule_call_end(courier, incarnation, message, serial, outcome, Duration::ZERO);
    }

    /// Starts a call whose end is not reported to the engine, for an injected fault.
    #[cfg(feature = "broken")]
    pub(crate) fn start_untracked_call(&mut self, courier: usize, incarnation: u32, call: &Call) {
        let Some(address) = Address::of(call.address) else { return };
        let (now, at) = (self.now, self.draw_arrival_time());
        let call = CallInTransit {
            courier,
            incarnation,
            message: call.message,
            serial: UNTRACKED_SERIAL,
            address,
            wire_id: call.id.clone(),
            idempotency_key: call.idempotency_key.clone(),
            first_byte_at: now,
            is_new_connection: true,
        };
        self.queue.push(at, ScheduledEvent::CallArrives(call));
    }

    /// Writes a call to its connection, unless it has ended. A new connection fails if nobody listens at the address.
    pub(crate) fn write_call(
        &mut self,
        courier: usize,
        incarnation: u32,
        message: MessageId,
        serial: u64,
        is_new_connection: bool,
    ) {
        let now = self.now;
        let Some(process) = self.couriers[courier].process(incarnation) else { return };
        let Some(call) =
            process.calls.get_mut(&message).filter(|call| call.serial == serial && !call.has_ended)
        else {
            return;
        };
        let address = call.address;
        if is_new_connection && self.listening_endpoint(address).is_none() {
            let outcome = Outcome::ConnectFailed;
            return self.schedule_call_end(courier, incarnation, message, serial, outcome, Duration::ZERO);
        }
        self.connections_opened += u64::from(is_new_connection);
        let at = self.draw_arrival_time();
        let process = self.couriers[courier].process(incarnation);
        let Some(call) = process.and_then(|process| process.calls.get_mut(&message)) else { return };
        call.is_written = true;
        let in_transit = CallInTransit {
            courier,
            incarnation,
            message,
            serial,
            address,
            wire_id: call.wire_id.clone(),
            idempotency_key: call.idempotency_key.clone(),
            first_byte_at: now,
            is_new_connection,
        };
        self.queue.push(at, ScheduledEvent::CallArrives(in_transit));
    }

    /// Ends a call with an outcome that its courier learns after a delay. The connection is not used again.
    fn schedule_call_end(
        &mut self,
        courier: usize,
        incarnation: u32,
        message: MessageId,
        serial: u64,
        outcome: Outcome,
        delay: Duration,
    ) {
        let now = self.now;
        let Some(process) = self.couriers[courier].process(incarnation) else { return };
        let Some(call) =
            process.calls.get_mut(&message).filter(|call| call.serial == serial && !call.has_ended)
        else {
            return;
        };
        call.has_ended = true;
        let result = call_result(outcome, delay, None);
        let event =
            ScheduledEvent::CallEnds { courier, incarnation, message, serial, result, is_reusable: false };
        self.queue.push(now + delay, event);
    }

    /// An endpoint receives the last byte of a call: the call is recorded, and the partner's model plans its outcome.
    pub(crate) fn receive_call(&mut self, call: CallInTransit) {
        let CallInTransit {
            courier,
            incarnation,
            message,
            serial,
            address,
            wire_id,
            idempotency_key,
            first_byte_at,
            is_new_connection,
        } = call;
        let Some((partner, endpoint_index)) = self.listening_endpoint(address) else {
            // The connection broke after a part of the call was written.
            let outcome = Outcome::Reset;
            return self.schedule_call_end(
                courier,
                incarnation,
                message,
                serial,
                outcome,
                RESET_NOTICE_DELAY,
            );
        };
        let now = self.now;
        self.calls_received += 1;
        let call = CallId(self.calls_received);
        let request = ids::parse_wire_id(&wire_id);
        let handed = request.and_then(|request| self.book.handed.get(&request));
        let origin = handed.map(|handed| handed.origin as u64);
        let intact = origin.is_some_and(|origin| {
            let class = &self.scenario.classes[self.book.origins[origin as usize].arrival.class];
            let expected = (class.effect == Effect::Keyed).then(|| ids::idempotency_key(origin));
            expected == idempotency_key
        });
        let endpoint = &self.endpoints[partner][endpoint_index];
        let (endpoint_id, model_index) = (endpoint.id, endpoint.model_index);
        self.record(Event::CallReceived {
            call,
            message: request.filter(|_| origin.is_some()),
            courier: CourierId(courier as u16),
            endpoint: endpoint_id,
            partner: Simulation::partner_id(partner),
            first_byte: first_byte_at,
            intact,
        });
        let planned_outcome = self.partners[partner].handle_call(model_index, now);
        let overhead = if is_new_connection { NEW_CONNECTION_OVERHEAD } else { Duration::ZERO };
        let outcome_at = match planned_outcome {
            CallOutcome::Success(at)
            | CallOutcome::Error(at)
            | CallOutcome::Reset(at)
            | CallOutcome::Malformed(at) => Some(at + overhead),
            CallOutcome::Rejected(_) => Some(now + overhead),
            CallOutcome::NoAnswer => None,
        };
        let endpoint_call =
            EndpointCall { courier, incarnation, message, serial, partner, endpoint_index, planned_outcome };
        self.endpoint_calls.insert(call, endpoint_call);
        if let Some(at) = outcome_at {
            self.queue.push(at, ScheduledEvent::EndpointOutcome(call));
        }
        let process = self.couriers[courier].process(incarnation);
        let courier_call =
            process.and_then(|process| process.calls.get_mut(&message)).filter(|call| call.serial == serial);
        match courier_call {
            Some(courier_call) if !courier_call.has_ended => courier_call.trace_id = Some(call),
            // The courier ended the call while it was in transit, or its process is gone.
            _ if serial != UNTRACKED_SERIAL => self.close_call(call),
            _ => {}
        }
    }

    /// An endpoint answers a call or resets its connection. A stalled endpoint does so once the stall is over.
    pub(crate) fn finish_at_endpoint(&mut self, call: CallId) {
        let now = self.now;
        let Some(endpoint_call) = self.endpoint_calls.get(&call) else { return };
        let (partner, endpoint_index) = (endpoint_call.partner, endpoint_call.endpoint_index);
        let model_index = self.endpoints[partner][endpoint_index].model_index;
        if let Some(until) = self.partners[partner].stalled_until(model_index).filter(|until| *until > now) {
            return self.queue.push(until, ScheduledEvent::EndpointOutcome(call));
        }
        let Some(endpoint_call) = self.endpoint_calls.remove(&call) else { return };
        let EndpointCall { courier, incarnation, message, serial, planned_outcome, .. } = endpoint_call;
        let reports_limit = self.scenario.partners[partner].reports;
        let limit_report = reports_limit.then(|| {
            let (remaining_share, limit) = self.partners[partner].limit_report(now);
            // The header X-Load-Report carries two decimal places of the share and one of the limit.
            LimitReport {
                remaining_share: (remaining_share * 100.0).round() / 100.0,
                limit: (limit * 10.0).round() / 10.0,
            }
        });
        let (answer, outcome, is_reusable) = match planned_outcome {
            CallOutcome::Success(_) => (Answer::Ok, Outcome::Ok, true),
            CallOutcome::Error(_) => (Answer::Error, Outcome::Error, true),
            CallOutcome::Rejected(retry_after) => {
                self.calls_rejected += 1;
                let retry_after_ms = retry_after.map(|wait| wait.as_micros().div_ceil(1000).max(1) as u64);
                let outcome = Outcome::Rejected(retry_after_ms.map(Duration::from_millis));
                (Answer::Rejected(retry_after_ms), outcome, true)
            }
            // A 200 in the status line means success, whatever is malformed after it.
            CallOutcome::Malformed(_) if call.0 % MALFORMED_ANSWER_KINDS == MALFORMED_AFTER_STATUS => {
                (Answer::Ok, Outcome::Ok, false)
            }
            CallOutcome::Malformed(_) => (Answer::Malformed, Outcome::Malformed, false),
            CallOutcome::Reset(_) | CallOutcome::NoAnswer => {
                return self.reset_call(call, courier, incarnation, message, serial);
            }
        };
        self.record(Event::CallAnswered { call, answer });
        let at = self.draw_arrival_time();
        let limit_report = limit_report.filter(|_| is_reusable);
        let result = call_result(outcome, Duration::ZERO, limit_report);
        let event = ScheduledEvent::CallEnds { courier, incarnation, message, serial, result, is_reusable };
        self.queue.push(at, event);
    }

    /// A partner resets the connection of a call.
    pub(crate) fn reset_call(
        &mut self,
        call: CallId,
        courier: usize,
        incarnation: u32,
        message: MessageId,
        serial: u64,
    ) {
        self.record(Event::CallAborted { call, closed_by: ClosedBy::Partner });
        let at = self.draw_arrival_time();
        let result = call_result(Outcome::Reset, Duration::ZERO, None);
        let event =
            ScheduledEvent::CallEnds { courier, incarnation, message, serial, result, is_reusable: false };
        self.queue.push(at, event);
    }

    /// An endpoint notices that a courier has closed the connection of a call.
    pub(crate) fn close_call(&mut self, call: CallId) {
        if self.endpoint_calls.remove(&call).is_some() {
            self.record(Event::CallAborted { call, closed_by: ClosedBy::Courier });
        }
    }

    /// The end of a call reaches its courier.
    pub(crate) fn end_call(
        &mut self,
        courier: usize,
        incarnation: u32,
        message: MessageId,
        serial: u64,
        result: CallResult,
        is_reusable: bool,
    ) {
        let now = self.now;
        let Some(process) = self.couriers[courier].process(incarnation) else { return };
        let Some(call) = process.calls.get(&message).filter(|call| call.serial == serial) else { return };
        // A complete answer, the only result with a reusable connection, is ignored if the courier has closed the connection
        // meanwhile (timeout, cancellation); the result for that is scheduled. Resets and malformed answers end the call.
        if call.has_ended && is_reusable {
            return;
        }
        let (endpoint, address) = (call.endpoint, call.address);
        process.calls.remove(&message);
        if is_reusable {
            process.release_connection(endpoint, address, now);
        }
        self.deliver_input(courier, incarnation, Input::CallEnded(message, endpoint, result));
    }

    /// The timeout of a call expires.
    pub(crate) fn time_out_call(
        &mut self,
        courier: usize,
        incarnation: u32,
        message: MessageId,
        serial: u64,
    ) {
        let Some(process) = self.couriers[courier].process(incarnation) else { return };
        let Some(call) = process.calls.get(&message).filter(|call| call.serial == serial && !call.has_ended)
        else {
            return;
        };
        let outcome = if call.is_written { Outcome::Timeout } else { Outcome::ConnectFailed };
        self.close_connection(courier, incarnation, message, outcome);
    }

    /// A courier closes the connection of a call. The call ends once the other side has closed it too, or at once if nothing
    /// was written.
    fn close_connection(&mut self, courier: usize, incarnation: u32, message: MessageId, outcome: Outcome) {
        let closed_at = self.draw_arrival_time();
        let confirmed_at = closed_at + (self.draw_arrival_time() - self.now);
        let round_trip = confirmed_at - self.now;
        let Some(process) = self.couriers[courier].process(incarnation) else { return };
        let Some(call) = process.calls.get(&message) else { return };
        let (serial, is_written) = (call.serial, call.is_written);
        if let Some(trace_id) = call.trace_id {
            self.queue.push(closed_at, ScheduledEvent::CallClosed(trace_id));
        }
        let delay = if is_written { round_trip } else { Duration::ZERO };
        self.schedule_call_end(courier, incarnation, message, serial, outcome, delay);
    }

    /// A courier's engine stops a call.
    pub(crate) fn stop_call(
        &mut self,
        courier: usize,
        incarnation: u32,
        message: MessageId,
        reason: StopReason,
    ) {
        let Some(process) = self.couriers[courier].process(incarnation) else { return };
        let Some(call) = process.calls.get(&message).filter(|call| !call.has_ended) else { return };
        let outcome = match (reason, call.is_written) {
            (StopReason::Withdrawn, true) => return,
            (StopReason::Withdrawn, false) => Outcome::NotSent,
            (StopReason::Cancelled, false) => Outcome::ConnectFailed,
            (StopReason::Cancelled, true) => Outcome::Cancelled,
        };
        self.close_connection(courier, incarnation, message, outcome);
    }
}
