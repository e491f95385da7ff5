//! The operators' console over loopback sockets.

use gullcart_standins::world::*;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_gullcart");

/// A world whose couriers have a console.
fn world(endpoints: usize) -> World {
    World::with_console(PROGRAM, endpoints)
}

/// Sends bytes and returns everything that is answered until the courier closes.
fn ask(at: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(at).unwrap();
    stream.write_all(bytes).unwrap();
    read_all(stream)
}

/// Reads until the courier closes.
fn read_all(mut stream: TcpStream) -> String {
    stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    let mut text = String::new();
    let _ = stream.read_to_string(&mut text);
    text
}

/// The value of a metric in the answer to METRICS.
fn figure(text: &str, name: &str) -> u64 {
    let line = text.lines().find_map(|line| line.strip_prefix(&format!("edge_balancer.{name}:")));
    line.and_then(|rest| rest.split('|').next())
        .unwrap_or_else(|| panic!("no {name} in {text}"))
        .parse()
        .unwrap()
}

#[test]
fn status_and_metrics_are_reported() {
    let world = world(2);
    let courier = world.start();
    let console = courier.console();
    assert_eq!(ask(console, b"STATUS\n"), "YES\n");
    let mut client = courier.client();
    assert_eq!(client.enqueue("a1", "0", "salary", 1, b"x"), "+OK");
    let call = world.next_call();
    let metrics = ask(console, b"METRICS\r\n");
    assert!(metrics.ends_with("\nEND\n"), "{metrics}");
    assert_eq!((figure(&metrics, "attempts"), figure(&metrics, "in_flight")), (1, 1));
    call.answer("200 OK", "");
    assert_eq!(client.enqueue("a2", "0", "salary", 1, b"x"), "+OK");
    world.next_call().close();
    assert_eq!(world.next_notice(), r#"{"id":"a2","state":"failed"}"#);
    let metrics = ask(console, b"METRICS\n");
    assert_eq!((figure(&metrics, "served.salary"), figure(&metrics, "failed.salary")), (1, 1));
    assert_eq!((figure(&metrics, "attempts"), figure(&metrics, "in_flight")), (2, 0));
    assert_eq!(figure(&metrics, "endpoints_known"), 2);
    // The endpoint that has just failed may be avoided for a moment.
    assert!(figure(&metrics, "endpoints_excluded") <= 1);
}

#[test]
fn a_suspended_endpoint_gets_no_calls_until_it_is_restored_also_after_a_kill() {
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
        let call = world.next_call();
        assert_eq!(call.endpoint, 1);
        call.answer("200 OK", "");
    }
    assert_eq!(ask(at, b"RESTORE s-0\n"), "YES\n");
    assert_eq!(ask(at, b"SUSPEND s-1\n"), "YES\n");
    assert_eq!(client.enqueue("b", "0", "salary", 1, b"x"), "+OK");
    let call = world.next_call();
    assert_eq!(call.endpoint, 0);
    call.answer("200 OK", "");
}

/// Invalid lines are answered at once, and connections without a complete line do not block others.
#[test]
fn invalid_callers_get_an_answer_and_block_nobody() {
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
    // Far less than a connection without a line may stay open.
    assert!(asked.elapsed() < Duration::from_secs(2), "{:?}", asked.elapsed());
    let open = idle.iter().filter(|stream| {
        stream.set_nonblocking(true).unwrap();
        let mut stream = *stream;
        !matches!(stream.read(&mut [0]), Ok(0))
    });
    assert!(open.count() <= 20);
}

/// A line that arrives byte by byte.
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

/// The console has its own descriptors, also when all slots for clients are taken.
#[test]
fn the_console_answers_while_all_client_slots_are_taken() {
    let mut world = world(1);
    world.sockets = 96;
    let courier = world.start();
    let at = courier.console();
    let _clients: Vec<Client> = (0..90).map(|_| courier.client()).collect();
    for _ in 0..5 {
        assert_eq!(ask(at, b"STATUS\n"), "YES\n");
        assert!(ask(at, b"METRICS\n").ends_with("END\n"));
    }
    assert!(courier.descriptor_count() <= 96);
}

#[test]
fn without_an_address_there_is_no_console_and_an_invalid_one_is_not_fatal() {
    let mut world = World::new(PROGRAM, 1, 3.0);
    world.environment.push(("BALANCER_CONSOLE".to_owned(), "not an address".to_owned()));
    let courier = world.start();
    courier.wait_for_log("the console cannot be opened");
    assert_eq!(courier.client().request(&["PING"]), "+PONG");
}
