//! Connections, processes and watches that end while something is still pending. The race is forced: the other side holds its
//! bytes until it has seen the courier's, or the process is stopped while both sides act.

use gullcart_standins::world::*;
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_gullcart");
/// By when a process must have ended after SIGTERM.
const MAX_SHUTDOWN_TIME: Duration = Duration::from_millis(3700);

/// Writes a request after the courier's shutdown of the connection was seen. Nothing may reset the connection, which would
/// destroy a reply on its way, and the message must not be sent on.
fn send_behind_the_shutdown(client: &mut Client, id: &str) {
    assert_eq!(client.read_to_end().unwrap(), "");
    client.send_enqueue(id, "0", "salary", 1, b"x");
    // After a reset, this or the next read fails.
    client.try_send(b"*1\r\n$4\r\nPING\r\n").unwrap();
    client.shutdown_write();
    assert_eq!(client.read_to_end().unwrap(), "");
}

#[test]
fn a_request_that_crosses_the_close_of_an_idle_connection_is_not_reset_nor_sent_on() {
    let world = World::new(PROGRAM, 1, 3.0);
    let courier = world.start();
    let mut client = courier.client();
    assert_eq!(client.request(&["PING"]), "+PONG");
    send_behind_the_shutdown(&mut client, "r1");
    world.expect_nothing();
    assert_eq!(courier.client().enqueue("r1", "0", "salary", 1, b"x"), "+OK");
    world.next_call().answer("200 OK", "");
}

#[test]
fn requests_that_cross_the_close_at_sigterm_succeed_on_new_connections() {
    let world = World::new(PROGRAM, 1, 3.0);
    let mut courier = world.start();
    let mut resting: Vec<Client> = (0..20).map(|_| courier.client()).collect();
    for client in &mut resting {
        assert_eq!(client.request(&["PING"]), "+PONG");
    }
    // A client that never closes does not keep the process running.
    let mut stays = courier.client();
    assert_eq!(stays.request(&["PING"]), "+PONG");
    courier.terminate();
    for (number, client) in resting.iter_mut().enumerate() {
        send_behind_the_shutdown(client, &format!("t{number}"));
    }
    // The process lives for at least 0.6 s more: the same message is accepted on a new connection.
    assert_eq!(courier.client().enqueue("t0", "0", "salary", 1, b"x"), "+OK");
    let call = world.next_call();
    assert_eq!(call.id, "t0");
    call.answer("200 OK", "");
    assert!(courier.wait_for_exit(MAX_SHUTDOWN_TIME).success());
    world.expect_nothing();
}

/// Two requests and SIGTERM arrive at once: each request is either answered and sent on, or neither.
#[test]
fn a_pipelined_request_at_sigterm_is_answered_or_not_sent_on() {
    let world = World::new(PROGRAM, 1, 3.0);
    let mut courier = world.start();
    let mut clients: Vec<Client> = (0..10).map(|_| courier.client()).collect();
    for client in &mut clients {
        assert_eq!(client.request(&["PING"]), "+PONG");
    }
    courier.while_stopped(|| {
        for (number, client) in clients.iter_mut().enumerate() {
            client.send_enqueue(&format!("a{number}"), "0", "salary", 1, b"x");
            client.send_enqueue(&format!("b{number}"), "0", "salary", 1, b"x");
        }
        courier.terminate();
    });
    let mut accepted = BTreeSet::new();
    for (number, client) in clients.iter_mut().enumerate() {
        let answers = client.read_to_end().unwrap();
        let count = answers.matches("+OK\r\n").count();
        assert_eq!(answers.len(), count * 5, "{answers:?}");
        // The first request had arrived completely before the signal.
        assert!(count >= 1, "the request of client {number} is lost");
        accepted.extend(["a", "b"].iter().take(count).map(|letter| format!("{letter}{number}")));
    }
    let mut called = BTreeSet::new();
    while called.len() < accepted.len() {
        let call = world.next_call();
        called.insert(call.id.clone());
        call.answer("200 OK", "");
    }
    assert_eq!(called, accepted);
    assert!(courier.wait_for_exit(MAX_SHUTDOWN_TIME).success());
    world.expect_nothing();
}

#[test]
fn an_incomplete_request_at_sigterm_is_rejected_and_not_sent_on() {
    let world = World::new(PROGRAM, 1, 3.0);
    let mut courier = world.start();
    let mut client = courier.client();
    assert_eq!(client.request(&["PING"]), "+PONG");
    courier.while_stopped(|| {
        client.send(b"*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$2\r\nh1\r\n");
        courier.terminate();
    });
    let reply = client.read_to_end().unwrap();
    assert!(reply.is_empty() || reply.starts_with("-ERR "), "{reply:?}");
    client.send(b"$23\r\nd=20000,c=salary,dest=1\r\n$1\r\nx\r\n");
    assert!(courier.wait_for_exit(MAX_SHUTDOWN_TIME).success());
    world.expect_nothing();
}

