//! What a courier may spend on control, split over the mechanisms, with what is left.

use super::format::{figure, value, Unit};
use super::options::BYTES_OF_A_SHARD;
use super::quantity as q;
use super::roles::RELAYS_OF_A_ZONE;
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

/// The table of the budget, on an ordinary second.
pub fn budget(workbook: &mut Workbook) -> Result<String, CapacityError> {
    let parts = [
        distribution(workbook)?,
        states(workbook)?,
        placement(),
        endpoints(workbook)?,
        journal_of_changes(workbook)?,
        open("trials of what is down, under a lease"),
        open("console and figures"),
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

/// What the machines that are set aside for control carry, in sum, on an ordinary second.
pub fn machines(workbook: &mut Workbook) -> Result<String, CapacityError> {
    let parts = [
        ("source of changes", 1.0, &q::SOURCE_USUAL),
        ("relays of regions", target::REGIONS, &q::REGION_RELAY_USUAL),
        ("relays of zones", target::ZONES * RELAYS_OF_A_ZONE, &q::ZONE_RELAY_USUAL),
    ];
    let mut sum = [0.0; 3].map(Figure::given);
    let mut rows = Vec::new();
    for (what, count, cost) in parts {
        let [processor, memory, network] =
            [cost.core, cost.memory, cost.bytes].map(|quantity| workbook.at(quantity, target::COURIERS));
        let each = [processor? * count, memory? * count, network? * count];
        rows.push(machines_row(what, value(count, Unit::Count), &each));
        sum = std::array::from_fn(|place| sum[place].clone() + each[place].clone());
    }
    let of_one = sum.map(|figure| figure * (1.0 / target::CONTROL_MACHINES));
    rows.push(machines_row(
        "for each machine, if even",
        value(target::CONTROL_MACHINES, Unit::Count),
        &of_one,
    ));
    Ok(table(["on the machines for control", "how many", "processor", "memory", "network"], rows))
}

fn machines_row(what: &str, count: String, [processor, memory, network]: &[Figure; 3]) -> [String; 5] {
    [
        what.to_owned(),
        count,
        figure(processor, Unit::Cores),
        figure(memory, Unit::Bytes),
        figure(network, Unit::ByteRate),
    ]
}

/// Leases, heartbeats, settings in scope.
fn distribution(workbook: &mut Workbook) -> Result<Part, CapacityError> {
    Ok(Part {
        mechanism: "distribution: lease at the relay, settings in scope",
        processor: workbook.at(q::COURIER_USUAL.core, target::COURIERS)?,
        memory: workbook.at(q::COURIER_USUAL.memory, target::COURIERS)?,
        network: workbook.at(q::COURIER_USUAL.bytes, target::COURIERS)?,
    })
}

fn states(workbook: &mut Workbook) -> Result<Part, CapacityError> {
    let served = target::destinations_a_courier();
    let changes = target::state_changes_a_second() * served / target::DESTINATIONS;
    Ok(Part {
        mechanism: "state of the destinations that it serves",
        processor: workbook.latest(q::ENDPOINT_CHANGE, target::endpoints_a_courier())? * changes,
        memory: workbook.each(q::STORE_MEMORY, served)? * served,
        network: Figure::given(changes * assumed::BYTES_OF_A_STATE_CHANGE),
    })
}

fn placement() -> Part {
    Part {
        mechanism: "table of shards",
        processor: Figure::Open,
        memory: Figure::given(target::shards() * BYTES_OF_A_SHARD),
        network: Figure::Open,
    }
}

fn endpoints(workbook: &mut Workbook) -> Result<Part, CapacityError> {
    let known = target::endpoints_a_courier();
    Ok(Part {
        mechanism: "endpoints of what it serves, as the daemon keeps them",
        processor: workbook.latest(q::IDLE_SECOND, known)?,
        memory: workbook.each(q::ENDPOINTS_MEMORY, known)? * known,
        network: Figure::given(NOTHING),
    })
}

/// Every change of a setting is taken in as a change of an endpoint is today.
fn journal_of_changes(workbook: &mut Workbook) -> Result<Part, CapacityError> {
    let change = workbook.latest(q::ENDPOINT_CHANGE, target::endpoints_a_courier())?;
    Ok(Part {
        mechanism: "changes of configuration taken in, all of them for this courier",
        processor: change * target::changes_a_second(),
        memory: Figure::given(NOTHING),
        network: Figure::given(NOTHING),
    })
}

fn open(mechanism: &'static str) -> Part {
    Part { mechanism, processor: Figure::Open, memory: Figure::Open, network: Figure::Open }
}
