use super::*;

#[test]
fn events_are_ordered_by_time_and_then_by_insertion() {
    let mut queue = EventQueue::default();
    for (at, event) in [(5, 'c'), (1, 'a'), (5, 'd'), (3, 'b'), (5, 'e')] {
        queue.push(Timestamp(at), event);
    }
    let all: String = std::iter::from_fn(|| queue.pop()).map(|(_, event)| event).collect();
    assert_eq!(all, "abcde");
}
