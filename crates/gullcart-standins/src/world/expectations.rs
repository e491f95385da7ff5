//! What the courier does, as a test waits for it.

use super::agent::Agent;
use super::call::{Call, CourierAction};
use super::harness::World;
use super::{QUIET_PERIOD, TIMEOUT};
use std::sync::atomic::Ordering;
use std::time::Instant;

impl World {
    /// The next thing that the courier does.
    pub fn next_action(&self) -> CourierAction {
        self.actions.recv_timeout(TIMEOUT).expect("the courier does something")
    }

    /// The next thing that the courier does, which must be a call.
    pub fn next_call(&self) -> Call {
        match self.next_action() {
            CourierAction::Call(call) => call,
            CourierAction::Notice(line) => panic!("a call was due, not the notice {line}"),
        }
    }

    /// The next call before a moment, if one comes.
    pub fn next_call_before(&self, end: Instant) -> Option<Call> {
        loop {
            match self.actions.recv_timeout(end.saturating_duration_since(Instant::now())).ok()? {
                CourierAction::Call(call) => return Some(call),
                CourierAction::Notice(_) => {}
            }
        }
    }

    /// The next call; notices may be repeated meanwhile.
    pub fn next_call_skipping_notices(&self) -> Call {
        loop {
            if let CourierAction::Call(call) = self.next_action() {
                return call;
            }
        }
    }

    /// The next thing that the courier does, which must be a notice.
    pub fn next_notice(&self) -> String {
        match self.next_action() {
            CourierAction::Notice(line) => line,
            CourierAction::Call(call) => panic!("a notice was due, not a call for {}", call.id),
        }
    }

    /// No call for a while; notices may be repeated.
    pub fn expect_no_call(&self) {
        let end = Instant::now() + QUIET_PERIOD;
        while let Ok(action) = self.actions.recv_timeout(end.saturating_duration_since(Instant::now())) {
            if let CourierAction::Call(call) = action {
                panic!("nothing was to be sent, but {} was", call.id);
            }
        }
    }

    /// The courier does nothing for a while.
    pub fn expect_nothing(&self) {
        match self.actions.recv_timeout(QUIET_PERIOD) {
            Ok(CourierAction::Call(call)) => panic!("nothing was to be sent, but {} was", call.id),
            Ok(CourierAction::Notice(line)) => panic!("nothing was to be told, but {line} was"),
            Err(_) => {}
        }
    }

    /// How many requests with notices an agent has had.
    pub fn notice_requests_at(&self, agent: &Agent) -> u32 {
        agent.state.notices.load(Ordering::SeqCst)
    }
}
