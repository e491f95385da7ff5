//! All decisions of a courier: when a message is sent, to which endpoint, and when it gets its final answer.
//! Types, events and actions are in `interface.rs`, the state in `state.rs`.
//!
//! The common case: a message waits in the queue of its destination. A free call slot goes to the waiting
//! destination with the fewest calls in flight. A message whose attempt may have run is sent again with the
//! same idempotency key, within its dedup scope, repeat window and attempt limit, after exponential backoff
//! with full jitter. Everything else keeps overload and outages of partners from spreading.

use crate::interface::*;
use crate::state::*;
use std::cmp::Reverse;
use std::time::Duration;

mod evaluation;
mod handover;
mod indexing;
mod margins;
mod status;
#[cfg(test)]
mod tests;
mod time_left;
pub use status::{DestinationStatus, WaitReason};

// ---- Tuned constants. Units: `_AIMS` are aims of the message's class unless noted, `_WINDOWS` collapse
// windows, `_TOKENS` calls in a token bucket. For the collapse budget see `Route::collapse_budget`. ----

/// Backoff before the first repeat: short enough to fit several repeats into the aim.
const BACKOFF_BASE_AIMS: f64 = 0.05;
/// Maximum backoff: a repeat that waits longer rarely pays off.
const MAX_BACKOFF_AIMS: f64 = 0.7;
/// Last share of the repeat window in which nothing is resent, so that calls still arrive within the window.
const REPEAT_WINDOW_MARGIN_SHARE: f64 = 0.1;
/// Latency assumed before the first answer, in shortest aims of all classes.
const INITIAL_LATENCY_AIMS: f64 = 0.1;
/// Minimum weight of a new sample in the average latency; the first samples weigh more.
const MIN_LATENCY_GAIN: f64 = 0.15;
/// Timeout of a repeatable attempt, in latencies (mean plus deviation) of its route.
const TIMEOUT_LATENCIES: f64 = 4.0;
/// Lower bound of the timeout.
const MIN_TIMEOUT_AIMS: f64 = 0.5;
/// Upper bound of the timeout.
const MAX_TIMEOUT_AIMS: f64 = 3.0;
/// Stall timeout, after which an unanswered call counts as stalled, in latencies of its route.
const STALL_LATENCIES: f64 = 3.0;
/// Lower bound of the stall timeout in shortest aims of all classes: short pauses must not count.
const MIN_STALL_AIMS: f64 = 0.25;
/// Stall timeouts after which an unrepeatable call is cancelled: its messages are lost then.
const UNSAFE_CANCEL_STALLS: u32 = 2;
/// First gap between trial calls, before jitter. Further gaps double.
const FIRST_TRIAL_GAP_WINDOWS: f64 = 0.1;
/// Longest gap between trial calls, before jitter.
const MAX_TRIAL_GAP_WINDOWS: f64 = 0.6;
/// Demand of this courier counts towards its collapse budget up to this multiple of the rate served before.
const MAX_DEMAND_PER_SERVED: f64 = 1.5;
/// A courier with fewer messages than this per warm-up time has low traffic.
const LOW_TRAFFIC_MESSAGES: f64 = 2.0;
/// Calls per shortest deadline of all classes that low traffic may always make: with the small share of the
/// budget of one among many such couriers, its messages would expire without an attempt.
const LOW_TRAFFIC_CALLS_PER_DEADLINE: f64 = 0.5;
/// Range of the random token balance after a rejection at low traffic. A negative balance delays the next
/// call: there are many such couriers, and they must not return together. Without low traffic it is 1.
const LOW_TRAFFIC_SPREAD_TOKENS: f64 = 4.0;
/// The same after a restart during a possible outage.
const RESTART_SPREAD_TOKENS: f64 = 3.0;
/// Minimum jitter factor of trial gaps. Couriers whose calls failed together must not retry together.
const MIN_TRIAL_JITTER: f64 = 0.25;
/// An outage shorter than this is not followed by a slow start.
const SHORT_OUTAGE_WINDOWS: f64 = 0.6;
/// Evidence from which on a route is in an outage.
const OUTAGE_EVIDENCE: u32 = 6;
/// Evidence of a failed connection: one is enough.
const EVIDENCE_NO_CONNECTION: u32 = 6;
/// Evidence of a lost call or an error: two are enough, as a courier with low traffic sees few.
const EVIDENCE_LOST: u32 = 3;
/// Evidence of a rejection: single ones are normal.
const EVIDENCE_REJECTED: u32 = 1;
/// Share of the collapse budget that is used. Rejected calls, batches and random variation need the rest.
const COLLAPSE_BUDGET_USED: f64 = 0.8;
/// Share left unused in addition with many couriers: those with low traffic have their fair share regardless.
const COLLAPSE_BUDGET_RESERVE: f64 = 0.05;
/// Number of couriers up to which `COLLAPSE_BUDGET_RESERVE` is not needed.
const FEW_COURIERS: f64 = 4.0;
/// Factors of the rate for the first, second and further rejections since the last success. The last one
/// means the collapse budget: it may be an outage, or all couriers may have to slow down.
const RATE_CUT_FACTORS: [f64; 3] = [0.75, 0.5, 0.0];
/// Minimum time between two rate cuts.
const RATE_CUT_INTERVAL: Duration = Duration::from_millis(500);
/// Growth of the rate with each answer while it limits the calls, as a share of the rate, or of one call per
/// shortest aim if that is less. Rate cuts and growth balance at a share of rejected calls that does not
/// depend on the number of couriers.
const RATE_GROWTH: f64 = 0.25;
/// A rejection with a larger share of the advertised limit unused is not due to the limit.
const REJECTED_WITH_ROOM: f64 = 0.3;
/// Share of an advertised limit to leave unused.
const TARGET_REMAINING: f64 = 0.4;
/// Change of the allowed rate per deviation from that target.
const REMAINING_GAIN: f64 = 0.5;
/// Change of the base rate per second and deviation from that target. Reports are delayed: with faster
/// control all couriers would react too strongly to the same report.
const REMAINING_GROWTH_PER_S: f64 = 0.5;
/// Part of an equal share of the limit that each courier may use in any case: no rate cut except the last one
/// goes below it, as all couriers together do not exceed the limit with it.
const FAIR_SHARE_USED: f64 = 0.9;
/// Initial rate of a new route. If all couriers started at the whole limit, they would exceed it many times.
const INITIAL_FAIR_SHARES: f64 = 2.0;
/// Time over which recent calls are counted.
const RECENT_CALLS_S: f64 = 1.0;
/// Size of the token bucket in seconds of the allowed rate; at least one call.
const BURST_S: f64 = 0.4;
/// Part of a tenant's quota that this courier grants: more than a fair share, as traffic is uneven.
const QUOTA_FAIR_SHARES: f64 = 1.25;
/// Calls in flight by which an endpoint in another zone must be ahead of a local one to be chosen.
const REMOTE_ZONE_CALLS: usize = 2;
/// Weight in the priority of the worth lost by waiting for one more aim.
const WAITING_LOSS_WEIGHT: f64 = 2.0;
/// Share of the free slots that calls to a destination in an outage may use; at least one call.
const TRIAL_SLOT_SHARE: f64 = 0.25;
/// Share of `max_held` from which on messages of the least worth are shed or rejected.
const SHED_ABOVE_SHARE: f64 = 0.93;
/// Weight of a new sample in the risk that idle connections are dropped without notice.
const IDLE_DROP_GAIN: f64 = 0.15;
/// Risk from which on idle connections are closed before use by unrepeatable messages, which would be lost.
const MAX_IDLE_RISK_UNSAFE: f64 = 0.03;
/// Risk from which on they are closed before use by repeatable messages, which would only be late.
const MAX_IDLE_RISK_REPEATABLE: f64 = 0.25;
/// Multiple of the risk on new connections added to `MAX_IDLE_RISK_*`, as the estimates vary randomly.
const IDLE_DROP_BASELINES: f64 = 2.0;
/// A connection used more recently than this is not idle, in shortest aims: its losses have other causes.
const MIN_IDLE_AIMS: f64 = 0.1;
/// Connections idle for up to this share of the shortest idle time that lost a call are used.
const TRUSTED_IDLE_SHARE: f64 = 0.7;
/// Time after the last loss until an idle connection is tried again, in shortest aims of all classes.
const IDLE_DROP_CHECK_AIMS: f64 = 4.0;

