//! Copies of earlier responses on a connection, on real processes over loopback sockets.

use gullcart_standins::world::*;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{channel, Sender};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_gullcart");

const REJECTION: &[u8] = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";

/// More messages than it takes until an endpoint's connections are reused.
const MESSAGES: u32 = 40;

/// An endpoint that repeats its previous response as soon as the next call has arrived on the connection, and rejects that
/// call.
#[derive(Default)]
struct Repeater {
    last_responses: HashMap<SocketAddr, Vec<u8>>,
    copies: u32,
}

/// How the repeater answered a call.
enum Served {
    /// The call got a response of its own.
    Delivered,
    /// The call got a rejection behind a copy of an earlier response.
    Rejected,
}

impl Repeater {
    /// Answers a call, with a copy of the previous response if there is one.
    fn serve(&mut self, call: Call, answer: &[u8], client: &mut Client) -> Served {
        let Some(last) = self.last_responses.get(&call.courier_address()) else {
            self.last_responses.insert(call.courier_address(), answer.to_vec());
            call.answer_raw(answer);
            return Served::Delivered;
        };
        self.copies += 1;
        call.stream().write_all(last).unwrap();
        // The reply shows that the courier had a turn to process the copy.
        assert_eq!(client.request(&["PING"]), "+PONG");
        call.answer_raw(REJECTION);
        Served::Rejected
    }
}

