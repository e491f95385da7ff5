//! Simulates many couriers and one partner that has an outage and returns cold, and measures the load on the partner.

use super::{accepted, endpoint, ms};
use cloverstile::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What the partner does with calls during the outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutageKind {
    /// Rejects them with a retry-after time, the end of the outage.
    ClosedWithRetryAfter,
    /// Rejects them without a retry-after time.
    Closed,
    /// Accepts no connection.
    Down,
    /// Accepts them and never answers.
    Hung,
}

/// Parameters of a simulation.
#[derive(Clone, Copy)]
pub struct Plan {
    pub outage: OutageKind,
    pub couriers: u32,
    /// Calls a second that the warm partner serves.
    pub capacity: f64,
    /// Capacity given by the listing, relative to the true one.
    pub listed_factor: f64,
    /// Messages a second, relative to the capacity.
    pub load: f64,
    /// Maximum number of messages in a call.
    pub batch: usize,
    /// Share of the couriers that are killed and restarted from their journals during the warm-up.
    pub restarts: f64,
    /// Settings that apply after an outage.
    pub return_rules: ReturnRules,
    pub seed: u64,
}

/// Settings that determine the capacity during a warm-up and when the partner collapses.
#[derive(Clone, Copy, Debug)]
pub struct ReturnRules {
    pub cold_capacity_share: f64,
    pub warm_up: Duration,
    pub collapse_multiple: f64,
    pub collapse_window: Duration,
    pub deadline: Duration,
}

pub const DEFAULT_RULES: ReturnRules = ReturnRules {
    cold_capacity_share: 0.18,
    warm_up: Duration::from_secs(12),
    collapse_multiple: 2.0,
    collapse_window: Duration::from_secs(3),
    deadline: Duration::from_secs(20),
};

/// Results of a simulation.
pub struct Results {
    /// Maximum load in a collapse window from couriers that saw the outage, relative to what the partner survives.
    pub max_relative_load: f64,
    /// Maximum load in a collapse window from all couriers, relative to the allowed number of calls N plus a tolerance for
    /// random variation, N + 2 * sqrt(N) + 2 (about two standard deviations). Counts only windows with over two thirds of the load from couriers that saw
    /// the outage.
    pub max_relative_load_of_all: f64,
    /// Seconds from the end of the outage until three quarters of the enqueued messages are delivered; `None` if that is
    /// not reached during the warm-up.
    pub recovered_after: Option<f64>,
    /// Share of the messages enqueued since the end of the outage that were delivered.
    pub delivered: f64,
}

/// Exponent of the distribution of messages over couriers: 0 is even, at 1 a few couriers get most.
const TRAFFIC_SKEW: f64 = 0.9;
/// Load of each further message in a call, relative to the call itself.
const BATCH_ITEM_WEIGHT: f64 = 0.15;
const TIME_BEFORE_OUTAGE: Duration = Duration::from_secs(6);
const OUTAGE_LENGTH: Duration = Duration::from_secs(14);
/// When couriers are killed, as a share of the warm-up.
const RESTART_AT_WARM_UP: f64 = 0.3;
const STEP: Duration = Duration::from_millis(5);
const ENDPOINT: EndpointId = EndpointId(7);

struct SimulatedCourier {
    courier: Courier,
    /// Content of its journal: messages with their attempts and the time of the first attempt that may have run.
    journal: BTreeMap<MessageId, (Accepted, u32, Option<Time>)>,
    timer: Option<(Time, u64)>,
    /// Its share of all messages.
    traffic_share: f64,
    /// Has events that were not followed by `decide`.
    has_events: bool,
    /// Saw a failure or a rejection during the outage.
    saw_outage: bool,
}

/// An outcome that will be reported to a courier.
struct PendingOutcome {
    member: usize,
    message: MessageId,
    attempt: u16,
    outcome: Outcome,
    sent: Time,
}

