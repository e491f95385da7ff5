//! Well-behaved and misbehaving clients, over loopback sockets.

use gullcart_standins::world::*;
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_gullcart");

/// An error or a close must come within this time of connecting.
const CLOSE_LIMIT: Duration = Duration::from_secs(3);

/// A client that sends nothing is closed; one that stops inside a request gets an error. Both used to hold their slots for two
/// minutes.
#[test]
fn clients_without_a_complete_request_do_not_keep_their_slots() {
    let world = World::new(PROGRAM, 1, 3.0);
    let courier = world.start();
    let mut silent = courier.client().with_read_timeout(CLOSE_LIMIT);
    let mut half = courier.client().with_read_timeout(CLOSE_LIMIT);
    half.send(b"*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$2\r\nh");
    assert!(half.read_reply().starts_with("-ERR "));
    assert!(half.is_closed());
    assert!(silent.is_closed());
}

/// With more connections than slots, those without a request are closed, and a client with a request is served at once. It used
/// to wait in the listener's queue for longer than the 400 ms that clients wait.
#[test]
fn connections_without_a_request_are_closed_for_clients_with_one() {
    let mut world = World::new(PROGRAM, 1, 3.0);
    world.sockets = 256;
    let courier = world.start();
    let silent: Vec<Client> = (0..300).map(|_| courier.client()).collect();
    for number in 0..20 {
        let mut client = courier.client().with_read_timeout(Duration::from_secs(1));
        assert_eq!(client.enqueue(&format!("g{number}"), "0", "salary", 1, b"x"), "+OK");
        world.next_call().answer("200 OK", "");
    }
    drop(silent);
}

/// Connections that stay open after one request do not use up what clients may open, a third of the descriptors: the one that
/// has been idle longest is closed for each new one, and the last one stays.
#[test]
fn idle_connections_are_closed_for_new_ones() {
    let mut world = World::new(PROGRAM, 1, 3.0);
    world.sockets = 256;
    let courier = world.start();
    let mut stayed: Vec<Client> =
        (0..80).map(|_| courier.client().with_read_timeout(Duration::from_secs(1))).collect();
    for client in &mut stayed {
        assert_eq!(client.request(&["PING"]), "+PONG");
    }
    assert!(stayed[..30].iter_mut().all(Client::is_closed));
    assert_eq!(stayed[79].request(&["PING"]), "+PONG");
}

/// The error arrives although the client goes on sending: closing with unread bytes would reset the connection and discard what
/// the client has not read yet.
#[test]
fn an_error_arrives_despite_a_huge_value() {
    let world = World::new(PROGRAM, 1, 3.0);
    let courier = world.start();
    let mut client = courier.client();
    client.send(b"*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$2\r\nb1\r\n$3\r\nc=x\r\n$60000000\r\n");
    let part = vec![b'x'; 1 << 20];
    (0..60).for_each(|_| client.try_send(&part).unwrap());
    assert!(client.read_reply().starts_with("-ERR "));
    assert!(client.is_closed());
}

/// Each of hundreds of commands sent at once is answered, and other clients are served meanwhile.
#[test]
fn a_flood_of_commands_is_answered_and_delays_nobody() {
    let world = World::new(PROGRAM, 1, 3.0);
    let courier = world.start();
    let mut flood = courier.client();
    flood.send(&b"*1\r\n$8\r\nFLUSHALL\r\n".repeat(2000));
    let mut client = courier.client();
    assert_eq!(client.enqueue("f1", "0", "salary", 1, b"x"), "+OK");
    world.next_call().answer("200 OK", "");
    (0..2000).for_each(|_| assert!(flood.read_reply().starts_with("-ERR ")));
    assert_eq!(flood.request(&["PING"]), "+PONG");
}

