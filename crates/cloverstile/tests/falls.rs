//! What all couriers that saw an outage send together must not push the partner over when it comes back: the
//! most that they send in a fall window, over what the partner survives, for crowds of several sizes.

mod common;

use common::crowd::{live_through, OutageKind, Plan, SITE};

const CROWD: Plan = Plan {
    outage: OutageKind::Down,
    couriers: 200,
    capacity: 60.0,
    told: 1.0,
    load: 0.8,
    batch: 1,
    restarts: 0.0,
    site: SITE,
    seed: 1,
};

/// Every plan with a few seeds stays inside the budget, and the crowd is not starved either.
fn keeps_budget(plans: &[Plan]) {
    for plan in plans {
        for seed in 1..=3 {
            let seen = live_through(Plan { seed, ..*plan });
            let case = format!(
                "{:?}, {} couriers, {} calls a second, told {}, batches of {}, load {}, seed {seed}",
                plan.outage, plan.couriers, plan.capacity, plan.told, plan.batch, plan.load
            );
            assert!(seen.worst <= 1.0, "{case}: {:.2} of what it survives", seen.worst);
            assert!(seen.delivered * plan.load > 0.05, "{case}: only {:.2} delivered", seen.delivered);
        }
    }
}

/// Issue of later mandeville (Ld0af66): all whom a shut door had told when it opens came back at that moment.
#[test]
fn a_told_opening_gathers_nobody() {
    let told = Plan { outage: OutageKind::ShutAndTells, ..CROWD };
    let small = Plan { capacity: 20.0, ..told };
    let tiny = Plan { capacity: 6.0, ..told };
    let few = Plan { couriers: 20, ..small };
    keeps_budget(&[told, small, tiny, few, Plan { load: 1.5, ..told }]);
}

/// Hunted day h562547: what waits at each courier set the slowest pace after refusals, and added up.
#[test]
fn refusals_without_a_word_slow_all_down() {
    let shut = Plan { outage: OutageKind::Shut, ..CROWD };
    let small = Plan { capacity: 20.0, ..shut };
    let tiny = Plan { capacity: 12.0, ..shut };
    let hot = Plan { load: 4.0, ..small };
    keeps_budget(&[shut, small, tiny, hot, Plan { load: 1.5, ..shut }, Plan { batch: 20, ..shut }]);
}

/// Hunted day h1c8921: trials by own demand add up to the demand, and a hot partner has many times its limit.
#[test]
fn trials_and_slow_starts_share_one_budget() {
    for outage in [OutageKind::Down, OutageKind::Hung] {
        let out = Plan { outage, ..CROWD };
        let hot = Plan { load: 1.5, ..out };
        let hotter = Plan { load: 4.0, capacity: 20.0, ..out };
        let listed_too_high = Plan { told: 1.5, ..out };
        let tiny = Plan { capacity: 6.0, ..out };
        let few = Plan { couriers: 20, capacity: 20.0, ..out };
        keeps_budget(&[out, hot, hotter, listed_too_high, tiny, few, Plan { batch: 20, ..out }]);
    }
}
