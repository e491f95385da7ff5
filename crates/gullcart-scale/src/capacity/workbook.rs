//! Figures that are worked out from records, with what each was worked out from.

use super::quantity::{Quantity, NOT_MEASURED};
use super::virtual_fleet;
use crate::record::{Measurement, Point, RecordError, RunRecord};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::{Add, Mul};
use std::path::Path;
use thiserror::Error;

/// Names what fleets in virtual time printed.
const VIRTUAL_FLEETS: &str = "distribution-virtual";
/// Where a quantity grows faster than this power of the size between its two largest sizes, it is carried on by that power.
const STEEP: f64 = 1.2;
/// A line that misses a point by more than this part of it is not carried on: what lies between the two largest sizes is.
const WORST_RESIDUAL: f64 = 0.2;

/// Units of records that the model counts in others, and by what they are multiplied.
const OTHER_UNITS: [(&str, f64); 2] = [("us", 1e-6), ("ms", 1e-3)];

/// Why the page cannot be worked out.
#[derive(Debug, Error)]
pub enum CapacityError {
    /// A record cannot be read.
    #[error(transparent)]
    Record(#[from] RecordError),
    /// The folder of records cannot be read.
    #[error("{0}: {1}")]
    Folder(std::path::PathBuf, std::io::Error),
    /// A figure needs what no record holds.
    #[error("no record holds '{1}' of {0}")]
    Missing(&'static str, &'static str),
    /// Something is listed as not measured, and a record holds it.
    #[error("'{1}' of {0} is measured by now: take it off the list of what is not")]
    Measured(&'static str, &'static str),
    /// The page is not made of what it should be.
    #[error("line {line}: {fault}")]
    Page {
        /// Counted from one.
        line: usize,
        /// What is wrong there.
        fault: String,
    },
}

/// A figure of the page.
#[derive(Clone, Debug, PartialEq)]
pub enum Figure {
    /// What it needs was not measured.
    Open,
    /// Worked out.
    Worked(Worked),
}

/// A figure that is worked out.
#[derive(Clone, Debug, PartialEq)]
pub struct Worked {
    /// Its value.
    pub value: f64,
    /// Whether a slope was carried outside of the sizes that it was measured at.
    pub is_extrapolated: bool,
    /// The measurements behind it, by their places in [`Workbook::sources`].
    pub sources: BTreeSet<usize>,
}

/// A measurement at a size.
#[derive(Clone, Debug)]
pub struct Source {
    /// What was measured.
    pub quantity: Quantity,
    /// Its unit.
    pub unit: String,
    /// What its size counts; empty for the figure of a run.
    pub axis: String,
    /// The size that was asked for.
    pub size: f64,
    /// The smallest and the largest one measured.
    pub measured: (f64, f64),
    /// The value there.
    pub value: f64,
    /// How it was come by.
    pub method: Method,
}

/// How the value of a source was come by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Method {
    /// Read from the run.
    Read,
    /// Between two measured sizes.
    Between,
    /// On the fitted line.
    Line,
    /// Carried on by the slope between the two largest sizes.
    Secant,
    /// Carried on from the largest size by this power.
    Power(f64),
    /// No growth was seen: the most that was measured at any size. A falling line is noise, as no cost falls with size.
    Level,
}

/// The records, and what was taken from them.
pub struct Workbook {
    records: BTreeMap<String, RunRecord>,
    /// Each measurement that was used, in the order of its first use.
    pub sources: Vec<Source>,
}

impl Figure {
    /// A figure that follows from the target alone.
    pub fn given(value: f64) -> Figure {
        Figure::Worked(Worked { value, is_extrapolated: false, sources: BTreeSet::new() })
    }

    /// Its value, where there is one.
    pub fn value(&self) -> Option<f64> {
        match self {
            Figure::Open => None,
            Figure::Worked(worked) => Some(worked.value),
        }
    }

    fn map(self, change: impl FnOnce(f64) -> f64) -> Figure {
        match self {
            Figure::Open => Figure::Open,
            Figure::Worked(worked) => Figure::Worked(Worked { value: change(worked.value), ..worked }),
        }
    }

    /// The larger of two figures; open where one is.
    pub fn max(self, other: Figure) -> Figure {
        self.join(other, f64::max)
    }

    /// What is left of a budget.
    pub fn left_of(self, budget: f64) -> Figure {
        self.map(|value| budget - value)
    }

    fn join(self, other: Figure, with: impl FnOnce(f64, f64) -> f64) -> Figure {
        let (Figure::Worked(left), Figure::Worked(right)) = (self, other) else { return Figure::Open };
        Figure::Worked(Worked {
            value: with(left.value, right.value),
            is_extrapolated: left.is_extrapolated || right.is_extrapolated,
            sources: left.sources.union(&right.sources).copied().collect(),
        })
    }
}

impl Mul<f64> for Figure {
    type Output = Figure;
    fn mul(self, factor: f64) -> Figure {
        self.map(|value| value * factor)
    }
}

