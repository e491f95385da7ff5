//! What a courier may spend on control, split over the mechanisms, with what is left.

use super::format::{figure, value, Unit};
use super::options::{BYTES_OF_A_SHARD, SHARDS};
use super::quantity as q;
use super::table::table;
use super::target::{self, assumed};
use super::workbook::{CapacityError, Figure, Workbook};

/// What a mechanism takes of a courier's budget.
struct Part {
    mechanism: &'static str,
    processor: Figure,
    memory: Figure,
    network: Figure,
}

const NOTHING: f64 = 0.0;

/// The table of the budget: worst second of a burst, at the target size.
pub fn budget(workbook: &mut Workbook) -> Result<String, CapacityError> {
    let parts = [
        settings(workbook)?,
        states(workbook)?,
        placement(),
        leases(),
        trials(),
        endpoints(workbook)?,
        console(),
    ];
    let mut rows: Vec<[String; 4]> = parts.iter().map(row).collect();
    rows.push([
        "the budget".to_owned(),
        value(target::CONTROL_CORE, Unit::Cores),
        value(target::CONTROL_MEMORY, Unit::Bytes),
        value(target::CONTROL_NETWORK, Unit::ByteRate),
    ]);
    rows.push(left(&parts));
    Ok(table(["mechanism", "processor", "memory", "network"], rows))
}

fn row(part: &Part) -> [String; 4] {
    [
        part.mechanism.to_owned(),
        figure(&part.processor, Unit::Cores),
        figure(&part.memory, Unit::Bytes),
        figure(&part.network, Unit::ByteRate),
    ]
}

/// What the parts that are known leave, and how many are not.
fn left(parts: &[Part]) -> [String; 4] {
    let rest = |of: fn(&Part) -> &Figure, budget: f64, unit: Unit| {
        let open = parts.iter().filter(|part| of(part).value().is_none()).count();
        let known = parts.iter().map(of).filter(|figure| figure.value().is_some()).cloned();
        let sum = known.fold(Figure::given(NOTHING), |sum, figure| sum + figure);
        let left = figure(&sum.left_of(budget), unit);
        match open {
            0 => left,
            open => format!("{left}, {open} not counted"),
        }
    };
    [
        "left".to_owned(),
        rest(|part| &part.processor, target::CONTROL_CORE, Unit::Cores),
        rest(|part| &part.memory, target::CONTROL_MEMORY, Unit::Bytes),
        rest(|part| &part.network, target::CONTROL_NETWORK, Unit::ByteRate),
    ]
}

/// Every change of a setting reaches every courier: the worst case.
fn settings(workbook: &mut Workbook) -> Result<Part, CapacityError> {
    let changes = target::burst_a_second();
    Ok(Part {
        mechanism: "changes of configuration, in the burst, all of them for this courier",
        processor: workbook.at(q::ENDPOINT_CHANGE, target::endpoints_a_courier())? * changes,
        memory: Figure::Open,
        network: Figure::given(changes * assumed::BYTES_OF_A_CHANGE),
    })
}

fn states(workbook: &mut Workbook) -> Result<Part, CapacityError> {
    let served = target::destinations_a_courier();
    let changes = target::state_changes_a_second() * served / target::DESTINATIONS;
    Ok(Part {
        mechanism: "state of the destinations that it serves",
        processor: workbook.at(q::ENDPOINT_CHANGE, target::endpoints_a_courier())? * changes,
        memory: Figure::given(served * assumed::BYTES_OF_A_DESTINATION),
        network: Figure::given(changes * assumed::BYTES_OF_A_STATE_CHANGE),
    })
}

fn placement() -> Part {
    Part {
        mechanism: "table of shards",
        processor: Figure::Open,
        memory: Figure::given(SHARDS * BYTES_OF_A_SHARD),
        network: Figure::Open,
    }
}

fn leases() -> Part {
    Part {
        mechanism: "leases at the relay",
        processor: Figure::Open,
        memory: Figure::Open,
        network: Figure::Open,
    }
}

fn trials() -> Part {
    Part {
        mechanism: "trials under a lease",
        processor: Figure::Open,
        memory: Figure::Open,
        network: Figure::Open,
    }
}

fn endpoints(workbook: &mut Workbook) -> Result<Part, CapacityError> {
    let known = target::endpoints_a_courier();
    Ok(Part {
        mechanism: "endpoints of what it serves, as the daemon keeps them",
        processor: workbook.at(q::IDLE_SECOND, known)?,
        memory: workbook.each(q::ENDPOINTS_MEMORY, known)? * known,
        network: Figure::given(NOTHING),
    })
}

fn console() -> Part {
    Part {
        mechanism: "console and figures",
        processor: Figure::Open,
        memory: Figure::Open,
        network: Figure::Open,
    }
}
