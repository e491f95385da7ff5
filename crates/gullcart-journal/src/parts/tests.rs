//! Parts keep order and number, and no more room than they need.

use super::parts;

const MOST: usize = 64;

#[test]
fn all_entries_come_in_their_order_and_no_part_is_too_long_or_empty() {
    for count in [0, 1, MOST - 1, MOST, MOST + 1, 10 * MOST, 10 * MOST + 1] {
        let entries: Vec<usize> = (0..count).collect();
        let cut: Vec<Vec<usize>> = parts(entries.clone(), MOST).collect();
        assert!(cut.iter().all(|part| !part.is_empty() && part.len() <= MOST), "{count}");
        assert_eq!(cut.len(), count.div_ceil(MOST));
        assert_eq!(cut.concat(), entries);
    }
}

/// The room of all parts together grows as the entries do.
#[test]
fn the_parts_of_a_long_list_together_take_the_room_of_the_list() {
    for count in [1_000, 10_000, 100_000] {
        let entries: Vec<usize> = (0..count).collect();
        let room: usize = parts(entries, MOST).map(|part| part.capacity()).sum();
        assert!(room <= count + MOST, "{count}: {room}");
    }
}
