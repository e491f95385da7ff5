//! Public types: settings, the events that a [`Courier`](crate::Courier) handles and the actions that it returns. Every
//! decision is in `choice.rs`.

use serde::{Deserialize, Serialize};
use std::ops::{Add, Sub};
use std::time::Duration;

/// A point in time on the caller's monotonic clock, in nanoseconds since an arbitrary start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Time(pub u64);

impl Time {
    /// Start of the clock.
    pub const ZERO: Time = Time(0);
}

impl Add<Duration> for Time {
    type Output = Time;
    /// Saturates at the end of the clock.
    fn add(self, span: Duration) -> Time {
        Time(self.0.saturating_add(u64::try_from(span.as_nanos()).unwrap_or(u64::MAX)))
    }
}

impl Sub for Time {
    type Output = Duration;
    /// Time since `earlier`; zero if that is in the future.
    fn sub(self, earlier: Time) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }
}

impl Sub<Duration> for Time {
    type Output = Time;
    /// Saturates at zero.
    fn sub(self, span: Duration) -> Time {
        Time(self.0.saturating_sub(u64::try_from(span.as_nanos()).unwrap_or(u64::MAX)))
    }
}

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $name(pub $inner);
    )*};
}

ids! {
    /// Identifies a message. Unique per courier; also sent with each call as the idempotency key.
    MessageId(u32);
    /// Identifies an endpoint of a destination.
    EndpointId(u32);
    /// Identifies a destination: the partner system that a message is delivered to.
    DestinationId(u32);
    /// Index into [`Settings::classes`].
    ClassId(u8);
    /// Index into [`Settings::tenants`].
    TenantId(u32);
    /// Index into [`Settings::kinds`].
    KindId(u16);
    /// Identifies a zone (location).
    ZoneId(u8);
    /// Order key: messages of an ordered class that share a key are delivered one at a time, in order.
    OrderKey(u64);
}

impl ZoneId {
    /// Shared by all zones for which no number is left: two endpoints with this id may be in different zones.
    pub const UNNUMBERED: ZoneId = ZoneId(u8::MAX);

    /// The zone, or `None` for [`ZoneId::UNNUMBERED`].
    pub fn known(self) -> Option<ZoneId> {
        (self != ZoneId::UNNUMBERED).then_some(self)
    }
}

/// What happens when a message is delivered more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Repeated deliveries do no harm.
    Safe,
    /// Endpoints drop repeats with the same idempotency key, within [`Class::dedup_scope`] and
    /// [`Class::repeat_window`].
    Keyed,
    /// Each delivery takes effect again.
    Unsafe,
}

/// Which endpoints of a destination share their record of idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All endpoints of the destination.
    All,
    /// The endpoints of one zone. Repeats must go to the zone of the first attempt.
    Zone,
}

/// How the worth of a message decreases after its aim.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Decay {
    /// Linearly, down to [`Class::late_share`] at the deadline.
    #[default]
    Linear,
    /// Halves with each further aim, but not below [`Class::late_share`].
    Halving,
}

/// Delivery requirements of a class of messages.
#[derive(Clone, Debug)]
pub struct Class {
    /// Target time: a message delivered within this time after it was enqueued earns its full worth.
    pub aim: Duration,
    /// A message may be delivered until this long after it was enqueued.
    pub deadline: Duration,
    /// What repeated deliveries do.
    pub effect: Effect,
    /// Keyed classes: which endpoints drop repeats.
    pub dedup_scope: DedupScope,
    /// Keyed classes: how long endpoints drop repeats, from the send time of the first attempt that may have run.
    pub repeat_window: Duration,
    /// Messages with the same order key are delivered one at a time, in the order in which they were accepted.
    pub in_order: bool,
    /// Worth of a message delivered within its aim.
    pub worth: f64,
    /// Lowest share of the worth that a late delivery earns; see [`Decay`].
    pub late_share: f64,
}

impl Default for Class {
    fn default() -> Self {
        Class {
            aim: Duration::from_secs(3),
            deadline: Duration::from_secs(20),
            effect: Effect::Keyed,
            dedup_scope: DedupScope::All,
            repeat_window: Duration::from_secs(10),
            in_order: false,
            worth: 1.0,
            late_share: 0.5,
        }
    }
}

/// A client organization with a quota.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Messages a second over all couriers. Messages above the quota count [`Settings::over_quota_worth`].
    pub quota: f64,
}

