//! The callers at a time, and which of them gives way to one more.

use std::collections::BTreeMap;

/// Callers by the order in which they came, and what ends each of them.
#[derive(Debug)]
pub struct Callers<T> {
    most: usize,
    last: u64,
    /// Those that hold a connection without a whole call, and those whose call is being answered.
    asking: BTreeMap<u64, T>,
    asked: BTreeMap<u64, T>,
}

impl<T> Callers<T> {
    /// Room for so many, one at least.
    pub fn new(most: usize) -> Self {
        Callers { most: most.max(1), last: 0, asking: BTreeMap::new(), asked: BTreeMap::new() }
    }

    /// One more has come: its number, and who gives way to it. That is the oldest without a whole call; only where all
    /// are being answered, the oldest of these, whose answer must be stuck.
    pub fn enter(&mut self, caller: T) -> (u64, Option<T>) {
        let is_full = self.asking.len() + self.asked.len() >= self.most;
        let leaves = match is_full {
            true => self.asking.pop_first().or_else(|| self.asked.pop_first()),
            false => None,
        };
        self.last += 1;
        self.asking.insert(self.last, caller);
        (self.last, leaves.map(|(_, caller)| caller))
    }

    /// Its call is whole.
    pub fn has_asked(&mut self, number: u64) {
        if let Some(caller) = self.asking.remove(&number) {
            self.asked.insert(number, caller);
        }
    }

    /// It has gone.
    pub fn leave(&mut self, number: u64) {
        self.asking.remove(&number);
        self.asked.remove(&number);
    }
}

#[cfg(test)]
mod tests;
