//! Hand-over of a running courier to a second process that is started beside it.

use gullcart_handover::{decode_header, decode_state, encode, HandoverState, HEADER_BYTES};
use gullcart_journal::Folder;
use gullcart_standins::world::*;
use std::io::{Read, Write};
use std::os::linux::net::SocketAddrExt;
use std::os::unix::fs::MetadataExt;
use std::os::unix::net::{SocketAddr, UnixListener, UnixStream};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_gullcart");

/// A world whose couriers have a console.
fn world(endpoints: usize) -> World {
    World::with_console(PROGRAM, endpoints)
}

/// The console's answer to a line.
fn ask(courier: &Courier, line: &str) -> String {
    courier.ask_console(line)
}

/// The value of a metric.
fn figure(courier: &Courier, name: &str) -> u64 {
    let text = ask(courier, "METRICS\n");
    let line = text.lines().find_map(|line| line.strip_prefix(&format!("edge_balancer.{name}:")));
    line.and_then(|rest| rest.split('|').next()).unwrap().parse().unwrap()
}

/// Starts a second process, which answers YES to STATUS once it serves.
fn upgrade(world: &World) -> Courier<'_> {
    let new = world.start();
    assert_eq!(ask(&new, "STATUS\n"), "YES\n");
    new
}

#[test]
fn clients_and_calls_are_not_affected_by_an_upgrade() {
    let world = world(1);
    let mut old = world.start();
    let mut client = old.client();
    assert_eq!(client.enqueue("a1", "0", "salary", 1, b"x"), "+OK");
    let in_flight = world.next_call();
    // Part of a response has arrived, and part of a request.
    in_flight.stream().write_all(b"HTTP/1.1 20").unwrap();
    let mut half = old.client();
    half.send(b"*1\r\n$4\r\nPI");
    let mut idle = old.client();
    assert_eq!(idle.request(&["PING"]), "+PONG");

    let new = upgrade(&world);
    assert_eq!(ask(&old, "STATUS\n").split(' ').next(), Some("NO"));
    assert_eq!((figure(&old, "attempts"), figure(&new, "attempts")), (1, 0));
    assert_eq!((figure(&old, "in_flight"), figure(&new, "in_flight")), (0, 1));
    half.send(b"NG\r\n");
    assert_eq!(half.read_reply(), "+PONG");
    assert_eq!(idle.request(&["PING"]), "+PONG");
    assert_eq!(client.enqueue("a2", "0", "salary", 1, b"y"), "+OK");
    let second = world.next_call();
    assert_eq!((second.id.as_str(), figure(&new, "attempts")), ("a2", 1));
    second.answer("200 OK", "");
    assert!(!in_flight.is_closed());
    in_flight.answer_raw(b"0 OK\r\nContent-Length: 0\r\n\r\n");
    old.terminate();
    assert!(old.wait_for_exit(Duration::from_secs(2)).success());
    // The call that was in flight is delivered once, by the new process.
    while figure(&new, "in_flight") > 0 {}
    assert_eq!((figure(&new, "served.salary"), figure(&new, "failed.salary")), (2, 0));
    assert_eq!(client.request(&["PING"]), "+PONG");
    world.expect_nothing();
}

/// Retry-after intervals and suspended endpoints are kept in the new process.
#[test]
fn retry_after_intervals_and_suspensions_are_handed_over() {
    let mut world = world(2);
    world.separate_destinations = true;
    let mut old = world.start();
    let mut client = old.client();
    assert_eq!(client.enqueue("w1", "0", "salary", 1, b"x"), "+OK");
    world.next_call().answer("429 Too Many", "X-Come-Back-Ms: 60000\r\n");
    assert_eq!(ask(&old, "SUSPEND s-1\n"), "YES\n");
    old.wait_for_log("retry-after received");
    let _new = upgrade(&world);
    old.terminate();
    old.wait_for_exit(Duration::from_secs(2));
    assert_eq!(client.enqueue("w2", "0", "salary", 1, b"x"), "+OK");
    assert_eq!(client.enqueue("w3", "0", "salary", 2, b"x"), "+OK");
    world.expect_no_call();
}

/// The address of the hand-over socket of couriers with this state folder.
fn handover_address(world: &World) -> SocketAddr {
    let folder = std::fs::metadata(world.state_folder()).unwrap();
    SocketAddr::from_abstract_name(format!("gullcart-move-{}-{}", folder.dev(), folder.ino())).unwrap()
}

/// Connects to the hand-over socket of a running courier.
fn connect_for_handover(world: &World) -> std::io::Result<UnixStream> {
    let stream = UnixStream::connect_addr(&handover_address(world))?;
    stream.set_read_timeout(Some(Duration::from_secs(20)))?;
    Ok(stream)
}

