//! Limits the number of open console connections by closing the oldest one.

use std::collections::BTreeMap;

/// The open connections, in the order in which they were accepted. `T` is the handle that the server keeps for a connection; it
/// gets the handle back when the connection has to be closed.
#[derive(Debug)]
pub struct ConsoleConnections<T> {
    max_connections: usize,
    last_number: u64,
    /// Connections that have not sent a whole line yet.
    awaiting_command: BTreeMap<u64, T>,
    /// Connections whose command is being answered.
    awaiting_answer: BTreeMap<u64, T>,
}

impl<T> ConsoleConnections<T> {
    /// Allows `max_connections` at a time, at least one.
    pub fn new(max_connections: usize) -> Self {
        ConsoleConnections {
            max_connections: max_connections.max(1),
            last_number: 0,
            awaiting_command: BTreeMap::new(),
            awaiting_answer: BTreeMap::new(),
        }
    }

    /// Adds a connection. Returns its number and, at the limit, the connection to close in its place: the oldest one without
    /// a whole line. If all of them are being answered, it is the oldest of these, as its answer is the likeliest to be stuck.
    pub fn add(&mut self, connection: T) -> (u64, Option<T>) {
        let is_full = self.awaiting_command.len() + self.awaiting_answer.len() >= self.max_connections;
        let evicted = match is_full {
            true => self.awaiting_command.pop_first().or_else(|| self.awaiting_answer.pop_first()),
            false => None,
        };
        self.last_number += 1;
        self.awaiting_command.insert(self.last_number, connection);
        (self.last_number, evicted.map(|(_, connection)| connection))
    }

    /// Records that the connection has sent its whole command.
    pub fn command_received(&mut self, number: u64) {
        if let Some(connection) = self.awaiting_command.remove(&number) {
            self.awaiting_answer.insert(number, connection);
        }
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, number: u64) {
        self.awaiting_command.remove(&number);
        self.awaiting_answer.remove(&number);
    }
}

#[cfg(test)]
mod tests;
