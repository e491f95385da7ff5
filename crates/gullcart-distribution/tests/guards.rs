//! Each check is taken out, and what it is there to prevent is seen to happen.

mod simulation;

use std::time::Duration;

use gullcart_distribution::guards::Guards;
use simulation::day::{play, Course};
use simulation::judge::Violation;
use simulation::plan::{MessageFaults, Plan};

/// Days that are tried until the violation is found.
const DAYS: u64 = 200;

/// The first day on which a violation of this kind is found without the check, and none with it.
fn first_day_with(violation: Violation, without: impl Fn(&mut Guards), prepare: impl Fn(&mut Plan)) -> u64 {
    for seed in 0..DAYS {
        let mut plan = Plan::small(seed);
        prepare(&mut plan);
        without(&mut plan.guards);
        let fleet = play(plan.clone(), Course::default());
        if !fleet.judge.violations.contains_key(&violation) {
            continue;
        }
        plan.guards = Guards::ALL;
        let guarded = play(plan, Course::default());
        assert_eq!(guarded.judge.violations, Default::default(), "seed {seed}: {:?}", guarded.judge.examples);
        println!("{violation:?} on day {seed}: {}", fleet.judge.examples[&violation]);
        return seed;
    }
    panic!("{violation:?} was not found on {DAYS} days");
}

#[test]
fn without_the_lease_check_couriers_act_on_what_was_replaced() {
    first_day_with(Violation::ActsOnReplaced, |guards| guards.lease_check = false, |_| {});
}

#[test]
fn without_the_beginning_at_sending_leases_are_too_long() {
    let late_answers = |plan: &mut Plan| {
        plan.retransmission = 0.1;
        plan.retransmission_micros = 1_000_000;
    };
    first_day_with(Violation::ActsOnReplaced, |guards| guards.lease_from_sending = false, late_answers);
}

#[test]
fn without_delegation_leases_outlive_those_of_the_relay() {
    first_day_with(Violation::ActsOnReplaced, |guards| guards.lease_delegation = false, |_| {});
}

#[test]
fn without_the_leases_of_the_gone_changes_count_as_in_force_too_early() {
    first_day_with(Violation::ActsOnReplaced, |guards| guards.lease_of_the_gone = false, |_| {});
}

#[test]
fn without_the_epoch_fence_a_writer_that_is_over_changes_the_state() {
    first_day_with(Violation::ForeignWriter, |guards| guards.epoch_fence = false, |_| {});
}

#[test]
fn without_the_gap_check_lost_messages_spoil_the_state() {
    let lossy = |plan: &mut Plan| plan.faults = MessageFaults { loss: 0.02, duplicate: 0.02, reorder: 0.02 };
    first_day_with(Violation::ForeignState, |guards| guards.gap_check = false, lossy);
}

#[test]
fn without_the_digest_check_a_spoilt_entry_stays() {
    first_day_with(Violation::ForeignState, |guards| guards.digest_check = false, |_| {});
}

#[test]
fn without_atomic_application_half_of_a_change_is_acted_on() {
    first_day_with(Violation::ForeignState, |guards| guards.atomic_apply = false, |_| {});
}

#[test]
fn without_the_window_a_slow_reader_costs_memory() {
    let large = |plan: &mut Plan| {
        plan.global_entries = 400;
        plan.value_bytes = 1_000;
    };
    first_day_with(Violation::WindowExceeded, |guards| guards.window = false, large);
}

#[test]
fn with_lost_doubled_and_reordered_messages_days_end_well() {
    for seed in 0..10 {
        let mut plan = Plan::small(seed);
        plan.faults = MessageFaults { loss: 0.01, duplicate: 0.01, reorder: 0.01 };
        let mut fleet = play(plan, Course::default());
        assert_eq!(fleet.judge.violations, Default::default(), "seed {seed}: {:?}", fleet.judge.examples);
        fleet.plan.faults = MessageFaults::default();
        fleet.run_for(Duration::from_secs(20));
        fleet.converged().unwrap();
    }
}
