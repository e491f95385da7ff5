//! Couriers that share nothing but one partner, in virtual time.

use super::partner::{Partner, CAPACITY};
use cloverstile::{
    Accepted, Action, Class, ClassId, Courier, DestinationId, Endpoint, EndpointId, Event, Finished, KindId,
    Listing, MessageId, Mode, Outcome, Settings, TenantId, Time, ZoneId,
};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

/// Messages that wait at each courier.
const WAITING: u32 = 4;
/// Couriers meet the outage within this.
const SPREAD: Duration = Duration::from_secs(2);
/// Messages last longer than a measurement.
const DEADLINE: Duration = Duration::from_secs(7_200);
/// A message that was handed back is followed by another one after this.
const NEXT_MESSAGE: Duration = Duration::from_millis(100);
const TO: EndpointId = EndpointId(7);
const DESTINATION: DestinationId = DestinationId(1);

/// Between two seeds of a crowd.
const SEED_STEP: u64 = 1_000_000;

/// When a measurement begins.
pub const START: Time = Time(100 * NANOSECONDS);
const NANOSECONDS: u64 = 1_000_000_000;

/// What happens next to a courier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    /// It is handed a message.
    Takes,
    /// Its wake-up with this token.
    Wakes(u64),
    /// A call with this message ended: this many calls were made before.
    Ends(u32, usize),
}

/// One courier, with what its messages have seen.
struct Member {
    courier: Courier,
    attempts: BTreeMap<u32, u16>,
    taken: u32,
    has_delivered: bool,
}

/// The couriers and their partner.
pub struct Crowd {
    /// The partner.
    pub partner: Partner,
    members: Vec<Member>,
    /// By time, and in the order of their coming about.
    queue: BinaryHeap<Reverse<(Time, u64, usize, Happening)>>,
    next: u64,
    outcomes: Vec<(Outcome, Duration)>,
    /// When each call was made.
    pub calls: Vec<Time>,
    /// When each courier had its first message delivered.
    pub first_deliveries: Vec<Time>,
}

/// The settings of such couriers.
pub fn settings(couriers: u32) -> Settings {
    let class = Class { deadline: DEADLINE, ..Class::default() };
    Settings { couriers, classes: vec![class], ..Settings::default() }
}

impl Crowd {
    /// Couriers that have messages for a partner which is down until some time.
    pub fn new(couriers: u32, seed: u64, back: Option<Time>) -> Self {
        let settings = settings(couriers);
        let mut crowd = Crowd {
            partner: Partner::new(&settings, back),
            members: Vec::new(),
            queue: BinaryHeap::new(),
            next: 0,
            outcomes: Vec::new(),
            calls: Vec::new(),
            first_deliveries: Vec::new(),
        };
        for number in 0..couriers {
            crowd.members.push(Member::new(&settings, seed * SEED_STEP + u64::from(number)));
            let begins = START + SPREAD * number / couriers;
            (0..WAITING).for_each(|_| crowd.push(begins, number as usize, Happening::Takes));
        }
        crowd
    }

    /// Plays until some time.
    pub fn play(&mut self, until: Time) {
        while self.queue.peek().is_some_and(|next| next.0 .0 < until) {
            if let Some(Reverse((now, _, courier, happening))) = self.queue.pop() {
                self.happen(now, courier, happening);
            }
        }
    }

    fn push(&mut self, at: Time, courier: usize, happening: Happening) {
        self.next += 1;
        self.queue.push(Reverse((at, self.next, courier, happening)));
    }

    fn happen(&mut self, now: Time, number: usize, happening: Happening) {
        match happening {
            Happening::Takes => self.members[number].take(now),
            Happening::Wakes(token) => self.members[number].courier.handle(now, Event::TimerExpired(token)),
            Happening::Ends(message, call) => self.end(now, number, message, call),
        }
        self.decide(now, number);
    }

    fn end(&mut self, now: Time, number: usize, message: u32, call: usize) {
        let (outcome, latency) = self.outcomes[call];
        let member = &mut self.members[number];
        member.end(now, message, outcome, latency);
        if outcome == Outcome::Ok && !std::mem::replace(&mut member.has_delivered, true) {
            self.first_deliveries.push(now);
        }
    }

    fn decide(&mut self, now: Time, number: usize) {
        let mut actions = Vec::new();
        self.members[number].courier.decide(now, &mut actions);
        for action in actions {
            match action {
                Action::SetTimer { after, token } => self.push(now + after, number, Happening::Wakes(token)),
                Action::Route { message, .. } => self.call(now, number, message.0),
                Action::Return { .. } | Action::ReportFailure { .. } => {
                    self.push(now + NEXT_MESSAGE, number, Happening::Takes);
                }
                _ => {}
            }
        }
    }

    fn call(&mut self, now: Time, number: usize, message: u32) {
        let (outcome, latency) = self.partner.call(now);
        self.push(now + latency, number, Happening::Ends(message, self.outcomes.len()));
        self.outcomes.push((outcome, latency));
        self.calls.push(now);
    }
}

impl Member {
    fn new(settings: &Settings, seed: u64) -> Self {
        let mut courier = Courier::new(settings.clone(), seed);
        courier.handle(START, Event::Listed(Listing::Whole(vec![endpoint()])));
        Member { courier, attempts: BTreeMap::new(), taken: 0, has_delivered: false }
    }

    fn take(&mut self, now: Time) {
        let accepted = Accepted {
            id: MessageId(self.taken),
            class: ClassId(0),
            destination: DESTINATION,
            key: None,
            deadline: now + DEADLINE,
            from_dead_courier: false,
            tenant: TenantId(0),
        };
        self.courier.handle(now, Event::Accept(accepted));
        self.taken += 1;
    }

    fn end(&mut self, now: Time, message: u32, outcome: Outcome, latency: Duration) {
        let attempts = self.attempts.entry(message).or_default();
        let finished = Finished {
            message: MessageId(message),
            endpoint: TO,
            attempt: *attempts,
            outcome,
            latency,
            complete: outcome == Outcome::Ok,
            limit_report: None,
        };
        *attempts += 1;
        self.courier.handle(now, Event::Finished(finished));
    }
}

fn endpoint() -> Endpoint {
    Endpoint {
        id: TO,
        zone: ZoneId(0),
        kind: KindId(0),
        destination: DESTINATION,
        mode: Mode::Ready,
        weight: CAPACITY,
    }
}
