//! The model of a partner: what it takes, how long it works, what faults do to it, and how it returns from an outage.
//! It knows no socket and no clock.

use gullcart_judge::cold::Cold;
use gullcart_judge::trace::At;
use std::collections::VecDeque;
use std::time::Duration;

/// How many calls a partner takes from all couriers together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Limit {
    /// So many calls a second, evenly; a fifth of a second's calls may come at once.
    Rate(f64),
    /// So many calls in each span, which begin at the same time for all.
    PerWindow {
        /// Calls.
        calls: u32,
        /// Length of a span.
        window: Duration,
    },
}

impl Limit {
    /// In calls a second.
    pub fn per_second(self) -> f64 {
        match self {
            Limit::Rate(rate) => rate,
            Limit::PerWindow { calls, window } => f64::from(calls) / window.as_secs_f64(),
        }
    }
}

/// What a partner is like.
#[derive(Clone, Debug)]
pub struct PartnerSpec {
    /// What it allows.
    pub limit: Limit,
    /// What it can do over what it allows, 1 or more.
    pub capacity_factor: f64,
    /// Mean time for a call.
    pub mean_service_time: Duration,
    /// Calls that wait at an endpoint whose servers are all busy; more are turned away.
    pub queue_capacity: usize,
    /// Share of refusals that tell a wait.
    pub retry_after_share: f64,
    /// The wait that a refusal above a plain rate tells, at least.
    pub min_retry_after: Duration,
    /// Whether refused calls use up the limit too.
    pub rejected_calls_count: bool,
    /// Share of its capacity after an outage.
    pub cold_capacity_share: f64,
    /// Until it has all of it.
    pub warm_up: Duration,
    /// Pushed over by this multiple of what it can do, ...
    pub collapse_multiple: f64,
    /// ... for so long.
    pub collapse_window: Duration,
    /// Share of calls that end as errors.
    pub error_share: f64,
}

/// Something that is wrong with some or all endpoints of a partner, while it lasts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PartnerFault {
    /// Takes calls and answers none.
    Silent,
    /// Stands still: what is due is answered at its end.
    Stall,
    /// Everything takes so many times as long.
    Slow(f64),
    /// Refuses this share of the calls; with or without a told wait.
    Reject(f64, bool),
    /// Refuses all until it opens; with or without telling when.
    Closed(bool),
    /// Resets this share of the connections once a call was read.
    Reset(f64),
    /// Spoils this share of the answers.
    Malformed(f64),
    /// Writes the last delivery of a connection once more behind this share of the calls that come on it after that.
    DuplicateAnswers(f64),
    /// Refuses connections, and breaks those that there are.
    Down,
    /// Cut off: what is open says nothing, and new connections come up only when it is over.
    Unreachable,
}

/// A trouble in force.
#[derive(Clone, Copy, Debug)]
struct ActiveFault {
    id: u32,
    fault: PartnerFault,
    /// One endpoint, or all.
    endpoint: Option<usize>,
    until: At,
}

/// A second copy of an earlier answer, written while a call is out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DuplicateAnswer {
    /// How long behind the call.
    pub delay: Duration,
    /// Whether the call is turned away, and how long behind it; else it goes on as any other.
    pub rejected_after: Option<Duration>,
}

/// What becomes of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallOutcome {
    /// It is answered with 200 when it is done.
    Success(At),
    /// It runs and ends in an error.
    Error(At),
    /// It is turned away at once.
    Rejected(Option<Duration>),
    /// It is never answered.
    NoAnswer,
    /// Its connection is reset at that time.
    Reset(At),
    /// Its answer is damaged.
    Malformed(At),
}

struct Endpoint {
    /// When each server is free.
    servers: Vec<At>,
    /// When the calls that wait begin.
    waiting: VecDeque<At>,
}

/// A partner with its endpoints.
pub struct Partner {
    spec: PartnerSpec,
    endpoints: Vec<Endpoint>,
    servers_per_endpoint: usize,
    rng: fastrand::Rng,
    tokens: f64,
    refilled_at: At,
    window_index: u64,
    used_in_window: u32,
    faults: Vec<ActiveFault>,
    cold: Option<Cold>,
    collapsed: bool,
}

/// A second copy comes at once or so long behind the call, ...
const MAX_DUPLICATE_DELAY_MS: u64 = 40;
/// ... and the call is turned away so long behind the copy, where it is.
const REJECTION_DELAY: Duration = Duration::from_millis(80);

/// The part of a second's calls that a plain rate takes at once.
const BURST_SECONDS: f64 = 0.2;

