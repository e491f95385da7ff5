//! Couriers with an injected fault that overloads a partner in its slow start are caught, in virtual time: the same seeds give
//! the same verdict on every machine.
//!
//! The partner's queue is longer than what such couriers can fill. With a queue of 40 calls, rejections slowed the couriers down
//! just at the collapse budget of the judge, so that about one seed in six broke no rule (49 of 60 seeds were caught in virtual
//! time, 5 of 6 and 7 of 8 in real time), and a test with a single seed in real time passed or failed by chance.
#![cfg(feature = "broken")]

use gullcart_emulator::{emulate, EmulationOptions};
use gullcart_judge::Rule;
use gullcart_rehearsal::{shipped, Scenario, Until};

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
