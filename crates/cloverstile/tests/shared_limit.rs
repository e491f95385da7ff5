//! One partner's limit shared by 1, 3, 100 and 200 couriers that do not communicate. After a simultaneous start, after most
//! were restarted at once, and after the limit fell to a third, the sum of their calls settles at the limit. Rejected calls
//! use up the limit too. Its unused share is reported with answers, updated at intervals and with a delay.

mod common;

use cloverstile::*;
use common::{accepted, endpoint, ms};
use std::collections::BTreeMap;
use std::time::Duration;

const STEP: Duration = Duration::from_millis(5);
const LIMIT: f64 = 120.0;
/// Size of the partner's token bucket, in seconds of the limit.
const BUCKET_SECONDS: f64 = 0.6;
const REPORT_INTERVAL: Duration = Duration::from_millis(600);
const REPORT_DELAY: Duration = Duration::from_millis(200);
const CALL_TIME: Duration = Duration::from_millis(130);
const COURIER_COUNTS: [u32; 4] = [1, 3, 100, 200];

struct SimulatedCourier {
    courier: Courier,
    timer: Option<(Time, u64)>,
    has_events: bool,
}

struct PendingOutcome {
    courier_index: usize,
    /// Incarnation of the courier that sent the call.
    incarnation: u32,
    message: u32,
    attempt: u16,
    outcome: Outcome,
    report: LimitReport,
    sent: Time,
}

struct Fleet {
    settings: Settings,
    rng: fastrand::Rng,
    now: Time,
    /// Couriers with their incarnations.
    couriers: Vec<(SimulatedCourier, u32)>,
    limit: f64,
    tokens: f64,
    /// Limit reports with the time of their creation, the newest last.
    reports: Vec<(Time, LimitReport)>,
    pending: BTreeMap<(Time, usize), PendingOutcome>,
    attempts: BTreeMap<u32, u16>,
    call_count: usize,
    calls: usize,
    served: usize,
}

impl Fleet {
    fn new(couriers: u32, seed: u64) -> Self {
        // Each courier can hold its share of the messages of eight seconds.
        let max_held = (8.0 * LIMIT / f64::from(couriers)).max(12.0) as usize;
        let settings = Settings { couriers, call_slots: 48, max_held, ..Settings::default() };
        let mut fleet = Fleet {
            settings,
            rng: fastrand::Rng::with_seed(seed),
            now: Time::ZERO + Duration::from_secs(100),
            couriers: Vec::new(),
            limit: LIMIT,
            tokens: LIMIT * BUCKET_SECONDS,
            reports: Vec::new(),
            pending: BTreeMap::new(),
            attempts: BTreeMap::new(),
            call_count: 0,
            calls: 0,
            served: 0,
        };
        fleet.couriers = (0..couriers).map(|number| (fleet.new_courier(number.into()), 0)).collect();
        fleet
    }

    fn new_courier(&self, seed: u64) -> SimulatedCourier {
        let mut courier = Courier::new(self.settings.clone(), seed);
        let listed = Endpoint { weight: LIMIT, ..endpoint(7, 1) };
        courier.handle(self.now, Event::Listed(Listing::Whole(vec![listed])));
        SimulatedCourier { courier, timer: None, has_events: true }
    }

    /// Restarts `of_ten` of every ten couriers and enqueues `backlog` messages at once at each of them.
    fn restart(&mut self, of_ten: usize, backlog: usize) {
        for number in (0..self.couriers.len()).filter(|number| number % 10 < of_ten) {
            let seed = self.rng.u64(..);
            self.couriers[number] = (self.new_courier(seed), self.couriers[number].1 + 1);
            (0..backlog).for_each(|_| self.enqueue(number));
        }
    }

    fn enqueue(&mut self, courier_index: usize) {
        let id = self.attempts.len() as u32;
        self.attempts.insert(id, 0);
        let message = accepted(self.now, id, (ClassId(0), &self.settings.classes[0]), 1, None);
        self.couriers[courier_index].0.courier.handle(self.now, Event::Accept(message));
        self.couriers[courier_index].0.has_events = true;
    }

    /// Enqueues `load * LIMIT` messages a second for some seconds. Returns calls sent and calls served, relative to the
    /// current limit.
    fn run(&mut self, seconds: u64, load: f64) -> (f64, f64) {
        (self.calls, self.served) = (0, 0);
        let end = self.now + Duration::from_secs(seconds);
        let mut pending_messages = 0.0;
        while self.now < end {
            self.now = self.now + STEP;
            let more = self.limit * STEP.as_secs_f64();
            self.tokens = (self.tokens + more).min(self.limit * BUCKET_SECONDS);
            if self.reports.last().is_none_or(|(at, _)| *at + REPORT_INTERVAL <= self.now) {
                let remaining_share = (self.tokens / (self.limit * BUCKET_SECONDS)).max(0.0);
                self.reports.push((self.now, LimitReport { remaining_share, limit: self.limit }));
            }
            pending_messages += LIMIT * load * STEP.as_secs_f64() * self.rng.f64() * 2.0;
            while pending_messages >= 1.0 {
                pending_messages -= 1.0;
                let courier_index = self.rng.usize(..self.couriers.len());
                self.enqueue(courier_index);
            }
            self.deliver_events();
            (0..self.couriers.len()).for_each(|courier_index| self.decide(courier_index));
        }
        let limit_calls = self.limit * seconds as f64;
        (self.calls as f64 / limit_calls, self.served as f64 / limit_calls)
    }

