//! Crowds and slow readers: they cost a bounded amount, and hold nobody else up.

mod simulation;

use std::time::Duration;

use gullcart_distribution::guards::Guards;
use gullcart_distribution::limits::{LEASE, MAX_SNAPSHOTS_UNDER_WAY, SNAPSHOTS_PER_SECOND};
use gullcart_distribution::scope::Scope;
use gullcart_distribution::subscriber::Acting;
use simulation::judge::Violation;
use simulation::node::{Machine, NodeId};
use simulation::plan::Plan;
use simulation::Fleet;

/// Couriers of the zone that comes back.
const CROWD: usize = 150;

/// The couriers of both zones share a relay's region, and their state is larger than a window.
fn fleet(guards: Guards) -> Fleet {
    let plan = Plan {
        regions: 1,
        zones: 2,
        couriers_per_zone: CROWD,
        couriers: CROWD + 20,
        global_entries: 100,
        value_bytes: 1_000,
        latency_in_zone: 20_000,
        compares_always: false,
        guards,
        ..Plan::small(1)
    };
    let mut fleet = Fleet::new(plan);
    fleet.run_for(Duration::from_secs(15));
    fleet.converged().expect("started");
    fleet.reset_counters();
    fleet
}

fn return_of_the_crowd(fleet: &mut Fleet) {
    for courier in 0..CROWD {
        fleet.restart_courier(courier, Duration::from_millis(100));
    }
}

fn most_snapshots(fleet: &Fleet) -> usize {
    let snapshots = fleet.nodes().filter_map(|(_, node)| match &node.machine {
        Machine::Relay(relay) => Some(relay.peaks().snapshots),
        _ => None,
    });
    snapshots.max().unwrap_or(0)
}

/// Whether a courier may act on the settings of the fleet.
fn acts(fleet: &Fleet, number: usize) -> bool {
    let node = fleet.node(NodeId::Courier(number));
    let courier = node.upstream().expect("a courier");
    courier.acting(node.clock.local(fleet.now), Scope::Global) != Acting::NotCurrent
}

#[test]
fn a_zone_that_comes_back_is_served_at_the_stated_rate_and_delays_nobody() {
    let mut fleet = fleet(Guards::ALL);
    return_of_the_crowd(&mut fleet);
    let seconds = CROWD / SNAPSHOTS_PER_SECOND as usize + 3;
    for step in 0..seconds * 10 {
        fleet.run_for(Duration::from_millis(100));
        if step % 5 == 0 {
            fleet.set(Scope::Global, step % 100);
        }
        assert!((CROWD..CROWD + 20).all(|courier| acts(&fleet, courier)), "another zone lost its lease");
    }
    assert!((0..CROWD).all(|courier| acts(&fleet, courier)), "not all are back after {seconds} s");
    fleet.run_for(Duration::from_secs(3));
    assert_eq!(fleet.judge.violations, Default::default(), "{:?}", fleet.judge.examples);
    assert!(most_snapshots(&fleet) <= MAX_SNAPSHOTS_UNDER_WAY);
    let slowest = fleet.judge.in_force_micros.iter().max().expect("changes");
    assert!(*slowest <= simulation::micros(LEASE), "in force after {slowest} us");
}

#[test]
fn without_admission_a_zone_that_comes_back_is_served_all_at_once() {
    let mut fleet = fleet(Guards { admission: false, ..Guards::ALL });
    return_of_the_crowd(&mut fleet);
    fleet.run_for(Duration::from_secs(3));
    assert!(fleet.judge.violations.contains_key(&Violation::SnapshotsExceeded));
}

#[test]
fn a_slow_reader_is_sent_each_key_once_and_delays_nobody() {
    let mut fleet = fleet(Guards::ALL);
    fleet.slow_down(0, 20_000);
    for step in 0..300 {
        fleet.set(Scope::Global, step % 100);
        fleet.run_for(Duration::from_millis(3));
    }
    fleet.run_for(Duration::from_millis(900));
    let (last, of_others) = (fleet.node(NodeId::Courier(0)), fleet.node(NodeId::Courier(1)));
    let position = |node: &simulation::node::Node| node.upstream().expect("a courier").position();
    assert!(position(of_others) > position(last), "the slow one is behind");
    // 300 changes of 1 KB would take 15 s to read; what waited is coalesced to 100 keys, and a window was on the way.
    fleet.run_for(Duration::from_secs(9));
    fleet.converged().unwrap();
    assert_eq!(fleet.judge.violations, Default::default(), "{:?}", fleet.judge.examples);
    let slowest = fleet.judge.in_force_micros.iter().max().expect("changes");
    assert!(*slowest <= 2_700_000, "in force after {slowest} us");
}

#[test]
fn couriers_that_were_stopped_act_on_nothing_before_they_are_current() {
    let mut fleet = fleet(Guards::ALL);
    (0..CROWD).step_by(10).for_each(|courier| fleet.stop(NodeId::Courier(courier), Duration::from_secs(5)));
    fleet.run_for(Duration::from_millis(4_900));
    fleet.set(Scope::Global, 3);
    fleet.run_for(Duration::from_millis(50));
    assert!((0..CROWD).step_by(10).all(|courier| !acts(&fleet, courier)));
    fleet.run_for(Duration::from_secs(3));
    fleet.converged().unwrap();
    assert_eq!(fleet.judge.violations, Default::default(), "{:?}", fleet.judge.examples);
}
