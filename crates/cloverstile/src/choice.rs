//! Every decision of a courier. Types, events and actions are in `interface.rs`, what it keeps in mind in
//! `books.rs`; nothing is decided there.
//!
//! The ordinary path: a message waits in the queue of its destination; a free call slot goes to the waiting
//! destination with the fewest calls out; a message whose attempt may have run goes again under its one key,
//! inside group, window and attempt limit, after a full-jitter exponential gap. All else guards that path.

use crate::books::*;
use crate::due::DueDestinations;
use crate::interface::*;
use crate::ready::Queues;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

mod carried;
mod looking;
mod margins;
mod placing;
mod standing;
#[cfg(test)]
mod tests;
pub use standing::{Hold, Standing};

// ---- Tuned values ----

/// First gap before a repeat, as a part of the class's aim: short enough to leave time for several on time.
const BACKOFF_BASE_OF_AIM: f64 = 0.05;
/// Longest gap before a repeat, as a part of the class's aim: a repeat rarely pays if it waits longer.
const BACKOFF_CAP_OF_AIM: f64 = 0.7;
/// A keyed message is not resent in the last part of its window: the call must still arrive inside it.
const WINDOW_MARGIN: f64 = 0.1;
/// Latency assumed before the first answer, as a part of the shortest aim.
const FIRST_LATENCY_OF_AIM: f64 = 0.1;
/// Least weight of the newest latency in the running mean; the first few weigh more.
const LATENCY_GAIN: f64 = 0.15;
/// Time-out of a repeatable attempt, in latencies (mean and deviation) of its destination ...
const TIMEOUT_LATENCIES: f64 = 4.0;
/// ... and at least this part of the aim, at most this multiple of it.
const TIMEOUT_AIMS: (f64, f64) = (0.5, 3.0);
/// A call is stalled when it was not answered for so many latencies ...
const STALL_LATENCIES: f64 = 3.0;
/// ... and at least for this part of the shortest aim: short pauses of a partner pass unnoticed.
const STALL_AIM: f64 = 0.25;
/// An unsafe call gets so many times that patience before it is called off: what it carries is lost then.
const UNSAFE_PATIENCE: u32 = 2;
/// First gap between trial calls, as a part of the fall window, and the longest one; both are jittered.
const TRIAL_GAPS_OF_FALL: (f64, f64) = (0.1, 0.6);
/// Own demand counts towards the fall budget up to so many times what was served here before.
const DEMAND_OF_SERVED: f64 = 1.5;
/// With fewer messages than this over a cold return's length a courier is light: it may send so many in a
/// deadline, whatever its part, lest its messages run out untried; many such couriers share one destination.
const LIGHT: f64 = 2.0;
const LIGHT_FLOOR: f64 = 0.5;
/// After a refusal its next call comes by chance within so many calls of its pace more, for they are many.
const LIGHT_SPREAD: f64 = 4.0;
/// After a restart into what may be an outage its first call comes by chance within so many.
const RESTART_SPREAD: f64 = 3.0;
/// Shortest part of a gap that chance may leave: who failed together must not come back together.
const TRIAL_JITTER_FROM: f64 = 0.25;
/// A spell without success shorter than this part of the fall window needs no slow start.
const BLIP_OF_FALL: f64 = 0.6;
/// Evidence that opens a spell, and what each outcome adds: no connection says that it is down, a lost call
/// or an error hints at it (two in a row, as a light courier has few), single refusals are everyday life.
const SPELL_AFTER: u32 = 6;
const EVIDENCE_NO_CONNECTION: u32 = 6;
const EVIDENCE_LOST: u32 = 3;
const EVIDENCE_REFUSED: u32 = 1;
/// Part of the fall budget that is used: refused calls, batches and chance need the rest, ...
const FALL_BUDGET_USED: f64 = 0.8;
/// ... and many couriers so much more: those with little traffic of their own have even parts all the same.
const FALL_BUDGET_UNEVEN: f64 = 0.05;
/// So few couriers are even enough.
const FEW: f64 = 4.0;
/// On `full` the rate falls to this part of what was sent of late, at most once in `CUT_EVERY`: twice without
/// a success, then to the part of the fall budget, as it may be an outage, or all may have to slow down.
const RATE_CUTS: [f64; 3] = [0.75, 0.5, 0.0];
const CUT_EVERY: Duration = Duration::from_millis(500);
/// Growth of a rate that binds with each answer, as a part of itself or of one call an aim: with the cuts it
/// settles where a fixed part of the calls is refused, however many couriers share the limit.
const RATE_GROWTH: f64 = 0.25;
/// A refusal with more than this share of the limit left, as told, is not for the limit.
const ROOM_LEFT: f64 = 0.3;
/// The share of a limit that is to be left, where it is told. The pace leans by so much of what is left
/// beyond it, and its base follows by so much of it a second: the share is told late, and whoever follows it
/// faster meets what all others did with the same news.
const KEPT_LEFT: f64 = 0.4;
const LEFT_LEAN: f64 = 0.5;
const LEFT_GROWTH_A_S: f64 = 0.5;
/// An even part of a told limit that no cut goes below, but the last: with all couriers there, it is kept.
const EVEN_PART: f64 = 0.9;
/// A new route starts at so many even parts of its limit: many at the whole of it would send many times that.
const START_PARTS: f64 = 2.0;
/// What was sent of late: calls over about so many seconds.
const LATE_S: f64 = 1.0;
/// Tokens that may be saved up, in seconds of the rate; one call at least.
const BURST_S: f64 = 0.4;
/// Part of a tenant's quota assumed to be this courier's, in even parts; traffic is not even.
const QUOTA_PART: f64 = 1.25;
/// An endpoint in another zone is chosen only with so many calls fewer out than the ones here.
const FAR_CALLS: usize = 2;
/// Weight of what waiting for one more aim would lose, against the worth itself.
const WAITING_LOSS: f64 = 2.0;
/// Calls out to a destination in a spell, as a part of the free slots; one at least.
const TRIAL_SLOTS: f64 = 0.25;
/// Share of the messages that may be held above which the least worth are shed, or not taken on.
const SHED_ABOVE: f64 = 0.93;
/// Weight of the newest loss or answer on an idle connection in the risk that such are dropped unseen.
const REAPED_GAIN: f64 = 0.15;
/// Risk from which on idle connections are closed before use: by an unsafe message, which would be lost, and
/// by one that can be repeated, which would only be late.
const REAPED_RISKS: (f64, f64) = (0.03, 0.25);
/// ... beyond so many times the risk of a call on a new connection, which chance moves too.
const REAPED_OTHER: f64 = 2.0;
/// A connection in use until this part of the shortest aim ago was not idle: what it loses has other causes.
const REAPED_LEAST_AIM: f64 = 0.1;
/// Connections idle for this part of the shortest time that lost a call are trusted.
const REAPED_MARGIN: f64 = 0.7;
/// While idle connections are closed, one is tried so many of the shortest aim after the last loss.
const REAPED_CHECK_AIMS: f64 = 4.0;

// ---- State ----

