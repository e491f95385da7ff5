//! What ends, at the instant at which something is still owed. The crossing is forced: the other side holds its bytes until it
//! has seen the courier's, or the process is stopped while both sides act.

use gullcart_standins::world::*;
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_gullcart");
const LONGEST_END: Duration = Duration::from_millis(3700);

/// A request that is written once the courier's end of the connection was seen: nothing resets the connection, which would
/// take an answer along that is still on its way, and the message is not sent on.
fn crosses_the_end(client: &mut Client, id: &str) {
    assert_eq!(client.until_end().unwrap(), "");
    client.begin_enqueue(id, "0", "salary", 1, b"x");
    // Behind a reset this fails, or the read does.
    client.try_send(b"*1\r\n$4\r\nPING\r\n").unwrap();
    client.end();
    assert_eq!(client.until_end().unwrap(), "");
}

#[test]
fn a_request_that_crosses_the_end_of_a_resting_connection_is_not_reset_nor_sent_on() {
    let world = World::new(PROGRAM, 1, 3.0);
    let courier = world.start();
    let mut client = courier.client();
    assert_eq!(client.ask(&["PING"]), "+PONG");
    crosses_the_end(&mut client, "r1");
    world.nothing();
    assert_eq!(courier.client().enqueue("r1", "0", "salary", 1, b"x"), "+OK");
    world.call().answer("200 OK", "");
}

#[test]
fn requests_that_cross_the_end_of_their_connections_at_sigterm_go_out_on_new_ones() {
    let world = World::new(PROGRAM, 1, 3.0);
    let mut courier = world.start();
    let mut resting: Vec<Client> = (0..20).map(|_| courier.client()).collect();
    for client in &mut resting {
        assert_eq!(client.ask(&["PING"]), "+PONG");
    }
    // One that never closes its side does not keep the process.
    let mut stays = courier.client();
    assert_eq!(stays.ask(&["PING"]), "+PONG");
    courier.terminate();
    for (number, client) in resting.iter_mut().enumerate() {
        crosses_the_end(client, &format!("t{number}"));
    }
    // The process lives for 0.6 s at least: the same message goes out on a new connection.
    assert_eq!(courier.client().enqueue("t0", "0", "salary", 1, b"x"), "+OK");
    let call = world.call();
    assert_eq!(call.id, "t0");
    call.answer("200 OK", "");
    assert!(courier.wait(LONGEST_END).success());
    world.nothing();
}

/// Two requests and the signal come in one instant: each is answered and sent on, or neither.
#[test]
fn a_request_behind_another_one_at_sigterm_is_answered_or_surely_not_sent_on() {
    let world = World::new(PROGRAM, 1, 3.0);
    let mut courier = world.start();
    let mut clients: Vec<Client> = (0..10).map(|_| courier.client()).collect();
    for client in &mut clients {
        assert_eq!(client.ask(&["PING"]), "+PONG");
    }
    courier.while_stopped(|| {
        for (number, client) in clients.iter_mut().enumerate() {
            client.begin_enqueue(&format!("a{number}"), "0", "salary", 1, b"x");
            client.begin_enqueue(&format!("b{number}"), "0", "salary", 1, b"x");
        }
        courier.terminate();
    });
    let mut taken = BTreeSet::new();
    for (number, client) in clients.iter_mut().enumerate() {
        let answers = client.until_end().unwrap();
        let count = answers.matches("+OK\r\n").count();
        assert_eq!(answers.len(), count * 5, "{answers:?}");
        // The first one has come whole before the signal.
        assert!(count >= 1, "the request of client {number} is lost");
        taken.extend(["a", "b"].iter().take(count).map(|letter| format!("{letter}{number}")));
    }
    let mut called = BTreeSet::new();
    while called.len() < taken.len() {
        let call = world.call();
        called.insert(call.id.clone());
        call.answer("200 OK", "");
    }
    assert_eq!(called, taken);
    assert!(courier.wait(LONGEST_END).success());
    world.nothing();
}

