//! Three couriers of one group that all have messages for a partner with an outage.

mod common;

use common::{Group, TIMEOUT};
use gullcart_standins::world::*;
use std::time::{Duration, Instant};

/// The duty of making the trial calls for the partner.
const DUTY: &str = "trials/1";
/// First letter of the ids of each courier's messages.
const LETTERS: [char; 3] = ['a', 'b', 'c'];

/// Number of calls by courier, identified by the first letter of the message's id.
fn calls_by_courier(calls: &[(String, Instant)]) -> Vec<(char, usize)> {
    let mut all: std::collections::BTreeMap<char, usize> = Default::default();
    for (id, _) in calls {
        *all.entry(id.chars().next().unwrap()).or_default() += 1;
    }
    all.into_iter().collect()
}

/// Answers all calls of a period with a status; returns their ids and times.
fn answer_calls(world: &World, span: Duration, answer: &str) -> Vec<(String, Instant)> {
    let end = Instant::now() + span;
    let mut seen = Vec::new();
    while let Some(call) = world.next_call_before(end) {
        seen.push((call.id.clone(), Instant::now()));
        call.answer(answer, "");
    }
    seen
}

/// Enqueues messages at a courier.
fn enqueue(courier: &Courier, letter: char, from: usize, count: usize) {
    let mut client = courier.client();
    for number in from..from + count {
        // Each message has an order key and an idempotency key of its own.
        let (key, class) = ((number + 1).to_string(), format!("notice,k={letter}{number}"));
        assert_eq!(client.enqueue(&format!("{letter}{number}"), &key, &class, 1, b"x"), "+OK");
    }
}

/// Plays an outage until one courier holds the duty and all others know that.
fn wait_for_holder(group: &Group) -> usize {
    let begun = Instant::now();
    loop {
        answer_calls(&group.worlds[0], Duration::from_millis(300), "500 Down");
        let held: Vec<usize> = (0..3).filter(|place| group.holds(*place, DUTY)).collect();
        let known = (0..3).all(|place| group.knows_holder(place, DUTY));
        if let ([holder], true) = (&held[..], known) {
            return *holder;
        }
        assert!(begun.elapsed() < TIMEOUT, "no courier got the duty");
    }
}

/// Starts all couriers, and enqueues messages once they have joined the group.
fn start(group: &Group) -> Vec<Option<Courier<'_>>> {
    let couriers: Vec<_> = group.worlds.iter().map(|world| Some(world.start())).collect();
    for place in 0..3 {
        group.until(place, "it votes and knows who leads", |status| status.votes && status.leader.is_some());
    }
    for (courier, letter) in couriers.iter().flatten().zip(LETTERS) {
        enqueue(courier, letter, 0, 20);
    }
    couriers
}

#[test]
fn one_courier_makes_the_trial_calls_and_all_learn_of_the_recovery() {
    let group = Group::with_one_partner(30);
    let mut couriers = start(&group);
    let world = &group.worlds[0];
    let holder = wait_for_holder(&group);
    answer_calls(world, Duration::from_millis(100), "500 Down");
    let down = answer_calls(world, Duration::from_secs(2), "500 Down");
    let letter = LETTERS[holder];
    // The duty may have been passed on meanwhile, if this took longer than two collapse windows (setting `Rules.Fall`).
    let by_holder = down.iter().filter(|(id, _)| id.starts_with(letter)).count();
    println!("calls in 2 s: {:?}", calls_by_courier(&down));
    assert!(by_holder > 0 && 2 * by_holder > down.len(), "{holder}: {:?}", calls_by_courier(&down));
    // The holder is killed, and another courier continues.
    couriers[holder].take().map(Courier::kill);
    let other = LETTERS.into_iter().filter(|other| *other != letter).collect::<Vec<_>>();
    let killed_at = Instant::now();
    let next = loop {
        let seen = answer_calls(world, Duration::from_millis(100), "500 Down");
        let held = (0..3).find(|place| *place != holder && group.holds(*place, DUTY));
        let has_called = seen.iter().any(|(id, _)| id.starts_with(&other[..]));
        if let Some(held) = held.filter(|_| has_called) {
            break held;
        }
        assert!(killed_at.elapsed() < TIMEOUT, "no other courier makes trial calls");
    };
    println!("courier {next} makes trial calls after {:?}", killed_at.elapsed());
    // The partner recovers: all remaining couriers learn of it and deliver.
    let recovered_at = Instant::now();
    let mut served = std::collections::BTreeSet::new();
    while !other.iter().all(|letter| served.iter().any(|id: &String| id.starts_with(*letter))) {
        served.extend(answer_calls(world, Duration::from_millis(50), "200 OK").into_iter().map(|(id, _)| id));
        assert!(recovered_at.elapsed() < TIMEOUT, "{served:?}");
    }
    println!("both are served after {:?}", recovered_at.elapsed());
}

