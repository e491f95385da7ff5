//! What is going to happen, in the order of time; what is due at the same time comes in the order in which it was put.

use gullcart_judge::trace::Timestamp;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

struct Due<T> {
    at: Timestamp,
    number: u64,
    what: T,
}

impl<T> PartialEq for Due<T> {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl<T> Eq for Due<T> {}

impl<T> PartialOrd for Due<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Due<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// A queue of what is due.
pub struct Queue<T> {
    due: BinaryHeap<Reverse<Due<T>>>,
    number: u64,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Queue { due: BinaryHeap::new(), number: 0 }
    }
}

impl<T> Queue<T> {
    /// Something will happen then.
    pub fn put(&mut self, at: Timestamp, what: T) {
        self.number += 1;
        self.due.push(Reverse(Due { at, number: self.number, what }));
    }

    /// The next thing, and when.
    pub fn take(&mut self) -> Option<(Timestamp, T)> {
        self.due.pop().map(|Reverse(due)| (due.at, due.what))
    }

    /// How many things were ever put.
    pub fn put_so_far(&self) -> u64 {
        self.number
    }
}

#[cfg(test)]
mod tests;
