//! Chunks keep the order and number of entries, and allocate no more memory than they need.

use super::into_chunks;

const MAX_LEN: usize = 64;

#[test]
fn all_entries_come_in_order_and_no_chunk_is_too_long_or_empty() {
    for count in [0, 1, MAX_LEN - 1, MAX_LEN, MAX_LEN + 1, 10 * MAX_LEN, 10 * MAX_LEN + 1] {
        let entries: Vec<usize> = (0..count).collect();
        let chunks: Vec<Vec<usize>> = into_chunks(entries.clone(), MAX_LEN).collect();
        assert!(chunks.iter().all(|chunk| !chunk.is_empty() && chunk.len() <= MAX_LEN), "{count}");
        assert_eq!(chunks.len(), count.div_ceil(MAX_LEN));
        assert_eq!(chunks.concat(), entries);
    }
}

/// The total capacity of the chunks grows linearly with the number of entries.
#[test]
fn the_chunks_of_a_long_list_together_take_the_memory_of_the_list() {
    for count in [1_000, 10_000, 100_000] {
        let entries: Vec<usize> = (0..count).collect();
        let capacity: usize = into_chunks(entries, MAX_LEN).map(|chunk| chunk.capacity()).sum();
        assert!(capacity <= count + MAX_LEN, "{count}: {capacity}");
    }
}