/// A process that was stalled until its time was up finds new connections with requests on them: they are accepted in its last
/// turn, and the next process makes the calls.
#[test]
fn requests_that_arrive_at_the_end_are_accepted_for_the_next_process() {
    let world = World::new(PROGRAM, 1, 3.0);
    let mut courier = world.start();
    assert_eq!(courier.client().enqueue("hung", "0", "salary", 1, b"x"), "+OK");
    let _hung = world.next_call();
    courier.terminate();
    courier.wait_for_log("shutdown requested");
    let mut clients = Vec::new();
    courier.while_stopped(|| {
        for number in 0..10 {
            let mut client = courier.client();
            client.send_enqueue(&format!("l{number}"), "0", "salary", 1, b"x");
            clients.push(client);
        }
        // Waits until the shutdown is due; nothing of the process runs meanwhile.
        std::thread::sleep(Duration::from_millis(3300));
    });
    for client in &mut clients {
        assert_eq!(client.read_to_end().unwrap(), "+OK\r\n");
        client.shutdown_write();
    }
    assert!(courier.wait_for_exit(MAX_SHUTDOWN_TIME).success());
    world.expect_nothing();
    let _next = courier.kill_and_restart();
    let (mut called, mut notices) = (BTreeSet::new(), BTreeSet::new());
    while called.len() < clients.len() || notices.is_empty() {
        match world.next_action() {
            CourierAction::Call(call) => {
                called.insert(call.id.clone());
                call.answer("200 OK", "");
            }
            CourierAction::Notice(line) => drop(notices.insert(line)),
        }
    }
    assert_eq!(notices, BTreeSet::from([r#"{"id":"hung","state":"failed"}"#.to_owned()]));
}

/// A second SIGTERM changes nothing, and SIGHUP moves discovery during a shutdown: pending notices are sent to the new address.
#[test]
fn signals_during_a_shutdown_lose_no_notice() {
    let world = World::new(PROGRAM, 2, 3.0);
    let mut courier = world.start();
    assert_eq!(courier.client().enqueue("s1", "0", "salary", 1, b"x"), "+OK");
    let call = world.next_call();
    assert_eq!(courier.client().enqueue("s2", "0", "salary", 1, b"x"), "+OK");
    let _hung = world.next_call();
    let begun = Instant::now();
    courier.terminate();
    courier.wait_for_log("shutdown requested");
    world.leave_notices_unanswered(true);
    // Each is closed when its first request does not arrive, which takes some of the time until the end.
    for _ in 0..2 {
        assert_eq!(courier.client().read_to_end().unwrap(), "");
    }
    courier.terminate();
    let agent = world.agent_with_drain(0);
    world.configure(&agent);
    courier.hang_up();
    courier.wait_for_log("the configuration was read again");
    call.close();
    while world.notice_requests_at(&agent) == 0 {
        assert_eq!(world.next_notice(), r#"{"id":"s1","state":"failed"}"#);
    }
    assert!(courier.wait_for_exit(MAX_SHUTDOWN_TIME).success());
    assert!(begun.elapsed() < MAX_SHUTDOWN_TIME, "{:?}", begun.elapsed());
}

/// A configuration with invalid settings changes nothing in service, and at a start it is an error with the key's name.
#[test]
fn invalid_settings_change_nothing_in_service_and_are_an_error_at_a_start() {
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
        let line = courier.wait_for_log_with_both("the configuration stays as it was", key);
        assert!(line.contains(key), "{line}");
        let (said, status) = world.run_to_exit_as_configured();
        assert!(!status.success());
        let lines: Vec<&str> = said.lines().filter(|line| line.contains("cannot start")).collect();
        assert!(matches!(lines[..], [line] if line.contains(key)), "{key}: {said}");
    }
    assert_eq!(courier.client().enqueue("s1", "0", "salary", 1, b"x"), "+OK");
    world.next_call().answer("200 OK", "");
    std::fs::write(&path, text).unwrap();
    courier.hang_up();
    courier.wait_for_log("the list has changed");
}

/// Reads the head of a request and opens the response if it is a watch; returns whether it is.
fn opens_watch(stream: &TcpStream) -> bool {
    let mut input = BufReader::new(stream);
    let mut line = String::new();
    let is_watch = input.read_line(&mut line).is_ok() && line.contains("watch=1");
    while input.read_line(&mut line).is_ok_and(|count| count > 2) {}
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    is_watch && (&*stream).write_all(head.as_bytes()).is_ok()
}

/// Writes a chunk of a response.
fn chunk(mut stream: &TcpStream, text: &str) -> bool {
    write!(stream, "{:x}\r\n{text}\r\n", text.len()).is_ok()
}

/// Keeps a connection open until the courier closes it.
fn hold(mut stream: &TcpStream) {
    let _ = stream.read(&mut [0; 64]);
}

/// A watch with bytes but without complete lines counts as silent: it is opened again, and missed changes are caught up.
#[test]
fn a_watch_without_whole_lines_is_silent() {
    let world = World::new(PROGRAM, 2, 3.0);
    let drain = format!("{}\n", world.state_change(5, 0, "DRAINING"));
    let agent = world.agent_with_handler(move |number, stream| {
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
    let courier = world.start_with_agent(&agent);
    courier.wait_for_log("the list has changed");
    assert!(begun.elapsed() < Duration::from_secs(6), "{:?}", begun.elapsed());
}

/// A change may span several lines, and an older one that arrives behind a newer one reverts nothing.
#[test]
fn an_indented_change_counts_and_an_older_one_behind_it_does_not() {
    let world = World::new(PROGRAM, 2, 3.0);
    let newer = serde_json::to_string_pretty(&world.state_change(5, 0, "DRAINING")).unwrap();
    let older = format!("{}\n", world.state_change(3, 0, "SERVING"));
    let agent = world.agent_with_handler(move |_, stream| {
        if opens_watch(&stream) {
            assert!(newer.lines().all(|line| chunk(&stream, &format!("{line}\r\n"))));
            chunk(&stream, &older);
            hold(&stream);
        }
    });
    let courier = world.start_with_agent(&agent);
    courier.wait_for_log("an older list is ignored");
    for id in ["o1", "o2", "o3"] {
        assert_eq!(courier.client().enqueue(id, "0", "salary", 1, b"x"), "+OK");
        let call = world.next_call();
        assert_eq!(call.endpoint, 1);
        call.answer("200 OK", "");
    }
}

/// A connection for notices that falls silent is soon abandoned: a notice counts as lost if it is 300 ms late.
#[test]
fn a_notice_does_not_wait_for_a_connection_that_fell_silent() {
    let world = World::new(PROGRAM, 1, 3.0);
    let (report, posts) = channel();
    let agent = world.agent_with_handler(move |number, stream| {
        let mut input = BufReader::new(&stream);
        let mut line = String::new();
        while input.read_line(&mut line).is_ok_and(|count| count > 0) {
            if line.starts_with("POST ") {
                let _ = report.send((number, Instant::now()));
                hold(&stream);
                break;
            }
            line.clear();
        }
    });
    let courier = world.start_with_agent(&agent);
    assert_eq!(courier.client().enqueue("n1", "0", "salary", 1, b"x"), "+OK");
    world.next_call().close();
    let timeout = Duration::from_secs(20);
    let (first, first_at) = posts.recv_timeout(timeout).unwrap();
    let (second, second_at) = posts.recv_timeout(timeout).unwrap();
    assert_ne!(first, second);
    assert!(second_at - first_at < Duration::from_millis(400), "{:?}", second_at - first_at);
}

/// Clients occupy all connections and discovery is down: a client with a request is served and its message sent, the process
/// does not spin, its descriptors stay within the limit, and the watch is back soon.
#[test]
fn idle_clients_may_take_all_descriptors_while_discovery_is_down() {
    const LIMIT: usize = 96;
    let mut world = World::new(PROGRAM, 2, 3.0);
    (world.sockets, world.slots) = (LIMIT as u32, 4);
    world.descriptor_limit = Some(LIMIT as u32);
    world.silence_discovery(true);
    let courier = world.start();
    courier.wait_for_log("the watch on the list broke");
    // Clients that send nothing, and clients that stay open after one request.
    let mut idle = Vec::new();
    for number in 0..300 {
        let mut client = courier.client();
        if number % 2 == 0 {
            let _ = client.try_send(b"*1\r\n$4\r\nPING\r\n");
        }
        idle.push(client);
    }
    let ticks = courier.cpu_ticks();
    let begun = Instant::now();
    for number in 0..20 {
        let id = format!("d{number}");
        // A client waits for 400 ms; twice that allows for a slow machine.
        assert_eq!(
            courier
                .client()
                .with_read_timeout(Duration::from_millis(800))
                .enqueue(&id, "0", "salary", 1, b"x"),
            "+OK"
        );
        let call = world.next_call();
        assert_eq!(call.id, id);
        call.answer("200 OK", "");
        idle.push(courier.client());
        assert!(courier.descriptor_count() <= LIMIT);
    }
    let (spent, took) = (courier.cpu_ticks() - ticks, begun.elapsed());
    assert!(spent <= 20 + took.as_millis() as u64 / 50, "{spent} ticks of a hundredth in {took:?}");
    world.advertise_draining(0);
    let back = Instant::now();
    world.silence_discovery(false);
    courier.wait_for_log("the list has changed");
    assert!(back.elapsed() < Duration::from_secs(6), "{:?}", back.elapsed());
    drop(idle);
}

/// With a full journal and a silent discovery a courier still starts at once: nothing before that waits for the network.
#[test]
fn a_full_journal_and_a_silent_discovery_do_not_delay_a_start() {
    let mut world = World::with_long_deadlines(PROGRAM, 1, 3.0);
    (world.max_held, world.slots) = (100_000, 4);
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
    assert_eq!(courier.client().request(&["PING"]), "+PONG");
    let took = begun.elapsed();
    println!("{held} messages, {} bytes: ready after {took:?}", world.disk_used_bytes());
    assert!(took < Duration::from_secs(5), "{took:?}");
}
