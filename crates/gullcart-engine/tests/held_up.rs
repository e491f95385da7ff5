//! A courier that stands still between reading its clock and the write that follows.

mod common;

use cloverstile::Outcome;
use common::{engine, enqueue, DISK};
use gullcart_engine::{Call, CallResult, Effect, Input, Ticket, EPOCH};
use gullcart_journal::simulated::{Crash, Disk};
use gullcart_message::Verdict;
use std::time::Duration;

const STEP: Duration = Duration::from_millis(5);
/// How long a courier may stand still between its clock and a write, by the operators' terms.
const MAX_PAUSE: Duration = Duration::from_millis(150);
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
            let Effect::StartCall(call) = effect else { continue };
            if call.id == "m3" && told_at == EPOCH {
                told_at = now;
                // Nobody waits for it any more, so that its key is free as soon as its call is over.
                engine.handle(now, Input::AnswerUnacknowledged(call.message));
                let (outcome, latency) = (Outcome::Cancelled, Duration::ZERO);
                let ended = CallResult { outcome, latency, is_final: false, allowance: None };
                engine.handle(now, Input::CallEnded(call.message, call.endpoint, ended));
                continue;
            }
            assert_eq!(call.id, "m6");
            let told = now - told_at;
            assert!(told + SLACK >= SETTLE + MAX_PAUSE, "sent {told:?} after the end was told");
            return;
        }
        now = now + STEP;
        assert!(now - EPOCH < Duration::from_secs(30), "the next message never goes");
    }
}

/// A courier that was held up counts a message's time from too late a moment: an answer just before its end may have come behind it,
/// and the message was lost.
#[test]
fn a_delivery_right_before_the_end_of_its_time_is_told_an_end_too() {
    for (before, is_told) in [(Duration::from_millis(140), true), (Duration::from_secs(2), false)] {
        let disk = Disk::new(DISK, Crash::Process, 1);
        let mut engine = engine(&disk, Crash::Process, EPOCH);
        let message = enqueue(3, "salary", 0);
        let at = EPOCH + message.time_left - before;
        engine.handle(EPOCH, Input::Enqueue(Ticket(3), message));
        let effects = engine.turn(EPOCH).unwrap();
        let call = begun(effects).expect("a call");
        let ended = CallResult { outcome: Outcome::Ok, latency: at - EPOCH, is_final: true, allowance: None };
        engine.handle(at, Input::CallEnded(call.message, call.endpoint, ended));
        let told = engine.turn(at).unwrap().into_iter().find_map(|effect| match effect {
            Effect::SendNotice(notice) => Some(notice),
            _ => None,
        });
        assert_eq!(told.as_ref().map(|notice| notice.verdict), is_told.then_some(Verdict::Failed));
        assert_eq!(engine.load().0, usize::from(is_told));
        if let Some(notice) = told {
            engine.handle(at, Input::NoticesAcknowledged(vec![notice.message]));
            assert_eq!(engine.load().0, 0, "it is over once the notice is answered");
        }
    }
}

/// ... and until that is answered its key goes to nobody else.
#[test]
fn a_key_waits_for_the_end_of_a_delivery_that_may_have_come_too_late() {
    let disk = Disk::new(DISK, Crash::Process, 1);
    let mut engine = engine(&disk, Crash::Process, EPOCH);
    let (first, next) = (enqueue(3, "notice", 0), enqueue(6, "notice", 0));
    let mut at = EPOCH + first.time_left - Duration::from_millis(140);
    engine.handle(EPOCH, Input::Enqueue(Ticket(3), first));
    let call = begun(engine.turn(EPOCH).unwrap()).expect("a call");
    engine.handle(at, Input::Enqueue(Ticket(6), next));
    let ended = CallResult { outcome: Outcome::Ok, latency: at - EPOCH, is_final: true, allowance: None };
    engine.handle(at, Input::CallEnded(call.message, call.endpoint, ended));
    for _ in 0..100 {
        assert_eq!(begun(engine.turn(at).unwrap()).map(|call| call.id), None);
        at = at + STEP;
    }
    engine.handle(at, Input::NoticesAcknowledged(vec![call.message]));
    let mut next = None;
    while next.is_none() && at < EPOCH + Duration::from_secs(40) {
        next = begun(engine.turn(at).unwrap());
        at = at + STEP;
    }
    assert_eq!(next.map(|call| call.id).as_deref(), Some("m6"));
}

fn begun(effects: Vec<Effect>) -> Option<Call> {
    effects.into_iter().find_map(|effect| match effect {
        Effect::StartCall(call) => Some(call),
        _ => None,
    })
}
