//! Prints the time of one turn (events and `decide`) for growing numbers of open messages for destinations that do not
//! answer, and for growing numbers of destinations in an outage.
//!
//! `cargo run --release -p cloverstile --example turn_cost`

use cloverstile::*;
use std::time::{Duration, Instant};

const STEP: Duration = Duration::from_millis(1);
/// Each figure is the mean of this many turns, or of as many as fit into `MAX_TIME`.
const TURNS: u32 = 2000;
const KEYS: u32 = 16;
const MAX_TIME: Duration = Duration::from_secs(3);

struct Bench {
    courier: Courier,
    class: Class,
    now: Time,
    destinations: u32,
    accepted: u32,
    /// Outcome of each call in the next turn; `None` if calls are not answered.
    outcome: Option<Outcome>,
    in_flight: Vec<(MessageId, EndpointId)>,
}

impl Bench {
    fn new(destinations: u32, messages: u32, in_order: bool, outcome: Option<Outcome>) -> Self {
        let class = Class { deadline: Duration::from_secs(3600), in_order, ..Class::default() };
        let settings = Settings {
            classes: vec![class.clone()],
            call_slots: 64,
            max_held: 2_000_000,
            max_attempts: 1000,
            acknowledged_answers: true,
            ..Settings::default()
        };
        let now = Time::ZERO + Duration::from_secs(10_000);
        let mut courier = Courier::new(settings, 7);
        let endpoint = |destination: u32| Endpoint {
            id: EndpointId(destination),
            zone: ZoneId(0),
            kind: KindId(0),
            destination: DestinationId(destination),
            mode: Mode::Ready,
            weight: 50.0,
        };
        courier.handle(now, Event::Listed(Listing::Whole((0..destinations).map(endpoint).collect())));
        let mut bench =
            Bench { courier, class, now, destinations, accepted: 0, outcome, in_flight: Vec::new() };
        for _ in 0..messages {
            bench.now = bench.now + Duration::from_nanos(1000);
            bench.accept();
        }
        bench
    }

    fn accept(&mut self) {
        let accepted = Accepted {
            id: MessageId(self.accepted),
            class: ClassId(0),
            destination: DestinationId(self.accepted % self.destinations),
            key: Some(OrderKey(u64::from(self.accepted % KEYS))),
            deadline: self.now + self.class.deadline,
            from_dead_courier: false,
            tenant: TenantId(0),
        };
        self.accepted += 1;
        self.courier.handle(self.now, Event::Accept(accepted));
    }

    fn begin_outages(&mut self) {
        for destination in 0..self.destinations {
            let outage = OutageRecord {
                destination: DestinationId(destination),
                endpoint: None,
                since: self.now - Duration::from_secs(5),
                evidence: 6,
                calls_lost: Some(true),
                slow_start_since: None,
                served_rate: 1.0,
            };
            self.courier.handle(self.now, Event::OutageRestored(outage));
        }
    }

    /// One message is accepted, one is withdrawn, and the calls of the previous turn end.
    fn turn(&mut self) {
        self.now = self.now + STEP;
        self.accept();
        self.courier.handle(self.now, Event::ClientGone(MessageId(self.accepted / 2)));
        for (message, endpoint) in self.in_flight.drain(..) {
            if let Some(outcome) = self.outcome {
                let (attempt, latency, complete, limit_report) = (0, STEP, false, None);
                let finished =
                    Finished { message, endpoint, attempt, outcome, latency, complete, limit_report };
                self.courier.handle(self.now, Event::Finished(finished));
            }
        }
        let mut actions = Vec::new();
        self.courier.decide(self.now, &mut actions);
        for action in actions {
            if let Action::Route { message, endpoint, .. } = action {
                self.in_flight.push((message, endpoint));
            }
        }
    }

    fn nanoseconds_per_turn(&mut self) -> u128 {
        // Sends calls and waits until they are stalled.
        for _ in 0..20 {
            self.now = self.now + Duration::from_millis(200);
            self.turn();
        }
        let begin = Instant::now();
        let mut turns = 0;
        while turns < TURNS && begin.elapsed() < MAX_TIME {
            self.turn();
            turns += 1;
        }
        begin.elapsed().as_nanos() / u128::from(turns)
    }
}

fn main() {
    for (in_order, order) in [(true, "in order under 16 keys"), (false, "in any order")] {
        println!("open messages for 8 destinations that do not answer, {order}: ns per turn");
        for messages in [1_000, 10_000, 100_000, 1_000_000] {
            let mut bench = Bench::new(8, messages, in_order, None);
            println!("{messages:>10} {:>12}", bench.nanoseconds_per_turn());
        }
    }
    println!("destinations in an outage with 4 waiting messages each: ns per turn");
    for destinations in [10, 100, 1_000, 10_000] {
        let messages = 4 * destinations;
        let mut bench = Bench::new(destinations, messages, false, Some(Outcome::ConnectFailed));
        bench.begin_outages();
        println!("{destinations:>10} {:>12}", bench.nanoseconds_per_turn());
    }
}
