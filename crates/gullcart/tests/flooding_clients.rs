//! One client sends requests at full speed on one connection; the others are answered in time and not refused for it.

use gullcart_standins::world::*;
use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_gullcart");
/// How long the flood lasts.
const FLOOD: Duration = Duration::from_secs(3);
/// Requests that the flooding client writes at a time.
const REQUESTS_PER_WRITE: u64 = 1000;
/// Clients besides the flooding one, and the time between two messages of each.
const CLIENTS: u32 = 8;
const MESSAGE_INTERVAL: Duration = Duration::from_millis(50);
/// How long clients wait for an answer (PROTOCOL).
const ANSWER_LIMIT: Duration = Duration::from_millis(400);

/// A request with these arguments.
fn command(arguments: &[&str]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", arguments.len()).into_bytes();
    for argument in arguments {
        bytes.extend(format!("${}\r\n{argument}\r\n", argument.len()).bytes());
    }
    bytes
}

/// What the other clients saw.
#[derive(Debug, Default)]
struct Seen {
    accepted: u32,
    refused: u32,
    slowest_answer: Duration,
}

/// Enqueues messages one after the other until `is_over`.
fn enqueue_steadily(mut client: Client, number: u32, is_over: &AtomicBool) -> Seen {
    let mut seen = Seen::default();
    for message in 0.. {
        if is_over.load(Ordering::SeqCst) {
            return seen;
        }
        let began = Instant::now();
        match client.enqueue(&format!("s{number}-{message}"), "0", "salary", 1, b"x").as_str() {
            "+OK" => seen.accepted += 1,
            answer if answer.starts_with("-BUSY") => seen.refused += 1,
            answer => panic!("client {number}: {answer:?}"),
        }
        seen.slowest_answer = seen.slowest_answer.max(began.elapsed());
        thread::sleep(MESSAGE_INTERVAL);
    }
    seen
}

/// Writes requests at full speed until `is_over`, and reads all replies meanwhile. Returns the number of requests written.
fn flood(mut client: Client, request: impl Fn(u64) -> Vec<u8>, is_over: &AtomicBool) -> u64 {
    let mut written = 0;
    while !is_over.load(Ordering::SeqCst) {
        let batch: Vec<u8> = (written..written + REQUESTS_PER_WRITE).flat_map(&request).collect();
        if client.try_send(&batch).is_err() {
            break;
        }
        written += REQUESTS_PER_WRITE;
        for _ in 0..REQUESTS_PER_WRITE {
            assert!(!client.read_reply().is_empty(), "the connection was closed");
        }
    }
    written
}

/// At most one in this many messages of the others may be refused.
const MAX_REFUSED_DIVISOR: u32 = 20;
/// At least one in this many accepted messages of the others has to be answered by the endpoint during the flood.
const MIN_SERVED_DIVISOR: u32 = 4;
/// How long all others may take after the flood.
const DELIVERY_LIMIT: Duration = Duration::from_secs(15);
/// Memory that a courier may gain in the second half of a flood, in KiB.
const MAX_GAINED_KIB: u64 = 2048;

/// How long the endpoint takes to answer.
const ANSWER_DELAY: Duration = Duration::from_millis(100);

/// Answers all calls [`ANSWER_DELAY`] after they came.
#[derive(Default)]
struct Answers {
    /// Calls, and when they are due.
    unanswered: VecDeque<(Instant, Call)>,
    /// Answered calls of the other clients.
    served: u32,
}

impl Answers {
    /// Answers calls until `end`, or until `enough` calls of the other clients are answered.
    fn run(&mut self, world: &World, end: Instant, enough: u32) {
        while Instant::now() < end && self.served < enough {
            let next = self.unanswered.front().map_or(end, |(due, _)| *due).min(end);
            if let Some(call) = world.next_call_before(next) {
                self.unanswered.push_back((Instant::now() + ANSWER_DELAY, call));
            }
            while self.unanswered.front().is_some_and(|(due, _)| *due <= Instant::now()) {
                let Some((_, call)) = self.unanswered.pop_front() else { break };
                self.served += u32::from(call.id.starts_with('s'));
                call.answer("200 OK", "");
            }
        }
    }
}

