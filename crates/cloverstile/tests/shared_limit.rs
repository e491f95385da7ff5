//! One partner's limit shared by 1, 3, 100 and 200 couriers that know nothing of each other: after a common start, after
//! most were started again at one moment, and after the limit fell to a third, their calls together settle at it.
//! Refused calls use the limit up, and what is left of it is told with answers, refreshed now and then and late.

mod common;

use cloverstile::*;
use common::{accepted, endpoint, ms};
use std::collections::BTreeMap;
use std::time::Duration;

const STEP: Duration = Duration::from_millis(5);
const LIMIT: f64 = 120.0;
/// Seconds of the limit that can be saved up, and what refused calls can take beyond what there is.
const DEPTH_S: f64 = 0.6;
const REPORT: Duration = Duration::from_millis(600);
const REPORT_LATE: Duration = Duration::from_millis(200);
const TAKES: Duration = Duration::from_millis(130);
const SIZES: [u32; 4] = [1, 3, 100, 200];

struct Member {
    courier: Courier,
    wake: Option<(Time, u64)>,
    touched: bool,
}

struct Coming {
    member: usize,
    /// The process that sent it.
    life: u32,
    message: u32,
    attempt: u16,
    outcome: Outcome,
    told: LimitReport,
    sent: Time,
}

struct Fleet {
    settings: Settings,
    chance: fastrand::Rng,
    now: Time,
    members: Vec<(Member, u32)>,
    limit: f64,
    room: f64,
    /// Reports, the newest last: when it may be told, and what.
    reports: Vec<(Time, LimitReport)>,
    coming: BTreeMap<(Time, usize), Coming>,
    attempts: BTreeMap<u32, u16>,
    count: usize,
    calls: usize,
    ok: usize,
}

impl Fleet {
    fn new(couriers: u32, seed: u64) -> Self {
        // Each courier holds its part of all that eight seconds bring.
        let max_held = (8.0 * LIMIT / f64::from(couriers)).max(12.0) as usize;
        let settings = Settings { couriers, call_slots: 48, max_held, ..Settings::default() };
        let mut fleet = Fleet {
            settings,
            chance: fastrand::Rng::with_seed(seed),
            now: Time::ZERO + Duration::from_secs(100),
            members: Vec::new(),
            limit: LIMIT,
            room: LIMIT * DEPTH_S,
            reports: Vec::new(),
            coming: BTreeMap::new(),
            attempts: BTreeMap::new(),
            count: 0,
            calls: 0,
            ok: 0,
        };
        fleet.members = (0..couriers).map(|number| (fleet.member(number.into()), 0)).collect();
        fleet
    }

    fn member(&self, seed: u64) -> Member {
        let mut courier = Courier::new(self.settings.clone(), seed);
        let listed = Endpoint { weight: LIMIT, ..endpoint(7, 1) };
        courier.handle(self.now, Event::Listed(Listing::Whole(vec![listed])));
        Member { courier, wake: None, touched: true }
    }

    /// Starts so many of every ten couriers again; each is handed `backlog` messages at once.
    fn restart(&mut self, of_ten: usize, backlog: usize) {
        for number in (0..self.members.len()).filter(|number| number % 10 < of_ten) {
            let seed = self.chance.u64(..);
            self.members[number] = (self.member(seed), self.members[number].1 + 1);
            (0..backlog).for_each(|_| self.hand_in(number));
        }
    }

    fn hand_in(&mut self, member: usize) {
        let id = self.attempts.len() as u32;
        self.attempts.insert(id, 0);
        let message = accepted(self.now, id, (ClassId(0), &self.settings.classes[0]), 1, None);
        self.members[member].0.courier.handle(self.now, Event::Accept(message));
        self.members[member].0.touched = true;
    }

    /// Calls and answers over the limit, in so many seconds with so many messages for each call of it.
    fn run(&mut self, seconds: u64, load: f64) -> (f64, f64) {
        (self.calls, self.ok) = (0, 0);
        let end = self.now + Duration::from_secs(seconds);
        let mut owed = 0.0;
        while self.now < end {
            self.now = self.now + STEP;
            let more = self.limit * STEP.as_secs_f64();
            self.room = (self.room + more).min(self.limit * DEPTH_S);
            if self.reports.last().is_none_or(|(at, _)| *at + REPORT <= self.now) {
                let remaining_share = (self.room / (self.limit * DEPTH_S)).max(0.0);
                self.reports.push((self.now, LimitReport { remaining_share, limit: self.limit }));
            }
            owed += LIMIT * load * STEP.as_secs_f64() * self.chance.f64() * 2.0;
            while owed >= 1.0 {
                owed -= 1.0;
                let member = self.chance.usize(..self.members.len());
                self.hand_in(member);
            }
            self.tell();
            (0..self.members.len()).for_each(|member| self.act(member));
        }
        let whole = self.limit * seconds as f64;
        (self.calls as f64 / whole, self.ok as f64 / whole)
    }

