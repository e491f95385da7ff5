//! What is said again where it came to nothing, but not at once.

use crate::vocabulary::Moment;
use std::collections::btree_map::Entry;
use std::collections::BTreeMap;
use std::time::Duration;

/// Things, each of which is done once within a gap.
#[derive(Clone, Debug)]
pub struct Pace<K> {
    gap: Duration,
    done: BTreeMap<K, Moment>,
}

impl<K: Ord> Pace<K> {
    /// Nothing was done yet.
    pub fn new(gap: Duration) -> Self {
        Pace { gap, done: BTreeMap::new() }
    }

    /// Whether a thing is to be done now; then it counts as done now. Asking again and again does not put it off.
    pub fn is_due(&mut self, now: Moment, thing: K) -> bool {
        let gap = self.gap;
        self.done.retain(|_, at| now - *at < gap);
        match self.done.entry(thing) {
            Entry::Vacant(entry) => {
                entry.insert(now);
                true
            }
            Entry::Occupied(_) => false,
        }
    }
}

#[cfg(test)]
mod tests;
