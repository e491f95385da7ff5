//! Waits for what the courier does, and checks that it does nothing.

use super::agent::Agent;
use super::call::{Call, CourierAction};
use super::harness::World;
use super::{QUIET_PERIOD, TIMEOUT};
use std::sync::atomic::Ordering;
use std::time::Instant;

impl World {
    /// Waits for the next call or notice.
    pub fn next_action(&self) -> CourierAction {
        self.actions.recv_timeout(TIMEOUT).expect("no call or notice arrived in time")
    }

    /// Waits for the next action, which must be a call.
    pub fn next_call(&self) -> Call {
        match self.next_action() {
            CourierAction::Call(call) => call,
            CourierAction::Notice(line) => panic!("expected a call, received the notice {line}"),
        }
    }

    /// Waits for a call until `end`, and skips notices.
    pub fn next_call_before(&self, end: Instant) -> Option<Call> {
        loop {
            match self.actions.recv_timeout(end.saturating_duration_since(Instant::now())).ok()? {
                CourierAction::Call(call) => return Some(call),
                CourierAction::Notice(_) => {}
            }
        }
    }

    /// Waits for the next call, and skips notices, which couriers repeat.
    pub fn next_call_skipping_notices(&self) -> Call {
        loop {
            if let CourierAction::Call(call) = self.next_action() {
                return call;
            }
        }
    }

    /// Waits for the next action, which must be a notice.
    pub fn next_notice(&self) -> String {
        match self.next_action() {
            CourierAction::Notice(line) => line,
            CourierAction::Call(call) => panic!("expected a notice, received a call for {}", call.id),
        }
    }

    /// Checks that no call arrives for a while. Notices are skipped.
    pub fn expect_no_call(&self) {
        let end = Instant::now() + QUIET_PERIOD;
        while let Ok(action) = self.actions.recv_timeout(end.saturating_duration_since(Instant::now())) {
            if let CourierAction::Call(call) = action {
                panic!("expected no call, received one for {}", call.id);
            }
        }
    }

    /// Checks that neither a call nor a notice arrives for a while.
    pub fn expect_nothing(&self) {
        match self.actions.recv_timeout(QUIET_PERIOD) {
            Ok(CourierAction::Call(call)) => panic!("expected no call, received one for {}", call.id),
            Ok(CourierAction::Notice(line)) => panic!("expected no notice, received {line}"),
            Err(_) => {}
        }
    }

    /// Number of requests with notices that an agent has received.
    pub fn notice_requests_at(&self, agent: &Agent) -> u32 {
        agent.state.notice_requests.load(Ordering::SeqCst)
    }
}