impl Partner {
    /// A warm partner with some endpoints.
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
            refilled_at: At(0),
            window_index: 0,
            used_in_window: 0,
            faults: Vec::new(),
            cold: None,
            collapsed: false,
        };
        for _ in 0..endpoints {
            partner.add_endpoint();
        }
        partner
    }

    /// One more endpoint, as strong as the others; its place.
    pub fn add_endpoint(&mut self) -> usize {
        self.endpoints
            .push(Endpoint { servers: vec![At(0); self.servers_per_endpoint], waiting: VecDeque::new() });
        self.endpoints.len() - 1
    }

    /// What all endpoints that serve can do when warm, in calls a second.
    pub fn capacity(&self) -> f64 {
        self.spec.limit.per_second() * self.spec.capacity_factor
    }

    /// Its figures.
    pub fn spec(&self) -> &PartnerSpec {
        &self.spec
    }

    /// Whether it was pushed over.
    pub fn has_collapsed(&self) -> bool {
        self.collapsed
    }

    /// Whether connections to an endpoint are refused.
    pub fn is_down(&self, endpoint: usize) -> bool {
        self.active(endpoint).any(|active| active.fault == PartnerFault::Down)
    }

    /// Until when an endpoint is cut off; none if it is not.
    pub fn unreachable_until(&self, endpoint: usize) -> Option<At> {
        self.active(endpoint)
            .filter(|active| active.fault == PartnerFault::Unreachable)
            .map(|active| active.until)
            .max()
    }

    /// A trouble begins; `until` is when it is meant to end.
    pub fn begin_fault(&mut self, id: u32, fault: PartnerFault, endpoint: Option<usize>, until: At) {
        self.faults.push(ActiveFault { id, fault, endpoint, until });
    }

    /// All faults of that id end.
    pub fn end_fault(&mut self, id: u32) {
        self.faults.retain(|active| active.id != id);
    }

    /// It comes back from an outage, cold.
    pub fn begin_slow_start(&mut self, now: At) {
        let PartnerSpec { cold_capacity_share, warm_up, collapse_multiple, collapse_window, .. } = self.spec;
        self.cold = Some(Cold::new(
            now,
            now + warm_up,
            self.capacity(),
            cold_capacity_share,
            collapse_multiple,
            collapse_window,
        ));
        for endpoint in &mut self.endpoints {
            endpoint.waiting.clear();
            endpoint.servers.fill(now);
        }
    }

    /// Share of the capacity that is there now.
    pub fn capacity_share(&self, now: At) -> f64 {
        self.cold.as_ref().map_or(1.0, |cold| cold.share(now))
    }

    fn active(&self, endpoint: usize) -> impl Iterator<Item = &ActiveFault> {
        self.faults.iter().filter(move |active| active.endpoint.is_none_or(|at| at == endpoint))
    }

    /// Until when an endpoint stands still; none if it does not.
    pub fn stalled_until(&self, endpoint: usize) -> Option<At> {
        self.active(endpoint)
            .filter(|active| active.fault == PartnerFault::Stall)
            .map(|active| active.until)
            .max()
    }

    /// The second copy of an earlier answer that a call gets on a connection that has brought a delivery, if it gets one.
    pub fn duplicate_answer(&mut self, endpoint: usize) -> Option<DuplicateAnswer> {
        let share = self.active(endpoint).find_map(|active| match active.fault {
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

    /// A call's last byte has come. Troubles come first, then the limit, then the queue.
    pub fn handle_call(&mut self, endpoint: usize, now: At) -> CallOutcome {
        let collapsed_now = self.cold.as_mut().and_then(|cold| cold.call(now, false)).is_some();
        if self.cold.as_ref().is_some_and(|cold| cold.is_warm(now)) {
            self.cold = None;
        }
        self.collapsed |= collapsed_now;
        let faults: Vec<ActiveFault> = self.active(endpoint).copied().collect();
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
            // In the midst of the work: it may have run.
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

    /// The wait until there is room again, if the call is above the limit.
    fn above_limit(&mut self, now: At) -> Option<Duration> {
        match self.spec.limit {
            Limit::Rate(rate) => {
                let burst_size = (rate * BURST_SECONDS).max(1.0);
                self.tokens = (self.tokens + rate * (now - self.refilled_at).as_secs_f64()).min(burst_size);
                self.refilled_at = now;
                if self.tokens >= 1.0 {
                    self.tokens -= 1.0;
                    return None;
                }
                if self.spec.rejected_calls_count {
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
                Some(At((window_index + 1) * micros) - now)
            }
        }
    }

    /// When a call is done that begins as soon as a server is free; none where the queue is full.
    fn schedule(&mut self, index: usize, now: At, slowdown: f64) -> Option<At> {
        // Between half and twice the mean, most near it.
        let spread = 0.5 + self.rng.f64() * 0.5 + self.rng.f64() * self.rng.f64() * 1.0;
        let service_time =
            self.spec.mean_service_time.mul_f64(spread * slowdown / self.capacity_share(now).max(0.01));
        let queue = self.spec.queue_capacity;
        let endpoint = self.endpoints.get_mut(index)?;
        while endpoint.waiting.front().is_some_and(|begins| *begins <= now) {
            endpoint.waiting.pop_front();
        }
        let server = endpoint.servers.iter_mut().min()?;
        let begins = now.max(*server);
        if begins > now {
            if endpoint.waiting.len() >= queue {
                return None;
            }
            endpoint.waiting.push_back(begins);
        }
        *server = begins + service_time;
        Some(*server)
    }

    /// What an answer reports: the share of the limit that is left, and the limit in calls a second.
    pub fn limit_report(&mut self, now: At) -> (f64, f64) {
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
