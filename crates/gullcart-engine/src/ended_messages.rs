//! The messages that have ended and may have run, by the client's id. A client that left, or that lost the answer, may come back
//! with an id after its message has ended; sending it again would let it take effect twice.

use cloverstile::Time;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;
use xxhash_rust::xxh3::{xxh3_128, Xxh3};

use crate::types::Enqueue;
use gullcart_message::AcceptedMessage;

/// Maximum number of messages remembered, the oldest is forgotten first. A hash table of 16,384 slots is full with them; some 110 bytes
/// each.
const MAX_REMEMBERED: usize = 14_336;

/// How a message ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum MessageEnd {
    /// It was delivered.
    Delivered,
    /// It was not delivered, and an attempt may have run.
    MayHaveRun,
}

/// What is known of an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndedMessage {
    /// It belonged to the same message, which ended like this.
    Same(MessageEnd),
    /// It belonged to another message.
    Other,
}

/// A remembered message. Hashes stand for the id and the content, so that an entry's size is fixed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Entry {
    id_hash: u128,
    content_hash: u128,
    end: MessageEnd,
    ended_at: Time,
}

/// The messages that ended within a time, up to [`MAX_REMEMBERED`].
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(from = "Vec<Entry>", into = "Vec<Entry>")]
pub(crate) struct EndedMessages {
    /// Hashes of ids by the time of the end, the oldest first. An id may stand here more than once.
    by_age: VecDeque<(Time, u128)>,
    by_id: HashMap<u128, Entry>,
}

impl EndedMessages {
    /// Remembers how a message ended, for `retention` from now on, and forgets what is older.
    pub(crate) fn record(
        &mut self,
        now: Time,
        retention: Duration,
        message: &AcceptedMessage,
        end: MessageEnd,
    ) {
        let entry = Entry {
            id_hash: xxh3_128(message.id.as_bytes()),
            content_hash: content_hash(message),
            end,
            ended_at: now,
        };
        self.insert(entry);
        let is_over = |at: Time| at + retention < now;
        while self.by_age.front().is_some_and(|(at, _)| is_over(*at) || self.by_age.len() > MAX_REMEMBERED) {
            self.forget_oldest();
        }
    }

    /// What is known of the id of an enqueue request, if its message ended within `retention` before now.
    pub(crate) fn find(&self, now: Time, retention: Duration, enqueue: &Enqueue) -> Option<EndedMessage> {
        let entry = self.by_id.get(&xxh3_128(enqueue.id.as_bytes()))?;
        if entry.ended_at + retention < now {
            return None;
        }
        match entry.content_hash == enqueue_hash(enqueue) {
            true => Some(EndedMessage::Same(entry.end)),
            false => Some(EndedMessage::Other),
        }
    }

    fn insert(&mut self, entry: Entry) {
        self.by_age.push_back((entry.ended_at, entry.id_hash));
        self.by_id.insert(entry.id_hash, entry);
    }

    fn forget_oldest(&mut self) {
        let Some((at, id_hash)) = self.by_age.pop_front() else { return };
        if self.by_id.get(&id_hash).is_some_and(|entry| entry.ended_at <= at) {
            self.by_id.remove(&id_hash);
        }
    }
}

impl From<Vec<Entry>> for EndedMessages {
    fn from(entries: Vec<Entry>) -> Self {
        let mut messages = EndedMessages::default();
        entries.into_iter().for_each(|entry| messages.insert(entry));
        messages
    }
}

impl From<EndedMessages> for Vec<Entry> {
    fn from(messages: EndedMessages) -> Self {
        let entry = |(at, id_hash): (Time, u128)| {
            messages.by_id.get(&id_hash).copied().filter(|entry| entry.ended_at == at)
        };
        messages.by_age.iter().copied().filter_map(entry).collect()
    }
}

/// A hash of what [`Enqueue::is_same`] compares.
fn hash_content(
    order_key: u64,
    class: &str,
    destination: u32,
    idempotency_key: Option<&String>,
    body: &[u8],
) -> u128 {
    let mut hasher = Xxh3::new();
    hasher.update(&order_key.to_le_bytes());
    hasher.update(&destination.to_le_bytes());
    for text in [class, idempotency_key.map_or("", String::as_str)] {
        hasher.update(&(text.len() as u64).to_le_bytes());
        hasher.update(text.as_bytes());
    }
    hasher.update(&[u8::from(idempotency_key.is_some())]);
    hasher.update(body);
    hasher.digest128()
}

fn content_hash(message: &AcceptedMessage) -> u128 {
    let AcceptedMessage { order_key, class, destination, idempotency_key, body, .. } = message;
    hash_content(*order_key, class, *destination, idempotency_key.as_ref(), body)
}

fn enqueue_hash(enqueue: &Enqueue) -> u128 {
    let Enqueue { order_key, class, destination, idempotency_key, body, .. } = enqueue;
    hash_content(*order_key, class, *destination, idempotency_key.as_ref(), body)
}

#[cfg(test)]
mod tests;
