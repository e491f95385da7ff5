//! Lists of the length that large deployments have, and the resources that a daemon needs for them.

use gullcart_standins::world::*;

const PROGRAM: &str = env!("CARGO_BIN_EXE_gullcart");
/// Endpoints of a long list.
const MANY: usize = 1024;
/// Endpoints of a list of more than 4 MiB.
const VERY_MANY: usize = 32_000;
/// Memory that one more endpoint may take, in KiB.
const MAX_KIB_PER_ENDPOINT: u64 = 3;
/// A destination in the list.
const LISTED_DESTINATION: u32 = 4;

/// Enqueues a message and answers its call; returns false if the list has not arrived yet.
fn is_served(world: &World, courier: &Courier<'_>, ids: &mut u32) -> bool {
    *ids += 1;
    let id = format!("m{ids}");
    if courier.client().enqueue(&id, "0", "salary", LISTED_DESTINATION, b"x") != "+OK" {
        return false;
    }
    let call = world.next_call();
    assert_eq!(call.id, id);
    call.answer("200 OK", "");
    true
}

/// Repeats [`is_served`] until the list has arrived.
fn until_served(world: &World, courier: &Courier<'_>, ids: &mut u32) {
    let begun = std::time::Instant::now();
    while !is_served(world, courier, ids) {
        assert!(begun.elapsed() < std::time::Duration::from_secs(20), "the list did not arrive");
        std::thread::sleep(std::time::Duration::from_millis(10));
    }
}

/// 1,024 endpoints in one response, and a change of all of them, are read, kept over a restart, and replaced again.
#[test]
fn a_list_of_a_thousand_endpoints_and_a_change_of_all_of_them() {
    let world = World::new(PROGRAM, 1, 3.0);
    let (courier, mut ids) = (world.start(), 0);
    world.advertise_many(2, MANY, "SERVING");
    until_served(&world, &courier, &mut ids);
    world.advertise_many(3, MANY, "DRAINING");
    courier.wait_for_log("rev=3");
    assert_eq!(courier.client().enqueue("waits", "0", "salary", LISTED_DESTINATION, b"x"), "+OK");
    world.expect_no_call();
    // The journal has the list.
    let courier = courier.kill_and_restart();
    world.expect_no_call();
    world.advertise_many(4, MANY, "SERVING");
    let call = world.next_call();
    assert_eq!(call.id, "waits");
    call.answer("200 OK", "");
    // The full list in one response.
    let agent = world.agent_with_many(9, MANY, "DRAINING");
    world.configure(&agent);
    courier.hang_up();
    courier.wait_for_log("rev=9");
    assert_eq!(courier.client().enqueue("waits-too", "0", "salary", LISTED_DESTINATION, b"x"), "+OK");
    world.expect_no_call();
}

/// A change, and then a full list, of more than 4 MiB are read: such lists were once refused.
#[test]
fn a_list_of_thirty_thousand_endpoints_is_read() {
    // The journal holds the list, at about 80 bytes for each endpoint, and needs as much again to rewrite it.
    let world = World::new(PROGRAM, 1, 64.0);
    let (courier, mut ids) = (world.start(), 0);
    world.advertise_many(2, VERY_MANY, "SERVING");
    courier.wait_for_log("rev=2");
    until_served(&world, &courier, &mut ids);
    let agent = world.agent_with_many(9, VERY_MANY, "DRAINING");
    world.configure(&agent);
    courier.hang_up();
    courier.wait_for_log("rev=9");
    assert_eq!(courier.client().enqueue("waits", "0", "salary", LISTED_DESTINATION, b"x"), "+OK");
    world.expect_no_call();
}

/// The resources that a daemon needs grow with its task and stay small. Prints the figures.
#[test]
fn a_daemon_needs_few_resources_at_any_size() {
    for size in [10, 350, MANY] {
        let mut world = World::new(PROGRAM, 1, 3.0);
        world.couriers = size as u32;
        world.sockets = 4096;
        let (courier, mut ids) = (world.start(), 0);
        world.advertise_many(2, size, "SERVING");
        until_served(&world, &courier, &mut ids);
        let (memory, threads, descriptors) =
            (courier.resident_kib(), courier.thread_names().len(), courier.descriptor_count());
        println!("{size} couriers and endpoints: {memory} KiB, {threads} threads, {descriptors} descriptors");
        assert!(memory < 32 << 10, "{size}: {memory} KiB");
        assert!(threads <= 2, "{size}: {threads} threads");
    }
}

/// Memory grows linearly with the number of endpoints. Prints the figures.
#[test]
fn memory_grows_linearly_with_the_endpoints() {
    let memory = |count: usize| {
        let world = World::new(PROGRAM, 1, 3.0);
        let (courier, mut ids) = (world.start(), 0);
        world.advertise_many(2, count, "SERVING");
        until_served(&world, &courier, &mut ids);
        let memory = courier.resident_kib();
        println!("{count} endpoints: {memory} KiB");
        memory
    };
    let counts = [4_000, 12_000, 20_000];
    let memories = counts.map(memory);
    for step in 1..counts.len() {
        let grown = memories[step].saturating_sub(memories[step - 1]);
        let more = (counts[step] - counts[step - 1]) as u64;
        assert!(grown < more * MAX_KIB_PER_ENDPOINT, "{more} more endpoints take {grown} KiB more");
    }
}
