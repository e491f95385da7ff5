//! Reads what a fleet in virtual time printed as a record: each number of a scenario becomes a figure, named by its path.

use crate::record::{Figure, Machine, RunRecord, SCHEMA};
use serde::Deserialize;
use serde_json::Value;
use std::collections::BTreeMap;

/// Ends the names of numbers that are times.
const MICROSECONDS: &str = "_micros";
/// What names a scenario.
const SCENARIO: &str = "scenario";

/// What the program prints.
#[derive(Deserialize)]
struct Printed {
    command: String,
    commit: String,
    date: String,
    #[serde(default)]
    processors: u32,
    scenarios: Vec<Value>,
}

/// The record of what was printed, under a name.
pub fn record_of(name: &str, text: &str) -> Result<RunRecord, serde_json::Error> {
    let printed: Printed = serde_json::from_str(text)?;
    let mut figures = Vec::new();
    for scenario in &printed.scenarios {
        let path = scenario.get(SCENARIO).and_then(Value::as_str).unwrap_or_default();
        flatten(path, "", scenario, &mut figures);
    }
    Ok(RunRecord {
        schema: SCHEMA,
        name: name.to_owned(),
        command: printed.command,
        commit: printed.commit,
        date: printed.date,
        machine: Machine { processor: String::new(), cores: printed.processors, memory_bytes: 0 },
        parameters: BTreeMap::new(),
        measurements: Vec::new(),
        figures,
    })
}

/// Adds the numbers below a value; what names a time gives its unit to all below it.
fn flatten(path: &str, unit: &str, value: &Value, figures: &mut Vec<Figure>) {
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                let unit = if name.ends_with(MICROSECONDS) { "us" } else { unit };
                flatten(&format!("{path}/{name}"), unit, field, figures);
            }
        }
        Value::Number(number) => {
            let value = number.as_f64().unwrap_or(f64::NAN);
            figures.push(Figure { name: path.to_owned(), unit: unit.to_owned(), value });
        }
        _ => {}
    }
}