/// Plays a flood beside other clients, and checks that these do not suffer from it.
fn play(request: impl Fn(u64) -> Vec<u8> + Send + 'static) {
    let mut world = World::new(PROGRAM, 1, 3.0);
    world.slots = 40;
    let courier = world.start();
    let is_over = Arc::new(AtomicBool::new(false));
    let (client, flag) = (courier.client(), is_over.clone());
    let flooding = thread::spawn(move || flood(client, request, &flag));
    let others: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (client, flag) = (courier.client(), is_over.clone());
            thread::spawn(move || enqueue_steadily(client, number, &flag))
        })
        .collect();
    let mut answers = Answers::default();
    answers.run(&world, Instant::now() + FLOOD / 2, u32::MAX);
    let resident_kib = courier.resident_kib();
    answers.run(&world, Instant::now() + FLOOD / 2, u32::MAX);
    let served = answers.served;
    let gained_kib = courier.resident_kib().saturating_sub(resident_kib);
    is_over.store(true, Ordering::SeqCst);
    let written = flooding.join().unwrap();
    let seen = others.into_iter().map(|other| other.join().unwrap()).fold(Seen::default(), |all, one| Seen {
        accepted: all.accepted + one.accepted,
        refused: all.refused + one.refused,
        slowest_answer: all.slowest_answer.max(one.slowest_answer),
    });
    println!("{written} requests in the flood, {gained_kib} KiB gained; {served} served, {seen:?}");
    assert!(seen.slowest_answer < ANSWER_LIMIT, "{seen:?}");
    assert!(seen.refused * MAX_REFUSED_DIVISOR <= seen.accepted, "{seen:?}");
    assert!(served * MIN_SERVED_DIVISOR >= seen.accepted, "{served} served, {seen:?}");
    answers.run(&world, Instant::now() + DELIVERY_LIMIT, seen.accepted);
    assert_eq!(answers.served, seen.accepted, "messages of the others are delivered");
    assert!(gained_kib <= MAX_GAINED_KIB, "{gained_kib} KiB");
}

#[test]
fn messages_without_time_do_not_crowd_out_other_clients() {
    play(|number| command(&["ENQUEUE", "0", &format!("f{number}"), "c=salary,d=0,dest=1", "x"]));
}

#[test]
fn messages_with_little_time_do_not_crowd_out_other_clients() {
    play(|number| command(&["ENQUEUE", "0", &format!("f{number}"), "c=salary,d=1,dest=1", "x"]));
}

#[test]
fn messages_with_less_time_than_an_answer_takes_do_not_crowd_out_other_clients() {
    play(|number| command(&["ENQUEUE", "0", &format!("f{number}"), "c=salary,d=60,dest=1", "x"]));
}

#[test]
fn messages_at_full_speed_do_not_crowd_out_other_clients() {
    play(|number| command(&["ENQUEUE", "0", &format!("f{number}"), "c=salary,d=20000,dest=1", "x"]));
}

#[test]
fn unknown_classes_at_full_speed_do_not_crowd_out_other_clients() {
    play(|number| {
        command(&["ENQUEUE", "0", &format!("f{number}"), &format!("c=c{number},d=20000,dest=1"), "x"])
    });
}

#[test]
fn unknown_destinations_at_full_speed_do_not_crowd_out_other_clients() {
    play(|number| {
        command(&[
            "ENQUEUE",
            "0",
            &format!("f{number}"),
            &format!("c=salary,d=20000,dest={}", 100 + number),
            "x",
        ])
    });
}

#[test]
fn unknown_commands_at_full_speed_do_not_crowd_out_other_clients() {
    play(|number| command(&[&format!("C{number}")]));
}

#[test]
fn pings_at_full_speed_do_not_crowd_out_other_clients() {
    play(|_| command(&["PING"]));
}
