//! State of a courier and arithmetic on it. Decisions and tuned constants are in `choice.rs`.

use crate::due::DueDestinations;
use crate::interface::*;
use crate::queues::Queues;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The state machine of one courier: [`Courier::handle`] records events, [`Courier::decide`] returns actions.
#[derive(Default, Serialize, Deserialize)]
pub struct Courier {
    #[serde(skip)]
    pub(crate) settings: Settings,
    #[serde(skip)]
    pub(crate) rng: fastrand::Rng,
    pub(crate) endpoints: BTreeMap<EndpointId, EndpointState>,
    pub(crate) routes: BTreeMap<RouteId, Route>,
    /// Index of the open messages by destination. Rebuilt from `messages` after a hand-over.
    #[serde(skip)]
    pub(crate) queues: Queues,
    #[serde(skip)]
    pub(crate) due: DueDestinations,
    pub(crate) messages: BTreeMap<MessageId, Message>,
    /// Number of messages accepted so far.
    pub(crate) accepted_count: u64,
    /// Unused messages of each tenant's quota, and when that was computed.
    pub(crate) quotas: BTreeMap<TenantId, (f64, Time)>,
    /// Number of messages without a final answer.
    pub(crate) open_messages: usize,
    /// When open messages have to be checked for their final answer: at the deadline, its extension by the answer slack,
    /// or the end of the repeat window. A message may have several entries.
    pub(crate) deadlines: BTreeSet<(Time, MessageId)>,
    /// Messages of each order key, by their ordinal; the first one may be sent.
    pub(crate) key_queues: BTreeMap<OrderKey, BTreeSet<(u64, MessageId)>>,
    /// Order keys that are blocked after an attempt that may still be running.
    pub(crate) keys_blocked_until: BTreeMap<OrderKey, Time>,
    /// Calls in flight.
    pub(crate) calls: BTreeMap<u64, Call>,
    pub(crate) last_call_id: u64,
    /// Latency over all destinations; initial estimate for destinations that were never called.
    pub(crate) overall_latency: LatencyEstimate,
    pub(crate) idle_drops: IdleDropEstimate,
    /// All order keys are blocked until this time after a restart: any of them may have had a call in flight.
    pub(crate) all_keys_blocked_until: Time,
    /// When this courier shuts down, if known.
    pub(crate) shutdown_at: Option<Time>,
    /// Expiry and token of the outstanding timer.
    pub(crate) timer: Option<(Time, u64)>,
    pub(crate) last_timer_token: u64,
    /// Actions that the next `decide` returns.
    #[serde(skip)]
    pub(crate) actions: Vec<Action>,
}

impl Courier {
    pub(crate) fn free_slots(&self) -> usize {
        self.settings.call_slots.saturating_sub(self.calls.len())
    }

    /// The route that an endpoint belongs to.
    pub(crate) fn route_of(&self, entry: &Endpoint) -> RouteId {
        let separate = self.settings.kinds.get(usize::from(entry.kind.0)).is_some_and(|k| k.own_limits);
        RouteId(entry.destination, separate.then_some(entry.id))
    }

    /// The limit of an endpoint's route as given by the listing, in calls a second.
    pub(crate) fn listed_limit(&self, entry: &Endpoint) -> f64 {
        match self.settings.weight_source {
            WeightSource::Unspecified => self.settings.call_slots as f64,
            WeightSource::Approximate | WeightSource::Nominal => entry.weight.max(0.1),
        }
    }
}