/// Connects and sends the hello of the protocol.
fn request_handover(world: &World) -> UnixStream {
    let mut stream = loop {
        // The socket is bound a moment after the first client is served.
        match connect_for_handover(world) {
            Ok(stream) => break stream,
            Err(_) => std::thread::yield_now(),
        }
    };
    stream.write_all(b"h").unwrap();
    stream
}

/// Reads everything that is sent, and returns the state. The descriptors are dropped.
fn read_state(stream: &mut UnixStream) -> HandoverState {
    let mut header = [0; HEADER_BYTES];
    stream.read_exact(&mut header).unwrap();
    let header = decode_header(&header).unwrap();
    let mut body = vec![0; header.length];
    stream.read_exact(&mut body).unwrap();
    stream.read_exact(&mut [0]).unwrap();
    decode_state(header, &body).unwrap()
}

/// Accepts a courier as a new process does, up to the word that the lock of the folder is free.
fn accept_courier(stream: &mut UnixStream) {
    stream.write_all(b"a").unwrap();
    let mut word = [0];
    stream.read_exact(&mut word).unwrap();
    assert_eq!(&word, b"y");
}

/// Plays an old process that holds the folder, hands this state over on the socket, and takes the courier back before the new
/// process has the folder.
fn hand_over_and_take_back(folder: Folder, listener: &UnixListener, state: &HandoverState) {
    let (mut stream, _) = listener.accept().unwrap();
    let mut word = [0];
    stream.read_exact(&mut word).unwrap();
    assert_eq!(&word, b"h");
    stream.write_all(&encode(state).unwrap()).unwrap();
    stream.read_exact(&mut word).unwrap();
    assert_eq!(&word, b"a");
    stream.write_all(b"y").unwrap();
    drop(stream);
    drop(folder);
}

/// The new process dies before it has accepted the courier, or after the lock was released: the old one resumes it.
#[test]
fn the_courier_is_resumed_if_the_new_process_dies() {
    let world = world(1);
    let old = world.start();
    let mut client = old.client();
    assert_eq!(client.enqueue("a1", "0", "salary", 1, b"x"), "+OK");
    let in_flight = world.next_call();
    for (accepts, says) in
        [(false, "the courier stays in this process"), (true, "the new process does not serve")]
    {
        let mut new = request_handover(&world);
        read_state(&mut new);
        if accepts {
            accept_courier(&mut new);
        }
        drop(new);
        old.wait_for_log(says);
        assert_eq!(client.request(&["PING"]), "+PONG");
        assert_eq!(ask(&old, "STATUS\n"), "YES\n");
        assert_eq!(figure(&old, "in_flight"), 1);
    }
    assert!(!in_flight.is_closed());
    in_flight.answer("200 OK", "");
    while figure(&old, "in_flight") > 0 {}
    assert_eq!(figure(&old, "served.salary"), 1);
    // A later hand-over succeeds.
    let _new = upgrade(&world);
    assert_eq!(client.enqueue("a2", "0", "salary", 1, b"x"), "+OK");
    world.next_call().answer("200 OK", "");
}

/// A second new process connects while a first one delays the hand-over and then dies: it is not refused, and gets the courier.
#[test]
fn a_second_new_process_gets_the_courier_after_a_failed_hand_over() {
    let world = world(1);
    let mut old = world.start();
    let mut client = old.client();
    assert_eq!(client.enqueue("a1", "0", "salary", 1, b"x"), "+OK");
    let in_flight = world.next_call();
    for accepts in [false, true] {
        let mut first = request_handover(&world);
        read_state(&mut first);
        if accepts {
            accept_courier(&mut first);
        }
        // The old process has sent everything to the first one and waits for it.
        let mut second = connect_for_handover(&world).expect("the socket exists during a hand-over");
        second.write_all(b"h").unwrap();
        drop(first);
        read_state(&mut second);
        drop(second);
        old.wait_for_nth_log("the courier stays in this process", if accepts { 3 } else { 2 });
    }
    assert_eq!(client.request(&["PING"]), "+PONG");
    // The same with a real process: the old one waits for the first one for a while.
    let mut first = request_handover(&world);
    read_state(&mut first);
    let new = upgrade(&world);
    old.terminate();
    assert!(old.wait_for_exit(Duration::from_secs(3)).success());
    in_flight.answer("200 OK", "");
    while figure(&new, "in_flight") > 0 {}
    assert_eq!(figure(&new, "served.salary"), 1);
    assert_eq!(client.request(&["PING"]), "+PONG");
}

