//! A day drawn from a scenario and a seed: every arrival, and everything that goes wrong, at its time. No I/O, no clock.

use crate::scenario::{Fault, FaultKind, How, Replace, Scenario, Target};
use gullcart_judge::trace::At;
use gullcart_standins::partner::Trouble;
use serde::Serialize;
use std::time::Duration;

/// A message, as its client means to send it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// When.
    pub at: At,
    /// Place of its class.
    pub class: usize,
    /// Place of its partner.
    pub partner: usize,
    /// In ordered classes, never 0.
    pub key: Option<u64>,
}

/// Something that is done to the world.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// A trouble begins at a partner, or at one of its endpoints.
    Begin {
        /// Its number, by which it ends.
        id: u32,
        /// What.
        trouble: Trouble,
        /// Where.
        partner: usize,
        /// One endpoint, or all.
        endpoint: Option<usize>,
        /// When it is to end.
        until: At,
    },
    /// A trouble ends.
    End {
        /// Its number.
        id: u32,
        /// Where.
        partner: usize,
    },
    /// A partner goes out.
    Out(usize),
    /// A partner comes back, cold.
    Back(usize),
    /// An endpoint is listed as draining.
    Drain {
        /// Whose.
        partner: usize,
        /// Which.
        endpoint: usize,
        /// What comes in its place.
        replace: Replace,
    },
    /// An endpoint that drained is gone.
    Gone {
        /// Whose.
        partner: usize,
        /// Which.
        endpoint: usize,
        /// What comes in its place.
        replace: Replace,
    },
    /// The register says nothing to a courier, or speaks again.
    Silence(usize, bool),
    /// The register's agent of a courier moves.
    Move(usize),
    /// SIGTERM to a courier.
    Term(usize),
    /// SIGKILL to a courier.
    Kill {
        /// Which.
        courier: usize,
        /// Whether its folder goes with it.
        folder_lost: bool,
    },
    /// A courier is started again.
    Start(usize),
    /// A second process takes a courier over.
    Upgrade(usize),
    /// A courier's process is stopped, or goes on.
    Suspend(usize, bool),
    /// A courier's folder takes no more, or does again.
    Full(usize, bool),
}

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
    pub actions: Vec<(At, Action)>,
    /// In the order of the file.
    pub windows: Vec<Window>,
    /// Calls out at once, for each courier.
    pub slots: u32,
    /// Messages held, for each courier.
    pub most_held: u32,
}

/// Slots over what its part of the traffic keeps busy, and seconds of it that a courier holds.
const SLOTS_ROOM: f64 = 2.4;
const LEAST_SLOTS: f64 = 4.0;
const HOLD_S: f64 = 8.0;
const LEAST_HELD: f64 = 16.0;
/// A clump comes within this.
const CLUMP_SPREAD_S: f64 = 0.25;

fn at(seconds: f64) -> At {
    At((seconds.max(0.0) * 1e6) as u64)
}