impl Mul for Figure {
    type Output = Figure;
    fn mul(self, other: Figure) -> Figure {
        self.join(other, |left, right| left * right)
    }
}

impl Add for Figure {
    type Output = Figure;
    fn add(self, other: Figure) -> Figure {
        self.join(other, |left, right| left + right)
    }
}

impl Workbook {
    /// Reads all records of a folder.
    pub fn read(folder: &Path) -> Result<Workbook, CapacityError> {
        let fault = |error| CapacityError::Folder(folder.to_owned(), error);
        let mut records = BTreeMap::new();
        for entry in std::fs::read_dir(folder).map_err(fault)? {
            let path = entry.map_err(fault)?.path();
            if path.extension().is_some_and(|extension| extension == "json") {
                let record = read_record(&path)?;
                records.insert(record.name.clone(), record);
            }
        }
        let workbook = Workbook { records, sources: Vec::new() };
        workbook.check_not_measured()?;
        Ok(workbook)
    }

    /// A quantity at a size.
    pub fn at(&mut self, quantity: Quantity, size: f64) -> Result<Figure, CapacityError> {
        let Some(measurement) = self.measurement(quantity) else { return missing(quantity) };
        let factor = factor_of(&measurement.unit);
        let source = project(quantity, measurement, size);
        Ok(self.take(source) * factor)
    }

    /// A quantity of the daemon at a size: as it is, or as it was before where it was not measured again yet.
    pub fn latest(&mut self, quantity: Quantity, size: f64) -> Result<Figure, CapacityError> {
        let quantity = self.newest(quantity);
        self.at(quantity, size)
    }

    fn newest(&self, quantity: Quantity) -> Quantity {
        let is_open = NOT_MEASURED.contains(&quantity) && self.measurement(quantity).is_none();
        quantity.before().filter(|_| is_open).unwrap_or(quantity)
    }

    /// What each one of size adds to a quantity, at a size: its growth from nothing, over the size.
    pub fn each(&mut self, quantity: Quantity, size: f64) -> Result<Figure, CapacityError> {
        let quantity = self.newest(quantity);
        let intercept = |of: &Measurement| of.fit.at(0.0).max(0.0) * factor_of(&of.unit);
        let base = self.measurement(quantity).map_or(0.0, intercept);
        Ok(self.at(quantity, size)?.map(|value| (value - base) / size))
    }

    /// A figure of a run as a whole.
    pub fn read_figure(&mut self, quantity: Quantity) -> Result<Figure, CapacityError> {
        let record = self.records.get(quantity.record);
        let Some(figure) = record.and_then(|record| record.figure(quantity.name)) else {
            return missing(quantity);
        };
        let source = Source {
            quantity,
            unit: figure.unit.clone(),
            axis: String::new(),
            size: 1.0,
            measured: (1.0, 1.0),
            value: figure.value,
            method: Method::Read,
        };
        let factor = factor_of(&source.unit);
        Ok(self.take(source) * factor)
    }

    /// The size at which a quantity comes to a limit, which is in seconds for times; infinite where it does not grow so far.
    pub fn size_at(&mut self, quantity: Quantity, limit: f64) -> Result<Figure, CapacityError> {
        let Some(measurement) = self.measurement(quantity) else { return missing(quantity) };
        let limit = limit / factor_of(&measurement.unit);
        let size = crossing(measurement, limit).unwrap_or(f64::INFINITY);
        let source = project(quantity, measurement, size);
        Ok(match self.take(source) {
            Figure::Worked(worked) => Figure::Worked(Worked { value: size, ..worked }),
            Figure::Open => Figure::Open,
        })
    }

    /// The same of a quantity as it is, or as it was before where it was not measured again yet.
    pub fn size_at_latest(&mut self, quantity: Quantity, limit: f64) -> Result<Figure, CapacityError> {
        let quantity = self.newest(quantity);
        self.size_at(quantity, limit)
    }

    /// A record by its name.
    pub fn record(&self, name: &str) -> Option<&RunRecord> {
        self.records.get(name)
    }

    /// The records, by name.
    pub fn records(&self) -> impl Iterator<Item = &RunRecord> {
        self.records.values()
    }

    /// A measured quantity.
    pub fn measurement(&self, quantity: Quantity) -> Option<&Measurement> {
        self.records.get(quantity.record)?.measurement(quantity.name)
    }

    fn take(&mut self, source: Source) -> Figure {
        let same = |known: &Source| known.quantity == source.quantity && known.size == source.size;
        let place = self.sources.iter().position(same).unwrap_or(self.sources.len());
        let worked = Worked {
            value: source.value,
            is_extrapolated: source.is_extrapolated(),
            sources: BTreeSet::from([place]),
        };
        if place == self.sources.len() {
            self.sources.push(source);
        }
        Figure::Worked(worked)
    }

    fn check_not_measured(&self) -> Result<(), CapacityError> {
        let holds = |quantity: &&Quantity| {
            let record = self.records.get(quantity.record);
            record.is_some_and(|record| {
                record.measurement(quantity.name).is_some() || record.figure(quantity.name).is_some()
            })
        };
        match NOT_MEASURED.iter().find(holds) {
            Some(quantity) => Err(CapacityError::Measured(quantity.record, quantity.name)),
            None => Ok(()),
        }
    }
}