/// A process that connects and sends nothing, or the wrong handshake byte, has no effect.
#[test]
fn a_process_without_a_hello_gets_nothing() {
    let world = world(1);
    let old = world.start();
    let mut client = old.client();
    let _silent = request_handover(&world).shutdown(std::net::Shutdown::Both);
    // The hand-over to the first one is failing, or has failed.
    let mut other = connect_for_handover(&world).unwrap();
    other.write_all(b"x").unwrap();
    assert_eq!(other.read(&mut [0]).unwrap_or(0), 0);
    assert_eq!(client.request(&["PING"]), "+PONG");
    assert_eq!(ask(&old, "STATUS\n"), "YES\n");
}

/// A process that is shutting down hands nothing over; the new one waits for its end.
#[test]
fn a_process_that_ends_is_waited_for() {
    let world = world(1);
    let mut old = world.start();
    assert_eq!(old.client().enqueue("a1", "0", "salary", 1, b"x"), "+OK");
    let in_flight = world.next_call();
    old.terminate();
    old.wait_for_log("shutdown requested");
    let new = world.start();
    assert_eq!(ask(&new, "STATUS\n"), "YES\n");
    assert!(old.wait_for_exit(Duration::from_secs(5)).success());
    // It had a call in flight, which may have run.
    assert_eq!(world.next_notice(), r#"{"id":"a1","state":"failed"}"#);
    drop(in_flight);
}

/// Several upgrades in sequence, with a call in flight all the time.
#[test]
fn a_call_outlasts_many_upgrades() {
    let world = world(1);
    let mut old = world.start();
    let mut client = old.client();
    assert_eq!(client.enqueue("a1", "0", "salary", 1, b"x"), "+OK");
    let in_flight = world.next_call();
    let stream = in_flight.stream();
    for piece in ["HTTP/1.1 ", "200 OK\r\n", "Content-", "Length: 2"] {
        (&stream).write_all(piece.as_bytes()).unwrap();
        let new = upgrade(&world);
        old.terminate();
        old.wait_for_exit(Duration::from_secs(2));
        old = new;
        assert_eq!(client.request(&["PING"]), "+PONG");
    }
    (&stream).write_all(b"\r\n\r\nok").unwrap();
    while figure(&old, "in_flight") > 0 {}
    assert_eq!(figure(&old, "served.salary"), 1);
}

/// Guards against a message that is sent twice (review/2): a new process that was silent for a while resumed the courier from a
/// state that the old process had taken back, and repeated a call that the old one had made since.
#[test]
fn a_courier_that_was_taken_back_is_not_resumed_from_its_old_state() {
    let world = world(1);
    let old = world.start();
    assert_eq!(old.client().enqueue("a1", "0", "salary", 1, b"x"), "+OK");
    // The message is held, without a call in flight, while the state is handed over.
    world.next_call().answer("429 Too Many", "X-Come-Back-Ms: 2000\r\n");
    old.wait_for_log("retry-after received");
    let mut silent = request_handover(&world);
    let state = read_state(&mut silent);
    accept_courier(&mut silent);
    drop(silent);
    old.wait_for_log("the new process does not serve");
    let in_flight = world.next_call();
    let killed = old.kill();
    // The rest of the silent process is played with a real one: it has the state of before the call.
    let without_descriptors =
        HandoverState { has_listener: false, clients: Vec::new(), calls: Vec::new(), ..state };
    let folder = Folder::lock(&world.state_folder()).unwrap();
    let listener = UnixListener::bind_addr(&handover_address(&world)).unwrap();
    let former = std::thread::spawn(move || hand_over_and_take_back(folder, &listener, &without_descriptors));
    let _new = killed.restart();
    former.join().unwrap();
    // The call may have run, so the message is not sent again.
    assert_eq!(world.next_notice(), r#"{"id":"a1","state":"failed"}"#);
    drop(in_flight);
}

/// Guards against late notices (review/3): while a new process was silent, the courier stood still for 1 s, or for 3 s if the new
/// process had accepted it.
#[test]
fn the_courier_goes_on_soon_when_a_new_process_is_silent() {
    // A notice may be 300 ms late, and each time limit is 50 ms longer on sockets.
    const LONGEST_PAUSE: Duration = Duration::from_millis(350);
    let world = world(1);
    let old = world.start();
    let mut client = old.client();
    for accepts in [false, true] {
        let mut silent = request_handover(&world);
        let asked_at = Instant::now();
        read_state(&mut silent);
        if accepts {
            accept_courier(&mut silent);
        }
        assert_eq!(client.request(&["PING"]), "+PONG");
        let pause = asked_at.elapsed();
        assert!(pause <= LONGEST_PAUSE, "the courier stood still for {pause:?}");
    }
}
