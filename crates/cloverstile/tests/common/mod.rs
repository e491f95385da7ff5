//! Test bench: a courier with a simulated clock.
#![allow(dead_code)]

pub mod crowd;

use cloverstile::*;
use std::time::Duration;

pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

pub fn keyed() -> Class {
    Class::default()
}

pub fn unsafe_class() -> Class {
    Class { effect: Effect::Unsafe, ..Class::default() }
}

pub fn safe() -> Class {
    Class { effect: Effect::Safe, ..Class::default() }
}

pub fn settings(classes: Vec<Class>) -> Settings {
    Settings { classes, couriers: 1, ..Settings::default() }
}

pub fn endpoint(id: u32, destination: u32) -> Endpoint {
    Endpoint {
        id: EndpointId(id),
        zone: ZoneId(0),
        kind: KindId(0),
        destination: DestinationId(destination),
        mode: Mode::Ready,
        weight: 100.0,
    }
}

/// A message enqueued now.
pub fn accepted(
    now: Time,
    id: u32,
    (class, rules): (ClassId, &Class),
    destination: u32,
    key: Option<u64>,
) -> Accepted {
    Accepted {
        id: MessageId(id),
        class,
        destination: DestinationId(destination),
        key: key.map(OrderKey),
        deadline: now + rules.deadline,
        from_dead_courier: false,
        tenant: TenantId(0),
    }
}

/// A message sent by the courier: message, endpoint, timeout.
pub type SentMessage = (u32, u32, Duration);

pub struct Bench {
    pub courier: Courier,
    pub now: Time,
    pub settings: Settings,
    attempts: std::collections::BTreeMap<u32, u16>,
}

impl Bench {
    pub fn new(settings: Settings, endpoints: Vec<Endpoint>) -> Self {
        let mut bench = Bench {
            courier: Courier::new(settings.clone(), 1),
            now: Time::ZERO + Duration::from_secs(100),
            settings,
            attempts: Default::default(),
        };
        bench.handle(Event::Listed(Listing::Whole(endpoints)));
        bench
    }

    pub fn handle(&mut self, event: Event) {
        self.courier.handle(self.now, event);
    }

    pub fn accept(&mut self, id: u32, class: u8, destination: u32, key: Option<u64>) {
        let class = (ClassId(class), &self.settings.classes[usize::from(class)]);
        self.handle(Event::Accept(accepted(self.now, id, class, destination, key)));
    }

    pub fn decide(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        self.courier.decide(self.now, &mut actions);
        for action in &actions {
            if let Action::Route { message, .. } = action {
                *self.attempts.entry(message.0).or_default() += 1;
            }
        }
        actions
    }

    pub fn sent_messages(&mut self) -> Vec<SentMessage> {
        let routed = |action: &Action| match action {
            Action::Route { message, endpoint, timeout, .. } => Some((message.0, endpoint.0, *timeout)),
            _ => None,
        };
        self.decide().iter().filter_map(routed).collect()
    }

    /// Advances the clock in steps of 5 ms and decides after each. Returns the first actions other than timers.
    pub fn until_action(&mut self, limit: Duration) -> Vec<Action> {
        let end = self.now + limit;
        while self.now < end {
            self.now = self.now + ms(5);
            let mut actions = self.decide();
            actions.retain(|a| !matches!(a, Action::SetTimer { .. }));
            if !actions.is_empty() {
                return actions;
            }
        }
        Vec::new()
    }

    /// Replaces the courier by one with other settings and another seed.
    pub fn restart(&mut self, settings: Settings, seed: u64, endpoints: Vec<Endpoint>) {
        self.courier = Courier::new(settings.clone(), seed);
        self.settings = settings;
        self.handle(Event::Listed(Listing::Whole(endpoints)));
    }

    pub fn finish(&mut self, message: u32, endpoint: u32, outcome: Outcome, latency: Duration) {
        self.finish_with_report(message, endpoint, outcome, latency, None);
    }

    /// Ends an attempt with a rejection that reports the limit and its unused share.
    pub fn reject(&mut self, message: u32, endpoint: u32, remaining_share: f64, limit: f64) {
        self.finish_with_report(
            message,
            endpoint,
            Outcome::Rejected(None),
            ms(20),
            Some(LimitReport { remaining_share, limit }),
        );
    }

    /// Ends an attempt with an outcome and, if given, a limit report.
    pub fn finish_with_report(
        &mut self,
        message: u32,
        endpoint: u32,
        outcome: Outcome,
        latency: Duration,
        limit_report: Option<LimitReport>,
    ) {
        let attempt = self.attempts.get(&message).map_or(0, |count| count - 1);
        self.handle(Event::Finished(Finished {
            message: MessageId(message),
            endpoint: EndpointId(endpoint),
            attempt,
            outcome,
            latency,
            complete: outcome == Outcome::Ok,
            limit_report,
        }));
    }
}
