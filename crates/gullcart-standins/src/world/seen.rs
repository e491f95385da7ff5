//! What the courier does, as a test waits for it.

use super::agent::Agent;
use super::call::{Call, Seen};
use super::harness::World;
use super::{PATIENCE, QUIET};
use std::sync::atomic::Ordering;
use std::time::Instant;

impl World {
    /// The next thing that the courier does.
    pub fn call_or_notice(&self) -> Seen {
        self.seen.recv_timeout(PATIENCE).expect("the courier does something")
    }

    /// The next thing that the courier does, which must be a call.
    pub fn call(&self) -> Call {
        match self.call_or_notice() {
            Seen::Call(call) => call,
            Seen::Notice(line) => panic!("a call was due, not the notice {line}"),
        }
    }

    /// The next call before a moment, if one comes.
    pub fn call_until(&self, end: Instant) -> Option<Call> {
        loop {
            match self.seen.recv_timeout(end.saturating_duration_since(Instant::now())).ok()? {
                Seen::Call(call) => return Some(call),
                Seen::Notice(_) => {}
            }
        }
    }

    /// The next call; notices may be repeated meanwhile.
    pub fn call_among_notices(&self) -> Call {
        loop {
            if let Seen::Call(call) = self.call_or_notice() {
                return call;
            }
        }
    }

    /// The next thing that the courier does, which must be a notice.
    pub fn notice(&self) -> String {
        match self.call_or_notice() {
            Seen::Notice(line) => line,
            Seen::Call(call) => panic!("a notice was due, not a call for {}", call.id),
        }
    }

    /// No call for a while; notices may be repeated.
    pub fn no_call(&self) {
        let end = Instant::now() + QUIET;
        while let Ok(seen) = self.seen.recv_timeout(end.saturating_duration_since(Instant::now())) {
            if let Seen::Call(call) = seen {
                panic!("nothing was to be sent, but {} was", call.id);
            }
        }
    }

    /// The courier does nothing for a while.
    pub fn nothing(&self) {
        match self.seen.recv_timeout(QUIET) {
            Ok(Seen::Call(call)) => panic!("nothing was to be sent, but {} was", call.id),
            Ok(Seen::Notice(line)) => panic!("nothing was to be told, but {line} was"),
            Err(_) => {}
        }
    }

    /// How many requests with notices an agent has had.
    pub fn notices_at(&self, agent: &Agent) -> u32 {
        agent.state.notices.load(Ordering::SeqCst)
    }
}
