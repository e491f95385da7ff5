//! A process that stalls between reading its clock and the write that follows.

mod common;

use cloverstile::Outcome;
use common::{engine, enqueue, DISK};
use gullcart_engine::{Call, CallResult, Effect, Input, Ticket, PROCESS_START};
use gullcart_journal::simulated::{Crash, Disk};
use gullcart_message::Verdict;
use std::time::Duration;

const STEP: Duration = Duration::from_millis(5);
/// Longest pause between reading the clock and a write, as the engine assumes it.
const MAX_PAUSE: Duration = Duration::from_millis(150);
/// How long an order key rests after a call that may still be running, by the settings.
const ORDER_SETTLE: Duration = Duration::from_millis(100);
/// Tolerance of the rules about moments that are measured at sockets.
const SOCKET_SLACK: Duration = Duration::from_millis(50);

/// The engine may learn the end of a call with a time before the connection is closed. The order key has to rest long enough for
/// that, or the next message is sent too soon, as in incident 64b87a.
#[test]
fn an_order_key_rests_after_a_call_whose_connection_closes_late() {
    let disk = Disk::new(DISK, Crash::Process, 1);
    let mut engine = engine(&disk, Crash::Process, PROCESS_START);
    let (mut now, mut ended_at) = (PROCESS_START, PROCESS_START);
    // Every third number has the same order key.
    for number in [3, 6] {
        engine.handle(now, Input::Enqueue(Ticket(number), enqueue(number, "notice", 0)));
    }
    loop {
        for effect in engine.turn(now).unwrap() {
            let Effect::StartCall(call) = effect else { continue };
            if call.id == "m3" && ended_at == PROCESS_START {
                ended_at = now;
                // No client waits for the message any more, so its order key is free once its call has ended.
                engine.handle(now, Input::AnswerUnacknowledged(call.message));
                let (outcome, latency) = (Outcome::Cancelled, Duration::ZERO);
                let result = CallResult { outcome, latency, is_final: false, allowance: None };
                engine.handle(now, Input::CallEnded(call.message, call.endpoint, result));
                continue;
            }
            assert_eq!(call.id, "m6");
            let waited = now - ended_at;
            assert!(
                waited + SOCKET_SLACK >= ORDER_SETTLE + MAX_PAUSE,
                "sent {waited:?} after the first call ended"
            );
            return;
        }
        now = now + STEP;
        assert!(now - PROCESS_START < Duration::from_secs(30), "the next message is never sent");
    }
}

/// After a pause a courier counts a message's time from too late a moment, so an answer that seems to arrive just before the
/// deadline may have come after it. The message then needs a notice as well, or its client learns nothing in time.
#[test]
fn a_delivery_right_before_the_deadline_gets_a_notice_as_well() {
    for (before_deadline, has_notice) in [(Duration::from_millis(140), true), (Duration::from_secs(2), false)]
    {
        let disk = Disk::new(DISK, Crash::Process, 1);
        let mut engine = engine(&disk, Crash::Process, PROCESS_START);
        let message = enqueue(3, "salary", 0);
        let at = PROCESS_START + message.time_left - before_deadline;
        engine.handle(PROCESS_START, Input::Enqueue(Ticket(3), message));
        let effects = engine.turn(PROCESS_START).unwrap();
        let call = started_call(effects).expect("a call");
        let result =
            CallResult { outcome: Outcome::Ok, latency: at - PROCESS_START, is_final: true, allowance: None };
        engine.handle(at, Input::CallEnded(call.message, call.endpoint, result));
        let notice = engine.turn(at).unwrap().into_iter().find_map(|effect| match effect {
            Effect::SendNotice(notice) => Some(notice),
            _ => None,
        });
        assert_eq!(notice.as_ref().map(|notice| notice.verdict), has_notice.then_some(Verdict::Failed));
        assert_eq!(engine.load().0, usize::from(has_notice));
        if let Some(notice) = notice {
            engine.handle(at, Input::NoticesAcknowledged(vec![notice.message]));
            assert_eq!(engine.load().0, 0, "the message is completed once its notice is acknowledged");
        }
    }
}

/// Until the notice of such a delivery is acknowledged, no other message with its order key is sent.
#[test]
fn an_order_key_waits_for_the_notice_of_a_delivery_that_may_have_been_late() {
    let disk = Disk::new(DISK, Crash::Process, 1);
    let mut engine = engine(&disk, Crash::Process, PROCESS_START);
    let (first, next) = (enqueue(3, "notice", 0), enqueue(6, "notice", 0));
    let mut at = PROCESS_START + first.time_left - Duration::from_millis(140);
    engine.handle(PROCESS_START, Input::Enqueue(Ticket(3), first));
    let call = started_call(engine.turn(PROCESS_START).unwrap()).expect("a call");
    engine.handle(at, Input::Enqueue(Ticket(6), next));
    let result =
        CallResult { outcome: Outcome::Ok, latency: at - PROCESS_START, is_final: true, allowance: None };
    engine.handle(at, Input::CallEnded(call.message, call.endpoint, result));
    for _ in 0..100 {
        assert_eq!(started_call(engine.turn(at).unwrap()).map(|call| call.id), None);
        at = at + STEP;
    }
    engine.handle(at, Input::NoticesAcknowledged(vec![call.message]));
    let mut next = None;
    while next.is_none() && at < PROCESS_START + Duration::from_secs(40) {
        next = started_call(engine.turn(at).unwrap());
        at = at + STEP;
    }
    assert_eq!(next.map(|call| call.id).as_deref(), Some("m6"));
}

fn started_call(effects: Vec<Effect>) -> Option<Call> {
    effects.into_iter().find_map(|effect| match effect {
        Effect::StartCall(call) => Some(call),
        _ => None,
    })
}
