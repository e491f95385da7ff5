use super::*;
use crate::state::{HandoverCall, HandoverClient};
use proptest::prelude::*;

fn state(engine_state: Vec<u8>) -> HandoverState {
    let call = HandoverCall {
        message: 7,
        timeout_us: 1_500_000,
        elapsed_us: 20_000,
        response: b"HTTP".to_vec(),
        earlier_response_hashes: vec![5],
    };
    HandoverState {
        clock_epoch_ms: 1_790_000_000_000,
        stopped_at_ns: 5,
        engine_state,
        has_listener: true,
        clients: vec![HandoverClient { is_fresh: false, unprocessed: b"*1\r\n".to_vec() }],
        calls: vec![call],
        group_state: vec![4],
    }
}

fn decode(frame: &[u8]) -> Result<HandoverState, FrameError> {
    let (header, body) = frame.split_first_chunk().ok_or(FrameError::Magic)?;
    decode_state(decode_header(header)?, body)
}

#[test]
fn wrong_version_truncation_and_excess_length_are_different_errors() {
    let frame = encode(&state(vec![1, 2, 3])).unwrap();
    let mut other_version = frame.clone();
    other_version[8] = 9;
    assert_eq!(decode(&other_version), Err(FrameError::Version(9)));
    assert_eq!(decode(&frame[..frame.len() - 1]), Err(FrameError::Checksum));
    let mut too_long = frame.clone();
    too_long[12..20].copy_from_slice(&u64::MAX.to_le_bytes());
    assert_eq!(decode(&too_long), Err(FrameError::TooLong(u64::MAX)));
    assert_eq!(decode(b"HTTP/1.1 200 OK\r\n\r\n......."), Err(FrameError::Magic));
    assert!(matches!(encode(&state(vec![0; MAX_BODY_BYTES + 1])), Err(FrameError::TooLong(_))));
}

proptest! {
    #[test]
    fn decoding_returns_the_encoded_state(engine_state in prop::collection::vec(any::<u8>(), 0..300)) {
        let state = state(engine_state);
        prop_assert_eq!(decode(&encode(&state).unwrap()), Ok(state));
    }

    /// Every single flipped bit is detected, and none causes a panic.
    #[test]
    fn a_flipped_bit_is_detected(at in any::<prop::sample::Index>(), bit in 0u8..8) {
        let mut frame = encode(&state(vec![9; 40])).unwrap();
        let at = at.index(frame.len());
        frame[at] ^= 1 << bit;
        prop_assert!(decode(&frame).is_err());
    }
}
