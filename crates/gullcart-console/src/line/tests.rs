use super::*;
use proptest::prelude::*;

fn parse_at_once(bytes: &[u8]) -> Option<Result<ConsoleCommand, LineError>> {
    LineParser::default().feed(bytes)
}

#[test]
fn commands_are_parsed_with_either_line_ending() {
    for (line, command) in [
        (&b"STATUS\n"[..], ConsoleCommand::Status),
        (b"METRICS\r\n", ConsoleCommand::Metrics),
        (b"SUSPEND s-5be2a07c\n", ConsoleCommand::Suspend("s-5be2a07c".to_owned())),
        (b"restore  s-5be2a07c \r\n", ConsoleCommand::Restore("s-5be2a07c".to_owned())),
    ] {
        assert_eq!(parse_at_once(line), Some(Ok(command)));
    }
}

#[test]
fn invalid_lines_are_reported_with_the_reason() {
    let long_line = [vec![b'x'; MAX_LINE_BYTES + 1], b"\n".to_vec()].concat();
    let long_id = format!("SUSPEND {}\n", "i".repeat(MAX_ID_BYTES + 1));
    for (line, error) in [
        (&b"\n"[..], LineError::Empty),
        (b" \r\n", LineError::Empty),
        (b"STATUS now\n", LineError::UnexpectedArgument),
        (b"SUSPEND\n", LineError::EndpointIdExpected),
        (b"SUSPEND a b\n", LineError::EndpointIdExpected),
        (b"SUSPEND a\x07\n", LineError::EndpointIdExpected),
        (long_id.as_bytes(), LineError::EndpointIdExpected),
        (b"PING\n", LineError::UnknownCommand),
        (b"\xff\xfe\n", LineError::NotUtf8),
        (b"STATUS\nSTATUS\n", LineError::ExtraLine),
        (&long_line, LineError::TooLong),
        (&long_line[..MAX_LINE_BYTES + 1], LineError::TooLong),
    ] {
        assert_eq!(parse_at_once(line), Some(Err(error)), "{line:?}");
    }
}

#[test]
fn end_of_input_is_an_error_only_within_a_line() {
    let mut parser = LineParser::default();
    assert_eq!(parser.end_of_input(), None);
    assert_eq!(parser.feed(b"STAT"), None);
    assert_eq!(parser.end_of_input(), Some(LineError::Incomplete));
}

proptest! {
    /// The result does not depend on how a line is split into pieces, and the buffer never exceeds the maximum line size.
    #[test]
    fn the_result_does_not_depend_on_the_pieces(
        line in prop_oneof![
            Just(b"STATUS\n".to_vec()),
            Just(b"SUSPEND s-1\r\n".to_vec()),
            prop::collection::vec(any::<u8>().prop_filter("one line", |b| *b != b'\n'), 0..600)
                .prop_map(|mut line| { line.push(b'\n'); line }),
        ],
        size in 1usize..40,
    ) {
        let mut parser = LineParser::default();
        let in_pieces = line.chunks(size).find_map(|piece| {
            let result = parser.feed(piece);
            assert!(parser.buffer.len() <= MAX_LINE_BYTES);
            result
        });
        prop_assert_eq!(in_pieces, parse_at_once(&line));
    }
}
