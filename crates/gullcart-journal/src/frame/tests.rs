//! Headers and frames read back, and each flipped bit is seen.

use super::*;

const PLACE: Place = Place { identity: 0x1122_3344_5566_7788, sequence: 9 };

#[test]
fn a_header_reads_back_and_each_flipped_bit_is_seen() {
    let header = Header { place: PLACE, previous_size: 48_000, lowest: 3 };
    let bytes = header.encode();
    assert_eq!(Header::decode(&bytes), Ok(header));
    for bit in 0..52 * 8 {
        let mut other = bytes;
        other[bit / 8] ^= 1 << (bit % 8);
        assert!(Header::decode(&other).is_err(), "bit {bit}");
    }
    assert_eq!(Header::decode(&bytes[..63]), Err(BadHeader::Damaged));
}

#[test]
fn a_newer_header_is_told_as_such() {
    let mut bytes = Header { place: PLACE, previous_size: 0, lowest: 0 }.encode();
    bytes[8..12].copy_from_slice(&7u32.to_le_bytes());
    assert_eq!(Header::decode(&bytes), Err(BadHeader::Newer(7)));
}

#[test]
fn a_record_counts_at_its_own_place_only() {
    let mut buffer = vec![0; FRAME as usize];
    buffer.extend(b"payload");
    seal(PLACE, 640, 600, &mut buffer);
    let frame = Frame::decode(buffer[..12].try_into().unwrap());
    assert!(frame.is_plausible(640, 640 + 19) && !frame.is_plausible(640, 640 + 18));
    assert!(frame.fits(PLACE, 640, b"payload"));
    assert!(!frame.fits(PLACE, 641, b"payload"));
    assert!(!frame.fits(Place { sequence: 10, ..PLACE }, 640, b"payload"));
    assert!(!frame.fits(Place { identity: 1, ..PLACE }, 640, b"payload"));
    assert!(!frame.fits(PLACE, 640, b"paylaod"));
}
