//! What a courier keeps in mind: types and sums only. Every decision and tuned value is in `choice.rs`.

use crate::interface::*;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::time::Duration;

/// A message between its hand-in and its end (and the end of its last attempt).
#[derive(Serialize, Deserialize)]
pub struct Message {
    pub taken: Accepted,
    /// The how-manieth message that came.
    pub arrival: u64,
    pub born: Time,
    pub attempts: u32,
    /// The call that carries it now.
    pub out: Option<u64>,
    /// When the first attempt that may have run was sent, and where: it fixes window and group.
    pub maybe_ran: Option<(Time, Option<ZoneId>)>,
    pub not_before: Time,
    pub closed: bool,
    /// A final answer is under way; until it is heard the message keeps its key.
    pub unheard: bool,
    /// Beyond its tenant's share, and so worth little.
    pub over_share: bool,
}

impl Message {
    /// A message that came as the `arrival`th, is beyond its tenant's share or not, and may be sent from now on.
    pub fn new(now: Time, taken: Accepted, arrival: u64, born: Time, over_share: bool) -> Self {
        Message {
            taken,
            arrival,
            born,
            attempts: 0,
            out: None,
            maybe_ran: None,
            not_before: now,
            closed: false,
            unheard: false,
            over_share,
        }
    }
}

/// A call out: one slot, one fate, however many messages it carries.
#[derive(Serialize, Deserialize)]
pub struct Call {
    pub route: RouteId,
    pub to: EndpointId,
    pub zone: ZoneId,
    pub sent: Time,
    pub carried: Vec<MessageId>,
    pub unanswered: usize,
    /// How long the connection that it went out on had been idle; none on a new or busy one.
    pub idle: Option<Duration>,
    pub stalled: bool,
    pub called_off: bool,
}

/// What has one limit, pace and outage: a destination, or one endpoint of it where routes are apart.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RouteId(pub DestinationId, pub Option<EndpointId>);

/// What may be sent next: by which route to which endpoint, which message, at what value.
pub type Candidate = (RouteId, EndpointId, MessageId, f64);

#[derive(Serialize, Deserialize)]
pub struct Address {
    pub entry: Endpoint,
    pub calls_out: usize,
    /// Drawn once: orders endpoints that are else alike, for this courier only.
    pub preference: u32,
    pub failures: u32,
    pub avoid_until: Time,
    /// When a call last ended there with its connection left open.
    pub used: Option<Time>,
    /// An operator has taken it out.
    pub suspended: bool,
    /// When it was given back cold while others of its route served on.
    pub cold: Option<Time>,
}

impl Address {
    /// Whether it may be given new work.
    pub fn is_open(&self) -> bool {
        self.entry.mode == Mode::Ready && !self.suspended
    }
}

/// Running mean and mean deviation of latencies, in seconds.
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
pub struct Latency {
    pub mean: f64,
    pub deviation: f64,
    pub samples: u32,
}

impl Latency {
    pub fn learn(&mut self, sample: Duration, least_gain: f64) {
        let (sample, gain) = (sample.as_secs_f64(), least_gain.max(1.0 / f64::from(self.samples + 2)));
        self.deviation += gain * ((sample - self.mean).abs() - self.deviation);
        self.mean += gain * (sample - self.mean);
        self.samples += 1;
    }

    /// So many times the mean and the deviation together.
    pub fn times(&self, multiple: f64) -> f64 {
        (self.mean + self.deviation) * multiple
    }
}

/// A count of events that fades with time.
#[derive(Default, Serialize, Deserialize)]
pub struct Decaying {
    pub count: f64,
    pub at: Time,
}

impl Decaying {
    /// Events a second over about `span` seconds; `more` are added first.
    pub fn rate(&mut self, now: Time, span: f64, more: f64) -> f64 {
        self.count = self.count * (-(now - self.at).as_secs_f64() / span).exp() + more;
        self.at = now;
        self.count / span
    }
}

