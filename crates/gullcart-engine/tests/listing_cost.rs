//! The time for a change of the list depends on the size of the change, not on the size of the list.

mod common;

use common::*;
use gullcart_engine::{Engine, Input, PROCESS_START};
use gullcart_journal::simulated::{Crash, Disk};
use gullcart_journal::Journal;
use gullcart_message::{ListingUpdate, Target};
use std::time::{Duration, Instant};

/// Size of the simulated folder in bytes.
const LARGE_DISK: u64 = 64 << 20;
/// Number of changes that are timed.
const CHANGES: u64 = 1_000;
/// A turn of the engine ends after this number of changes.
const TURN_EVERY: u64 = 50;
/// Maximum ratio of the times in the long and the short list. The long one has thirty times as many endpoints, so a search
/// through all of them would exceed it.
const MAX_RATIO: u32 = 8;

fn endpoint(number: u32, hint: f64) -> Target {
    Target { uid: format!("many-{number}"), pod_group: number, capacity_hint: hint, ..target(0, "SERVING") }
}

/// The shortest of the times that changes of one endpoint take in a list of `count` endpoints.
fn min_change_time(count: u32) -> Duration {
    let disk = Disk::new(LARGE_DISK, Crash::Process, 1);
    let journal = Journal::replay(disk, LARGE_DISK, options(Crash::Process), 7).unwrap();
    let mut config = config(PROCESS_START);
    config.initial_list.targets = (0..count).map(|number| endpoint(number, 20.0)).collect();
    let mut courier = Engine::new(config, journal);
    courier.turn(PROCESS_START).unwrap();
    let change_time = |rev: u64| {
        let number = (rev * 7919 % u64::from(count)) as u32;
        let change = ListingUpdate { rev, all: false, targets: vec![endpoint(number, 20.0 + rev as f64)] };
        let started_at = Instant::now();
        courier.handle(PROCESS_START, Input::ListUpdate(change));
        let took = started_at.elapsed();
        if rev.is_multiple_of(TURN_EVERY) {
            courier.turn(PROCESS_START).unwrap();
        }
        took
    };
    // The journal rewrites the list in steps, which add to the first changes. The minimum leaves these out.
    (2..CHANGES).map(change_time).min().unwrap_or_default()
}

#[test]
fn a_change_of_one_endpoint_takes_as_long_in_a_list_thirty_times_as_long() {
    let (short, long) = (min_change_time(1_000), min_change_time(30_000));
    println!("a change among 1,000: {short:?}, among 30,000: {long:?}");
    assert!(long < short * MAX_RATIO, "{short:?}, but {long:?} in the longer list");
}
