//! The shipped scenarios in virtual time: couriers without an injected fault keep all rules, and a seed determines the trace.

use gullcart_emulator::{emulate, EmulatedRun, EmulationOptions};
use gullcart_rehearsal::{shipped, Scenario, Until, Verdict};

fn scenario(name: &str) -> Scenario {
    let text = shipped(name).unwrap().text;
    Scenario::read(name, text).unwrap_or_else(|error| panic!("{error}"))
}

fn run(name: &str, seed: u64) -> EmulatedRun {
    let options = EmulationOptions { seed, until: Until::TheEnd, injected_fault: None };
    emulate(&scenario(name), options, |_| {}).unwrap_or_else(|error| panic!("{name}, seed {seed}: {error}"))
}

#[test]
fn couriers_without_faults_keep_all_rules_in_the_shipped_scenarios() {
    for name in ["smoke", "gauntlet", "cold-return", "overlap", "mid-drain", "restarts", "soak"] {
        for seed in 1..=3 {
            let outcome = run(name, seed);
            let report = &outcome.report;
            let first_violation =
                report.breaches.first().map(|breach| format!("{}\n{}", breach.what, breach.proof.join("\n")));
            assert_eq!(
                report.verdict,
                Verdict::Kept,
                "{name}, seed {seed}: {} {first_violation:?}",
                report.service.combined
            );
            assert_eq!(report.remarks, Vec::<String>::new(), "{name}, seed {seed}");
            let counts = &report.counts;
            // A run that delivers hardly anything could keep all rules too.
            assert!(counts.delivered * 2 > counts.messages, "{name}, seed {seed}: {counts:?}");
        }
    }
}

#[test]
fn the_same_seed_gives_the_same_trace() {
    let (first, second, other) = (run("overlap", 7), run("overlap", 7), run("overlap", 8));
    let figures = |run: &EmulatedRun| (run.trace_checksum, run.trace_lines, run.scheduled_events);
    assert_eq!(figures(&first), figures(&second));
    assert_ne!(first.trace_checksum, other.trace_checksum);
    // The traces compared are not almost empty.
    assert!(first.trace_lines > 5000);
}