#[test]
fn half_a_request_at_sigterm_is_told_and_not_sent_on() {
    let world = World::new(PROGRAM, 1, 3.0);
    let mut courier = world.start();
    let mut client = courier.client();
    assert_eq!(client.ask(&["PING"]), "+PONG");
    courier.while_stopped(|| {
        client.send(b"*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$2\r\nh1\r\n");
        courier.terminate();
    });
    let told = client.until_end().unwrap();
    assert!(told.is_empty() || told.starts_with("-ERR "), "{told:?}");
    client.send(b"$23\r\nd=20000,c=salary,dest=1\r\n$1\r\nx\r\n");
    assert!(courier.wait(LONGEST_END).success());
    world.nothing();
}

/// The process stands still until its time is up, and finds new connections with requests on them when it goes on: they are
/// taken on in its last turn, and called by the next process.
#[test]
fn requests_that_came_when_the_time_was_up_are_taken_on_for_the_next_process() {
    let world = World::new(PROGRAM, 1, 3.0);
    let mut courier = world.start();
    assert_eq!(courier.client().enqueue("hung", "0", "salary", 1, b"x"), "+OK");
    let _hung = world.call();
    courier.terminate();
    courier.log_until("told to end");
    let mut clients = Vec::new();
    courier.while_stopped(|| {
        for number in 0..10 {
            let mut client = courier.client();
            client.begin_enqueue(&format!("l{number}"), "0", "salary", 1, b"x");
            clients.push(client);
        }
        // Not for something to happen: for the end to be due. Nothing runs meanwhile.
        std::thread::sleep(Duration::from_millis(3300));
    });
    for client in &mut clients {
        assert_eq!(client.until_end().unwrap(), "+OK\r\n");
        client.end();
    }
    assert!(courier.wait(LONGEST_END).success());
    world.nothing();
    let _next = courier.kill_and_restart();
    let (mut called, mut told) = (BTreeSet::new(), BTreeSet::new());
    while called.len() < clients.len() || told.is_empty() {
        match world.call_or_notice() {
            Seen::Call(call) => {
                called.insert(call.id.clone());
                call.answer("200 OK", "");
            }
            Seen::Notice(line) => drop(told.insert(line)),
        }
    }
    assert_eq!(told, BTreeSet::from([r#"{"id":"hung","state":"failed"}"#.to_owned()]));
}

/// A second SIGTERM changes nothing, and SIGHUP moves discovery while the courier ends: what is owed is told there.
#[test]
fn signals_during_the_end_change_nothing_that_is_owed() {
    let world = World::new(PROGRAM, 2, 3.0);
    let mut courier = world.start();
    assert_eq!(courier.client().enqueue("s1", "0", "salary", 1, b"x"), "+OK");
    let call = world.call();
    assert_eq!(courier.client().enqueue("s2", "0", "salary", 1, b"x"), "+OK");
    let _hung = world.call();
    let begun = Instant::now();
    courier.terminate();
    courier.log_until("told to end");
    world.hold_notices(true);
    // Each is given up when its first request did not come: some of the time until the end has passed.
    for _ in 0..2 {
        assert_eq!(courier.client().until_end().unwrap(), "");
    }
    courier.terminate();
    let agent = world.agent_with_drain(0);
    world.configure(&agent);
    courier.hang_up();
    courier.log_until("the configuration was read again");
    call.reset();
    while world.notices_at(&agent) == 0 {
        assert_eq!(world.notice(), r#"{"id":"s1","state":"failed"}"#);
    }
    assert!(courier.wait(LONGEST_END).success());
    assert!(begun.elapsed() < LONGEST_END, "{:?}", begun.elapsed());
}

/// A configuration of which the settings cannot be read is none, and ends a start with the key's name.
#[test]
fn spoilt_settings_change_nothing_in_service_and_end_a_start_with_the_key() {
    let world = World::new(PROGRAM, 2, 3.0);
    let courier = world.start();
    let agent = world.agent_with_drain(0);
    world.configure(&agent);
    let path = world.folder().join("config.json");
    let text = std::fs::read_to_string(&path).unwrap();
    for (good, bad, key) in [
        (r#""CallsOut":16"#, r#""CallsOut":"many""#, "FamilyInfo.CallsOut"),
        (r#""Effect":"non_idempotent""#, r#""Effect":"whatever""#, "Lanes.2.Effect"),
        (r#""discovery":"#, r#""discovery":"nowhere","was":"#, "discovery"),
        (r#""listen":"#, r#""lists":"#, "listen"),
    ] {
        let spoilt = text.replacen(good, bad, 1);
        assert_ne!(spoilt, text, "{good}");
        std::fs::write(&path, spoilt).unwrap();
        courier.hang_up();
        let line = courier.log_until_both("the configuration stays as it was", key);
        assert!(line.contains(key), "{line}");
        let (said, status) = world.start_as_configured();
        assert!(!status.success());
        let lines: Vec<&str> = said.lines().filter(|line| line.contains("cannot start")).collect();
        assert!(matches!(lines[..], [line] if line.contains(key)), "{key}: {said}");
    }
    assert_eq!(courier.client().enqueue("s1", "0", "salary", 1, b"x"), "+OK");
    world.call().answer("200 OK", "");
    std::fs::write(&path, text).unwrap();
    courier.hang_up();
    courier.log_until("the list has changed");
}

/// The head of a request, and its answer to a watch.
fn opens_watch(stream: &TcpStream) -> bool {
    let mut input = BufReader::new(stream);
    let mut line = String::new();
    let is_watch = input.read_line(&mut line).is_ok() && line.contains("watch=1");
    while input.read_line(&mut line).is_ok_and(|count| count > 2) {}
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    is_watch && (&*stream).write_all(head.as_bytes()).is_ok()
}

fn chunk(mut stream: &TcpStream, text: &str) -> bool {
    write!(stream, "{:x}\r\n{text}\r\n", text.len()).is_ok()
}

/// Holds a connection open until the courier closes it.
fn hold(mut stream: &TcpStream) {
    let _ = stream.read(&mut [0; 64]);
}

/// A watch on which bytes come for ever and no line ever ends says nothing: it is opened anew, and what it missed is had.
#[test]
fn a_watch_without_whole_lines_is_silent() {
    let world = World::new(PROGRAM, 2, 3.0);
    let drain = format!("{}\n", world.change(5, 0, "DRAINING"));
    let agent = world.raw_agent(move |number, stream| {
        if !opens_watch(&stream) {
            return;
        }
        if number == 0 {
            chunk(&stream, "\n{\"rev\":2,");
            while chunk(&stream, " ") {
                std::thread::sleep(Duration::from_millis(50));
            }
        } else {
            chunk(&stream, &drain);
            hold(&stream);
        }
    });
    let begun = Instant::now();
    let courier = world.start_at(&agent);
    courier.log_until("the list has changed");
    assert!(begun.elapsed() < Duration::from_secs(6), "{:?}", begun.elapsed());
}

/// A change may be written over several lines, and an older one that comes behind a newer one takes nothing back.
#[test]
fn an_indented_change_counts_and_an_older_one_behind_it_does_not() {
    let world = World::new(PROGRAM, 2, 3.0);
    let newer = serde_json::to_string_pretty(&world.change(5, 0, "DRAINING")).unwrap();
    let older = format!("{}\n", world.change(3, 0, "SERVING"));
    let agent = world.raw_agent(move |_, stream| {
        if opens_watch(&stream) {
            assert!(newer.lines().all(|line| chunk(&stream, &format!("{line}\r\n"))));
            chunk(&stream, &older);
            hold(&stream);
        }
    });
    let courier = world.start_at(&agent);
    courier.log_until("an older list is ignored");
    for id in ["o1", "o2", "o3"] {
        assert_eq!(courier.client().enqueue(id, "0", "salary", 1, b"x"), "+OK");
        let call = world.call();
        assert_eq!(call.endpoint, 1);
        call.answer("200 OK", "");
    }
}

/// A connection for notices that falls silent is given up soon enough for a new one: what is told 300 ms late is lost.
#[test]
fn a_notice_does_not_wait_for_a_connection_that_fell_silent() {
    let world = World::new(PROGRAM, 1, 3.0);
    let (told, heard) = channel();
    let agent = world.raw_agent(move |number, stream| {
        let mut input = BufReader::new(&stream);
        let mut line = String::new();
        while input.read_line(&mut line).is_ok_and(|count| count > 0) {
            if line.starts_with("POST ") {
                let _ = told.send((number, Instant::now()));
                hold(&stream);
                break;
            }
            line.clear();
        }
    });
    let courier = world.start_at(&agent);
    assert_eq!(courier.client().enqueue("n1", "0", "salary", 1, b"x"), "+OK");
    world.call().reset();
    let patience = Duration::from_secs(20);
    let (first, at) = heard.recv_timeout(patience).unwrap();
    let (second, again) = heard.recv_timeout(patience).unwrap();
    assert_ne!(first, second);
    assert!(again - at < Duration::from_millis(400), "{:?}", again - at);
}

/// Clients that only hold connections have taken all that there are, and discovery is down: a client that asks is served, its
/// message is sent on, the process does not spin, its descriptors stay inside the limit, and the watch is back at once.
#[test]
fn idle_clients_may_fill_the_descriptors_while_discovery_is_down() {
    const LIMIT: usize = 96;
    let mut world = World::new(PROGRAM, 2, 3.0);
    (world.sockets, world.slots) = (LIMIT as u32, 4);
    world.descriptor_limit = Some(LIMIT as u32);
    world.silence_discovery(true);
    let courier = world.start();
    courier.log_until("the watch on the list broke");
    // Silent ones, and such that asked once and stay.
    let mut idle = Vec::new();
    for number in 0..300 {
        let mut client = courier.client();
        if number % 2 == 0 {
            let _ = client.try_send(b"*1\r\n$4\r\nPING\r\n");
        }
        idle.push(client);
    }
    let ticks = courier.ticks();
    let begun = Instant::now();
    for number in 0..20 {
        let id = format!("d{number}");
        // A client waits for 400 ms; some are left for a machine with much to do.
        assert_eq!(
            courier.client().within(Duration::from_millis(800)).enqueue(&id, "0", "salary", 1, b"x"),
            "+OK"
        );
        let call = world.call();
        assert_eq!(call.id, id);
        call.answer("200 OK", "");
        idle.push(courier.client());
        assert!(courier.descriptors() <= LIMIT);
    }
    let (spent, took) = (courier.ticks() - ticks, begun.elapsed());
    assert!(spent <= 20 + took.as_millis() as u64 / 50, "{spent} ticks of a hundredth in {took:?}");
    world.drain(0);
    let back = Instant::now();
    world.silence_discovery(false);
    courier.log_until("the list has changed");
    assert!(back.elapsed() < Duration::from_secs(6), "{:?}", back.elapsed());
    drop(idle);
}

/// With its folder full and discovery silent a courier is ready at once: nothing before that waits for the network.
#[test]
fn a_full_journal_and_a_silent_discovery_do_not_keep_a_start() {
    let mut world = World::patient(PROGRAM, 1, 3.0);
    (world.most_held, world.slots) = (100_000, 4);
    world.silence_discovery(true);
    let courier = world.start();
    let mut client = courier.client();
    let body = vec![b'x'; 1000];
    let mut held = 0;
    while client.enqueue(&format!("f{held}"), "0", "salary", 1, &body) == "+OK" {
        held += 1;
    }
    assert!(held > 1000, "{held}");
    let stopped = courier.kill();
    let begun = Instant::now();
    let courier = stopped.restart();
    assert_eq!(courier.client().ask(&["PING"]), "+PONG");
    let took = begun.elapsed();
    println!("{held} messages, {} bytes: ready after {took:?}", world.disk_used());
    assert!(took < Duration::from_secs(5), "{took:?}");
}
