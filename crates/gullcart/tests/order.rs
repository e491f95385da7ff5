//! The order of keys when calls end badly, on real processes over loopback sockets.

use gullcart_standins::world::*;
use std::io::Read;
use std::sync::mpsc;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_gullcart");

/// Minimum pause of a key after a call that may still run: the setting of the world, less the tolerance of the checks on
/// sockets.
const MIN_PAUSE: Duration = Duration::from_millis(100 - 50);

/// Reports when the courier closes its side of a call's connection.
fn when_closed(call: &Call) -> mpsc::Receiver<Instant> {
    let mut stream = call.stream();
    let (report, closed_at) = mpsc::channel();
    std::thread::spawn(move || {
        while stream.read(&mut [0; 64]).is_ok_and(|count| count > 0) {}
        let _ = report.send(Instant::now());
    });
    closed_at
}

/// Guards the order of keys (incident 64b87a): the next message of a key overtook a call whose response was incomplete.
#[test]
fn a_key_pauses_after_an_incomplete_response() {
    for answer in [
        "HTTP/1",
        "HTTP/1.1 500 Oops\r\nContent-Length: 50\r\n\r\nshort",
        "HTTP/1.1 503 Busy\r\nContent-Length: 50\r\n\r\nshort",
    ] {
        let world = World::new(PROGRAM, 2, 3.0);
        let courier = world.start();
        let mut client = courier.client();
        assert_eq!(client.enqueue("k1", "9", "notice,k=k1", 1, b"1"), "+OK");
        assert_eq!(client.enqueue("k2", "9", "notice,k=k2", 1, b"2"), "+OK");
        let incomplete = world.next_call();
        assert_eq!(incomplete.id, "k1");
        let closed_at = when_closed(&incomplete);
        incomplete.answer_raw(answer.as_bytes());
        let repeated = world.next_call();
        assert_eq!(repeated.id, "k1", "after {answer}");
        repeated.answer("200 OK", "");
        let next = world.next_call();
        let arrived_at = Instant::now();
        assert_eq!(next.id, "k2");
        let pause = closed_at.try_recv().map(|at| arrived_at.duration_since(at));
        assert!(
            pause.is_ok_and(|pause| pause >= MIN_PAUSE),
            "{answer}: sent {pause:?} after the connection of k1 was closed"
        );
        next.answer("200 OK", "");
    }
}