/// A courier: records events in `handle`, acts in `decide`.
#[derive(Default, Serialize, Deserialize)]
pub struct Courier {
    #[serde(skip)]
    settings: Settings,
    #[serde(skip)]
    rng: fastrand::Rng,
    addresses: BTreeMap<EndpointId, Address>,
    routes: BTreeMap<RouteId, Route>,
    /// Messages not answered, by destination. Rebuilt from `messages` in a hand-over.
    #[serde(skip)]
    queues: Queues,
    #[serde(skip)]
    due: DueDestinations,
    messages: BTreeMap<MessageId, Message>,
    /// Messages taken so far.
    arrivals: u64,
    /// What is left of each tenant's share, and since when.
    shares: BTreeMap<TenantId, (f64, Time)>,
    open: usize,
    deadlines: BTreeSet<(Time, MessageId)>,
    /// Messages in their turn, with their arrivals.
    keys: BTreeMap<OrderKey, BTreeSet<(u64, MessageId)>>,
    rests: BTreeMap<OrderKey, Time>,
    calls: BTreeMap<u64, Call>,
    last_call: u64,
    /// Latency over all destinations: what one that was never called is assumed to need.
    usual: Latency,
    reaping: Reaping,
    /// After a restart no order key is used before this: any of them may have had a call out.
    keys_rest: Time,
    /// When this courier ends, if that is known.
    closing: Option<Time>,
    wake: Option<(Time, u64)>,
    token: u64,
    /// What is to be done, until `decide` hands it over.
    #[serde(skip)]
    actions: Vec<Action>,
}

