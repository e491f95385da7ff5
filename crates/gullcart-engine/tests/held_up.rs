//! A courier that stands still between reading its clock and the write that follows.

mod common;

use cloverstile::Outcome;
use common::{engine, enqueue, DISK};
use gullcart_engine::{Effect, Ended, Input, Ticket, EPOCH};
use gullcart_journal::simulated::{Crash, Disk};
use std::time::Duration;

const STEP: Duration = Duration::from_millis(5);
/// How long a courier may stand still between its clock and a write, by the operators' terms.
const HELD_UP: Duration = Duration::from_millis(150);
/// The rest of a key by the settings, and the slack of the rules on sockets.
const SETTLE: Duration = Duration::from_millis(100);
const SLACK: Duration = Duration::from_millis(50);

/// Incident 64b87a: the end of a call was told with a time before its connection was let go, and the next message of the key
/// went out too soon after that.
#[test]
fn a_key_rests_after_a_call_that_is_let_go_late() {
    let disk = Disk::new(DISK, Crash::Process, 1);
    let mut engine = engine(&disk, Crash::Process, EPOCH);
    let (mut now, mut told_at) = (EPOCH, EPOCH);
    // Of one key, as every third number is.
    for number in [3, 6] {
        engine.handle(now, Input::Enqueue(Ticket(number), enqueue(number, "notice", 0)));
    }
    loop {
        for effect in engine.turn(now).unwrap() {
            let Effect::Begin(call) = effect else { continue };
            if call.id == "m3" && told_at == EPOCH {
                told_at = now;
                // Nobody waits for it any more, so that its key is free as soon as its call is over.
                engine.handle(now, Input::Unheard(call.message));
                let (outcome, latency) = (Outcome::Cancelled, Duration::ZERO);
                let ended = Ended { outcome, latency, complete: false, allowance: None };
                engine.handle(now, Input::Ended(call.message, call.endpoint, ended));
                continue;
            }
            assert_eq!(call.id, "m6");
            let told = now - told_at;
            assert!(told + SLACK >= SETTLE + HELD_UP, "sent {told:?} after the end was told");
            return;
        }
        now = now + STEP;
        assert!(now - EPOCH < Duration::from_secs(30), "the next message never goes");
    }
}
