use super::*;
use gullcart_judge::Rule;

#[test]
fn listed_rules_have_two_faults_and_every_fault_has_a_built_in_scenario() {
    for FaultCase { fault, rule, scenario } in FAULT_CASES {
        assert!(Rule::from_name(rule).is_some(), "{fault}");
        assert!(gullcart_rehearsal::shipped(scenario).is_some(), "{fault}");
    }
    // The rule "destination" is not in this list: only one fault breaks it.
    for rule in ["lost", "twice", "drains", "returning", "order", "waits", "final-answer"] {
        assert!(FAULT_CASES.iter().filter(|case| case.rule == rule).count() >= 2, "{rule}");
    }
    assert!(FAULT_CASES.len() >= 16);
}
