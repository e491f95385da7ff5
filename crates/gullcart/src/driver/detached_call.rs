//! What becomes of the calls in flight when the courier stops for a hand-over.

use cloverstile::{MessageId, Outcome};
use gullcart_engine::MESSAGE_TRACE_TARGET;
use gullcart_handover::HandoverCall;
use std::os::fd::OwnedFd;
use std::time::Duration;
use tracing::debug;

use super::InFlightCall;
use crate::tracked_connection::WrittenPart;

/// A call that was taken from this process.
pub(super) struct DetachedCall {
    /// The message that it delivers.
    pub message: MessageId,
    /// The last byte of its request is written, and the engine was not told yet.
    pub is_write_unreported: bool,
    /// Time since its start.
    pub elapsed: Duration,
    /// Where it goes from here.
    pub fate: CallFate,
}

/// Where a detached call goes.
pub(super) enum CallFate {
    /// The next process continues it on this connection.
    HandedOver(HandoverCall, OwnedFd),
    /// It ends with the stop.
    Ended(Outcome),
}

impl InFlightCall {
    /// Takes the call from this process. A call that ends here and may have run is ended at its endpoint too, before its end can
    /// be reported.
    pub(super) fn detach(self, message: MessageId) -> DetachedCall {
        self.task.abort();
        let is_write_unreported = self.progress.is_unreported();
        let elapsed = self.started_at.elapsed();
        let (written, port) = (self.progress.detach(), self.progress.local_port());
        debug!(target: MESSAGE_TRACE_TARGET, number = message.0, port, ?written, "call stopped for a hand-over");
        let fate = match written {
            WrittenPart::Nothing => CallFate::Ended(Outcome::NotSent),
            WrittenPart::Part | WrittenPart::All => {
                self.hand_over(message, elapsed).unwrap_or_else(|| CallFate::Ended(self.end()))
            }
        };
        DetachedCall { message, is_write_unreported, elapsed, fate }
    }

    /// Prepares the call for the next process; none if it was cancelled or cannot be continued there.
    fn hand_over(&self, message: MessageId, elapsed: Duration) -> Option<CallFate> {
        if self.is_cancelled() {
            return None;
        }
        let connection = self.progress.to_handover()?;
        let call = HandoverCall {
            message: message.0,
            timeout_us: self.timeout.as_micros() as u64,
            elapsed_us: elapsed.as_micros() as u64,
            response: connection.response_bytes,
            earlier_response_hashes: connection.earlier_answers,
        };
        Some(CallFate::HandedOver(call, connection.descriptor))
    }

    /// Ends the call at its endpoint, and returns its outcome.
    fn end(&self) -> Outcome {
        self.progress.end_at_endpoint();
        match self.is_cancelled() {
            true => Outcome::Cancelled,
            false => Outcome::Reset,
        }
    }

    /// Whether the courier has asked the call to stop.
    fn is_cancelled(&self) -> bool {
        self.stop.is_none()
    }
}
