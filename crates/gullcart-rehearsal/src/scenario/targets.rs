//! Targets: what the names in a fault stand for.

use super::faults::{Fault, Target};
use super::Scenario;
use std::collections::BTreeSet;

/// The name that stands for all that a fault can take.
const ALL: &str = "all";

impl Scenario {
    /// What the targets of a fault stand for; none where a name is unknown.
    pub fn targets(&self, fault: &Fault) -> Result<Vec<Target>, String> {
        let mut found = BTreeSet::new();
        for name in &fault.targets {
            let before = found.len();
            if fault.kind.is_of_couriers() {
                found.extend(self.couriers_named(name));
            } else {
                found.extend(self.partners_named(name));
            }
            if found.len() == before {
                let known = self.known_targets(fault).join(", ");
                return Err(format!("no target '{name}'; there are {known}, and '{ALL}'"));
            }
        }
        Ok(found.into_iter().collect())
    }

    fn couriers_named<'a>(&self, name: &'a str) -> impl Iterator<Item = Target> + 'a {
        let is_named = move |courier: &usize| name == ALL || name == courier_name(*courier);
        (0..self.couriers.count).filter(is_named).map(Target::Courier)
    }

    /// Partners of this name or kind, and the endpoint of this name.
    fn partners_named(&self, name: &str) -> Vec<Target> {
        let mut found = Vec::new();
        for (place, partner) in self.partners.iter().enumerate() {
            if partner.name == name || partner.kind == name || name == ALL {
                found.push(Target::Partner(place));
            }
            let is_named = |endpoint: &usize| name == format!("{}/{endpoint}", partner.name);
            let endpoints = (0..partner.endpoints).filter(is_named);
            found.extend(endpoints.map(|endpoint| Target::Endpoint(place, endpoint)));
        }
        found
    }

    fn known_targets(&self, fault: &Fault) -> Vec<String> {
        if fault.kind.is_of_couriers() {
            (0..self.couriers.count).map(courier_name).collect()
        } else {
            self.partners.iter().map(|partner| partner.name.clone()).collect()
        }
    }

    /// The endpoints that a drain takes, in their order.
    pub fn drained(&self, fault: &Fault) -> Vec<(usize, usize)> {
        let targets = self.targets(fault).unwrap_or_default();
        let mut endpoints = BTreeSet::new();
        for target in targets {
            match target {
                Target::Partner(place) => {
                    endpoints.extend((0..self.partners[place].endpoints).map(|endpoint| (place, endpoint)));
                }
                Target::Endpoint(place, endpoint) => {
                    endpoints.insert((place, endpoint));
                }
                Target::Courier(_) => {}
            }
        }
        endpoints.into_iter().collect()
    }
}

fn courier_name(courier: usize) -> String {
    format!("courier-{courier}")
}