/// An accepted message, kept until it is final and its last attempt has ended.
#[derive(Serialize, Deserialize)]
pub struct Message {
    pub accepted: Accepted,
    /// Position in the order of acceptance.
    pub ordinal: u64,
    /// When the client enqueued it, perhaps at another courier.
    pub enqueued_at: Time,
    pub attempts: u32,
    /// The call that carries it.
    pub in_flight_call: Option<u64>,
    /// Send time and zone of the first attempt that may have run: the repeat window and the dedup scope start there.
    pub may_have_run: Option<(Time, Option<ZoneId>)>,
    /// End of the backoff after the last attempt.
    pub not_before: Time,
    /// It has its final answer or was withdrawn.
    pub closed: bool,
    /// Its final answer is not acknowledged yet; until then it keeps its order key.
    pub unacknowledged: bool,
    /// Above its tenant's quota.
    pub over_quota: bool,
}

impl Message {
    /// A message without attempts that may be sent from `now` on.
    pub fn new(now: Time, accepted: Accepted, ordinal: u64, enqueued_at: Time, over_quota: bool) -> Self {
        Message {
            accepted,
            ordinal,
            enqueued_at,
            attempts: 0,
            in_flight_call: None,
            may_have_run: None,
            not_before: now,
            closed: false,
            unacknowledged: false,
            over_quota,
        }
    }
}

/// A call in flight. It occupies one slot however many messages it carries; all of them share its fate.
#[derive(Serialize, Deserialize)]
pub struct Call {
    pub route: RouteId,
    pub endpoint: EndpointId,
    pub zone: ZoneId,
    pub sent_at: Time,
    pub messages: Vec<MessageId>,
    /// Number of its messages without an outcome.
    pub pending_outcomes: usize,
    /// How long its connection had been idle before; `None` if the connection is new or shared.
    pub connection_idle: Option<Duration>,
    /// Unanswered for longer than the stall timeout.
    pub stalled: bool,
    pub cancelled: bool,
}

impl Call {
    /// A call sent now.
    pub fn new(
        now: Time,
        route: RouteId,
        endpoint: EndpointId,
        zone: ZoneId,
        messages: Vec<MessageId>,
        connection_idle: Option<Duration>,
    ) -> Self {
        Call {
            route,
            endpoint,
            zone,
            sent_at: now,
            pending_outcomes: messages.len(),
            messages,
            connection_idle,
            stalled: false,
            cancelled: false,
        }
    }
}

/// A route has one rate limit, call rate and outage state: a destination, or one endpoint of it where
/// [`Kind::own_limits`] is set.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RouteId(pub DestinationId, pub Option<EndpointId>);

/// The best message of a destination that may be sent now.
pub struct Candidate {
    pub route: RouteId,
    pub endpoint: EndpointId,
    pub message: MessageId,
    /// Worth per second that its call occupies a slot.
    pub value: f64,
}

/// A destination that may be called now.
pub struct ReadyDestination {
    pub destination: DestinationId,
    /// Calls in flight to it, without stalled ones.
    pub live_calls: usize,
    /// Value of its candidate.
    pub value: f64,
}

/// A listed endpoint and what was observed of it.
#[derive(Serialize, Deserialize)]
pub struct EndpointState {
    pub entry: Endpoint,
    pub calls_in_flight: usize,
    /// Random tie breaker between equally good endpoints; differs from courier to courier.
    pub preference: u32,
    /// Failures since the last success.
    pub failures: u32,
    pub avoid_until: Time,
    /// When a call last ended with its connection left open.
    pub last_used: Option<Time>,
    /// Suspended by an operator.
    pub suspended: bool,
    /// When it was reinstated, while it warms up.
    pub cold_since: Option<Time>,
}

impl EndpointState {
    /// An endpoint that was never called.
    pub fn new(entry: Endpoint, preference: u32) -> Self {
        EndpointState {
            entry,
            calls_in_flight: 0,
            preference,
            failures: 0,
            avoid_until: Time::ZERO,
            last_used: None,
            suspended: false,
            cold_since: None,
        }
    }

    /// Whether new calls are allowed.
    pub fn allows_calls(&self) -> bool {
        self.entry.mode == Mode::Ready && !self.suspended
    }
}

