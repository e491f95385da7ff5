//! Three couriers of one group, and a partner in an outage that all of them have messages for.

mod common;

use common::{Group, PATIENCE};
use gullcart_standins::world::*;
use std::time::{Duration, Instant};

const DUTY: &str = "trials/1";
/// What the messages of each courier begin with.
const LETTERS: [char; 3] = ['a', 'b', 'c'];

/// Tries for the partner by courier, from the first letter of the message.
fn tries(calls: &[(String, Instant)]) -> Vec<(char, usize)> {
    let mut all: std::collections::BTreeMap<char, usize> = Default::default();
    for (id, _) in calls {
        *all.entry(id.chars().next().unwrap()).or_default() += 1;
    }
    all.into_iter().collect()
}

/// Refuses or answers the calls that come for so long; which they were.
fn partner(world: &World, span: Duration, answer: &str) -> Vec<(String, Instant)> {
    let end = Instant::now() + span;
    let mut seen = Vec::new();
    while let Some(call) = world.call_until(end) {
        seen.push((call.id.clone(), Instant::now()));
        call.answer(answer, "");
    }
    seen
}

fn enqueue(courier: &Courier, letter: char, from: usize, count: usize) {
    let mut client = courier.client();
    for number in from..from + count {
        // An order key and an idempotency key of its own.
        let (key, class) = ((number + 1).to_string(), format!("notice,k={letter}{number}"));
        assert_eq!(client.enqueue(&format!("{letter}{number}"), &key, &class, 1, b"x"), "+OK");
    }
}

/// Plays an outage until one courier has the duty and all others know that.
fn until_held(group: &Group) -> usize {
    let begun = Instant::now();
    loop {
        partner(&group.worlds[0], Duration::from_millis(300), "500 Down");
        let held: Vec<usize> = (0..3).filter(|place| group.holds(*place, DUTY)).collect();
        let known = (0..3).all(|place| group.knows_holder(place, DUTY));
        if let ([holder], true) = (&held[..], known) {
            return *holder;
        }
        assert!(begun.elapsed() < PATIENCE, "nobody has the duty");
    }
}

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
fn one_courier_tries_for_all_and_all_hear_when_the_partner_is_back() {
    let group = Group::with_one_partner(30);
    let mut couriers = start(&group);
    let world = &group.worlds[0];
    let holder = until_held(&group);
    partner(world, Duration::from_millis(100), "500 Down");
    let down = partner(world, Duration::from_secs(2), "500 Down");
    let letter = LETTERS[holder];
    // It may have passed the duty on meanwhile, where this took longer than two falls.
    let by_holder = down.iter().filter(|(id, _)| id.starts_with(letter)).count();
    println!("tries in 2 s: {:?}", tries(&down));
    assert!(by_holder > 0 && 2 * by_holder > down.len(), "{holder}: {:?}", tries(&down));
    // The holder dies; another one tries on.
    couriers[holder].take().map(Courier::kill);
    let other = LETTERS.into_iter().filter(|other| *other != letter).collect::<Vec<_>>();
    let killed = Instant::now();
    let next = loop {
        let tried = partner(world, Duration::from_millis(100), "500 Down");
        let held = (0..3).find(|place| *place != holder && group.holds(*place, DUTY));
        let is_tried = tried.iter().any(|(id, _)| id.starts_with(&other[..]));
        if let Some(held) = held.filter(|_| is_tried) {
            break held;
        }
        assert!(killed.elapsed() < PATIENCE, "nobody tries on");
    };
    println!("another one, {next}, tries after {:?}", killed.elapsed());
    // Back: all that are left hear of it, and deliver.
    let back = Instant::now();
    let mut served = std::collections::BTreeSet::new();
    while !other.iter().all(|letter| served.iter().any(|id: &String| id.starts_with(*letter))) {
        served.extend(partner(world, Duration::from_millis(50), "200 OK").into_iter().map(|(id, _)| id));
        assert!(back.elapsed() < PATIENCE, "{served:?}");
    }
    println!("both are served after {:?}", back.elapsed());
}

