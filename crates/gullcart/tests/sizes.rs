//! Lists as long as large deployments have them, and what a daemon needs for them.

use gullcart_standins::world::*;

const PROGRAM: &str = env!("CARGO_BIN_EXE_gullcart");
const MANY: usize = 1024;
/// KiB that an endpoint more may take.
const MOST_FOR_ONE: u64 = 3;
/// A destination among the many.
const ONE: u32 = 4;

/// Hands a salary in until it is served, as news of the list come when they come.
fn is_served(world: &World, courier: &Courier<'_>, ids: &mut u32) -> bool {
    *ids += 1;
    let id = format!("m{ids}");
    if courier.client().enqueue(&id, "0", "salary", ONE, b"x") != "+OK" {
        return false;
    }
    let call = world.call();
    assert_eq!(call.id, id);
    call.answer("200 OK", "");
    true
}

fn until_served(world: &World, courier: &Courier<'_>, ids: &mut u32) {
    let begun = std::time::Instant::now();
    while !is_served(world, courier, ids) {
        assert!(begun.elapsed() < std::time::Duration::from_secs(20), "the list was never heard");
        std::thread::sleep(std::time::Duration::from_millis(10));
    }
}

/// 1,024 endpoints in one answer, and one change of all of them, are heard, kept over a restart, and forgotten again.
#[test]
fn a_list_of_a_thousand_endpoints_and_a_change_of_all_of_them() {
    let world = World::new(PROGRAM, 1, 3.0);
    let (courier, mut ids) = (world.start(), 0);
    world.tell_many(2, MANY, "SERVING");
    until_served(&world, &courier, &mut ids);
    world.tell_many(3, MANY, "DRAINING");
    courier.log_until("rev=3");
    assert_eq!(courier.client().enqueue("waits", "0", "salary", ONE, b"x"), "+OK");
    world.no_call();
    // What was told stands in the journal.
    let courier = courier.kill_and_restart();
    world.no_call();
    world.tell_many(4, MANY, "SERVING");
    let call = world.call();
    assert_eq!(call.id, "waits");
    call.answer("200 OK", "");
    // All at once, as the answer to one question.
    let agent = world.agent_with_many(9, MANY, "DRAINING");
    world.configure(&agent);
    courier.hang_up();
    courier.log_until("rev=9");
    assert_eq!(courier.client().enqueue("waits-too", "0", "salary", ONE, b"x"), "+OK");
    world.no_call();
}

/// What a daemon needs grows with what there is, and stays small. The figures are printed.
#[test]
fn a_daemon_needs_little_at_any_size() {
    for size in [10, 350, MANY] {
        let mut world = World::new(PROGRAM, 1, 3.0);
        world.couriers = size as u32;
        world.sockets = 4096;
        let (courier, mut ids) = (world.start(), 0);
        world.tell_many(2, size, "SERVING");
        until_served(&world, &courier, &mut ids);
        let (memory, threads, descriptors) =
            (courier.memory(), courier.threads().len(), courier.descriptors());
        println!("{size} couriers and endpoints: {memory} KiB, {threads} threads, {descriptors} descriptors");
        assert!(memory < 32 << 10, "{size}: {memory} KiB");
        assert!(threads <= 2, "{size}: {threads} threads");
    }
}

/// Memory grows with the endpoints told, not with their square. The figures are printed.
#[test]
fn memory_grows_evenly_with_the_endpoints() {
    let memory = |count: usize| {
        let world = World::new(PROGRAM, 1, 3.0);
        let (courier, mut ids) = (world.start(), 0);
        world.tell_many(2, count, "SERVING");
        until_served(&world, &courier, &mut ids);
        let memory = courier.memory();
        println!("{count} endpoints: {memory} KiB");
        memory
    };
    let counts = [4_000, 12_000, 20_000];
    let memories = counts.map(memory);
    for step in 1..counts.len() {
        let grown = memories[step].saturating_sub(memories[step - 1]);
        let more = (counts[step] - counts[step - 1]) as u64;
        assert!(grown < more * MOST_FOR_ONE, "{more} more endpoints take {grown} KiB more");
    }
}
