//! Binary layout of a segment: its header, and the frame before each record. `docs/journal-format.md` describes each byte.

use crc32fast::Hasher;

/// The first bytes of every segment.
pub const MAGIC: [u8; 8] = *b"GCJRNL\r\n";
/// The format version that this program writes, and the newest that it reads.
pub const FORMAT_VERSION: u32 = 1;
/// Size of a segment's header.
pub const HEADER_BYTES: u64 = 64;
/// Size of the frame before each record's payload.
pub const FRAME_BYTES: u64 = 12;
/// A frame with a longer payload counts as damaged. The longest payload that is written is a message with its body.
pub const MAX_PAYLOAD_BYTES: u32 = 1 << 20;

/// Identifies a segment: its journal and its position there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SegmentId {
    /// Random id of the journal, drawn when it was created and the same in all of its segments.
    pub journal_id: u64,
    /// Sequence number, one more than that of the previous segment.
    pub sequence: u64,
}

/// The header at the start of a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// The segment's journal and sequence number.
    pub id: SegmentId,
    /// Size of the previous segment, header and records; 0 if there was none. Bytes of that segment past this size are not
    /// part of the journal.
    pub previous_size: u64,
    /// Sequence number of the oldest segment that was needed when this one was begun.
    pub oldest_needed: u64,
}

/// Why a header cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeaderError {
    /// A newer program wrote it, with this format version.
    NewerVersion(u32),
    /// It is damaged, or is no header at all.
    Damaged,
}

impl Header {
    /// Encodes the header.
    pub fn encode(&self) -> [u8; HEADER_BYTES as usize] {
        let mut out = [0; HEADER_BYTES as usize];
        out[..8].copy_from_slice(&MAGIC);
        out[8..12].copy_from_slice(&FORMAT_VERSION.to_le_bytes());
        out[16..24].copy_from_slice(&self.id.journal_id.to_le_bytes());
        out[24..32].copy_from_slice(&self.id.sequence.to_le_bytes());
        out[32..40].copy_from_slice(&self.previous_size.to_le_bytes());
        out[40..48].copy_from_slice(&self.oldest_needed.to_le_bytes());
        let sum = crc32fast::hash(&out[..48]);
        out[48..52].copy_from_slice(&sum.to_le_bytes());
        out
    }

    /// Decodes a header. The version is checked before anything else is trusted, so that a newer format is reported as such.
    pub fn decode(bytes: &[u8]) -> Result<Header, HeaderError> {
        let bytes: &[u8; HEADER_BYTES as usize] =
            bytes.get(..HEADER_BYTES as usize).and_then(|b| b.try_into().ok()).ok_or(HeaderError::Damaged)?;
        if bytes[..8] != MAGIC {
            return Err(HeaderError::Damaged);
        }
        let version = u32_at(bytes, 8);
        if version > FORMAT_VERSION {
            return Err(HeaderError::NewerVersion(version));
        }
        if version != FORMAT_VERSION || u32_at(bytes, 48) != crc32fast::hash(&bytes[..48]) {
            return Err(HeaderError::Damaged);
        }
        Ok(Header {
            id: SegmentId { journal_id: u64_at(bytes, 16), sequence: u64_at(bytes, 24) },
            previous_size: u64_at(bytes, 32),
            oldest_needed: u64_at(bytes, 40),
        })
    }
}

fn u32_at(bytes: &[u8], at: usize) -> u32 {
    let mut out = [0; 4];
    out.copy_from_slice(&bytes[at..at + 4]);
    u32::from_le_bytes(out)
}

fn u64_at(bytes: &[u8], at: usize) -> u64 {
    let mut out = [0; 8];
    out.copy_from_slice(&bytes[at..at + 8]);
    u64::from_le_bytes(out)
}

/// The frame before a payload: length, durable size and checksum.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame {
    /// Size of the payload.
    pub length: u32,
    /// How many bytes of the segment were durable, as configured, when this record was written. Unreadable bytes before
    /// this offset are damage; after it they are an incomplete write that nobody relied on.
    pub durable_size: u32,
    checksum: u32,
}

impl Frame {
    /// Decodes a frame without validating it.
    pub fn decode(bytes: &[u8; FRAME_BYTES as usize]) -> Frame {
        Frame { length: u32_at(bytes, 0), durable_size: u32_at(bytes, 4), checksum: u32_at(bytes, 8) }
    }

    /// Whether the fields are possible for a frame at `offset` of a segment that ends at `end`.
    pub fn is_plausible(&self, offset: u64, end: u64) -> bool {
        self.length > 0
            && self.length <= MAX_PAYLOAD_BYTES
            && u64::from(self.durable_size) <= offset
            && offset + FRAME_BYTES + u64::from(self.length) <= end
    }

    /// Whether the checksum matches this payload at this offset of this segment.
    pub fn matches(&self, segment: SegmentId, offset: u64, payload: &[u8]) -> bool {
        self.checksum == checksum(segment, offset, self.length, self.durable_size, payload)
    }
}

fn checksum(segment: SegmentId, offset: u64, length: u32, durable_size: u32, payload: &[u8]) -> u32 {
    let mut hasher = Hasher::new();
    hasher.update(&segment.journal_id.to_le_bytes());
    hasher.update(&segment.sequence.to_le_bytes());
    hasher.update(&offset.to_le_bytes());
    hasher.update(&length.to_le_bytes());
    hasher.update(&durable_size.to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}

/// Fills in the frame of a record in a buffer that holds [`FRAME_BYTES`] unused bytes followed by the payload.
pub fn write_frame(segment: SegmentId, offset: u64, durable_size: u64, buffer: &mut [u8]) {
    let payload = &buffer[FRAME_BYTES as usize..];
    let length = payload.len() as u32;
    let durable_size = durable_size as u32;
    let checksum = checksum(segment, offset, length, durable_size, payload);
    buffer[..4].copy_from_slice(&length.to_le_bytes());
    buffer[4..8].copy_from_slice(&durable_size.to_le_bytes());
    buffer[8..12].copy_from_slice(&checksum.to_le_bytes());
}

#[cfg(test)]
mod tests;
