//! The order of keys where calls end badly, on real processes over loopback sockets.

use gullcart_standins::world::*;
use std::io::Read;
use std::sync::mpsc;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_gullcart");

/// How long a key rests after a call that may still run, by the settings of the world, less the slack of the rules on sockets.
const LEAST_REST: Duration = Duration::from_millis(100 - 50);

/// When the courier lets go of a call's connection.
fn when_let_go(call: &Call) -> mpsc::Receiver<Instant> {
    let mut stream = call.stream();
    let (tell, told) = mpsc::channel();
    std::thread::spawn(move || {
        while stream.read(&mut [0; 64]).is_ok_and(|count| count > 0) {}
        let _ = tell.send(Instant::now());
    });
    told
}

/// Incident 64b87a: the next message of a key overtook a call whose answer had stopped short.
#[test]
fn a_key_rests_after_an_answer_that_stops_short() {
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
        let short = world.call();
        assert_eq!(short.id, "k1");
        let let_go = when_let_go(&short);
        short.raw(answer.as_bytes());
        let again = world.call();
        assert_eq!(again.id, "k1", "after {answer}");
        again.answer("200 OK", "");
        let next = world.call();
        let came = Instant::now();
        assert_eq!(next.id, "k2");
        let rested = let_go.try_recv().map(|at| came.duration_since(at));
        assert!(rested.is_ok_and(|rest| rest >= LEAST_REST), "{answer}: sent {rested:?} after k1 was let go");
        next.answer("200 OK", "");
    }
}
