//! Which destinations `decide` has to evaluate: those affected by an event and those whose deferral has ended. What an
//! evaluation decides, and how long the next one can be deferred, is in `choice.rs` and its submodules.

use crate::interface::{DestinationId, Time};
use std::collections::{BTreeMap, BTreeSet};

/// The destinations that are due, and those whose evaluation is deferred.
#[derive(Default)]
pub struct DueDestinations {
    due: BTreeSet<DestinationId>,
    /// Destinations that need no evaluation before a time, unless an event affects them.
    deferred: BTreeSet<(Time, DestinationId)>,
    deferred_until: BTreeMap<DestinationId, Time>,
    /// All destinations with an outage record, and those affected by an event since their last evaluation.
    possible_outages: BTreeSet<DestinationId>,
    /// Destinations whose outage records may have changed since `take_changed_outages`.
    changed_outages: BTreeSet<DestinationId>,
}

impl DueDestinations {
    /// Marks a destination that is affected by an event.
    pub fn mark_due(&mut self, destination: DestinationId) {
        self.cancel_deferral(destination);
        self.due.insert(destination);
        self.possible_outages.insert(destination);
        self.mark_outage_changed(destination);
    }

    /// Notes that the outage records of a destination may have changed.
    pub fn mark_outage_changed(&mut self, destination: DestinationId) {
        self.changed_outages.insert(destination);
    }

    /// Returns the destinations marked by `mark_outage_changed` since the last call.
    pub fn take_changed_outages(&mut self) -> Vec<DestinationId> {
        std::mem::take(&mut self.changed_outages).into_iter().collect()
    }

    /// Defers the evaluation of a destination to `until`, or to the next event if that is `None`.
    pub fn defer(&mut self, destination: DestinationId, until: Option<Time>) {
        self.cancel_deferral(destination);
        self.due.remove(&destination);
        if let Some(until) = until {
            self.deferred.insert((until, destination));
            self.deferred_until.insert(destination, until);
        }
    }

    /// Ends the deferrals that are over and returns all due destinations. They stay due until they are deferred.
    pub fn due_at(&mut self, now: Time) -> Vec<DestinationId> {
        while let Some((_, destination)) = self.deferred.first().copied().filter(|(until, _)| *until <= now) {
            self.cancel_deferral(destination);
            self.due.insert(destination);
        }
        self.due.iter().copied().collect()
    }

    /// When the next deferral ends.
    pub fn next_due(&self) -> Option<Time> {
        self.deferred.first().map(|(until, _)| *until)
    }

    /// Destinations that may have an outage record.
    pub fn possible_outages(&self) -> impl Iterator<Item = DestinationId> + '_ {
        self.possible_outages.iter().copied()
    }

    /// Stores after an evaluation whether a destination has an outage record.
    pub fn set_has_outage(&mut self, destination: DestinationId, has_outage: bool) {
        self.mark_outage_changed(destination);
        if has_outage {
            self.possible_outages.insert(destination);
        } else {
            self.possible_outages.remove(&destination);
        }
    }

    fn cancel_deferral(&mut self, destination: DestinationId) {
        if let Some(until) = self.deferred_until.remove(&destination) {
            self.deferred.remove(&(until, destination));
        }
    }
}