fn response_with(body: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// Enqueues unsafe messages one after the other. Each must be delivered by a response of its own, or be reported as failed.
/// Returns the number of copies written.
fn play_copies(body: impl Fn(u32) -> String) -> u32 {
    let world = World::new(PROGRAM, 1, 3.0);
    let courier = world.start();
    let mut client = courier.client();
    let mut repeater = Repeater::default();
    for number in 0..MESSAGES {
        let id = format!("s{number}");
        assert_eq!(client.enqueue(&id, "0", "salary", 1, b"x"), "+OK");
        let answer = response_with(&body(number));
        loop {
            match world.next_action() {
                CourierAction::Call(call) => {
                    assert_eq!(call.id, id, "the previous message was neither delivered nor reported");
                    if let Served::Delivered = repeater.serve(call, &answer, &mut client) {
                        break;
                    }
                }
                CourierAction::Notice(line) => {
                    assert_eq!(line, format!(r#"{{"id":"{id}","state":"failed"}}"#));
                    break;
                }
            }
        }
    }
    world.expect_nothing();
    repeater.copies
}

/// Guards against lost messages (incident 4903a2): a copy of the previous response was taken for the response to the call in
/// flight.
#[test]
fn a_copy_of_a_response_delivers_no_later_message() {
    let copies = play_copies(|number| format!("{number:016x}"));
    assert!(copies > 0, "no connection was reused, so the test shows nothing");
}

/// The same with identical responses, so that a copy cannot be distinguished from the next response.
#[test]
fn a_copy_delivers_nothing_where_all_responses_are_identical() {
    play_copies(|_| String::new());
    play_copies(|_| "accepted".to_owned());
}

/// Guards the order of keys (incident 4903a2): the next message of a key was sent after a copy of an earlier response.
#[test]
fn a_copy_does_not_let_the_next_message_of_a_key_go() {
    let world = World::new(PROGRAM, 1, 3.0);
    let courier = world.start();
    let mut client = courier.client();
    let mut repeater = Repeater::default();
    for first in (0..MESSAGES).step_by(3) {
        for id in first..first + 3 {
            assert_eq!(client.enqueue(&format!("k{id}"), "9", &format!("notice,k=k{id}"), 1, b"x"), "+OK");
        }
        for id in first..first + 3 {
            let answer = response_with(&format!("{id:016x}"));
            loop {
                let call = world.next_call();
                assert_eq!(call.id, format!("k{id}"), "sent out of order");
                if let Served::Delivered = repeater.serve(call, &answer, &mut client) {
                    break;
                }
            }
        }
    }
    world.expect_nothing();
    assert!(repeater.copies > 0, "no connection was reused, so the test shows nothing");
}

/// Reads the body of the next request with notices on a connection; none once the connection has ended.
fn next_notices(input: &mut BufReader<&TcpStream>) -> Option<String> {
    let mut length = 0;
    let mut is_notice = false;
    loop {
        let mut line = String::new();
        input.read_line(&mut line).ok().filter(|count| *count > 0)?;
        let line = line.trim_end().to_ascii_lowercase();
        is_notice |= line.starts_with("post /v1/notices");
        if let Some(value) = line.strip_prefix("content-length: ") {
            length = value.parse().ok()?;
        }
        if line.is_empty() && is_notice {
            let mut body = vec![0; length];
            input.read_exact(&mut body).ok()?;
            return String::from_utf8(body).ok();
        }
    }
}

/// Acknowledges the first request with notices of a connection. Answers each later one with a copy of that response and an
/// error.
fn accept_notices_once(stream: TcpStream, accepted: &Sender<String>) {
    const ACCEPTED: &[u8] = b"HTTP/1.1 204 No Content\r\n\r\n";
    const FAILED: &[u8] = b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n";
    let mut input = BufReader::new(&stream);
    let Some(lines) = next_notices(&mut input) else { return };
    let _ = accepted.send(lines);
    let _ = (&stream).write_all(ACCEPTED);
    while next_notices(&mut input).is_some() {
        let _ = (&stream).write_all(ACCEPTED);
        let _ = (&stream).write_all(FAILED);
    }
}

/// The same on connections to discovery: a notice was taken as acknowledged by a copy of the previous acknowledgement.
#[test]
fn a_copy_acknowledges_no_later_notice() {
    let world = World::new(PROGRAM, 1, 3.0);
    let (accepted, accepts) = channel();
    let agent = world.agent_with_handler(move |_, stream| accept_notices_once(stream, &accepted));
    let courier = world.start_with_agent(&agent);
    let mut client = courier.client();
    for number in 0..4 {
        let id = format!("n{number}");
        assert_eq!(client.enqueue(&id, "0", "salary", 1, b"x"), "+OK");
        world.next_call().close();
        let lines = accepts.recv_timeout(Duration::from_secs(20));
        assert!(lines.is_ok_and(|lines| lines.contains(&id)), "{id} was not accepted");
    }
}

/// Prepares a world in which the endpoint's connections are reused, and acts once one was reused.
fn with_used_connection(act: impl FnOnce(&World, &mut Client, &[u8])) {
    let world = World::new(PROGRAM, 1, 3.0);
    let courier = world.start();
    let mut client = courier.client();
    let mut last: Option<(SocketAddr, Vec<u8>)> = None;
    for number in 0..MESSAGES {
        let id = format!("u{number}");
        assert_eq!(client.enqueue(&id, "0", "salary", 1, b"x"), "+OK");
        let call = world.next_call();
        let is_used = last.as_ref().is_some_and(|(connection, _)| *connection == call.courier_address());
        let answer = call.response_bytes("200 OK", "");
        last = Some((call.courier_address(), answer.clone()));
        call.answer_raw(&answer);
        world.expect_nothing();
        if is_used {
            return act(&world, &mut client, &answer);
        }
    }
    panic!("no connection was reused, so the test shows nothing");
}

/// A call's own response behind a copy of an earlier one counts: nothing is sent twice or reported.
#[test]
fn a_delivery_behind_a_copy_counts() {
    with_used_connection(|world, client, last| {
        assert_eq!(client.enqueue("own", "0", "salary", 1, b"x"), "+OK");
        let call = world.next_call();
        call.stream().write_all(last).unwrap();
        assert_eq!(client.request(&["PING"]), "+PONG");
        call.answer("200 OK", "");
        world.expect_nothing();
    });
}

/// Guards the retry-after interval: the courier closed the connection over a rejection that arrived right behind a copy, and
/// missed the interval.
#[test]
fn a_retry_after_interval_behind_a_copy_is_observed() {
    const WAIT: Duration = Duration::from_millis(1500);
    with_used_connection(|world, client, last| {
        assert_eq!(client.enqueue("w1", "0", "salary", 1, b"x"), "+OK");
        let call = world.next_call();
        let rejection =
            call.response_bytes("429 Later", &format!("X-Come-Back-Ms: {}\r\n", WAIT.as_millis()));
        let answered_at = Instant::now();
        call.answer_raw(&[last, &rejection].concat());
        assert_eq!(client.enqueue("w2", "0", "salary", 1, b"x"), "+OK");
        for _ in 0..2 {
            let call = world.next_call();
            assert!(
                answered_at.elapsed() >= WAIT,
                "{} was sent {:?} into the interval",
                call.id,
                answered_at.elapsed()
            );
            call.answer("200 OK", "");
        }
        world.expect_nothing();
    });
}
