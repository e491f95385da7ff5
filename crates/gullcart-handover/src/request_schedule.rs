//! When a new process asks the running one for its courier.

use std::time::Duration;

/// Time between two requests while no process hands its courier over.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
/// Time from the first hand-over that failed to the next request. It doubles with each further one, since the running courier
/// pauses for each.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(500);

/// The times of the requests. All times count from the same moment, which the caller chooses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestSchedule {
    /// When the next request is due; none if there is to be no further one.
    next_request: Option<Duration>,
    retry_delay: Duration,
}

impl RequestSchedule {
    /// A schedule whose first request is due at once; without any request if the process takes no courier over.
    pub fn new(takes_over: bool) -> Self {
        RequestSchedule { next_request: takes_over.then_some(Duration::ZERO), retry_delay: FIRST_RETRY_DELAY }
    }

    /// Whether a request is due.
    pub fn is_due(&self, now: Duration) -> bool {
        self.next_request.is_some_and(|at| at <= now)
    }

    /// No process has handed its courier over: none runs, it is shutting down, or it is in another hand-over.
    pub fn record_unavailable(&mut self, now: Duration) {
        self.next_request = Some(now + REQUEST_INTERVAL);
    }

    /// A hand-over failed, and another one may succeed: one of the processes was silent for too long, or has ended.
    pub fn record_failure(&mut self, now: Duration) {
        self.next_request = Some(now + self.retry_delay);
        self.retry_delay *= 2;
    }

    /// There is to be no further request: the courier has arrived, or cannot be handed over to this process.
    pub fn stop(&mut self) {
        self.next_request = None;
    }
}

#[cfg(test)]
mod tests;
