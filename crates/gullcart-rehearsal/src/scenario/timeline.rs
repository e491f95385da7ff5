//! The timeline: when each fault begins, and the phases that others refer to.

use super::error::{Invalid, Table};
use super::faults::{Fault, FaultKind, Target};
use super::Scenario;
use std::collections::BTreeMap;

/// How long a courier counts as back after its new start, in seconds.
const COURIER_BACK: f64 = 1.0;

/// The fault from which another one counts its beginning.
struct Anchor<'a> {
    /// The name of that fault.
    name: &'a str,
    /// From the beginning of that fault, in seconds.
    offset: f64,
}

impl Scenario {
    /// When each fault begins, in seconds, in their order.
    pub fn begins(&self) -> Result<Vec<f64>, Invalid> {
        let anchor = |(place, fault)| self.anchor(place, fault);
        let anchors: Vec<Option<Anchor<'_>>> =
            self.faults.iter().enumerate().map(anchor).collect::<Result<_, _>>()?;
        let mut known: BTreeMap<&str, f64> = BTreeMap::new();
        // Each round finds at least one more, unless some wait for each other.
        for _ in 0..=self.faults.len() {
            for (fault, anchor) in self.faults.iter().zip(&anchors) {
                let begin = match anchor {
                    None => Some(fault.start_s),
                    Some(Anchor { name, offset }) => {
                        known.get(name).map(|begin| begin + offset + fault.start_s)
                    }
                };
                if let Some(begin) = begin {
                    known.insert(&fault.name, begin);
                }
            }
        }
        let begin = |(place, fault): (usize, &Fault)| {
            let what = "it waits for itself, by way of others".to_owned();
            let missing = || Table { name: "fault", place }.invalid("during", what);
            known.get(fault.name.as_str()).copied().ok_or_else(missing)
        };
        self.faults.iter().enumerate().map(begin).collect()
    }

    /// From where a fault counts its beginning; none where that is the beginning of the day.
    fn anchor<'a>(&self, place: usize, fault: &'a Fault) -> Result<Option<Anchor<'a>>, Invalid> {
        let key = if fault.during.is_some() { "during" } else { "after" };
        let Some(reference) = fault.during.as_ref().or(fault.after.as_ref()) else { return Ok(None) };
        let wrong = |what| Table { name: "fault", place }.invalid(key, what);
        let (name, phase) = match reference.split_once(':') {
            Some((name, phase)) => (name, Some(phase)),
            None => (reference.as_str(), None),
        };
        let other = self.faults.iter().find(|other| other.name == name);
        let other = other.ok_or_else(|| wrong(format!("there is no fault '{name}'")))?;
        let phases = self.phases(other);
        let Some((from, to)) = phase_named(&phases, phase) else {
            let phase = phase.unwrap_or("");
            return Err(wrong(format!("'{name}' has phases 1 to {}, not '{phase}'", phases.len())));
        };
        let last = phases.last().map_or(0.0, |(_, to)| *to);
        let offset = match (fault.during.is_some(), phase) {
            (true, _) => from,
            (false, Some(_)) => to,
            (false, None) => last,
        };
        Ok(Some(Anchor { name, offset }))
    }

    /// The phases of a fault, in seconds from its beginning. A drain has one for each endpoint; an outage is out, then
    /// cold; a courier is away, then back.
    pub fn phases(&self, fault: &Fault) -> Vec<(f64, f64)> {
        let length = fault.length_s;
        match fault.kind {
            FaultKind::Drain => {
                let endpoints = self.drained(fault).len().max(1);
                (0..endpoints).map(|at| at as f64 * fault.step_s).map(|from| (from, from + length)).collect()
            }
            FaultKind::Outage => {
                let cold =
                    self.targets(fault).unwrap_or_default().into_iter().filter_map(|target| match target {
                        Target::Partner(place) => Some(self.partners[place].cold_s),
                        _ => None,
                    });
                vec![(0.0, length), (length, length + cold.fold(0.0, f64::max))]
            }
            FaultKind::Term | FaultKind::Kill => vec![(0.0, length), (length, length + COURIER_BACK)],
            _ => vec![(0.0, length)],
        }
    }
}

/// The phase of this number, counted from 1; the first where none is given.
fn phase_named(phases: &[(f64, f64)], number: Option<&str>) -> Option<(f64, f64)> {
    let number: usize = number.map_or(Ok(1), str::parse).ok()?;
    phases.get(number.checked_sub(1)?).copied()
}
