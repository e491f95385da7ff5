//! Many couriers and one partner that has an outage and comes back cold: how much is sent to it, and by whom.

use super::{accepted, endpoint, ms};
use cloverstile::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What the partner does with calls while it is out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutageKind {
    /// Refuses, and tells how long it stays shut.
    ShutAndTells,
    /// Refuses without a word on when it opens.
    Shut,
    /// Takes no connection.
    Down,
    /// Takes calls and never answers.
    Hung,
}

/// What a crowd is put through.
#[derive(Clone, Copy)]
pub struct Plan {
    pub outage: OutageKind,
    pub couriers: u32,
    /// Calls a second that the warm partner takes.
    pub capacity: f64,
    /// What the list tells of that, over the truth.
    pub told: f64,
    /// Messages a second, over the capacity.
    pub load: f64,
    /// Messages that a call may carry.
    pub batch: usize,
    /// Part of the couriers that is killed and started again, with their journals, in the middle of the ramp.
    pub restarts: f64,
    /// What the settings say of a cold return.
    pub site: Site,
    pub seed: u64,
}

/// Where a cold return begins, how long it lasts, and what makes it fall.
#[derive(Clone, Copy, Debug)]
pub struct Site {
    pub cold_capacity_share: f64,
    pub warm_up: Duration,
    pub collapse_multiple: f64,
    pub collapse_window: Duration,
    pub deadline: Duration,
}

pub const SITE: Site = Site {
    cold_capacity_share: 0.18,
    warm_up: Duration::from_secs(12),
    collapse_multiple: 2.0,
    collapse_window: Duration::from_secs(3),
    deadline: Duration::from_secs(20),
};

/// What was seen of one run.
pub struct Seen {
    /// The most that couriers which saw the outage sent in a fall window, over what the partner survives.
    pub worst: f64,
    /// The most that all sent in a fall window, over what the settings allow and what is put down to chance beside it,
    /// N + 2 x root of N + 2, among the windows of which over two thirds came from couriers that saw the outage.
    pub nearest: f64,
    /// Seconds from the return until three quarters of what is handed in is delivered; none inside the cold return.
    pub full_after: Option<f64>,
    /// Share of the messages handed in since the return that were delivered.
    pub delivered: f64,
}

/// How unevenly messages fall on couriers: at 0 alike, at 1 a few carry most.
const SKEW: f64 = 0.9;
/// Weight of a further message in a call, against the call itself.
const ITEM: f64 = 0.15;
const QUIET_FOR: Duration = Duration::from_secs(6);
const OUT_FOR: Duration = Duration::from_secs(14);
/// When couriers are killed, as a part of the cold return.
const RESTART_AT_WARM_UP: f64 = 0.3;
const STEP: Duration = Duration::from_millis(5);
const TO: EndpointId = EndpointId(7);

struct Member {
    courier: Courier,
    /// What its journal holds: the messages, with their attempts and when the first one was that may have run.
    held: BTreeMap<MessageId, (Accepted, u32, Option<Time>)>,
    wake: Option<(Time, u64)>,
    /// Its part of all messages.
    part: f64,
    /// Has news to act on.
    touched: bool,
    /// Saw a failure or a refusal while the partner was out.
    aware: bool,
}

/// The outcome of an attempt, on its way to the courier.
struct Coming {
    member: usize,
    message: MessageId,
    attempt: u16,
    outcome: Outcome,
    sent: Time,
}

struct Crowd {
    plan: Plan,
    settings: Settings,
    chance: fastrand::Rng,
    now: Time,
    out_from: Time,
    back: Time,
    members: Vec<Member>,
    coming: BTreeMap<(Time, usize), Coming>,
    /// Attempts made of each message, and over all.
    attempts: BTreeMap<MessageId, u16>,
    count: usize,
    /// Calls that the partner takes before it refuses.
    room: f64,
    /// What couriers that saw the outage sent since the return, by weight.
    weights: Vec<(Time, f64)>,
    /// What was sent since the return, by whom: one that saw the outage or not.
    sent: std::collections::VecDeque<(Time, f64, bool)>,
    /// What was handed in and delivered, by seconds since the return.
    handed_in: Vec<usize>,
    done: Vec<usize>,
    has_restarted: bool,
    since_return: BTreeSet<MessageId>,
    delivered: usize,
}