/// The holder is upgraded in the middle of an outage, and keeps the duty under the same epoch.
#[test]
fn an_upgrade_of_the_holder_keeps_the_duty() {
    let group = Group::with_one_partner(30);
    let mut couriers = start(&group);
    let epoch = |place: usize| {
        let duties = group.status(place).map(|status| status.duties).unwrap_or_default();
        let held = duties.iter().find(|duty| duty.name == DUTY && duty.holder == Some(place as u64 + 1));
        held.and_then(|duty| duty.epoch)
    };
    // A holder without success passes the duty on after four seconds, which may coincide with the upgrade.
    for _ in 0..8 {
        let holder = wait_for_holder(&group);
        let before = epoch(holder);
        let new = group.worlds[holder].start();
        let old = couriers[holder].replace(new);
        group.until(holder, "the new process is connected and votes", |status| {
            status.connected_members.len() == 2 && status.votes
        });
        let after = epoch(holder);
        drop(old);
        println!("epoch {before:?} before, {after:?} after");
        if before.is_some() && before == after && group.holds(holder, DUTY) {
            return;
        }
    }
    panic!("no upgrade kept the duty");
}

/// Plays an outage. Returns the number of calls in three seconds of it, and the time from its end until each of the three
/// couriers has delivered a message.
fn outage(group: &Group, is_in_group: bool) -> (usize, Duration) {
    let couriers: Vec<_> = if is_in_group {
        start(group)
    } else {
        let couriers: Vec<_> = group.worlds.iter().map(|world| Some(world.start())).collect();
        for (courier, letter) in couriers.iter().flatten().zip(LETTERS) {
            enqueue(courier, letter, 0, 20);
        }
        couriers
    };
    let world = &group.worlds[0];
    answer_calls(world, Duration::from_secs(2), "500 Down");
    if is_in_group {
        wait_for_holder(group);
    }
    let calls = answer_calls(world, Duration::from_secs(3), "500 Down").len();
    for (courier, letter) in couriers.iter().flatten().zip(LETTERS) {
        enqueue(courier, letter, 100, 5);
    }
    let recovered_at = Instant::now();
    let mut served: Vec<String> = Vec::new();
    while !LETTERS.iter().all(|letter| served.iter().any(|id| id.starts_with(*letter))) {
        served.extend(answer_calls(world, Duration::from_millis(5), "200 OK").into_iter().map(|(id, _)| id));
        assert!(recovered_at.elapsed() < TIMEOUT, "{served:?}");
    }
    (calls, recovered_at.elapsed())
}

#[test]
fn a_group_makes_fewer_trial_calls_than_couriers_alone() {
    let with = outage(&Group::with_one_partner(30), true);
    let mut alone = Group::with_one_partner(30);
    alone.worlds.iter_mut().for_each(|world| world.environment.retain(|(name, _)| name != "GULLCART_GROUP"));
    let without = outage(&alone, false);
    println!("three couriers, calls in 3 s and time until each has delivered: {with:?} in a group, {without:?} alone");
    assert!(2 * with.0 < 3 * without.0.max(1), "{with:?} {without:?}");
}

/// Measures a courier: processor time in clock ticks over ten idle seconds, memory in KiB, and the 50th and 99th percentiles of
/// the time of one enqueue in microseconds, with enqueues one after the other.
fn measure(group: &Group) -> (u64, u64, u128, u128) {
    let couriers: Vec<_> = group.worlds.iter().map(World::start).collect();
    let world = &group.worlds[0];
    std::thread::sleep(Duration::from_secs(2));
    let before = couriers[0].cpu_ticks();
    std::thread::sleep(Duration::from_secs(10));
    let ticks = couriers[0].cpu_ticks() - before;
    let mut client = couriers[0].client();
    let mut took: Vec<u128> = Vec::new();
    for number in 0..2000 {
        let (key, class) = ((number + 1).to_string(), format!("notice,k=a{number}"));
        let begun = Instant::now();
        assert_eq!(client.enqueue(&format!("a{number}"), &key, &class, 1, b"x"), "+OK");
        took.push(begun.elapsed().as_micros());
        world.next_call().answer("200 OK", "");
    }
    took.sort_unstable();
    (ticks, couriers[0].resident_kib(), took[1000], took[1980])
}

/// Prints what belonging to a quiet group costs a courier. The environment variable `GROUP_COSTS` sets the number of runs.
#[test]
fn print_the_costs_of_a_quiet_group() {
    let times = std::env::var("GROUP_COSTS").ok().and_then(|times| times.parse().ok()).unwrap_or(0);
    for _ in 0..times {
        for is_in_group in [true, false] {
            let mut group = Group::with_one_partner(3);
            if !is_in_group {
                let off = |world: &mut World| world.environment.retain(|(name, _)| name != "GULLCART_GROUP");
                group.worlds.iter_mut().for_each(off);
            }
            let (ticks, memory, p50, p99) = measure(&group);
            println!("group {is_in_group}: {ticks} ticks in 10 s, {memory} KiB, enqueues p50 {p50} us, p99 {p99} us");
        }
    }
}
