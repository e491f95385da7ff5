//! The checks of a whole scenario: whether one machine can play it, and whether its parts fit together.

use super::error::{Invalid, Table};
use super::{Fault, FaultKind, Scenario, Target, MOST_COURIERS};
use std::collections::BTreeSet;

const LONGEST_DAY: f64 = 86_400.0;
const MOST_CLASSES: usize = 100;
const MOST_PARTNERS: usize = 1024;
/// Couriers hear of a change of the register so late at most, in seconds.
const LATEST_NEWS: f64 = 5.0;
/// Characters that names may not hold: they part names in lists, in references to other faults and in reports.
const SEPARATORS: [char; 4] = [',', ':', '/', '"'];

impl Scenario {
    /// The first thing that is wrong.
    pub(super) fn check(&self) -> Result<(), Invalid> {
        self.check_top()?;
        let register = Table { name: "register", place: 0 };
        register.require_range("late_s", self.register.late_s, LATEST_NEWS)?;
        self.traffic.check(self.seconds)?;
        self.classes.iter().enumerate().try_for_each(|(place, class)| class.check(place))?;
        self.partners.iter().enumerate().try_for_each(|(place, partner)| partner.check(place))?;
        check_names("class", self.classes.iter().map(|class| &class.name))?;
        check_names("partner", self.partners.iter().map(|partner| &partner.name))?;
        check_names("fault", self.faults.iter().map(|fault| &fault.name))?;
        for (place, fault) in self.faults.iter().enumerate() {
            fault.check(place)?;
            self.check_targets(place, fault)?;
        }
        self.begins().map(drop)
    }

    /// The values at the top of the file, those of its couriers, and how many parts there are.
    fn check_top(&self) -> Result<(), Invalid> {
        let top = Table { name: "", place: 0 };
        let seconds = self.seconds > 0.0 && self.seconds <= LONGEST_DAY;
        top.require(seconds, "seconds", "must be over 0 and at most 86400")?;
        top.require_between("floor", self.floor, 0.0, 1.0)?;
        let couriers = Table { name: "couriers", place: 0 };
        let count = (1..=MOST_COURIERS).contains(&self.couriers.count);
        couriers.require(count, "count", &format!("must lie between 1 and {MOST_COURIERS}"))?;
        couriers.require_between("connect_s", self.couriers.connect_s, 0.05, 60.0)?;
        let classes = (1..=MOST_CLASSES).contains(&self.classes.len());
        top.require(classes, "class", &format!("there must be 1 to {MOST_CLASSES} of them"))?;
        let partners = (1..=MOST_PARTNERS).contains(&self.partners.len());
        top.require(partners, "partner", &format!("there must be 1 to {MOST_PARTNERS} of them"))
    }

    /// The targets of a fault are there, and of a kind that it can take.
    fn check_targets(&self, place: usize, fault: &Fault) -> Result<(), Invalid> {
        let table = Table { name: "fault", place };
        let targets = self.targets(fault).map_err(|what| table.invalid("targets", what))?;
        let whole_partners = targets.iter().all(|target| matches!(target, Target::Partner(_)));
        let can_take = fault.kind != FaultKind::Outage || whole_partners;
        table.require(can_take, "targets", "an outage takes all endpoints of a partner")
    }
}

/// Names are there, can be told apart, and hold no separator.
fn check_names<'a>(table: &'static str, names: impl Iterator<Item = &'a String>) -> Result<(), Invalid> {
    let mut seen = BTreeSet::new();
    for (place, name) in names.enumerate() {
        let table = Table { name: table, place };
        let is_plain = !name.is_empty() && !name.contains(SEPARATORS);
        table.require(is_plain, "name", "must not be empty, nor hold , : / or \"")?;
        table.require(seen.insert(name), "name", &format!("there are two of the name '{name}'"))?;
    }
    Ok(())
}
