//! Live bytes of each segment as messages are written, rewritten and completed.

use super::*;

#[test]
fn live_bytes_follow_the_latest_record_of_each_message() {
    let mut index = SegmentIndex::default();
    index.add_segment(4);
    index.insert(1, 4, 100);
    index.insert(2, 4, 50);
    index.add_segment(5);
    index.insert(3, 5, 10);
    assert_eq!((index.live_bytes(4), index.live_bytes(5)), (150, 10));
    index.insert(1, 5, 120);
    assert_eq!((index.live_bytes(4), index.live_bytes(5)), (50, 130));
    let mut position = 0;
    assert_eq!(index.next_live(4, &mut position), Scan::Live(2));
    assert_eq!(index.next_live(4, &mut position), Scan::End);
    index.remove(2);
    index.remove(2);
    assert_eq!(index.live_bytes(4), 0);
    index.remove_oldest();
    assert_eq!((index.live_bytes(4), index.live_bytes(5)), (0, 130));
    let mut position = 0;
    assert_eq!(index.next_live(5, &mut position), Scan::Live(3));
    assert_eq!(index.next_live(5, &mut position), Scan::Live(1));
}
