//! The queue of events to come, ordered by time. Events due at the same time are taken in the order in which they were put in.

use gullcart_judge::trace::Timestamp;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// An event in the queue.
struct QueuedEvent<T> {
    at: Timestamp,
    /// Ordinal of the event, from 1. It orders events that are due at the same time.
    ordinal: u64,
    event: T,
}

impl<T> PartialEq for QueuedEvent<T> {
    fn eq(&self, other: &Self) -> bool {
        self.ordinal == other.ordinal
    }
}

impl<T> Eq for QueuedEvent<T> {}

impl<T> PartialOrd for QueuedEvent<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for QueuedEvent<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.ordinal).cmp(&(other.at, other.ordinal))
    }
}

/// A queue of events, ordered by the time at which they are due.
pub struct EventQueue<T> {
    events: BinaryHeap<Reverse<QueuedEvent<T>>>,
    /// Number of events that were ever added.
    pushed_count: u64,
}

impl<T> Default for EventQueue<T> {
    fn default() -> Self {
        EventQueue { events: BinaryHeap::new(), pushed_count: 0 }
    }
}

impl<T> EventQueue<T> {
    /// Adds an event that is due at the given time.
    pub fn push(&mut self, at: Timestamp, event: T) {
        self.pushed_count += 1;
        self.events.push(Reverse(QueuedEvent { at, ordinal: self.pushed_count, event }));
    }

    /// Removes the next event and returns it with its time.
    pub fn pop(&mut self) -> Option<(Timestamp, T)> {
        self.events.pop().map(|Reverse(queued)| (queued.at, queued.event))
    }

    /// Number of events that were ever added.
    pub fn pushed_count(&self) -> u64 {
        self.pushed_count
    }
}

#[cfg(test)]
mod tests;
