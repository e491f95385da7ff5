//! The worst backlog of one courier, and which limit gives.

use super::format::{figure, value, Unit};
use super::quantity as q;
use super::table::table;
use super::target;
use super::workbook::{CapacityError, Workbook};
use cloverstile::{MessageId, Settings};
use std::mem::size_of;

const BITS_OF_A_BYTE: i32 = 8;

/// The table of the backlog.
pub fn backlog(workbook: &mut Workbook) -> Result<String, CapacityError> {
    let messages = target::backlog_a_courier();
    let numbers = 2_f64.powi(size_of::<MessageId>() as i32 * BITS_OF_A_BYTE);
    let rows = vec![
        row("messages", value(messages, Unit::Count)),
        row("memory", figure(&workbook.at(q::HELD_MEMORY, messages)?, Unit::Bytes)),
        row("disk", figure(&workbook.at(q::HELD_JOURNAL, messages)?, Unit::Bytes)),
        row(
            "time until the process is ready after a crash",
            figure(&workbook.at(q::REPLAY, messages)?, Unit::Seconds),
        ),
        row("processor time of a turn", figure(&workbook.at(q::HELD_TURN, messages)?, Unit::Seconds)),
        row("numbers of messages, for comparison", value(numbers, Unit::Count)),
        row(
            "messages that a courier holds unless it is told otherwise",
            value(Settings::default().most_held as f64, Unit::Count),
        ),
    ];
    Ok(table(["the worst backlog of one courier", "size"], rows))
}

fn row(what: &str, size: String) -> [String; 2] {
    [what.to_owned(), size]
}