impl Courier {
    /// A courier that knows only its settings; `seed` is its one source of chance.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let first = shortest_aim(&settings) * FIRST_LATENCY_OF_AIM;
        let usual = Latency { mean: first, deviation: first, samples: 0 };
        Courier { settings, rng: fastrand::Rng::with_seed(seed), usual, ..Courier::default() }
    }

    /// Records one event. Call [`Courier::decide`] after the last one of a batch.
    pub fn handle(&mut self, now: Time, event: Event) {
        self.touch_all_of(&event);
        match event {
            Event::Listed(listing) => self.on_listing(now, listing),
            Event::Suspended(id) => {
                if let Some(address) = self.addresses.get_mut(&id) {
                    address.suspended = true;
                }
            }
            Event::Reinstated(id) => self.on_reinstated(now, id),
            Event::Accept(message) => self.on_accept(now, message),
            Event::Restored(message) => self.on_restored(now, message),
            Event::Recalled(outage) => self.on_recalled(now, outage),
            Event::Heard(id) => {
                if let Some(message) = self.messages.get_mut(&id) {
                    message.unheard = false;
                }
                self.forget_if_over(now, id);
            }
            Event::Trials(to, trials) => {
                if let Some(route) = self.routes.get_mut(&RouteId(to, None)) {
                    route.trials = trials;
                }
            }
            Event::Learnt(to, news) => self.on_learnt(now, to, news),
            Event::Closing(at) => self.closing = Some(at),
            Event::Finished(finished) => self.on_finished(now, finished),
            Event::ClientGone(id) => self.close(now, id),
            Event::TickDue(token) => self.wake = self.wake.filter(|(_, set)| *set != token),
            Event::FirstByte(_) | Event::Probed { .. } | Event::Note { .. } => {}
        }
    }

    /// When a client does well to come again with a message for this destination: what waits there has to go
    /// out first, and a told wait to pass.
    pub fn come_back(&mut self, now: Time, to: DestinationId) -> Duration {
        let aim = Duration::from_secs_f64(shortest_aim(&self.settings));
        let waiting = self.queues.held(to) as f64;
        let routes: Vec<RouteId> = self.routes.range(routes_of(to)).map(|(id, _)| *id).collect();
        let pace: f64 = routes.iter().map(|id| self.pace(now, *id)).sum();
        let wait = routes.iter().map(|id| self.routes[id].told_wait - now).min().unwrap_or_default();
        self.due.mark_changed(to);
        let backlog = Duration::from_secs_f64((waiting / pace.max(0.001)).min(aim.as_secs_f64()));
        wait.max(backlog).clamp(aim.mul_f64(BACKOFF_BASE_OF_AIM), aim.mul_f64(BACKOFF_CAP_OF_AIM))
    }

    /// Acts on all that was recorded.
    pub fn decide(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.answer_due(now);
        self.shed(now);
        let mut next = self.note_stalls(now);
        self.free_pinned_slot(now);
        self.send_ready(now, &mut next);
        self.set_wake(now, next);
        actions.append(&mut self.actions);
    }

    // ---- Events ----

    fn on_listing(&mut self, now: Time, listing: Listing) {
        let (entries, mut over): (Vec<Endpoint>, Vec<EndpointId>) = match listing {
            Listing::Failed => return,
            Listing::Changes(entries) => (entries, Vec::new()),
            Listing::Whole(entries) => {
                // What a whole list does not name is gone: it gets nothing new from now on.
                self.addresses.values_mut().for_each(|address| address.entry.mode = Mode::Gone);
                (entries, self.addresses.keys().copied().collect())
            }
        };
        over.extend(entries.iter().map(|entry| entry.id));
        for entry in entries {
            if entry.mode == Mode::Gone && !self.addresses.contains_key(&entry.id) {
                continue;
            }
            let weight = self.weight_of(&entry);
            let usual = self.usual;
            let an_aim = shortest_aim(&self.settings).recip();
            let start = match self.settings.weights {
                WeightSource::Silent => weight,
                _ => (weight * START_PARTS / couriers(&self.settings)).max(an_aim).min(weight),
            };
            let batch = self.settings.kinds.get(usize::from(entry.kind.0)).map_or(1, |k| k.batch.max(1));
            let here = self.route_of(&entry);
            // One that is given to another destination serves that one alone.
            let before =
                self.addresses.get(&entry.id).map(|a| self.route_of(&a.entry)).filter(|r| *r != here);
            if let Some(route) = before.and_then(|before| self.routes.get_mut(&before)) {
                route.endpoints.retain(|endpoint| *endpoint != entry.id);
            }
            let route = self.routes.entry(here).or_insert_with(|| {
                let (rate, tokens, filled, latency, last_answer) = (start, 1.0, now, usual, now);
                let (left, told_at, listed) = (KEPT_LEFT, now, weight);
                let route = Route { rate, tokens, filled, latency, last_answer, left, ..Route::default() };
                Route { weight, listed, told_at, ..route }
            });
            route.batch = batch;
            // What answers told stands until the list says something new.
            if route.listed != weight {
                route.listed = weight;
                route.set_limit(weight);
            }
            if let Some(known) = self.addresses.get_mut(&entry.id) {
                known.entry = entry;
                if before.is_some() {
                    route.endpoints.push(known.entry.id);
                }
                continue;
            }
            route.endpoints.push(entry.id);
            let (id, preference, avoid_until) = (entry.id, self.rng.u32(..), Time::ZERO);
            let (calls_out, failures, used, suspended, cold) = (0, 0, None, false, None);
            let address =
                Address { entry, calls_out, preference, failures, avoid_until, used, suspended, cold };
            self.addresses.insert(id, address);
        }
        let is_over = |a: &Address| a.entry.mode == Mode::Gone && a.calls_out == 0;
        over.retain(|id| self.addresses.get(id).is_some_and(is_over));
        over.into_iter().for_each(|id| self.forget_address(id));
    }

    /// Forgets an endpoint that is gone and has no call out. What was learnt of its destination stays, except
    /// where it was a route of its own.
    fn forget_address(&mut self, id: EndpointId) {
        let Some(address) = self.addresses.remove(&id) else { return };
        let route_id = self.route_of(&address.entry);
        if let Some(route) = self.routes.get_mut(&route_id) {
            route.endpoints.retain(|endpoint| *endpoint != id);
            if route_id.1.is_some() {
                self.routes.remove(&route_id);
            }
        }
    }

    /// An endpoint that was out by hand comes back cold. Beside others it gets its own part of the fall
    /// budget, and they the rest; alone it is the destination that returns.
    fn on_reinstated(&mut self, now: Time, id: EndpointId) {
        let Some(route_id) = self.addresses.get(&id).map(|a| self.route_of(&a.entry)) else { return };
        let Some(address) = self.addresses.get_mut(&id).filter(|a| a.suspended) else { return };
        let Some(route) = self.routes.get_mut(&route_id) else { return };
        (address.suspended, address.cold, address.failures) = (false, Some(now), 0);
        // By chance, as all couriers may hear of it at one moment.
        address.avoid_until = now + route.cold_gap(now, &self.settings, 0.0).mul_f64(self.rng.f64());
        let warm = |a: &Address| a.is_open() && a.cold.is_none();
        if !route.endpoints.iter().filter_map(|id| self.addresses.get(id)).any(warm) {
            (route.returned, route.filled, route.tokens) = (Some(now), now, 0.0);
        }
    }

    fn on_accept(&mut self, now: Time, taken: Accepted) {
        let Some(class) = self.settings.classes.get(usize::from(taken.class.0)) else { return };
        let id = taken.id;
        let born = taken.deadline - class.deadline;
        // A keyed message of a courier that died may have run there at any time since it was handed in. Where
        // that seems to lie ahead the clock was put back since, and when it was cannot be told.
        let may_have_run = taken.from_dead_courier && class.effect == Effect::Keyed;
        let ran = Some(born).filter(|born| *born <= now).unwrap_or(Time::ZERO);
        if let (true, Some(key)) = (class.in_order, taken.key) {
            self.keys.entry(key).or_default().insert((self.arrivals, id));
        }
        self.deadlines.insert((taken.deadline, id));
        self.queues.join(taken.destination);
        self.open += 1;
        for (_, route) in self.routes.range_mut(routes_of(taken.destination)) {
            route.demand.rate(now, cold_s(&self.settings), 1.0);
        }
        let over_share = self.is_over_share(now, taken.tenant);
        let mut message = Message::new(now, taken, self.arrivals, born, over_share);
        message.maybe_ran = may_have_run.then_some((ran, None));
        self.arrivals += 1;
        let end = self.last_send(&message);
        self.messages.insert(id, message);
        self.place(now, id);
        // What ran too long ago, in a courier that died, is answered at once.
        self.deadlines.extend(end.map(|end| (end.max(now), id)));
    }

    /// Takes a message up again after a restart. Calls that were out then broke with the old process at the
    /// latest, so that keys rest from now on.
    fn on_restored(&mut self, now: Time, restored: Restored) {
        let id = restored.taken.id;
        let rest = now + self.settings.rules.order_settle;
        if self.keys_rest != rest {
            self.keys_rest = rest;
            self.place_fronts(now);
        }
        self.on_accept(now, restored.taken);
        let Some(message) = self.messages.get_mut(&id) else { return };
        message.attempts = restored.attempts;
        message.maybe_ran = message.maybe_ran.or(restored.maybe_ran);
        if restored.answered {
            message.unheard = true;
            self.close(now, id);
        } else if let Some(end) = self.messages.get(&id).and_then(|m| self.last_send(m)) {
            self.deadlines.insert((end.max(now), id));
        }
        self.place(now, id);
    }

    fn on_recalled(&mut self, now: Time, outage: Outage) {
        let (settings, chance) = (&self.settings, self.rng.f64());
        let Some(route) = self.routes.get_mut(&RouteId(outage.destination, outage.endpoint)) else { return };
        (route.last_answer, route.evidence) = (outage.since, outage.evidence);
        // Of which kind that was is not written down; it ends with the first success.
        route.doubtful = outage.evidence >= EVIDENCE_LOST;
        (route.returned, route.share) = (outage.returned, outage.share);
        // Who is started again beside others must not come back with them, each with a call saved up.
        route.tokens = if outage.evidence > 0 { 0.5 - chance * RESTART_SPREAD } else { 0.0 };
        if let Some(lost) = outage.lost {
            route.spell = Some(Spell { began: outage.since, failed: true, lost, ..Spell::default() });
            route.plan_trial(now, settings, chance);
        }
    }

    /// Another courier tried for all: it counts as if this one had, but for what this one saw since.
    fn on_learnt(&mut self, now: Time, to: DestinationId, news: News) {
        let (settings, chance) = (&self.settings, self.rng.f64());
        let blip = settings.rules.fall.mul_f64(BLIP_OF_FALL);
        let Some(route) = self.routes.get_mut(&RouteId(to, None)) else { return };
        match news {
            News::Wait(until) if until - now > blip => {
                route.told_wait = route.told_wait.max(until);
                route.shut(now, settings, chance);
            }
            News::Wait(_) => {}
            News::Served(at) => {
                if route.spell.as_ref().is_some_and(|spell| spell.began < at) {
                    route.back(at, blip);
                    route.last_answer = at;
                }
            }
        }
    }

    /// Whether a tenant is past its quota. The quota is for all couriers together, and what others take of it
    /// cannot be seen: what passes the part assumed to be this courier's counts as beyond.
    fn is_over_share(&mut self, now: Time, tenant: TenantId) -> bool {
        let Some(quota) = self.settings.tenants.get(tenant.0 as usize).map(|t| t.quota) else { return false };
        let part = (QUOTA_PART / couriers(&self.settings)).min(1.0);
        let (left, since) = self.shares.entry(tenant).or_insert((quota * part, now));
        *left = (*left + (now - *since).as_secs_f64() * quota * part).min(quota * part);
        *since = now;
        let over = *left < 1.0;
        if !over {
            *left -= 1.0;
        }
        over
    }

    fn on_finished(&mut self, now: Time, finished: Finished) {
        // A wait binds from the batch that tells it, whichever message of a call brings it, and whatever
        // became of that message.
        if let Outcome::Full(Some(wait)) = finished.outcome {
            let route = self.addresses.get(&finished.endpoint).map(|a| self.route_of(&a.entry));
            if let Some(route) = route.and_then(|id| self.routes.get_mut(&id)) {
                route.told_wait = route.told_wait.max(now + wait);
            }
        }
        let Some(message) = self.messages.get_mut(&finished.message) else { return };
        let Some(call_id) = message.out.take() else { return };
        let Some(call) = self.calls.get_mut(&call_id) else { return };
        let class = &self.settings.classes[usize::from(message.taken.class.0)];
        let never_ran = matches!(
            finished.outcome,
            Outcome::Full(_) | Outcome::ConnectFailed | Outcome::Moot | Outcome::Spent
        );
        if finished.outcome == Outcome::Spent {
            message.attempts = self.settings.send_cap;
        }
        if !never_ran && message.maybe_ran.is_none() {
            message.maybe_ran = Some((call.sent, call.zone.known()));
        }
        // Half of what is left of a short window at the most, or the repeat would not fit.
        let window = window_left(now, class, message.maybe_ran.map(|(first, _)| first));
        let gap = growing_gap(class.aim, BACKOFF_BASE_OF_AIM, message.attempts)
            .min(class.aim.mul_f64(BACKOFF_CAP_OF_AIM).min(window / 2));
        message.not_before = now + gap.mul_f64(self.rng.f64());
        // A call that may still be running lets its key rest before the next message of the key.
        let unsettled = !never_ran && !matches!(finished.outcome, Outcome::Ok | Outcome::Error);
        if let (true, true, Some(key)) = (unsettled, class.in_order, message.taken.key) {
            self.rests.retain(|_, until| *until > now);
            self.rests.insert(key, now + margins::key_rest(&self.settings));
        }
        // Only a call's last outcome counts for the route: its messages share one fate.
        call.unanswered -= 1;
        if call.unanswered == 0 {
            if let Some(call) = self.calls.remove(&call_id) {
                self.end_call(now, call_id, call, &finished);
            }
        }
        if finished.complete {
            if finished.outcome == Outcome::Ok && !self.is_surely_in_time(now, finished.message) {
                self.await_hearing(finished.message);
            }
            self.close(now, finished.message);
        } else if let Some(end) = self.messages.get(&finished.message).and_then(|m| self.last_send(m)) {
            // What can never be sent again is answered at once: it would only fill what may be held and keep
            // its order key from the messages behind it.
            self.deadlines.insert((end.max(now), finished.message));
        }
        self.place(now, finished.message);
        self.forget_if_over(now, finished.message);
    }

    /// Until when a message may be sent again, if that ends before its deadline.
    fn last_send(&self, message: &Message) -> Option<Time> {
        let class = self.class(message);
        match (message.maybe_ran, class.effect) {
            _ if message.attempts >= self.settings.send_cap => Some(Time::ZERO),
            (Some(_), Effect::Unsafe) => Some(Time::ZERO),
            (Some((first, _)), Effect::Keyed) => Some(window_end(class, first)),
            _ => None,
        }
    }

    /// Frees the slot of a call and lets address, connections and route learn from its outcome.
    fn end_call(&mut self, now: Time, id: u64, call: Call, finished: &Finished) {
        if let Some(route) = self.routes.get_mut(&call.route) {
            route.out.remove(&id);
        }
        let lost = matches!(finished.outcome, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled);
        let reaped =
            lost && self.reaping.risk > 0.0 && call.idle.is_some_and(|idle| idle >= self.reaping.idle);
        if !(lost && call.stalled) {
            self.learn_of_idle(now, call.idle, lost, finished.outcome == Outcome::Ok);
        }
        let rules = &self.settings.rules;
        if let Some(address) = self.addresses.get_mut(&call.to) {
            address.calls_out = address.calls_out.saturating_sub(1);
            match finished.outcome {
                Outcome::Ok => (address.used, address.failures) = (Some(now), 0),
                Outcome::Full(_) => address.used = Some(now),
                _ if reaped => {}
                Outcome::ConnectFailed | Outcome::Timeout | Outcome::Reset | Outcome::Error => {
                    address.failures += 1;
                    let gap = growing_gap(rules.fall, TRIAL_GAPS_OF_FALL.0, address.failures).min(rules.cold);
                    address.avoid_until = now + gap.mul_f64(self.rng.f64());
                }
                Outcome::Spoilt | Outcome::Cancelled | Outcome::Moot | Outcome::Spent => {}
            }
            if address.calls_out == 0 && address.entry.mode == Mode::Gone {
                self.forget_address(call.to);
            }
        }
        if !reaped {
            self.learn(now, finished, &call);
        }
    }

    /// A loss on an idle connection speaks for connections that are dropped unseen, an answer on one that was
    /// idle as long speaks against it.
    fn learn_of_idle(&mut self, now: Time, idle: Option<Duration>, lost: bool, answered: bool) {
        let Some(idle) =
            idle.filter(|idle| idle.as_secs_f64() > shortest_aim(&self.settings) * REAPED_LEAST_AIM)
        else {
            if lost || answered {
                self.reaping.other += REAPED_GAIN * (f64::from(u8::from(lost)) - self.reaping.other);
            }
            return;
        };
        let reaping = &mut self.reaping;
        if lost {
            reaping.idle = if reaping.risk > 0.0 { reaping.idle.min(idle) } else { idle };
            reaping.risk += REAPED_GAIN * (1.0 - reaping.risk);
            reaping.next_check =
                now + Duration::from_secs_f64(shortest_aim(&self.settings) * REAPED_CHECK_AIMS);
        } else if answered && idle >= reaping.idle {
            reaping.risk -= REAPED_GAIN * reaping.risk;
            reaping.next_check = now;
            if reaping.risk < REAPED_RISKS.0 {
                reaping.risk = 0.0;
            }
        }
    }

    // ---- Health and pace ----

    /// Health and pace of a route, from the outcome of one call.
    fn learn(&mut self, now: Time, finished: &Finished, call: &Call) {
        let (settings, chance) = (&self.settings, self.rng.f64());
        let waiting = self.queues.held(call.route.0) as f64;
        let Some(route) = self.routes.get_mut(&call.route) else { return };
        let told = finished.allowance.filter(|a| a.limit > 0.0);
        if let Some(told) = told {
            route.set_limit(told.limit);
            route.left = told.left.clamp(0.0, 1.0);
            let passed = (now - route.told_at).as_secs_f64().min(1.0);
            let growth = LEFT_GROWTH_A_S * passed * (route.left - KEPT_LEFT);
            if route.bound || growth < 0.0 {
                route.rate *= 1.0 + growth;
            }
            if finished.outcome == Outcome::Ok {
                route.rate = route.rate.max(route.even_part(settings));
            }
            route.told_at = now;
        }
        // A pace beyond the whole limit is none.
        if settings.weights != WeightSource::Silent {
            route.rate = route.rate.min(route.weight);
        }
        // A time-out is a sample too, of at least its length: else it would stay too short all through a slow
        // spell, and each repeat would meet the first call still running.
        if matches!(finished.outcome, Outcome::Ok | Outcome::Timeout | Outcome::Cancelled) {
            if route.latency.samples == 0 {
                route.latency = Latency { samples: 0, ..self.usual };
            }
            route.latency.learn(finished.latency, LATENCY_GAIN);
        }
        // With a success since it was sent, a lost call says nothing of the route. Nor do errors and resets
        // while an endpoint is left that did not fail; silence does, as a hang mostly takes all.
        let sound = |a: &Address| a.is_open() && a.failures == 0;
        let alone = call.sent >= route.last_answer;
        let one_sound = route.endpoints.iter().filter_map(|id| self.addresses.get(id)).any(sound);
        let all_sick = alone && !one_sound;
        let blip = settings.rules.fall.mul_f64(BLIP_OF_FALL);
        match finished.outcome {
            Outcome::Ok => {
                self.usual.learn(finished.latency, LATENCY_GAIN);
                let served = route.served.rate(now, cold_s(settings), 0.0);
                let sick = route.spell.is_some() || route.returned.is_some();
                route.share = if sick { served.max(route.share) } else { served };
                route.served.count += 1.0;
                // A destination that gave no success for a while may be cold: it gets a slow start. Couriers
                // that saw only the end of an outage are covered by counting from the last success.
                route.back(now, blip);
                if route.bound && told.is_none() {
                    route.rate += RATE_GROWTH * route.rate.min(shortest_aim(settings).recip());
                }
                route.last_answer = now;
                return;
            }
            // Shut, and told until when: all whom the door refused come back at one moment. So the slow start
            // begins there, by chance, and nothing is saved up behind the door.
            Outcome::Full(Some(wait)) if wait > blip => {
                route.shut(now, settings, chance);
                return;
            }
            Outcome::Full(_) => {
                // Refused though there is room inside the limit: it is shut or hangs with its queue full.
                let room = told.is_some_and(|told| told.left > ROOM_LEFT);
                route.evidence += if room { EVIDENCE_LOST } else { EVIDENCE_REFUSED };
                if now - route.last_cut > CUT_EVERY {
                    let cut = RATE_CUTS[route.cuts.min(RATE_CUTS.len() - 1)];
                    route.cuts += 1;
                    let even = route.even_part(settings);
                    let late = if told.is_some() {
                        // What waits here waits at each other courier too.
                        even * (1.0 + 1.0 / waiting.max(1.0))
                    } else {
                        // A clump must not wait at the pace of usual days until it has run out; where a call
                        // carries many, what waits goes together, and a call an aim is enough.
                        let an_aim = shortest_aim(settings).recip();
                        let alone = route.batch <= 1;
                        let (waiting, most) = if alone { (waiting, f64::MAX) } else { (0.0, an_aim) };
                        let late = route.sent.rate(now, LATE_S, 0.0).min(most);
                        let own = route.demand.rate(now, cold_s(settings), 0.0);
                        late.max(own).max(route.weight / couriers(settings)).max(waiting * an_aim)
                    };
                    let slowest = route.fall_part(now, settings, 0.0);
                    let least = if cut > 0.0 { slowest.max(even) } else { slowest };
                    route.rate = (cut * route.rate.min(late)).max(least.min(route.rate));
                    route.last_cut = now;
                }
                // By chance, as all that were refused together would come back together.
                let spread = if route.is_light(now, settings) { LIGHT_SPREAD } else { 1.0 };
                route.tokens = route.tokens.min(0.5 - chance * spread);
                // Nothing is saved up behind a told wait either: it ends for all at one moment.
                route.filled = route.filled.max(route.told_wait);
            }
            Outcome::Error | Outcome::Reset if all_sick => route.evidence += EVIDENCE_LOST,
            // It is up, and may yet be failing most calls.
            Outcome::Spoilt if alone => route.evidence += EVIDENCE_REFUSED,
            Outcome::ConnectFailed if all_sick => route.evidence += EVIDENCE_NO_CONNECTION,
            Outcome::ConnectFailed if alone => route.evidence += EVIDENCE_REFUSED,
            Outcome::Timeout | Outcome::Cancelled if alone => {
                route.evidence += EVIDENCE_LOST;
                route.doubtful = true;
            }
            _ => {}
        }
        if route.evidence >= SPELL_AFTER || (route.spell.is_some() && route.evidence >= EVIDENCE_LOST) {
            let spell = route.spell.get_or_insert(Spell { began: route.last_answer, ..Spell::default() });
            spell.failed = true;
            spell.lost |= !matches!(finished.outcome, Outcome::Full(_));
            spell.answers = match finished.outcome {
                Outcome::Error => true,
                Outcome::ConnectFailed => finished.latency < settings.connect_timeout / 2,
                _ => false,
            };
            // A slow start goes on behind a short spell, and begins anew behind a long one.
            route.plan_trial(now, settings, chance);
        }
    }

    /// Marks the calls that have been silent for too long, and says when the next one will have been.
    fn note_stalls(&mut self, now: Time) -> Option<Time> {
        let mut next = None;
        for id in self.calls.iter().filter(|(_, call)| !call.stalled).map(|(id, _)| *id).collect::<Vec<_>>() {
            let at = self.calls[&id].sent + self.stall_patience(self.calls[&id].route);
            if at > now {
                earliest(&mut next, Some(at));
            } else if let Some(call) = self.calls.get_mut(&id) {
                call.stalled = true;
                let idle = call.idle;
                self.learn_of_idle(now, idle, true, false);
            }
        }
        next
    }

    fn stall_patience(&self, id: RouteId) -> Duration {
        let usual = self.routes.get(&id).map_or(0.0, |route| route.latency.times(STALL_LATENCIES));
        Duration::from_secs_f64(usual.max(shortest_aim(&self.settings) * STALL_AIM))
    }

    /// When a route may take one more call: now, later, or only after some outcome (none).
    fn route_free_at(&mut self, now: Time, id: RouteId) -> Option<Time> {
        let stall = self.stall_patience(id);
        let slots_free = self.slots_free();
        let rate = self.pace(now, id);
        // What was silent for so long while others were answered was lost by itself, on its connection: it
        // tells nothing of the route, and must not hold its trials up until it times out.
        let route = self.routes.get(&id)?;
        let (mut oldest, mut alone, mut silent, mut live) = (None, 0, 0, 0);
        for call in route.out.iter().filter_map(|call| self.calls.get(call)) {
            live += usize::from(!call.stalled);
            if call.sent + stall >= route.last_answer {
                oldest = oldest.or(Some(call.sent));
                alone += 1;
                silent += usize::from(call.stalled);
            }
        }
        let route = self.routes.get_mut(&id)?;
        if route.told_wait > now {
            return Some(route.told_wait);
        }
        if self.closing.is_some_and(|end| now + stall > end) {
            return None;
        }
        // Hung or dead destinations answer nothing: the silence itself opens the circuit, long before a
        // time-out would, so that only few calls are risked.
        if let (None, Some(sent)) = (&route.spell, oldest) {
            if now - sent.max(route.last_answer) > stall {
                let (began, next_trial) = (route.last_answer.min(sent), now + stall);
                route.spell = Some(Spell { began, next_trial, lost: true, ..Spell::default() });
            }
        }
        if let Some(spell) = &mut route.spell {
            if let Trials::Elsewhere(until) = route.trials {
                if now < until {
                    return Some(until);
                }
            }
            // Trials that hang must not gather until they pin the slots of the healthy; but one that was lost
            // by itself must not keep the others back until it times out.
            let room = |slots: usize| ((slots as f64 * TRIAL_SLOTS) as usize).max(1);
            let may = alone - silent < room(slots_free) && alone < room(self.settings.call_slots);
            spell.only_fit = alone >= room(slots_free);
            return may.then_some(spell.next_trial);
        }
        // Bulkhead: no destination has more calls out than slots are left for all others. Stalled ones do not
        // count, or lost calls here and there would hold up each other's destinations with slots left.
        if live > 0 && live >= slots_free.max(1) {
            return None;
        }
        let burst = if route.returned.is_some() { 1.0 } else { (rate * BURST_S).max(1.0) };
        let passed = (now - route.filled).as_secs_f64();
        route.tokens = (route.tokens + passed * rate).min(burst);
        route.filled = now;
        route.bound = route.tokens < 1.0;
        if route.bound {
            return Some(now + Duration::from_secs_f64(((1.0 - route.tokens) / rate).clamp(0.001, 10.0)));
        }
        Some(now)
    }

    /// Calls a second that this courier may send a route now.
    fn pace(&mut self, now: Time, id: RouteId) -> f64 {
        let Some(route) = self.routes.get_mut(&id) else { return 1.0 };
        let lean = 1.0 + LEFT_LEAN * (route.left - KEPT_LEFT);
        let Some(returned) = route.returned else {
            let rate = route.rate * lean;
            // A lost call may be all that a courier with few of them sees of an outage.
            return if route.doubtful { route.fall_part(now, &self.settings, 0.0).min(rate) } else { rate };
        };
        let warmth = (now - returned).as_secs_f64() / cold_s(&self.settings);
        if warmth >= 1.0 {
            // Nothing was saved up for the usual pace: the slow one ends for all at one moment.
            (route.returned, route.filled) = (None, now);
            return route.rate;
        }
        route.fall_part(now, &self.settings, warmth).min(route.rate)
    }

    // ---- Choice ----

    /// Fills free slots: each to the waiting destination with fewest live calls; of those with equally many,
    /// to the one whose best message is worth most for its time. `next` tells when to look again.
    fn send_ready(&mut self, now: Time, next: &mut Option<Time>) {
        self.place_outdated(now);
        let mut ready: Vec<Ready> = Vec::new();
        if self.slots_free() > 0 {
            for to in self.due.at(now) {
                ready.extend(self.look(now, to, next));
            }
            earliest(next, self.due.next());
        }
        while self.slots_free() > 0 {
            let order = |a: &Ready, b: &Ready| a.calls.cmp(&b.calls).then(b.value.total_cmp(&a.value));
            let Some(place) = (0..ready.len()).min_by(|a, b| order(&ready[*a], &ready[*b])) else { break };
            // Slots have gone since: what was free may not be so now.
            let to = ready.swap_remove(place).to;
            let Some((route, endpoint, message, _)) = self.candidate(now, to, next) else { continue };
            self.send_call(now, route, endpoint, message);
            ready.extend(self.ready(now, to, next));
        }
    }

    /// Calls that may still be answered: what was lost by itself must not cost its destination the turn too.
    fn calls_to(&self, destination: DestinationId) -> usize {
        let calls = self.routes.range(routes_of(destination)).flat_map(|(_, route)| &route.out);
        calls.filter(|id| self.calls.get(id).is_some_and(|call| !call.stalled)).count()
    }

    /// The best message of a destination that may be sent now, by which route and endpoint, and its worth for
    /// the time that a slot is taken; if none, `next` tells when that may be.
    fn candidate(&mut self, now: Time, to: DestinationId, next: &mut Option<Time>) -> Option<Candidate> {
        #[cfg(test)]
        tests::note_examined();
        for route in self.routes.range(routes_of(to)).map(|(id, _)| *id).collect::<Vec<_>>() {
            let free = self.route_free_at(now, route);
            if free.is_none_or(|at| at > now) {
                earliest(next, free);
                continue;
            }
            let Some((message, worth)) = self.pick(now, route, next) else { continue };
            let Some(endpoint) = self.address_for(now, route, message) else { continue };
            let takes = self.routes[&route].latency.mean.max(0.001);
            return Some((route, endpoint, message, worth / takes));
        }
        None
    }

    /// The waiting message of most worth that may be sent now. A trial goes by whether it may be repeated and
    /// has attempts to spare; what is not so is risked at the slow gaps only.
    fn pick(&self, now: Time, route: RouteId, next: &mut Option<Time>) -> Option<(MessageId, f64)> {
        let spell = self.routes.get(&route).and_then(|r| r.spell.as_ref());
        let queue = self.queues.get(route.0)?;
        earliest(next, queue.next_ready_at());
        let mut best: Option<(bool, f64, Reverse<u64>, MessageId)> = None;
        for (group, rank) in queue.best_of_groups() {
            let fit = spell.is_none() || group.fits_trial;
            if !fit && spell.is_some_and(|s| s.only_fit) {
                continue;
            }
            if let Some(at) = spell.map(|s| s.next_risk).filter(|at| !fit && *at > now) {
                earliest(next, Some(at));
                continue;
            }
            let Some(message) = self.messages.get(&rank.message) else { continue };
            // Of equals the one that came first.
            let found = (fit, self.worth(now, message), Reverse(rank.arrival), rank.message);
            if best.is_none_or(|best| found > best) {
                best = Some(found);
            }
        }
        best.map(|(_, worth, _, id)| (id, worth))
    }

    /// Whether a message serves for a trial: it may be repeated, and has attempts to spare.
    fn fits_trial(&self, message: &Message) -> bool {
        // A trial spends an attempt: half of them are kept for the return.
        message.attempts * 2 <= self.settings.send_cap && self.repeatable(message)
    }

    fn class(&self, message: &Message) -> &Class {
        #[cfg(test)]
        tests::note_examined();
        &self.settings.classes[usize::from(message.taken.class.0)]
    }

    fn repeatable(&self, message: &Message) -> bool {
        self.class(message).effect != Effect::Unsafe
    }

    /// The one gate for every send: when this message may be sent; none if not before some event, or never.
    fn sendable_at(&self, now: Time, message: &Message) -> Option<Time> {
        if message.closed || message.out.is_some() || self.last_send(message).is_some_and(|end| now > end) {
            return None;
        }
        let class = self.class(message);
        let mut at = message.not_before;
        if let (true, Some(key)) = (class.in_order, message.taken.key) {
            if self.keys.get(&key)?.first()?.1 != message.taken.id {
                return None;
            }
            at = at.max(self.keys_rest);
            // The rest after an unsettled attempt binds the next messages of the key, not the same one.
            if message.attempts == 0 {
                at = at.max(self.rests.get(&key).copied().unwrap_or(Time::ZERO));
            }
        }
        Some(at)
    }

    /// Worth still to be won, and what of it waiting would lose: on time before late, what is about to be
    /// late before what is fresh, and what is about to run out before what may wait.
    fn worth(&self, now: Time, message: &Message) -> f64 {
        let (age, aim) = ((now - message.born).as_secs_f64(), self.class(message).aim.as_secs_f64());
        let (value, ahead) = (self.value(message, age), self.value(message, age + aim));
        self.full_worth(message) * ((1.0 + WAITING_LOSS) * value - WAITING_LOSS * ahead)
    }

    fn full_worth(&self, message: &Message) -> f64 {
        let share = if message.over_share { self.settings.over_share_worth } else { 1.0 };
        self.class(message).worth * share
    }

    /// Share of its full worth that a message has at an age, in seconds. It never rises.
    fn value(&self, message: &Message, age: f64) -> f64 {
        // A repeat that must go before its window ends has nothing left after that.
        let last = self.last_send(message).map(|end| (end - message.born).as_secs_f64());
        let class = self.class(message);
        let (aim, span) = (class.aim.as_secs_f64(), class.deadline.as_secs_f64());
        if age > span || last.is_some_and(|end| age > end) {
            return 0.0;
        }
        match self.settings.decay {
            Decay::Line => {
                let late = ((age - aim) / (span - aim).max(0.001)).max(0.0);
                1.0 - (1.0 - class.late_share) * late
            }
            Decay::Halves => (1.0 - age / aim).min(0.0).exp2().max(class.late_share),
        }
    }

    /// The address of a route with the fewest calls out, sick ones last; inside the group of a repeat. Ties
    /// go by a preference drawn once: where each courier has few calls, all would pick the same one.
    fn address_for(&self, now: Time, id: RouteId, message: MessageId) -> Option<EndpointId> {
        let message = self.messages.get(&message)?;
        let class = self.class(message);
        let zone = match (class.effect, class.group, message.maybe_ran) {
            (Effect::Keyed, Group::Zone, Some((_, zone))) => Some(zone?),
            _ => None,
        };
        let endpoints = self.routes.get(&id)?.endpoints.iter();
        endpoints
            .filter_map(|endpoint| self.addresses.get(endpoint))
            .filter(|a| a.is_open() && zone.is_none_or(|z| a.entry.zone == z))
            .min_by_key(|a| {
                let far = self.settings.zone.is_some_and(|here| here != a.entry.zone);
                let calls = a.calls_out + if far { FAR_CALLS } else { 0 };
                (a.avoid_until > now, calls, a.failures, a.preference)
            })
            .map(|a| a.entry.id)
    }

    /// One call: the message that was picked and, where a call may carry more, others that wait.
    fn send_call(&mut self, now: Time, id: RouteId, to: EndpointId, first: MessageId) {
        let idle = self.idle_connection(now, to, first);
        let Some(address) = self.addresses.get_mut(&to) else { return };
        address.calls_out += 1;
        let zone = address.entry.zone;
        let Some(route) = self.routes.get_mut(&id) else { return };
        // A cold endpoint beside warm ones is passed over until its part of the fall budget has room again.
        address.cold = address.cold.filter(|since| now - *since < self.settings.rules.cold);
        if let Some(since) = address.cold {
            let warmth = (now - since).as_secs_f64() / cold_s(&self.settings);
            let gap = route.cold_gap(now, &self.settings, warmth);
            address.avoid_until = now + gap.mul_f64(0.5 + self.rng.f64());
        }
        route.tokens -= 1.0;
        route.sent.rate(now, LATE_S, 1.0);
        let mut room = route.batch;
        if let Some(spell) = &mut route.spell {
            spell.trials += 1;
            // What is only refused comes back unharmed, so that a trial may carry all that a call can.
            if spell.lost {
                room = 1;
            }
        }
        route.plan_trial(now, &self.settings, self.rng.f64());
        self.last_call += 1;
        route.out.insert(self.last_call);
        let mut carried = Vec::new();
        let mut next = Some(first);
        while let Some(message) = next {
            let try_for = self.time_out(now, id, message);
            let send_by = self.messages.get(&message).and_then(|m| self.last_send(m));
            if let Some(m) = self.messages.get_mut(&message) {
                m.attempts += 1;
                m.out = Some(self.last_call);
                self.actions.push(Action::Route { message, endpoint: to, try_for, send_by });
            }
            self.place(now, message);
            carried.push(message);
            next = if carried.len() == room { None } else { self.pick(now, id, &mut None).map(|(m, _)| m) };
        }
        let (route, sent, unanswered, stalled, called_off) = (id, now, carried.len(), false, false);
        let call = Call { route, to, zone, sent, carried, unanswered, idle, stalled, called_off };
        self.calls.insert(self.last_call, call);
    }

    /// How long the connection has been idle that the next call to an endpoint would use. Where idle ones are
    /// dropped unseen, they are closed first; now and then one is tried, with a message that can be repeated.
    fn idle_connection(&mut self, now: Time, to: EndpointId, first: MessageId) -> Option<Duration> {
        let address = self.addresses.get(&to)?;
        let idle = now - address.used.filter(|used| now - *used < self.settings.conn_idle)?;
        // With calls out, a second connection may have been idle for longer than was seen.
        let alone = address.calls_out == 0;
        let repeatable = self.messages.get(&first).is_some_and(|m| self.repeatable(m));
        let bearable = if repeatable { REAPED_RISKS.1 } else { REAPED_RISKS.0 };
        let reaping = &mut self.reaping;
        let short = alone && idle < reaping.idle.mul_f64(REAPED_MARGIN);
        if reaping.risk < bearable + reaping.other * REAPED_OTHER || short {
            return alone.then_some(idle);
        }
        if repeatable && alone && idle >= reaping.idle && now >= reaping.next_check {
            reaping.next_check =
                now + Duration::from_secs_f64(shortest_aim(&self.settings) * REAPED_CHECK_AIMS);
            return Some(idle);
        }
        self.actions.push(Action::CloseIdle { endpoint: to });
        None
    }

    /// Follows the destination's own latency. An attempt that could not be followed by another gets all the
    /// time that the message has: its time-out would be final.
    fn time_out(&self, now: Time, id: RouteId, message: MessageId) -> Duration {
        let Some(m) = self.messages.get(&message) else { return Duration::ZERO };
        let class = self.class(m);
        let left = m.taken.deadline - now;
        let Some(route) = self.routes.get(&id) else { return left };
        let usual = route.latency.times(TIMEOUT_LATENCIES);
        let aim = class.aim.as_secs_f64();
        let mut span = Duration::from_secs_f64(usual.clamp(aim * TIMEOUT_AIMS.0, aim * TIMEOUT_AIMS.1));
        let first = m.maybe_ran.map_or(now, |(first, _)| first);
        // A window too short for that leaves room for a repeat, if a usual answer comes in half of it.
        let window = window_left(now, class, Some(first));
        if m.maybe_ran.is_none() && Duration::from_secs_f64(usual) < window / 2 {
            span = span.min(window / 2);
        }
        let last =
            m.attempts + 1 >= self.settings.send_cap || class.effect == Effect::Unsafe || span > window;
        let span = if last { left } else { span };
        span.min(left)
    }

    /// All slots taken while messages wait: the oldest call that hangs is called off, an unsafe one later.
    fn free_pinned_slot(&mut self, now: Time) {
        if !self.settings.cancel || self.slots_free() > 0 || self.open <= self.calls.len() {
            return;
        }
        let hanging = |call: &Call| {
            let mut carried = call.carried.iter().filter_map(|m| self.messages.get(m));
            let safe = carried.all(|m| self.repeatable(m));
            let patience = self.stall_patience(call.route) * if safe { 1 } else { UNSAFE_PATIENCE };
            !call.called_off && now - call.sent > patience
        };
        let Some(id) = self.calls.iter().find(|(_, call)| hanging(call)).map(|(id, _)| *id) else { return };
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.called_off = true;
        for message in &call.carried {
            if let Some(m) = self.messages.get(message).filter(|m| m.out == Some(id)) {
                self.actions
                    .push(Action::StopAttempt { message: *message, attempt: (m.attempts - 1) as u16 });
            }
        }
    }

    // ---- Answers ----

    /// The final answer that a message may be given now; none while an attempt may still deliver it.
    fn permitted_answer(&mut self, now: Time, id: MessageId) -> Option<Action> {
        let message = self.messages.get(&id).filter(|m| !m.closed)?;
        let to = message.taken.destination;
        let refusable = match self.class(message).effect {
            Effect::Safe => true,
            _ => message.maybe_ran.is_none() && message.out.is_none(),
        };
        Some(if refusable {
            Action::Busy { message: id, after: self.come_back(now, to) }
        } else {
            Action::ReportFailure { message: id }
        })
    }

    fn answer(&mut self, now: Time, id: MessageId) {
        let action = self.permitted_answer(now, id);
        if action.is_some() {
            self.await_hearing(id);
        }
        self.actions.extend(action);
        self.close(now, id);
    }

    /// Every message has a deadline that answers it in time; one that is out is left half of the slack.
    fn answer_due(&mut self, now: Time) {
        while let Some(&(due, id)) = self.deadlines.first().filter(|(due, _)| *due <= now) {
            self.deadlines.remove(&(due, id));
            let Some(message) = self.messages.get(&id).filter(|m| !m.closed) else { continue };
            let last_call = message.taken.deadline + self.settings.rules.answer_slack / 2;
            if message.out.is_some() && now < last_call {
                self.deadlines.insert((last_call, id));
            } else {
                self.answer(now, id);
            }
        }
    }

    /// Whether a message of a class may be taken on: nearly full, the rest is for those of most worth.
    pub fn admits(&self, class: ClassId) -> bool {
        let most = self.settings.classes.iter().map(|c| c.worth).fold(0.0, f64::max);
        let worth = self.settings.classes.get(usize::from(class.0)).map_or(0.0, |c| c.worth);
        self.open < if worth < most { self.nearly_full() } else { self.settings.most_held }
    }

    fn nearly_full(&self) -> usize {
        (self.settings.most_held as f64 * SHED_ABOVE) as usize
    }

    /// Where no door asks first, the least worth go before new messages are turned away unseen.
    fn shed(&mut self, now: Time) {
        let most = if self.settings.answers_take_time { usize::MAX } else { self.nearly_full() };
        while self.open > most {
            let least = self
                .messages
                .values()
                .filter(|m| !m.closed && m.out.is_none())
                .map(|m| (self.worth(now, m), m.taken.id))
                .min_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(&a.1)));
            let Some((_, id)) = least else { return };
            self.answer(now, id);
        }
    }

    fn close(&mut self, now: Time, id: MessageId) {
        if let Some(message) = self.messages.get_mut(&id).filter(|m| !m.closed) {
            message.closed = true;
            self.open -= 1;
            self.deadlines.remove(&(message.taken.deadline, id));
            let to = message.taken.destination;
            self.place(now, id);
            self.queues.leave(to);
        }
        self.forget_if_over(now, id);
    }

    /// A message is forgotten once it is answered and has nothing out; until then its key stays taken.
    fn forget_if_over(&mut self, now: Time, id: MessageId) {
        if self.messages.get(&id).is_none_or(|m| !m.closed || m.unheard || m.out.is_some()) {
            return;
        }
        let Some(message) = self.messages.remove(&id) else { return };
        let Some(key) = message.taken.key else { return };
        if let Some(turn) = self.keys.get_mut(&key) {
            turn.remove(&(message.arrival, id));
            if turn.is_empty() {
                self.keys.remove(&key);
            }
            self.place_front(now, key);
        }
    }

    // ---- Settings and timers ----

    fn route_of(&self, entry: &Endpoint) -> RouteId {
        let apart = self.settings.kinds.get(usize::from(entry.kind.0)).is_some_and(|k| k.own_limits);
        RouteId(entry.destination, apart.then_some(entry.id))
    }

    fn weight_of(&self, entry: &Endpoint) -> f64 {
        match self.settings.weights {
            WeightSource::Silent => self.settings.call_slots as f64,
            WeightSource::Rough | WeightSource::Nominal => entry.weight.max(0.1),
        }
    }

    fn slots_free(&self) -> usize {
        self.settings.call_slots.saturating_sub(self.calls.len())
    }

    /// One timer is outstanding: the earliest moment at which something could be done without an event.
    fn set_wake(&mut self, now: Time, next: Option<Time>) {
        let due = self.deadlines.first().map(|(due, _)| *due);
        let Some(at) = [next, due].into_iter().flatten().min() else { return };
        if self.wake.is_none_or(|(set, _)| at < set || set <= now) {
            self.token += 1;
            self.wake = Some((at, self.token));
            self.actions.push(Action::Wake { after: at - now, token: self.token });
        }
    }
}

