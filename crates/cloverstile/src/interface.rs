//! What a courier is told and what it may answer. Types only; every decision is in `choice.rs`.

use serde::{Deserialize, Serialize};
use std::ops::{Add, Sub};
use std::time::Duration;

/// A moment on the caller's clock, in nanoseconds from any fixed start. Never goes backwards.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Time(pub u64);

impl Time {
    /// The clock's own zero.
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
    /// A message, unique for the life of a courier. It is also the idempotency key that travels with a call.
    MessageId(u32);
    /// One address of a destination.
    EndpointId(u32);
    /// A partner's system; a message names the one that it is for.
    DestinationId(u32);
    /// Index into [`Settings::classes`].
    ClassId(u8);
    /// Index into [`Settings::tenants`].
    TenantId(u32);
    /// Index into [`Settings::kinds`].
    KindId(u16);
    /// A location.
    ZoneId(u8);
    /// What messages of an ordered class are about; those with one key go in turn.
    OrderKey(u64);
}

impl ZoneId {
    /// Stands for all zones beyond those that can be numbered: two of them need not be the same.
    pub const BEYOND: ZoneId = ZoneId(u8::MAX);

    /// Which zone it is; none where that cannot be told.
    pub fn known(self) -> Option<ZoneId> {
        (self != ZoneId::BEYOND).then_some(self)
    }
}

/// What a repeat of a message does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// A repeat does no harm.
    Safe,
    /// A repeat under the same key is dropped, inside a group of endpoints and for a time.
    Keyed,
    /// A repeat takes effect again.
    Unsafe,
}

/// Which endpoints of a destination drop repeats of one key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// All of them.
    All,
    /// Those of the zone that was called first.
    Zone,
}

/// How the worth of a message falls once its aim has passed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Decay {
    /// Evenly, down to [`Class::late_share`] at the deadline.
    #[default]
    Line,
    /// By half with each further aim, but not under [`Class::late_share`].
    Halves,
}

/// A class of message.
#[derive(Clone, Debug)]
pub struct Class {
    /// Delivered within this time after the hand-in, it earns its full worth.
    pub aim: Duration,
    /// How long after the hand-in it may be delivered at all.
    pub deadline: Duration,
    /// What a repeat does.
    pub effect: Effect,
    /// Keyed classes: who drops repeats.
    pub group: Group,
    /// Keyed classes: for how long from the sending of the first attempt that may have run.
    pub repeat_window: Duration,
    /// Messages with one key go one at a time, in the order taken.
    pub in_order: bool,
    /// Worth of a message delivered on time.
    pub worth: f64,
    /// Share of the worth that is left at the deadline; see [`Decay`].
    pub late_share: f64,
}

impl Default for Class {
    fn default() -> Self {
        Class {
            aim: Duration::from_secs(3),
            deadline: Duration::from_secs(20),
            effect: Effect::Keyed,
            group: Group::All,
            repeat_window: Duration::from_secs(10),
            in_order: false,
            worth: 1.0,
            late_share: 0.5,
        }
    }
}

/// A client with a share of the service.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Messages a second over all couriers inside its share; what is beyond is worth little.
    pub quota: f64,
}

/// A kind of destination.
#[derive(Clone, Debug)]
pub struct Kind {
    /// Messages that one call may carry.
    pub batch: usize,
    /// The endpoints of a destination are separate routes, each with its own limit, pace and outages.
    pub own_limits: bool,
}

/// What an endpoint's weight means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightSource {
    /// Nothing.
    Silent,
    /// Calls a second that the destination takes from all couriers together.
    Nominal,
    /// The same, up to half too high or too low.
    Rough,
}

/// The figures of the rules.
#[derive(Clone, Debug)]
pub struct Rules {
    /// A final answer still counts this long after the deadline.
    pub answer_slack: Duration,
    /// A destination back from an outage can do at least this share of its capacity.
    pub cold_from: f64,
    /// It is warm after this at the latest.
    pub cold: Duration,
    /// Sent more than this multiple of what it can do just now ...
    pub tip_multiple: f64,
    /// ... for this long, a cold destination falls over.
    pub fall: Duration,
    /// A key rests this long after an attempt that may still be running.
    pub order_settle: Duration,
    /// Nothing new goes to an endpoint this long after it was told to drain or to be gone.
    pub drain_grace: Duration,
}

