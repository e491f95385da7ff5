//! Limits how often actions are retried.

use crate::types::Moment;
use std::collections::btree_map::Entry;
use std::collections::BTreeMap;
use std::time::Duration;

/// Allows each key once per interval.
#[derive(Clone, Debug)]
pub struct RetryPacer<K> {
    interval: Duration,
    last_allowed: BTreeMap<K, Moment>,
}

impl<K: Ord> RetryPacer<K> {
    /// Creates a pacer that allows every key immediately.
    pub fn new(interval: Duration) -> Self {
        RetryPacer { interval, last_allowed: BTreeMap::new() }
    }

    /// Whether the action may run now. If so, it counts as run at `now`; calls in between do not extend the interval.
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