    fn tell(&mut self) {
        let now = self.now;
        for (member, _) in &mut self.members {
            if let Some((_, token)) = member.wake.take_if(|(at, _)| *at <= now) {
                member.courier.handle(now, Event::TimerExpired(token));
                member.touched = true;
            }
        }
        while let Some(entry) = self.coming.first_entry().filter(|entry| entry.key().0 <= now) {
            let Coming { member, life, message, attempt, outcome, told, sent } = entry.remove();
            let (member, lives) = &mut self.members[member];
            if *lives != life {
                continue;
            }
            self.ok += usize::from(outcome == Outcome::Ok);
            member.touched = true;
            member.courier.handle(
                now,
                Event::Finished(Finished {
                    message: MessageId(message),
                    endpoint: EndpointId(7),
                    attempt,
                    outcome,
                    latency: now - sent,
                    complete: outcome == Outcome::Ok,
                    limit_report: Some(told),
                }),
            );
        }
    }

    fn act(&mut self, number: usize) {
        let (member, life) = &mut self.members[number];
        if !std::mem::take(&mut member.touched) {
            return;
        }
        let (mut actions, life) = (Vec::new(), *life);
        member.courier.decide(self.now, &mut actions);
        for action in actions {
            match action {
                Action::SetTimer { after, token } => {
                    self.members[number].0.wake = Some((self.now + after, token))
                }
                Action::Route { message: MessageId(message), .. } => {
                    self.calls += 1;
                    self.room -= 1.0;
                    let refused = self.room < 0.0;
                    self.room = self.room.max(-1.0);
                    let known = self.reports.iter().rev().find(|(at, _)| *at + REPORT_LATE <= self.now);
                    let told = known
                        .map_or(LimitReport { remaining_share: 1.0, limit: self.limit }, |(_, told)| *told);
                    let (outcome, after) =
                        if refused { (Outcome::Rejected(None), ms(20)) } else { (Outcome::Ok, TAKES) };
                    let attempts = self.attempts.entry(message).or_default();
                    let attempt = *attempts;
                    *attempts += 1;
                    self.count += 1;
                    let sent = self.now;
                    let coming = Coming { member: number, life, message, attempt, outcome, told, sent };
                    self.coming.insert((self.now + after, self.count), coming);
                }
                _ => {}
            }
        }
    }
}

/// Puts fleets of all sizes through something, with two seeds each, and looks five seconds later: so much of the limit is
/// called for, and so much used.
fn settle(what: &str, load: f64, disturb: impl Fn(&mut Fleet)) {
    for couriers in SIZES {
        for seed in 1..=2 {
            let mut fleet = Fleet::new(couriers, seed);
            disturb(&mut fleet);
            fleet.run(5, load);
            let (calls, ok) = fleet.run(8, load);
            let case = format!("{what}, {couriers} couriers: {calls:.2} of the limit called, {ok:.2} used");
            println!("{case}");
            assert!(calls <= 1.15 && ok >= 0.6, "{case}");
        }
    }
}

#[test]
fn after_a_simultaneous_start() {
    settle("a common start", 1.2, |fleet| fleet.restart(10, 400 / fleet.members.len()));
}

#[test]
fn after_most_were_restarted() {
    settle("a herd restart", 1.2, |fleet| {
        fleet.run(5, 0.7);
        fleet.restart(7, 300 / fleet.members.len());
    });
}

#[test]
fn after_the_limit_fell_to_a_third() {
    settle("a lowered limit", 0.8, |fleet| {
        fleet.run(5, 0.8);
        fleet.limit = LIMIT / 3.0;
    });
}

#[test]
fn after_the_limit_rose_again() {
    settle("a raised limit", 0.8, |fleet| {
        fleet.limit = LIMIT / 3.0;
        fleet.run(10, 0.8);
        fleet.limit = LIMIT;
    });
}

#[test]
fn below_the_limit_nothing_is_rejected_and_nothing_waits() {
    for couriers in SIZES {
        let mut fleet = Fleet::new(couriers, 3);
        fleet.run(5, 0.6);
        let (calls, ok) = fleet.run(10, 0.6);
        assert!((calls - ok).abs() < 0.02 && ok > 0.55, "{couriers} couriers: {calls:.2}, {ok:.2}");
    }
}

/// Every courier meets its first messages of a partner at one moment: what is refused then uses the limit up.
#[test]
fn a_first_burst_is_not_sent_by_all_couriers_at_once() {
    for couriers in [100, 200] {
        let mut fleet = Fleet::new(couriers, 5);
        fleet.restart(10, 1000 / couriers as usize);
        let (calls, ok) = fleet.run(4, 0.5);
        let case = format!("{couriers} couriers: {calls:.2} of the limit called, {ok:.2} used");
        println!("{case}");
        assert!(calls < 1.5 && ok > 0.45, "{case}");
    }
}
