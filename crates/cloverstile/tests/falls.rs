//! The calls of all couriers that saw an outage must not overload the partner when it returns. Compares the maximum load in
//! a collapse window with what the partner survives, for several numbers of couriers and kinds of outage.

mod common;

use common::crowd::{simulate, OutageKind, Plan, DEFAULT_RULES};

const BASE_PLAN: Plan = Plan {
    outage: OutageKind::Down,
    couriers: 200,
    capacity: 60.0,
    listed_factor: 1.0,
    load: 0.8,
    batch: 1,
    restarts: 0.0,
    return_rules: DEFAULT_RULES,
    seed: 1,
};

/// Asserts for each plan and a few seeds that the partner survives and that messages are still delivered.
fn assert_within_budget(plans: &[Plan]) {
    for plan in plans {
        for seed in 1..=3 {
            let results = simulate(Plan { seed, ..*plan });
            let case = format!(
                "{:?}, {} couriers, {} calls a second, listed factor {}, batches of {}, load {}, seed {seed}",
                plan.outage, plan.couriers, plan.capacity, plan.listed_factor, plan.batch, plan.load
            );
            assert!(
                results.max_relative_load <= 1.0,
                "{case}: {:.2} of the load that it survives",
                results.max_relative_load
            );
            assert!(results.delivered * plan.load > 0.05, "{case}: only {:.2} delivered", results.delivered);
        }
    }
}

/// Guards against couriers that all return at the retry-after time that a closed partner gave them.
#[test]
fn couriers_with_the_same_retry_after_time_do_not_return_together() {
    let closed = Plan { outage: OutageKind::ClosedWithRetryAfter, ..BASE_PLAN };
    let small = Plan { capacity: 20.0, ..closed };
    let tiny = Plan { capacity: 6.0, ..closed };
    let few_couriers = Plan { couriers: 20, ..small };
    assert_within_budget(&[closed, small, tiny, few_couriers, Plan { load: 1.5, ..closed }]);
}

/// Guards against minimum rates after rejections that follow the backlog of each courier: they add up over all couriers.
#[test]
fn rejections_without_a_retry_after_time_slow_all_couriers_down() {
    let closed = Plan { outage: OutageKind::Closed, ..BASE_PLAN };
    let small = Plan { capacity: 20.0, ..closed };
    let tiny = Plan { capacity: 12.0, ..closed };
    let overloaded = Plan { load: 4.0, ..small };
    assert_within_budget(&[
        closed,
        small,
        tiny,
        overloaded,
        Plan { load: 1.5, ..closed },
        Plan { batch: 20, ..closed },
    ]);
}

/// Guards against trial calls in proportion to the own demand: the demand of all couriers for an overloaded partner is many
/// times its limit.
#[test]
fn trial_calls_and_slow_starts_share_one_budget() {
    for outage in [OutageKind::Down, OutageKind::Hung] {
        let base = Plan { outage, ..BASE_PLAN };
        let overloaded = Plan { load: 1.5, ..base };
        let far_overloaded = Plan { load: 4.0, capacity: 20.0, ..base };
        let listed_too_high = Plan { listed_factor: 1.5, ..base };
        let tiny = Plan { capacity: 6.0, ..base };
        let few_couriers = Plan { couriers: 20, capacity: 20.0, ..base };
        assert_within_budget(&[
            base,
            overloaded,
            far_overloaded,
            listed_too_high,
            tiny,
            few_couriers,
            Plan { batch: 20, ..base },
        ]);
    }
}
