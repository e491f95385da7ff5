//! Parsing of the options file.

use super::*;

#[test]
fn valid_options_are_parsed_and_others_are_rejected() {
    assert_eq!(Options::parse(""), Ok(Options::default()));
    let both = Options::parse("durability = \"machine\"\nsegment_kib = 256");
    assert_eq!(both, Ok(Options { durability: Durability::Machine, segment_bytes: Some(256 << 10) }));
    for (bad, word) in
        [("durability = \"disk\"", "disk"), ("segments = 3", "segments"), ("segment_kib = 1", "between")]
    {
        let error = Options::parse(bad).unwrap_err();
        assert!(error.contains(word), "{error}");
    }
}
