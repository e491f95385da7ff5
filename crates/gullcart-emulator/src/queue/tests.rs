use super::*;

#[test]
fn time_comes_first_and_then_the_order_of_putting() {
    let mut queue = Queue::default();
    for (at, what) in [(5, 'c'), (1, 'a'), (5, 'd'), (3, 'b'), (5, 'e')] {
        queue.put(Timestamp(at), what);
    }
    let all: String = std::iter::from_fn(|| queue.take()).map(|(_, what)| what).collect();
    assert_eq!(all, "abcde");
}