/// A kind of destination.
#[derive(Clone, Debug)]
pub struct Kind {
    /// Maximum number of messages in one call.
    pub max_batch: usize,
    /// Each endpoint of a destination is a route of its own, with its own rate limit and outages.
    pub own_limits: bool,
}

/// What the weight of a listed endpoint means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightSource {
    /// Weights carry no information.
    Unspecified,
    /// Calls a second that the destination accepts from all couriers together.
    Nominal,
    /// As [`WeightSource::Nominal`], but up to half too high or too low.
    Approximate,
}

/// Parameters of the rules that couriers and partners agree on.
#[derive(Clone, Debug)]
pub struct Rules {
    /// A final answer still counts when it is given this long after the deadline.
    pub answer_slack: Duration,
    /// Share of its capacity that a destination has at least when it returns from an outage.
    pub cold_capacity_share: f64,
    /// Time after which a returning destination has its full capacity again.
    pub warm_up: Duration,
    /// A destination that warms up collapses when it is sent more than this multiple of its current capacity for
    /// [`Rules::collapse_window`].
    pub collapse_multiple: f64,
    /// See [`Rules::collapse_multiple`].
    pub collapse_window: Duration,
    /// How long an order key stays blocked after an attempt that may still be running.
    pub order_settle: Duration,
    /// Time within which a courier must stop sending to an endpoint that drains or was removed. Not used by
    /// [`Courier`](crate::Courier), which stops at once.
    pub drain_grace: Duration,
}

/// Settings of a courier.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of couriers that share the destinations, this one included.
    pub couriers: u32,
    /// Zone of this courier, if known. Calls to other zones cost more.
    pub zone: Option<ZoneId>,
    /// Message classes, indexed by [`ClassId`].
    pub classes: Vec<Class>,
    /// How worth decreases after the aim, in all classes.
    pub decay: Decay,
    /// Tenants, indexed by [`TenantId`]; may be empty.
    pub tenants: Vec<Tenant>,
    /// Kinds of destination, indexed by [`KindId`].
    pub kinds: Vec<Kind>,
    /// What endpoint weights mean.
    pub weight_source: WeightSource,
    /// Maximum number of calls in flight.
    pub call_slots: usize,
    /// Maximum number of open messages. Callers reject further ones before they reach the courier.
    pub max_held: usize,
    /// Maximum number of attempts for one message.
    pub max_attempts: u32,
    /// [`Action::CancelAttempt`] is permitted.
    pub cancel: bool,
    /// Two attempts of one message may be in flight at once. Not used by [`Courier`](crate::Courier), which never does so.
    pub second_copies: bool,
    /// Final answers have to be acknowledged: a message keeps its order key until
    /// [`Event::AnswerAcknowledged`].
    pub acknowledged_answers: bool,
    /// Longest pause of the process that may lie between reading the clock and acting on it.
    pub max_pause: Duration,
    /// Worth of a message above its tenant's quota, as a share of the worth of its class.
    pub over_quota_worth: f64,
    /// A connection attempt that takes longer has failed.
    pub connect_timeout: Duration,
    /// Connections are closed when they have been idle for this long.
    pub connection_idle_timeout: Duration,
    /// Parameters of the rules.
    pub rules: Rules,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            couriers: 2,
            zone: None,
            classes: vec![Class::default()],
            decay: Decay::Linear,
            tenants: Vec::new(),
            kinds: vec![Kind { max_batch: 1, own_limits: false }],
            weight_source: WeightSource::Nominal,
            call_slots: 16,
            max_held: 400,
            max_attempts: 8,
            cancel: true,
            second_copies: false,
            acknowledged_answers: false,
            max_pause: Duration::ZERO,
            over_quota_worth: 1.0,
            connect_timeout: Duration::from_secs(1),
            connection_idle_timeout: Duration::from_secs(15),
            rules: Rules {
                answer_slack: Duration::from_millis(20),
                cold_capacity_share: 0.2,
                warm_up: Duration::from_secs(10),
                collapse_multiple: 2.0,
                collapse_window: Duration::from_secs(2),
                order_settle: Duration::ZERO,
                drain_grace: Duration::from_secs(2),
            },
        }
    }
}

/// Whether service discovery allows new calls to an endpoint. Independent of its health.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Mode {
    /// May be called.
    Ready,
    /// Gets no new calls; calls in flight may complete.
    Draining,
    /// Removed from the listing.
    Gone,
}

