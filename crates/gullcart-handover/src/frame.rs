//! The baggage as bytes: a head of fixed size, then a body with a checksum.

use crate::baggage::Baggage;
use thiserror::Error;

/// What this release speaks. Whoever changes a type that is carried raises it.
pub const VERSION: u32 = 3;
/// Bytes of a body at most; a courier that holds more starts anew from its journal.
pub const LONGEST: usize = 64 << 20;
/// Descriptors at most.
pub const MOST_DESCRIPTORS: usize = 1 << 16;
/// Bytes of a head: magic, version, length, sum.
pub const HEAD: usize = 8 + 4 + 8 + 4;
const MAGIC: &[u8; 8] = b"GCMOVE\r\n";

/// Why a frame is none.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum FrameError {
    #[error("it does not begin as a hand-over does")]
    Magic,
    #[error("it is of version {0}, and this release speaks {VERSION}")]
    Version(u32),
    #[error("it is of {0} bytes, and {LONGEST} are the most")]
    Long(u64),
    #[error("its sum is wrong")]
    Sum,
    #[error("its body cannot be read")]
    Body,
    #[error("it announces {0} descriptors, and {MOST_DESCRIPTORS} are the most")]
    Descriptors(usize),
}

/// What a head announces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    pub length: usize,
    pub sum: u32,
}

/// The whole frame.
pub fn write(baggage: &Baggage) -> Result<Vec<u8>, FrameError> {
    let mut frame = vec![0; HEAD];
    frame = postcard::to_extend(baggage, frame).map_err(|_| FrameError::Body)?;
    let length = frame.len() - HEAD;
    if length > LONGEST {
        return Err(FrameError::Long(length as u64));
    }
    let sum = crc32fast::hash(&frame[HEAD..]);
    frame[..8].copy_from_slice(MAGIC);
    frame[8..12].copy_from_slice(&VERSION.to_le_bytes());
    frame[12..20].copy_from_slice(&(length as u64).to_le_bytes());
    frame[20..24].copy_from_slice(&sum.to_le_bytes());
    Ok(frame)
}

/// What follows a head.
pub fn read_head(head: &[u8; HEAD]) -> Result<Head, FrameError> {
    let number = |at: usize| u32::from_le_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
    if &head[..8] != MAGIC {
        return Err(FrameError::Magic);
    }
    if number(8) != VERSION {
        return Err(FrameError::Version(number(8)));
    }
    let length = u64::from(number(12)) | u64::from(number(16)) << 32;
    match usize::try_from(length) {
        Ok(length) if length <= LONGEST => Ok(Head { length, sum: number(20) }),
        _ => Err(FrameError::Long(length)),
    }
}

/// What a body says, under its head.
pub fn read_baggage(head: Head, body: &[u8]) -> Result<Baggage, FrameError> {
    if body.len() != head.length || crc32fast::hash(body) != head.sum {
        return Err(FrameError::Sum);
    }
    let baggage: Baggage = match postcard::take_from_bytes(body) {
        Ok((baggage, [])) => baggage,
        _ => return Err(FrameError::Body),
    };
    match baggage.descriptors() {
        count if count <= MOST_DESCRIPTORS => Ok(baggage),
        count => Err(FrameError::Descriptors(count)),
    }
}

#[cfg(test)]
mod tests;