impl Route {
    /// Whether this courier has too few messages here for a figure of its own (`LIGHT`).
    fn is_light(&mut self, now: Time, settings: &Settings) -> bool {
        self.demand.rate(now, cold_s(settings), 0.0) * cold_s(settings) < LIGHT
    }

    /// A part of a limit stays that part of it when it is raised or lowered.
    fn set_limit(&mut self, limit: f64) {
        self.rate *= limit / self.weight.max(0.1);
        self.weight = limit;
    }

    /// Calls a second that leave room for as many from each other courier; none where no limit is told.
    fn even_part(&self, settings: &Settings) -> f64 {
        match settings.weights {
            WeightSource::Silent => 0.0,
            _ => EVEN_PART * self.weight / couriers(settings),
        }
    }

    /// This courier's part of what all may send together, a second, so that a destination survives a return;
    /// `warmth` runs from 0 to 1 over a cold one. It goes by what was served here before, which adds up to
    /// what it can do (own demand does not), or by the even part. Trials, slow starts and last cuts
    /// share this one budget.
    fn fall_part(&mut self, now: Time, settings: &Settings, warmth: f64) -> f64 {
        let demand = self.demand.rate(now, cold_s(settings), 0.0);
        let light = LIGHT_FLOOR / shortest_deadline(settings);
        let least = if self.is_light(now, settings) { light } else { 0.0 };
        let own = demand.clamp(self.share, self.share * DEMAND_OF_SERVED);
        // Who tries for all has all of it: nobody else uses any while the spell lasts.
        let for_all = self.spell.is_some() && self.tries_for_all(now);
        let part = own.max(if for_all { self.weight } else { self.weight / couriers(settings) });
        let share = settings.rules.cold_from + (1.0 - settings.rules.cold_from) * warmth;
        let used = FALL_BUDGET_USED - FALL_BUDGET_UNEVEN * (1.0 - (FEW / couriers(settings)).min(1.0));
        (part * share * settings.rules.tip_multiple * used).max(least)
    }