/// A time without any success on a route, from its last success on: silence alone, until a call fails.
#[derive(Default, Serialize, Deserialize)]
pub struct Spell {
    pub began: Time,
    pub next_trial: Time,
    /// When a message that may not be repeated may go as a trial, if nothing else waits.
    pub next_risk: Time,
    pub trials: u32,
    /// Some call failed or was refused; else it is silence alone.
    pub failed: bool,
    /// Calls were lost or are silent, not just refused.
    pub lost: bool,
    /// Trials are silent already: nothing is risked beside them.
    pub only_fit: bool,
    /// The last call was answered, if with an error: trials need no patience, only the fall budget.
    pub answers: bool,
}

/// Pace and health of a route: one mechanism for limits, outages and cold return.
#[derive(Default, Serialize, Deserialize)]
pub struct Route {
    /// Calls a second that it takes from all couriers together, as told last, and as the list has it.
    pub weight: f64,
    pub listed: f64,
    pub endpoints: Vec<EndpointId>,
    /// Messages that one call may carry.
    pub batch: usize,
    pub rate: f64,
    pub tokens: f64,
    pub filled: Time,
    pub bound: bool,
    pub last_cut: Time,
    /// Cuts since the last success.
    pub cuts: usize,
    /// Calls sent of late, and messages taken over about the time that a cold return lasts.
    pub sent: Decaying,
    pub demand: Decaying,
    /// Calls served over about the time that a cold return lasts.
    pub served: Decaying,
    /// Calls served a second, as of the last success and without it; held up through an outage and its return.
    pub share: f64,
    pub told_wait: Time,
    /// Share of the limit that is left, as last told, and when.
    pub left: f64,
    pub told_at: Time,
    pub latency: Latency,
    pub last_answer: Time,
    pub evidence: u32,
    /// A call was lost in silence since the last success.
    pub doubtful: bool,
    pub spell: Option<Spell>,
    /// Who tries it in a spell.
    pub trials: Trials,
    /// When the slow start began, if one is on.
    pub returned: Option<Time>,
    /// Calls out, the oldest first.
    pub out: BTreeSet<u64>,
}

impl Route {
    /// Whether this courier tries it for all others now.
    pub fn tries_for_all(&self, now: Time) -> bool {
        matches!(self.trials, Trials::Held(until) if now < until)
    }
}

/// Whether idle connections are being dropped unseen, so that the next call on one is lost. Courier-wide, as
/// one courier meets each partner too seldom to learn it there.
#[derive(Default, Serialize, Deserialize)]
pub struct Reaping {
    pub risk: f64,
    /// Risk of losing a call on a new connection: what is lost there is not for idleness.
    pub other: f64,
    /// Shortest idle time that lost a call.
    pub idle: Duration,
    pub next_check: Time,
}

/// Shortest aim of a class, in seconds.
pub fn shortest_aim(settings: &Settings) -> f64 {
    let aim = settings.classes.iter().map(|c| c.aim).min();
    aim.unwrap_or(Duration::from_secs(1)).as_secs_f64().max(0.001)
}

/// Shortest deadline of a class, in seconds.
pub fn shortest_deadline(settings: &Settings) -> f64 {
    let deadline = settings.classes.iter().map(|c| c.deadline).min();
    deadline.unwrap_or(Duration::from_secs(1)).as_secs_f64().max(1.0)
}

/// How long a cold return lasts, in seconds.
pub fn cold_s(settings: &Settings) -> f64 {
    settings.rules.cold.as_secs_f64().max(1.0)
}

/// Couriers that share the destinations: an even part is one over this.
pub fn couriers(settings: &Settings) -> f64 {
    f64::from(settings.couriers.max(1))
}

/// The routes of a destination.
pub fn routes_of(to: DestinationId) -> std::ops::RangeInclusive<RouteId> {
    RouteId(to, None)..=RouteId(to, Some(EndpointId(u32::MAX)))
}

/// Moves `next` up to an earlier time.
pub fn earliest(next: &mut Option<Time>, at: Option<Time>) {
    *next = [*next, at].into_iter().flatten().min();
}

/// A gap that doubles from try to try.
pub fn growing_gap(unit: Duration, first: f64, tries: u32) -> Duration {
    unit.mul_f64(first * f64::from(tries.min(16)).exp2())
}
