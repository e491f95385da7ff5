//! The model of a partner: what it takes, how long it works, what faults do to it, and how it returns from an outage.
//! It knows no socket and no clock.

use gullcart_judge::slow_start::SlowStart;
use gullcart_judge::trace::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// How many calls a partner takes from all couriers together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Limit {
    /// So many calls a second, evenly; a fifth of a second's calls may come at once.
    Rate(f64),
    /// So many calls in each span, which begin at the same time for all.
    Count {
        /// Calls.
        calls: u32,
        /// Length of a span.
        span: Duration,
    },
}

impl Limit {
    /// In calls a second.
    pub fn per_second(self) -> f64 {
        match self {
            Limit::Rate(rate) => rate,
            Limit::Count { calls, span } => f64::from(calls) / span.as_secs_f64(),
        }
    }
}

/// What a partner is like.
#[derive(Clone, Debug)]
pub struct Spec {
    /// What it allows.
    pub limit: Limit,
    /// What it can do over what it allows, 1 or more.
    pub spare: f64,
    /// Mean time for a call.
    pub pace: Duration,
    /// Calls that wait at an endpoint whose servers are all busy; more are turned away.
    pub queue: usize,
    /// Share of refusals that tell a wait.
    pub tells_wait: f64,
    /// The wait that a refusal above a plain rate tells, at least.
    pub wait: Duration,
    /// Whether refused calls use up the limit too.
    pub refused_count: bool,
    /// Share of its capacity after an outage.
    pub cold_from: f64,
    /// Until it has all of it.
    pub cold: Duration,
    /// Pushed over by this multiple of what it can do, ...
    pub fall_multiple: f64,
    /// ... for so long.
    pub fall_window: Duration,
    /// Share of calls that end as errors.
    pub errors: f64,
}

/// Something that is wrong with some or all endpoints of a partner, while it lasts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    /// Takes calls and answers none.
    Silent,
    /// Stands still: what is due is answered at its end.
    Stall,
    /// Everything takes so many times as long.
    Slow(f64),
    /// Refuses this share of the calls; with or without a told wait.
    Refuse(f64, bool),
    /// Refuses all until it opens; with or without telling when.
    Shut(bool),
    /// Resets this share of the connections once a call was read.
    Reset(f64),
    /// Spoils this share of the answers.
    Spoil(f64),
    /// Writes the last delivery of a connection once more behind this share of the calls that come on it after that.
    Copies(f64),
    /// Refuses connections, and breaks those that there are.
    Down,
    /// Cut off: what is open says nothing, and new connections come up only when it is over.
    Cut,
}

/// A trouble in force.
#[derive(Clone, Copy, Debug)]
struct Active {
    id: u32,
    what: Trouble,
    /// One endpoint, or all.
    endpoint: Option<usize>,
    until: Timestamp,
}

/// A second copy of an earlier answer, written while a call is out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SecondCopy {
    /// How long behind the call.
    pub after: Duration,
    /// Whether the call is turned away, and how long behind it; else it goes on as any other.
    pub refused_after: Option<Duration>,
}

/// What becomes of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fate {
    /// It is answered with 200 when it is done.
    Done(Timestamp),
    /// It runs and ends in an error.
    Error(Timestamp),
    /// It is turned away at once.
    Refused(Option<Duration>),
    /// It is never answered.
    Silent,
    /// Its connection is reset at that time.
    Reset(Timestamp),
    /// Its answer is damaged.
    Spoilt(Timestamp),
}

struct Endpoint {
    /// When each server is free.
    servers: Vec<Timestamp>,
    /// When the calls that wait begin.
    waiting: VecDeque<Timestamp>,
}

/// A partner with its endpoints.
pub struct Partner {
    spec: Spec,
    endpoints: Vec<Endpoint>,
    servers: usize,
    rng: fastrand::Rng,
    tokens: f64,
    filled: Timestamp,
    span: u64,
    used: u32,
    troubles: Vec<Active>,
    cold: Option<SlowStart>,
    fallen: bool,
}

/// A second copy comes at once or so long behind the call, ...
const LONGEST_COPY_DELAY_MS: u64 = 40;
/// ... and the call is turned away so long behind the copy, where it is.
const REFUSAL_BEHIND_COPY: Duration = Duration::from_millis(80);