struct Simulation {
    plan: Plan,
    settings: Settings,
    rng: fastrand::Rng,
    now: Time,
    outage_begin: Time,
    outage_end: Time,
    members: Vec<SimulatedCourier>,
    pending: BTreeMap<(Time, usize), PendingOutcome>,
    /// Attempts made for each message.
    attempts: BTreeMap<MessageId, u16>,
    call_count: usize,
    /// Calls that the partner still accepts before it rejects.
    admission_tokens: f64,
    /// Load sent since the end of the outage by couriers that saw it.
    sent_after_seeing_outage: Vec<(Time, f64)>,
    /// Load sent since the end of the outage by all couriers, and whether the courier saw the outage.
    sent: std::collections::VecDeque<(Time, f64, bool)>,
    /// Messages enqueued and delivered in each second since the end of the outage.
    enqueued_by_second: Vec<usize>,
    delivered_by_second: Vec<usize>,
    has_restarted: bool,
    enqueued_since_return: BTreeSet<MessageId>,
    delivered: usize,
}

/// Simulates the time before, during and after an outage up to the end of the warm-up.
pub fn simulate(plan: Plan) -> Results {
    let mut simulation = Simulation::new(plan);
    let (warm_up, collapse_window) =
        (simulation.settings.rules.warm_up, simulation.settings.rules.collapse_window);
    let (mut max_relative_load, mut max_relative_load_of_all) = (0.0_f64, 0.0_f64);
    while simulation.now < simulation.outage_end + warm_up {
        simulation.now = simulation.now + STEP;
        simulation.admission_tokens = (simulation.admission_tokens
            + simulation.capacity() * STEP.as_secs_f64())
        .min(simulation.capacity() / 2.0 + 1.0);
        simulation.enqueue_messages();
        simulation.expire_timers();
        simulation.report_outcomes();
        (0..simulation.members.len()).for_each(|member| simulation.decide(member));
        if !simulation.has_restarted
            && simulation.now >= simulation.outage_end + warm_up.mul_f64(RESTART_AT_WARM_UP)
        {
            simulation.restart_couriers();
        }
        if simulation.now >= simulation.outage_end {
            let survives = simulation.settings.rules.collapse_multiple
                * simulation.capacity()
                * collapse_window.as_secs_f64();
            let recent = simulation
                .sent_after_seeing_outage
                .iter()
                .filter(|(at, _)| simulation.now - *at < collapse_window);
            max_relative_load =
                max_relative_load.max(recent.map(|(_, weight)| weight).sum::<f64>() / survives);
            while simulation.sent.front().is_some_and(|(at, ..)| simulation.now - *at >= collapse_window) {
                simulation.sent.pop_front();
            }
            let all: f64 = simulation.sent.iter().map(|(_, weight, _)| weight).sum();
            let saw_outage: f64 = simulation
                .sent
                .iter()
                .filter(|(.., saw_outage)| *saw_outage)
                .map(|(_, weight, _)| weight)
                .sum();
            if saw_outage > all * 2.0 / 3.0 {
                max_relative_load_of_all =
                    max_relative_load_of_all.max(all / (survives + 2.0 * survives.sqrt() + 2.0));
            }
        }
    }
    let is_full = |second: &usize| {
        simulation.delivered_by_second[*second] as f64 >= 0.75 * simulation.enqueued_by_second[*second] as f64
    };
    let seconds = simulation.enqueued_by_second.len().min(simulation.delivered_by_second.len());
    let from = (0..seconds).rev().take_while(is_full).last();
    Results {
        max_relative_load,
        max_relative_load_of_all,
        recovered_after: from.map(|second| second as f64),
        delivered: simulation.delivered as f64 / simulation.enqueued_since_return.len().max(1) as f64,
    }
}

fn settings_of(plan: &Plan) -> Settings {
    let ReturnRules { cold_capacity_share, warm_up, collapse_multiple, collapse_window, deadline: span } =
        plan.return_rules;
    let aim = span / 5;
    let rules = Rules {
        cold_capacity_share,
        warm_up,
        collapse_multiple,
        collapse_window,
        ..Settings::default().rules
    };
    Settings {
        classes: vec![Class { aim, deadline: span, repeat_window: span, ..Class::default() }],
        couriers: plan.couriers,
        kinds: vec![Kind { max_batch: plan.batch, own_limits: false }],
        call_slots: 4,
        max_held: 48,
        rules,
        ..Settings::default()
    }
}

