//! Gathers what was measured at each size into a record.

use super::error::MeasureError;
use super::system;
use crate::record::{Figure, Measurement, Point, RunRecord, SCHEMA};
use std::collections::BTreeMap;
use std::time::SystemTime;

/// Names the parameters that tell why something was not reached.
pub const NOT_REACHED: &str = "not reached";
const BYTES: &str = "bytes";
const MICROSECONDS: &str = "us";

/// What a run is called, and how it is repeated.
#[derive(Clone, Debug)]
pub struct RunTitle {
    /// Names the record.
    pub name: String,
    /// The command that repeats it.
    pub command: String,
    /// The commit of the daemon.
    pub commit: String,
}

struct Quantity {
    name: &'static str,
    unit: &'static str,
    points: Vec<Point>,
}

/// Quantities by one kind of size.
pub struct Collector {
    axis: &'static str,
    quantities: Vec<Quantity>,
    parameters: BTreeMap<String, String>,
}

/// A quantity in microseconds.
pub fn microseconds(time: std::time::Duration) -> f64 {
    time.as_nanos() as f64 / 1e3
}

impl Collector {
    /// Nothing yet, by sizes that count `axis`.
    pub fn new(axis: &'static str) -> Self {
        Collector { axis, quantities: Vec::new(), parameters: BTreeMap::new() }
    }

    /// Notes what the run was told.
    pub fn parameter(&mut self, name: &str, value: impl ToString) {
        self.parameters.insert(name.to_owned(), value.to_string());
    }

    /// Notes a value at a size, the median of so many samples.
    pub fn add(&mut self, name: &'static str, unit: &'static str, size: usize, value: f64, samples: u32) {
        let point = Point { size: size as f64, value, samples };
        match self.quantities.iter_mut().find(|quantity| quantity.name == name) {
            Some(quantity) => quantity.points.push(point),
            None => self.quantities.push(Quantity { name, unit, points: vec![point] }),
        }
    }

    /// Notes bytes at a size.
    pub fn bytes(&mut self, name: &'static str, size: usize, bytes: u64) {
        self.add(name, BYTES, size, bytes as f64, 1);
    }

    /// Notes a time at a size.
    pub fn time(&mut self, name: &'static str, size: usize, sampled: Sampled) {
        self.add(name, MICROSECONDS, size, microseconds(sampled.median), sampled.samples);
    }

    /// Notes that a quantity has no value at a size; an error of the whole run is handed on.
    pub fn not_reached(&mut self, what: &str, size: usize, error: MeasureError) -> Result<(), MeasureError> {
        if !error.is_of_one_size() {
            return Err(error);
        }
        self.parameter(&format!("{NOT_REACHED}: {what} at {size} {}", self.axis), error);
        Ok(())
    }

    /// Why sizes or quantities have no value.
    pub fn not_reached_reasons(&self) -> impl Iterator<Item = &str> {
        let reasons = self.parameters.iter().filter(|(name, _)| name.starts_with(NOT_REACHED));
        reasons.map(|(_, reason)| reason.as_str())
    }

    /// What was last measured of a quantity.
    pub fn points(&self, name: &str) -> &[Point] {
        self.quantities.iter().find(|quantity| quantity.name == name).map_or(&[], |quantity| &quantity.points)
    }

    /// The record. A quantity with too few sizes for a fit becomes a figure for each of them.
    pub fn record(self, title: RunTitle) -> Result<RunRecord, MeasureError> {
        let (mut measurements, mut figures) = (Vec::new(), Vec::new());
        for Quantity { name, unit, points } in self.quantities {
            match Measurement::new(name, unit, self.axis, points.clone()) {
                Ok(measurement) => measurements.push(measurement),
                Err(_) => figures.extend(points.iter().map(|point| Figure {
                    name: format!("{name} at {} {}", point.size, self.axis),
                    unit: unit.to_owned(),
                    value: point.value,
                })),
            }
        }
        Ok(RunRecord {
            schema: SCHEMA,
            name: title.name,
            command: title.command,
            commit: title.commit,
            date: humantime::format_rfc3339_seconds(SystemTime::now()).to_string(),
            machine: system::machine()?,
            parameters: self.parameters,
            measurements,
            figures,
        })
    }
}

/// The median of some samples.
#[derive(Clone, Copy, Debug)]
pub struct Sampled {
    /// The middle one, or the mean of the two in the middle.
    pub median: std::time::Duration,
    /// How many there were.
    pub samples: u32,
}

impl Sampled {
    /// One sample.
    pub fn once(time: std::time::Duration) -> Self {
        Sampled { median: time, samples: 1 }
    }

    /// The median of samples; none where there are none.
    pub fn of(mut samples: Vec<std::time::Duration>) -> Option<Self> {
        samples.sort();
        let (low, high) = (samples.len().checked_sub(1)? / 2, samples.len() / 2);
        let median = (samples[low] + samples[high]) / 2;
        Some(Sampled { median, samples: samples.len() as u32 })
    }
}
