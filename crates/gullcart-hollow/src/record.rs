//! The record of a run: begun before it, so that it tells of the machine and the program as they were.

use crate::machine::{self, MachineError};
use crate::structures::StructureCost;
use gullcart_scale::{Figure, FitError, Measurement, Point, RecordError, RunRecord, SCHEMA};
use std::collections::BTreeMap;
use std::path::Path;
use std::process::Command;
use std::time::SystemTime;
use thiserror::Error;

/// Sizes of which at least a fit is made.
pub const LEAST_SIZES: usize = 3;
const UNKNOWN_COMMIT: &str = "unknown";
const NAME_WIDTH: usize = 44;
const VALUE_WIDTH: usize = 16;

/// Why a record cannot be made or kept.
#[derive(Debug, Error)]
pub enum DraftError {
    /// The machine could not be asked.
    #[error(transparent)]
    Machine(#[from] MachineError),
    /// A quantity has no fit.
    #[error("{name}: {error}")]
    Fit {
        /// The quantity.
        name: String,
        /// Why not.
        error: FitError,
    },
    /// It cannot be written.
    #[error(transparent)]
    Record(#[from] RecordError),
}

/// A record that is not kept yet.
pub struct RecordDraft {
    /// What is known so far.
    pub record: RunRecord,
}

impl RecordDraft {
    /// Notes the command, the program and the machine as they are now.
    pub fn begin(name: String) -> Result<Self, DraftError> {
        let record = RunRecord {
            schema: SCHEMA,
            name,
            command: command_line(),
            commit: commit(),
            date: humantime::format_rfc3339_seconds(SystemTime::now()).to_string(),
            machine: machine::describe()?,
            parameters: BTreeMap::new(),
            measurements: Vec::new(),
            figures: Vec::new(),
        };
        let mut draft = RecordDraft { record };
        draft.parameters([("load_average_before", machine::load_average()?)]);
        Ok(draft)
    }

    /// Notes parameters of the run. One that is noted again has all of its values.
    pub fn parameters(&mut self, parameters: impl IntoIterator<Item = (&'static str, String)>) {
        for (name, value) in parameters {
            let noted = self.record.parameters.entry(name.to_owned()).or_default();
            if noted.is_empty() {
                *noted = value;
            } else if *noted != value {
                *noted = format!("{noted}; {value}");
            }
        }
    }

    /// Shows the record and writes it.
    pub fn keep(mut self, results: &Path) -> Result<(), DraftError> {
        self.parameters([("load_average_after", machine::load_average()?)]);
        self.show();
        let path = self.record.write(results)?;
        println!("record: {}", path.display());
        Ok(())
    }

    fn show(&self) {
        for Figure { name, unit, value } in &self.record.figures {
            println!("{name:<NAME_WIDTH$} {value:>VALUE_WIDTH$.5} {unit}");
        }
        for measurement in &self.record.measurements {
            let points = measurement.points.iter().map(|point| format!("{}: {:.5}", point.size, point.value));
            let points: Vec<String> = points.collect();
            println!("{:<NAME_WIDTH$} {} ({})", measurement.name, points.join(", "), measurement.unit);
        }
    }
}

/// Points of quantities, by name.
#[derive(Default)]
pub struct Quantities(BTreeMap<String, Quantity>);

/// Points of one quantity.
struct Quantity {
    unit: String,
    points: Vec<Point>,
}

impl Quantities {
    /// Notes a quantity at a size.
    pub fn add(&mut self, name: &str, unit: &str, size: u32, value: f64) {
        let quantity = self.0.entry(name.to_owned());
        let quantity = quantity.or_insert_with(|| Quantity { unit: unit.to_owned(), points: Vec::new() });
        quantity.points.push(Point { size: f64::from(size), value, samples: 1 });
    }

    /// Notes what a structure takes at a size.
    pub fn add_structure(&mut self, name: &str, size: u32, cost: &StructureCost) {
        self.add(&format!("{name}/entries"), "entries", size, cost.entries as f64);
        self.add(&format!("{name}/memory"), "bytes", size, cost.bytes as f64);
        self.add(&format!("{name}/build"), "ms", size, cost.build.as_secs_f64() * 1e3);
        self.add(&format!("{name}/change"), "us", size, cost.change.as_secs_f64() * 1e6);
        self.add(&format!("{name}/digest_of_a_share"), "us", size, cost.digest.as_secs_f64() * 1e6);
    }

    /// Those quantities that were measured at enough sizes for a fit.
    pub fn measurements(self, axis: &str) -> Result<Vec<Measurement>, DraftError> {
        let enough = self.0.into_iter().filter(|(_, quantity)| quantity.points.len() >= LEAST_SIZES);
        let fitted = enough.map(|(name, Quantity { unit, points })| {
            Measurement::new(&name, &unit, axis, points).map_err(|error| DraftError::Fit { name, error })
        });
        fitted.collect()
    }
}

/// The command with its program's name alone.
fn command_line() -> String {
    let mut words = std::env::args();
    let program = words.next().unwrap_or_default();
    let program = Path::new(&program).file_name().unwrap_or_default().to_string_lossy().into_owned();
    [program].into_iter().chain(words).collect::<Vec<_>>().join(" ")
}

/// The commit that this program was built from, as far as can be told: that of the folder it lies in.
fn commit() -> String {
    let program = std::env::current_exe().unwrap_or_default();
    let folder = program.parent().unwrap_or(Path::new("."));
    let asked = Command::new("git").arg("-C").arg(folder).args(["rev-parse", "HEAD"]).output();
    let answer = asked.ok().filter(|output| output.status.success());
    answer.map_or_else(
        || UNKNOWN_COMMIT.to_owned(),
        |output| String::from_utf8_lossy(&output.stdout).trim().to_owned(),
    )
}
