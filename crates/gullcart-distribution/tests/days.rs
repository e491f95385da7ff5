//! Days of a small fleet in virtual time, undisturbed and disturbed.

mod simulation;

use std::time::Duration;

use gullcart_distribution::scope::Scope;
use simulation::day::{play, Course};
use simulation::plan::Plan;
use simulation::Fleet;

fn started(plan: Plan) -> Fleet {
    let mut fleet = Fleet::new(plan);
    fleet.run_for(Duration::from_secs(10));
    fleet.converged().expect("started");
    fleet.reset_counters();
    fleet
}

#[test]
fn a_fleet_starts_and_a_change_reaches_all() {
    let mut fleet = started(Plan::small(1));
    fleet.set(Scope::Global, 0);
    fleet.run_for(Duration::from_secs(3));
    fleet.converged().unwrap();
    assert_eq!(fleet.judge.violations, Default::default(), "{:?}", fleet.judge.examples);
    println!("{:?} {:?}", fleet.judge.in_force_micros, fleet.errors);
}

/// The share of couriers that may not act, over a span without faults.
fn share_not_current(fleet: &mut Fleet, span: Duration) -> f64 {
    fleet.reset_counters();
    fleet.run_sampled(span);
    fleet.not_current_samples as f64 / fleet.samples as f64
}

#[test]
fn scopes_that_are_wanted_no_longer_are_released_without_losing_a_lease() {
    let plan = Plan {
        regions: 1,
        zones: 2,
        couriers_per_zone: 400,
        couriers: 420,
        latency_in_region: 40_000,
        ..Plan::small(1)
    };
    let mut fleet = started(plan);
    // Most have to wait for their snapshots, and ask the other relay meanwhile.
    for courier in 0..400 {
        fleet.restart_courier(courier, Duration::from_millis(100));
    }
    fleet.run_for(Duration::from_secs(10));
    assert_eq!(share_not_current(&mut fleet, Duration::from_secs(35)), 0.0);
    assert_sound(&fleet);
}

fn assert_sound(fleet: &Fleet) {
    assert_eq!(
        fleet.judge.violations,
        Default::default(),
        "seed {}: {:?}",
        fleet.plan.seed,
        fleet.judge.examples
    );
    if let Err(what) = fleet.converged() {
        panic!("seed {}: {what}; errors {:?}", fleet.plan.seed, fleet.errors);
    }
}

#[test]
fn disturbed_days_end_well() {
    let seeds: std::ops::Range<u64> = match std::env::var("DAYS") {
        Ok(days) => 0..days.parse().unwrap(),
        Err(_) => 0..30,
    };
    for seed in seeds {
        let fleet = play(Plan::small(seed), Course::default());
        assert_sound(&fleet);
    }
}