impl Source {
    /// Whether the size lies outside of all that was measured.
    pub fn is_extrapolated(&self) -> bool {
        let (smallest, largest) = self.measured;
        self.size < smallest || self.size > largest
    }
}

/// A record, or what a fleet in virtual time printed.
fn read_record(path: &Path) -> Result<RunRecord, CapacityError> {
    let name = path.file_stem().map(|stem| stem.to_string_lossy().into_owned()).unwrap_or_default();
    if !name.starts_with(VIRTUAL_FLEETS) {
        return Ok(RunRecord::read(path)?);
    }
    let text =
        std::fs::read_to_string(path).map_err(|error| CapacityError::Folder(path.to_owned(), error))?;
    virtual_fleet::record_of(&name, &text)
        .map_err(|error| RecordError::Content(path.to_owned(), error).into())
}

fn factor_of(unit: &str) -> f64 {
    OTHER_UNITS.iter().find(|(name, _)| *name == unit).map_or(1.0, |(_, factor)| *factor)
}

fn missing(quantity: Quantity) -> Result<Figure, CapacityError> {
    match NOT_MEASURED.contains(&quantity) {
        true => Ok(Figure::Open),
        false => Err(CapacityError::Missing(quantity.record, quantity.name)),
    }
}

/// How a quantity goes on beyond its largest size.
struct Growth {
    method: Method,
    largest: Point,
    slope: f64,
}

impl Growth {
    fn of(measurement: &Measurement) -> Option<Growth> {
        let [below, largest] = measurement.points.last_chunk()?;
        let exponent = (largest.value / below.value).ln() / (largest.size / below.size).ln();
        let secant = (largest.value - below.value) / (largest.size - below.size);
        let (method, slope) = if exponent > STEEP {
            (Method::Power(exponent), secant)
        } else if measurement.fit.worst_relative_residual > WORST_RESIDUAL && secant > 0.0 {
            (Method::Secant, secant)
        } else if measurement.fit.slope <= 0.0 {
            (Method::Level, 0.0)
        } else {
            (Method::Line, measurement.fit.slope)
        };
        Some(Growth { method, largest: *largest, slope })
    }

    fn at(&self, measurement: &Measurement, size: f64) -> f64 {
        match self.method {
            Method::Power(exponent) => self.largest.value * (size / self.largest.size).powf(exponent),
            Method::Secant => self.largest.value + self.slope * (size - self.largest.size),
            Method::Level => measurement.points.iter().map(|point| point.value).fold(0.0, f64::max),
            Method::Line | Method::Between | Method::Read => measurement.fit.at(size),
        }
    }

    /// The size at which a value is come to.
    fn size_at(&self, measurement: &Measurement, limit: f64) -> f64 {
        match self.method {
            Method::Power(exponent) => self.largest.size * (limit / self.largest.value).powf(1.0 / exponent),
            Method::Secant => self.largest.size + (limit - self.largest.value) / self.slope,
            Method::Level => f64::INFINITY,
            Method::Line | Method::Between | Method::Read => {
                (limit - measurement.fit.intercept) / measurement.fit.slope
            }
        }
    }
}

fn project(quantity: Quantity, measurement: &Measurement, size: f64) -> Source {
    let fit = &measurement.fit;
    let growth = Growth::of(measurement).filter(|growth| size > growth.largest.size);
    let (value, method) = match (between(measurement, size), growth) {
        (Some(value), _) => (value, Method::Between),
        (None, Some(growth)) => (growth.at(measurement, size), growth.method),
        (None, None) => (fit.at(size), Method::Line),
    };
    Source {
        quantity,
        unit: measurement.unit.clone(),
        axis: measurement.axis.name.clone(),
        size,
        measured: (measurement.points.first().map_or(0.0, |point| point.size), fit.largest_size),
        value: value.max(0.0),
        method,
    }
}

/// The value between the two measured sizes round a size; none outside of them.
fn between(measurement: &Measurement, size: f64) -> Option<f64> {
    let pair = measurement.points.windows(2).find(|pair| pair[0].size <= size && size <= pair[1].size)?;
    let [below, above] = pair else { return None };
    let part = (size - below.size) / (above.size - below.size);
    Some(below.value + part * (above.value - below.value))
}

/// The size at which a quantity comes to a limit: between two measured sizes where it does so there, else by its growth.
fn crossing(measurement: &Measurement, limit: f64) -> Option<f64> {
    let reaches = |pair: &&[Point]| pair[0].value <= limit && limit < pair[1].value;
    if let Some([below, above]) = measurement.points.windows(2).find(reaches) {
        let part = (limit - below.value) / (above.value - below.value);
        return Some(below.size + part * (above.size - below.size));
    }
    let size = Growth::of(measurement)?.size_at(measurement, limit);
    (size.is_finite() && size > 0.0).then_some(size)
}
