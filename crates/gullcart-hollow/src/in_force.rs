//! From what the source made and what couriers took in: how long it took until each change was in force.

use crate::control::Published;
use crate::hollow::Advance;
use crate::layout::{CourierIndex, Layout};
use crate::machine::Monotonic;
use std::time::Duration;

/// A change that takes longer until it is in force everywhere breaks the promise.
pub const PROMISED: Duration = Duration::from_secs(3);

/// How long changes took.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InForceTimes {
    /// For each change, until it was in force at the last courier; sorted.
    pub everywhere: Vec<Duration>,
    /// For each change and each of its couriers, until it was in force there; sorted.
    pub at_couriers: Vec<Duration>,
    /// For each change, until the source knew that it was in force everywhere; sorted.
    pub known: Vec<Duration>,
    /// Couriers of changes that never took them in.
    pub missing: u64,
    /// Changes that the source never found in force.
    pub unknown: u64,
    /// Changes that the source held to be in force while a courier still acted on what they replaced.
    pub known_too_early: u64,
    /// Changes that took longer than promised.
    pub late: u64,
    /// Changes that the source knew of later than promised.
    pub known_late: u64,
}

/// When a change was in force at the couriers that subscribe to its scope.
struct Reached {
    couriers: u64,
    last: Monotonic,
}

impl InForceTimes {
    /// Works them out. `is_counted` says of a courier whether it ran all the while.
    pub fn of(
        layout: &Layout,
        published: &[Published],
        advances: &[Advance],
        is_counted: impl Fn(CourierIndex) -> bool,
    ) -> Self {
        let mut times = InForceTimes::default();
        let mut reached: Vec<Reached> =
            published.iter().map(|change| Reached { couriers: 0, last: change.at }).collect();
        for advance in advances.iter().filter(|advance| is_counted(advance.courier)) {
            let begin = published.partition_point(|change| change.revision <= advance.from);
            let end = published.partition_point(|change| change.revision <= advance.upto);
            for place in begin..end {
                let change = &published[place];
                if !layout.subscribes(advance.courier, change.scope) {
                    continue;
                }
                reached[place].couriers += 1;
                reached[place].last = reached[place].last.max(advance.in_force);
                times.at_couriers.push(advance.in_force.since(change.at));
            }
        }
        for (change, reached) in published.iter().zip(&reached) {
            let expected =
                layout.subscribers_of(change.scope).filter(|courier| is_counted(*courier)).count() as u64;
            times.missing += expected.saturating_sub(reached.couriers);
            times.note_change(change, reached);
        }
        times.everywhere.sort_unstable();
        times.at_couriers.sort_unstable();
        times.known.sort_unstable();
        times
    }

    fn note_change(&mut self, change: &Published, reached: &Reached) {
        let took = reached.last.since(change.at);
        self.everywhere.push(took);
        self.late += u64::from(took > PROMISED);
        match change.in_force {
            Some(known) => {
                let known_after = known.since(change.at);
                self.known.push(known_after);
                self.known_late += u64::from(known_after > PROMISED);
                self.known_too_early += u64::from(known < reached.last);
            }
            None => self.unknown += 1,
        }
    }
}

/// The value below which a share of sorted ones lies; zero where there are none.
pub fn percentile(sorted: &[Duration], share: f64) -> Duration {
    let place = (sorted.len() as f64 * share).ceil() as usize;
    sorted.get(place.saturating_sub(1)).copied().unwrap_or_default()
}