/// The holder moves to another process in the middle of an outage, and holds on under the same epoch.
#[test]
fn an_upgrade_of_the_holder_keeps_the_duty() {
    let group = Group::with_one_partner(30);
    let mut couriers = start(&group);
    let epoch = |place: usize| {
        let duties = group.status(place).map(|status| status.duties).unwrap_or_default();
        let held = duties.iter().find(|duty| duty.name == DUTY && duty.holder == Some(place as u64 + 1));
        held.and_then(|duty| duty.epoch)
    };
    // A holder that gets nowhere passes it on after four seconds, which may be just then.
    for _ in 0..8 {
        let holder = until_held(&group);
        let before = epoch(holder);
        let new = group.worlds[holder].start();
        let old = couriers[holder].replace(new);
        group.until(holder, "the new process is heard of", |status| {
            status.reachable_members.len() == 2 && status.votes
        });
        let after = epoch(holder);
        drop(old);
        println!("epoch {before:?} before, {after:?} after");
        if before.is_some() && before == after && group.holds(holder, DUTY) {
            return;
        }
    }
    panic!("no upgrade keeps the duty");
}

/// How an outage goes: tries in three seconds of it, and how long the last of three couriers takes to its first service after.
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
    partner(world, Duration::from_secs(2), "500 Down");
    if is_in_group {
        until_held(group);
    }
    let tries = partner(world, Duration::from_secs(3), "500 Down").len();
    for (courier, letter) in couriers.iter().flatten().zip(LETTERS) {
        enqueue(courier, letter, 100, 5);
    }
    let back = Instant::now();
    let mut served: Vec<String> = Vec::new();
    while !LETTERS.iter().all(|letter| served.iter().any(|id| id.starts_with(*letter))) {
        served.extend(partner(world, Duration::from_millis(5), "200 OK").into_iter().map(|(id, _)| id));
        assert!(back.elapsed() < PATIENCE, "{served:?}");
    }
    (tries, back.elapsed())
}

#[test]
fn a_group_tries_less_than_couriers_alone() {
    let with = outage(&Group::with_one_partner(30), true);
    let mut alone = Group::with_one_partner(30);
    alone.worlds.iter_mut().for_each(|world| world.variables.retain(|(name, _)| name != "GULLCART_GROUP"));
    let without = outage(&alone, false);
    println!("three couriers, tries in 3 s and time to the first service of the last: {with:?} in a group, {without:?} alone");
    assert!(2 * with.0 < 3 * without.0.max(1), "{with:?} {without:?}");
}

/// Processor time in clock ticks, and memory in KiB, of a courier in ten seconds of nothing; and its hand-ins' 50th and 99th
/// percentiles in microseconds, one after the other.
fn costs(group: &Group) -> (u64, u64, u128, u128) {
    let couriers: Vec<_> = group.worlds.iter().map(World::start).collect();
    let world = &group.worlds[0];
    std::thread::sleep(Duration::from_secs(2));
    let before = couriers[0].ticks();
    std::thread::sleep(Duration::from_secs(10));
    let ticks = couriers[0].ticks() - before;
    let mut client = couriers[0].client();
    let mut took: Vec<u128> = Vec::new();
    for number in 0..2000 {
        let (key, class) = ((number + 1).to_string(), format!("notice,k=a{number}"));
        let begun = Instant::now();
        assert_eq!(client.enqueue(&format!("a{number}"), &key, &class, 1, b"x"), "+OK");
        took.push(begun.elapsed().as_micros());
        world.call().answer("200 OK", "");
    }
    took.sort_unstable();
    (ticks, couriers[0].memory(), took[1000], took[1980])
}

/// What belonging to a quiet group costs a courier. `GROUP_COSTS` says how often it is played.
#[test]
fn what_a_quiet_group_costs() {
    let times = std::env::var("GROUP_COSTS").ok().and_then(|times| times.parse().ok()).unwrap_or(0);
    for _ in 0..times {
        for is_in_group in [true, false] {
            let mut group = Group::with_one_partner(3);
            if !is_in_group {
                let off = |world: &mut World| world.variables.retain(|(name, _)| name != "GULLCART_GROUP");
                group.worlds.iter_mut().for_each(off);
            }
            let (ticks, memory, p50, p99) = costs(&group);
            println!("group {is_in_group}: {ticks} ticks in 10 s, {memory} KiB, hand-ins p50 {p50} us, p99 {p99} us");
        }
    }
}