impl Simulation {
    fn new(plan: Plan) -> Self {
        let settings = settings_of(&plan);
        let start = Time::ZERO + Duration::from_secs(100);
        let listed = Endpoint { weight: plan.capacity * plan.listed_factor, ..endpoint(ENDPOINT.0, 1) };
        let shares: Vec<f64> = (0..plan.couriers).map(|n| f64::from(n + 1).powf(-TRAFFIC_SKEW)).collect();
        let all: f64 = shares.iter().sum();
        let member = |(number, share): (usize, &f64)| {
            let mut courier = Courier::new(settings.clone(), plan.seed * 1000 + number as u64);
            courier.handle(start, Event::Listed(Listing::Whole(vec![listed.clone()])));
            let journal = BTreeMap::new();
            SimulatedCourier {
                courier,
                journal,
                timer: None,
                traffic_share: share / all,
                has_events: true,
                saw_outage: false,
            }
        };
        let members = shares.iter().enumerate().map(member).collect();
        Simulation {
            plan,
            members,
            settings,
            rng: fastrand::Rng::with_seed(plan.seed),
            now: start,
            outage_begin: start + TIME_BEFORE_OUTAGE,
            outage_end: start + TIME_BEFORE_OUTAGE + OUTAGE_LENGTH,
            pending: BTreeMap::new(),
            attempts: BTreeMap::new(),
            call_count: 0,
            admission_tokens: 1.0,
            sent_after_seeing_outage: Vec::new(),
            sent: Default::default(),
            enqueued_by_second: Vec::new(),
            delivered_by_second: Vec::new(),
            has_restarted: plan.restarts == 0.0,
            enqueued_since_return: BTreeSet::new(),
            delivered: 0,
        }
    }

    fn is_in_outage(&self) -> bool {
        self.now >= self.outage_begin && self.now < self.outage_end
    }

    /// Calls a second that the partner can currently serve.
    fn capacity(&self) -> f64 {
        let rules = &self.settings.rules;
        let warmth = ((self.now - self.outage_end).as_secs_f64() / rules.warm_up.as_secs_f64()).min(1.0);
        let has_returned = self.now >= self.outage_end;
        self.plan.capacity
            * if has_returned {
                rules.cold_capacity_share + (1.0 - rules.cold_capacity_share) * warmth
            } else {
                1.0
            }
    }

    fn enqueue_messages(&mut self) {
        let is_after_outage = self.now >= self.outage_end;
        let all = self.plan.capacity * self.plan.load * STEP.as_secs_f64();
        for member in &mut self.members {
            if self.rng.f64() >= all * member.traffic_share {
                continue;
            }
            let id = MessageId(self.attempts.len() as u32);
            self.attempts.insert(id, 0);
            if is_after_outage {
                self.enqueued_since_return.insert(id);
                *second_counter(&mut self.enqueued_by_second, self.now - self.outage_end) += 1;
            }
            let class = (ClassId(0), &self.settings.classes[0]);
            let accepted = accepted(self.now, id.0, class, 1, None);
            member.journal.insert(id, (accepted.clone(), 0, None));
            member.courier.handle(self.now, Event::Accept(accepted));
            member.has_events = true;
        }
    }

    fn expire_timers(&mut self) {
        for member in &mut self.members {
            if let Some((_, token)) = member.timer.take_if(|(at, _)| *at <= self.now) {
                member.courier.handle(self.now, Event::TimerExpired(token));
                member.has_events = true;
            }
        }
    }

    fn report_outcomes(&mut self) {
        let is_in_outage = self.is_in_outage();
        while let Some(entry) = self.pending.first_entry().filter(|entry| entry.key().0 <= self.now) {
            let PendingOutcome { member, message, attempt, outcome, sent } = entry.remove();
            let complete = outcome == Outcome::Ok;
            self.delivered += usize::from(complete && self.enqueued_since_return.contains(&message));
            if complete && self.now >= self.outage_end {
                *second_counter(&mut self.delivered_by_second, self.now - self.outage_end) += 1;
            }
            let latency = self.now - sent;
            let finished = Finished {
                message,
                endpoint: ENDPOINT,
                attempt,
                outcome,
                latency,
                complete,
                limit_report: None,
            };
            let member = &mut self.members[member];
            let never_ran = matches!(outcome, Outcome::Rejected(_) | Outcome::ConnectFailed);
            match member.journal.get_mut(&message) {
                _ if complete => drop(member.journal.remove(&message)),
                Some((.., may_have_run)) if !never_ran => *may_have_run = may_have_run.or(Some(sent)),
                _ => {}
            }
            member.courier.handle(self.now, Event::Finished(finished));
            member.saw_outage |= is_in_outage && !complete;
            member.has_events = true;
        }
    }

