//! Simulates random outages for several numbers of couriers and checks that the partner never collapses when it returns: the
//! calls of all couriers stay within the allowed number N plus a tolerance for random variation, 2 * sqrt(N) + 2.
//!
//! `GULLCART_RETURNS` sets the number of simulations for each number of couriers; the default is 60.

mod common;

use common::crowd::{simulate, OutageKind, Plan, ReturnRules, DEFAULT_RULES};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::time::Duration;

/// A long warm-up with little capacity at first, as with payroll systems.
const SLOW_WARM_UP: ReturnRules = ReturnRules {
    cold_capacity_share: 0.16,
    warm_up: Duration::from_secs(14),
    collapse_multiple: 2.5,
    collapse_window: Duration::from_secs(2),
    deadline: Duration::from_secs(24),
};
/// The load that the partner survives is little more than its capacity.
const TIGHT_BUDGET: ReturnRules = ReturnRules {
    cold_capacity_share: 0.3,
    warm_up: Duration::from_secs(10),
    collapse_multiple: 1.5,
    collapse_window: Duration::from_secs(2),
    deadline: Duration::from_secs(28),
};

fn random_plan(couriers: u32, seed: u64) -> Plan {
    let mut rng = fastrand::Rng::with_seed(seed * 31 + u64::from(couriers));
    let mut pick = |from: &[f64]| from[rng.usize(..from.len())];
    let outage = match pick(&[0.0, 1.0, 2.0, 3.0]) as usize {
        0 => OutageKind::ClosedWithRetryAfter,
        1 => OutageKind::Closed,
        2 => OutageKind::Down,
        _ => OutageKind::Hung,
    };
    let return_rules = [DEFAULT_RULES, SLOW_WARM_UP, TIGHT_BUDGET][pick(&[0.0, 1.0, 2.0]) as usize];
    let (capacity, load) = (pick(&[3.0, 6.0, 12.0, 30.0, 80.0]), pick(&[0.5, 0.8, 1.2]));
    let (listed_factor, restarts) = (pick(&[0.8, 1.0]), pick(&[0.0, 0.3, 0.7]));
    Plan { outage, couriers, capacity, listed_factor, load, batch: 1, restarts, return_rules, seed }
}

#[test]
fn no_partner_collapses_after_an_outage_with_any_number_of_couriers() {
    let returns: u64 =
        std::env::var("GULLCART_RETURNS").ok().and_then(|text| text.parse().ok()).unwrap_or(60);
    let mut failed = Vec::new();
    for couriers in [1, 3, 20, 30, 100, 350] {
        let (next_seed, results) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
        std::thread::scope(|scope| {
            for _ in 0..std::thread::available_parallelism().map_or(2, usize::from) {
                scope.spawn(|| loop {
                    let seed = next_seed.fetch_add(1, Ordering::SeqCst) as u64;
                    if seed >= returns {
                        return;
                    }
                    let plan = random_plan(couriers, seed + 1);
                    let result = simulate(plan);
                    results.lock().unwrap().push((plan, result));
                });
            }
        });
        let mut results = results.into_inner().unwrap();
        results.sort_by(|a, b| a.1.max_relative_load_of_all.total_cmp(&b.1.max_relative_load_of_all));
        let at = |part: f64| results[((results.len() - 1) as f64 * part) as usize].1.max_relative_load_of_all;
        let mean = |of: &dyn Fn(&common::crowd::Results) -> f64| {
            results.iter().map(|(_, result)| of(result)).sum::<f64>() / results.len() as f64
        };
        let collapses = results.iter().filter(|(_, result)| result.max_relative_load_of_all > 1.0).count();
        println!(
            "{couriers:4} couriers, {returns} returns: relative load p50 {:.2} p90 {:.2} p99 {:.2} max {:.2}, {collapses} collapses; \
             delivered {:.3}, recovered after {:.1} s",
            at(0.5), at(0.9), at(0.99), at(1.0),
            mean(&|result| result.delivered),
            mean(&|result| result.recovered_after.unwrap_or(14.0)),
        );
        failed.extend(results.into_iter().filter(|(_, result)| result.max_relative_load_of_all > 1.0).map(|(plan, result)| {
            format!(
                "{couriers} couriers, {:?}, {} calls a second, listed factor {}, load {}, restarts {}, {:?}, seed {}: {:.2}",
                plan.outage, plan.capacity, plan.listed_factor, plan.load, plan.restarts, plan.return_rules, plan.seed, result.max_relative_load_of_all
            )
        }));
    }
    assert!(
        failed.is_empty(),
        "{} collapses: {:#?}",
        failed.len(),
        &failed[failed.len().saturating_sub(40)..]
    );
}
