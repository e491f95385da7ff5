use super::*;

#[test]
fn the_oldest_connection_without_a_command_is_evicted() {
    let mut connections = ConsoleConnections::new(3);
    let numbers: Vec<u64> = ["a", "b", "c"].map(|name| connections.add(name).0).into();
    connections.command_received(numbers[0]);
    assert_eq!(connections.add("d").1, Some("b"));
    connections.remove(numbers[2]);
    assert_eq!(connections.add("e").1, None);
    assert_eq!(connections.add("f").1, Some("d"));
}

#[test]
fn the_oldest_connection_is_evicted_when_all_are_being_answered() {
    let mut connections = ConsoleConnections::new(2);
    for name in ["a", "b"] {
        let (number, _) = connections.add(name);
        connections.command_received(number);
    }
    assert_eq!(connections.add("c").1, Some("a"));
}
