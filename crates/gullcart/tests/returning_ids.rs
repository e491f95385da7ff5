//! Clients that leave, and ids that come again: no id is sent to an endpoint twice, in one process and around an upgrade.

use gullcart_standins::world::*;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_gullcart");
/// Limit on the time until a metric has an expected value.
const METRIC_TIMEOUT: Duration = Duration::from_secs(10);

/// Waits until a metric has a value.
fn wait_for_metric(courier: &Courier, name: &str, value: u64) {
    let line = format!("edge_balancer.{name}:{value}|");
    let end = Instant::now() + METRIC_TIMEOUT;
    while !courier.ask_console("METRICS\n").contains(&line) {
        assert!(Instant::now() < end, "{name} is not {value}");
    }
}

/// A client enqueues a message of each class, leaves, and both are delivered.
fn deliver_two_messages(world: &World, courier: &Courier) {
    assert_eq!(courier.client().enqueue("d1", "0", "salary", 1, b"x"), "+OK");
    world.next_call().answer("200 OK", "");
    assert_eq!(courier.client().enqueue("d2", "9", "notice,k=d2", 1, b"x"), "+OK");
    world.next_call().answer("200 OK", "");
    wait_for_metric(courier, "in_flight", 0);
}

/// Checks that the ids of [`deliver_two_messages`] are answered as accepted, and not sent again; with another content they are
/// errors.
fn check_delivered_ids(world: &World, courier: &Courier) {
    assert_eq!(courier.client().enqueue("d1", "0", "salary", 1, b"x"), "+OK");
    assert_eq!(courier.client().enqueue("d2", "9", "notice,k=d2", 1, b"x"), "+OK");
    assert!(courier.client().enqueue("d1", "0", "salary", 1, b"other").starts_with("-ERR "));
    world.expect_nothing();
}

/// A client enqueues a message, leaves, and the message fails after it may have run.
fn fail_a_message(world: &World, courier: &Courier) {
    assert_eq!(courier.client().enqueue("f1", "0", "salary", 1, b"x"), "+OK");
    world.next_call().close();
    assert!(world.next_notice().contains("\"failed\""));
    wait_for_metric(courier, "in_flight", 0);
}

/// Checks that the id of [`fail_a_message`] is an error, and not sent again.
fn check_failed_id(world: &World, courier: &Courier) {
    assert!(courier.client().enqueue("f1", "0", "salary", 1, b"x").starts_with("-ERR "));
    world.expect_nothing();
}

/// Guards against a second call for an id that comes again after its message was delivered.
#[test]
fn an_id_that_was_delivered_is_not_sent_again() {
    let world = World::with_console(PROGRAM, 1);
    let courier = world.start();
    deliver_two_messages(&world, &courier);
    check_delivered_ids(&world, &courier);
}

/// Guards against a second call for an id whose message has failed, and may have run all the same.
#[test]
fn an_id_that_may_have_run_is_not_sent_again() {
    let world = World::with_console(PROGRAM, 1);
    let courier = world.start();
    fail_a_message(&world, &courier);
    check_failed_id(&world, &courier);
}

/// Guards against a second call for an id that comes again at the other process of an upgrade.
#[test]
fn an_id_that_comes_again_after_an_upgrade_is_not_sent_again() {
    let world = World::with_console(PROGRAM, 1);
    let mut old = world.start();
    deliver_two_messages(&world, &old);
    fail_a_message(&world, &old);
    let new = world.start();
    old.terminate();
    old.wait_for_exit(Duration::from_secs(4));
    check_delivered_ids(&world, &new);
    check_failed_id(&world, &new);
}

/// An id whose message was refused by the partner and returned may come again, as it has surely not run.
#[test]
fn an_id_that_has_not_run_is_accepted_again() {
    let mut world = World::with_console(PROGRAM, 1);
    world.separate_destinations = true;
    let courier = world.start();
    let enqueue = || {
        let mut client = courier.client();
        client.send(
            b"*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$2\r\nn1\r\n$21\r\nd=200,c=salary,dest=1\r\n$1\r\nx\r\n",
        );
        client.read_reply()
    };
    assert_eq!(enqueue(), "+OK");
    let call = world.next_call();
    call.answer("429 Too Many", "X-Come-Back-Ms: 400\r\n");
    world.next_notice();
    wait_for_metric(&courier, "in_flight", 0);
    assert_eq!(enqueue(), "+OK");
}

/// Bytes of requests that enqueue the messages `<prefix>0` and so on.
fn requests(prefix: &str, count: usize) -> Vec<u8> {
    let fields = "d=20000,c=salary,dest=1";
    let request = |number: usize| {
        let id = format!("{prefix}{number}");
        let (id_bytes, field_bytes) = (id.len(), fields.len());
        format!(
            "*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n${id_bytes}\r\n{id}\r\n${field_bytes}\r\n{fields}\r\n$1\r\nx\r\n"
        )
    };
    (0..count).map(request).collect::<String>().into_bytes()
}

/// Guards against requests that are sent on although their client had closed before the first of them was read.
#[test]
fn requests_of_a_client_that_has_closed_are_not_sent_on() {
    let world = World::new(PROGRAM, 1, 3.0);
    let courier = world.start();
    let mut client = courier.client();
    assert_eq!(client.request(&["PING"]), "+PONG");
    courier.while_stopped(|| {
        client.send(&requests("p", 200));
        drop(client);
    });
    world.expect_nothing();
}
