//! Which destinations a turn has to look at: those that something happened to, and those whose time has come. Sets only;
//! what a look decides, and how long none is needed, is in `choice.rs` and its submodules.

use crate::interface::{DestinationId, Time};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Default)]
pub struct DueDestinations {
    due: BTreeSet<DestinationId>,
    /// Destinations that need no look before a time, unless something happens to them.
    parked: BTreeSet<(Time, DestinationId)>,
    parked_until: BTreeMap<DestinationId, Time>,
    /// All that have an outage to remember, and others that something happened to since they were looked at.
    troubled: BTreeSet<DestinationId>,
    /// Those whose outages may have changed since they were last taken.
    changed: BTreeSet<DestinationId>,
}

impl DueDestinations {
    /// Something happened to a destination.
    pub fn touch(&mut self, to: DestinationId) {
        self.unpark(to);
        self.due.insert(to);
        self.troubled.insert(to);
        self.mark_changed(to);
    }

    /// What is to be remembered of a destination may have changed.
    pub fn mark_changed(&mut self, to: DestinationId) {
        self.changed.insert(to);
    }

    /// Those that were marked since the last time.
    pub fn take_changed(&mut self) -> Vec<DestinationId> {
        std::mem::take(&mut self.changed).into_iter().collect()
    }

    /// No look is needed before `until`, or before something happens.
    pub fn park(&mut self, to: DestinationId, until: Option<Time>) {
        self.unpark(to);
        self.due.remove(&to);
        if let Some(until) = until {
            self.parked.insert((until, to));
            self.parked_until.insert(to, until);
        }
    }

    /// The destinations that are due.
    pub fn at(&mut self, now: Time) -> Vec<DestinationId> {
        while let Some((_, to)) = self.parked.first().copied().filter(|(until, _)| *until <= now) {
            self.unpark(to);
            self.due.insert(to);
        }
        self.due.iter().copied().collect()
    }

    /// When the next one is due.
    pub fn next(&self) -> Option<Time> {
        self.parked.first().map(|(until, _)| *until)
    }

    /// Destinations that may have an outage to remember.
    pub fn troubled(&self) -> impl Iterator<Item = DestinationId> + '_ {
        self.troubled.iter().copied()
    }

    /// Whether a destination has an outage to remember.
    pub fn set_troubled(&mut self, to: DestinationId, is_troubled: bool) {
        self.mark_changed(to);
        if is_troubled {
            self.troubled.insert(to);
        } else {
            self.troubled.remove(&to);
        }
    }

    fn unpark(&mut self, to: DestinationId) {
        if let Some(until) = self.parked_until.remove(&to) {
            self.parked.remove(&(until, to));
        }
    }
}
