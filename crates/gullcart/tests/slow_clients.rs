//! Hundreds of clients at once that write slowly, stop within a large request, or send very many short fields, on the clients' port,
//! the console's and the group's: the process stays within its memory, and other callers are served.

mod common;

use common::Group;
use gullcart_standins::world::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_gullcart");
/// Clients that are connected at once.
const CLIENTS: usize = 700;
/// Callers of another port at once, and how often they send.
const CALLERS: usize = 300;
const CALLER_ROUNDS: usize = 10;
/// Limits in the configuration. The memory is less than on most days of the page on the full fleet.
const MEMORY_MB: u64 = 32;
const SOCKETS: u32 = 2048;
/// How often each client sends its next piece, and the time between.
const ROUNDS: usize = 30;
const ROUND_INTERVAL: Duration = Duration::from_millis(50);
/// How long clients wait for an answer (PROTOCOL).
const ANSWER_LIMIT: Duration = Duration::from_millis(400);
/// How long operators wait for an answer (DAYS).
const CONSOLE_LIMIT: Duration = Duration::from_secs(1);

/// A request that enqueues a message with this body length, and with fields without a meaning before the others.
fn request(id: usize, short_fields: usize, body_bytes: usize) -> Vec<u8> {
    let fields = format!("{}c=salary,d=20000,dest=1", "a=b,".repeat(short_fields));
    let id = format!("q{id}");
    let head = format!(
        "*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n${}\r\n{id}\r\n${}\r\n{fields}\r\n${body_bytes}\r\n",
        id.len(),
        fields.len()
    );
    [head.into_bytes(), vec![b'x'; body_bytes], b"\r\n".to_vec()].concat()
}

/// What a client sends in each round.
fn pieces(number: usize) -> Vec<Vec<u8>> {
    let large = request(number, 0, 64 << 10);
    let with_fields = request(number, 980, 1);
    let kinds: [Vec<Vec<u8>>; 4] = [
        // A byte in each round.
        large.iter().take(ROUNDS).map(|byte| vec![*byte]).collect(),
        // More than half of a large request, and nothing more.
        vec![large[..40 << 10].to_vec()],
        // A large request in slow pieces, to its end but for a byte.
        large[..large.len() - 1].chunks(large.len() / ROUNDS).map(<[u8]>::to_vec).collect(),
        // Very many short fields in slow pieces, to the end but for a byte.
        with_fields[..with_fields.len() - 1].chunks(with_fields.len() / ROUNDS).map(<[u8]>::to_vec).collect(),
    ];
    kinds[number % kinds.len()].clone()
}

/// Checks that the peak of the memory is within the limit.
fn check_memory(courier: &Courier) {
    let peak_kib = courier.peak_resident_kib();
    println!("peak {peak_kib} KiB of {MEMORY_MB} MB, {} descriptors", courier.descriptor_count());
    assert!(peak_kib < MEMORY_MB * 1024, "{peak_kib} KiB");
}

#[test]
fn hundreds_of_slow_clients_do_not_exceed_the_memory_limit() {
    let mut world = World::new(PROGRAM, 1, 3.0);
    (world.memory_mb, world.sockets) = (MEMORY_MB, SOCKETS);
    let courier = world.start();
    let mut clients: Vec<(Client, Vec<Vec<u8>>)> =
        (0..CLIENTS).map(|number| (courier.client(), pieces(number))).collect();
    for round in 0..ROUNDS {
        for (client, pieces) in &mut clients {
            if let Some(piece) = pieces.get(round) {
                client.send(piece);
            }
        }
        let mut client = courier.client().with_read_timeout(ANSWER_LIMIT);
        assert_eq!(client.enqueue(&format!("s{round}"), "0", "salary", 1, b"x"), "+OK");
        world.next_call().answer("200 OK", "");
        std::thread::sleep(ROUND_INTERVAL);
    }
    assert!(courier.descriptor_count() <= SOCKETS as usize);
    check_memory(&courier);
}

/// Opens connections that each send the same bytes, goes on sending them in rounds, and then at full speed on one connection, while
/// `check` is called.
fn besiege(address: SocketAddr, bytes: &[u8], mut check: impl FnMut()) {
    let connect = || TcpStream::connect(address).ok();
    let mut connections: Vec<Option<TcpStream>> = (0..CALLERS).map(|_| connect()).collect();
    for _ in 0..CALLER_ROUNDS {
        for connection in &mut connections {
            let is_open = connection.as_mut().is_some_and(|stream| stream.write_all(bytes).is_ok());
            if !is_open {
                *connection = connect();
            }
        }
        check();
        std::thread::sleep(ROUND_INTERVAL);
    }
    drop(connections);
    let is_over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        // One caller at full speed, on one connection as long as it stays open.
        scope.spawn(|| {
            let mut stream = None;
            while !is_over.load(Ordering::SeqCst) {
                let open = stream.take().or_else(connect);
                stream = open.filter(|mut open| open.write_all(bytes).is_ok());
            }
        });
        for _ in 0..CALLER_ROUNDS {
            check();
            std::thread::sleep(ROUND_INTERVAL);
        }
        is_over.store(true, Ordering::SeqCst);
    });
}

/// The console's answer to `STATUS`, within the time that operators are promised.
fn status(address: SocketAddr) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(CONSOLE_LIMIT)).unwrap();
    stream.write_all(b"STATUS\n").unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    text
}

#[test]
fn hundreds_of_callers_of_the_console_hold_up_no_other() {
    for bytes in [&b"S"[..], &b"SUSPEND a a a a a a a a a a a a a a a a "[..], &b"NONSENSE\n"[..]] {
        let mut world = World::with_console(PROGRAM, 1);
        world.memory_mb = MEMORY_MB;
        let courier = world.start();
        let console = courier.console();
        besiege(console, bytes, || assert_eq!(status(console), "YES\n"));
        assert_eq!(courier.client().enqueue("c1", "0", "salary", 1, b"x"), "+OK");
        check_memory(&courier);
    }
}

#[test]
fn hundreds_of_strangers_at_the_port_of_the_group_cost_no_message_and_no_voter() {
    // The beginning of a greeting, a whole one that is none, and a length beyond the limit.
    for bytes in
        [&b"\x40\0\0\0a"[..], &[0x40, 0, 0, 0, 1, 2, 3, 4].repeat(20)[..], &b"\xff\xff\xff\x7faaaa"[..]]
    {
        let mut group = Group::new();
        group.worlds.iter_mut().for_each(|world| world.memory_mb = MEMORY_MB);
        let couriers: Vec<_> = group.worlds.iter().map(World::start).collect();
        for place in 0..3 {
            group.until(place, "it votes and knows who leads", |status| {
                status.votes && status.leader.is_some()
            });
        }
        let address = group.address(0);
        let mut number = 0;
        besiege(address, bytes, || {
            number += 1;
            let mut client = couriers[0].client().with_read_timeout(ANSWER_LIMIT);
            assert_eq!(client.enqueue(&format!("g{number}"), "0", "salary", 1, b"x"), "+OK");
            group.worlds[0].next_call().answer("200 OK", "");
        });
        for place in 0..3 {
            let connected = |status: &gullcart_peers::types::Status| {
                status.votes && status.leader.is_some() && status.connected_members.len() == 2
            };
            group.until(place, "it votes, knows who leads and reaches the others", connected);
        }
        check_memory(&couriers[0]);
    }
}
