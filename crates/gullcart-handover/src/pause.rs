//! How long the courier may stand still for a hand-over.

use std::time::Duration;

/// The limit for a courier that holds nothing. A notice may be 300 ms late, and the courier has to be taken up again if the
/// hand-over fails.
const BASE_LIMIT: Duration = Duration::from_millis(200);
/// Added for each message that is held: the new process replays it from the journal.
const LIMIT_PER_MESSAGE: Duration = Duration::from_micros(20);
/// The limit for any courier.
const MAX_LIMIT: Duration = Duration::from_secs(4);

/// The longest time from the stop of a courier that holds this number of messages until the new process serves.
pub fn pause_limit(held_messages: usize) -> Duration {
    let messages = u32::try_from(held_messages).unwrap_or(u32::MAX);
    BASE_LIMIT.saturating_add(LIMIT_PER_MESSAGE.saturating_mul(messages)).min(MAX_LIMIT)
}

#[cfg(test)]
mod tests;
