//! The baggage as bytes: a head of fixed size, then a body with a checksum.

use crate::baggage::Baggage;
use thiserror::Error;

/// What this release speaks. Whoever changes a type that is carried raises it.
pub const VERSION: u32 = 2;
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
mod tests {
    use super::*;
    use crate::baggage::{CarriedCall, CarriedClient};
    use proptest::prelude::*;

    fn baggage(books: Vec<u8>) -> Baggage {
        let call =
            CarriedCall { message: 7, try_for_us: 1_500_000, elapsed_us: 20_000, answer: b"HTTP".to_vec() };
        Baggage {
            epoch_ms: 1_790_000_000_000,
            stopped_ns: 5,
            books,
            has_listener: true,
            clients: vec![CarriedClient { is_fresh: false, unread: b"*1\r\n".to_vec() }],
            calls: vec![call],
            group: vec![4],
        }
    }

    fn read(frame: &[u8]) -> Result<Baggage, FrameError> {
        let (head, body) = frame.split_first_chunk().ok_or(FrameError::Magic)?;
        read_baggage(read_head(head)?, body)
    }

    #[test]
    fn another_version_a_torn_one_and_an_oversize_one_are_told_apart() {
        let frame = write(&baggage(vec![1, 2, 3])).unwrap();
        let mut other = frame.clone();
        other[8] = 9;
        assert_eq!(read(&other), Err(FrameError::Version(9)));
        assert_eq!(read(&frame[..frame.len() - 1]), Err(FrameError::Sum));
        let mut long = frame.clone();
        long[12..20].copy_from_slice(&u64::MAX.to_le_bytes());
        assert_eq!(read(&long), Err(FrameError::Long(u64::MAX)));
        assert_eq!(read(b"HTTP/1.1 200 OK\r\n\r\n......."), Err(FrameError::Magic));
        assert!(matches!(write(&baggage(vec![0; LONGEST + 1])), Err(FrameError::Long(_))));
    }

    proptest! {
        #[test]
        fn what_went_in_comes_out(books in prop::collection::vec(any::<u8>(), 0..300)) {
            let baggage = baggage(books);
            prop_assert_eq!(read(&write(&baggage).unwrap()), Ok(baggage));
        }

        /// No single damage goes unseen, and none is a panic.
        #[test]
        fn damage_is_seen(at in any::<prop::sample::Index>(), bit in 0u8..8) {
            let mut frame = write(&baggage(vec![9; 40])).unwrap();
            let at = at.index(frame.len());
            frame[at] ^= 1 << bit;
            prop_assert!(read(&frame).is_err());
        }
    }
}
