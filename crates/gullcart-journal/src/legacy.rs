//! The single file of releases before 0.2, as far as reading it goes: records with length and checksum, cut off at the
//! first that is damaged. It counts as the oldest segment, and is freed like any other once what is live of it has
//! been rewritten; so nothing has to be converted in one go, and a crash on the way changes nothing.

use crate::error::Wrong;
use crate::image::{Held, OutageNote, Record, Sent};
use crate::store::Store;
use crate::window::Window;
use gullcart_message::{Taken, Update, Verdict};
use serde::{Deserialize, Serialize};
use std::io;

/// Its name; while it was compacted there was another.
pub(crate) const NAME: &str = "journal";
pub(crate) const HALF_MADE: &str = "journal.new";
const FRAME: u64 = 8;
const LONGEST: u32 = 4 << 20;

/// Its records, in the order in which that release numbered them.
#[derive(Serialize, Deserialize)]
enum Old {
    Take(u32, Taken),
    Start(u32, Sent),
    Outcome(u32, bool),
    Owe(u32, Verdict),
    Over(u32),
    Whole(u32, Held),
    Targets(Update),
    Outages(Vec<OutageNote>),
    Destinations(Vec<u32>),
}

impl From<Old> for Record {
    fn from(old: Old) -> Record {
        match old {
            Old::Take(number, taken) => Record::Take(number, taken),
            Old::Start(number, sent) => Record::Start(number, sent),
            Old::Outcome(number, may_have_run) => Record::Outcome(number, may_have_run),
            Old::Owe(number, verdict) => Record::Owe(number, verdict),
            Old::Over(number) => Record::Over(number),
            Old::Whole(number, held) => Record::Whole(number, held),
            Old::Targets(update) => Record::Told(update),
            Old::Outages(notes) => Record::Remembered(notes),
            Old::Destinations(destinations) => Record::Destinations(destinations),
        }
    }
}

/// The record at a place, and its bytes with the frame.
pub(crate) fn record<S: Store>(
    window: &mut Window<'_, S>,
    offset: u64,
    end: u64,
) -> io::Result<Result<(Record, u64), Wrong>> {
    if offset + FRAME > end {
        return Ok(Err(Wrong::Short));
    }
    let Some(frame) = window.get(offset, FRAME as usize)? else { return Ok(Err(Wrong::Short)) };
    let (mut length, mut sum) = ([0; 4], [0; 4]);
    length.copy_from_slice(&frame[..4]);
    sum.copy_from_slice(&frame[4..8]);
    let length = u32::from_le_bytes(length);
    if length == 0 || length > LONGEST || offset + FRAME + u64::from(length) > end {
        return Ok(Err(Wrong::Record));
    }
    let Some(payload) = window.get(offset + FRAME, length as usize)? else { return Ok(Err(Wrong::Short)) };
    if crc32fast::hash(payload) != u32::from_le_bytes(sum) {
        return Ok(Err(Wrong::Record));
    }
    let old: Result<Old, _> = postcard::from_bytes(payload);
    Ok(old.map(|old| (old.into(), FRAME + u64::from(length))).map_err(|_| Wrong::Record))
}
