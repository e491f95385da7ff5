//! What failures cost, and how long it takes until all is as it should be.

use super::format::{figure, value, Unit};
use super::quantity::{self as q, FaultCost};
use super::table::table;
use super::target::{self, assumed};
use super::workbook::{CapacityError, Figure, Workbook};

/// A failure, with how many couriers begin anew together.
struct Failure {
    what: &'static str,
    couriers: f64,
    /// What it is like for the distribution, measured over sockets.
    cost: &'static FaultCost,
}

/// Failures behind which couriers begin anew together.
fn together() -> [Failure; 3] {
    [
        Failure { what: "one courier is back", couriers: 1.0, cost: &q::LOST_COURIER },
        Failure { what: "a rack is back", couriers: assumed::RACK, cost: &q::LOST_RACK },
        Failure { what: "a zone is back", couriers: target::couriers_of_a_zone(), cost: &q::LOST_ZONE },
    ]
}

/// The table of failures.
pub fn failures(workbook: &mut Workbook) -> Result<String, CapacityError> {
    let mut rows = Vec::new();
    for failure in together() {
        rows.push(back(&failure, workbook)?);
    }
    rows.push(relay(workbook)?);
    rows.push(a_day(workbook)?);
    rows.push(regions_apart(workbook)?);
    Ok(table(
        [
            "what",
            "bytes of control",
            "time for them at a courier's budget",
            "settings current again",
            "worst change meanwhile in force after",
            "list had by the last, today",
            "worst second",
            "ready with its whole backlog",
        ],
        rows,
    ))
}

/// Bytes of the scopes of one courier.
fn scope_bytes() -> f64 {
    target::destinations_a_courier() * assumed::BYTES_OF_A_DESTINATION
}

fn replay(workbook: &mut Workbook) -> Result<Figure, CapacityError> {
    workbook.latest(q::REPLAY, target::backlog_a_courier())
}

fn back(failure: &Failure, workbook: &mut Workbook) -> Result<[String; 8], CapacityError> {
    let delay = workbook.at(q::LIST_DELAY, failure.couriers)?;
    let calls = match failure.couriers > 1.0 {
        true => figure(&workbook.at(q::FIRST_CALLS, failure.couriers)?, Unit::Rate),
        false => value(failure.couriers, Unit::Rate),
    };
    Ok([
        failure.what.to_owned(),
        value(scope_bytes() * failure.couriers, Unit::Bytes),
        value(scope_bytes() / target::CONTROL_NETWORK, Unit::Seconds),
        figure(&workbook.read_figure(failure.cost.back)?, Unit::Seconds),
        figure(&workbook.read_figure(failure.cost.in_force)?, Unit::Seconds),
        figure(&delay, Unit::Seconds),
        format!("{calls} calls for the list, today"),
        figure(&replay(workbook)?, Unit::Seconds),
    ])
}

/// Others take in the couriers of a relay that is lost: nobody restarts, and what they keep is not told again.
fn relay(workbook: &mut Workbook) -> Result<[String; 8], CapacityError> {
    let nobody = "nobody restarts";
    Ok([
        "a zone's relay is lost".to_owned(),
        "digests alone".to_owned(),
        "not measured".to_owned(),
        figure(&workbook.read_figure(q::LOST_RELAY.back)?, Unit::Seconds),
        figure(&workbook.read_figure(q::LOST_RELAY.in_force)?, Unit::Seconds),
        nobody.to_owned(),
        "not measured".to_owned(),
        nobody.to_owned(),
    ])
}

/// The failures and restarts of a day, one after the other.
fn a_day(workbook: &mut Workbook) -> Result<[String; 8], CapacityError> {
    let restarts = target::FAILURES_A_DAY + target::RESTARTS_A_DAY;
    let each = replay(workbook)?;
    Ok([
        "failures and restarts of a day".to_owned(),
        value(scope_bytes() * restarts, Unit::Bytes),
        format!("one every {}", value(target::DAY_S / restarts, Unit::Seconds)),
        "as one courier".to_owned(),
        "as one courier".to_owned(),
        "as one courier".to_owned(),
        "as one courier".to_owned(),
        format!("in sum: {}", figure(&(each * restarts), Unit::Seconds)),
    ])
}

/// A region hears what it missed as deltas.
fn regions_apart(workbook: &mut Workbook) -> Result<[String; 8], CapacityError> {
    let missed_states =
        target::state_changes_a_second() * assumed::REGIONS_APART_S * assumed::BYTES_OF_A_STATE_CHANGE;
    let missed_settings = target::changes_a_second() * assumed::REGIONS_APART_S * assumed::BYTES_OF_A_CHANGE;
    let of_a_courier =
        missed_states * target::destinations_a_courier() / target::DESTINATIONS + missed_settings;
    let busiest = workbook.read_figure(q::VIRTUAL_REGIONS_BACK_BYTES)?;
    Ok([
        format!("two regions apart for {}", value(assumed::REGIONS_APART_S, Unit::Seconds)),
        format!(
            "{} to a courier, {} to a region",
            value(of_a_courier, Unit::Bytes),
            value(of_a_courier * target::couriers_of_a_region(), Unit::Bytes)
        ),
        value(of_a_courier / target::CONTROL_NETWORK, Unit::Seconds),
        figure(&workbook.read_figure(q::CUT_REGIONS.back)?, Unit::Seconds),
        figure(&workbook.read_figure(q::CUT_REGIONS.in_force)?, Unit::Seconds),
        "nobody restarts".to_owned(),
        format!("{} at a region's relay", figure(&busiest, Unit::ByteRate)),
        "nobody restarts".to_owned(),
    ])
}