/// Exponential moving averages of latency and its deviation, in seconds.
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
pub struct LatencyEstimate {
    pub mean: f64,
    pub deviation: f64,
    pub samples: u32,
}

impl LatencyEstimate {
    /// Adds a sample. Its weight is at least `min_gain`; the first samples weigh more.
    pub fn add_sample(&mut self, sample: Duration, min_gain: f64) {
        let (sample, gain) = (sample.as_secs_f64(), min_gain.max(1.0 / f64::from(self.samples + 2)));
        self.deviation += gain * ((sample - self.mean).abs() - self.deviation);
        self.mean += gain * (sample - self.mean);
        self.samples += 1;
    }

    /// Sum of mean and deviation, times `multiple`, in seconds.
    pub fn scaled(&self, multiple: f64) -> f64 {
        (self.mean + self.deviation) * multiple
    }
}

/// An exponentially decaying count of events.
#[derive(Default, Serialize, Deserialize)]
pub struct DecayingCounter {
    pub count: f64,
    pub updated_at: Time,
}

impl DecayingCounter {
    /// Adds `more` events and returns the rate per second over roughly the last `span` seconds.
    pub fn add_and_rate(&mut self, now: Time, span: f64, more: f64) -> f64 {
        self.count = self.count * (-(now - self.updated_at).as_secs_f64() / span).exp() + more;
        self.updated_at = now;
        self.count / span
    }

    /// The rate per second over roughly the last `span` seconds.
    pub fn rate(&mut self, now: Time, span: f64) -> f64 {
        self.add_and_rate(now, span, 0.0)
    }
}

/// State of a route during a suspected or confirmed outage.
#[derive(Default, Serialize, Deserialize)]
pub struct OutageState {
    /// Time of the last success, or send time of the oldest unanswered call if that is earlier.
    pub began: Time,
    pub next_trial: Time,
    /// When an unrepeatable message may next be sent as a trial call, if no repeatable one waits. Zero, which sets no limit
    /// besides `next_trial`, while the outage is only suspected.
    pub next_unrepeatable_trial: Time,
    /// Number of trial calls made.
    pub trials: u32,
    /// Calls failed or were rejected; otherwise the outage is suspected from missing answers alone.
    pub confirmed: bool,
    /// Calls were lost or are unanswered, not just rejected.
    pub calls_lost: bool,
    /// Trial calls are already unanswered: no unrepeatable message is risked.
    pub repeatable_only: bool,
    /// The last call failed quickly: trial calls need no growing gaps, only the collapse budget limits them.
    pub fails_fast: bool,
}

/// Rate limit and health of a route. One mechanism covers rate limits, outages and slow starts.
#[derive(Default, Serialize, Deserialize)]
pub struct Route {
    /// Calls a second that it accepts from all couriers together, as last advertised.
    pub limit: f64,
    /// The same, as given by the listing.
    pub listed_limit: f64,
    pub endpoints: Vec<EndpointId>,
    /// Maximum number of messages in one call.
    pub max_batch: usize,
    /// Calls a second that this courier allows itself.
    pub rate: f64,
    /// Token bucket of `rate`; may be negative.
    pub tokens: f64,
    /// When tokens were last added.
    pub refilled_at: Time,
    /// The token bucket was empty when it was last checked: the rate limits the calls.
    pub rate_bound: bool,
    pub last_rate_cut: Time,
    /// Rate cuts since the last success.
    pub rate_cuts: usize,
    /// Calls sent over about the last second.
    pub sent_calls: DecayingCounter,
    /// Messages accepted over about the length of a warm-up.
    pub demand: DecayingCounter,
    /// Calls served over about the length of a warm-up.
    pub served_calls: DecayingCounter,
    /// Calls served per second, as of the last success and without it. Does not fall during an outage and slow start.
    pub served_rate: f64,
    pub retry_after_until: Time,
    /// Unused share of the limit, as last advertised.
    pub remaining_share: f64,
    pub limit_reported_at: Time,
    pub latency: LatencyEstimate,
    pub last_success: Time,
    /// Weighted count of failures since the last success.
    pub outage_evidence: u32,
    /// A call went unanswered since the last success.
    pub unanswered_call: bool,
    pub outage: Option<OutageState>,
    /// Which courier makes the trial calls in an outage.
    pub trial_owner: TrialOwner,
    /// When the slow start began, while one is in progress.
    pub slow_start_since: Option<Time>,
    /// Calls in flight, the oldest first.
    pub calls_in_flight: BTreeSet<u64>,
}

