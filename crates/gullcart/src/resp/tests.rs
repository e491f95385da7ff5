//! Decoding of requests, valid and invalid ones, however they are split.

use super::*;
use proptest::prelude::*;

fn encode(arguments: &[Vec<u8>]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", arguments.len()).into_bytes();
    for argument in arguments {
        bytes.extend(format!("${}\r\n", argument.len()).as_bytes());
        bytes.extend(argument);
        bytes.extend(b"\r\n");
    }
    bytes
}

/// Decodes requests that arrive in two parts.
fn decode_parts(parts: [&[u8]; 2]) -> Result<Vec<Vec<Bytes>>, RespError> {
    let mut buffer = BytesMut::new();
    let mut requests = Vec::new();
    for part in parts {
        buffer.extend_from_slice(part);
        while let Some(arguments) = decode(&mut buffer)? {
            requests.push(arguments);
        }
    }
    Ok(requests)
}

proptest! {
    #[test]
    fn requests_are_decoded_as_they_were_encoded(
        requests in prop::collection::vec(prop::collection::vec(prop::collection::vec(any::<u8>(), 0..40), 1..8), 1..4),
        cut in any::<prop::sample::Index>(),
    ) {
        let bytes: Vec<u8> = requests.iter().flat_map(|arguments| encode(arguments)).collect();
        let (first, second) = bytes.split_at(cut.index(bytes.len() + 1));
        prop_assert_eq!(decode_parts([first, second]), Ok(requests.iter().map(|arguments| arguments.iter().map(|argument| Bytes::copy_from_slice(argument)).collect()).collect()));
    }

    /// Invalid input causes no panic, and the same result however it is split.
    #[test]
    fn invalid_input_gives_the_same_result_however_it_is_split(
        bytes in prop::collection::vec(prop::sample::select(b"*$-019\r\nPX".to_vec()), 0..60),
        cut in any::<prop::sample::Index>(),
    ) {
        let (first, second) = bytes.split_at(cut.index(bytes.len() + 1));
        prop_assert_eq!(decode_parts([first, second]), decode_parts([&bytes, b""]));
    }
}

#[test]
fn the_length_of_a_request_is_limited_as_a_whole() {
    let body = vec![b'x'; MAX_BODY_BYTES];
    let arguments = |other: usize| encode(&[b"ENQUEUE".to_vec(), vec![b'y'; other], body.clone()]);
    assert!(decode_parts([&arguments(100), b""]).is_ok());
    assert_eq!(decode_parts([&arguments(MAX_OVERHEAD_BYTES), b""]), Err(RespError::TooLong));
}
