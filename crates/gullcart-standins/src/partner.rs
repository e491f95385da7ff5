//! The model of a partner: its limit, its service times, its faults and its slow start after an outage. No I/O, no clock.

use gullcart_judge::slow_start::SlowStart;
use gullcart_judge::trace::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// How many calls a partner accepts from all couriers together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Limit {
    /// Calls a second, as a token bucket that holds the calls of a fifth of a second.
    Rate(f64),
    /// A number of calls in each window; windows begin at multiples of their length.
    PerWindow {
        /// Calls allowed in a window.
        calls: u32,
        /// Length of a window.
        window: Duration,
    },
}

impl Limit {
    /// The limit in calls a second.
    pub fn per_second(self) -> f64 {
        match self {
            Limit::Rate(rate) => rate,
            Limit::PerWindow { calls, window } => f64::from(calls) / window.as_secs_f64(),
        }
    }
}

/// Parameters of a partner.
#[derive(Clone, Debug)]
pub struct PartnerSpec {
    /// The calls that it accepts.
    pub limit: Limit,
    /// Capacity as a multiple of the limit, at least 1.
    pub capacity_factor: f64,
    /// Mean service time of a call.
    pub mean_service_time: Duration,
    /// Calls that may wait at an endpoint whose servers are all busy; further ones are rejected.
    pub queue_capacity: usize,
    /// Share of rejections that carry a retry-after.
    pub retry_after_share: f64,
    /// Minimum retry-after of rejections above a [`Limit::Rate`].
    pub min_retry_after: Duration,
    /// Whether rejected calls use up a [`Limit::Rate`] too. They never use up a [`Limit::PerWindow`].
    pub count_rejected_calls: bool,
    /// Share of the capacity that is available right after an outage, when the slow start begins.
    pub cold_capacity_share: f64,
    /// Length of the slow start, after which the full capacity is available.
    pub warm_up: Duration,
    /// During slow start, the partner collapses under a load of this multiple of its current capacity, if the load lasts for
    /// `collapse_window`.
    pub collapse_multiple: f64,
    /// How long the overload must last to make the partner collapse.
    pub collapse_window: Duration,
    /// Share of calls that end with an error.
    pub error_share: f64,
}

/// A fault of one or all endpoints of a partner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PartnerFault {
    /// Accepts connections and calls, and answers no call.
    Silent,
    /// The process is stalled: answers that are due are sent when the fault ends.
    Stall,
    /// Service times are multiplied by this factor.
    Slow(f64),
    /// Rejects this share of the calls, with a retry-after if the flag is set.
    Reject(f64, bool),
    /// Rejects all calls until the fault ends, with the remaining time as retry-after if the flag is set.
    Closed(bool),
    /// Resets the connection of this share of the calls while they are served.
    Reset(f64),
    /// Sends malformed responses to this share of the calls.
    Malformed(f64),
    /// Repeats the last successful answer of a connection during this share of the calls that follow on it.
    DuplicateAnswers(f64),
    /// Refuses new connections and resets open ones.
    Down,
    /// Open connections carry no answers, and new ones are established only once the fault is over.
    Unreachable,
}

/// A fault in force.
#[derive(Clone, Copy, Debug)]
struct ActiveFault {
    id: u32,
    fault: PartnerFault,
    /// The affected endpoint; `None` for all.
    endpoint: Option<usize>,
    until: Timestamp,
}

/// A duplicate of an earlier answer, sent while a later call on the connection is in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DuplicateAnswer {
    /// Delay after the arrival of the call.
    pub delay: Duration,
    /// Delay after which the call itself is rejected; `None` if it is served as any other.
    pub rejected_after: Option<Duration>,
}

/// The outcome of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallOutcome {
    /// It is answered with 200 at this time.
    Success(Timestamp),
    /// It runs and is answered with an error at this time.
    Error(Timestamp),
    /// It is rejected at once, with a retry-after if there is one.
    Rejected(Option<Duration>),
    /// It is never answered.
    NoAnswer,
    /// Its connection is reset at this time.
    Reset(Timestamp),
    /// It is answered with a malformed response at this time.
    Malformed(Timestamp),
}

