//! The operators' console over loopback sockets.

use gullcart_standins::world::*;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_gullcart");

fn world(endpoints: usize) -> World {
    World::with_console(PROGRAM, endpoints)
}

/// Sends bytes and returns all that is answered until the courier closes.
fn ask(at: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(at).unwrap();
    stream.write_all(bytes).unwrap();
    read_all(stream)
}

fn read_all(mut stream: TcpStream) -> String {
    stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    let mut text = String::new();
    let _ = stream.read_to_string(&mut text);
    text
}

fn figure(text: &str, name: &str) -> u64 {
    let line = text.lines().find_map(|line| line.strip_prefix(&format!("edge_balancer.{name}:")));
    line.and_then(|rest| rest.split('|').next())
        .unwrap_or_else(|| panic!("no {name} in {text}"))
        .parse()
        .unwrap()
}

#[test]
fn it_tells_how_things_stand_and_counts_what_was_seen() {
    let world = world(2);
    let courier = world.start();
    let console = courier.console();
    assert_eq!(ask(console, b"STATUS\n"), "YES\n");
    let mut client = courier.client();
    assert_eq!(client.enqueue("a1", "0", "salary", 1, b"x"), "+OK");
    let call = world.call();
    let told = ask(console, b"METRICS\r\n");
    assert!(told.ends_with("\nEND\n"), "{told}");
    assert_eq!((figure(&told, "attempts"), figure(&told, "in_flight")), (1, 1));
    call.answer("200 OK", "");
    assert_eq!(client.enqueue("a2", "0", "salary", 1, b"x"), "+OK");
    world.call().reset();
    assert_eq!(world.notice(), r#"{"id":"a2","state":"failed"}"#);
    let told = ask(console, b"METRICS\n");
    assert_eq!((figure(&told, "served.salary"), figure(&told, "failed.salary")), (1, 1));
    assert_eq!((figure(&told, "attempts"), figure(&told, "in_flight")), (2, 0));
    assert_eq!(figure(&told, "endpoints_known"), 2);
    // One has just failed, and may be avoided for a moment.
    assert!(figure(&told, "endpoints_excluded") <= 1);
}

#[test]
fn an_endpoint_that_is_out_gets_nothing_until_it_is_given_back_over_a_kill_too() {
    let world = world(2);
    let courier = world.start();
    let at = courier.console();
    assert!(ask(at, b"SUSPEND s-9\n").starts_with("NO "));
    assert_eq!(ask(at, b"SUSPEND s-0\n"), "YES\n");
    let courier = courier.kill_and_restart();
    let at = courier.console();
    assert_eq!(figure(&ask(at, b"METRICS\n"), "endpoints_excluded"), 1);
    let mut client = courier.client();
    for number in 0..6 {
        assert_eq!(client.enqueue(&format!("a{number}"), "0", "salary", 1, b"x"), "+OK");
        let call = world.call();
        assert_eq!(call.endpoint, 1);
        call.answer("200 OK", "");
    }
    assert_eq!(ask(at, b"RESTORE s-0\n"), "YES\n");
    assert_eq!(ask(at, b"SUSPEND s-1\n"), "YES\n");
    assert_eq!(client.enqueue("b", "0", "salary", 1, b"x"), "+OK");
    let call = world.call();
    assert_eq!(call.endpoint, 0);
    call.answer("200 OK", "");
}

/// Bad lines are answered at once, and callers without a whole line keep nobody out.
#[test]
fn bad_callers_are_told_and_keep_nobody_out() {
    let world = world(1);
    let courier = world.start();
    let at = courier.console();
    let long = vec![b'x'; 4096];
    for bad in [&b"\n"[..], b"HELLO\n", b"\xff\xfe\n", b"STATUS\nSTATUS\n", b"SUSPEND\n", &long] {
        assert!(ask(at, bad).starts_with("NO "), "{bad:?}");
    }
    let mut half = TcpStream::connect(at).unwrap();
    half.write_all(b"STAT").unwrap();
    half.shutdown(Shutdown::Write).unwrap();
    assert!(read_all(half).starts_with("NO "));
    let idle: Vec<TcpStream> = (0..100).map(|_| TcpStream::connect(at).unwrap()).collect();
    let asked = Instant::now();
    assert_eq!(ask(at, b"STATUS\n"), "YES\n");
    // Far less than the time that one of them may stay.
    assert!(asked.elapsed() < Duration::from_secs(2), "{:?}", asked.elapsed());
    let open = idle.iter().filter(|stream| {
        stream.set_nonblocking(true).unwrap();
        let mut stream = *stream;
        !matches!(stream.read(&mut [0]), Ok(0))
    });
    assert!(open.count() <= 20);
}

/// Each piece a byte, and a line that comes to its end late.
#[test]
fn a_line_may_come_in_pieces_of_any_size() {
    let world = world(1);
    let courier = world.start();
    let mut stream = TcpStream::connect(courier.console()).unwrap();
    stream.set_nodelay(true).unwrap();
    for byte in b"STATUS\r\n" {
        stream.write_all(&[*byte]).unwrap();
    }
    assert_eq!(read_all(stream), "YES\n");
}

/// With all of the clients' places taken the console has its own.
#[test]
fn it_answers_with_every_place_of_clients_in_use() {
    let mut world = world(1);
    world.sockets = 96;
    let courier = world.start();
    let at = courier.console();
    let _clients: Vec<Client> = (0..90).map(|_| courier.client()).collect();
    for _ in 0..5 {
        assert_eq!(ask(at, b"STATUS\n"), "YES\n");
        assert!(ask(at, b"METRICS\n").ends_with("END\n"));
    }
    assert!(courier.descriptors() <= 96);
}

#[test]
fn without_an_address_there_is_none_and_a_bad_one_stops_nobody() {
    let mut world = World::new(PROGRAM, 1, 3.0);
    world.variables.push(("BALANCER_CONSOLE".to_owned(), "not an address".to_owned()));
    let courier = world.start();
    courier.log_until("the console cannot be opened");
    assert_eq!(courier.client().ask(&["PING"]), "+PONG");
}