impl Day {
    /// Draws the day of a seed.
    pub fn draw(scenario: &Scenario, seed: u64) -> Day {
        let begins = scenario.begins().unwrap_or_default();
        let arrivals = arrivals(scenario, seed, &begins);
        let mut actions = Vec::new();
        let mut windows = Vec::new();
        for (number, (fault, begin)) in scenario.faults.iter().zip(&begins).enumerate() {
            let end = scenario.phases(fault).iter().map(|(_, to)| *to).fold(0.0, f64::max);
            // What comes behind, such as a cold return, is a phase but not the fault.
            let last = if fault.kind == FaultKind::Drain { end } else { fault.length_s };
            windows.push(Window { name: fault.name.clone(), from: *begin, to: begin + last });
            act(scenario, number as u32, fault, *begin, &mut actions);
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

fn act(scenario: &Scenario, number: u32, fault: &Fault, begin: f64, actions: &mut Vec<(At, Action)>) {
    let (from, to) = (at(begin), at(begin + fault.length_s));
    let mut put = |at, action| actions.push((at, action));
    let targets = scenario.targets(fault).unwrap_or_default();
    if fault.kind == FaultKind::Drain {
        for (step, (partner, endpoint)) in scenario.drained(fault).into_iter().enumerate() {
            let later = Duration::from_secs_f64(step as f64 * fault.step_s);
            let replace = fault.replace;
            put(from + later, Action::Drain { partner, endpoint, replace });
            put(to + later, Action::Gone { partner, endpoint, replace });
        }
        return;
    }
    let id = number * 1000;
    for target in targets {
        let (partner, endpoint) = match target {
            Target::Partner(partner) => (partner, None),
            Target::Endpoint(partner, endpoint) => (partner, Some(endpoint)),
            Target::Courier(courier) => {
                match fault.kind {
                    FaultKind::RegisterSilent => {
                        put(from, Action::Silence(courier, true));
                        put(to, Action::Silence(courier, false));
                    }
                    FaultKind::RegisterMove => put(from, Action::Move(courier)),
                    FaultKind::Term => {
                        put(from, Action::Term(courier));
                        put(to, Action::Start(courier));
                    }
                    FaultKind::Upgrade => {
                        let gap = fault.every_s.unwrap_or(fault.length_s);
                        let times = (fault.length_s / gap).ceil().max(1.0) as u32;
                        for time in 0..times {
                            put(
                                from + Duration::from_secs_f64(gap * f64::from(time)),
                                Action::Upgrade(courier),
                            );
                        }
                    }
                    FaultKind::Suspend => {
                        put(from, Action::Suspend(courier, true));
                        put(to, Action::Suspend(courier, false));
                    }
                    FaultKind::Kill => {
                        put(from, Action::Kill { courier, folder_lost: fault.folder_lost });
                        put(to, Action::Start(courier));
                    }
                    _ => {
                        put(from, Action::Full(courier, true));
                        put(to, Action::Full(courier, false));
                    }
                }
                continue;
            }
        };
        let mut trouble = |id, from, until, trouble| {
            put(from, Action::Begin { id, trouble, partner, endpoint, until });
            put(until, Action::End { id, partner });
        };
        match fault.kind {
            FaultKind::Silent => trouble(id, from, to, Trouble::Silent),
            FaultKind::Slow => trouble(id, from, to, Trouble::Slow(fault.severity)),
            FaultKind::Refuse => trouble(id, from, to, Trouble::Refuse(fault.severity, fault.tells_wait)),
            FaultKind::Shut => trouble(id, from, to, Trouble::Shut(fault.tells_wait)),
            FaultKind::Reset => trouble(id, from, to, Trouble::Reset(fault.severity)),
            FaultKind::Spoil => trouble(id, from, to, Trouble::Spoil(fault.severity)),
            FaultKind::Stall => match fault.every_s {
                None => trouble(id, from, to, Trouble::Stall),
                Some(every) => {
                    let stalls = (fault.length_s / every).ceil().min(900.0) as u32;
                    for stall in 0..stalls {
                        let begins = begin + f64::from(stall) * every;
                        let ends = begins + fault.severity / 1e3;
                        trouble(id + stall, at(begins), at(ends), Trouble::Stall);
                    }
                }
            },
            FaultKind::Outage => {
                trouble(
                    id,
                    from,
                    to,
                    match fault.how {
                        How::Down => Trouble::Down,
                        How::Silent => Trouble::Silent,
                        How::Cut => Trouble::Cut,
                        How::Shut => Trouble::Shut(fault.tells_wait),
                    },
                );
                put(from, Action::Out(partner));
                put(to, Action::Back(partner));
            }
            _ => {}
        }
    }
}

fn arrivals(scenario: &Scenario, seed: u64, begins: &[f64]) -> Vec<Arrival> {
    let traffic = &scenario.traffic;
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x6172_7269_7661_6c73);
    let surges: Vec<(f64, f64, f64)> = scenario
        .faults
        .iter()
        .zip(begins)
        .filter(|(fault, _)| fault.kind == FaultKind::Surge)
        .map(|(fault, begin)| (*begin, begin + fault.length_s, fault.severity))
        .collect();
    let most = surges.iter().map(|(.., times)| times.max(1.0)).product::<f64>();
    let times = |now: f64| {
        surges
            .iter()
            .filter(|(from, to, _)| (*from..*to).contains(&now))
            .map(|(.., times)| *times)
            .product::<f64>()
    };
    let demand: Vec<f64> = (0..scenario.partners.len()).map(|place| scenario.demand(place)).collect();
    let shares: Vec<f64> = scenario.classes.iter().map(|class| class.share).collect();
    let mut all = Vec::new();
    let one = |rng: &mut fastrand::Rng, now: f64, partner: usize| {
        let class = weighted(rng, &shares);
        // Keys of different partners differ, and none is 0.
        let key = scenario.classes[class]
            .in_order
            .then(|| 1 + partner as u64 * traffic.keys + rng.u64(0..traffic.keys));
        Arrival { at: at(now), class, partner, key }
    };
    // Thinned from the highest rate, so that a surge changes no draw outside of it.
    let plain = traffic.per_second * (1.0 - traffic.clumps);
    let mut now = exponential(&mut rng, plain * most);
    while now < scenario.seconds {
        let kept = rng.f64() * most < times(now);
        let partner = weighted(&mut rng, &demand);
        let arrival = one(&mut rng, now, partner);
        if kept {
            all.push(arrival);
        }
        now += exponential(&mut rng, plain * most);
    }
    if traffic.clumps > 0.0 {
        let size = |partner: usize| {
            let partner = &scenario.partners[partner];
            let rate = partner.rate.unwrap_or_else(|| f64::from(partner.count.unwrap_or(1)) / partner.span_s);
            (rate * traffic.clump_s).max(1.0)
        };
        let whole: f64 = demand.iter().sum();
        let mean: f64 = demand.iter().enumerate().map(|(at, part)| part / whole * size(at)).sum();
        let mut now = exponential(&mut rng, traffic.per_second * traffic.clumps / mean);
        while now < scenario.seconds {
            let partner = weighted(&mut rng, &demand);
            for _ in 0..size(partner).round() as usize {
                let at = now + rng.f64() * CLUMP_SPREAD_S;
                all.push(one(&mut rng, at.min(scenario.seconds), partner));
            }
            now += exponential(&mut rng, traffic.per_second * traffic.clumps / mean);
        }
    }
    all.sort_by_key(|arrival| arrival.at);
    all
}

fn exponential(rng: &mut fastrand::Rng, rate: f64) -> f64 {
    -(1.0 - rng.f64()).ln() / rate.max(1e-9)
}

fn weighted(rng: &mut fastrand::Rng, weights: &[f64]) -> usize {
    let mut left = rng.f64() * weights.iter().sum::<f64>();
    for (place, weight) in weights.iter().enumerate() {
        left -= weight;
        if left < 0.0 {
            return place;
        }
    }
    weights.len().saturating_sub(1)
}