// ---- Interface ----

impl Courier {
    /// A courier without endpoints and messages. All random decisions derive from `seed`.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let first = shortest_aim_seconds(&settings) * INITIAL_LATENCY_AIMS;
        let overall_latency = LatencyEstimate { mean: first, deviation: first, samples: 0 };
        Courier { settings, rng: fastrand::Rng::with_seed(seed), overall_latency, ..Courier::default() }
    }

    /// Records an event. Call [`Courier::decide`] after the last event of a batch.
    pub fn handle(&mut self, now: Time, event: Event) {
        self.mark_due_for(&event);
        match event {
            Event::Listed(listing) => self.on_listing(now, listing),
            Event::Suspended(id) => {
                if let Some(endpoint) = self.endpoints.get_mut(&id) {
                    endpoint.suspended = true;
                }
            }
            Event::Reinstated(id) => self.on_reinstated(now, id),
            Event::Accept(message) => self.on_accept(now, message),
            Event::Restored(message) => self.on_restored(now, message),
            Event::OutageRestored(record) => self.on_outage_restored(now, record),
            Event::AnswerAcknowledged(id) => {
                if let Some(message) = self.messages.get_mut(&id) {
                    message.unacknowledged = false;
                }
                self.forget_if_unused(now, id);
            }
            Event::TrialOwnerChanged(destination, owner) => {
                if let Some(route) = self.routes.get_mut(&RouteId(destination, None)) {
                    route.trial_owner = owner;
                }
            }
            Event::PeerReported(destination, report) => self.on_peer_report(now, destination, report),
            Event::ShutdownAt(at) => self.shutdown_at = Some(at),
            Event::Finished(finished) => self.on_finished(now, finished),
            Event::ClientGone(id) => self.close(now, id),
            Event::TimerExpired(token) => self.timer = self.timer.filter(|(_, set)| *set != token),
            Event::FirstByte(_) | Event::Probed { .. } | Event::Note { .. } => {}
        }
    }

    /// Suggested delay before a client enqueues another message for this destination: the backlog has to be
    /// sent first, and the retry-after time of the destination has to pass.
    pub fn retry_after(&mut self, now: Time, destination: DestinationId) -> Duration {
        let aim = Duration::from_secs_f64(shortest_aim_seconds(&self.settings));
        let waiting = self.queues.open_messages(destination) as f64;
        let routes: Vec<RouteId> = self.routes.range(routes_of(destination)).map(|(id, _)| *id).collect();
        let rate: f64 = routes.iter().map(|id| self.allowed_rate(now, *id)).sum();
        let wait = routes.iter().map(|id| self.routes[id].retry_after_until - now).min().unwrap_or_default();
        // `allowed_rate` may have ended a slow start.
        self.due.mark_outage_changed(destination);
        let backlog = Duration::from_secs_f64((waiting / rate.max(0.001)).min(aim.as_secs_f64()));
        wait.max(backlog).clamp(aim.mul_f64(BACKOFF_BASE_AIMS), aim.mul_f64(MAX_BACKOFF_AIMS))
    }

    /// Appends the actions that follow from the events recorded so far.
    pub fn decide(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.answer_expired(now);
        self.shed(now);
        let mut next = self.mark_stalled_calls(now);
        self.cancel_stalled_call(now);
        self.fill_free_slots(now, &mut next);
        self.set_timer(now, next);
        actions.append(&mut self.actions);
    }

    // ---- Events ----

    fn on_listing(&mut self, now: Time, listing: Listing) {
        let (entries, mut removed): (Vec<Endpoint>, Vec<EndpointId>) = match listing {
            Listing::Failed => return,
            Listing::Changes(entries) => (entries, Vec::new()),
            Listing::Whole(entries) => {
                // Endpoints that are not in a complete listing are gone.
                self.endpoints.values_mut().for_each(|endpoint| endpoint.entry.mode = Mode::Gone);
                (entries, self.endpoints.keys().copied().collect())
            }
        };
        removed.extend(entries.iter().map(|entry| entry.id));
        for entry in entries {
            if entry.mode == Mode::Gone && !self.endpoints.contains_key(&entry.id) {
                continue;
            }
            let limit = self.listed_limit(&entry);
            let latency = self.overall_latency;
            let call_per_aim = shortest_aim_seconds(&self.settings).recip();
            let rate = match self.settings.weight_source {
                WeightSource::Unspecified => limit,
                _ => {
                    (limit * INITIAL_FAIR_SHARES / courier_count(&self.settings)).max(call_per_aim).min(limit)
                }
            };
            let max_batch =
                self.settings.kinds.get(usize::from(entry.kind.0)).map_or(1, |k| k.max_batch.max(1));
            let route_id = self.route_of(&entry);
            // An endpoint that moved to another destination leaves its previous route.
            let known = self.endpoints.get(&entry.id);
            let previous = known.map(|known| self.route_of(&known.entry)).filter(|id| *id != route_id);
            if let Some(route) = previous.and_then(|previous| self.routes.get_mut(&previous)) {
                route.endpoints.retain(|endpoint| *endpoint != entry.id);
            }
            let new_route = || Route::new(now, limit, rate, TARGET_REMAINING, latency);
            let route = self.routes.entry(route_id).or_insert_with(new_route);
            route.max_batch = max_batch;
            // An advertised limit stays valid until the listing changes.
            if route.listed_limit != limit {
                route.listed_limit = limit;
                route.set_limit(limit);
            }
            if let Some(known) = self.endpoints.get_mut(&entry.id) {
                known.entry = entry;
                if previous.is_some() {
                    route.endpoints.push(known.entry.id);
                }
                continue;
            }
            route.endpoints.push(entry.id);
            self.endpoints.insert(entry.id, EndpointState::new(entry, self.rng.u32(..)));
        }
        let is_unused = |e: &EndpointState| e.entry.mode == Mode::Gone && e.calls_in_flight == 0;
        removed.retain(|id| self.endpoints.get(id).is_some_and(is_unused));
        removed.into_iter().for_each(|id| self.forget_endpoint(id));
    }

    /// Forgets an endpoint that is gone and has no calls in flight. The state of its destination is kept,
    /// unless the endpoint was a route of its own.
    fn forget_endpoint(&mut self, id: EndpointId) {
        let Some(endpoint) = self.endpoints.remove(&id) else { return };
        let route_id = self.route_of(&endpoint.entry);
        if let Some(route) = self.routes.get_mut(&route_id) {
            route.endpoints.retain(|endpoint| *endpoint != id);
            if route_id.1.is_some() {
                self.routes.remove(&route_id);
            }
        }
    }

    /// A reinstated endpoint is cold. If its route has warm endpoints, it gets a fair part of the collapse
    /// budget and they get the other calls; otherwise the whole route makes a slow start.
    fn on_reinstated(&mut self, now: Time, id: EndpointId) {
        let Some(route_id) = self.endpoints.get(&id).map(|e| self.route_of(&e.entry)) else { return };
        let Some(endpoint) = self.endpoints.get_mut(&id).filter(|a| a.suspended) else { return };
        let Some(route) = self.routes.get_mut(&route_id) else { return };
        endpoint.suspended = false;
        endpoint.cold_since = Some(now);
        endpoint.failures = 0;
        // Random, as all couriers may learn of it at the same time.
        let interval = route.cold_endpoint_interval(now, &self.settings, 0.0);
        endpoint.avoid_until = now + interval.mul_f64(self.rng.f64());
        let is_warm = |e: &EndpointState| e.allows_calls() && e.cold_since.is_none();
        if !route.endpoints.iter().filter_map(|id| self.endpoints.get(id)).any(is_warm) {
            route.slow_start_since = Some(now);
            route.refilled_at = now;
            route.tokens = 0.0;
        }
    }

    fn on_accept(&mut self, now: Time, accepted: Accepted) {
        let Some(class) = self.settings.classes.get(usize::from(accepted.class.0)) else { return };
        let id = accepted.id;
        let enqueued_at = accepted.deadline - class.deadline;
        // A keyed message of a courier that died may have run there at any time since it was enqueued. If
        // that is in the future, the clock was set back and the time is unknown.
        let may_have_run = accepted.from_dead_courier && class.effect == Effect::Keyed;
        let ran_at = Some(enqueued_at).filter(|at| *at <= now).unwrap_or(Time::ZERO);
        if let (true, Some(key)) = (class.in_order, accepted.key) {
            self.key_queues.entry(key).or_default().insert((self.accepted_count, id));
        }
        self.deadlines.insert((accepted.deadline, id));
        self.queues.add_message(accepted.destination);
        self.open_messages += 1;
        for (_, route) in self.routes.range_mut(routes_of(accepted.destination)) {
            route.demand.add_and_rate(now, warm_up_seconds(&self.settings), 1.0);
        }
        let over_quota = self.is_over_quota(now, accepted.tenant);
        let mut message = Message::new(now, accepted, self.accepted_count, enqueued_at, over_quota);
        message.may_have_run = may_have_run.then_some((ran_at, None));
        self.accepted_count += 1;
        let end = self.last_send(&message);
        self.messages.insert(id, message);
        self.reindex(now, id);
        // A time in the past has it answered at once: its repeat window may be over already.
        self.deadlines.extend(end.map(|end| (end.max(now), id)));
    }

    /// Continues a message after a restart. Calls of the previous process ended by now at the latest, so
    /// order keys are blocked for the settling time from now on.
    fn on_restored(&mut self, now: Time, restored: Restored) {
        let id = restored.accepted.id;
        let blocked_until = now + self.settings.rules.order_settle;
        if self.all_keys_blocked_until != blocked_until {
            self.all_keys_blocked_until = blocked_until;
            self.reindex_first_of_all_keys(now);
        }
        self.on_accept(now, restored.accepted);
        let Some(message) = self.messages.get_mut(&id) else { return };
        message.attempts = restored.attempts;
        message.may_have_run = message.may_have_run.or(restored.may_have_run);
        if restored.answered {
            message.unacknowledged = true;
            self.close(now, id);
        } else if let Some(end) = self.messages.get(&id).and_then(|m| self.last_send(m)) {
            self.deadlines.insert((end.max(now), id));
        }
        self.reindex(now, id);
    }

    fn on_outage_restored(&mut self, now: Time, record: OutageRecord) {
        let (settings, random) = (&self.settings, self.rng.f64());
        let Some(route) = self.routes.get_mut(&RouteId(record.destination, record.endpoint)) else { return };
        route.last_success = record.since;
        route.outage_evidence = record.evidence;
        // The record does not say what the evidence was. The next success resets it.
        route.unanswered_call = record.evidence >= EVIDENCE_LOST;
        route.slow_start_since = record.slow_start_since;
        route.served_rate = record.served_rate;
        // Random, as couriers that restart together must not each send a call at once.
        route.tokens = if record.evidence > 0 { 0.5 - random * RESTART_SPREAD_TOKENS } else { 0.0 };
        if let Some(calls_lost) = record.calls_lost {
            let (began, confirmed) = (record.since, true);
            route.outage = Some(OutageState { began, confirmed, calls_lost, ..OutageState::default() });
            route.schedule_trial(now, settings, random);
        }
    }

    /// Treats the result of another courier's trial call like its own, unless it has newer results.
    fn on_peer_report(&mut self, now: Time, destination: DestinationId, report: PeerReport) {
        let (settings, random) = (&self.settings, self.rng.f64());
        let short_outage = settings.rules.collapse_window.mul_f64(SHORT_OUTAGE_WINDOWS);
        let Some(route) = self.routes.get_mut(&RouteId(destination, None)) else { return };
        match report {
            PeerReport::RetryAfter(until) if until - now > short_outage => {
                route.retry_after_until = route.retry_after_until.max(until);
                route.wait_for_retry_after(now, settings, random);
            }
            PeerReport::RetryAfter(_) => {}
            PeerReport::Served(at) => {
                if route.outage.as_ref().is_some_and(|outage| outage.began < at) {
                    route.end_outage(at, short_outage);
                    route.last_success = at;
                }
            }
        }
    }

    /// Whether a tenant exceeds this courier's part of its quota. The part is fixed, as it is not known how
    /// much of the quota the other couriers use.
    fn is_over_quota(&mut self, now: Time, tenant: TenantId) -> bool {
        let Some(quota) = self.settings.tenants.get(tenant.0 as usize).map(|t| t.quota) else { return false };
        let part = (QUOTA_FAIR_SHARES / courier_count(&self.settings)).min(1.0);
        let (left, since) = self.quotas.entry(tenant).or_insert((quota * part, now));
        *left = (*left + (now - *since).as_secs_f64() * quota * part).min(quota * part);
        *since = now;
        let is_over = *left < 1.0;
        if !is_over {
            *left -= 1.0;
        }
        is_over
    }

    fn on_finished(&mut self, now: Time, finished: Finished) {
        // A retry-after time applies whichever message of a call reports it, even if that message is gone.
        if let Outcome::Rejected(Some(wait)) = finished.outcome {
            let route = self.endpoints.get(&finished.endpoint).map(|e| self.route_of(&e.entry));
            if let Some(route) = route.and_then(|id| self.routes.get_mut(&id)) {
                route.retry_after_until = route.retry_after_until.max(now + wait);
            }
        }
        let is_conclusive = !self.ran_out_of_time(&finished);
        let Some(message) = self.messages.get_mut(&finished.message) else { return };
        let Some(call_id) = message.in_flight_call.take() else { return };
        let Some(call) = self.calls.get_mut(&call_id) else { return };
        let class = &self.settings.classes[usize::from(message.accepted.class.0)];
        let never_ran = matches!(
            finished.outcome,
            Outcome::Rejected(_) | Outcome::ConnectFailed | Outcome::NotSent | Outcome::AttemptsExhausted
        );
        if finished.outcome == Outcome::AttemptsExhausted {
            message.attempts = self.settings.max_attempts;
        }
        if !never_ran && message.may_have_run.is_none() {
            message.may_have_run = Some((call.sent_at, call.zone.known()));
        }
        // At most half of the remaining repeat window, so that the repeat fits into a short one.
        let window = resend_time_left(now, class, message.may_have_run.map(|(first, _)| first));
        let gap = exponential_backoff(class.aim, BACKOFF_BASE_AIMS, message.attempts)
            .min(class.aim.mul_f64(MAX_BACKOFF_AIMS).min(window / 2));
        message.not_before = now + gap.mul_f64(self.rng.f64());
        // An attempt that may still be running blocks its order key for a while.
        let unsettled = !never_ran && !matches!(finished.outcome, Outcome::Ok | Outcome::Error);
        if let (true, true, Some(key)) = (unsettled, class.in_order, message.accepted.key) {
            self.keys_blocked_until.retain(|_, until| *until > now);
            self.keys_blocked_until.insert(key, now + margins::key_block_time(&self.settings));
        }
        // Only the last outcome of a call updates the route, as its messages share their fate.
        call.pending_outcomes -= 1;
        if call.pending_outcomes == 0 {
            if let Some(call) = self.calls.remove(&call_id) {
                self.end_call(now, call_id, call, &finished, is_conclusive);
            }
        }
        if finished.complete {
            if finished.outcome == Outcome::Ok && !self.is_certainly_in_time(now, finished.message) {
                self.await_acknowledgement(finished.message);
            }
            self.close(now, finished.message);
        } else if let Some(end) = self.messages.get(&finished.message).and_then(|m| self.last_send(m)) {
            // A message that can never be sent again is answered at once: it would only take up room and
            // block the messages behind it in its order key.
            self.deadlines.insert((end.max(now), finished.message));
        }
        self.reindex(now, finished.message);
        self.forget_if_unused(now, finished.message);
    }

    /// Frees the slot of a call. A conclusive outcome updates endpoint, idle drop estimate and route.
    fn end_call(&mut self, now: Time, id: u64, call: Call, finished: &Finished, is_conclusive: bool) {
        if let Some(route) = self.routes.get_mut(&call.route) {
            route.calls_in_flight.remove(&id);
        }
        let lost = matches!(finished.outcome, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled);
        // Lost because its idle connection had probably been dropped: says nothing about the endpoint.
        let dropped = lost
            && self.idle_drops.risk > 0.0
            && call.connection_idle.is_some_and(|idle| idle >= self.idle_drops.shortest_lost_idle);
        if is_conclusive && !(lost && call.stalled) {
            self.update_idle_drops(now, call.connection_idle, lost, finished.outcome == Outcome::Ok);
        }
        let rules = &self.settings.rules;
        if let Some(endpoint) = self.endpoints.get_mut(&call.endpoint) {
            endpoint.calls_in_flight = endpoint.calls_in_flight.saturating_sub(1);
            match finished.outcome {
                Outcome::Ok => (endpoint.last_used, endpoint.failures) = (Some(now), 0),
                Outcome::Rejected(_) => endpoint.last_used = Some(now),
                _ if dropped || !is_conclusive => {}
                Outcome::ConnectFailed | Outcome::Timeout | Outcome::Reset | Outcome::Error => {
                    endpoint.failures += 1;
                    let window = rules.collapse_window;
                    let gap = exponential_backoff(window, FIRST_TRIAL_GAP_WINDOWS, endpoint.failures);
                    endpoint.avoid_until = now + gap.min(rules.warm_up).mul_f64(self.rng.f64());
                }
                Outcome::Malformed | Outcome::Cancelled | Outcome::NotSent | Outcome::AttemptsExhausted => {}
            }
            if endpoint.calls_in_flight == 0 && endpoint.entry.mode == Mode::Gone {
                self.forget_endpoint(call.endpoint);
            }
        }
        if !dropped && is_conclusive {
            self.update_route(now, finished, &call);
        }
    }

    /// A loss on an idle connection raises the risk that such connections are dropped without notice, an
    /// answer on one that was idle for as long lowers it. Losses on other connections give the baseline risk.
    fn update_idle_drops(&mut self, now: Time, idle: Option<Duration>, lost: bool, answered: bool) {
        let Some(idle) =
            idle.filter(|idle| idle.as_secs_f64() > shortest_aim_seconds(&self.settings) * MIN_IDLE_AIMS)
        else {
            if lost || answered {
                let baseline = &mut self.idle_drops.baseline_risk;
                *baseline += IDLE_DROP_GAIN * (f64::from(u8::from(lost)) - *baseline);
            }
            return;
        };
        let drops = &mut self.idle_drops;
        if lost {
            drops.shortest_lost_idle =
                if drops.risk > 0.0 { drops.shortest_lost_idle.min(idle) } else { idle };
            drops.risk += IDLE_DROP_GAIN * (1.0 - drops.risk);
            drops.next_check =
                now + Duration::from_secs_f64(shortest_aim_seconds(&self.settings) * IDLE_DROP_CHECK_AIMS);
        } else if answered && idle >= drops.shortest_lost_idle {
            drops.risk -= IDLE_DROP_GAIN * drops.risk;
            drops.next_check = now;
            if drops.risk < MAX_IDLE_RISK_UNSAFE {
                drops.risk = 0.0;
            }
        }
    }

    // ---- Route health and rate ----

    /// Updates limit, rate, latency and outage state of a route with the outcome of a call.
    fn update_route(&mut self, now: Time, finished: &Finished, call: &Call) {
        let (settings, random) = (&self.settings, self.rng.f64());
        let waiting = self.queues.open_messages(call.route.0) as f64;
        let Some(route) = self.routes.get_mut(&call.route) else { return };
        let report = finished.limit_report.filter(|report| report.limit > 0.0);
        if let Some(report) = report {
            route.set_limit(report.limit);
            route.remaining_share = report.remaining_share.clamp(0.0, 1.0);
            let elapsed = (now - route.limit_reported_at).as_secs_f64().min(1.0);
            let growth = REMAINING_GROWTH_PER_S * elapsed * (route.remaining_share - TARGET_REMAINING);
            if route.rate_bound || growth < 0.0 {
                route.rate *= 1.0 + growth;
            }
            if finished.outcome == Outcome::Ok {
                route.rate = route.rate.max(route.fair_share(settings));
            }
            route.limit_reported_at = now;
        }
        // The rate of one courier never exceeds the limit of all.
        if settings.weight_source != WeightSource::Unspecified {
            route.rate = route.rate.min(route.limit);
        }
        // A timeout is a latency sample too: otherwise timeouts would stay too short while the partner is
        // slow, and each repeat would arrive while the first call is still running.
        if matches!(finished.outcome, Outcome::Ok | Outcome::Timeout | Outcome::Cancelled) {
            if route.latency.samples == 0 {
                route.latency = LatencyEstimate { samples: 0, ..self.overall_latency };
            }
            route.latency.add_sample(finished.latency, MIN_LATENCY_GAIN);
        }
        // A lost call is no evidence if the route has served a call since it was sent. Errors and resets are
        // none either while another endpoint works. Missing answers are: a hang mostly affects all endpoints.
        let is_healthy = |e: &EndpointState| e.allows_calls() && e.failures == 0;
        let no_success_since = call.sent_at >= route.last_success;
        let one_healthy = route.endpoints.iter().filter_map(|id| self.endpoints.get(id)).any(is_healthy);
        let route_failing = no_success_since && !one_healthy;
        let short_outage = settings.rules.collapse_window.mul_f64(SHORT_OUTAGE_WINDOWS);
        match finished.outcome {
            Outcome::Ok => {
                self.overall_latency.add_sample(finished.latency, MIN_LATENCY_GAIN);
                let served = route.served_calls.rate(now, warm_up_seconds(settings));
                let recovering = route.outage.is_some() || route.slow_start_since.is_some();
                route.served_rate = if recovering { served.max(route.served_rate) } else { served };
                route.served_calls.count += 1.0;
                // After some time without a success the destination may be cold and gets a slow start.
                // Counting from the last success covers couriers that saw only the end of an outage.
                route.end_outage(now, short_outage);
                if route.rate_bound && report.is_none() {
                    route.rate += RATE_GROWTH * route.rate.min(shortest_aim_seconds(settings).recip());
                }
                route.last_success = now;
                return;
            }
            // All couriers that were rejected with a retry-after time would return at once. The slow start
            // begins at that time, with a random delay, and no tokens are saved up before.
            Outcome::Rejected(Some(wait)) if wait > short_outage => {
                route.wait_for_retry_after(now, settings, random);
                return;
            }
            Outcome::Rejected(_) => {
                // Rejected with the limit not used up: the destination is closed, or hangs with a full queue.
                let has_room = report.is_some_and(|report| report.remaining_share > REJECTED_WITH_ROOM);
                route.outage_evidence += if has_room { EVIDENCE_LOST } else { EVIDENCE_REJECTED };
                if now - route.last_rate_cut > RATE_CUT_INTERVAL {
                    let cut = RATE_CUT_FACTORS[route.rate_cuts.min(RATE_CUT_FACTORS.len() - 1)];
                    route.rate_cuts += 1;
                    let fair_share = route.fair_share(settings);
                    let needed_rate = if report.is_some() {
                        // Little more than the fair share, as every other courier has a backlog too.
                        fair_share * (1.0 + 1.0 / waiting.max(1.0))
                    } else {
                        // Includes the backlog, or a burst would expire while it waits at the usual rate. If
                        // one call can carry the backlog, one call per aim is enough.
                        let call_per_aim = shortest_aim_seconds(settings).recip();
                        let single = route.max_batch <= 1;
                        let (backlog, max) = if single { (waiting, f64::MAX) } else { (0.0, call_per_aim) };
                        let sent = route.sent_calls.rate(now, RECENT_CALLS_S).min(max);
                        let demand = route.demand.rate(now, warm_up_seconds(settings));
                        sent.max(demand)
                            .max(route.limit / courier_count(settings))
                            .max(backlog * call_per_aim)
                    };
                    let budget = route.collapse_budget(now, settings, 0.0);
                    let min = if cut > 0.0 { budget.max(fair_share) } else { budget };
                    route.rate = (cut * route.rate.min(needed_rate)).max(min.min(route.rate));
                    route.last_rate_cut = now;
                }
                // Random, as couriers that were rejected together would otherwise return together.
                let spread =
                    if route.has_low_traffic(now, settings) { LOW_TRAFFIC_SPREAD_TOKENS } else { 1.0 };
                route.tokens = route.tokens.min(0.5 - random * spread);
                // No tokens are saved up before the retry-after time, which ends for all couriers at once.
                route.refilled_at = route.refilled_at.max(route.retry_after_until);
            }
            Outcome::Error | Outcome::Reset if route_failing => route.outage_evidence += EVIDENCE_LOST,
            // The endpoint is up, but may be failing most calls.
            Outcome::Malformed if no_success_since => route.outage_evidence += EVIDENCE_REJECTED,
            Outcome::ConnectFailed if route_failing => route.outage_evidence += EVIDENCE_NO_CONNECTION,
            Outcome::ConnectFailed if no_success_since => route.outage_evidence += EVIDENCE_REJECTED,
            Outcome::Timeout | Outcome::Cancelled if no_success_since => {
                route.outage_evidence += EVIDENCE_LOST;
                route.unanswered_call = true;
            }
            _ => {}
        }
        let needed = if route.outage.is_some() { EVIDENCE_LOST } else { OUTAGE_EVIDENCE };
        if route.outage_evidence >= needed {
            let began = route.last_success;
            let outage = route.outage.get_or_insert(OutageState { began, ..OutageState::default() });
            outage.confirmed = true;
            outage.calls_lost |= !matches!(finished.outcome, Outcome::Rejected(_));
            outage.fails_fast = match finished.outcome {
                Outcome::Error => true,
                Outcome::ConnectFailed => finished.latency < settings.connect_timeout / 2,
                _ => false,
            };
            // A slow start continues after a short outage and starts over after a long one.
            route.schedule_trial(now, settings, random);
        }
    }

    /// Marks the calls that have become stalled. Returns when the next call becomes stalled.
    fn mark_stalled_calls(&mut self, now: Time) -> Option<Time> {
        let mut next = None;
        for id in self.calls.iter().filter(|(_, call)| !call.stalled).map(|(id, _)| *id).collect::<Vec<_>>() {
            let at = self.calls[&id].sent_at + self.stall_timeout(self.calls[&id].route);
            if at > now {
                keep_earliest(&mut next, Some(at));
            } else if let Some(call) = self.calls.get_mut(&id) {
                call.stalled = true;
                let idle = call.connection_idle;
                self.update_idle_drops(now, idle, true, false);
            }
        }
        next
    }

    /// Time without an answer after which a call on a route counts as stalled.
    fn stall_timeout(&self, id: RouteId) -> Duration {
        let expected = self.routes.get(&id).map_or(0.0, |route| route.latency.scaled(STALL_LATENCIES));
        Duration::from_secs_f64(expected.max(shortest_aim_seconds(&self.settings) * MIN_STALL_AIMS))
    }

    /// When a route may get its next call; `None` if not before some call in flight ends. Also refills its
    /// tokens, and starts a suspected outage if its calls have stalled.
    fn next_call_at(&mut self, now: Time, id: RouteId) -> Option<Time> {
        let stall_timeout = self.stall_timeout(id);
        let free_slots = self.free_slots();
        let rate = self.allowed_rate(now, id);
        // A call that stalled while others were answered was lost with its connection. It says nothing about
        // the route and must not delay trial calls until it times out.
        let route = self.routes.get(&id)?;
        let (mut oldest, mut unanswered, mut stalled, mut live) = (None, 0, 0, 0);
        for call in route.calls_in_flight.iter().filter_map(|call| self.calls.get(call)) {
            live += usize::from(!call.stalled);
            if call.sent_at + stall_timeout >= route.last_success {
                oldest = oldest.or(Some(call.sent_at));
                unanswered += 1;
                stalled += usize::from(call.stalled);
            }
        }
        let route = self.routes.get_mut(&id)?;
        if route.retry_after_until > now {
            return Some(route.retry_after_until);
        }
        if self.shutdown_at.is_some_and(|end| now + stall_timeout > end) {
            return None;
        }
        // A hung or dead destination does not answer at all: an outage is suspected after the stall timeout,
        // long before the calls time out, so that few calls are risked.
        if let (None, Some(sent)) = (&route.outage, oldest) {
            if now - sent.max(route.last_success) > stall_timeout {
                let (began, next_trial) = (route.last_success.min(sent), now + stall_timeout);
                let outage = OutageState { began, next_trial, calls_lost: true, ..OutageState::default() };
                route.outage = Some(outage);
            }
        }
        if let Some(outage) = &mut route.outage {
            if let TrialOwner::OtherCourier(until) = route.trial_owner {
                if now < until {
                    return Some(until);
                }
            }
            // Unanswered trial calls must not accumulate and occupy the slots of healthy destinations. But a
            // single lost call must not delay the other trial calls until it times out.
            let max_trials = |slots: usize| ((slots as f64 * TRIAL_SLOT_SHARE) as usize).max(1);
            let is_allowed = unanswered - stalled < max_trials(free_slots)
                && unanswered < max_trials(self.settings.call_slots);
            outage.repeatable_only = unanswered >= max_trials(free_slots);
            return is_allowed.then_some(outage.next_trial);
        }
        // Bulkhead: no destination has more calls in flight than there are free slots. Stalled calls do not
        // count: a few lost calls would otherwise block their destinations while slots are free.
        if live > 0 && live >= free_slots.max(1) {
            return None;
        }
        let burst = if route.slow_start_since.is_some() { 1.0 } else { (rate * BURST_S).max(1.0) };
        let elapsed = (now - route.refilled_at).as_secs_f64();
        route.tokens = (route.tokens + elapsed * rate).min(burst);
        route.refilled_at = now;
        route.rate_bound = route.tokens < 1.0;
        if route.rate_bound {
            return Some(now + Duration::from_secs_f64(((1.0 - route.tokens) / rate).clamp(0.001, 10.0)));
        }
        Some(now)
    }

    /// Calls a second that this courier may currently send to a route. Also ends a slow start that is over.
    fn allowed_rate(&mut self, now: Time, id: RouteId) -> f64 {
        let Some(route) = self.routes.get_mut(&id) else { return 1.0 };
        let adjustment = 1.0 + REMAINING_GAIN * (route.remaining_share - TARGET_REMAINING);
        let Some(slow_start_since) = route.slow_start_since else {
            let rate = route.rate * adjustment;
            // A single lost call may be all that a courier with low traffic sees of an outage.
            if route.unanswered_call {
                return route.collapse_budget(now, &self.settings, 0.0).min(rate);
            }
            return rate;
        };
        let warmth = (now - slow_start_since).as_secs_f64() / warm_up_seconds(&self.settings);
        if warmth >= 1.0 {
            // No tokens are saved up for the normal rate, as the slow start ends for all couriers at once.
            route.slow_start_since = None;
            route.refilled_at = now;
            return route.rate;
        }
        route.collapse_budget(now, &self.settings, warmth).min(route.rate)
    }

    // ---- Selection and sending ----

    /// Assigns each free slot to the ready destination with the fewest live calls; among equals, to the one
    /// whose best message has the highest value. Lowers `next` to the time when another may be ready.
    fn fill_free_slots(&mut self, now: Time, next: &mut Option<Time>) {
        self.reindex_outdated(now);
        let mut ready: Vec<ReadyDestination> = Vec::new();
        if self.free_slots() > 0 {
            for destination in self.due.due_at(now) {
                ready.extend(self.evaluate(now, destination, next));
            }
            keep_earliest(next, self.due.next_due());
        }
        while self.free_slots() > 0 {
            let order = |a: &ReadyDestination, b: &ReadyDestination| {
                a.live_calls.cmp(&b.live_calls).then(b.value.total_cmp(&a.value))
            };
            let Some(best) = (0..ready.len()).min_by(|a, b| order(&ready[*a], &ready[*b])) else { break };
            // Evaluated again, as the calls sent since then have taken slots.
            let destination = ready.swap_remove(best).destination;
            let Some(candidate) = self.candidate(now, destination, next) else { continue };
            self.send_call(now, candidate.route, candidate.endpoint, candidate.message);
            ready.extend(self.ready_destination(now, destination, next));
        }
    }

    /// Calls in flight to a destination, without stalled ones: lost calls must not cost it the next slot.
    fn live_calls_to(&self, destination: DestinationId) -> usize {
        let calls = self.routes.range(routes_of(destination)).flat_map(|(_, route)| &route.calls_in_flight);
        calls.filter(|id| self.calls.get(id).is_some_and(|call| !call.stalled)).count()
    }

    /// The best message of a destination that may be sent now. If there is none, lowers `next` to the time
    /// when there may be one.
    fn candidate(
        &mut self,
        now: Time,
        destination: DestinationId,
        next: &mut Option<Time>,
    ) -> Option<Candidate> {
        #[cfg(test)]
        tests::note_examined();
        for route in self.routes.range(routes_of(destination)).map(|(id, _)| *id).collect::<Vec<_>>() {
            let next_call = self.next_call_at(now, route);
            if next_call.is_none_or(|at| at > now) {
                keep_earliest(next, next_call);
                continue;
            }
            let Some((message, priority)) = self.best_message(now, route, next) else { continue };
            let Some(endpoint) = self.select_endpoint(now, route, message) else { continue };
            let slot_seconds = self.routes[&route].latency.mean.max(0.001);
            return Some(Candidate { route, endpoint, message, value: priority / slot_seconds });
        }
        None
    }

    /// The message with the highest priority that may be sent now, and its priority. In an outage, messages
    /// that fit a trial call come first; others are risked only at the slower `next_unrepeatable_trial`.
    /// Messages with too little time left for an answer come last, or a client that enqueues many of them
    /// would keep the messages of all others from being sent.
    fn best_message(&self, now: Time, route: RouteId, next: &mut Option<Time>) -> Option<(MessageId, f64)> {
        let outage = self.routes.get(&route).and_then(|r| r.outage.as_ref());
        let queue = self.queues.get(route.0)?;
        keep_earliest(next, queue.next_ready_at());
        let mut best: Option<(bool, bool, f64, Reverse<u64>, MessageId)> = None;
        for (group, rank) in queue.best_of_groups() {
            let fit = outage.is_none() || group.fits_trial;
            if !fit && outage.is_some_and(|outage| outage.repeatable_only) {
                continue;
            }
            if let Some(at) = outage.map(|o| o.next_unrepeatable_trial).filter(|at| !fit && *at > now) {
                keep_earliest(next, Some(at));
                continue;
            }
            let Some(message) = self.messages.get(&rank.message) else { continue };
            // Among equals the one that was accepted first.
            let found =
                (fit, group.has_time, self.priority(now, message), Reverse(rank.ordinal), rank.message);
            if best.is_none_or(|best| found > best) {
                best = Some(found);
            }
        }
        best.map(|(_, _, priority, _, id)| (id, priority))
    }

    /// Whether a message can serve as a trial call: it is repeatable and has attempts to spare.
    fn fits_trial(&self, message: &Message) -> bool {
        // Trial calls use up attempts: half of them are kept for the time after the outage.
        message.attempts * 2 <= self.settings.max_attempts && self.is_repeatable(message)
    }

    fn class(&self, message: &Message) -> &Class {
        #[cfg(test)] // counts the work per decision
        tests::note_examined();
        &self.settings.classes[usize::from(message.accepted.class.0)]
    }

    fn is_repeatable(&self, message: &Message) -> bool {
        self.class(message).effect != Effect::Unsafe
    }

    /// When a message may be sent; `None` if never or not before some event. Every send passes this check.
    fn sendable_at(&self, now: Time, message: &Message) -> Option<Time> {
        let is_too_late = || self.last_send(message).is_some_and(|end| now > end);
        if message.closed || message.in_flight_call.is_some() || is_too_late() {
            return None;
        }
        let class = self.class(message);
        let mut at = message.not_before;
        if let (true, Some(key)) = (class.in_order, message.accepted.key) {
            if self.key_queues.get(&key)?.first()?.1 != message.accepted.id {
                return None;
            }
            at = at.max(self.all_keys_blocked_until);
            // An attempt that may still be running blocks later messages of its key, not its own message.
            if message.attempts == 0 {
                at = at.max(self.keys_blocked_until.get(&key).copied().unwrap_or(Time::ZERO));
            }
        }
        Some(at)
    }

    /// Worth that can still be earned, weighted with the worth that waiting would lose: on time goes before
    /// late, about to be late before fresh, and about to expire before messages that can wait.
    fn priority(&self, now: Time, message: &Message) -> f64 {
        let (age, aim) = ((now - message.enqueued_at).as_secs_f64(), self.class(message).aim.as_secs_f64());
        let (now_share, ahead) = (self.worth_share(message, age), self.worth_share(message, age + aim));
        self.full_worth(message) * ((1.0 + WAITING_LOSS_WEIGHT) * now_share - WAITING_LOSS_WEIGHT * ahead)
    }

    /// Worth of a message that is delivered within its aim.
    fn full_worth(&self, message: &Message) -> f64 {
        let share = if message.over_quota { self.settings.over_quota_worth } else { 1.0 };
        self.class(message).worth * share
    }

    /// Share of its full worth that a message earns when sent at an age in seconds. Never increases with age.
    fn worth_share(&self, message: &Message, age: f64) -> f64 {
        // A repeat is worth nothing once its repeat window is over.
        let last = self.last_send(message).map(|end| (end - message.enqueued_at).as_secs_f64());
        let class = self.class(message);
        let (aim, span) = (class.aim.as_secs_f64(), class.deadline.as_secs_f64());
        if age > span || last.is_some_and(|end| age > end) {
            return 0.0;
        }
        match self.settings.decay {
            Decay::Linear => {
                let late = ((age - aim) / (span - aim).max(0.001)).max(0.0);
                1.0 - (1.0 - class.late_share) * late
            }
            Decay::Halving => (1.0 - age / aim).min(0.0).exp2().max(class.late_share),
        }
    }

    /// The endpoint of a route with the fewest calls in flight, failing ones last, within the dedup scope of
    /// a repeat. Ties are broken by a random preference, or all couriers with few calls would pick the same.
    fn select_endpoint(&self, now: Time, id: RouteId, message: MessageId) -> Option<EndpointId> {
        let message = self.messages.get(&message)?;
        let class = self.class(message);
        let zone = match (class.effect, class.dedup_scope, message.may_have_run) {
            (Effect::Keyed, DedupScope::Zone, Some((_, zone))) => Some(zone?),
            _ => None,
        };
        let endpoints = self.routes.get(&id)?.endpoints.iter();
        endpoints
            .filter_map(|id| self.endpoints.get(id))
            .filter(|e| e.allows_calls() && zone.is_none_or(|zone| e.entry.zone == zone))
            .min_by_key(|e| {
                let is_remote = self.settings.zone.is_some_and(|own_zone| own_zone != e.entry.zone);
                let calls = e.calls_in_flight + if is_remote { REMOTE_ZONE_CALLS } else { 0 };
                (e.avoid_until > now, calls, e.failures, e.preference)
            })
            .map(|e| e.entry.id)
    }

    /// Sends a call with a message and, where calls may carry several, with further waiting messages.
    fn send_call(&mut self, now: Time, route_id: RouteId, endpoint_id: EndpointId, first: MessageId) {
        let connection_idle = self.connection_idle_time(now, endpoint_id, first);
        let Some(endpoint) = self.endpoints.get_mut(&endpoint_id) else { return };
        endpoint.calls_in_flight += 1;
        let zone = endpoint.entry.zone;
        let Some(route) = self.routes.get_mut(&route_id) else { return };
        // A cold endpoint next to warm ones is avoided until its part of the collapse budget allows the next
        // call.
        endpoint.cold_since = endpoint.cold_since.filter(|since| now - *since < self.settings.rules.warm_up);
        if let Some(since) = endpoint.cold_since {
            let warmth = (now - since).as_secs_f64() / warm_up_seconds(&self.settings);
            let gap = route.cold_endpoint_interval(now, &self.settings, warmth);
            endpoint.avoid_until = now + gap.mul_f64(0.5 + self.rng.f64());
        }
        route.tokens -= 1.0;
        route.sent_calls.add_and_rate(now, RECENT_CALLS_S, 1.0);
        let mut max_batch = route.max_batch;
        if let Some(outage) = &mut route.outage {
            outage.trials += 1;
            // If calls were only rejected, a trial call may carry a full batch: its messages are not lost.
            if outage.calls_lost {
                max_batch = 1;
            }
        }
        route.schedule_trial(now, &self.settings, self.rng.f64());
        self.last_call_id += 1;
        route.calls_in_flight.insert(self.last_call_id);
        let mut messages = Vec::new();
        let mut next = Some(first);
        while let Some(message) = next {
            let timeout = self.attempt_timeout(now, route_id, message);
            let send_by = self.messages.get(&message).and_then(|m| self.last_send(m));
            if let Some(m) = self.messages.get_mut(&message) {
                m.attempts += 1;
                m.in_flight_call = Some(self.last_call_id);
                self.actions.push(Action::Route { message, endpoint: endpoint_id, timeout, send_by });
            }
            self.reindex(now, message);
            messages.push(message);
            let best =
                if messages.len() == max_batch { None } else { self.best_message(now, route_id, &mut None) };
            next = best.map(|(message, _)| message);
        }
        let call = Call::new(now, route_id, endpoint_id, zone, messages, connection_idle);
        self.calls.insert(self.last_call_id, call);
    }

    /// How long the connection of the next call to an endpoint has been idle; `None` for a new or shared one.
    /// If idle connections are likely to be dropped, they are closed first; occasionally one is tried with a
    /// repeatable message.
    fn connection_idle_time(&mut self, now: Time, id: EndpointId, first: MessageId) -> Option<Duration> {
        let endpoint = self.endpoints.get(&id)?;
        let timeout = self.settings.connection_idle_timeout;
        let idle = now - endpoint.last_used.filter(|last_used| now - *last_used < timeout)?;
        // With calls in flight, a second connection may have been idle for longer than known.
        let is_only_call = endpoint.calls_in_flight == 0;
        let repeatable = self.messages.get(&first).is_some_and(|m| self.is_repeatable(m));
        let max_risk = if repeatable { MAX_IDLE_RISK_REPEATABLE } else { MAX_IDLE_RISK_UNSAFE };
        let drops = &mut self.idle_drops;
        let is_trusted = is_only_call && idle < drops.shortest_lost_idle.mul_f64(TRUSTED_IDLE_SHARE);
        if drops.risk < max_risk + drops.baseline_risk * IDLE_DROP_BASELINES || is_trusted {
            return is_only_call.then_some(idle);
        }
        if repeatable && is_only_call && idle >= drops.shortest_lost_idle && now >= drops.next_check {
            drops.next_check =
                now + Duration::from_secs_f64(shortest_aim_seconds(&self.settings) * IDLE_DROP_CHECK_AIMS);
            return Some(idle);
        }
        self.actions.push(Action::CloseIdle { endpoint: id });
        None
    }

    /// Timeout of the next attempt, from the latency of its route. The last possible attempt gets all the
    /// time that is left, as its timeout would be final.
    fn attempt_timeout(&self, now: Time, id: RouteId, message: MessageId) -> Duration {
        let Some(m) = self.messages.get(&message) else { return Duration::ZERO };
        let class = self.class(m);
        let left = m.accepted.deadline - now;
        let Some(route) = self.routes.get(&id) else { return left };
        let expected = route.latency.scaled(TIMEOUT_LATENCIES);
        let aim = class.aim.as_secs_f64();
        let (min, max) = (aim * MIN_TIMEOUT_AIMS, aim * MAX_TIMEOUT_AIMS);
        let mut timeout = Duration::from_secs_f64(expected.clamp(min, max));
        let first = m.may_have_run.map_or(now, |(first, _)| first);
        // Leaves time for a repeat in a short window, if an answer can be expected in half of it.
        let window = resend_time_left(now, class, Some(first));
        if m.may_have_run.is_none() && Duration::from_secs_f64(expected) < window / 2 {
            timeout = timeout.min(window / 2);
        }
        let is_last = m.attempts + 1 >= self.settings.max_attempts
            || class.effect == Effect::Unsafe
            || timeout > window;
        let timeout = if is_last { left } else { timeout };
        timeout.min(left)
    }

    /// If messages wait and no slot is free, cancels the oldest stalled call, an unrepeatable one only later.
    fn cancel_stalled_call(&mut self, now: Time) {
        if !self.settings.cancel || self.free_slots() > 0 || self.open_messages <= self.calls.len() {
            return;
        }
        let hangs = |call: &Call| {
            let mut messages = call.messages.iter().filter_map(|m| self.messages.get(m));
            let repeatable = messages.all(|m| self.is_repeatable(m));
            let timeout = self.stall_timeout(call.route) * if repeatable { 1 } else { UNSAFE_CANCEL_STALLS };
            !call.cancelled && now - call.sent_at > timeout
        };
        let Some(id) = self.calls.iter().find(|(_, call)| hangs(call)).map(|(id, _)| *id) else { return };
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.cancelled = true;
        for message in &call.messages {
            if let Some(m) = self.messages.get(message).filter(|m| m.in_flight_call == Some(id)) {
                self.actions
                    .push(Action::CancelAttempt { message: *message, attempt: (m.attempts - 1) as u16 });
            }
        }
    }

    // ---- Final answers ----

    /// The final answer that an open message may get now. It is returned only if it certainly did not run, or
    /// if repeats do no harm.
    fn final_answer(&mut self, now: Time, id: MessageId) -> Option<Action> {
        let message = self.messages.get(&id).filter(|m| !m.closed)?;
        let destination = message.accepted.destination;
        let returnable = match self.class(message).effect {
            Effect::Safe => true,
            _ => message.may_have_run.is_none() && message.in_flight_call.is_none(),
        };
        Some(if returnable {
            Action::Return { message: id, retry_after: self.retry_after(now, destination) }
        } else {
            Action::ReportFailure { message: id }
        })
    }

    /// Gives an open message its final answer and closes it.
    fn give_final_answer(&mut self, now: Time, id: MessageId) {
        let action = self.final_answer(now, id);
        if action.is_some() {
            self.await_acknowledgement(id);
        }
        self.actions.extend(action);
        self.close(now, id);
    }

    /// Gives expired messages their final answer. A call in flight gets half of the answer slack in addition.
    fn answer_expired(&mut self, now: Time) {
        while let Some(&(due, id)) = self.deadlines.first().filter(|(due, _)| *due <= now) {
            self.deadlines.remove(&(due, id));
            let Some(message) = self.messages.get(&id).filter(|m| !m.closed) else { continue };
            let extended = message.accepted.deadline + self.settings.rules.answer_slack / 2;
            if message.in_flight_call.is_some() && now < extended {
                self.deadlines.insert((extended, id));
            } else {
                self.give_final_answer(now, id);
            }
        }
    }

    /// Whether a message of a class may be accepted. The last places are for the class of most worth.
    pub fn admits(&self, class: ClassId) -> bool {
        let max_worth = self.settings.classes.iter().map(|c| c.worth).fold(0.0, f64::max);
        let worth = self.settings.classes.get(usize::from(class.0)).map_or(0.0, |c| c.worth);
        self.open_messages < if worth < max_worth { self.shed_threshold() } else { self.settings.max_held }
    }

    /// Number of open messages from which on only messages of the most worth are accepted or kept.
    fn shed_threshold(&self) -> usize {
        (self.settings.max_held as f64 * SHED_ABOVE_SHARE) as usize
    }

    /// Returns the messages of the lowest priority when `max_held` is nearly reached, unless the caller
    /// checks [`Courier::admits`] first, as it does where answers are acknowledged.
    fn shed(&mut self, now: Time) {
        let max_open = if self.settings.acknowledged_answers { usize::MAX } else { self.shed_threshold() };
        while self.open_messages > max_open {
            let least = self
                .messages
                .values()
                .filter(|m| !m.closed && m.in_flight_call.is_none())
                .map(|m| (self.priority(now, m), m.accepted.id))
                .min_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(&a.1)));
            let Some((_, id)) = least else { return };
            self.give_final_answer(now, id);
        }
    }

    /// Closes a message that got its final answer, was delivered or was withdrawn.
    fn close(&mut self, now: Time, id: MessageId) {
        if let Some(message) = self.messages.get_mut(&id).filter(|m| !m.closed) {
            message.closed = true;
            self.open_messages -= 1;
            self.deadlines.remove(&(message.accepted.deadline, id));
            let destination = message.accepted.destination;
            self.reindex(now, id);
            self.queues.remove_message(destination);
        }
        self.forget_if_unused(now, id);
    }

    /// Forgets a closed message and releases its order key, unless it has a call in flight or an
    /// unacknowledged answer.
    fn forget_if_unused(&mut self, now: Time, id: MessageId) {
        if self.messages.get(&id).is_none_or(|m| !m.closed || m.unacknowledged || m.in_flight_call.is_some())
        {
            return;
        }
        let Some(message) = self.messages.remove(&id) else { return };
        let Some(key) = message.accepted.key else { return };
        if let Some(queue) = self.key_queues.get_mut(&key) {
            queue.remove(&(message.ordinal, id));
            if queue.is_empty() {
                self.key_queues.remove(&key);
            }
            self.reindex_first_of_key(now, key);
        }
    }

    /// Sets the only timer to the next time at which `decide` may act without an event.
    fn set_timer(&mut self, now: Time, next: Option<Time>) {
        let due = self.deadlines.first().map(|(due, _)| *due);
        let Some(at) = [next, due].into_iter().flatten().min() else { return };
        if self.timer.is_none_or(|(set, _)| at < set || set <= now) {
            self.last_timer_token += 1;
            self.timer = Some((at, self.last_timer_token));
            self.actions.push(Action::SetTimer { after: at - now, token: self.last_timer_token });
        }
    }
}

