//! The worst backlog of one courier, and which limit gives.

use super::format::{figure, value, Unit};
use super::quantity::{self as q, Quantity};
use super::table::table;
use super::target;
use super::workbook::{CapacityError, Workbook};
use cloverstile::{MessageId, Settings};
use std::mem::size_of;

const BITS_OF_A_BYTE: i32 = 8;

/// What the backlog takes of a daemon: as it was before the capacity page, and now.
struct Cost {
    what: &'static str,
    before: Quantity,
    now: Quantity,
    unit: Unit,
}

const COSTS: [Cost; 5] = [
    Cost { what: "memory", before: q::HELD_MEMORY_BEFORE, now: q::HELD_MEMORY, unit: Unit::Bytes },
    Cost { what: "disk", before: q::HELD_JOURNAL_BEFORE, now: q::HELD_JOURNAL, unit: Unit::Bytes },
    Cost { what: "ready after a crash", before: q::REPLAY_BEFORE, now: q::REPLAY, unit: Unit::Seconds },
    Cost {
        what: "processor time of a turn",
        before: q::HELD_TURN_BEFORE,
        now: q::HELD_TURN,
        unit: Unit::Seconds,
    },
    Cost {
        what: "processor time of a message taken on",
        before: q::HELD_TAKE_BEFORE,
        now: q::HELD_TAKE,
        unit: Unit::Seconds,
    },
];

/// The table of the backlog.
pub fn backlog(workbook: &mut Workbook) -> Result<String, CapacityError> {
    let messages = target::backlog_a_courier();
    let mut rows = Vec::new();
    for cost in &COSTS {
        let before = figure(&workbook.at(cost.before, messages)?, cost.unit);
        let now = figure(&workbook.at(cost.now, messages)?, cost.unit);
        rows.push([cost.what.to_owned(), before, now]);
    }
    let numbers = 2_f64.powi(size_of::<MessageId>() as i32 * BITS_OF_A_BYTE);
    rows.push(both("numbers that messages can have", numbers));
    rows.push(both("messages held, unless it is told otherwise", Settings::default().max_held as f64));
    let header = format!("{} messages at one courier", value(messages, Unit::Count));
    Ok(table([&header, "before the index", "now"], rows))
}

fn both(what: &str, count: f64) -> [String; 3] {
    let count = value(count, Unit::Count);
    [what.to_owned(), count.clone(), count]
}