/// The servers of an endpoint, which process one call each at a time, and its queue.
struct EndpointServers {
    /// When each server becomes free.
    server_free_at: Vec<Timestamp>,
    /// When the calls in the queue begin to be served.
    queued_start_at: VecDeque<Timestamp>,
}

/// The state of a partner and its endpoints.
pub struct Partner {
    spec: PartnerSpec,
    endpoints: Vec<EndpointServers>,
    servers_per_endpoint: usize,
    rng: fastrand::Rng,
    /// Tokens of [`Limit::Rate`] at `refilled_at`.
    tokens: f64,
    refilled_at: Timestamp,
    /// Current window of [`Limit::PerWindow`], and the calls in it.
    window_index: u64,
    used_in_window: u32,
    faults: Vec<ActiveFault>,
    /// The slow start after an outage, while it lasts.
    slow_start: Option<SlowStart>,
    collapsed: bool,
}

/// Upper bound of the random delay between a call and the duplicate answer, in milliseconds.
const MAX_DUPLICATE_DELAY_MS: u64 = 40;
/// Delay between a duplicate answer and the rejection of the call, if it is rejected.
const REJECTION_DELAY: Duration = Duration::from_millis(80);

/// Size of the token bucket of [`Limit::Rate`], in seconds of the rate.
const BURST_SECONDS: f64 = 0.2;

impl Partner {
    /// A partner at full capacity, with this number of endpoints.
    pub fn new(spec: PartnerSpec, endpoints: usize, seed: u64) -> Self {
        let needed = spec.limit.per_second() * spec.capacity_factor * spec.mean_service_time.as_secs_f64()
            / endpoints.max(1) as f64;
        let servers_per_endpoint = (needed.ceil() as usize).max(1);
        let mut partner = Partner {
            tokens: (spec.limit.per_second() * BURST_SECONDS).max(1.0),
            spec,
            endpoints: Vec::new(),
            servers_per_endpoint,
            rng: fastrand::Rng::with_seed(seed),
            refilled_at: Timestamp(0),
            window_index: 0,
            used_in_window: 0,
            faults: Vec::new(),
            slow_start: None,
            collapsed: false,
        };
        for _ in 0..endpoints {
            partner.add_endpoint();
        }
        partner
    }

    /// Adds an endpoint with as many servers as the others, and returns its index.
    pub fn add_endpoint(&mut self) -> usize {
        self.endpoints.push(EndpointServers {
            server_free_at: vec![Timestamp(0); self.servers_per_endpoint],
            queued_start_at: VecDeque::new(),
        });
        self.endpoints.len() - 1
    }

    /// Full capacity of all endpoints together, in calls a second.
    pub fn capacity(&self) -> f64 {
        self.spec.limit.per_second() * self.spec.capacity_factor
    }

    /// The parameters.
    pub fn spec(&self) -> &PartnerSpec {
        &self.spec
    }

    /// Whether it has collapsed under overload. It stays so for the rest of the run.
    pub fn has_collapsed(&self) -> bool {
        self.collapsed
    }

    /// Whether connections to an endpoint are refused.
    pub fn is_down(&self, endpoint: usize) -> bool {
        self.active_faults(endpoint).any(|active| active.fault == PartnerFault::Down)
    }

    /// When the endpoint becomes reachable again; `None` if it is reachable.
    pub fn unreachable_until(&self, endpoint: usize) -> Option<Timestamp> {
        self.active_faults(endpoint)
            .filter(|active| active.fault == PartnerFault::Unreachable)
            .map(|active| active.until)
            .max()
    }

    /// Begins a fault; `until` is its planned end.
    pub fn begin_fault(&mut self, id: u32, fault: PartnerFault, endpoint: Option<usize>, until: Timestamp) {
        self.faults.push(ActiveFault { id, fault, endpoint, until });
    }

