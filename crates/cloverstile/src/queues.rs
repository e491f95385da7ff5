//! Index of the open messages of each destination. It yields the next message that becomes ready, and the best ready
//! message of each group, without a scan of the queue. Worth and send times are decided in `choice.rs`.

use crate::interface::{ClassId, DestinationId, MessageId, Time};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// How the worth of a message changes with its age.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Trend {
    /// Constant at this value (as bits) until the message is indexed anew.
    Steady(u64),
    /// Decreasing.
    Falling,
}

impl Trend {
    /// `Steady` if `value` is one of the constant `levels`, otherwise `Falling`.
    pub fn of(value: f64, levels: &[f64]) -> Self {
        if levels.contains(&value) {
            Trend::Steady(value.to_bits())
        } else {
            Trend::Falling
        }
    }
}

/// Key of a group of messages whose relative priority does not change while they stay in the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MessageGroup {
    pub class: ClassId,
    pub over_quota: bool,
    /// The messages can serve as trial calls.
    pub fits_trial: bool,
    /// The messages have enough time left for an answer.
    pub has_time: bool,
    /// Trend of the worth now.
    pub worth_now: Trend,
    /// Trend of the worth that is left after one more aim.
    pub worth_ahead: Trend,
}

/// Which message of a group has the highest priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RankBy {
    /// The one that was enqueued first.
    Oldest,
    /// The one that was enqueued last.
    Youngest,
    /// All are equal: the one that was accepted first.
    Ordinal,
}

/// Sort key of a message in its group: the least is the best; among equals, the one that was accepted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    age_key: u64,
    pub ordinal: u64,
    pub message: MessageId,
}

impl Rank {
    pub fn new(by: RankBy, enqueued_at: Time, ordinal: u64, message: MessageId) -> Self {
        let age_key = match by {
            RankBy::Oldest => enqueued_at.0,
            RankBy::Youngest => u64::MAX - enqueued_at.0,
            RankBy::Ordinal => 0,
        };
        Rank { age_key, ordinal, message }
    }
}

/// Position of a sendable message in the queue of its destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Position {
    /// It becomes ready at this time.
    Delayed(Time),
    /// It may be sent now.
    Ready(MessageGroup, Rank),
}

/// Index entry of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IndexEntry {
    pub position: Position,
    /// When the entry becomes outdated unless an event changes it before.
    pub outdated_at: Option<Time>,
}

/// The open messages of one destination.
#[derive(Default)]
pub struct Queue {
    /// Number of messages without a final answer, including those in flight.
    open_messages: usize,
    delayed: BTreeSet<(Time, MessageId)>,
    /// Contains no empty groups.
    ready: BTreeMap<MessageGroup, BTreeSet<Rank>>,
}

impl Queue {
    /// Number of messages without a final answer.
    pub fn open_messages(&self) -> usize {
        self.open_messages
    }

    /// When the next delayed message becomes ready.
    pub fn next_ready_at(&self) -> Option<Time> {
        self.delayed.first().map(|(at, _)| *at)
    }

    /// The best ready message of each group.
    pub fn best_of_groups(&self) -> impl Iterator<Item = (&MessageGroup, &Rank)> {
        self.ready.iter().filter_map(|(group, ranks)| Some((group, ranks.first()?)))
    }

    fn insert(&mut self, message: MessageId, position: Position) {
        match position {
            Position::Delayed(at) => {
                self.delayed.insert((at, message));
            }
            Position::Ready(group, rank) => {
                self.ready.entry(group).or_default().insert(rank);
            }
        }
    }

    fn remove(&mut self, message: MessageId, position: Position) {
        match position {
            Position::Delayed(at) => {
                self.delayed.remove(&(at, message));
            }
            Position::Ready(group, rank) => {
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
    /// Contains no empty queues.
    by_destination: BTreeMap<DestinationId, Queue>,
    entries: HashMap<MessageId, IndexEntry>,
    /// When entries become outdated.
    outdated_at: BTreeSet<(Time, MessageId)>,
}

impl Queues {
    /// Counts one more open message of a destination.
    pub fn add_message(&mut self, destination: DestinationId) {
        self.by_destination.entry(destination).or_default().open_messages += 1;
    }

    /// Counts one open message less. The message must not have an index entry any more.
    pub fn remove_message(&mut self, destination: DestinationId) {
        if let Some(queue) = self.by_destination.get_mut(&destination) {
            queue.open_messages -= 1;
            if queue.open_messages == 0 {
                self.by_destination.remove(&destination);
            }
        }
    }

    /// Replaces the index entry of an open message; `None` if it may not be sent before some event.
    pub fn set_entry(&mut self, destination: DestinationId, message: MessageId, entry: Option<IndexEntry>) {
        let previous = match entry {
            Some(entry) => self.entries.insert(message, entry),
            None => self.entries.remove(&message),
        };
        if previous == entry {
            return;
        }
        let Some(queue) = self.by_destination.get_mut(&destination) else { return };
        if let Some(IndexEntry { position, outdated_at }) = previous {
            queue.remove(message, position);
            outdated_at.map(|at| self.outdated_at.remove(&(at, message)));
        }
        if let Some(IndexEntry { position, outdated_at }) = entry {
            queue.insert(message, position);
            outdated_at.map(|at| self.outdated_at.insert((at, message)));
        }
    }

    /// A message whose index entry is outdated, if any.
    pub fn outdated(&self, now: Time) -> Option<MessageId> {
        self.outdated_at.first().filter(|(at, _)| *at <= now).map(|(_, message)| *message)
    }

    /// The queue of a destination, if it has open messages.
    pub fn get(&self, destination: DestinationId) -> Option<&Queue> {
        self.by_destination.get(&destination)
    }

    /// Number of open messages of a destination.
    pub fn open_messages(&self, destination: DestinationId) -> usize {
        self.get(destination).map_or(0, Queue::open_messages)
    }

    /// All destinations with open messages.
    pub fn iter(&self) -> impl Iterator<Item = (DestinationId, &Queue)> {
        self.by_destination.iter().map(|(destination, queue)| (*destination, queue))
    }
}
