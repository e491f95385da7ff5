//! Property tests: a random trace that keeps the rules has no violation, and one wrong step in it is always found.

use gullcart_judge::trace::*;
use gullcart_judge::{ClassRules, Effect, Judge, Rule, RuleLimits};
use proptest::prelude::*;
use std::time::Duration;

/// How long partners remember an idempotency key.
const WINDOW_MS: u64 = 4_000;

/// A message of a random trace, and what its partner does with each call.
#[derive(Clone, Debug)]
struct MessagePlan {
    class: u8,
    /// Number of the partner, and of the order key in the ordered class.
    key: u64,
    /// Time between the enqueue requests of the previous message and of this one.
    gap_ms: u64,
    courier: u16,
    /// Duration in milliseconds and outcome of each call.
    calls: Vec<(u64, Response)>,
}

/// The outcome of a call; `Rejected` holds the retry-after time in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Response {
    Ok,
    Rejected(Option<u64>),
    Error,
    Reset,
}

fn response() -> impl Strategy<Value = Response> {
    prop_oneof![
        3 => Just(Response::Ok),
        2 => prop::option::of(1u64..400).prop_map(Response::Rejected),
        1 => Just(Response::Error),
        1 => Just(Response::Reset),
    ]
}

fn plan() -> impl Strategy<Value = MessagePlan> {
    (0u8..3, 0u64..4, 0u64..60, 0u16..2, prop::collection::vec((1u64..300, response()), 1..5))
        .prop_map(|(class, key, gap_ms, courier, calls)| MessagePlan { class, key, gap_ms, courier, calls })
}

fn judge() -> Judge {
    let keyed = Effect::Keyed { window: Duration::from_millis(WINDOW_MS) };
    Judge::new(RuleLimits::new(vec![
        ClassRules { effect: Effect::Unsafe, in_order: false },
        ClassRules { effect: keyed, in_order: false },
        ClassRules { effect: keyed, in_order: true },
    ]))
}

/// The trace of couriers that carry out a plan and keep the rules. Each partner has one key, and a courier begins with
/// a message only when its previous one for the same partner is final, so a retry-after time delays one message at a
/// time.
fn valid_trace(plans: &[MessagePlan]) -> Vec<Entry> {
    let mut trace = Vec::new();
    let mut call = 0;
    // When each courier may send the next message for each key.
    let mut key_free_at = [[0u64; 4]; 2];
    let mut clock = 100;
    for (number, plan) in plans.iter().enumerate() {
        clock += plan.gap_ms;
        let (message, courier) = (MessageId(number as u64), CourierId(plan.courier));
        let partner = PartnerId(plan.key as u32);
        let deadline = Timestamp::from_millis(clock + 60_000);
        let class = ClassId(plan.class);
        let key = (plan.class == 2).then_some(OrderKey(plan.key));
        let mut add_entry = |ms: u64, event| trace.push(Entry { at: Timestamp::from_millis(ms), event });
        add_entry(clock, Event::EnqueueSent { message, courier, class, key, partner, deadline });
        add_entry(clock, Event::EnqueueAnswered { message, outcome: EnqueueOutcome::Accepted });
        let key_free_at = &mut key_free_at[usize::from(plan.courier)][plan.key as usize];
        let mut at = clock.max(*key_free_at) + 1;
        let mut first_possible_run = None;
        let mut delivered = false;
        for (duration, response) in &plan.calls {
            if first_possible_run.is_some_and(|first| at > first + WINDOW_MS) {
                break;
            }
            call += 1;
            let (id, endpoint, sent) = (CallId(call), EndpointId(0), at);
            let (message, first_byte) = (Some(message), Timestamp::from_millis(at));
            add_entry(
                at,
                Event::CallReceived {
                    call: id,
                    message,
                    courier,
                    endpoint,
                    partner,
                    first_byte,
                    intact: true,
                },
            );
            at += duration;
            let answer = match response {
                Response::Ok => Answer::Ok,
                Response::Rejected(retry_after) => Answer::Rejected(*retry_after),
                Response::Error => Answer::Error,
                Response::Reset => {
                    add_entry(at, Event::CallAborted { call: id, closed_by: ClosedBy::Partner });
                    first_possible_run.get_or_insert(sent);
                    // The order key pauses, as the call may still be running.
                    at += 100;
                    if plan.class == 0 {
                        break;
                    }
                    continue;
                }
            };
            add_entry(at, Event::CallAnswered { call: id, answer });
            match response {
                Response::Ok => delivered = true,
                Response::Rejected(Some(retry_after)) => at += retry_after,
                Response::Error => {
                    first_possible_run.get_or_insert(sent);
                }
                _ => {}
            }
            if delivered || (plan.class == 0 && first_possible_run.is_some()) {
                break;
            }
            at += 1;
        }
        if !delivered {
            let may_have_run = plan.class == 0 && first_possible_run.is_some();
            let verdict = if may_have_run { Verdict::Failed } else { Verdict::Returned(Some(5)) };
            add_entry(at, Event::Notice { message: Some(message), courier, verdict });
            at += 1;
            add_entry(at, Event::NoticeAnswered { message });
        }
        *key_free_at = at;
    }
    trace.sort_by_key(|entry| entry.at);
    trace
}

