use super::*;

#[test]
fn the_oldest_without_a_call_gives_way() {
    let mut callers = Callers::new(3);
    let numbers: Vec<u64> = ["a", "b", "c"].map(|name| callers.enter(name).0).into();
    callers.has_asked(numbers[0]);
    assert_eq!(callers.enter("d").1, Some("b"));
    callers.leave(numbers[2]);
    assert_eq!(callers.enter("e").1, None);
    assert_eq!(callers.enter("f").1, Some("d"));
}

#[test]
fn where_all_are_being_answered_the_oldest_gives_way() {
    let mut callers = Callers::new(2);
    for name in ["a", "b"] {
        let (number, _) = callers.enter(name);
        callers.has_asked(number);
    }
    assert_eq!(callers.enter("c").1, Some("a"));
}
