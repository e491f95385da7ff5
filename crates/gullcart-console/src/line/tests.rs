use super::*;
use proptest::prelude::*;

fn whole(bytes: &[u8]) -> Option<Result<Call, Fault>> {
    Lines::default().feed(bytes)
}

#[test]
fn calls_are_read_however_their_line_ends() {
    for (line, call) in [
        (&b"STATUS\n"[..], Call::Status),
        (b"METRICS\r\n", Call::Metrics),
        (b"SUSPEND s-5be2a07c\n", Call::Suspend("s-5be2a07c".to_owned())),
        (b"restore  s-5be2a07c \r\n", Call::Restore("s-5be2a07c".to_owned())),
    ] {
        assert_eq!(whole(line), Some(Ok(call)));
    }
}

#[test]
fn what_is_no_call_is_told_why() {
    let long = [vec![b'x'; LONGEST_LINE + 1], b"\n".to_vec()].concat();
    let id = format!("SUSPEND {}\n", "i".repeat(LONGEST_ID + 1));
    for (line, fault) in [
        (&b"\n"[..], Fault::Empty),
        (b" \r\n", Fault::Empty),
        (b"STATUS now\n", Fault::WantsNothing),
        (b"SUSPEND\n", Fault::WantsId),
        (b"SUSPEND a b\n", Fault::WantsId),
        (b"SUSPEND a\x07\n", Fault::WantsId),
        (id.as_bytes(), Fault::WantsId),
        (b"PING\n", Fault::Unknown),
        (b"\xff\xfe\n", Fault::NotText),
        (b"STATUS\nSTATUS\n", Fault::TwoLines),
        (&long, Fault::TooLong),
        (&long[..LONGEST_LINE + 1], Fault::TooLong),
    ] {
        assert_eq!(whole(line), Some(Err(fault)), "{line:?}");
    }
}

#[test]
fn half_a_line_and_an_end_is_a_fault_and_silence_is_none() {
    let mut lines = Lines::default();
    assert_eq!(lines.end(), None);
    assert_eq!(lines.feed(b"STAT"), None);
    assert_eq!(lines.end(), Some(Fault::Half));
}

proptest! {
    /// The same verdict in whatever pieces one line comes, and never more held than a line may have.
    #[test]
    fn pieces_make_no_difference(
        line in prop_oneof![
            Just(b"STATUS\n".to_vec()),
            Just(b"SUSPEND s-1\r\n".to_vec()),
            prop::collection::vec(any::<u8>().prop_filter("one line", |b| *b != b'\n'), 0..600)
                .prop_map(|mut line| { line.push(b'\n'); line }),
        ],
        size in 1usize..40,
    ) {
        let mut lines = Lines::default();
        let pieces = line.chunks(size).find_map(|piece| {
            let verdict = lines.feed(piece);
            assert!(lines.held.len() <= LONGEST_LINE);
            verdict
        });
        prop_assert_eq!(pieces, whole(&line));
    }
}
