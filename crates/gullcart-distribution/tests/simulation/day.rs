//! A disturbed day: changes and faults at random, then quiet.

use std::time::Duration;

use fastrand::Rng;
use gullcart_distribution::position::Epoch;
use gullcart_distribution::scope::{Scope, Value};

use super::node::NodeId;
use super::plan::Plan;
use super::Fleet;

/// How a day goes.
#[derive(Clone, Copy, Debug)]
pub struct Course {
    /// How long it is disturbed.
    pub disturbed: Duration,
    /// How long it is quiet afterwards.
    pub quiet: Duration,
    /// Time between two things that happen, on average.
    pub pause: Duration,
    /// Out of this many things, one is a fault; the others are changes.
    pub changes_per_fault: u64,
    /// Whether entries are spoilt.
    pub spoils: bool,
}

impl Default for Course {
    fn default() -> Self {
        Self {
            disturbed: Duration::from_secs(20),
            quiet: Duration::from_secs(25),
            pause: Duration::from_millis(100),
            changes_per_fault: 3,
            spoils: true,
        }
    }
}

/// Plays a day. What was wrong is in the fleet's judge.
pub fn play(plan: Plan, course: Course) -> Fleet {
    let mut random = Rng::with_seed(plan.seed ^ 0xdad);
    let mut fleet = Fleet::new(plan);
    fleet.run_for(Duration::from_secs(9));
    let end = fleet.now + super::micros(course.disturbed);
    let mut cut = None;
    while fleet.now < end {
        let pause = random.u64(0..=2 * super::micros(course.pause));
        fleet.run_for(Duration::from_micros(pause));
        if random.u64(0..course.changes_per_fault) == 0 {
            disturb(&mut fleet, &mut random, &mut cut, course);
        } else {
            change(&mut fleet, &mut random);
        }
    }
    if let Some(region) = cut {
        fleet.heal_region(region);
    }
    fleet.run_for(course.quiet);
    fleet
}

fn any_scope(fleet: &Fleet, random: &mut Rng) -> Scope {
    let courier = random.usize(0..fleet.plan.couriers);
    let scopes = fleet.plan.scopes_of(courier);
    scopes[random.usize(0..scopes.len())]
}

fn change(fleet: &mut Fleet, random: &mut Rng) {
    let scope = any_scope(fleet, random);
    let number = random.usize(0..12);
    let count = if random.u8(0..20) == 0 { 60 } else { 1 };
    for step in 0..count {
        if random.u8(0..3) == 0 {
            fleet.remove(scope, number + step);
        } else {
            fleet.set(scope, number + step);
        }
    }
}

fn disturb(fleet: &mut Fleet, random: &mut Rng, cut: &mut Option<usize>, course: Course) {
    let relays = fleet.plan.regions + fleet.plan.zones;
    let courier = random.usize(0..fleet.plan.couriers);
    let relay = random.usize(0..relays);
    let any = if random.bool() { NodeId::Relay(relay) } else { NodeId::Courier(courier) };
    let span = Duration::from_millis(random.u64(100..6_000));
    match random.u8(0..9) {
        0 => fleet.break_uplink(any),
        1 => fleet.crash_relay(relay, span / 3),
        2 => fleet.restart_courier(courier, span / 3),
        3 => fleet.stop(any, span),
        4 => match cut.take() {
            Some(region) => fleet.heal_region(region),
            None => {
                let region = random.usize(0..fleet.plan.regions);
                fleet.cut_region(region);
                *cut = Some(region);
            }
        },
        5 if course.spoils => {
            let scopes = fleet.plan.scopes_of(courier);
            let scope = scopes[random.usize(0..scopes.len())];
            fleet.spoil(any_holder(fleet, any, courier), scope, random.usize(0..12));
        }
        6 => replace_source(fleet, random),
        7 => fleet.slow_down(courier, random.u64(4_000..20_000)),
        _ => fleet.speed_up(courier),
    }
}

fn any_holder(fleet: &Fleet, id: NodeId, courier: usize) -> NodeId {
    match id {
        NodeId::Relay(_) => NodeId::Relay(fleet.plan.regions + fleet.plan.zone_of(courier)),
        other => other,
    }
}

/// A new source, while the old one and its writer go on for a while.
fn replace_source(fleet: &mut Fleet, random: &mut Rng) {
    let old = fleet.source();
    let old_epoch = fleet.epoch();
    fleet.replace_source(Duration::from_millis(random.u64(10..2_000)));
    for number in 0..3 {
        let value = Value::new("of the old writer").expect("short");
        fleet.change_at(old, old_epoch, Scope::Global, number, Some(value));
    }
    // The old writer finds the new source, too.
    let current = fleet.source();
    let value = Value::new("of a writer that is over").expect("short");
    fleet.change_at(current, Epoch(old_epoch.0), Scope::Global, 0, Some(value));
}
