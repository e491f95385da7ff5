//! Arrivals: every message of a day, drawn from its seed. They never wait for answers.

use super::time::at;
use crate::scenario::{Fault, FaultKind, Scenario};
use gullcart_judge::trace::Timestamp;

/// Sets what is drawn here apart from what else is drawn from the same seed.
const SEED_MIX: u64 = 0x6172_7269_7661_6c73;
/// A clump comes within this.
const CLUMP_SPREAD_S: f64 = 0.25;

/// A message, as its client means to send it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// When.
    pub at: Timestamp,
    /// Place of its class.
    pub class: usize,
    /// Place of its partner.
    pub partner: usize,
    /// In ordered classes, never 0.
    pub key: Option<u64>,
}

/// More traffic for a while, in seconds of the day.
struct Surge {
    from: f64,
    to: f64,
    times: f64,
}

/// What arrivals are drawn from.
struct Arrivals<'a> {
    scenario: &'a Scenario,
    rng: fastrand::Rng,
    /// What the traffic asks of each partner, in calls a second.
    demand: Vec<f64>,
    /// The part of each class.
    shares: Vec<f64>,
    drawn: Vec<Arrival>,
}

/// Draws the arrivals of a day, in the order of time. `begins` says when each fault begins, in seconds.
pub(super) fn draw(scenario: &Scenario, seed: u64, begins: &[f64]) -> Vec<Arrival> {
    let demand = (0..scenario.partners.len()).map(|place| scenario.demand(place)).collect();
    let shares = scenario.classes.iter().map(|class| class.share).collect();
    let rng = fastrand::Rng::with_seed(seed ^ SEED_MIX);
    let mut arrivals = Arrivals { scenario, rng, demand, shares, drawn: Vec::new() };
    arrivals.draw_single(&surges(scenario, begins));
    if scenario.traffic.clumps > 0.0 {
        arrivals.draw_clumps();
    }
    arrivals.drawn.sort_by_key(|arrival| arrival.at);
    arrivals.drawn
}

fn surges(scenario: &Scenario, begins: &[f64]) -> Vec<Surge> {
    let faults = scenario.faults.iter().zip(begins);
    let surging = faults.filter(|(fault, _)| fault.kind == FaultKind::Surge);
    let surge = |(fault, begin): (&Fault, &f64)| Surge {
        from: *begin,
        to: begin + fault.length_s,
        times: fault.severity,
    };
    surging.map(surge).collect()
}

impl Arrivals<'_> {
    /// Messages that come one by one. They are thinned from the highest rate, so that a surge changes no draw outside of
    /// it.
    fn draw_single(&mut self, surges: &[Surge]) {
        let traffic = &self.scenario.traffic;
        let most = surges.iter().map(|surge| surge.times.max(1.0)).product::<f64>();
        let rate = traffic.per_second * (1.0 - traffic.clumps) * most;
        let mut now = exponential(&mut self.rng, rate);
        while now < self.scenario.seconds {
            let in_force = surges.iter().filter(|surge| (surge.from..surge.to).contains(&now));
            let times = in_force.map(|surge| surge.times).product::<f64>();
            let is_kept = self.rng.f64() * most < times;
            let partner = weighted(&mut self.rng, &self.demand);
            let arrival = self.one(now, partner);
            if is_kept {
                self.drawn.push(arrival);
            }
            now += exponential(&mut self.rng, rate);
        }
    }

    /// Clumps: many messages for one partner within a short time.
    fn draw_clumps(&mut self) {
        let traffic = &self.scenario.traffic;
        let whole: f64 = self.demand.iter().sum();
        let of_all = self.demand.iter().enumerate();
        let mean: f64 = of_all.map(|(place, part)| part / whole * self.clump_size(place)).sum();
        let rate = traffic.per_second * traffic.clumps / mean;
        let mut now = exponential(&mut self.rng, rate);
        while now < self.scenario.seconds {
            let partner = weighted(&mut self.rng, &self.demand);
            for _ in 0..self.clump_size(partner).round() as usize {
                let later = now + self.rng.f64() * CLUMP_SPREAD_S;
                let arrival = self.one(later.min(self.scenario.seconds), partner);
                self.drawn.push(arrival);
            }
            now += exponential(&mut self.rng, rate);
        }
    }

    /// Messages in a clump for a partner: a time's worth of what it takes.
    fn clump_size(&self, partner: usize) -> f64 {
        let partner = &self.scenario.partners[partner];
        let rate = partner.rate.unwrap_or_else(|| f64::from(partner.count.unwrap_or(1)) / partner.span_s);
        (rate * self.scenario.traffic.clump_s).max(1.0)
    }

    /// A message that comes now.
    fn one(&mut self, now: f64, partner: usize) -> Arrival {
        let class = weighted(&mut self.rng, &self.shares);
        let keys = self.scenario.traffic.keys;
        // Keys of different partners differ, and none is 0.
        let in_order = self.scenario.classes[class].in_order;
        let key = in_order.then(|| 1 + partner as u64 * keys + self.rng.u64(0..keys));
        Arrival { at: at(now), class, partner, key }
    }
}

/// A draw of the time until the next event of a Poisson process.
fn exponential(rng: &mut fastrand::Rng, rate: f64) -> f64 {
    -(1.0 - rng.f64()).ln() / rate.max(1e-9)
}

/// A draw of a place, by the weights.
fn weighted(rng: &mut fastrand::Rng, weights: &[f64]) -> usize {
    let mut left = rng.f64() * weights.iter().sum::<f64>();
    for (place, weight) in weights.iter().enumerate() {
        left -= weight;
        if left < 0.0 {
            return place;
        }
    }
    weights.len().saturating_sub(1)
}
