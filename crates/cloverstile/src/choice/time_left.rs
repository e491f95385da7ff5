//! Until when a message may be sent, and what follows if it has little time left: when it goes last, and when the loss of its call
//! tells nothing of the endpoint. One client may enqueue many such messages, and no other client may suffer from it.

use super::{window_end, Courier, MIN_STALL_AIMS, MIN_TIMEOUT_AIMS};
use crate::interface::{Effect, Finished, Outcome, Time};
use crate::state::{shortest_aim_seconds, Message};
use std::time::Duration;

impl Courier {
    /// Last time to send a message: zero if it must not be resent, `None` if only its deadline limits it.
    pub(super) fn last_send(&self, message: &Message) -> Option<Time> {
        let class = self.class(message);
        match (message.may_have_run, class.effect) {
            _ if message.attempts >= self.settings.max_attempts => Some(Time::ZERO),
            (Some(_), Effect::Unsafe) => Some(Time::ZERO),
            (Some((first, _)), Effect::Keyed) => Some(window_end(class, first)),
            _ => None,
        }
    }

    /// Time after which a message has too little time left for an answer: a call is not even stalled before its deadline.
    pub(super) fn last_hopeful_send(&self, message: &Message) -> Time {
        let answer_time = Duration::from_secs_f64(shortest_aim_seconds(&self.settings) * MIN_STALL_AIMS);
        message.accepted.deadline - answer_time
    }

    /// Whether a call got no answer because the deadline of its message left it less time than an answer may take. That says
    /// nothing about the endpoint.
    pub(super) fn ran_out_of_time(&self, finished: &Finished) -> bool {
        let Some(message) = self.messages.get(&finished.message) else { return false };
        let Some(call) = message.in_flight_call.and_then(|id| self.calls.get(&id)) else { return false };
        let time_left = message.accepted.deadline - call.sent_at;
        let longest_timeout = self.class(message).aim.mul_f64(MIN_TIMEOUT_AIMS);
        let conclusive_time = self.stall_timeout(call.route).min(longest_timeout);
        matches!(finished.outcome, Outcome::Timeout | Outcome::ConnectFailed)
            && finished.latency >= time_left
            && time_left < conclusive_time
    }
}
