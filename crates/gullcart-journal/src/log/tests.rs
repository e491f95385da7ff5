//! Names of segments.

use super::*;

#[test]
fn names_tell_their_sequence_and_nothing_else_does() {
    for number in [0, 1, 255, u64::MAX] {
        assert_eq!(sequence(&name(number)), Some(number));
    }
    for other in ["journal-.seg", "journal-0000000000000000.seg", "journal-1.seg", "journal.new", SPARE, "x"]
    {
        assert_eq!(sequence(other), None, "{other}");
    }
}
