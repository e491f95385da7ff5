//! The days that ship, in virtual time: kept by the honest courier, the same each time, and like the rehearsals.

use gullcart_emulator::{emulate, Emulated, Options};
use gullcart_rehearsal::{shipped, Scenario, Until, Verdict};

fn scenario(name: &str) -> Scenario {
    let text = shipped(name).unwrap().text;
    Scenario::read(name, text).unwrap_or_else(|error| panic!("{error}"))
}

fn play(name: &str, seed: u64) -> Emulated {
    let options = Options { seed, until: Until::TheEnd, broken: None };
    emulate(&scenario(name), options, |_| {}).unwrap_or_else(|error| panic!("{name}, seed {seed}: {error}"))
}

#[test]
fn the_honest_courier_keeps_the_days_that_ship() {
    for name in ["smoke", "gauntlet", "cold-return", "overlap", "mid-drain", "restarts", "soak"] {
        for seed in 1..=3 {
            let day = play(name, seed);
            let report = &day.report;
            let first = report.breaches.first().map(|b| format!("{}\n{}", b.what, b.proof.join("\n")));
            assert_eq!(
                report.verdict,
                Verdict::Kept,
                "{name}, seed {seed}: {} {first:?}",
                report.service.combined
            );
            assert_eq!(report.remarks, Vec::<String>::new(), "{name}, seed {seed}");
            let counts = &report.counts;
            assert!(counts.delivered * 2 > counts.messages, "{name}, seed {seed}: {counts:?}");
        }
    }
}

#[test]
fn the_same_seed_gives_the_same_trace() {
    let (first, second, other) = (play("overlap", 7), play("overlap", 7), play("overlap", 8));
    assert_eq!((first.trace, first.entries, first.steps), (second.trace, second.entries, second.steps));
    assert_ne!(first.trace, other.trace);
    // On every machine: arithmetic and draws are the same everywhere.
    assert!(first.entries > 5000);
}