    fn decide(&mut self, member: usize) {
        if !std::mem::take(&mut self.members[member].has_events) {
            return;
        }
        let mut actions = Vec::new();
        self.members[member].courier.decide(self.now, &mut actions);
        // Messages sent by one `decide` share a call and its outcome; each further message adds a little load.
        let mut call_result = None;
        for action in actions {
            match action {
                Action::SetTimer { after, token } => {
                    self.members[member].timer = Some((self.now + after, token));
                }
                Action::Route { message, timeout, .. } => {
                    if self.now >= self.outage_end {
                        let weight = if call_result.is_none() { 1.0 } else { BATCH_ITEM_WEIGHT };
                        let saw_outage = self.members[member].saw_outage;
                        self.sent.push_back((self.now, weight, saw_outage));
                        if saw_outage {
                            self.sent_after_seeing_outage.push((self.now, weight));
                        }
                    }
                    if let Some((_, attempts, _)) = self.members[member].journal.get_mut(&message) {
                        *attempts += 1;
                    }
                    let (outcome, after) = *call_result.get_or_insert_with(|| self.call(timeout));
                    let attempts = self.attempts.entry(message).or_default();
                    let pending =
                        PendingOutcome { member, message, attempt: *attempts, outcome, sent: self.now };
                    *attempts += 1;
                    self.call_count += 1;
                    self.pending.insert((self.now + after, self.call_count), pending);
                }
                Action::Return { message, .. } | Action::ReportFailure { message } => {
                    self.members[member].journal.remove(&message);
                }
                _ => {}
            }
        }
    }

    /// Kills some couriers and restarts them from their journals. Their calls in flight may have run; the outcomes are
    /// lost.
    fn restart_couriers(&mut self) {
        self.has_restarted = true;
        for number in 0..self.members.len() {
            if self.rng.f64() >= self.plan.restarts {
                continue;
            }
            let listed =
                Endpoint { weight: self.plan.capacity * self.plan.listed_factor, ..endpoint(ENDPOINT.0, 1) };
            let in_flight: Vec<(MessageId, Time)> =
                self.pending.values().filter(|c| c.member == number).map(|c| (c.message, c.sent)).collect();
            self.pending.retain(|_, pending| pending.member != number);
            let member = &mut self.members[number];
            let outages: Vec<cloverstile::OutageRecord> = member.courier.outages().collect();
            member.courier = Courier::new(self.settings.clone(), self.plan.seed * 1000 + 500 + number as u64);
            member.courier.handle(self.now, Event::Listed(Listing::Whole(vec![listed])));
            for outage in outages {
                member.courier.handle(self.now, Event::OutageRestored(outage));
            }
            for (id, sent) in in_flight {
                if let Some((.., may_have_run)) = member.journal.get_mut(&id) {
                    *may_have_run = may_have_run.or(Some(sent));
                }
            }
            for (accepted, attempts, may_have_run) in member.journal.values().cloned() {
                let may_have_run = may_have_run.map(|at| (at, Some(ZoneId(0))));
                let restored = Restored { accepted, attempts, may_have_run, answered: false };
                member.courier.handle(self.now, Event::Restored(restored));
            }
            (member.timer, member.has_events) = (None, true);
        }
    }

    /// Outcome of a call sent now, and the delay after which it is reported.
    fn call(&mut self, timeout: Duration) -> (Outcome, Duration) {
        let soon = ms(50);
        if !self.is_in_outage() {
            if self.admission_tokens < 1.0 {
                return (Outcome::Rejected(None), soon);
            }
            self.admission_tokens -= 1.0;
            return (Outcome::Ok, ms(200));
        }
        match self.plan.outage {
            // The retry-after time starts with the answer.
            OutageKind::ClosedWithRetryAfter => {
                (Outcome::Rejected(Some((self.outage_end - self.now).saturating_sub(soon))), soon)
            }
            OutageKind::Closed => (Outcome::Rejected(None), soon),
            OutageKind::Down => (Outcome::ConnectFailed, soon),
            OutageKind::Hung => (Outcome::Timeout, timeout),
        }
    }
}

/// The counter of the second that contains `since`.
fn second_counter(counts: &mut Vec<usize>, since: Duration) -> &mut usize {
    let second = since.as_secs() as usize;
    counts.resize(counts.len().max(second + 1), 0);
    &mut counts[second]
}