impl Route {
    /// A route that was never called, with one token.
    pub fn new(now: Time, limit: f64, rate: f64, remaining_share: f64, latency: LatencyEstimate) -> Self {
        Route {
            limit,
            listed_limit: limit,
            rate,
            tokens: 1.0,
            refilled_at: now,
            remaining_share,
            limit_reported_at: now,
            latency,
            last_success: now,
            ..Route::default()
        }
    }

    /// Changes the limit and scales the rate with it.
    pub fn set_limit(&mut self, limit: f64) {
        self.rate *= limit / self.limit.max(0.1);
        self.limit = limit;
    }

    /// Whether it has anything to record in an [`OutageRecord`].
    pub fn has_outage_record(&self) -> bool {
        self.outage_evidence > 0 || self.outage.is_some() || self.slow_start_since.is_some()
    }

    /// Whether this courier makes the trial calls on behalf of all couriers.
    pub fn owns_trials(&self, now: Time) -> bool {
        matches!(self.trial_owner, TrialOwner::ThisCourier(until) if now < until)
    }
}

/// Estimates whether idle connections are dropped without notice, so that the next call on one is lost. Kept per
/// courier, since a single courier calls each partner too rarely to learn it there.
#[derive(Default, Serialize, Deserialize)]
pub struct IdleDropEstimate {
    /// Risk of losing a call on an idle connection.
    pub risk: f64,
    /// Risk of losing a call on a new connection, which has other causes.
    pub baseline_risk: f64,
    /// Shortest idle time after which a call was lost.
    pub shortest_lost_idle: Duration,
    /// When an idle connection may be tried again.
    pub next_check: Time,
}

/// Shortest aim of all classes, in seconds.
pub fn shortest_aim_seconds(settings: &Settings) -> f64 {
    let aim = settings.classes.iter().map(|c| c.aim).min();
    aim.unwrap_or(Duration::from_secs(1)).as_secs_f64().max(0.001)
}

/// Shortest deadline of all classes, in seconds.
pub fn shortest_deadline_seconds(settings: &Settings) -> f64 {
    let deadline = settings.classes.iter().map(|c| c.deadline).min();
    deadline.unwrap_or(Duration::from_secs(1)).as_secs_f64().max(1.0)
}

/// Time that a returning destination takes to warm up, in seconds.
pub fn warm_up_seconds(settings: &Settings) -> f64 {
    settings.rules.warm_up.as_secs_f64().max(1.0)
}

/// Number of couriers that share the destinations: a fair share is one over this.
pub fn courier_count(settings: &Settings) -> f64 {
    f64::from(settings.couriers.max(1))
}

/// Range of the ids of a destination's routes.
pub fn routes_of(destination: DestinationId) -> std::ops::RangeInclusive<RouteId> {
    RouteId(destination, None)..=RouteId(destination, Some(EndpointId(u32::MAX)))
}

/// Replaces `next` by `at` if that is earlier.
pub fn keep_earliest(next: &mut Option<Time>, at: Option<Time>) {
    *next = [*next, at].into_iter().flatten().min();
}

/// Exponential backoff: `first` times `unit`, doubled with each try.
pub fn exponential_backoff(unit: Duration, first: f64, tries: u32) -> Duration {
    unit.mul_f64(first * f64::from(tries.min(16)).exp2())
}
