//! The shape of a simulated fleet and of its network.

use gullcart_distribution::guards::Guards;
use gullcart_distribution::scope::Scope;
use serde_json::{json, Value as Json};

/// Faults of single messages. Real links keep order; with these, the state machines have to notice.
#[derive(Clone, Copy, Debug, Default)]
pub struct MessageFaults {
    /// Probability that a message is lost.
    pub loss: f64,
    /// Probability that it comes twice.
    pub duplicate: f64,
    /// Probability that it comes late, and others before it.
    pub reorder: f64,
}

/// Everything that a simulated run depends on.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub regions: usize,
    pub zones: usize,
    pub couriers_per_zone: usize,
    /// Couriers over all zones; the last zones may have fewer.
    pub couriers: usize,
    pub shares_per_zone: usize,
    pub shares_per_courier: usize,
    pub global_entries: usize,
    pub region_entries: usize,
    pub zone_entries: usize,
    /// Destinations that are down, in each share.
    pub down_per_share: usize,
    pub value_bytes: usize,
    /// One-way latencies, in microseconds, plus up to half of it at random.
    pub latency_in_zone: u64,
    pub latency_in_region: u64,
    pub latency_to_source: u64,
    /// Probability that a message is held up by a retransmission, and for how long.
    pub retransmission: f64,
    pub retransmission_micros: u64,
    pub faults: MessageFaults,
    /// Clocks run fast or slow by up to so many parts in a million.
    pub clock_ppm: i64,
    pub guards: Guards,
    /// Whether states are compared after each call, and not only when their position has moved.
    pub compares_always: bool,
}

impl Plan {
    /// The fleet of the operators.
    pub fn full(seed: u64) -> Self {
        Self {
            seed,
            regions: 11,
            zones: 23,
            couriers_per_zone: 480,
            couriers: 11_000,
            shares_per_zone: 178,
            shares_per_courier: 8,
            global_entries: 200,
            region_entries: 50,
            zone_entries: 50,
            down_per_share: 8,
            value_bytes: 40,
            latency_in_zone: 500,
            latency_in_region: 3_000,
            latency_to_source: 40_000,
            retransmission: 0.001,
            retransmission_micros: 220_000,
            faults: MessageFaults::default(),
            clock_ppm: 400,
            guards: Guards::ALL,
            compares_always: false,
        }
    }

    /// A fleet that is played through in a moment.
    pub fn small(seed: u64) -> Self {
        Self {
            regions: 2,
            zones: 4,
            couriers_per_zone: 6,
            couriers: 24,
            shares_per_zone: 6,
            shares_per_courier: 2,
            global_entries: 10,
            region_entries: 5,
            zone_entries: 5,
            down_per_share: 3,
            compares_always: true,
            ..Self::full(seed)
        }
    }

    /// The region of a zone.
    pub fn region_of(&self, zone: usize) -> usize {
        zone % self.regions
    }

    /// Another zone of the same region if there is one.
    pub fn neighbour_of(&self, zone: usize) -> usize {
        let next = zone + self.regions;
        if next < self.zones {
            next
        } else {
            zone % self.regions
        }
    }

    /// The zone of a courier.
    pub fn zone_of(&self, courier: usize) -> usize {
        (courier / self.couriers_per_zone).min(self.zones - 1)
    }

    /// The scopes of a courier.
    pub fn scopes_of(&self, courier: usize) -> Vec<Scope> {
        let zone = self.zone_of(courier);
        let first = courier * self.shares_per_courier;
        let share = |number| self.share(zone, (first + number) % self.shares_per_zone);
        let mut scopes = vec![
            Scope::Global,
            Scope::Region(self.region_of(zone) as u16),
            Scope::Zone(zone as u16),
            Scope::Courier(courier as u32),
        ];
        scopes.extend((0..self.shares_per_courier).map(share));
        scopes
    }

    /// A share of the destinations of a zone.
    pub fn share(&self, zone: usize, number: usize) -> Scope {
        Scope::Destinations((zone * self.shares_per_zone + number) as u32)
    }

    /// All parameters, for the record.
    pub fn to_json(&self) -> Json {
        json!({
            "seed": self.seed, "regions": self.regions, "zones": self.zones, "couriers": self.couriers,
            "couriers_per_zone": self.couriers_per_zone, "shares_per_zone": self.shares_per_zone,
            "shares_per_courier": self.shares_per_courier, "global_entries": self.global_entries,
            "region_entries": self.region_entries, "zone_entries": self.zone_entries,
            "down_per_share": self.down_per_share, "value_bytes": self.value_bytes,
            "latency_in_zone_micros": self.latency_in_zone, "latency_in_region_micros": self.latency_in_region,
            "latency_to_source_micros": self.latency_to_source, "latency_jitter": "up to half on top, uniform",
            "retransmission_probability": self.retransmission,
            "retransmission_micros": self.retransmission_micros, "clock_ppm": self.clock_ppm,
            "message_loss": self.faults.loss, "message_duplicate": self.faults.duplicate,
            "message_reorder": self.faults.reorder, "guards": format!("{:?}", self.guards),
        })
    }
}
