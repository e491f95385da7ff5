//! What is said again where it came to nothing, but not at once.

use crate::types::Moment;
use std::collections::btree_map::Entry;
use std::collections::BTreeMap;
use std::time::Duration;

/// Things, each of which is done once within a gap.
#[derive(Clone, Debug)]
pub struct RetryPacer<K> {
    interval: Duration,
    last_allowed: BTreeMap<K, Moment>,
}

impl<K: Ord> RetryPacer<K> {
    /// Nothing was done yet.
    pub fn new(interval: Duration) -> Self {
        RetryPacer { interval, last_allowed: BTreeMap::new() }
    }

    /// Whether a thing is to be done now; then it counts as done now. Asking again and again does not put it off.
    pub fn is_due(&mut self, now: Moment, key: K) -> bool {
        let interval = self.interval;
        self.last_allowed.retain(|_, at| now - *at < interval);
        match self.last_allowed.entry(key) {
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
