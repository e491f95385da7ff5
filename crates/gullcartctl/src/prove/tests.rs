use super::*;
use gullcart_judge::Rule;

#[test]
fn every_rule_has_two_faults_and_every_fault_a_scenario_that_ships() {
    for FaultCase { fault, rule, scenario } in FAULT_CASES {
        assert!(Rule::of(rule).is_some(), "{fault}");
        assert!(gullcart_rehearsal::shipped(scenario).is_some(), "{fault}");
    }
    for rule in ["lost", "twice", "drains", "returning", "order", "waits", "final-answer"] {
        assert!(FAULT_CASES.iter().filter(|case| case.rule == rule).count() >= 2, "{rule}");
    }
    assert!(FAULT_CASES.len() >= 16);
}
