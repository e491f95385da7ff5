use super::*;
use crate::baggage::{CarriedCall, CarriedClient};
use proptest::prelude::*;

fn baggage(books: Vec<u8>) -> Baggage {
    let call = CarriedCall {
        message: 7,
        try_for_us: 1_500_000,
        elapsed_us: 20_000,
        answer: b"HTTP".to_vec(),
        earlier_answers: vec![5],
    };
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
