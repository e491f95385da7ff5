//! Properties over generated courses of a small topology: a source, a region, two zones, four couriers.

mod simulation;

use std::time::Duration;

use gullcart_distribution::limits::{FRAME_BYTES, MAX_VALUE_BYTES, WINDOW_BYTES};
use gullcart_distribution::position::Position;
use gullcart_distribution::scope::Scope;
use proptest::prelude::*;
use simulation::node::{Machine, NodeId};
use simulation::plan::{MessageFaults, Plan};
use simulation::Fleet;

/// The relays: one of the region, then those of the zones.
const RELAYS: usize = 3;
const COURIERS: usize = 4;

/// Something that happens.
#[derive(Clone, Copy, Debug)]
enum Step {
    Set { courier: usize, scope: usize, number: usize },
    Remove { courier: usize, scope: usize, number: usize },
    Burst { courier: usize, scope: usize, count: usize },
    Pass { millis: u64 },
    Break { node: usize },
    CrashRelay { relay: usize, millis: u64 },
    RestartCourier { courier: usize, millis: u64 },
    Stop { node: usize, millis: u64 },
    Cut { millis: u64 },
    Slow { courier: usize, bytes_per_second: u64 },
    Spoil { node: usize, scope: usize, number: usize },
    NewWriter,
}

fn steps() -> impl Strategy<Value = Step> {
    let courier = 0..COURIERS;
    let scope = 0..6usize;
    let number = 0..8usize;
    let node = 0..RELAYS + COURIERS;
    prop_oneof![
        6 => (courier.clone(), scope.clone(), number.clone())
            .prop_map(|(courier, scope, number)| Step::Set { courier, scope, number }),
        3 => (courier.clone(), scope.clone(), number.clone())
            .prop_map(|(courier, scope, number)| Step::Remove { courier, scope, number }),
        1 => (courier.clone(), scope.clone(), 50..200usize)
            .prop_map(|(courier, scope, count)| Step::Burst { courier, scope, count }),
        8 => (1..900u64).prop_map(|millis| Step::Pass { millis }),
        1 => node.clone().prop_map(|node| Step::Break { node }),
        1 => (0..RELAYS, 10..3_000u64).prop_map(|(relay, millis)| Step::CrashRelay { relay, millis }),
        1 => (courier.clone(), 10..3_000u64)
            .prop_map(|(courier, millis)| Step::RestartCourier { courier, millis }),
        1 => (node.clone(), 10..5_000u64).prop_map(|(node, millis)| Step::Stop { node, millis }),
        1 => (10..8_000u64).prop_map(|millis| Step::Cut { millis }),
        1 => (courier, 4_000..50_000u64)
            .prop_map(|(courier, bytes_per_second)| Step::Slow { courier, bytes_per_second }),
        1 => (node, scope, number).prop_map(|(node, scope, number)| Step::Spoil { node, scope, number }),
        1 => Just(Step::NewWriter),
    ]
}

fn node(number: usize) -> NodeId {
    match number.checked_sub(RELAYS) {
        Some(courier) => NodeId::Courier(courier),
        None => NodeId::Relay(number),
    }
}

fn plan(seed: u64, faults: MessageFaults) -> Plan {
    Plan {
        regions: 1,
        zones: 2,
        couriers_per_zone: 2,
        couriers: COURIERS,
        shares_per_zone: 3,
        faults,
        ..Plan::small(seed)
    }
}

