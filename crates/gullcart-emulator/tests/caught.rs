//! Couriers with an injected fault that overloads a partner in its slow start break the rule against that, and are caught. In
//! virtual time the same seeds give the same verdict on every machine.
//!
//! The scenario's queue at the partner is longer than what such couriers can fill. A queue of 40 calls rejected so many calls that
//! the couriers slowed down just before the overload that the judge allows, and about one seed in six was not caught (49 of 60
//! were caught in virtual time, 5 of 6 and 7 of 8 in real time). A test of one seed in real time therefore depended on chance.
#![cfg(feature = "broken")]

use gullcart_emulator::{emulate, EmulationOptions};
use gullcart_judge::Rule;
use gullcart_rehearsal::{shipped, Scenario, Until};

/// Number of seeds to run; one of them may go uncaught.
const SEEDS: u64 = 20;

/// The seeds with which the rule `Returning` is broken in the scenario `cold-return`.
fn caught_seeds(fault: Option<&str>) -> Vec<u64> {
    let text = shipped("cold-return").unwrap().text;
    let scenario = Scenario::read("cold-return", text).unwrap_or_else(|error| panic!("{error}"));
    let breaks_rule = |seed: &u64| {
        let options = EmulationOptions { seed: *seed, until: Until::TheEnd, injected_fault: fault };
        let run = emulate(&scenario, options, |_| {}).unwrap();
        run.report.broken.contains_key(&Rule::Returning)
    };
    (1..=SEEDS).filter(breaks_rule).collect()
}

#[test]
fn only_couriers_that_overload_a_partner_in_its_slow_start_are_caught() {
    for fault in ["overestimates-cold", "rushes-cold"] {
        let seeds = caught_seeds(Some(fault));
        assert!(seeds.len() as u64 >= SEEDS - 1, "{fault}: {seeds:?} of {SEEDS}");
    }
    assert_eq!(caught_seeds(None), Vec::<u64>::new());
}
