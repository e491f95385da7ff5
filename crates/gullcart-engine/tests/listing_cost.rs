//! A change of the list costs by what it names, not by what is listed.

mod common;

use common::*;
use gullcart_engine::{Engine, Input, EPOCH};
use gullcart_journal::simulated::{Crash, Disk};
use gullcart_journal::Journal;
use gullcart_message::{Target, Update};
use std::time::{Duration, Instant};

const LARGE_DISK: u64 = 64 << 20;
const CHANGES: u64 = 1_000;
const TURN_EVERY: u64 = 50;
/// More than this is a walk over all that is listed: there are thirty times as many in the longer list.
const MOST_TIMES: u32 = 8;

fn listed(number: u32, hint: f64) -> Target {
    Target { uid: format!("many-{number}"), pod_group: number, capacity_hint: hint, ..target(0, "SERVING") }
}

/// The shortest time of many that a change of one endpoint takes, among so many.
fn change(count: u32) -> Duration {
    let disk = Disk::new(LARGE_DISK, Crash::Process, 1);
    let journal = Journal::replay(disk, LARGE_DISK, options(Crash::Process), 7).unwrap();
    let mut config = config(EPOCH);
    config.initial_list.targets = (0..count).map(|number| listed(number, 20.0)).collect();
    let mut courier = Engine::new(config, journal);
    courier.turn(EPOCH).unwrap();
    let one = |rev: u64| {
        let number = (rev * 7919 % u64::from(count)) as u32;
        let change = Update { rev, all: false, targets: vec![listed(number, 20.0 + rev as f64)] };
        let begun = Instant::now();
        courier.handle(EPOCH, Input::ListUpdate(change));
        let took = begun.elapsed();
        if rev.is_multiple_of(TURN_EVERY) {
            courier.turn(EPOCH).unwrap();
        }
        took
    };
    // Until the journal has written the list anew, every change brings a part of that with it.
    (2..CHANGES).map(one).min().unwrap_or_default()
}

#[test]
fn a_change_of_one_endpoint_costs_the_same_in_a_list_thirty_times_as_long() {
    let (short, long) = (change(1_000), change(30_000));
    println!("a change among 1,000: {short:?}, among 30,000: {long:?}");
    assert!(long < short * MOST_TIMES, "{short:?}, and {long:?} in the longer list");
}