fn take(fleet: &mut Fleet, step: Step) {
    let scope_of = |fleet: &Fleet, courier: usize, scope: usize| -> Scope {
        let scopes = fleet.plan.scopes_of(courier);
        scopes[scope % scopes.len()]
    };
    match step {
        Step::Set { courier, scope, number } => fleet.set(scope_of(fleet, courier, scope), number),
        Step::Remove { courier, scope, number } => fleet.remove(scope_of(fleet, courier, scope), number),
        Step::Burst { courier, scope, count } => {
            let scope = scope_of(fleet, courier, scope);
            (0..count).for_each(|number| fleet.set(scope, number));
        }
        Step::Pass { millis } => fleet.run_for(Duration::from_millis(millis)),
        Step::Break { node: number } => fleet.break_uplink(node(number)),
        Step::CrashRelay { relay, millis } => fleet.crash_relay(relay, Duration::from_millis(millis)),
        Step::RestartCourier { courier, millis } => {
            fleet.restart_courier(courier, Duration::from_millis(millis));
        }
        Step::Stop { node: number, millis } => fleet.stop(node(number), Duration::from_millis(millis)),
        Step::Cut { millis } => {
            fleet.cut_region(0);
            fleet.run_for(Duration::from_millis(millis));
            fleet.heal_region(0);
        }
        Step::Slow { courier, bytes_per_second } => fleet.slow_down(courier, bytes_per_second),
        Step::Spoil { node: number, scope, number: key } => {
            let scope = scope_of(fleet, number.saturating_sub(RELAYS), scope);
            fleet.spoil(node(number), scope, key);
        }
        Step::NewWriter => fleet.replace_source(Duration::from_millis(1)),
    }
}

/// How many courses are tried; `PROPTEST_CASES` asks for more.
fn cases() -> u32 {
    std::env::var("PROPTEST_CASES").ok().and_then(|cases| cases.parse().ok()).unwrap_or(96)
}

/// Nothing waits beyond its bound, and no position goes back while a courier lives.
fn check_bounds(fleet: &Fleet) -> Result<(), TestCaseError> {
    for (id, node) in fleet.nodes() {
        if let Machine::Relay(relay) = &node.machine {
            prop_assert!(
                relay.peaks().window_bytes <= WINDOW_BYTES + FRAME_BYTES + MAX_VALUE_BYTES,
                "{:?}",
                id
            );
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: cases(), max_shrink_iters: 400, ..ProptestConfig::default() })]

    /// The judge compares each courier after each of its calls with what the source had at that position, and looks that
    /// nobody acts on what a change in force has replaced; see `simulation/judge.rs`.
    #[test]
    fn whatever_happens_states_are_whole_and_all_converge(
        seed in any::<u64>(),
        steps in proptest::collection::vec(steps(), 1..60),
        faulty in any::<bool>(),
    ) {
        let rate = if faulty { 0.01 } else { 0.0 };
        let faults = MessageFaults { loss: rate, duplicate: rate, reorder: rate };
        let mut fleet = Fleet::new(plan(seed, faults));
        fleet.run_for(Duration::from_secs(8));
        let mut positions = [Position::ORIGIN; COURIERS];
        for step in &steps {
            take(&mut fleet, *step);
            check_bounds(&fleet)?;
            for (courier, _, subscriber) in fleet.couriers() {
                let restarted = matches!(step, Step::RestartCourier { courier: other, .. } if *other == courier);
                prop_assert!(restarted || subscriber.position() >= positions[courier], "position went back");
                positions[courier] = subscriber.position();
            }
        }
        fleet.plan.faults = MessageFaults::default();
        fleet.run_for(Duration::from_secs(25));
        prop_assert_eq!(&fleet.judge.violations, &Default::default(), "{:?}", fleet.judge.examples);
        prop_assert_eq!(fleet.converged(), Ok(()));
    }

    /// The same seed gives the same trace.
    #[test]
    fn a_run_can_be_repeated(seed in any::<u64>(), steps in proptest::collection::vec(steps(), 1..15)) {
        let run = || {
            let mut fleet = Fleet::new(plan(seed, MessageFaults::default()));
            fleet.run_for(Duration::from_secs(3));
            steps.iter().for_each(|step| take(&mut fleet, *step));
            fleet.run_for(Duration::from_secs(5));
            let traffic: Vec<_> = fleet.nodes().map(|(_, node)| (node.traffic.bytes, node.traffic.messages)).collect();
            (traffic, fleet.judge.in_force_micros.clone())
        };
        prop_assert_eq!(run(), run());
    }
}
