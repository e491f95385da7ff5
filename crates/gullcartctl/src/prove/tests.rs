use super::*;
use gullcart_judge::Rule;

#[test]
fn every_rule_has_two_faults_and_every_fault_a_scenario_that_ships() {
    for (fault, rule, scenario) in FAULTS {
        assert!(Rule::of(rule).is_some(), "{fault}");
        assert!(gullcart_rehearsal::shipped(scenario).is_some(), "{fault}");
    }
    for rule in ["lost", "twice", "drains", "returning", "order", "waits", "final-answer"] {
        assert!(FAULTS.iter().filter(|(_, of, _)| *of == rule).count() >= 2, "{rule}");
    }
    assert!(FAULTS.len() >= 16);
}
