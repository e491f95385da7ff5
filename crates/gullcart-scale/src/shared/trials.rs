//! Calls with which couriers try a partner that is down, where each has messages for it and tries by itself.

use super::AXIS;
use crate::fit::FitError;
use crate::record::{Measurement, Point};
use cloverstile::{
    Accepted, Action, Class, ClassId, Courier, DestinationId, Endpoint, EndpointId, Event, Finished, KindId,
    Listing, MessageId, Mode, Outcome, Settings, TenantId, Time, ZoneId,
};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

/// Calls a second that the partner takes while it is up.
const WEIGHT: f64 = 100.0;
/// Messages that wait at each courier.
const WAITING: u32 = 4;
/// A call fails after this.
const FAILS_AFTER: Duration = Duration::from_millis(20);
/// Couriers meet the outage within this.
const SPREAD: Duration = Duration::from_secs(2);
/// Nothing is counted before the couriers know of the outage: this, and more for each courier, as each tries the more seldom
/// the more there are ...
const SETTLED: Duration = Duration::from_secs(10);
const SETTLED_EACH: Duration = Duration::from_millis(50);
/// ... and the rate is that of as long a time, and this, from there on.
const COUNTED: Duration = Duration::from_secs(20);
/// Messages last longer than the measurement.
const DEADLINE: Duration = Duration::from_secs(7_200);
/// A message that was ended is followed by another one after this.
const NEXT_MESSAGE: Duration = Duration::from_millis(100);
const START: Duration = Duration::from_secs(100);
const TO: EndpointId = EndpointId(7);
const DESTINATION: DestinationId = DestinationId(1);

/// What happens next to a courier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    /// It is handed a message.
    Takes,
    /// Its wake-up with this token.
    Wakes(u64),
    /// A call with this message failed.
    Fails(u32),
}

/// Couriers that share nothing but the partner.
struct Crowd {
    couriers: Vec<Courier>,
    /// Attempts of each message, by courier.
    attempts: Vec<BTreeMap<u32, u16>>,
    /// Messages handed in so far, by courier.
    taken: Vec<u32>,
    /// By time, and in the order of their coming about.
    queue: BinaryHeap<Reverse<(Time, u64, usize, Happening)>>,
    next: u64,
    counted: u64,
    counts_from: Time,
    counts_for: Duration,
}

/// Measures the calls a second to a partner that takes no connection.
pub fn measure(sizes: &[u32]) -> Result<Vec<Measurement>, FitError> {
    let point =
        |couriers: &u32| Point { size: (*couriers).into(), value: trials_a_second(*couriers), samples: 1 };
    let points = sizes.iter().map(point).collect();
    Ok(vec![Measurement::new(
        "trial calls a second at a partner that is down",
        "calls a second",
        AXIS,
        points,
    )?])
}

fn trials_a_second(couriers: u32) -> f64 {
    let mut crowd = Crowd::new(couriers);
    let end = crowd.counts_from + crowd.counts_for;
    while let Some(Reverse((now, _, courier, happening))) = crowd.queue.pop().filter(|next| next.0 .0 < end) {
        crowd.happen(now, courier, happening);
    }
    crowd.counted as f64 / crowd.counts_for.as_secs_f64()
}

fn settings(couriers: u32) -> Settings {
    let class = Class { deadline: DEADLINE, ..Class::default() };
    Settings { couriers, classes: vec![class], ..Settings::default() }
}

fn endpoint() -> Endpoint {
    Endpoint {
        id: TO,
        zone: ZoneId(0),
        kind: KindId(0),
        destination: DESTINATION,
        mode: Mode::Ready,
        weight: WEIGHT,
    }
}

impl Crowd {
    fn new(couriers: u32) -> Self {
        let start = Time::ZERO + START;
        let settled = SETTLED + SETTLED_EACH * couriers;
        let mut crowd = Crowd {
            couriers: Vec::new(),
            attempts: vec![BTreeMap::new(); couriers as usize],
            taken: vec![0; couriers as usize],
            queue: BinaryHeap::new(),
            next: 0,
            counted: 0,
            counts_from: start + settled,
            counts_for: settled + COUNTED,
        };
        for number in 0..couriers {
            let mut courier = Courier::new(settings(couriers), number.into());
            courier.handle(start, Event::Listed(Listing::Whole(vec![endpoint()])));
            crowd.couriers.push(courier);
            let begins = start + SPREAD * number / couriers;
            (0..WAITING).for_each(|_| crowd.push(begins, number as usize, Happening::Takes));
        }
        crowd
    }

    fn push(&mut self, at: Time, courier: usize, happening: Happening) {
        self.next += 1;
        self.queue.push(Reverse((at, self.next, courier, happening)));
    }

    fn happen(&mut self, now: Time, number: usize, happening: Happening) {
        let courier = &mut self.couriers[number];
        match happening {
            Happening::Takes => {
                courier.handle(now, Event::Accept(accepted(now, self.taken[number])));
                self.taken[number] += 1;
            }
            Happening::Wakes(token) => courier.handle(now, Event::TickDue(token)),
            Happening::Fails(message) => {
                let attempts = self.attempts[number].entry(message).or_default();
                courier.handle(now, Event::Finished(failed(message, *attempts)));
                *attempts += 1;
            }
        }
        self.decide(now, number);
    }

    fn decide(&mut self, now: Time, number: usize) {
        let mut actions = Vec::new();
        self.couriers[number].decide(now, &mut actions);
        for action in actions {
            match action {
                Action::Wake { after, token } => self.push(now + after, number, Happening::Wakes(token)),
                Action::Route { message, .. } => {
                    self.counted += u64::from(now >= self.counts_from);
                    self.push(now + FAILS_AFTER, number, Happening::Fails(message.0));
                }
                Action::Busy { .. } | Action::ReportFailure { .. } => {
                    self.push(now + NEXT_MESSAGE, number, Happening::Takes);
                }
                _ => {}
            }
        }
    }
}

fn accepted(now: Time, message: u32) -> Accepted {
    Accepted {
        id: MessageId(message),
        class: ClassId(0),
        destination: DESTINATION,
        key: None,
        deadline: now + DEADLINE,
        from_dead_courier: false,
        tenant: TenantId(0),
    }
}

fn failed(message: u32, attempt: u16) -> Finished {
    Finished {
        message: MessageId(message),
        endpoint: TO,
        attempt,
        outcome: Outcome::ConnectFailed,
        latency: FAILS_AFTER,
        complete: false,
        allowance: None,
    }
}