/// Lets a crowd live through the outage and the cold return.
pub fn live_through(plan: Plan) -> Seen {
    let mut crowd = Crowd::new(plan);
    let (warm_up, collapse_window) = (crowd.settings.rules.warm_up, crowd.settings.rules.collapse_window);
    let (mut worst, mut nearest) = (0.0_f64, 0.0_f64);
    while crowd.now < crowd.back + warm_up {
        crowd.now = crowd.now + STEP;
        crowd.room = (crowd.room + crowd.capacity() * STEP.as_secs_f64()).min(crowd.capacity() / 2.0 + 1.0);
        crowd.hand_in();
        crowd.wake();
        crowd.tell_outcomes();
        (0..crowd.members.len()).for_each(|member| crowd.act(member));
        if !crowd.has_restarted && crowd.now >= crowd.back + warm_up.mul_f64(RESTART_AT_WARM_UP) {
            crowd.restart_some();
        }
        if crowd.now >= crowd.back {
            let survives =
                crowd.settings.rules.collapse_multiple * crowd.capacity() * collapse_window.as_secs_f64();
            let recent = crowd.weights.iter().filter(|(at, _)| crowd.now - *at < collapse_window);
            worst = worst.max(recent.map(|(_, weight)| weight).sum::<f64>() / survives);
            while crowd.sent.front().is_some_and(|(at, ..)| crowd.now - *at >= collapse_window) {
                crowd.sent.pop_front();
            }
            let all: f64 = crowd.sent.iter().map(|(_, weight, _)| weight).sum();
            let aware: f64 =
                crowd.sent.iter().filter(|(.., aware)| *aware).map(|(_, weight, _)| weight).sum();
            if aware > all * 2.0 / 3.0 {
                nearest = nearest.max(all / (survives + 2.0 * survives.sqrt() + 2.0));
            }
        }
    }
    let is_full = |second: &usize| crowd.done[*second] as f64 >= 0.75 * crowd.handed_in[*second] as f64;
    let seconds = crowd.handed_in.len().min(crowd.done.len());
    let from = (0..seconds).rev().take_while(is_full).last();
    Seen {
        worst,
        nearest,
        full_after: from.map(|second| second as f64),
        delivered: crowd.delivered as f64 / crowd.since_return.len().max(1) as f64,
    }
}

