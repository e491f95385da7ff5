//! File names of segments.

use super::*;

#[test]
fn only_segment_file_names_have_a_sequence() {
    for number in [0, 1, 255, u64::MAX] {
        assert_eq!(segment_sequence(&segment_file_name(number)), Some(number));
    }
    for other in
        ["journal-.seg", "journal-0000000000000000.seg", "journal-1.seg", "journal.new", SPARE_FILE_NAME, "x"]
    {
        assert_eq!(segment_sequence(other), None, "{other}");
    }
}