    /// Ends all faults with this id.
    pub fn end_fault(&mut self, id: u32) {
        self.faults.retain(|active| active.id != id);
    }

    /// Begins the slow start after an outage, with empty queues.
    pub fn begin_slow_start(&mut self, now: Timestamp) {
        let PartnerSpec { cold_capacity_share, warm_up, collapse_multiple, collapse_window, .. } = self.spec;
        self.slow_start = Some(SlowStart::new(
            now,
            now + warm_up,
            self.capacity(),
            cold_capacity_share,
            collapse_multiple,
            collapse_window,
        ));
        for endpoint in &mut self.endpoints {
            endpoint.queued_start_at.clear();
            endpoint.server_free_at.fill(now);
        }
    }

    /// Share of the capacity that is available now.
    pub fn capacity_share(&self, now: Timestamp) -> f64 {
        self.slow_start.as_ref().map_or(1.0, |slow_start| slow_start.capacity_share(now))
    }

    /// The faults in force at an endpoint.
    fn active_faults(&self, endpoint: usize) -> impl Iterator<Item = &ActiveFault> {
        self.faults.iter().filter(move |active| active.endpoint.is_none_or(|affected| affected == endpoint))
    }

    /// Planned end of an endpoint's stall; `None` if it is not stalled.
    pub fn stalled_until(&self, endpoint: usize) -> Option<Timestamp> {
        self.active_faults(endpoint)
            .filter(|active| active.fault == PartnerFault::Stall)
            .map(|active| active.until)
            .max()
    }

    /// Draws whether a call that follows a successful one on its connection gets a duplicate of the earlier answer.
    pub fn duplicate_answer(&mut self, endpoint: usize) -> Option<DuplicateAnswer> {
        let share = self.active_faults(endpoint).find_map(|active| match active.fault {
            PartnerFault::DuplicateAnswers(share) => Some(share),
            _ => None,
        })?;
        if self.rng.f64() >= share {
            return None;
        }
        let is_at_once = self.rng.bool();
        let delay_ms = if is_at_once { 0 } else { self.rng.u64(..MAX_DUPLICATE_DELAY_MS) };
        let delay = Duration::from_millis(delay_ms);
        let rejected_after = self.rng.bool().then_some(delay + REJECTION_DELAY);
        Some(DuplicateAnswer { delay, rejected_after })
    }

    /// Decides the outcome of a call whose last byte has arrived. A collapsed partner never answers. Otherwise faults that reject
    /// calls come first, then the limit, then the queue; a call that passes all of them is served, and may then be reset,
    /// answered malformed or end with an error.
    pub fn handle_call(&mut self, endpoint: usize, now: Timestamp) -> CallOutcome {
        let collapsed_now =
            self.slow_start.as_mut().and_then(|slow_start| slow_start.record_call(now, false)).is_some();
        if self.slow_start.as_ref().is_some_and(|slow_start| slow_start.is_warm(now)) {
            self.slow_start = None;
        }
        self.collapsed |= collapsed_now;
        let faults: Vec<ActiveFault> = self.active_faults(endpoint).copied().collect();
        let is = |fault| faults.iter().any(|active| active.fault == fault);
        if self.collapsed || is(PartnerFault::Silent) || is(PartnerFault::Unreachable) {
            return CallOutcome::NoAnswer;
        }
        let mut slowdown = 1.0;
        let (mut reset, mut malformed) = (false, false);
        for active in &faults {
            match active.fault {
                PartnerFault::Closed(tells_retry_after) => {
                    return CallOutcome::Rejected(tells_retry_after.then(|| active.until - now))
                }
                PartnerFault::Reject(share, tells_retry_after) if self.rng.f64() < share => {
                    return CallOutcome::Rejected(tells_retry_after.then_some(self.spec.min_retry_after));
                }
                PartnerFault::Slow(times) => slowdown *= times,
                PartnerFault::Reset(share) => reset |= self.rng.f64() < share,
                PartnerFault::Malformed(share) => malformed |= self.rng.f64() < share,
                _ => {}
            }
        }
        if let Some(wait) = self.above_limit(now) {
            let tells_retry_after = self.rng.f64() < self.spec.retry_after_share;
            return CallOutcome::Rejected(tells_retry_after.then_some(wait));
        }
        let Some(done) = self.schedule(endpoint, now, slowdown) else { return CallOutcome::Rejected(None) };
        if reset {
            // Halfway through the service time: the outcome is ambiguous.
            return CallOutcome::Reset(now + (done - now) / 2);
        }
        if malformed {
            return CallOutcome::Malformed(done);
        }
        if self.rng.f64() < self.spec.error_share {
            return CallOutcome::Error(done);
        }
        CallOutcome::Success(done)
    }