    /// It serves again, or did then: a spell that was long enough makes for a slow start.
    fn back(&mut self, at: Time, blip: Duration) {
        if self.spell.take().is_some_and(|spell| spell.failed && at - spell.began > blip) {
            (self.returned, self.tokens) = (Some(at), 0.0);
        }
        if self.doubtful {
            self.filled = self.filled.max(at);
        }
        (self.evidence, self.cuts, self.doubtful) = (0, 0, false);
    }

    /// Shut until the told wait is over: the slow start begins there.
    fn shut(&mut self, now: Time, settings: &Settings, chance: f64) {
        let spread = if self.is_light(now, settings) { LIGHT_SPREAD } else { 1.0 };
        (self.spell, self.returned) = (None, Some(self.told_wait));
        (self.filled, self.tokens) = (self.told_wait, 1.0 - chance * spread);
    }

    /// Mean time between calls to one cold endpoint of several: its even part of the fall budget.
    fn cold_gap(&mut self, now: Time, settings: &Settings, warmth: f64) -> Duration {
        let part = self.fall_part(now, settings, warmth) / self.endpoints.len().max(1) as f64;
        Duration::from_secs_f64(part.max(0.01).recip())
    }

    /// Sets when the next trial call of a spell may go: at growing, jittered gaps, and by this courier's part
    /// of the fall budget. Where calls are answered at once, if with errors, the budget alone paces what may
    /// be repeated: no slot is pinned, some get through, and what waits behind growing gaps is late.
    fn plan_trial(&mut self, now: Time, settings: &Settings, chance: f64) {
        let own = Duration::from_secs_f64(self.fall_part(now, settings, 0.0).max(0.001).recip());
        let for_all = self.tries_for_all(now);
        let Some(spell) = &mut self.spell else { return };
        let (fall, (first, longest)) = (settings.rules.fall, TRIAL_GAPS_OF_FALL);
        let gap = growing_gap(fall, first, spell.trials).min(fall.mul_f64(longest));
        let jitter = TRIAL_JITTER_FROM + chance * (1.0 - TRIAL_JITTER_FROM);
        // Behind a told wait no gap runs out: who waits together must not come back together.
        let from = now.max(self.told_wait);
        // Where nobody answers no gap is shorter in the mean than the budget asks: 200 couriers add up.
        spell.next_risk = from + gap.mul_f64(jitter).max(own.mul_f64(0.5 + chance));
        // Who tries for all need not use up what many would: the first gap does for them.
        let own = if for_all { own.max(fall.mul_f64(first)) } else { own };
        spell.next_trial = if spell.answers { from + own.mul_f64(jitter) } else { spell.next_risk };
    }
}

/// Until when a keyed message may be resent that may first have run in an attempt sent then.
fn window_end(class: &Class, first: Time) -> Time {
    first + class.repeat_window.mul_f64(1.0 - WINDOW_MARGIN)
}

/// How long a message may be repeated that may first have run then.
fn window_left(now: Time, class: &Class, first: Option<Time>) -> Duration {
    match (class.effect, first) {
        (Effect::Keyed, Some(first)) => window_end(class, first) - now,
        _ => Duration::MAX,
    }
}
