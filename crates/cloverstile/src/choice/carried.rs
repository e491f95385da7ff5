//! A courier that goes on in another process. Nothing is decided here: its books are carried over as they stand.

use super::Courier;
use crate::interface::{MessageId, Settings};

impl Courier {
    /// Goes on with the books of the process before, under the same settings; it does not end with that process. The
    /// outcomes of calls out then come here.
    pub fn resumed(self, settings: Settings, seed: u64) -> Self {
        let rng = fastrand::Rng::with_seed(seed);
        let mut courier = Courier { settings, rng, closing: None, ..self };
        courier.rebuild_queues();
        courier
    }

    /// Whether a message is held here that has no final answer yet.
    pub fn holds(&self, message: MessageId) -> bool {
        self.messages.get(&message).is_some_and(|known| !known.closed)
    }
}
