//! Index of the messages that wait for a call: for each destination the next one that becomes due, and the best one of
//! each group, without a walk over its queue. Types and orders only; what a message is worth and when it may be sent is
//! decided in `choice.rs`.

use crate::interface::{ClassId, DestinationId, MessageId, Time};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// How a message's value at some age changes as time passes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Trend {
    /// It has this value (its bits) until the next change.
    Steady(u64),
    /// It falls.
    Falling,
}

impl Trend {
    /// The trend of a value that falls, except where it is one of the `levels`.
    pub fn of(value: f64, levels: &[f64]) -> Self {
        if levels.contains(&value) {
            Trend::Steady(value.to_bits())
        } else {
            Trend::Falling
        }
    }
}

/// Messages whose order by worth does not change while they are in the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Group {
    pub class: ClassId,
    pub over_share: bool,
    /// May be repeated and has attempts to spare.
    pub fits_trial: bool,
    /// Trend of the value now.
    pub value: Trend,
    /// Trend of the value that is left after waiting for one more aim.
    pub value_ahead: Trend,
}

/// Which message of a group is worth most.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Best {
    /// The one handed in first.
    Oldest,
    /// The one handed in last.
    Youngest,
    /// All are worth the same: the one that came first.
    FirstCome,
}

/// Place of a message in its group: the least is the best, and of equals the one that came first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    by_age: u64,
    pub arrival: u64,
    pub message: MessageId,
}

impl Rank {
    /// The rank of a message that was handed in at `born` and came as the `arrival`th.
    pub fn new(best: Best, born: Time, arrival: u64, message: MessageId) -> Self {
        let by_age = match best {
            Best::Oldest => born.0,
            Best::Youngest => u64::MAX - born.0,
            Best::FirstCome => 0,
        };
        Rank { by_age, arrival, message }
    }
}

/// Where a message that may be sent now or later is filed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shelf {
    /// It may be sent from this time on.
    Timed(Time),
    /// It may be sent now.
    Ready(Group, Rank),
}

/// Where a message is filed, and until when that holds if no event comes before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    pub shelf: Shelf,
    pub changes_at: Option<Time>,
}

/// The messages held for one destination.
#[derive(Default)]
pub struct Queue {
    /// Messages without a final answer, those with a call out included.
    held: usize,
    timed: BTreeSet<(Time, MessageId)>,
    /// No empty groups.
    ready: BTreeMap<Group, BTreeSet<Rank>>,
}

impl Queue {
    /// Messages without a final answer.
    pub fn held(&self) -> usize {
        self.held
    }

    /// When the next message becomes ready.
    pub fn next_ready_at(&self) -> Option<Time> {
        self.timed.first().map(|(at, _)| *at)
    }

    /// The best ready message of each group.
    pub fn best_of_groups(&self) -> impl Iterator<Item = (&Group, &Rank)> {
        self.ready.iter().filter_map(|(group, ranks)| Some((group, ranks.first()?)))
    }

    fn insert(&mut self, message: MessageId, shelf: Shelf) {
        match shelf {
            Shelf::Timed(at) => {
                self.timed.insert((at, message));
            }
            Shelf::Ready(group, rank) => {
                self.ready.entry(group).or_default().insert(rank);
            }
        }
    }

    fn remove(&mut self, message: MessageId, shelf: Shelf) {
        match shelf {
            Shelf::Timed(at) => {
                self.timed.remove(&(at, message));
            }
            Shelf::Ready(group, rank) => {
                if let Some(ranks) = self.ready.get_mut(&group) {
                    ranks.remove(&rank);
                    if ranks.is_empty() {
                        self.ready.remove(&group);
                    }
                }
            }
        }
    }
}

/// The queues of all destinations.
#[derive(Default)]
pub struct Queues {
    /// No empty ones.
    by_destination: BTreeMap<DestinationId, Queue>,
    placements: HashMap<MessageId, Placement>,
    changes: BTreeSet<(Time, MessageId)>,
}

impl Queues {
    /// One more message is held.
    pub fn join(&mut self, to: DestinationId) {
        self.by_destination.entry(to).or_default().held += 1;
    }

    /// A message, which is not placed any more, is held no longer.
    pub fn leave(&mut self, to: DestinationId) {
        if let Some(queue) = self.by_destination.get_mut(&to) {
            queue.held -= 1;
            if queue.held == 0 {
                self.by_destination.remove(&to);
            }
        }
    }

    /// Files a held message anew; none where it may not be sent before some event.
    pub fn place(&mut self, to: DestinationId, message: MessageId, placement: Option<Placement>) {
        let before = match placement {
            Some(placement) => self.placements.insert(message, placement),
            None => self.placements.remove(&message),
        };
        if before == placement {
            return;
        }
        let Some(queue) = self.by_destination.get_mut(&to) else { return };
        if let Some(Placement { shelf, changes_at }) = before {
            queue.remove(message, shelf);
            changes_at.map(|at| self.changes.remove(&(at, message)));
        }
        if let Some(Placement { shelf, changes_at }) = placement {
            queue.insert(message, shelf);
            changes_at.map(|at| self.changes.insert((at, message)));
        }
    }

    /// A message whose placement does not hold any more.
    pub fn outdated(&self, now: Time) -> Option<MessageId> {
        self.changes.first().filter(|(at, _)| *at <= now).map(|(_, message)| *message)
    }

    /// The queue of a destination that has messages here.
    pub fn get(&self, to: DestinationId) -> Option<&Queue> {
        self.by_destination.get(&to)
    }

    /// Messages held for a destination.
    pub fn held(&self, to: DestinationId) -> usize {
        self.get(to).map_or(0, Queue::held)
    }

    /// Destinations that have messages here.
    pub fn iter(&self) -> impl Iterator<Item = (DestinationId, &Queue)> {
        self.by_destination.iter().map(|(to, queue)| (*to, queue))
    }
}
