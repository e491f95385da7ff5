//! Measures the service delivered: the worth of the delivered messages relative to that of all requested ones, and the
//! latency from the intended send to the delivery.

use crate::trace::Timestamp;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::time::Duration;

/// Length of the sliding window for the score of the worst window.
const WORST_WINDOW_SECONDS: usize = 10;
/// Latencies above ten minutes are recorded as ten minutes.
const MAX_LATENCY_MS: u64 = 600_000;
/// Number of quantiles that [`ServiceMeter::percentiles`] lists each time the distance to 1 halves.
const QUANTILES_PER_HALVING: u32 = 5;

/// What a message of a class is worth, depending on its latency.
#[derive(Clone, Copy, Debug)]
pub struct ClassWorth {
    /// Worth of a message that is delivered within `aim`.
    pub worth: f64,
    /// Latency up to which a message has its full worth.
    pub aim: Duration,
    /// Latency beyond which a message is worth nothing.
    pub deadline: Duration,
    /// Share of `worth` that a delivery right at the deadline still has. The worth falls linearly from `aim` to there.
    pub share_at_deadline: f64,
}

impl ClassWorth {
    /// The worth of a delivery with the given latency from the intended send.
    pub fn at_latency(&self, latency: Duration) -> f64 {
        if latency <= self.aim {
            return self.worth;
        }
        if latency > self.deadline {
            return 0.0;
        }
        let late = (latency - self.aim).as_secs_f64() / (self.deadline - self.aim).as_secs_f64().max(1e-9);
        self.worth * (1.0 - late * (1.0 - self.share_at_deadline))
    }
}

/// The weights of the partial scores in the combined one; they are scaled to a sum of 1.
#[derive(Clone, Copy, Debug)]
pub struct Weights {
    /// Weight of the score of the whole run.
    pub whole_run: f64,
    /// Weight of the score of the worst ten seconds.
    pub worst_window: f64,
    /// Weight of the score of the worst-served class.
    pub worst_class: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Weights { whole_run: 0.55, worst_window: 0.25, worst_class: 0.2 }
    }
}

/// Totals of worth for a group of messages: those whose intended send was in one second, or those of a class.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct WorthTotals {
    /// Worth of all these messages, each counted in full.
    #[serde(rename = "asked")]
    pub requested_worth: f64,
    /// Worth of their deliveries, whenever these happened.
    #[serde(rename = "served")]
    pub delivered_worth: f64,
}

/// The scores of a run: the share of the requested worth that was delivered, each from 0 to 1.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ServiceScores {
    /// The weighted mean of the other scores.
    #[serde(rename = "service")]
    pub combined: f64,
    /// The score of the whole run.
    #[serde(rename = "whole")]
    pub whole_run: f64,
    /// The score of the worst ten seconds.
    pub worst_window: f64,
    /// The score of the worst-served class.
    pub worst_class: f64,
}

/// A summary of latencies, in milliseconds from the intended send.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct LatencySummary {
    /// Number of deliveries.
    pub count: u64,
    /// Median.
    pub p50: u64,
    /// 90th percentile.
    pub p90: u64,
    /// 99th percentile.
    pub p99: u64,
    /// 99.9th percentile.
    pub p999: u64,
    /// Maximum.
    pub max: u64,
}

impl LatencySummary {
    fn of(histogram: &Histogram<u64>) -> Self {
        let at = |quantile| histogram.value_at_quantile(quantile);
        LatencySummary {
            count: histogram.len(),
            p50: at(0.5),
            p90: at(0.9),
            p99: at(0.99),
            p999: at(0.999),
            max: histogram.max(),
        }
    }
}

/// Measures the service of a run.
///
/// The intended send is the time at which the load plan has a client send a message, however late the client really
/// sends it. A message that a client retries is to be recorded once, with the intended send of its first request.
pub struct ServiceMeter {
    classes: Vec<ClassWorth>,
    seconds: Vec<WorthTotals>,
    /// Totals of the whole run, by class.
    class_totals: Vec<WorthTotals>,
    /// Latencies of deliveries in milliseconds, by class.
    latencies: Vec<Histogram<u64>>,
}

