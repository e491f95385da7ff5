//! What clients are owed, the bad ones among them, over loopback sockets.

use gullcart_standins::world::*;
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_gullcart");

/// An error or a close is owed within 3 s of connecting.
const OWED: Duration = Duration::from_secs(3);

/// A client that says nothing is closed; one that breaks off inside a request is told so. Both used to hold their
/// places for two minutes.
#[test]
fn silent_and_half_spoken_clients_do_not_keep_their_places() {
    let world = World::new(PROGRAM, 1, 3.0);
    let courier = world.start();
    let mut silent = courier.client().within(OWED);
    let mut half = courier.client().within(OWED);
    half.send(b"*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$2\r\nh");
    assert!(half.line().starts_with("-ERR "));
    assert!(half.is_closed());
    assert!(silent.is_closed());
}

/// More connections than there are places: the silent ones give way, and whoever has something to ask is served
/// at once. They used to wait in the listener's queue, past the 400 ms that a client waits.
#[test]
fn silent_connections_give_way_to_clients_that_ask() {
    let mut world = World::new(PROGRAM, 1, 3.0);
    world.sockets = 256;
    let courier = world.start();
    let silent: Vec<Client> = (0..300).map(|_| courier.client()).collect();
    for number in 0..20 {
        let mut client = courier.client().within(Duration::from_secs(1));
        assert_eq!(client.enqueue(&format!("g{number}"), "0", "salary", 1, b"x"), "+OK");
        world.call().answer("200 OK", "");
    }
    drop(silent);
}

/// Those that ask once and stay do not use up what clients may hold, a third of the descriptors: the longest idle
/// one is closed for each that comes, and the last one stays.
#[test]
fn clients_that_ask_once_and_stay_give_way_to_others() {
    let mut world = World::new(PROGRAM, 1, 3.0);
    world.sockets = 256;
    let courier = world.start();
    let mut stayed: Vec<Client> = (0..80).map(|_| courier.client().within(Duration::from_secs(1))).collect();
    for client in &mut stayed {
        assert_eq!(client.ask(&["PING"]), "+PONG");
    }
    assert!(stayed[..30].iter_mut().all(Client::is_closed));
    assert_eq!(stayed[79].ask(&["PING"]), "+PONG");
}

/// The error arrives, however much the client goes on sending: closing with bytes unread resets the connection,
/// which throws away what the client has not read yet.
#[test]
fn an_error_is_heard_behind_a_huge_value() {
    let world = World::new(PROGRAM, 1, 3.0);
    let courier = world.start();
    let mut client = courier.client();
    client.send(b"*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$2\r\nb1\r\n$3\r\nc=x\r\n$60000000\r\n");
    let part = vec![b'x'; 1 << 20];
    (0..60).for_each(|_| client.try_send(&part).unwrap());
    assert!(client.line().starts_with("-ERR "));
    assert!(client.is_closed());
}

/// Hundreds of commands at once are each answered, and others are served meanwhile.
#[test]
fn a_flood_of_commands_is_answered_and_holds_nobody_up() {
    let world = World::new(PROGRAM, 1, 3.0);
    let courier = world.start();
    let mut flood = courier.client();
    flood.send(&b"*1\r\n$8\r\nFLUSHALL\r\n".repeat(2000));
    let mut client = courier.client();
    assert_eq!(client.enqueue("f1", "0", "salary", 1, b"x"), "+OK");
    world.call().answer("200 OK", "");
    (0..2000).for_each(|_| assert!(flood.line().starts_with("-ERR ")));
    assert_eq!(flood.ask(&["PING"]), "+PONG");
}

/// The id of a message that is held belongs to it: the same message once more is held already, and another one
/// under its id is turned away. It used to be answered as taken on.
#[test]
fn an_id_stays_with_its_message() {
    let world = World::new(PROGRAM, 1, 3.0);
    let courier = world.start();
    assert_eq!(courier.client().enqueue("i1", "9", "notice,k=i1", 1, b"1"), "+OK");
    let call = world.call();
    assert!(courier.client().enqueue("i1", "9", "notice,k=i1", 1, b"other").starts_with("-ERR "));
    assert!(courier.client().enqueue("i1", "0", "salary", 1, b"1").starts_with("-ERR "));
    assert_eq!(courier.client().enqueue("i1", "9", "notice,k=i1", 1, b"1"), "+OK");
    call.answer("200 OK", "");
    world.nothing();
}

/// A destination that was never listed is an error; one that has lost its endpoints may get others.
#[test]
fn unknown_destinations_are_errors_and_empty_ones_are_not() {
    let mut world = World::patient(PROGRAM, 2, 3.0);
    world.apart = true;
    let courier = world.start();
    world.remove(1);
    courier.log_until("the list has changed");
    let mut client = courier.client();
    assert!(client.enqueue("d9", "0", "salary", 9, b"x").starts_with("-ERR "));
    assert_eq!(client.enqueue("d2", "0", "salary", 2, b"x"), "+OK");
    drop(client);
    let courier = courier.kill_and_restart();
    assert_eq!(courier.client().enqueue("d3", "0", "salary", 2, b"x"), "+OK");
    assert!(courier.client().enqueue("d8", "0", "salary", 8, b"x").starts_with("-ERR "));
    world.no_call();
}

/// Without its key a message of a keyed class could not be repeated safely.
#[test]
fn keyed_messages_need_their_key() {
    let world = World::new(PROGRAM, 1, 3.0);
    let courier = world.start();
    assert!(courier.client().enqueue("k1", "9", "notice", 1, b"1").starts_with("-ERR "));
    world.no_call();
}

/// A request that comes in small pieces over two seconds is served; it used to be cut off after one. One that stops half way
/// is closed all the same.
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
        // Each byte at its time: a machine that is late only makes the pieces larger.
        let due = std::time::Duration::from_millis(2100 * at as u64 / request.len() as u64);
        std::thread::sleep(due.saturating_sub(began.elapsed()));
        client.send(&[byte]);
    }
    assert_eq!(client.line(), "+OK");
    assert_eq!(world.call().id, "s1");
    assert!(stuck.line().starts_with("-ERR"));
}

/// A destination that no list has named is told apart from what is no destination at all.
#[test]
fn destinations_of_32_bits_are_asked_for_and_what_is_longer_is_an_error() {
    let world = World::new(PROGRAM, 1, 3.0);
    let courier = world.start();
    let mut client = courier.client();
    let mut ask = |id: &str, destination: &str| {
        client.ask(&["ENQUEUE", "0", id, &format!("c=salary,d=9000,dest={destination}"), "x"])
    };
    for unlisted in ["65535", "65536", "1600000", "4294967295"] {
        assert_eq!(ask("m1", unlisted), "-ERR unknown destination", "{unlisted}");
    }
    for unfit in ["4294967296", "-1", "1.5", "x", ""] {
        assert_eq!(ask("m1", unfit), "-ERR dest is missing or no number", "{unfit}");
    }
    // The list names one of them from now on.
    let mut wide = world.change(2, 0, "SERVING")["targets"][0].clone();
    (wide["uid"], wide["pod_group"]) = ("wide".into(), 1_600_000.into());
    world.tell(2, &[wide]);
    courier.log_until("rev=2");
    assert_eq!(ask("m1", "1600000"), "+OK");
    let call = world.call();
    assert_eq!(call.id, "m1");
    call.answer("200 OK", "");
}