impl Route {
    /// Whether this courier has too few messages to estimate its demand (see `LOW_TRAFFIC_MESSAGES`).
    fn has_low_traffic(&mut self, now: Time, settings: &Settings) -> bool {
        let warm_up = warm_up_seconds(settings);
        self.demand.rate(now, warm_up) * warm_up < LOW_TRAFFIC_MESSAGES
    }

    /// Calls a second that every courier can send within the limit; zero where the limit is unknown.
    fn fair_share(&self, settings: &Settings) -> f64 {
        match settings.weight_source {
            WeightSource::Unspecified => 0.0,
            _ => FAIR_SHARE_USED * self.limit / courier_count(settings),
        }
    }

    /// Collapse budget: this courier's part of the calls per second that a returning destination survives.
    /// `warmth` goes from 0 to 1 during its warm-up. The budget follows the rate served before or the equal
    /// share of the limit, whichever is higher. Demand counts little, as all demands together may exceed the
    /// capacity. Trial calls, slow starts and the last rate cut share this budget.
    fn collapse_budget(&mut self, now: Time, settings: &Settings, warmth: f64) -> f64 {
        let demand = self.demand.rate(now, warm_up_seconds(settings));
        let low_traffic_rate = LOW_TRAFFIC_CALLS_PER_DEADLINE / shortest_deadline_seconds(settings);
        let min = if self.has_low_traffic(now, settings) { low_traffic_rate } else { 0.0 };
        let own = demand.clamp(self.served_rate, self.served_rate * MAX_DEMAND_PER_SERVED);
        // The trial owner has the whole budget: no other courier uses any during the outage.
        let owns_trials = self.outage.is_some() && self.owns_trials(now);
        let part = own.max(if owns_trials { self.limit } else { self.limit / courier_count(settings) });
        let cold_share = settings.rules.cold_capacity_share;
        let capacity_share = cold_share + (1.0 - cold_share) * warmth;
        let many_couriers = 1.0 - (FEW_COURIERS / courier_count(settings)).min(1.0);
        let used = COLLAPSE_BUDGET_USED - COLLAPSE_BUDGET_RESERVE * many_couriers;
        (part * capacity_share * settings.rules.collapse_multiple * used).max(min)
    }