fn check(trace: &[Entry]) -> Judge {
    let mut judge = judge();
    trace.iter().for_each(|entry| judge.feed(*entry));
    let last = trace.last().map_or(Timestamp(0), |entry| entry.at);
    judge.finish(last + Duration::from_secs(200));
    judge
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_valid_trace_has_no_violation(plans in prop::collection::vec(plan(), 1..60)) {
        let judge = check(&valid_trace(&plans));
        prop_assert!(judge.violations().is_empty(), "{:#?}", judge.violations());
    }

    #[test]
    fn a_missing_final_result_is_found(plans in prop::collection::vec(plan(), 1..60), result_index in any::<prop::sample::Index>()) {
        let mut trace = valid_trace(&plans);
        let results: Vec<usize> = (0..trace.len())
            .filter(|index| matches!(trace[*index].event, Event::Notice { .. } | Event::CallAnswered { answer: Answer::Ok, .. }))
            .collect();
        let removed = results[result_index.index(results.len())];
        match trace[removed].event {
            Event::Notice { message, .. } => trace.retain(|entry| !matches!(entry.event,
                Event::Notice { message: other, .. } if other == message)),
            _ => drop(trace.remove(removed)),
        }
        let judge = check(&trace);
        prop_assert!(judge.violation_counts().contains_key(&Rule::Lost)
            || judge.violation_counts().contains_key(&Rule::FinalAnswer), "{:?}", judge.violation_counts());
    }

    #[test]
    fn a_repeat_after_a_delivery_is_found(plans in prop::collection::vec(plan(), 1..60)) {
        let mut trace = valid_trace(&plans);
        let delivered = trace.iter().find_map(|entry| match entry.event {
            Event::CallAnswered { call, answer: Answer::Ok } => Some(call),
            _ => None,
        });
        let call = delivered.and_then(|call| trace.iter().find_map(|entry| match entry.event {
            Event::CallReceived { call: this, message: Some(message), .. }
                if this == call && plans[message.0 as usize].class == 0 => Some(entry.event),
            _ => None,
        }));
        prop_assume!(call.is_some());
        let Some(Event::CallReceived { message, courier, endpoint, partner, .. }) = call else { return Ok(()) };
        let at = trace.last().map_or(Timestamp(0), |entry| entry.at) + Duration::from_millis(500);
        let event = Event::CallReceived {
            call: CallId(u64::MAX), message, courier, endpoint, partner, first_byte: at, intact: true,
        };
        trace.push(Entry { at, event });
        let judge = check(&trace);
        prop_assert!(judge.violation_counts().contains_key(&Rule::Twice), "{:?}", judge.violation_counts());
    }
}