    fn deliver_events(&mut self) {
        let now = self.now;
        for (simulated, _) in &mut self.couriers {
            if let Some((_, token)) = simulated.timer.take_if(|(at, _)| *at <= now) {
                simulated.courier.handle(now, Event::TimerExpired(token));
                simulated.has_events = true;
            }
        }
        while let Some(entry) = self.pending.first_entry().filter(|entry| entry.key().0 <= now) {
            let PendingOutcome { courier_index, incarnation, message, attempt, outcome, report, sent } =
                entry.remove();
            let (simulated, current_incarnation) = &mut self.couriers[courier_index];
            if *current_incarnation != incarnation {
                continue;
            }
            self.served += usize::from(outcome == Outcome::Ok);
            simulated.has_events = true;
            simulated.courier.handle(
                now,
                Event::Finished(Finished {
                    message: MessageId(message),
                    endpoint: EndpointId(7),
                    attempt,
                    outcome,
                    latency: now - sent,
                    complete: outcome == Outcome::Ok,
                    limit_report: Some(report),
                }),
            );
        }
    }

    fn decide(&mut self, number: usize) {
        let (simulated, incarnation) = &mut self.couriers[number];
        if !std::mem::take(&mut simulated.has_events) {
            return;
        }
        let (mut actions, incarnation) = (Vec::new(), *incarnation);
        simulated.courier.decide(self.now, &mut actions);
        for action in actions {
            match action {
                Action::SetTimer { after, token } => {
                    self.couriers[number].0.timer = Some((self.now + after, token))
                }
                Action::Route { message: MessageId(message), .. } => {
                    self.calls += 1;
                    self.tokens -= 1.0;
                    let rejected = self.tokens < 0.0;
                    self.tokens = self.tokens.max(-1.0);
                    let known = self.reports.iter().rev().find(|(at, _)| *at + REPORT_DELAY <= self.now);
                    let report = known
                        .map_or(LimitReport { remaining_share: 1.0, limit: self.limit }, |(_, report)| {
                            *report
                        });
                    let (outcome, after) =
                        if rejected { (Outcome::Rejected(None), ms(20)) } else { (Outcome::Ok, CALL_TIME) };
                    let attempts = self.attempts.entry(message).or_default();
                    let attempt = *attempts;
                    *attempts += 1;
                    self.call_count += 1;
                    let sent = self.now;
                    let pending = PendingOutcome {
                        courier_index: number,
                        incarnation,
                        message,
                        attempt,
                        outcome,
                        report,
                        sent,
                    };
                    self.pending.insert((self.now + after, self.call_count), pending);
                }
                _ => {}
            }
        }
    }
}

/// Disturbs fleets of all sizes, with two seeds each, and asserts that five seconds later the calls are near the limit and most
/// of the limit is used.
fn assert_settles(disturbance: &str, load: f64, disturb: impl Fn(&mut Fleet)) {
    for couriers in COURIER_COUNTS {
        for seed in 1..=2 {
            let mut fleet = Fleet::new(couriers, seed);
            disturb(&mut fleet);
            fleet.run(5, load);
            let (calls, served) = fleet.run(8, load);
            let case = format!(
                "{disturbance}, {couriers} couriers: {calls:.2} of the limit called, {served:.2} used"
            );
            println!("{case}");
            assert!(calls <= 1.15 && served >= 0.6, "{case}");
        }
    }
}

#[test]
fn after_a_simultaneous_start() {
    assert_settles("a simultaneous start", 1.2, |fleet| fleet.restart(10, 400 / fleet.couriers.len()));
}

#[test]
fn after_most_were_restarted() {
    assert_settles("a restart of most couriers", 1.2, |fleet| {
        fleet.run(5, 0.7);
        fleet.restart(7, 300 / fleet.couriers.len());
    });
}

#[test]
fn after_the_limit_fell_to_a_third() {
    assert_settles("a lowered limit", 0.8, |fleet| {
        fleet.run(5, 0.8);
        fleet.limit = LIMIT / 3.0;
    });
}

#[test]
fn after_the_limit_rose_again() {
    assert_settles("a raised limit", 0.8, |fleet| {
        fleet.limit = LIMIT / 3.0;
        fleet.run(10, 0.8);
        fleet.limit = LIMIT;
    });
}

#[test]
fn below_the_limit_nothing_is_rejected_and_nothing_waits() {
    for couriers in COURIER_COUNTS {
        let mut fleet = Fleet::new(couriers, 3);
        fleet.run(5, 0.6);
        let (calls, served) = fleet.run(10, 0.6);
        assert!(
            (calls - served).abs() < 0.02 && served > 0.55,
            "{couriers} couriers: {calls:.2}, {served:.2}"
        );
    }
}

/// All couriers get their first messages for a partner at once. Rejected calls would use up the limit.
#[test]
fn a_first_burst_is_not_sent_by_all_couriers_at_once() {
    for couriers in [100, 200] {
        let mut fleet = Fleet::new(couriers, 5);
        fleet.restart(10, 1000 / couriers as usize);
        let (calls, served) = fleet.run(4, 0.5);
        let case = format!("{couriers} couriers: {calls:.2} of the limit called, {served:.2} used");
        println!("{case}");
        assert!(calls < 1.5 && served > 0.45, "{case}");
    }
}
