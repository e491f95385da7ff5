//! A day drawn from a scenario and a seed: every arrival, and everything that goes wrong, at its time. No I/O, no clock.

mod actions;
mod arrivals;
mod time;

pub use actions::Action;
pub use arrivals::Arrival;

use crate::scenario::{FaultKind, Scenario};
use actions::FaultActions;
use gullcart_judge::trace::Timestamp;
use serde::Serialize;

/// Slots over what its part of the traffic keeps busy, and seconds of it that a courier holds.
const SLOTS_ROOM: f64 = 2.4;
const LEAST_SLOTS: f64 = 4.0;
const HOLD_S: f64 = 8.0;
const LEAST_HELD: f64 = 16.0;

/// When a fault is in force, for reports.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Window {
    /// Its name.
    pub name: String,
    /// From, in seconds.
    pub from: f64,
    /// To, in seconds.
    pub to: f64,
}

/// A day.
#[derive(Clone, Debug)]
pub struct Day {
    /// In the order of time.
    pub arrivals: Vec<Arrival>,
    /// In the order of time.
    pub actions: Vec<(Timestamp, Action)>,
    /// In the order of the file.
    pub windows: Vec<Window>,
    /// Calls out at once, for each courier.
    pub slots: u32,
    /// Messages held, for each courier.
    pub most_held: u32,
}

impl Day {
    /// Draws the day of a seed.
    pub fn draw(scenario: &Scenario, seed: u64) -> Day {
        let begins = scenario.begins().unwrap_or_default();
        let arrivals = arrivals::draw(scenario, seed, &begins);
        let mut actions = Vec::new();
        let mut windows = Vec::new();
        for (number, (fault, begin)) in scenario.faults.iter().zip(&begins).enumerate() {
            let end = scenario.phases(fault).iter().map(|(_, to)| *to).fold(0.0, f64::max);
            // What comes behind, such as a cold return, is a phase but not the fault.
            let last = if fault.kind == FaultKind::Drain { end } else { fault.length_s };
            windows.push(Window { name: fault.name.clone(), from: *begin, to: begin + last });
            FaultActions::new(number as u32, fault, *begin, &mut actions).put_all(scenario);
        }
        // What ends goes before what begins at the same time.
        actions.sort_by_key(|(at, action)| (*at, !matches!(action, Action::End { .. })));
        let part = scenario.traffic.per_second / scenario.couriers.count as f64;
        let busy: f64 = (0..scenario.partners.len())
            .map(|place| scenario.demand(place) * scenario.partners[place].pace_ms / 1e3)
            .sum();
        let slots = (busy / scenario.couriers.count as f64 * SLOTS_ROOM).max(LEAST_SLOTS).ceil();
        let held = (part * HOLD_S).max(LEAST_HELD).ceil();
        Day {
            arrivals,
            actions,
            windows,
            slots: scenario.couriers.slots.unwrap_or(slots as u32),
            most_held: scenario.couriers.most_held.unwrap_or(held as u32),
        }
    }
}
