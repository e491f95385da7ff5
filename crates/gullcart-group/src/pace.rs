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
mod tests {
    use super::*;

    #[test]
    fn what_is_asked_for_all_the_time_is_done_once_a_gap() {
        let mut pace = Pace::new(Duration::from_millis(300));
        let times =
            (0..=900).step_by(50).filter(|ms| pace.is_due(Moment(ms * 1000), "end")).collect::<Vec<_>>();
        assert_eq!(times, [0, 300, 600, 900]);
        assert!(pace.is_due(Moment(910_000), "other"), "each thing has its own gap");
        assert_eq!(pace.done.len(), 2);
        pace.is_due(Moment(5_000_000), "other");
        assert_eq!(pace.done.len(), 1, "what is long done is forgotten");
    }
}
