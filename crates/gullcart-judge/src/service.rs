//! The service kept: the worth delivered over the worth asked for, and the time from intended send to delivery.

use crate::trace::At;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::time::Duration;

/// Length of the window whose worst counts.
const WORST_WINDOW_S: usize = 10;
/// Longest latency that is told apart, in milliseconds: ten minutes.
const LONGEST_MS: u64 = 600_000;

/// What a message of a class is worth.
#[derive(Clone, Copy, Debug)]
pub struct Worth {
    /// In full within the aim.
    pub worth: f64,
    /// Counted from the intended send.
    pub aim: Duration,
    /// When it is given up.
    pub deadline: Duration,
    /// The share that is left just before the deadline; it falls evenly from the aim on.
    pub late_share: f64,
}

impl Worth {
    /// What a delivery after so long is worth.
    pub fn after(&self, latency: Duration) -> f64 {
        if latency <= self.aim {
            return self.worth;
        }
        if latency > self.deadline {
            return 0.0;
        }
        let late = (latency - self.aim).as_secs_f64() / (self.deadline - self.aim).as_secs_f64().max(1e-9);
        self.worth * (1.0 - late * (1.0 - self.late_share))
    }
}

/// How the parts of the figure weigh; they are scaled to sum 1.
#[derive(Clone, Copy, Debug)]
pub struct Weights {
    /// The whole run.
    pub whole: f64,
    /// The worst ten seconds.
    pub worst_window: f64,
    /// The worst-served class.
    pub worst_class: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Weights { whole: 0.55, worst_window: 0.25, worst_class: 0.2 }
    }
}

/// The worth of the messages that were meant to be sent in one second.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Second {
    /// Asked for.
    pub asked: f64,
    /// Delivered, whenever that was.
    pub served: f64,
}

/// The figures of service, each from 0 to 1.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ServiceFigures {
    /// The mix of the others.
    pub service: f64,
    /// The whole run.
    pub whole: f64,
    /// The worst ten seconds.
    pub worst_window: f64,
    /// The worst class.
    pub worst_class: f64,
}

/// Latencies in milliseconds from the intended send time.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Latency {
    /// How many were delivered.
    pub count: u64,
    /// Half of them within.
    pub p50: u64,
    /// Nine in ten.
    pub p90: u64,
    /// 99 in 100.
    pub p99: u64,
    /// 999 in 1,000.
    pub p999: u64,
    /// The longest.
    pub max: u64,
}

impl Latency {
    fn of(histogram: &Histogram<u64>) -> Self {
        let at = |quantile| histogram.value_at_quantile(quantile);
        let (p50, p90, p99, p999) = (at(0.5), at(0.9), at(0.99), at(0.999));
        Latency { count: histogram.len(), p50, p90, p99, p999, max: histogram.max() }
    }
}

/// Counts the service of a run. A client's further tries belong to its first.
pub struct Service {
    classes: Vec<Worth>,
    seconds: Vec<Second>,
    of_class: Vec<Second>,
    latency: Vec<Histogram<u64>>,
}

impl Service {
    /// For classes in the order of their numbers.
    pub fn new(classes: Vec<Worth>) -> Self {
        let histogram = || {
            let bounded = Histogram::new_with_bounds(1, LONGEST_MS, 3);
            bounded.expect("the bounds are constants that the histogram allows")
        };
        Service {
            of_class: vec![Second::default(); classes.len()],
            latency: classes.iter().map(|_| histogram()).collect(),
            classes,
            seconds: Vec::new(),
        }
    }

    /// A message was meant to be sent at this time. `class` is its place in the list.
    pub fn asked(&mut self, class: usize, intended: At) {
        if let Some(worth) = self.classes.get(class).map(|class| class.worth) {
            self.second(intended).asked += worth;
            self.of_class[class].asked += worth;
        }
    }

    /// ... and was delivered at that time.
    pub fn delivered(&mut self, class: usize, intended: At, delivered: At) {
        let latency = delivered - intended;
        if let Some(worth) = self.classes.get(class).map(|class| class.after(latency)) {
            self.second(intended).served += worth;
            self.of_class[class].served += worth;
            self.latency[class].saturating_record(latency.as_millis() as u64);
        }
    }

    fn second(&mut self, at: At) -> &mut Second {
        let place = (at.0 / 1_000_000) as usize;
        if self.seconds.len() <= place {
            self.seconds.resize(place + 1, Second::default());
        }
        &mut self.seconds[place]
    }

    /// Second by second, by the intended send.
    pub fn seconds(&self) -> &[Second] {
        &self.seconds
    }

    /// Of one class, or of all.
    pub fn latency(&self, class: Option<usize>) -> Latency {
        if let Some(class) = class {
            return self.latency.get(class).map(Latency::of).unwrap_or_default();
        }
        self.all().as_ref().map(Latency::of).unwrap_or_default()
    }

    /// Shares of the deliveries of all classes, denser towards the tail, and within how many milliseconds they came.
    pub fn percentiles(&self) -> Vec<(f64, u64)> {
        let Some(all) = self.all().filter(|all| !all.is_empty()) else { return Vec::new() };
        all.iter_quantiles(5).map(|step| (step.quantile(), step.value_iterated_to())).collect()
    }

    fn all(&self) -> Option<Histogram<u64>> {
        let mut all: Option<Histogram<u64>> = None;
        for one in &self.latency {
            match &mut all {
                // All have the same bounds, so that adding cannot fail.
                Some(all) => drop(all.add(one)),
                None => all = Some(one.clone()),
            }
        }
        all
    }

    /// The figures so far; a run in which nothing was asked is served in full.
    pub fn figures(&self, weights: Weights) -> ServiceFigures {
        let share = |seconds: &[Second]| {
            let asked: f64 = seconds.iter().map(|second| second.asked).sum();
            let served: f64 = seconds.iter().map(|second| second.served).sum();
            if asked > 0.0 {
                served / asked
            } else {
                1.0
            }
        };
        let whole = share(&self.seconds);
        let worst_window = self.seconds.windows(WORST_WINDOW_S).map(share).fold(whole, f64::min);
        let worst_class = self.of_class.iter().map(|class| share(&[*class])).fold(1.0, f64::min);
        let sum = weights.whole + weights.worst_window + weights.worst_class;
        let mixed =
            weights.whole * whole + weights.worst_window * worst_window + weights.worst_class * worst_class;
        ServiceFigures { service: mixed / sum.max(1e-9), whole, worst_window, worst_class }
    }
}
