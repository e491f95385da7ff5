//! Reading segments back: record by record, with one buffer, telling a torn end from damage.

use crate::error::Wrong;
use crate::frame::{Frame, Place, FRAME, HEADER, LONGEST};
use crate::image::Record;
use crate::legacy;
use crate::store::Store;
use crate::window::{Window, CHUNK};
use std::io;

/// Bytes whose sums are tried behind a bad record; more of them can only be made on purpose.
const MOST_TRIED: u64 = 64 << 20;

/// How a segment ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// All up to here is good, and nothing that was promised stood behind it.
    Whole(u64),
    /// It is damaged here.
    Damaged(u64, Wrong),
}

/// What a segment is read as.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Form {
    /// A segment of this format.
    Segment(Place),
    /// The single file of releases before 0.2.
    Legacy,
}

/// A record that was read.
pub(crate) struct Found {
    pub offset: u64,
    pub bytes: u64,
    pub record: Record,
}

/// Reads a segment that ends at `end`; if another follows it, it has to be good up to there.
pub(crate) fn read<S: Store>(
    window: &mut Window<'_, S>,
    form: Form,
    end: u64,
    is_last: bool,
    each: impl FnMut(Found),
) -> io::Result<End> {
    let from = match form {
        Form::Segment(_) => HEADER,
        Form::Legacy => 0,
    };
    read_at(window, form, from, end, is_last, each)
}

/// Reads a segment from a record on that is known to be good.
pub(crate) fn read_from<S: Store>(
    window: &mut Window<'_, S>,
    place: Place,
    from: u64,
    end: u64,
    is_last: bool,
    each: impl FnMut(Found),
) -> io::Result<End> {
    read_at(window, Form::Segment(place), from, end, is_last, each)
}

fn read_at<S: Store>(
    window: &mut Window<'_, S>,
    form: Form,
    mut offset: u64,
    end: u64,
    is_last: bool,
    mut each: impl FnMut(Found),
) -> io::Result<End> {
    let wrong = loop {
        if offset == end {
            return Ok(End::Whole(offset));
        }
        match record(window, form, offset, end)? {
            Ok((record, bytes)) => {
                each(Found { offset, bytes, record });
                offset += bytes;
            }
            Err(wrong) => break wrong,
        }
    };
    match form {
        // Its end was cut off wherever it was damaged.
        Form::Legacy if is_last => Ok(End::Whole(offset)),
        Form::Segment(place) if is_last && wrong != Wrong::Unknown => {
            let promised = survives(window, place, offset, end)?;
            Ok(if promised { End::Damaged(offset, wrong) } else { End::Whole(offset) })
        }
        _ => Ok(End::Damaged(offset, wrong)),
    }
}

/// The record at a place, and its bytes with the frame.
fn record<S: Store>(
    window: &mut Window<'_, S>,
    form: Form,
    offset: u64,
    end: u64,
) -> io::Result<Result<(Record, u64), Wrong>> {
    let Form::Segment(place) = form else { return legacy::record(window, offset, end) };
    let Some(frame) = frame(window, offset, end)? else { return Ok(Err(Wrong::Short)) };
    if !frame.is_plausible(offset, end) {
        return Ok(Err(Wrong::Record));
    }
    let Some(payload) = window.get(offset + FRAME, frame.length as usize)? else {
        return Ok(Err(Wrong::Short));
    };
    if !frame.fits(place, offset, payload) {
        return Ok(Err(Wrong::Record));
    }
    let record = postcard::from_bytes(payload).map_err(|_| Wrong::Unknown);
    Ok(record.map(|record| (record, FRAME + u64::from(frame.length))))
}

fn frame<S: Store>(window: &mut Window<'_, S>, offset: u64, end: u64) -> io::Result<Option<Frame>> {
    if offset + FRAME > end {
        return Ok(None);
    }
    let bytes = window.get(offset, FRAME as usize)?;
    Ok(bytes.and_then(|bytes| bytes.try_into().ok()).map(Frame::decode))
}

/// Whether a good record behind a hole says that what stood in the hole had been promised.
fn survives<S: Store>(window: &mut Window<'_, S>, place: Place, hole: u64, end: u64) -> io::Result<bool> {
    let mut found = false;
    good_after(window, place, hole + 1, end, |_, frame| {
        found = u64::from(frame.settled) > hole;
        found
    })?;
    Ok(found)
}

/// Good records wherever they stand, from some place on, until `stop` says that it is enough. Where more is tried than
/// a journal can hold by chance, what comes is taken for good: a hole before it is then looked at by somebody.
pub(crate) fn good_after<S: Store>(
    window: &mut Window<'_, S>,
    place: Place,
    from: u64,
    end: u64,
    mut stop: impl FnMut(u64, Frame) -> bool,
) -> io::Result<()> {
    let mut tried = 0;
    let mut offset = from;
    while let Some(found) = frame(window, offset, end)? {
        let mut next = offset + 1;
        if found.is_plausible(offset, end) {
            tried += u64::from(found.length);
            let good = tried > MOST_TRIED
                || window
                    .get(offset + FRAME, found.length as usize)?
                    .is_some_and(|payload| found.fits(place, offset, payload));
            if good {
                if stop(offset, found) {
                    return Ok(());
                }
                next = offset + FRAME + u64::from(found.length);
            }
        }
        offset = next;
    }
    Ok(())
}

const _: () = assert!(LONGEST as usize >= CHUNK);
