//! A new process comes up at the address of one that has gone, or on a folder at the place of another, and is not taken for it. For
//! members of a group see `gullcart-peers/tests/processes.rs`.

use gullcart_standins::world::*;
use serde_json::json;
use std::io::Read;
use std::io::Write;
use std::os::linux::net::SocketAddrExt;
use std::os::unix::fs::MetadataExt;
use std::os::unix::net::{SocketAddr, UnixStream};
use std::path::Path;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_gullcart");

/// Limit on the time until a connection ends.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// Connects to the hand-over socket of the couriers of a folder with this identity, and says hello as a new process does.
fn request_handover((device, inode): (u64, u64)) -> UnixStream {
    let address = SocketAddr::from_abstract_name(format!("gullcart-move-{device}-{inode}")).unwrap();
    let mut stream = loop {
        // The socket is bound a moment after the first client is served.
        match UnixStream::connect_addr(&address) {
            Ok(stream) => break stream,
            Err(_) => std::thread::yield_now(),
        }
    };
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    stream.write_all(b"h").unwrap();
    stream
}

/// Device and inode of a folder.
fn identity(folder: &Path) -> (u64, u64) {
    let metadata = std::fs::metadata(folder).unwrap();
    (metadata.dev(), metadata.ino())
}

/// Guards against a process that is given the courier of another one because its folder has the same inode: that of a folder
/// that was removed is used again. The courier would be dropped with all that it had accepted.
#[test]
fn a_courier_is_not_handed_over_once_its_folder_was_replaced() {
    let world = World::with_console(PROGRAM, 1);
    let courier = world.start();
    let mut client = courier.client();
    assert_eq!(client.enqueue("r1", "0", "salary", 1, b"x"), "+OK");
    let call = world.next_call();
    let identity = identity(&world.state_folder());
    std::fs::remove_dir_all(world.state_folder()).unwrap();
    std::fs::create_dir(world.state_folder()).unwrap();
    let mut received = Vec::new();
    // The connection ends, or is reset as the hello was not read.
    let asked_at = Instant::now();
    let _ = request_handover(identity).read_to_end(&mut received);
    assert!(asked_at.elapsed() < READ_TIMEOUT);
    assert!(received.is_empty(), "{} bytes of a courier", received.len());
    // A process on the new folder is a courier of its own.
    let other = world.start();
    assert_eq!(other.client().enqueue("r2", "0", "salary", 1, b"x"), "+OK");
    assert_eq!(world.next_call().id, "r2");
    // The courier goes on.
    call.answer("200 OK", "");
    assert_eq!(client.request(&["PING"]), "+PONG");
    world.expect_nothing();
}

/// An endpoint of another partner at the address of one that has gone gets what is meant for it, on a connection of its own.
#[test]
fn an_endpoint_at_the_address_of_another_gets_nothing_that_was_meant_for_that() {
    let mut world = World::with_long_deadlines(PROGRAM, 2, 3.0);
    world.separate_destinations = true;
    let courier = world.start();
    let mut client = courier.client();
    for number in 0..6 {
        assert_eq!(client.enqueue(&format!("e{number}"), "0", "salary", 1, b"x"), "+OK");
        world.next_call().answer("200 OK", "");
    }
    assert_eq!(client.enqueue("old", "0", "salary", 1, b"x"), "+OK");
    let old = world.next_call();
    let mut update = world.state_change(2, 0, "DELETED");
    let mut successor = update["targets"][0].clone();
    successor["uid"] = json!("s-successor");
    successor["pod_group"] = json!(2);
    successor["state"] = json!("SERVING");
    let targets =
        [update["targets"][0].take(), successor, world.state_change(2, 1, "DRAINING")["targets"][0].clone()];
    world.advertise(2, &targets);
    courier.wait_for_log("the list has changed");
    assert_eq!(client.enqueue("waits", "0", "salary", 1, b"x"), "+OK");
    assert_eq!(client.enqueue("new", "0", "salary", 2, b"x"), "+OK");
    let new = world.next_call();
    assert_eq!((new.id.as_str(), new.endpoint), ("new", 0));
    assert_ne!(new.courier_address(), old.courier_address());
    new.answer("200 OK", "");
    old.answer("200 OK", "");
    world.expect_no_call();
}
