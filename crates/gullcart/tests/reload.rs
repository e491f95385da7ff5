//! SIGHUP: the courier changes to another agent of discovery without disturbing anything else.

use gullcart_standins::world::*;

const PROGRAM: &str = env!("CARGO_BIN_EXE_gullcart");

/// The new agent's list counts, unacknowledged notices go to it, and neither calls nor clients are affected. The signal used to
/// end the process.
#[test]
fn sighup_moves_watch_and_notices_to_the_new_agent() {
    let world = World::new(PROGRAM, 2, 3.0);
    let courier = world.start();
    let mut client = courier.client();
    assert_eq!(client.enqueue("h1", "0", "salary", 1, b"x"), "+OK");
    assert_eq!(client.enqueue("h2", "0", "salary", 1, b"x"), "+OK");
    let (lost, out) = (world.next_call(), world.next_call());
    world.leave_notices_unanswered(true);
    let failed = format!(r#"{{"id":"{}","state":"failed"}}"#, lost.id);
    lost.close();
    assert_eq!(world.next_notice(), failed);

    let agent = world.agent_with_drain(0);
    world.configure(&agent);
    courier.hang_up();
    courier.wait_for_log("the list has changed");
    // Notices that the old agent did not acknowledge are sent to the new one.
    while world.notice_requests_at(&agent) == 0 {
        assert_eq!(world.next_notice(), failed);
    }
    assert!(!out.is_closed());
    out.answer("200 OK", "");
    let mut open = Vec::new();
    for id in ["h3", "h4", "h5"] {
        assert_eq!(client.enqueue(id, "0", "salary", 1, b"x"), "+OK");
        let call = world.next_call_skipping_notices();
        assert_eq!(call.endpoint, 1);
        open.push(call);
    }
    open.into_iter().for_each(|call| call.answer("200 OK", ""));
}

/// An invalid file changes nothing, and the next valid one counts.
#[test]
fn an_invalid_configuration_changes_nothing() {
    let world = World::new(PROGRAM, 2, 3.0);
    let courier = world.start();
    let mut client = courier.client();
    world.write_invalid_configuration();
    courier.hang_up();
    courier.wait_for_log("the configuration stays as it was");
    assert_eq!(client.enqueue("s1", "0", "salary", 1, b"x"), "+OK");
    world.next_call().close();
    assert_eq!(world.next_notice(), r#"{"id":"s1","state":"failed"}"#);
    let agents = [world.agent_with_drain(0), world.agent_with_drain(1)];
    for (number, agent) in agents.iter().enumerate() {
        world.configure(agent);
        courier.hang_up();
        courier.wait_for_nth_log("the list has changed", number + 1);
    }
    assert_eq!(client.enqueue("s2", "0", "salary", 1, b"x"), "+OK");
    // The notice may be sent again, as its acknowledgement may have crossed the change of agents.
    let call = world.next_call_skipping_notices();
    assert_eq!(call.endpoint, 0);
    call.answer("200 OK", "");
}