/// What a courier is handed at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Couriers that share the destinations, this one included.
    pub couriers: u32,
    /// Where this courier stands; calls to another location cost more. Absent where nothing is told of it.
    pub zone: Option<ZoneId>,
    /// Classes of message.
    pub classes: Vec<Class>,
    /// How worth falls after the aim, in all classes.
    pub decay: Decay,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Kinds of destination.
    pub kinds: Vec<Kind>,
    /// What weights mean.
    pub weights: WeightSource,
    /// Calls that may be out at once.
    pub call_slots: usize,
    /// Messages that may be held; further ones are turned away before the courier.
    pub most_held: usize,
    /// Most attempts for one message.
    pub send_cap: u32,
    /// [`Action::StopAttempt`] is permitted.
    pub cancel: bool,
    /// A message may have two attempts out at once.
    pub second_copies: bool,
    /// A final answer is over, and frees its key, only when [`Event::Heard`] says that it has arrived.
    pub answers_take_time: bool,
    /// How long a courier may stand still between reading its clock and what it then does.
    pub held_up: Duration,
    /// Worth of a message beyond its tenant's share, as a part of its class's worth.
    pub over_share_worth: f64,
    /// A connection that takes longer has failed.
    pub connect_timeout: Duration,
    /// An idle connection is closed after this.
    pub conn_idle: Duration,
    /// The figures of the rules.
    pub rules: Rules,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            couriers: 2,
            zone: None,
            classes: vec![Class::default()],
            decay: Decay::Line,
            tenants: Vec::new(),
            kinds: vec![Kind { batch: 1, own_limits: false }],
            weights: WeightSource::Nominal,
            call_slots: 16,
            most_held: 400,
            send_cap: 8,
            cancel: true,
            second_copies: false,
            answers_take_time: false,
            held_up: Duration::ZERO,
            over_share_worth: 1.0,
            connect_timeout: Duration::from_secs(1),
            conn_idle: Duration::from_secs(15),
            rules: Rules {
                answer_slack: Duration::from_millis(20),
                cold_from: 0.2,
                cold: Duration::from_secs(10),
                tip_multiple: 2.0,
                fall: Duration::from_secs(2),
                order_settle: Duration::ZERO,
                drain_grace: Duration::from_secs(2),
            },
        }
    }
}

/// Whether an endpoint may be given new work. It says nothing of health.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Mode {
    /// Listed.
    Ready,
    /// To be sent nothing new.
    Draining,
    /// Removed.
    Gone,
}

/// An entry of the list of endpoints.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Endpoint {
    /// Its id.
    pub id: EndpointId,
    /// Where it stands.
    pub zone: ZoneId,
    /// What kind of destination it belongs to.
    pub kind: KindId,
    /// The destination that it belongs to.
    pub destination: DestinationId,
    /// Whether it may be given new work.
    pub mode: Mode,
    /// See [`WeightSource`].
    pub weight: f64,
}

/// News of the list of endpoints.
#[derive(Clone, Debug)]
pub enum Listing {
    /// Altered entries only.
    Changes(Vec<Endpoint>),
    /// The whole list; what it does not name is gone.
    Whole(Vec<Endpoint>),
    /// The list could not be had; the prior one remains valid.
    Failed,
}

/// A message that the courier now owes one final answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Accepted {
    /// Its id, which never comes twice.
    pub id: MessageId,
    /// Its class.
    pub class: ClassId,
    /// Where it must go.
    pub destination: DestinationId,
    /// Its key, if it has one.
    pub key: Option<OrderKey>,
    /// When it is given up.
    pub deadline: Time,
    /// A courier that died held it before; a keyed one may have run there.
    pub from_dead_courier: bool,
    /// Whose it is.
    pub tenant: TenantId,
}

/// A message that this courier took before it was started again.
#[derive(Clone, Debug)]
pub struct Restored {
    /// The message as it was taken.
    pub taken: Accepted,
    /// Attempts made for it.
    pub attempts: u32,
    /// When the first attempt that may have run was sent, and to which zone, if that is known.
    pub maybe_ran: Option<(Time, Option<ZoneId>)>,
    /// Its final answer was given, but not yet heard: it keeps its key until then.
    pub answered: bool,
}

/// What a courier saw of an outage, for its next start: the rule on returning destinations still counts it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outage {
    /// Where.
    pub destination: DestinationId,
    /// One endpoint of it, where its endpoints are separate routes.
    pub endpoint: Option<EndpointId>,
    /// The last success before it.
    pub since: Time,
    /// Weight of the failures seen.
    pub evidence: u32,
    /// Calls were lost there, not just refused; none while it is not held to be out.
    pub lost: Option<bool>,
    /// When its slow return began.
    pub returned: Option<Time>,
    /// Calls a second that were served there before.
    pub share: f64,
}

/// Who tries a destination in an outage, where couriers agree on that.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Trials {
    /// Each courier for itself.
    #[default]
    Own,
    /// This one for all, until then.
    Held(Time),
    /// Another one for all, which tells what it learns. Until then this one does not.
    Elsewhere(Time),
}

/// What another courier learnt of a destination in an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum News {
    /// It served a call then.
    Served(Time),
    /// It said to wait until then.
    Wait(Time),
}