/// The id of a message that is held belongs to it: repeating the same message succeeds, and another message with the id is
/// rejected. It used to be answered as accepted.
#[test]
fn an_id_stays_with_its_message() {
    let world = World::new(PROGRAM, 1, 3.0);
    let courier = world.start();
    assert_eq!(courier.client().enqueue("i1", "9", "notice,k=i1", 1, b"1"), "+OK");
    let call = world.next_call();
    assert!(courier.client().enqueue("i1", "9", "notice,k=i1", 1, b"other").starts_with("-ERR "));
    assert!(courier.client().enqueue("i1", "0", "salary", 1, b"1").starts_with("-ERR "));
    assert_eq!(courier.client().enqueue("i1", "9", "notice,k=i1", 1, b"1"), "+OK");
    call.answer("200 OK", "");
    world.expect_nothing();
}

/// A destination that was never listed is an error; one that has lost its endpoints may get new ones.
#[test]
fn unknown_destinations_are_errors_and_empty_ones_are_not() {
    let mut world = World::with_long_deadlines(PROGRAM, 2, 3.0);
    world.separate_destinations = true;
    let courier = world.start();
    world.advertise_deleted(1);
    courier.wait_for_log("the list has changed");
    let mut client = courier.client();
    assert!(client.enqueue("d9", "0", "salary", 9, b"x").starts_with("-ERR "));
    assert_eq!(client.enqueue("d2", "0", "salary", 2, b"x"), "+OK");
    drop(client);
    let courier = courier.kill_and_restart();
    assert_eq!(courier.client().enqueue("d3", "0", "salary", 2, b"x"), "+OK");
    assert!(courier.client().enqueue("d8", "0", "salary", 8, b"x").starts_with("-ERR "));
    world.expect_no_call();
}

/// Without its idempotency key a message of a keyed class could not be repeated safely.
#[test]
fn keyed_messages_need_their_key() {
    let world = World::new(PROGRAM, 1, 3.0);
    let courier = world.start();
    assert!(courier.client().enqueue("k1", "9", "notice", 1, b"1").starts_with("-ERR "));
    world.expect_no_call();
}

/// A request that arrives in small pieces over two seconds is served; it used to be cut off after one. One that stops half way
/// is closed.
#[test]
fn a_request_that_is_written_slowly_is_served() {
    let world = World::new(PROGRAM, 1, 3.0);
    let courier = world.start();
    let mut stuck = courier.client();
    stuck.send(b"*5\r\n$7\r\nENQ");
    let mut client = courier.client();
    let fields = "d=20000,c=salary,dest=1";
    let request =
        format!("*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$2\r\ns1\r\n${}\r\n{fields}\r\n$1\r\nx\r\n", fields.len());
    let began = std::time::Instant::now();
    for (at, byte) in request.bytes().enumerate() {
        // Each byte has a fixed time, so a slow machine only makes the pieces larger.
        let due = std::time::Duration::from_millis(2100 * at as u64 / request.len() as u64);
        std::thread::sleep(due.saturating_sub(began.elapsed()));
        client.send(&[byte]);
    }
    assert_eq!(client.read_reply(), "+OK");
    assert_eq!(world.next_call().id, "s1");
    assert!(stuck.read_reply().starts_with("-ERR"));
}

/// An unlisted destination gets another error than an invalid number.
#[test]
fn unlisted_and_invalid_destinations_get_different_errors() {
    let world = World::new(PROGRAM, 1, 3.0);
    let courier = world.start();
    let mut client = courier.client();
    let mut ask = |id: &str, destination: &str| {
        client.request(&["ENQUEUE", "0", id, &format!("c=salary,d=9000,dest={destination}"), "x"])
    };
    for unlisted in ["65535", "65536", "1600000", "4294967295"] {
        assert_eq!(ask("m1", unlisted), "-ERR unknown destination", "{unlisted}");
    }
    for unfit in ["4294967296", "-1", "1.5", "x", ""] {
        assert_eq!(ask("m1", unfit), "-ERR dest is missing or no number", "{unfit}");
    }
    // From now on the list has one of them.
    let mut wide = world.state_change(2, 0, "SERVING")["targets"][0].clone();
    (wide["uid"], wide["pod_group"]) = ("wide".into(), 1_600_000.into());
    world.advertise(2, &[wide]);
    courier.wait_for_log("rev=2");
    assert_eq!(ask("m1", "1600000"), "+OK");
    let call = world.next_call();
    assert_eq!(call.id, "m1");
    call.answer("200 OK", "");
}
