//! The kept result of one run: plain data, read and written as JSON.

use crate::fit::{Fit, FitError};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The version of the records that this release writes and reads.
pub const SCHEMA: u32 = 1;

/// One run of one measurement.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunRecord {
    /// See [`SCHEMA`].
    pub schema: u32,
    /// Names the measurement; the file is called after it.
    pub name: String,
    /// The command that repeats it.
    pub command: String,
    /// The commit that was measured.
    pub commit: String,
    /// When, as an RFC 3339 time in UTC.
    pub date: String,
    /// Where.
    pub machine: Machine,
    /// What the run was told, by name.
    #[serde(default)]
    pub parameters: BTreeMap<String, String>,
    /// Quantities by size.
    #[serde(default)]
    pub measurements: Vec<Measurement>,
    /// Quantities of this run alone.
    #[serde(default)]
    pub figures: Vec<Figure>,
}

/// The machine of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Machine {
    /// The processor, as the system names it.
    pub processor: String,
    /// Processors that the run could use.
    pub cores: u32,
    /// Memory in bytes.
    pub memory_bytes: u64,
}

/// What the size of a point counts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Axis {
    /// For instance `endpoints`.
    pub name: String,
}

/// One quantity at several sizes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Measurement {
    /// Names the quantity within the record.
    pub name: String,
    /// The unit of the values, for instance `bytes`.
    pub unit: String,
    /// What the size counts.
    pub axis: Axis,
    /// What was measured, by growing size.
    pub points: Vec<Point>,
    /// Worked out from the points.
    pub fit: Fit,
}

/// One measured size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// How much there was.
    pub size: f64,
    /// What was measured: the median, where it was measured several times.
    pub value: f64,
    /// How often it was measured.
    pub samples: u32,
}

/// A quantity that belongs to the run as a whole.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Figure {
    /// Names the quantity within the record.
    pub name: String,
    /// The unit of the value.
    pub unit: String,
    /// What was measured.
    pub value: f64,
}

/// Why a record cannot be used.
#[derive(Debug, Error)]
pub enum RecordError {
    /// The file cannot be read or written.
    #[error("{0}: {1}")]
    File(PathBuf, std::io::Error),
    /// The file does not hold a record.
    #[error("{0}: {1}")]
    Content(PathBuf, serde_json::Error),
    /// Another release wrote it.
    #[error("{0}: its schema is {1}, and this release reads {SCHEMA}")]
    Schema(PathBuf, u32),
    /// A fit is not that of its points.
    #[error("{0}: the fit of {1} is not that of its points")]
    Fit(PathBuf, String),
}

impl Measurement {
    /// A quantity with its fit; the points are put in order of size.
    pub fn new(name: &str, unit: &str, axis: &str, mut points: Vec<Point>) -> Result<Self, FitError> {
        points.sort_by(|left, right| left.size.total_cmp(&right.size));
        let fit = Fit::of(&points)?;
        Ok(Measurement {
            name: name.to_owned(),
            unit: unit.to_owned(),
            axis: Axis { name: axis.to_owned() },
            points,
            fit,
        })
    }
}

impl RunRecord {
    /// Reads a record, and refuses one whose fits are not those of its points.
    pub fn read(path: &Path) -> Result<Self, RecordError> {
        let text =
            std::fs::read_to_string(path).map_err(|error| RecordError::File(path.to_owned(), error))?;
        let record: RunRecord =
            serde_json::from_str(&text).map_err(|error| RecordError::Content(path.to_owned(), error))?;
        if record.schema != SCHEMA {
            return Err(RecordError::Schema(path.to_owned(), record.schema));
        }
        let is_wrong = |measurement: &&Measurement| {
            !Fit::of(&measurement.points).is_ok_and(|fit| fit.is_close_to(&measurement.fit))
        };
        match record.measurements.iter().find(is_wrong) {
            Some(wrong) => Err(RecordError::Fit(path.to_owned(), wrong.name.clone())),
            None => Ok(record),
        }
    }

    /// Writes the record as `<name>.json` into a folder, and says where.
    pub fn write(&self, folder: &Path) -> Result<PathBuf, RecordError> {
        let path = folder.join(format!("{}.json", self.name));
        let mut text =
            serde_json::to_string_pretty(self).map_err(|error| RecordError::Content(path.clone(), error))?;
        text.push('\n');
        std::fs::create_dir_all(folder).map_err(|error| RecordError::File(folder.to_owned(), error))?;
        std::fs::write(&path, text).map_err(|error| RecordError::File(path.clone(), error))?;
        Ok(path)
    }

    /// A quantity of this record.
    pub fn measurement(&self, name: &str) -> Option<&Measurement> {
        self.measurements.iter().find(|measurement| measurement.name == name)
    }

    /// A figure of this record.
    pub fn figure(&self, name: &str) -> Option<&Figure> {
        self.figures.iter().find(|figure| figure.name == name)
    }
}