fn settings_of(plan: &Plan) -> Settings {
    let Site { cold_capacity_share, warm_up, collapse_multiple, collapse_window, deadline: span } = plan.site;
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

impl Crowd {
    fn new(plan: Plan) -> Self {
        let settings = settings_of(&plan);
        let start = Time::ZERO + Duration::from_secs(100);
        let listed = Endpoint { weight: plan.capacity * plan.told, ..endpoint(TO.0, 1) };
        let shares: Vec<f64> = (0..plan.couriers).map(|n| f64::from(n + 1).powf(-SKEW)).collect();
        let all: f64 = shares.iter().sum();
        let member = |(number, share): (usize, &f64)| {
            let mut courier = Courier::new(settings.clone(), plan.seed * 1000 + number as u64);
            courier.handle(start, Event::Listed(Listing::Whole(vec![listed.clone()])));
            let held = BTreeMap::new();
            Member { courier, held, wake: None, part: share / all, touched: true, aware: false }
        };
        let members = shares.iter().enumerate().map(member).collect();
        Crowd {
            plan,
            members,
            settings,
            chance: fastrand::Rng::with_seed(plan.seed),
            now: start,
            out_from: start + QUIET_FOR,
            back: start + QUIET_FOR + OUT_FOR,
            coming: BTreeMap::new(),
            attempts: BTreeMap::new(),
            count: 0,
            room: 1.0,
            weights: Vec::new(),
            sent: Default::default(),
            handed_in: Vec::new(),
            done: Vec::new(),
            has_restarted: plan.restarts == 0.0,
            since_return: BTreeSet::new(),
            delivered: 0,
        }
    }

    fn out(&self) -> bool {
        self.now >= self.out_from && self.now < self.back
    }

    /// Calls a second that the partner can do at this moment.
    fn capacity(&self) -> f64 {
        let rules = &self.settings.rules;
        let warmth = ((self.now - self.back).as_secs_f64() / rules.warm_up.as_secs_f64()).min(1.0);
        let cold = self.now >= self.back;
        self.plan.capacity
            * if cold { rules.cold_capacity_share + (1.0 - rules.cold_capacity_share) * warmth } else { 1.0 }
    }

    fn hand_in(&mut self) {
        let back = self.now >= self.back;
        let all = self.plan.capacity * self.plan.load * STEP.as_secs_f64();
        for member in &mut self.members {
            if self.chance.f64() >= all * member.part {
                continue;
            }
            let id = MessageId(self.attempts.len() as u32);
            self.attempts.insert(id, 0);
            if back {
                self.since_return.insert(id);
                *second_of(&mut self.handed_in, self.now - self.back) += 1;
            }
            let class = (ClassId(0), &self.settings.classes[0]);
            let accepted = accepted(self.now, id.0, class, 1, None);
            member.held.insert(id, (accepted.clone(), 0, None));
            member.courier.handle(self.now, Event::Accept(accepted));
            member.touched = true;
        }
    }

    fn wake(&mut self) {
        for member in &mut self.members {
            if let Some((_, token)) = member.wake.take_if(|(at, _)| *at <= self.now) {
                member.courier.handle(self.now, Event::TimerExpired(token));
                member.touched = true;
            }
        }
    }

    fn tell_outcomes(&mut self) {
        let out = self.out();
        while let Some(entry) = self.coming.first_entry().filter(|entry| entry.key().0 <= self.now) {
            let Coming { member, message, attempt, outcome, sent } = entry.remove();
            let complete = outcome == Outcome::Ok;
            self.delivered += usize::from(complete && self.since_return.contains(&message));
            if complete && self.now >= self.back {
                *second_of(&mut self.done, self.now - self.back) += 1;
            }
            let latency = self.now - sent;
            let finished =
                Finished { message, endpoint: TO, attempt, outcome, latency, complete, limit_report: None };
            let member = &mut self.members[member];
            let never_ran = matches!(outcome, Outcome::Rejected(_) | Outcome::ConnectFailed);
            match member.held.get_mut(&message) {
                _ if complete => drop(member.held.remove(&message)),
                Some((.., ran)) if !never_ran => *ran = ran.or(Some(sent)),
                _ => {}
            }
            member.courier.handle(self.now, Event::Finished(finished));
            member.aware |= out && !complete;
            member.touched = true;
        }
    }

    fn act(&mut self, member: usize) {
        if !std::mem::take(&mut self.members[member].touched) {
            return;
        }
        let mut actions = Vec::new();
        self.members[member].courier.decide(self.now, &mut actions);
        // What goes in one turn is one call: one fate, a little weight for each further message.
        let mut fate = None;
        for action in actions {
            match action {
                Action::SetTimer { after, token } => {
                    self.members[member].wake = Some((self.now + after, token));
                }
                Action::Route { message, timeout, .. } => {
                    if self.now >= self.back {
                        let weight = if fate.is_none() { 1.0 } else { ITEM };
                        let aware = self.members[member].aware;
                        self.sent.push_back((self.now, weight, aware));
                        if aware {
                            self.weights.push((self.now, weight));
                        }
                    }
                    if let Some((_, attempts, _)) = self.members[member].held.get_mut(&message) {
                        *attempts += 1;
                    }
                    let (outcome, after) = *fate.get_or_insert_with(|| self.call(timeout));
                    let attempts = self.attempts.entry(message).or_default();
                    let coming = Coming { member, message, attempt: *attempts, outcome, sent: self.now };
                    *attempts += 1;
                    self.count += 1;
                    self.coming.insert((self.now + after, self.count), coming);
                }
                Action::Return { message, .. } | Action::ReportFailure { message } => {
                    self.members[member].held.remove(&message);
                }
                _ => {}
            }
        }
    }

    /// Kills some couriers and starts them again from their journals: calls that were out may have run, and their outcomes
    /// come to nobody.
    fn restart_some(&mut self) {
        self.has_restarted = true;
        for number in 0..self.members.len() {
            if self.chance.f64() >= self.plan.restarts {
                continue;
            }
            let listed = Endpoint { weight: self.plan.capacity * self.plan.told, ..endpoint(TO.0, 1) };
            let out: Vec<(MessageId, Time)> =
                self.coming.values().filter(|c| c.member == number).map(|c| (c.message, c.sent)).collect();
            self.coming.retain(|_, coming| coming.member != number);
            let member = &mut self.members[number];
            let notes: Vec<cloverstile::OutageRecord> = member.courier.outages().collect();
            member.courier = Courier::new(self.settings.clone(), self.plan.seed * 1000 + 500 + number as u64);
            member.courier.handle(self.now, Event::Listed(Listing::Whole(vec![listed])));
            for note in notes {
                member.courier.handle(self.now, Event::OutageRestored(note));
            }
            for (id, sent) in out {
                if let Some((.., ran)) = member.held.get_mut(&id) {
                    *ran = ran.or(Some(sent));
                }
            }
            for (accepted, attempts, ran) in member.held.values().cloned() {
                let may_have_run = ran.map(|at| (at, Some(ZoneId(0))));
                let restored = Restored { accepted, attempts, may_have_run, answered: false };
                member.courier.handle(self.now, Event::Restored(restored));
            }
            (member.wake, member.touched) = (None, true);
        }
    }

    /// What becomes of a call sent now, and when that is known.
    fn call(&mut self, timeout: Duration) -> (Outcome, Duration) {
        let soon = ms(50);
        if !self.out() {
            if self.room < 1.0 {
                return (Outcome::Rejected(None), soon);
            }
            self.room -= 1.0;
            return (Outcome::Ok, ms(200));
        }
        match self.plan.outage {
            // A wait counts from its answer.
            OutageKind::ShutAndTells => {
                (Outcome::Rejected(Some((self.back - self.now).saturating_sub(soon))), soon)
            }
            OutageKind::Shut => (Outcome::Rejected(None), soon),
            OutageKind::Down => (Outcome::ConnectFailed, soon),
            OutageKind::Hung => (Outcome::Timeout, timeout),
        }
    }
}

/// The count of a second, from zero on.
fn second_of(counts: &mut Vec<usize>, since: Duration) -> &mut usize {
    let second = since.as_secs() as usize;
    counts.resize(counts.len().max(second + 1), 0);
    &mut counts[second]
}