impl ServiceMeter {
    /// A meter for the given classes. The other methods take an index into this list.
    pub fn new(classes: Vec<ClassWorth>) -> Self {
        let histogram = || {
            let bounded = Histogram::new_with_bounds(1, MAX_LATENCY_MS, 3);
            bounded.expect("the bounds are constants that the histogram allows")
        };
        ServiceMeter {
            class_totals: vec![WorthTotals::default(); classes.len()],
            latencies: classes.iter().map(|_| histogram()).collect(),
            classes,
            seconds: Vec::new(),
        }
    }

    /// Counts a message with the given time of its intended send.
    pub fn record_request(&mut self, class: usize, intended_send: Timestamp) {
        if let Some(worth) = self.classes.get(class).map(|class| class.worth) {
            self.second(intended_send).requested_worth += worth;
            self.class_totals[class].requested_worth += worth;
        }
    }

    /// Counts a delivery, with the time of the intended send of its message.
    pub fn record_delivery(&mut self, class: usize, intended_send: Timestamp, delivered_at: Timestamp) {
        let latency = delivered_at - intended_send;
        if let Some(worth) = self.classes.get(class).map(|class| class.at_latency(latency)) {
            self.second(intended_send).delivered_worth += worth;
            self.class_totals[class].delivered_worth += worth;
            self.latencies[class].saturating_record(latency.as_millis() as u64);
        }
    }

    fn second(&mut self, at: Timestamp) -> &mut WorthTotals {
        let index = (at.0 / 1_000_000) as usize;
        if self.seconds.len() <= index {
            self.seconds.resize(index + 1, WorthTotals::default());
        }
        &mut self.seconds[index]
    }

    /// The totals of each second, by the intended send.
    pub fn seconds(&self) -> &[WorthTotals] {
        &self.seconds
    }

    /// The latencies of one class, or of all classes together.
    pub fn latency(&self, class: Option<usize>) -> LatencySummary {
        if let Some(class) = class {
            return self.latencies.get(class).map(LatencySummary::of).unwrap_or_default();
        }
        self.all_latencies().as_ref().map(LatencySummary::of).unwrap_or_default()
    }

    /// The distribution of latencies over all classes, as pairs of a quantile and a latency in milliseconds. The
    /// quantiles become denser towards 1.
    pub fn percentiles(&self) -> Vec<(f64, u64)> {
        let Some(all) = self.all_latencies().filter(|all| !all.is_empty()) else { return Vec::new() };
        all.iter_quantiles(QUANTILES_PER_HALVING)
            .map(|step| (step.quantile(), step.value_iterated_to()))
            .collect()
    }

    fn all_latencies(&self) -> Option<Histogram<u64>> {
        let mut all: Option<Histogram<u64>> = None;
        for one in &self.latencies {
            match &mut all {
                // Adding cannot fail, as all histograms have the same bounds.
                Some(all) => drop(all.add(one)),
                None => all = Some(one.clone()),
            }
        }
        all
    }

    /// The scores so far. A span without requests has a score of 1.
    pub fn scores(&self, weights: Weights) -> ServiceScores {
        let score = |totals: &[WorthTotals]| {
            let requested: f64 = totals.iter().map(|second| second.requested_worth).sum();
            let delivered: f64 = totals.iter().map(|second| second.delivered_worth).sum();
            if requested > 0.0 {
                delivered / requested
            } else {
                1.0
            }
        };
        let whole_run = score(&self.seconds);
        let worst_window = self.seconds.windows(WORST_WINDOW_SECONDS).map(score).fold(whole_run, f64::min);
        let worst_class = self.class_totals.iter().map(|class| score(&[*class])).fold(1.0, f64::min);
        let weight_sum = weights.whole_run + weights.worst_window + weights.worst_class;
        let weighted = weights.whole_run * whole_run
            + weights.worst_window * worst_window
            + weights.worst_class * worst_class;
        ServiceScores { combined: weighted / weight_sum.max(1e-9), whole_run, worst_window, worst_class }
    }
}