/// An endpoint as listed by service discovery.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Endpoint {
    /// Id of the endpoint.
    pub id: EndpointId,
    /// Zone that it runs in.
    pub zone: ZoneId,
    /// Kind of its destination.
    pub kind: KindId,
    /// Destination that it belongs to.
    pub destination: DestinationId,
    /// Whether it may be called.
    pub mode: Mode,
    /// See [`WeightSource`].
    pub weight: f64,
}

/// An update from service discovery.
#[derive(Clone, Debug)]
pub enum Listing {
    /// Changed entries only.
    Changes(Vec<Endpoint>),
    /// The complete listing; endpoints that it does not contain are gone.
    Whole(Vec<Endpoint>),
    /// The listing could not be fetched; the previous one stays valid.
    Failed,
}

/// An accepted message. The courier must give it exactly one final answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Accepted {
    /// Id of the message; never reused.
    pub id: MessageId,
    /// Class of the message.
    pub class: ClassId,
    /// Destination to deliver it to.
    pub destination: DestinationId,
    /// Order key, if any.
    pub key: Option<OrderKey>,
    /// When the message expires.
    pub deadline: Time,
    /// A courier that died held the message before: a keyed message may have run there.
    pub from_dead_courier: bool,
    /// Tenant that sent it.
    pub tenant: TenantId,
}

/// A message that this courier accepted before its restart.
#[derive(Clone, Debug)]
pub struct Restored {
    /// The message as it was accepted.
    pub accepted: Accepted,
    /// Number of attempts made so far.
    pub attempts: u32,
    /// Send time of the first attempt that may have run, and its zone if known.
    pub may_have_run: Option<(Time, Option<ZoneId>)>,
    /// The final answer was given but not acknowledged: the message keeps its order key until then.
    pub answered: bool,
}

/// What a courier keeps of an outage over a restart, so that the limits on calls to a returning destination still
/// take it into account.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OutageRecord {
    /// The affected destination.
    pub destination: DestinationId,
    /// The affected endpoint, where endpoints are separate routes.
    pub endpoint: Option<EndpointId>,
    /// Time of the last success before the outage.
    pub since: Time,
    /// Accumulated evidence of failure.
    pub evidence: u32,
    /// Whether calls were lost, not just rejected; `None` while the route is not considered to be in an outage.
    pub calls_lost: Option<bool>,
    /// When the slow start after the outage began.
    pub slow_start_since: Option<Time>,
    /// Calls served per second before the outage.
    pub served_rate: f64,
}

/// Which courier makes the trial calls to a destination in an outage, where couriers coordinate them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum TrialOwner {
    /// Not coordinated: each courier makes its own.
    #[default]
    EachCourier,
    /// This courier makes them on behalf of all couriers until the given time.
    ThisCourier(Time),
    /// Another courier makes them and reports the results. This courier makes none until the given time.
    OtherCourier(Time),
}

/// What another courier learnt about a destination in an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerReport {
    /// The destination served a call at this time.
    Served(Time),
    /// The destination asked not to be called before this time.
    RetryAfter(Time),
}

/// What a courier knows about the outage of a destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutageView {
    /// Begin of the outage if failed calls have confirmed it.
    pub confirmed_since: Option<Time>,
    /// There are open messages for the destination.
    pub has_messages: bool,
    /// When the destination last served a call, as far as known.
    pub last_success: Time,
    /// The destination asked not to be called before this time.
    pub retry_after_until: Time,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Delivered.
    Ok,
    /// Answered with an error; may have run.
    Error,
    /// Rejected without being run: rate limit exceeded, queue full, closed or draining. With the retry-after time,
    /// if one was given.
    Rejected(Option<Duration>),
    /// No answer in time; may have run or may still be running.
    Timeout,
    /// No connection; did not run.
    ConnectFailed,
    /// The connection broke; may have run.
    Reset,
    /// The answer was malformed; may have run.
    Malformed,
    /// Cancelled by the courier; may have run.
    Cancelled,
    /// Not sent: no free slot, or the message is already final.
    NotSent,
    /// Not sent: the message has had all its attempts.
    AttemptsExhausted,
}

/// Rate limit that a destination advertises with an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitReport {
    /// Share of the limit that is currently unused.
    pub remaining_share: f64,
    /// The limit in calls a second over all couriers; zero if there is none.
    pub limit: f64,
}

