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
        Err(_) => 0..40,
    };
    for seed in seeds {
        let fleet = play(Plan::small(seed), Course::default());
        assert_sound(&fleet);
    }
}
