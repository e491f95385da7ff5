//! Continues a courier's state in another process. It is taken over unchanged; no decisions are made here.

use super::Courier;
use crate::interface::{MessageId, Settings};

impl Courier {
    /// Continues with the state of the previous process under the same settings; a shutdown of that process is cancelled.
    /// The outcomes of calls in flight have to be passed to this courier from now on.
    pub fn resumed(self, settings: Settings, seed: u64) -> Self {
        let rng = fastrand::Rng::with_seed(seed);
        let mut courier = Courier { settings, rng, shutdown_at: None, ..self };
        courier.rebuild_queues();
        courier.mark_all_due();
        courier
    }

    /// Whether a message is held here that has no final answer yet.
    pub fn holds(&self, message: MessageId) -> bool {
        self.messages.get(&message).is_some_and(|known| !known.closed)
    }
}