/// The end of an attempt. Reported exactly once per routed attempt.
#[derive(Clone, Debug)]
pub struct Finished {
    /// The message.
    pub message: MessageId,
    /// The endpoint that was called.
    pub endpoint: EndpointId,
    /// Index of the attempt among those of the message, from 0.
    pub attempt: u16,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub latency: Duration,
    /// The attempt ended the message: the courier must not give it a final answer any more.
    pub complete: bool,
    /// Advertised rate limit, if any.
    pub limit_report: Option<LimitReport>,
}

/// An input to [`Courier::handle`](crate::Courier::handle).
#[derive(Clone, Debug)]
pub enum Event {
    /// Service discovery sent an update.
    Listed(Listing),
    /// An operator suspended an endpoint: it gets no new calls, whatever the listing says, until it is reinstated.
    Suspended(EndpointId),
    /// An operator reinstated a suspended endpoint. It has most likely been restarted and is cold.
    Reinstated(EndpointId),
    /// A message was accepted.
    Accept(Accepted),
    /// A message accepted before a restart. Sent in the order of acceptance, before all other messages.
    Restored(Restored),
    /// An outage recorded before a restart. Sent after the listing.
    OutageRestored(OutageRecord),
    /// Assigns the trial calls to a destination in an outage. Applies only to destinations that are a single route.
    TrialOwnerChanged(DestinationId, TrialOwner),
    /// The courier that owns the trial calls reports a result.
    PeerReported(DestinationId, PeerReport),
    /// The final answer of a message was acknowledged (see [`Settings::acknowledged_answers`]).
    AnswerAcknowledged(MessageId),
    /// The courier shuts down at this time: no call is started that is expected to outlast it.
    ShutdownAt(Time),
    /// An attempt ended.
    Finished(Finished),
    /// The client withdrew the message; no final answer is needed.
    ClientGone(MessageId),
    /// A timer set by [`Action::SetTimer`] expired; carries its token.
    TimerExpired(u64),
    /// The answer of a streamed message has begun; the attempt now belongs to the client. Ignored.
    FirstByte(MessageId),
    /// Result of a probe. Ignored.
    Probed {
        /// The probed endpoint.
        endpoint: EndpointId,
        /// How the probe ended.
        outcome: Outcome,
        /// Time since it was sent.
        latency: Duration,
    },
    /// A note from another courier. Ignored.
    Note {
        /// Number of that courier.
        from: u32,
        /// Content of the note.
        text: Vec<u8>,
    },
}

/// An output of [`Courier::decide`](crate::Courier::decide), to be carried out in the given order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message to an endpoint. Routes to the same endpoint from one `decide` share a call, up to
    /// [`Kind::max_batch`].
    Route {
        /// The message.
        message: MessageId,
        /// The endpoint to call.
        endpoint: EndpointId,
        /// Timeout of the attempt.
        timeout: Duration,
        /// The attempt must not be sent after this time, even if its connection is established late, because
        /// endpoints may no longer recognize it as a repeat. `None` if no such limit applies.
        send_by: Option<Time>,
    },
    /// Final answer: the message is returned and did not run; the client may safely enqueue it again.
    Return {
        /// The message.
        message: MessageId,
        /// Suggested delay before the client retries.
        retry_after: Duration,
    },
    /// Final answer: the message is abandoned; whether it took effect is not stated.
    ReportFailure {
        /// The message.
        message: MessageId,
    },
    /// Stop waiting for an attempt.
    CancelAttempt {
        /// The message.
        message: MessageId,
        /// Index of the attempt, from 0.
        attempt: u16,
    },
    /// Request an [`Event::TimerExpired`].
    SetTimer {
        /// Delay from now.
        after: Duration,
        /// Token of the event.
        token: u64,
    },
    /// Close the idle connections to an endpoint.
    CloseIdle {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Probe an endpoint. It counts as a call there. Never returned at present.
    Probe {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Send a note of at most 256 bytes to one or all couriers. Never returned at present.
    SendNote {
        /// Number of the receiving courier; `None` for all.
        to: Option<u16>,
        /// Content of the note.
        text: Vec<u8>,
    },
    /// Write a line to the operators' log. Never returned at present.
    Log {
        /// The line.
        text: String,
    },
    /// Subscribe to changes of the listing, or end the subscription. Never returned at present.
    SubscribeListing {
        /// Whether to subscribe.
        active: bool,
    },
    /// Request the complete listing once. Never returned at present.
    RefreshListing,
}
