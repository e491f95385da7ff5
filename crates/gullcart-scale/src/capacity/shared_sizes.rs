//! What one discovery agent, one partner and one voter bear, at each measured number of couriers.

use super::format::{value, Unit};
use super::quantity::{self as q, Quantity};
use super::table::table;
use super::workbook::{CapacityError, Workbook};
use crate::shared::COURIERS;

/// A row: who bears it, what it is, and where it is measured.
struct Row {
    bears: &'static str,
    what: &'static str,
    quantity: Quantity,
    unit: Unit,
}

const ROWS: [Row; 11] = [
    Row {
        bears: "discovery agent",
        what: "calls for the list, outage",
        quantity: q::LIST_CALLS,
        unit: Unit::Rate,
    },
    Row {
        bears: "discovery agent",
        what: "calls, worst second of a common start",
        quantity: q::FIRST_CALLS,
        unit: Unit::Rate,
    },
    Row {
        bears: "couriers",
        what: "until the last has the list",
        quantity: q::LIST_DELAY,
        unit: Unit::Seconds,
    },
    Row { bears: "partner", what: "idle connections, most", quantity: q::IDLE_PEAK, unit: Unit::Count },
    Row { bears: "partner", what: "trial calls while down", quantity: q::TRIALS, unit: Unit::Rate },
    Row {
        bears: "partner",
        what: "worst of its return, of what it survives",
        quantity: q::RETURN_CALLS,
        unit: Unit::Share,
    },
    Row {
        bears: "couriers",
        what: "return until the middle one has delivered",
        quantity: q::RETURN_MIDDLE,
        unit: Unit::Seconds,
    },
    Row {
        bears: "couriers",
        what: "return until the last one has delivered",
        quantity: q::RETURN_LAST,
        unit: Unit::Seconds,
    },
    Row {
        bears: "three voters and their members",
        what: "messages, all want one duty",
        quantity: q::GROUP_MESSAGES,
        unit: Unit::Rate,
    },
    Row {
        bears: "three voters and their members",
        what: "bytes, all want one duty",
        quantity: q::GROUP_BYTES,
        unit: Unit::ByteRate,
    },
    Row {
        bears: "one voter",
        what: "processor, all want one duty",
        quantity: q::GROUP_PROCESSOR,
        unit: Unit::Cores,
    },
];

/// The measured values as they are, by couriers.
pub fn shared_sizes(workbook: &Workbook) -> Result<String, CapacityError> {
    let mut rows = Vec::new();
    for row in &ROWS {
        rows.push(cells(row, workbook)?);
    }
    let [first, second, third, fourth, fifth] = COURIERS.map(|couriers| value(couriers.into(), Unit::Count));
    Ok(table(["who bears it", "what", &first, &second, &third, &fourth, &fifth], rows))
}

fn cells(row: &Row, workbook: &Workbook) -> Result<[String; 7], CapacityError> {
    let Quantity { record, name } = row.quantity;
    let measurement = workbook.measurement(row.quantity).ok_or(CapacityError::Missing(record, name))?;
    let cell = |couriers: u32| {
        let point = measurement.points.iter().find(|point| point.size == f64::from(couriers));
        point.map_or("-".to_owned(), |point| value(point.value, row.unit))
    };
    let [first, second, third, fourth, fifth] = COURIERS.map(cell);
    let what = format!("[{}](capacity/results/{record}.json)", row.what);
    Ok([row.bears.to_owned(), what, first, second, third, fourth, fifth])
}
