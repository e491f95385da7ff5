//! Malformed responses, surplus bytes behind responses, and endpoints that come and go, over loopback sockets.

use gullcart_standins::world::*;
use std::io::Write;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_gullcart");

/// A complete response of a delivery.
const COMPLETE_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// A status line with 200 counts whatever follows it, and the connection is not used again.
#[test]
fn a_status_line_with_200_delivers() {
    let world = World::new(PROGRAM, 1, 3.0);
    let courier = world.start();
    let mut client = courier.client();
    let mut used = Vec::new();
    for (number, answer) in [
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 7\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX-Noise: \u{1}\u{2}\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX-Endless: xxxx",
        "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nshort",
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nand so on",
    ]
    .iter()
    .enumerate()
    {
        assert_eq!(client.enqueue(&format!("d{number}"), "0", "salary", 1, b"x"), "+OK");
        let call = world.next_call();
        assert!(!used.contains(&call.courier_address()), "after {answer}");
        used.push(call.courier_address());
        call.answer_raw(answer.as_bytes());
    }
    world.expect_nothing();
}

/// A call with a malformed response may have run: an unsafe message fails soon and is not sent again. That a call never ran is
/// concluded only from a complete response.
#[test]
fn a_call_with_a_malformed_response_may_have_run() {
    let world = World::new(PROGRAM, 2, 3.0);
    let courier = world.start();
    let mut client = courier.client();
    let endless = format!("HTTP/1.1 503 Busy\r\nX-Endless: {}", "x".repeat(100_000));
    for (number, answer) in [
        "\u{0}\u{7}noise\u{1}",
        "noise without any end of a line",
        &endless,
        "HTTP/1.1 503 Busy\r\nContent-Length: 50\r\n\r\nshort",
        "HTTP/1.1 429 Later\r\nX-Come-Back-Ms: 10\r\nContent-Length: x\r\n\r\n",
    ]
    .iter()
    .enumerate()
    {
        let id = format!("s{number}");
        assert_eq!(client.enqueue(&id, "0", "salary", 1, b"x"), "+OK");
        let begun = Instant::now();
        world.next_call().answer_raw(answer.as_bytes());
        assert_eq!(world.next_notice(), format!(r#"{{"id":"{id}","state":"failed"}}"#));
        assert!(begun.elapsed() < Duration::from_secs(1), "{:?} for {answer:.20}", begun.elapsed());
    }
    world.expect_no_call();
}

/// A duplicate that arrives together with a response is not taken for the response to the next call.
#[test]
fn bytes_behind_a_response_answer_no_call() {
    let world = World::new(PROGRAM, 1, 3.0);
    let courier = world.start();
    let mut client = courier.client();
    for number in 0..30 {
        assert_eq!(client.enqueue(&format!("b{number}"), "0", "salary", 1, b"x"), "+OK");
        let call = world.next_call();
        assert_eq!(call.id, format!("b{number}"));
        let twice = call.response_bytes("200 OK", "").repeat(2);
        call.answer_raw(&twice);
    }
    world.expect_nothing();
}

/// The same for a duplicate that arrives while the next call is being sent: the courier finds both at once.
#[test]
fn bytes_that_race_with_the_next_call_answer_no_call() {
    let world = World::new(PROGRAM, 1, 3.0);
    let courier = world.start();
    let mut client = courier.client();
    for number in 0..10 {
        assert_eq!(client.enqueue(&format!("r{number}"), "0", "salary", 1, b"x"), "+OK");
        let call = world.next_call();
        assert_eq!(call.id, format!("r{number}"));
        let connection = call.courier_address();
        let mut stream = call.stream();
        // Otherwise the kernel holds the bytes back until the response is acknowledged by the packet with the next call.
        stream.set_nodelay(true).unwrap();
        call.answer("200 OK", "");
        // The reply shows that the delivery was processed, so that the connection is idle.
        assert_eq!(client.request(&["PING"]), "+PONG");
        courier.while_stopped(|| {
            client.send_enqueue(&format!("q{number}"), "0", "salary", 1, b"x");
            let _ = stream.write_all(COMPLETE_RESPONSE);
        });
        assert_eq!(client.read_reply(), "+OK");
        let call = world.next_call();
        assert_eq!(call.id, format!("q{number}"));
        assert_ne!(call.courier_address(), connection, "the bytes would pass for its answer");
        call.answer("200 OK", "");
    }
    world.expect_nothing();
}

/// Bytes that arrive shortly after a response would be taken for the next one if the next call were sent by then, so a
/// connection is not used for 5 ms after a response.
#[test]
fn a_connection_is_not_used_right_after_a_response() {
    let world = World::new(PROGRAM, 1, 3.0);
    let courier = world.start();
    let mut client = courier.client();
    assert_eq!(client.enqueue("m0", "0", "salary", 1, b"x"), "+OK");
    let mut call = world.next_call();
    for number in 1..10 {
        let (connection, answered) = (call.courier_address(), Instant::now());
        call.answer("200 OK", "");
        // The connection is idle, or will be in a moment. A new connection may be used at once.
        assert_eq!(client.enqueue(&format!("m{number}"), "0", "salary", 1, b"x"), "+OK");
        call = world.next_call();
        let pause = answered.elapsed();
        assert!(call.courier_address() != connection || pause >= Duration::from_millis(5), "{pause:?}");
    }
    call.answer("200 OK", "");
    world.expect_nothing();
}

/// Interim responses are skipped and the connection is kept; too many of them are an error.
#[test]
fn interim_responses_are_skipped() {
    let world = World::new(PROGRAM, 1, 3.0);
    let courier = world.start();
    let mut client = courier.client();
    let hint = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n";
    let mut used = Vec::new();
    // Connections are reused once the endpoint's responses were seen to differ.
    for number in 0..6 {
        assert_eq!(client.enqueue(&format!("e{number}"), "0", "salary", 1, b"x"), "+OK");
        let call = world.next_call();
        used.push(call.courier_address());
        let whole = call.response_bytes("200 OK", "");
        call.answer_raw(&[hint.repeat(3).as_bytes(), &whole].concat());
        world.expect_nothing();
    }
    assert_eq!(used[5], used[4]);
    assert_eq!(client.enqueue("e6", "0", "salary", 1, b"x"), "+OK");
    let call = world.next_call();
    assert_eq!(call.courier_address(), used[5]);
    call.answer_raw(hint.repeat(200).as_bytes());
    assert_eq!(world.next_notice(), r#"{"id":"e6","state":"failed"}"#);
}

/// Connections belong to an endpoint, not to its address: a new endpoint at the address of a removed one gets its own, and
/// keeps them when the list changes again.
#[test]
fn an_endpoint_at_a_reused_address_gets_its_own_connections() {
    let world = World::new(PROGRAM, 2, 3.0);
    let courier = world.start();
    let mut client = courier.client();
    world.advertise_deleted(1);
    courier.wait_for_log("the list has changed");
    let mut deliver = |id: &str| {
        assert_eq!(client.enqueue(id, "0", "salary", 1, b"x"), "+OK");
        let call = world.next_call();
        let connection = call.courier_address();
        call.answer("200 OK", "");
        world.expect_nothing();
        connection
    };
    // Connections are reused once the endpoint's responses were seen to differ.
    let old: Vec<_> = (0..5).map(|number| deliver(&format!("a{number}"))).collect();
    assert_eq!(old[4], old[3]);
    world.advertise_replacements(0, 0, 1);
    courier.wait_for_nth_log("the list has changed", 2);
    let new: Vec<_> = (0..5).map(|number| deliver(&format!("b{number}"))).collect();
    assert!(new.iter().all(|connection| !old.contains(connection)), "{new:?} behind {old:?}");
    assert_eq!(new[4], new[3]);
    world.advertise_deleted(1);
    courier.wait_for_nth_log("the list has changed", 3);
    assert_eq!(deliver("c0"), new[4]);
}

/// Removed endpoints are forgotten: thousands of them leave no memory in use.
#[test]
fn removed_endpoints_are_forgotten() {
    const TIMES: u32 = 1000;
    let world = World::new(PROGRAM, 1, 3.0);
    let courier = world.start();
    let replace = |rounds: std::ops::Range<u32>| {
        for round in rounds {
            world.advertise_replacements(0, round, TIMES);
            courier.wait_for_nth_log("the list has changed", round as usize + 1);
        }
        courier.resident_kib()
    };
    // The first rounds grow the buffers.
    let before = replace(0..5);
    let after = replace(5..20);
    assert!(after < before + 1500, "{before} KiB before, {after} KiB after");
}

/// With more endpoints than descriptors, idle connections are closed and the limit holds.
#[test]
fn descriptors_stay_inside_their_limit() {
    let mut world = World::with_long_deadlines(PROGRAM, 40, 3.0);
    (world.separate_destinations, world.sockets) = (true, 44);
    let courier = world.start();
    let mut client = courier.client();
    for destination in 1..=40 {
        assert_eq!(client.enqueue(&format!("n{destination}"), "0", "salary", destination, b"x"), "+OK");
        world.next_call().answer("200 OK", "");
        assert!(courier.descriptor_count() <= 44, "{} descriptors", courier.descriptor_count());
    }
}
