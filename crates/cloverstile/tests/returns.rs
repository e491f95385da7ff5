//! A thousand cold returns for each size of the fleet, and how near each comes to a fall: what the settings allow, N, and
//! 2 x root of N + 2 beyond it for chance, over the calls of all couriers together.
//!
//! `GULLCART_RETURNS` sets how many are played for each size; a few are by themselves.

mod common;

use common::crowd::{live_through, OutageKind, Plan, Site, SITE};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::time::Duration;

/// Figures like those of payrolls, where a return is long and few calls are let in at first.
const SLOW: Site = Site {
    cold_capacity_share: 0.16,
    warm_up: Duration::from_secs(14),
    collapse_multiple: 2.5,
    collapse_window: Duration::from_secs(2),
    deadline: Duration::from_secs(24),
};
/// Little is allowed beyond what it can do.
const TIGHT: Site = Site {
    cold_capacity_share: 0.3,
    warm_up: Duration::from_secs(10),
    collapse_multiple: 1.5,
    collapse_window: Duration::from_secs(2),
    deadline: Duration::from_secs(28),
};

fn drawn(couriers: u32, seed: u64) -> Plan {
    let mut chance = fastrand::Rng::with_seed(seed * 31 + u64::from(couriers));
    let mut one = |from: &[f64]| from[chance.usize(..from.len())];
    let outage = match one(&[0.0, 1.0, 2.0, 3.0]) as usize {
        0 => OutageKind::ShutAndTells,
        1 => OutageKind::Shut,
        2 => OutageKind::Down,
        _ => OutageKind::Hung,
    };
    let site = [SITE, SLOW, TIGHT][one(&[0.0, 1.0, 2.0]) as usize];
    let (capacity, load) = (one(&[3.0, 6.0, 12.0, 30.0, 80.0]), one(&[0.5, 0.8, 1.2]));
    let (told, restarts) = (one(&[0.8, 1.0]), one(&[0.0, 0.3, 0.7]));
    Plan { outage, couriers, capacity, told, load, batch: 1, restarts, site, seed }
}

#[test]
fn no_return_falls_at_any_size_of_the_fleet() {
    let returns: u64 =
        std::env::var("GULLCART_RETURNS").ok().and_then(|text| text.parse().ok()).unwrap_or(60);
    let mut over = Vec::new();
    for couriers in [1, 3, 20, 30, 100, 350] {
        let (next, seen) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
        std::thread::scope(|scope| {
            for _ in 0..std::thread::available_parallelism().map_or(2, usize::from) {
                scope.spawn(|| loop {
                    let seed = next.fetch_add(1, Ordering::SeqCst) as u64;
                    if seed >= returns {
                        return;
                    }
                    let plan = drawn(couriers, seed + 1);
                    let life = live_through(plan);
                    seen.lock().unwrap().push((plan, life));
                });
            }
        });
        let mut seen = seen.into_inner().unwrap();
        seen.sort_by(|a, b| a.1.nearest.total_cmp(&b.1.nearest));
        let at = |part: f64| seen[((seen.len() - 1) as f64 * part) as usize].1.nearest;
        let mean = |of: &dyn Fn(&common::crowd::Seen) -> f64| {
            seen.iter().map(|(_, life)| of(life)).sum::<f64>() / seen.len() as f64
        };
        let falls = seen.iter().filter(|(_, life)| life.nearest > 1.0).count();
        println!(
            "{couriers:4} couriers, {returns} returns: nearest p50 {:.2} p90 {:.2} p99 {:.2} worst {:.2}, {falls} falls; \
             delivered {:.3}, full after {:.1} s",
            at(0.5), at(0.9), at(0.99), at(1.0),
            mean(&|life| life.delivered),
            mean(&|life| life.full_after.unwrap_or(14.0)),
        );
        over.extend(seen.into_iter().filter(|(_, life)| life.nearest > 1.0).map(|(plan, life)| {
            format!(
                "{couriers} couriers, {:?}, {} calls a second, told {}, load {}, restarts {}, {:?}, seed {}: {:.2}",
                plan.outage, plan.capacity, plan.told, plan.load, plan.restarts, plan.site, plan.seed, life.nearest
            )
        }));
    }
    assert!(over.is_empty(), "{} falls: {:#?}", over.len(), &over[over.len().saturating_sub(40)..]);
}
