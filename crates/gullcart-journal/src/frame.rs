//! The bytes of a segment: its header, and the frame round each record. `docs/journal-format.md` has them one by one.

use crc32fast::Hasher;

/// The first bytes of every segment.
pub const MAGIC: [u8; 8] = *b"GCJRNL\r\n";
/// The format that this program writes, and the newest that it reads.
pub const VERSION: u32 = 1;
/// Bytes of a segment's header.
pub const HEADER: u64 = 64;
/// Bytes before each record's payload.
pub const FRAME: u64 = 12;
/// A longer payload is damage: the longest that is written is a message with its body.
pub const LONGEST: u32 = 1 << 20;

/// Whose segment, and which.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// Drawn when the journal was begun, the same in all of its segments.
    pub identity: u64,
    /// One more than that of the segment before.
    pub sequence: u64,
}

/// What stands at the beginning of a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// Whose and which it is.
    pub place: Place,
    /// Bytes of the segment before, header and records; 0 if there was none. What stands behind them never counted.
    pub previous_size: u64,
    /// The oldest segment that was needed when this one was begun.
    pub lowest: u64,
}

/// Why a header cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadHeader {
    /// A newer program wrote it.
    Newer(u32),
    /// It is not one, or was damaged.
    Damaged,
}

impl Header {
    /// Its bytes.
    pub fn encode(&self) -> [u8; HEADER as usize] {
        let mut out = [0; HEADER as usize];
        out[..8].copy_from_slice(&MAGIC);
        out[8..12].copy_from_slice(&VERSION.to_le_bytes());
        out[16..24].copy_from_slice(&self.place.identity.to_le_bytes());
        out[24..32].copy_from_slice(&self.place.sequence.to_le_bytes());
        out[32..40].copy_from_slice(&self.previous_size.to_le_bytes());
        out[40..48].copy_from_slice(&self.lowest.to_le_bytes());
        let sum = crc32fast::hash(&out[..48]);
        out[48..52].copy_from_slice(&sum.to_le_bytes());
        out
    }

    /// Reads one. A newer version is told before anything else of it is believed.
    pub fn decode(bytes: &[u8]) -> Result<Header, BadHeader> {
        let bytes: &[u8; HEADER as usize] =
            bytes.get(..HEADER as usize).and_then(|b| b.try_into().ok()).ok_or(BadHeader::Damaged)?;
        if bytes[..8] != MAGIC {
            return Err(BadHeader::Damaged);
        }
        let version = u32_at(bytes, 8);
        if version > VERSION {
            return Err(BadHeader::Newer(version));
        }
        if version != VERSION || u32_at(bytes, 48) != crc32fast::hash(&bytes[..48]) {
            return Err(BadHeader::Damaged);
        }
        Ok(Header {
            place: Place { identity: u64_at(bytes, 16), sequence: u64_at(bytes, 24) },
            previous_size: u64_at(bytes, 32),
            lowest: u64_at(bytes, 40),
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

/// The twelve bytes before a payload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame {
    /// Bytes of the payload.
    pub length: u32,
    /// Up to here the segment had outlasted all that it was to outlast when this record was written: a hole before
    /// this place is damage, one behind it was promised to nobody.
    pub settled: u32,
    sum: u32,
}

impl Frame {
    /// Reads one, whether it makes sense or not.
    pub fn decode(bytes: &[u8; FRAME as usize]) -> Frame {
        Frame { length: u32_at(bytes, 0), settled: u32_at(bytes, 4), sum: u32_at(bytes, 8) }
    }

    /// Whether it can be one at that offset, of a segment with so many bytes.
    pub fn is_plausible(&self, offset: u64, end: u64) -> bool {
        self.length > 0
            && self.length <= LONGEST
            && u64::from(self.settled) <= offset
            && offset + FRAME + u64::from(self.length) <= end
    }

    /// Whether that payload belongs to it, at that offset of that segment.
    pub fn fits(&self, place: Place, offset: u64, payload: &[u8]) -> bool {
        self.sum == sum(place, offset, self.length, self.settled, payload)
    }
}

fn sum(place: Place, offset: u64, length: u32, settled: u32, payload: &[u8]) -> u32 {
    let mut hasher = Hasher::new();
    hasher.update(&place.identity.to_le_bytes());
    hasher.update(&place.sequence.to_le_bytes());
    hasher.update(&offset.to_le_bytes());
    hasher.update(&length.to_le_bytes());
    hasher.update(&settled.to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}

/// Makes a record of a buffer that holds [`FRAME`] bytes of room and the payload behind them.
pub fn seal(place: Place, offset: u64, settled: u64, buffer: &mut [u8]) {
    let payload = &buffer[FRAME as usize..];
    let (length, settled) = (payload.len() as u32, settled as u32);
    let sum = sum(place, offset, length, settled, payload);
    buffer[..4].copy_from_slice(&length.to_le_bytes());
    buffer[4..8].copy_from_slice(&settled.to_le_bytes());
    buffer[8..12].copy_from_slice(&sum.to_le_bytes());
}

#[cfg(test)]
mod tests;
