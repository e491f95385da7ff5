//! How much of the capacity for held messages each client takes. Without a limit, one client that enqueues at full speed would
//! fill it, and all others would be rejected.

use std::collections::HashMap;

use crate::types::ClientId;

/// A client may hold this many messages for each place that is still free: a single one leaves a third of the places to others,
/// and many equal ones can use nearly all of them together.
const HELD_PER_FREE_PLACE: usize = 2;

/// The number of messages that are held for each client.
#[derive(Debug, Default)]
pub(crate) struct ClientShares {
    held: HashMap<ClientId, usize>,
}

impl ClientShares {
    /// Whether another message of a client may be held while this many places are free.
    pub(crate) fn may_add(&self, client: Option<ClientId>, free_places: usize) -> bool {
        let held = client.and_then(|client| self.held.get(&client)).copied().unwrap_or_default();
        free_places > 0 && held <= HELD_PER_FREE_PLACE * free_places
    }

    /// A message of a client is held.
    pub(crate) fn add(&mut self, client: Option<ClientId>) {
        if let Some(client) = client {
            *self.held.entry(client).or_default() += 1;
        }
    }

    /// A message of a client is not held any more.
    pub(crate) fn remove(&mut self, client: Option<ClientId>) {
        let Some(client) = client else { return };
        let Some(held) = self.held.get_mut(&client) else { return };
        *held -= 1;
        if *held == 0 {
            self.held.remove(&client);
        }
    }
}

#[cfg(test)]
mod tests;
