//! Reads the records of a segment in order, and distinguishes an incomplete last write from damage.

use crate::buffered_reader::{BufferedReader, CHUNK_BYTES};
use crate::error::DamageKind;
use crate::frame::{Frame, SegmentId, FRAME_BYTES, HEADER_BYTES, MAX_PAYLOAD_BYTES};
use crate::legacy;
use crate::state::Record;
use crate::store::Store;
use std::io;

/// Most payload bytes that are checksummed in the search for valid records behind a bad one. Limits the work on crafted
/// input, in which a plausible frame with a long payload begins at every byte; other damage needs far less.
const MAX_CHECKSUMMED_BYTES: u64 = 64 << 20;

/// How reading a segment ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum SegmentEnd {
    /// All records up to this offset are valid, and nothing that was durable comes after it.
    Valid(u64),
    /// The segment is damaged at this offset.
    Damaged(u64, DamageKind),
}

/// File format of a segment.
#[derive(Clone, Copy, Debug)]
pub(crate) enum SegmentFormat {
    /// A segment of the current format.
    Segment(SegmentId),
    /// The single file of releases before 0.2.
    Legacy,
}

/// A record read from a segment.
pub(crate) struct FoundRecord {
    pub offset: u64,
    /// Size with the frame.
    pub bytes: u64,
    pub record: Record,
}

/// Reads a segment that ends at `end`. Unless it is the last one, all bytes up to there have to be valid.
pub(crate) fn read_segment<S: Store>(
    reader: &mut BufferedReader<'_, S>,
    format: SegmentFormat,
    end: u64,
    is_last: bool,
    each: impl FnMut(FoundRecord),
) -> io::Result<SegmentEnd> {
    let from = match format {
        SegmentFormat::Segment(_) => HEADER_BYTES,
        SegmentFormat::Legacy => 0,
    };
    read_records(reader, format, from, end, is_last, each)
}

/// Reads a segment from the offset of a record that is known to be valid.
pub(crate) fn read_segment_from<S: Store>(
    reader: &mut BufferedReader<'_, S>,
    segment: SegmentId,
    from: u64,
    end: u64,
    is_last: bool,
    each: impl FnMut(FoundRecord),
) -> io::Result<SegmentEnd> {
    read_records(reader, SegmentFormat::Segment(segment), from, end, is_last, each)
}

fn read_records<S: Store>(
    reader: &mut BufferedReader<'_, S>,
    format: SegmentFormat,
    mut offset: u64,
    end: u64,
    is_last: bool,
    mut each: impl FnMut(FoundRecord),
) -> io::Result<SegmentEnd> {
    let damage = loop {
        if offset == end {
            return Ok(SegmentEnd::Valid(offset));
        }
        match read_record(reader, format, offset, end)? {
            Ok((record, bytes)) => {
                each(FoundRecord { offset, bytes, record });
                offset += bytes;
            }
            Err(damage) => break damage,
        }
    };
    match format {
        // Releases before 0.2 cut the file off at the first damaged record, whatever came after it.
        SegmentFormat::Legacy if is_last => Ok(SegmentEnd::Valid(offset)),
        SegmentFormat::Segment(segment) if is_last && damage != DamageKind::UnknownRecordKind => {
            let was_durable = was_durable(reader, segment, offset, end)?;
            Ok(if was_durable { SegmentEnd::Damaged(offset, damage) } else { SegmentEnd::Valid(offset) })
        }
        _ => Ok(SegmentEnd::Damaged(offset, damage)),
    }
}

/// Reads the record at `offset`; returns it with its size, frame included.
fn read_record<S: Store>(
    reader: &mut BufferedReader<'_, S>,
    format: SegmentFormat,
    offset: u64,
    end: u64,
) -> io::Result<Result<(Record, u64), DamageKind>> {
    let SegmentFormat::Segment(segment) = format else { return legacy::read_record(reader, offset, end) };
    let Some(frame) = read_frame(reader, offset, end)? else { return Ok(Err(DamageKind::Truncated)) };
    if !frame.is_plausible(offset, end) {
        return Ok(Err(DamageKind::UnreadableRecord));
    }
    let Some(payload) = reader.get(offset + FRAME_BYTES, frame.length as usize)? else {
        return Ok(Err(DamageKind::Truncated));
    };
    if !frame.matches(segment, offset, payload) {
        return Ok(Err(DamageKind::UnreadableRecord));
    }
    let record = postcard::from_bytes(payload).map_err(|_| DamageKind::UnknownRecordKind);
    Ok(record.map(|record| (record, FRAME_BYTES + u64::from(frame.length))))
}

fn read_frame<S: Store>(
    reader: &mut BufferedReader<'_, S>,
    offset: u64,
    end: u64,
) -> io::Result<Option<Frame>> {
    if offset + FRAME_BYTES > end {
        return Ok(None);
    }
    let bytes = reader.get(offset, FRAME_BYTES as usize)?;
    Ok(bytes.and_then(|bytes| bytes.try_into().ok()).map(Frame::decode))
}

/// Whether a valid record after the unreadable bytes at `damaged_at` says that those bytes had been durable.
fn was_durable<S: Store>(
    reader: &mut BufferedReader<'_, S>,
    segment: SegmentId,
    damaged_at: u64,
    end: u64,
) -> io::Result<bool> {
    let mut was_durable = false;
    find_valid_records(reader, segment, damaged_at + 1, end, |_, frame| {
        was_durable = u64::from(frame.durable_size) > damaged_at;
        was_durable
    })?;
    Ok(was_durable)
}

/// Searches for valid records at any offset from `from` on, until `stop` returns true. After [`MAX_CHECKSUMMED_BYTES`]
/// plausible frames count as valid without a check, so that unreadable bytes before them are reported as damage rather than
/// dropped.
pub(crate) fn find_valid_records<S: Store>(
    reader: &mut BufferedReader<'_, S>,
    segment: SegmentId,
    from: u64,
    end: u64,
    mut stop: impl FnMut(u64, Frame) -> bool,
) -> io::Result<()> {
    let mut checksummed_bytes = 0;
    let mut offset = from;
    while let Some(frame) = read_frame(reader, offset, end)? {
        let mut next = offset + 1;
        if frame.is_plausible(offset, end) {
            checksummed_bytes += u64::from(frame.length);
            let is_valid = checksummed_bytes > MAX_CHECKSUMMED_BYTES
                || reader
                    .get(offset + FRAME_BYTES, frame.length as usize)?
                    .is_some_and(|payload| frame.matches(segment, offset, payload));
            if is_valid {
                if stop(offset, frame) {
                    return Ok(());
                }
                next = offset + FRAME_BYTES + u64::from(frame.length);
            }
        }
        offset = next;
    }
    Ok(())
}

// The buffer of a reader has at least a chunk; only a longer payload makes it grow.
const _: () = assert!(MAX_PAYLOAD_BYTES as usize >= CHUNK_BYTES);
