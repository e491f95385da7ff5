//! How much of the capacity for held messages a fast client takes. Without a limit, one client that enqueues at full speed would
//! fill it, and all others would be rejected.

use cloverstile::Time;
use std::collections::HashMap;
use std::time::Duration;

use crate::types::ClientId;

/// A fast client may hold this many messages for each place that is still free: one alone leaves a third of the places to others.
const HELD_PER_FREE_PLACE: usize = 2;
/// Time over which the requests of a client are counted.
const COUNTING_PERIOD: Duration = Duration::from_secs(1);
/// A client is fast if it enqueues more than one in this many of all messages that may be held within [`COUNTING_PERIOD`]: what may
/// be held is the full load of several seconds.
const FAST_DIVISOR: usize = 2;

/// A client with messages that are held.
#[derive(Debug)]
struct Client {
    /// Number of its messages that are held.
    held: usize,
    /// When the counting of its requests began.
    counted_since: Time,
    /// Its requests since then.
    requests: usize,
    /// It was fast in the period before.
    was_fast: bool,
}

/// The clients with messages that are held.
#[derive(Debug)]
pub(crate) struct ClientShares {
    max_held: usize,
    clients: HashMap<ClientId, Client>,
}

impl ClientShares {
    /// No clients yet; `max_held` messages may be held.
    pub(crate) fn new(max_held: usize) -> Self {
        ClientShares { max_held, clients: HashMap::new() }
    }

    /// Counts a request of a client, and returns whether its message may be held while this many places are free.
    pub(crate) fn admits(&mut self, now: Time, client: Option<ClientId>, free_places: usize) -> bool {
        let fast_requests = self.max_held / FAST_DIVISOR;
        let Some(client) = client.and_then(|client| self.clients.get_mut(&client)) else {
            return free_places > 0;
        };
        if now - client.counted_since >= COUNTING_PERIOD {
            client.was_fast = client.requests > fast_requests;
            (client.counted_since, client.requests) = (now, 0);
        }
        client.requests += 1;
        let is_fast = client.was_fast || client.requests > fast_requests;
        free_places > 0 && (!is_fast || client.held <= HELD_PER_FREE_PLACE * free_places)
    }

    /// A message of a client is held.
    pub(crate) fn add(&mut self, now: Time, client: Option<ClientId>) {
        let Some(client) = client else { return };
        let new = Client { held: 0, counted_since: now, requests: 1, was_fast: false };
        self.clients.entry(client).or_insert(new).held += 1;
    }

    /// A message of a client is not held any more.
    pub(crate) fn remove(&mut self, client: Option<ClientId>) {
        let Some(id) = client else { return };
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.held -= 1;
        if client.held == 0 {
            self.clients.remove(&id);
        }
    }
}

#[cfg(test)]
mod tests;