    /// The retry-after of a call above the limit; `None` if the limit allows the call, which is then counted.
    fn above_limit(&mut self, now: Timestamp) -> Option<Duration> {
        match self.spec.limit {
            Limit::Rate(rate) => {
                let burst_size = (rate * BURST_SECONDS).max(1.0);
                self.tokens = (self.tokens + rate * (now - self.refilled_at).as_secs_f64()).min(burst_size);
                self.refilled_at = now;
                if self.tokens >= 1.0 {
                    self.tokens -= 1.0;
                    return None;
                }
                if self.spec.count_rejected_calls {
                    self.tokens = (self.tokens - 1.0).max(-burst_size);
                }
                let refill = Duration::from_secs_f64((1.0 - self.tokens) / rate.max(1e-3));
                Some(self.spec.min_retry_after.max(refill))
            }
            Limit::PerWindow { calls, window } => {
                let micros = (window.as_micros() as u64).max(1);
                let window_index = now.0 / micros;
                if window_index != self.window_index {
                    (self.window_index, self.used_in_window) = (window_index, 0);
                }
                if self.used_in_window < calls {
                    self.used_in_window += 1;
                    return None;
                }
                Some(Timestamp((window_index + 1) * micros) - now)
            }
        }
    }

    /// Assigns a call to the server that is free first, and returns when it is done; `None` if the queue is full.
    fn schedule(&mut self, index: usize, now: Timestamp, slowdown: f64) -> Option<Timestamp> {
        // 0.5 + U/2 + U*U for uniform U, drawn anew each time: from half of to twice the mean, with the expected value 1.
        let spread = 0.5 + self.rng.f64() * 0.5 + self.rng.f64() * self.rng.f64() * 1.0;
        let service_time =
            self.spec.mean_service_time.mul_f64(spread * slowdown / self.capacity_share(now).max(0.01));
        let queue = self.spec.queue_capacity;
        let endpoint = self.endpoints.get_mut(index)?;
        while endpoint.queued_start_at.front().is_some_and(|begins| *begins <= now) {
            endpoint.queued_start_at.pop_front();
        }
        let server = endpoint.server_free_at.iter_mut().min()?;
        let begins = now.max(*server);
        if begins > now {
            if endpoint.queued_start_at.len() >= queue {
                return None;
            }
            endpoint.queued_start_at.push_back(begins);
        }
        *server = begins + service_time;
        Some(*server)
    }

    /// The contents of a load report: the remaining share of the limit, and the limit in calls a second.
    pub fn limit_report(&mut self, now: Timestamp) -> (f64, f64) {
        let limit = self.spec.limit.per_second();
        let left = match self.spec.limit {
            Limit::Rate(rate) => {
                let burst_size = (rate * BURST_SECONDS).max(1.0);
                (self.tokens + rate * (now - self.refilled_at).as_secs_f64()).clamp(0.0, burst_size)
                    / burst_size
            }
            Limit::PerWindow { calls, window } => {
                let window_index = now.0 / (window.as_micros() as u64).max(1);
                let used = if window_index == self.window_index { self.used_in_window } else { 0 };
                1.0 - f64::from(used) / f64::from(calls.max(1))
            }
        };
        (left, limit)
    }
}

#[cfg(test)]
mod tests;