/// The part of a second's calls that a plain rate takes at once.
const BURST_S: f64 = 0.2;

impl Partner {
    /// A warm partner with some endpoints.
    pub fn new(spec: Spec, endpoints: usize, seed: u64) -> Self {
        let needed = spec.limit.per_second() * spec.spare * spec.pace.as_secs_f64() / endpoints.max(1) as f64;
        let servers = (needed.ceil() as usize).max(1);
        let mut partner = Partner {
            tokens: (spec.limit.per_second() * BURST_S).max(1.0),
            spec,
            endpoints: Vec::new(),
            servers,
            rng: fastrand::Rng::with_seed(seed),
            filled: Timestamp(0),
            span: 0,
            used: 0,
            troubles: Vec::new(),
            cold: None,
            fallen: false,
        };
        for _ in 0..endpoints {
            partner.add_endpoint();
        }
        partner
    }

    /// One more endpoint, as strong as the others; its place.
    pub fn add_endpoint(&mut self) -> usize {
        self.endpoints.push(Endpoint { servers: vec![Timestamp(0); self.servers], waiting: VecDeque::new() });
        self.endpoints.len() - 1
    }

    /// What all endpoints that serve can do when warm, in calls a second.
    pub fn capacity(&self) -> f64 {
        self.spec.limit.per_second() * self.spec.spare
    }

    /// Its figures.
    pub fn spec(&self) -> &Spec {
        &self.spec
    }

    /// Whether it was pushed over.
    pub fn is_fallen(&self) -> bool {
        self.fallen
    }

    /// Whether connections to an endpoint are refused.
    pub fn is_down(&self, endpoint: usize) -> bool {
        self.active(endpoint).any(|active| active.what == Trouble::Down)
    }

    /// Until when an endpoint is cut off; none if it is not.
    pub fn cut_until(&self, endpoint: usize) -> Option<Timestamp> {
        self.active(endpoint).filter(|active| active.what == Trouble::Cut).map(|active| active.until).max()
    }

    /// A trouble begins; `until` is when it is meant to end.
    pub fn begin(&mut self, id: u32, what: Trouble, endpoint: Option<usize>, until: Timestamp) {
        self.troubles.push(Active { id, what, endpoint, until });
    }

    /// All troubles of that id end.
    pub fn end(&mut self, id: u32) {
        self.troubles.retain(|active| active.id != id);
    }

    /// It comes back from an outage, cold.
    pub fn come_back(&mut self, now: Timestamp) {
        let Spec { cold_from, cold, fall_multiple, fall_window, .. } = self.spec;
        self.cold =
            Some(SlowStart::new(now, now + cold, self.capacity(), cold_from, fall_multiple, fall_window));
        for endpoint in &mut self.endpoints {
            endpoint.waiting.clear();
            endpoint.servers.fill(now);
        }
    }

    /// Share of the capacity that is there now.
    pub fn share(&self, now: Timestamp) -> f64 {
        self.cold.as_ref().map_or(1.0, |cold| cold.capacity_share(now))
    }

    fn active(&self, endpoint: usize) -> impl Iterator<Item = &Active> {
        self.troubles.iter().filter(move |active| active.endpoint.is_none_or(|at| at == endpoint))
    }

    /// Until when an endpoint stands still; none if it does not.
    pub fn stalled(&self, endpoint: usize) -> Option<Timestamp> {
        self.active(endpoint).filter(|active| active.what == Trouble::Stall).map(|active| active.until).max()
    }

    /// The second copy of an earlier answer that a call gets on a connection that has brought a delivery, if it gets one.
    pub fn second_copy(&mut self, endpoint: usize) -> Option<SecondCopy> {
        let share = self.active(endpoint).find_map(|active| match active.what {
            Trouble::Copies(share) => Some(share),
            _ => None,
        })?;
        if self.rng.f64() >= share {
            return None;
        }
        let is_at_once = self.rng.bool();
        let delay_ms = if is_at_once { 0 } else { self.rng.u64(..LONGEST_COPY_DELAY_MS) };
        let after = Duration::from_millis(delay_ms);
        let refused_after = self.rng.bool().then_some(after + REFUSAL_BEHIND_COPY);
        Some(SecondCopy { after, refused_after })
    }

