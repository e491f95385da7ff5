//! Answers that belong to an earlier request of their connection, on real processes over loopback sockets.

use gullcart_standins::world::*;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{channel, Sender};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_gullcart");

const REFUSAL: &[u8] = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";

/// More messages than an endpoint's answers need to be trusted on connections that are used again.
const MESSAGES: u32 = 40;

/// An endpoint that writes its last answer once more as soon as the next call has come on the connection, and refuses that
/// call.
#[derive(Default)]
struct Repeater {
    last_answers: HashMap<SocketAddr, Vec<u8>>,
    copies: u32,
}

/// What became of a call at the repeater.
enum Served {
    Delivered,
    /// Behind a second copy of an earlier answer.
    Refused,
}

impl Repeater {
    fn serve(&mut self, call: Call, answer: &[u8], client: &mut Client) -> Served {
        let Some(last) = self.last_answers.get(&call.connection()) else {
            self.last_answers.insert(call.connection(), answer.to_vec());
            call.raw(answer);
            return Served::Delivered;
        };
        self.copies += 1;
        call.stream().write_all(last).unwrap();
        // The courier has had its turn with the copy by then.
        assert_eq!(client.ask(&["PING"]), "+PONG");
        call.raw(REFUSAL);
        Served::Refused
    }
}

fn answer_with(body: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// Hands messages in that may run only once, one after the other; each must be delivered by an answer of its own, or told as
/// failed. How many copies were written.
fn copies_that_deliver_nothing(body: impl Fn(u32) -> String) -> u32 {
    let world = World::new(PROGRAM, 1, 3.0);
    let courier = world.start();
    let mut client = courier.client();
    let mut repeater = Repeater::default();
    for number in 0..MESSAGES {
        let id = format!("s{number}");
        assert_eq!(client.enqueue(&id, "0", "salary", 1, b"x"), "+OK");
        let answer = answer_with(&body(number));
        loop {
            match world.call_or_notice() {
                Seen::Call(call) => {
                    assert_eq!(call.id, id, "the message before it got no end");
                    if let Served::Delivered = repeater.serve(call, &answer, &mut client) {
                        break;
                    }
                }
                Seen::Notice(line) => {
                    assert_eq!(line, format!(r#"{{"id":"{id}","state":"failed"}}"#));
                    break;
                }
            }
        }
    }
    world.nothing();
    repeater.copies
}

/// Incident 4903a2, rule on lost requests: a copy of the answer before was taken for the answer to the call that was out.
#[test]
fn a_second_copy_of_an_answer_delivers_no_later_message() {
    let copies = copies_that_deliver_nothing(|number| format!("{number:016x}"));
    assert!(copies > 0, "no connection was used again, so that nothing was shown");
}

/// The same where the answers of an endpoint are all alike, so that a copy cannot be told from the next answer.
#[test]
fn a_second_copy_delivers_nothing_where_all_answers_are_alike() {
    copies_that_deliver_nothing(|_| String::new());
    copies_that_deliver_nothing(|_| "accepted".to_owned());
}

/// Incident 4903a2, rule on order: the next message of a key went out behind a copy of an earlier answer.
#[test]
fn a_key_does_not_go_on_behind_a_second_copy() {
    let world = World::new(PROGRAM, 1, 3.0);
    let courier = world.start();
    let mut client = courier.client();
    let mut repeater = Repeater::default();
    for first in (0..MESSAGES).step_by(3) {
        for id in first..first + 3 {
            assert_eq!(client.enqueue(&format!("k{id}"), "9", &format!("notice,k=k{id}"), 1, b"x"), "+OK");
        }
        for id in first..first + 3 {
            let answer = answer_with(&format!("{id:016x}"));
            loop {
                let call = world.call();
                assert_eq!(call.id, format!("k{id}"), "sent out of its turn");
                if let Served::Delivered = repeater.serve(call, &answer, &mut client) {
                    break;
                }
            }
        }
    }
    world.nothing();
    assert!(repeater.copies > 0, "no connection was used again, so that nothing was shown");
}

/// The next request with notices on a connection: its body; none once the connection has ended.
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

/// Answers the first request with notices of a connection; each later one with an error, behind a copy of that answer.
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

/// The same on the connection to the platform: a notice counted as answered by a copy of the answer to the notice before.
#[test]
fn a_second_copy_answers_no_later_notice() {
    let world = World::new(PROGRAM, 1, 3.0);
    let (accepted, accepts) = channel();
    let agent = world.raw_agent(move |_, stream| accept_notices_once(stream, &accepted));
    let courier = world.start_at(&agent);
    let mut client = courier.client();
    for number in 0..4 {
        let id = format!("n{number}");
        assert_eq!(client.enqueue(&id, "0", "salary", 1, b"x"), "+OK");
        world.call().reset();
        let lines = accepts.recv_timeout(Duration::from_secs(20));
        assert!(lines.is_ok_and(|lines| lines.contains(&id)), "{id} was not accepted");
    }
}

/// A world whose endpoint has answered often enough that its connections are used again, and one of them that was.
fn with_used_connection(act: impl FnOnce(&World, &mut Client, &[u8])) {
    let world = World::new(PROGRAM, 1, 3.0);
    let courier = world.start();
    let mut client = courier.client();
    let mut last: Option<(SocketAddr, Vec<u8>)> = None;
    for number in 0..MESSAGES {
        let id = format!("u{number}");
        assert_eq!(client.enqueue(&id, "0", "salary", 1, b"x"), "+OK");
        let call = world.call();
        let is_used = last.as_ref().is_some_and(|(connection, _)| *connection == call.connection());
        let answer = call.whole_answer("200 OK", "");
        last = Some((call.connection(), answer.clone()));
        call.raw(&answer);
        world.nothing();
        if is_used {
            return act(&world, &mut client, &answer);
        }
    }
    panic!("no connection was used again, so that nothing was shown");
}

/// The call's own answer comes behind a copy of an earlier one: it counts, and nothing goes twice or is told.
#[test]
fn a_delivery_behind_a_second_copy_counts() {
    with_used_connection(|world, client, last| {
        assert_eq!(client.enqueue("own", "0", "salary", 1, b"x"), "+OK");
        let call = world.call();
        call.stream().write_all(last).unwrap();
        assert_eq!(client.ask(&["PING"]), "+PONG");
        call.answer("200 OK", "");
        world.nothing();
    });
}

/// Rule on waits: the courier closed the connection over a refusal that came right behind a copy, and did not hear of the wait.
#[test]
fn a_wait_that_is_told_behind_a_second_copy_is_heeded() {
    const WAIT: Duration = Duration::from_millis(1500);
    with_used_connection(|world, client, last| {
        assert_eq!(client.enqueue("w1", "0", "salary", 1, b"x"), "+OK");
        let call = world.call();
        let refusal = call.whole_answer("429 Later", &format!("X-Come-Back-Ms: {}\r\n", WAIT.as_millis()));
        let told = Instant::now();
        call.raw(&[last, &refusal].concat());
        assert_eq!(client.enqueue("w2", "0", "salary", 1, b"x"), "+OK");
        for _ in 0..2 {
            let call = world.call();
            assert!(told.elapsed() >= WAIT, "{} was sent {:?} into the wait", call.id, told.elapsed());
            call.answer("200 OK", "");
        }
        world.nothing();
    });
}
