//! Couriers that push a returning partner over, in virtual time: the same seeds, and so the same verdict, on any machine.
//!
//! In real time one seed was chance: with a queue of 40 at the partner the flood met refusals right at the budget, slowed down,
//! and one time in six stayed inside (49 of 60 seeds here, 5 of 6 and 7 of 8 there).
#![cfg(feature = "broken")]

use gullcart_emulator::{emulate, Options};
use gullcart_judge::Rule;
use gullcart_rehearsal::{shipped, Scenario, Until};

const SEEDS: u64 = 20;

/// Seeds of the day on which the rule is broken.
fn caught(fault: Option<&str>) -> Vec<u64> {
    let text = shipped("cold-return").unwrap().text;
    let scenario = Scenario::read("cold-return", text).unwrap_or_else(|error| panic!("{error}"));
    let breaks = |seed: &u64| {
        let options = Options { seed: *seed, until: Until::TheEnd, broken: fault };
        let day = emulate(&scenario, options, |_| {}).unwrap();
        day.report.broken.contains_key(&Rule::Returning)
    };
    (1..=SEEDS).filter(breaks).collect()
}

#[test]
fn who_takes_a_returning_partner_for_warm_is_caught_and_nobody_else() {
    for fault in ["overestimates-cold", "rushes-cold"] {
        let seeds = caught(Some(fault));
        assert!(seeds.len() as u64 >= SEEDS - 1, "{fault}: {seeds:?} of {SEEDS}");
    }
    assert_eq!(caught(None), Vec::<u64>::new());
}