    /// Ends the outage at `at`. If it was confirmed and longer than `short_outage`, a slow start begins.
    fn end_outage(&mut self, at: Time, short_outage: Duration) {
        if self.outage.take().is_some_and(|outage| outage.confirmed && at - outage.began > short_outage) {
            self.slow_start_since = Some(at);
            self.tokens = 0.0;
        }
        if self.unanswered_call {
            self.refilled_at = self.refilled_at.max(at);
        }
        self.outage_evidence = 0;
        self.rate_cuts = 0;
        self.unanswered_call = false;
    }

    /// Makes no calls until the retry-after time; the slow start begins then, with a random delay.
    fn wait_for_retry_after(&mut self, now: Time, settings: &Settings, random: f64) {
        let spread = if self.has_low_traffic(now, settings) { LOW_TRAFFIC_SPREAD_TOKENS } else { 1.0 };
        self.outage = None;
        self.slow_start_since = Some(self.retry_after_until);
        self.refilled_at = self.retry_after_until;
        self.tokens = 1.0 - random * spread;
    }

    /// Mean time between calls to one cold endpoint of several, from its fair part of the collapse budget.
    fn cold_endpoint_interval(&mut self, now: Time, settings: &Settings, warmth: f64) -> Duration {
        let part = self.collapse_budget(now, settings, warmth) / self.endpoints.len().max(1) as f64;
        Duration::from_secs_f64(part.max(0.01).recip())
    }