/// How a courier stands with a destination that it held to be out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outing {
    /// Since when it is held to be out, by calls that failed; none where it is not.
    pub since: Option<Time>,
    /// There are messages to try it with.
    pub waiting: bool,
    /// When it last served a call, as far as is known.
    pub last_answer: Time,
    /// Until when it said to wait.
    pub told_wait: Time,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Delivered.
    Ok,
    /// Answered with an error; may have run.
    Error,
    /// Turned away unseen: above the limit, queue full, shut or draining. Told to wait for this long, if at all.
    Full(Option<Duration>),
    /// No answer in time; may have run, or may still run.
    Timeout,
    /// No connection; never ran.
    ConnectFailed,
    /// The connection broke; may have run.
    Reset,
    /// Answered with what cannot be read; may have run.
    Spoilt,
    /// Called off by the courier; may have run.
    Cancelled,
    /// Not sent at all (no free slot, message over).
    Moot,
    /// Not sent: the message has had all its attempts.
    Spent,
}

/// What a destination told of its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Share of the limit that is left just now.
    pub left: f64,
    /// The limit in calls a second over all couriers; zero where there is none.
    pub limit: f64,
}

/// The end of one attempt. Each routed attempt has exactly one.
#[derive(Clone, Debug)]
pub struct Finished {
    /// The message.
    pub message: MessageId,
    /// Where the attempt went.
    pub endpoint: EndpointId,
    /// The how-manieth attempt of the message, from 0.
    pub attempt: u16,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub latency: Duration,
    /// The message is over; if not, its final answer is still owed.
    pub complete: bool,
    /// What was told of the limit.
    pub allowance: Option<Allowance>,
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the list.
    Listed(Listing),
    /// An operator has taken an endpoint out: it gets nothing new, whatever the list says, until it is reinstated.
    Suspended(EndpointId),
    /// An endpoint that an operator had taken out may serve again. It was most likely restarted meanwhile.
    Reinstated(EndpointId),
    /// A message was taken.
    Accept(Accepted),
    /// A message taken before a restart. They come in the order in which they were taken, before all others.
    Restored(Restored),
    /// An outage seen before a restart; comes after the list.
    Recalled(Outage),
    /// Who tries a destination in an outage from now on. It holds for destinations that are one route.
    Trials(DestinationId, Trials),
    /// Another courier, which tries for all, learnt something.
    Learnt(DestinationId, News),
    /// The final answer of a message has arrived (see [`Settings::answers_take_time`]).
    Heard(MessageId),
    /// The courier ends at this time: no call is begun that would not be over by then.
    Closing(Time),
    /// An attempt ended.
    Finished(Finished),
    /// Nobody wants this message any more; no answer is owed.
    ClientGone(MessageId),
    /// A timer asked for by [`Action::Wake`] has come due.
    TickDue(u64),
    /// The answer of a streamed message has begun; the attempt now belongs to the client.
    FirstByte(MessageId),
    /// A probe's result.
    Probed {
        /// Which endpoint.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        latency: Duration,
    },
    /// A note of another courier.
    Note {
        /// Its number.
        from: u32,
        /// What it says.
        text: Vec<u8>,
    },
}

/// Something to do, in the order given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Call this endpoint with this message. Routes of one `decide` to one endpoint share a call as far as
    /// [`Kind::batch`] allows.
    Route {
        /// The message.
        message: MessageId,
        /// Where to.
        endpoint: EndpointId,
        /// The attempt's time-out.
        try_for: Duration,
        /// A repeat takes effect again when it is sent later than this, however late its connection came up: then
        /// it must not go at all. None where nothing of the kind binds.
        send_by: Option<Time>,
    },
    /// Final answer: handed back; the client may safely hand it in again.
    Busy {
        /// The message.
        message: MessageId,
        /// After how long the client does well to come again.
        after: Duration,
    },
    /// Final answer: given up; the client is not told whether it took effect.
    ReportFailure {
        /// The message.
        message: MessageId,
    },
    /// Stop waiting for an attempt.
    StopAttempt {
        /// The message.
        message: MessageId,
        /// Which attempt, from 0.
        attempt: u16,
    },
    /// Ask for a [`Event::TickDue`] with this token after this time.
    Wake {
        /// How long from now.
        after: Duration,
        /// Comes back with the event.
        token: u64,
    },
    /// Close the idle connections to an endpoint.
    CloseIdle {
        /// Which endpoint.
        endpoint: EndpointId,
    },
    /// Probe an endpoint. It counts as a call there.
    Probe {
        /// Which endpoint.
        endpoint: EndpointId,
    },
    /// Send a note of at most 256 bytes to one courier, or to all.
    Tell {
        /// A courier's number; all of them where absent.
        to: Option<u16>,
        /// What it says.
        text: Vec<u8>,
    },
    /// A line for the operators.
    Log {
        /// What it says.
        text: String,
    },
    /// Subscribe to changes of the list, or end the subscription.
    KeepInformed {
        /// On or off.
        active: bool,
    },
    /// Ask for the whole list once.
    Refresh,
}
