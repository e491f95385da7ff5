//! Splitting of a watch into its items, however its bytes are split.

use super::*;
use proptest::prelude::*;

const MAX_BYTES: MaxListBytes = MaxListBytes(4 << 20);

const CHANGE: &str = r#"{"rev":7,"all":false,"targets":[{"uid":"s-{\"1}","endpoint":"127.0.0.1:1","az":"a\\","model":"m","pod_group":1,"state":"SERVING","capacity_hint":1.0,"boot_ms":0}]}"#;

fn indented() -> String {
    let value: serde_json::Value = serde_json::from_str(CHANGE).unwrap();
    serde_json::to_string_pretty(&value).unwrap()
}

/// All items of a stream that is fed in parts of a given size, and the error that ends it.
fn items(bytes: &[u8], size: usize) -> (Vec<StreamItem>, Option<String>) {
    let mut stream = UpdateStream::new(MAX_BYTES);
    let mut items = Vec::new();
    for part in bytes.chunks(size.max(1)) {
        stream.feed(part);
        loop {
            match stream.next() {
                Ok(Some(item)) => items.push(item),
                Ok(None) => break,
                Err(error) => return (items, Some(error.to_string())),
            }
        }
    }
    (items, None)
}

#[test]
fn changes_are_parsed_however_they_are_formatted_and_split() {
    let text = format!("\n{CHANGE}\n{}\r\n \n{CHANGE}{CHANGE}\n", indented());
    for size in 1..text.len() {
        let (items, error) = items(text.as_bytes(), size);
        assert_eq!(error, None);
        let changes = items.iter().filter(
            |item| matches!(item, StreamItem::Change(update) if update.rev == 7 && update.targets.len() == 1),
        );
        assert_eq!(changes.count(), 4, "parts of {size}");
        assert_eq!(items.iter().filter(|item| **item == StreamItem::KeepAlive).count(), 5, "parts of {size}");
    }
}

#[test]
fn invalid_input_is_an_error_at_once() {
    for bad in ["x", "}", "[", "\"", "{}", "{\"rev\":\"x\"}", "{\"rev\":1,,}", "5\n"] {
        let (items, error) = items(bad.as_bytes(), 1);
        assert!(error.is_some() && items.is_empty(), "{bad}: {items:?}");
    }
}

/// A change without an end is an error at the limit, and its bytes are not scanned again with each part.
#[test]
fn a_change_without_end_is_an_error_at_the_limit() {
    let mut stream = UpdateStream::new(MAX_BYTES);
    stream.feed(b"{\"rev\":7,\"targets\":[\"");
    let mut fed = 0;
    let error = loop {
        assert!(fed <= MAX_BYTES.0 + 64, "no limit");
        stream.feed(b"xxxxxxxx");
        fed += 8;
        match stream.next() {
            Ok(None) => {}
            other => break other,
        }
    };
    assert!(matches!(error, Err(StreamError::TooLong(bytes)) if bytes == MAX_BYTES.0), "{error:?}");
}

/// 4 MiB if memory is short, and a sixteenth of the memory above that.
#[test]
fn the_limit_grows_with_the_memory() {
    assert_eq!(MaxListBytes::for_memory(8.0), MaxListBytes(4 << 20));
    assert_eq!(MaxListBytes::for_memory(64.0), MaxListBytes(4 << 20));
    assert_eq!(MaxListBytes::for_memory(1_600.0), MaxListBytes(100_000_000));
}

proptest! {
    /// Invalid input causes no panic, and the same result however it is split.
    #[test]
    fn invalid_input_gives_the_same_result_however_it_is_split(
        bytes in prop::collection::vec(prop::sample::select(b"{}[]\"\\,:1x\n ".to_vec()), 0..80),
        size in 1..80_usize,
    ) {
        prop_assert_eq!(items(&bytes, size), items(&bytes, bytes.len()));
    }
}