    /// Sets when the next trial call in an outage may be sent: after growing, jittered gaps, within this
    /// courier's collapse budget. Where calls fail fast, the budget alone limits repeatable messages: no slot
    /// is blocked, some calls get through, and growing gaps would only make messages late.
    fn schedule_trial(&mut self, now: Time, settings: &Settings, random: f64) {
        let budget_gap = Duration::from_secs_f64(self.collapse_budget(now, settings, 0.0).max(0.001).recip());
        let owns_trials = self.owns_trials(now);
        let Some(outage) = &mut self.outage else { return };
        let window = settings.rules.collapse_window;
        let backoff = exponential_backoff(window, FIRST_TRIAL_GAP_WINDOWS, outage.trials);
        let gap = backoff.min(window.mul_f64(MAX_TRIAL_GAP_WINDOWS));
        let jitter = MIN_TRIAL_JITTER + random * (1.0 - MIN_TRIAL_JITTER);
        // Gaps start after the retry-after time, or all couriers that wait for it would return together.
        let from = now.max(self.retry_after_until);
        // Where calls are not answered, the mean gap is no shorter than the budget demands, as the calls of
        // all couriers (200, say) add up.
        let slow_gap = gap.mul_f64(jitter).max(budget_gap.mul_f64(0.5 + random));
        outage.next_unrepeatable_trial = from + slow_gap;
        // The trial owner need not use up the budget of all couriers: the first gap is short enough.
        let min_gap = window.mul_f64(FIRST_TRIAL_GAP_WINDOWS);
        let fast_gap = if owns_trials { budget_gap.max(min_gap) } else { budget_gap };
        outage.next_trial = from + if outage.fails_fast { fast_gap.mul_f64(jitter) } else { slow_gap };
    }
}

/// Last time to resend a keyed message, given the send time of its first attempt that may have run.
fn window_end(class: &Class, first: Time) -> Time {
    first + class.repeat_window.mul_f64(1.0 - REPEAT_WINDOW_MARGIN_SHARE)
}

/// How long a message may still be resent, given the send time of its first attempt that may have run.
fn resend_time_left(now: Time, class: &Class, first: Option<Time>) -> Duration {
    match (class.effect, first) {
        (Effect::Keyed, Some(first)) => window_end(class, first) - now,
        _ => Duration::MAX,
    }
}