    /// A call's last byte has come. Troubles come first, then the limit, then the queue.
    pub fn call(&mut self, endpoint: usize, now: Timestamp) -> Fate {
        let fallen_now = self.cold.as_mut().and_then(|cold| cold.record_call(now, false)).is_some();
        if self.cold.as_ref().is_some_and(|cold| cold.is_warm(now)) {
            self.cold = None;
        }
        self.fallen |= fallen_now;
        let troubles: Vec<Active> = self.active(endpoint).copied().collect();
        let is = |what| troubles.iter().any(|active| active.what == what);
        if self.fallen || is(Trouble::Silent) || is(Trouble::Cut) {
            return Fate::Silent;
        }
        let mut slow = 1.0;
        let (mut reset, mut spoil) = (false, false);
        for active in &troubles {
            match active.what {
                Trouble::Shut(tells) => return Fate::Refused(tells.then(|| active.until - now)),
                Trouble::Refuse(share, tells) if self.rng.f64() < share => {
                    return Fate::Refused(tells.then_some(self.spec.wait));
                }
                Trouble::Slow(times) => slow *= times,
                Trouble::Reset(share) => reset |= self.rng.f64() < share,
                Trouble::Spoil(share) => spoil |= self.rng.f64() < share,
                _ => {}
            }
        }
        if let Some(wait) = self.above_limit(now) {
            let tells = self.rng.f64() < self.spec.tells_wait;
            return Fate::Refused(tells.then_some(wait));
        }
        let Some(done) = self.work(endpoint, now, slow) else { return Fate::Refused(None) };
        if reset {
            // In the midst of the work: it may have run.
            return Fate::Reset(now + (done - now) / 2);
        }
        if spoil {
            return Fate::Spoilt(done);
        }
        if self.rng.f64() < self.spec.errors {
            return Fate::Error(done);
        }
        Fate::Done(done)
    }

    /// The wait until there is room again, if the call is above the limit.
    fn above_limit(&mut self, now: Timestamp) -> Option<Duration> {
        match self.spec.limit {
            Limit::Rate(rate) => {
                let most = (rate * BURST_S).max(1.0);
                self.tokens = (self.tokens + rate * (now - self.filled).as_secs_f64()).min(most);
                self.filled = now;
                if self.tokens >= 1.0 {
                    self.tokens -= 1.0;
                    return None;
                }
                if self.spec.refused_count {
                    self.tokens = (self.tokens - 1.0).max(-most);
                }
                let room = Duration::from_secs_f64((1.0 - self.tokens) / rate.max(1e-3));
                Some(self.spec.wait.max(room))
            }
            Limit::Count { calls, span } => {
                let micros = (span.as_micros() as u64).max(1);
                let number = now.0 / micros;
                if number != self.span {
                    (self.span, self.used) = (number, 0);
                }
                if self.used < calls {
                    self.used += 1;
                    return None;
                }
                Some(Timestamp((number + 1) * micros) - now)
            }
        }
    }

    /// When a call is done that begins as soon as a server is free; none where the queue is full.
    fn work(&mut self, place: usize, now: Timestamp, slow: f64) -> Option<Timestamp> {
        // Between half and twice the mean, most near it.
        let spread = 0.5 + self.rng.f64() * 0.5 + self.rng.f64() * self.rng.f64() * 1.0;
        let span = self.spec.pace.mul_f64(spread * slow / self.share(now).max(0.01));
        let queue = self.spec.queue;
        let endpoint = self.endpoints.get_mut(place)?;
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
        *server = begins + span;
        Some(*server)
    }

    /// What an answer reports: the share of the limit that is left, and the limit in calls a second.
    pub fn report(&mut self, now: Timestamp) -> (f64, f64) {
        let limit = self.spec.limit.per_second();
        let left = match self.spec.limit {
            Limit::Rate(rate) => {
                let most = (rate * BURST_S).max(1.0);
                (self.tokens + rate * (now - self.filled).as_secs_f64()).clamp(0.0, most) / most
            }
            Limit::Count { calls, span } => {
                let number = now.0 / (span.as_micros() as u64).max(1);
                let used = if number == self.span { self.used } else { 0 };
                1.0 - f64::from(used) / f64::from(calls.max(1))
            }
        };
        (left, limit)
    }
}

#[cfg(test)]
mod tests;
