//! Headers and frames decode to what was encoded, and each flipped bit is detected.

use super::*;

const SEGMENT: SegmentId = SegmentId { journal_id: 0x1122_3344_5566_7788, sequence: 9 };

#[test]
fn a_header_decodes_and_each_flipped_bit_is_detected() {
    let header = Header { id: SEGMENT, previous_size: 48_000, oldest_needed: 3 };
    let bytes = header.encode();
    assert_eq!(Header::decode(&bytes), Ok(header));
    for bit in 0..52 * 8 {
        let mut other = bytes;
        other[bit / 8] ^= 1 << (bit % 8);
        assert!(Header::decode(&other).is_err(), "bit {bit}");
    }
    assert_eq!(Header::decode(&bytes[..63]), Err(HeaderError::Damaged));
}

#[test]
fn a_newer_format_version_is_reported() {
    let mut bytes = Header { id: SEGMENT, previous_size: 0, oldest_needed: 0 }.encode();
    bytes[8..12].copy_from_slice(&7u32.to_le_bytes());
    assert_eq!(Header::decode(&bytes), Err(HeaderError::NewerVersion(7)));
}

#[test]
fn a_record_is_valid_only_in_its_own_segment_and_offset() {
    let mut buffer = vec![0; FRAME_BYTES as usize];
    buffer.extend(b"payload");
    write_frame(SEGMENT, 640, 600, &mut buffer);
    let frame = Frame::decode(buffer[..12].try_into().unwrap());
    assert!(frame.is_plausible(640, 640 + 19) && !frame.is_plausible(640, 640 + 18));
    assert!(frame.matches(SEGMENT, 640, b"payload"));
    assert!(!frame.matches(SEGMENT, 641, b"payload"));
    assert!(!frame.matches(SegmentId { sequence: 10, ..SEGMENT }, 640, b"payload"));
    assert!(!frame.matches(SegmentId { journal_id: 1, ..SEGMENT }, 640, b"payload"));
    assert!(!frame.matches(SEGMENT, 640, b"paylaod"));
}
