//! A lawful random trace is never accused, and one unlawful step in it always is.

use gullcart_judge::trace::*;
use gullcart_judge::{ClassRules, Effect, Figures, Judge, Rule};
use proptest::prelude::*;
use std::time::Duration;

const WINDOW_MS: u64 = 4_000;

/// One message of a random day, and what its partner does with each call.
#[derive(Clone, Debug)]
struct Plan {
    class: u8,
    key: u64,
    gap: u64,
    courier: u16,
    calls: Vec<(u64, Reply)>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Reply {
    Ok,
    Full(Option<u64>),
    Error,
    Cut,
}

fn reply() -> impl Strategy<Value = Reply> {
    prop_oneof![
        3 => Just(Reply::Ok),
        2 => prop::option::of(1u64..400).prop_map(Reply::Full),
        1 => Just(Reply::Error),
        1 => Just(Reply::Cut),
    ]
}

fn plan() -> impl Strategy<Value = Plan> {
    (0u8..3, 0u64..4, 0u64..60, 0u16..2, prop::collection::vec((1u64..300, reply()), 1..5))
        .prop_map(|(class, key, gap, courier, calls)| Plan { class, key, gap, courier, calls })
}

fn judge() -> Judge {
    let keyed = Effect::Keyed { window: Duration::from_millis(WINDOW_MS) };
    Judge::new(Figures::new(vec![
        ClassRules { effect: Effect::Unsafe, in_order: false },
        ClassRules { effect: keyed, in_order: false },
        ClassRules { effect: keyed, in_order: true },
    ]))
}

/// What a courier that keeps the rules makes of a plan: every partner has one key, so that waits hold up one message
/// at a time, and a message begins when the one before it with its key and partner is over.
fn lawful(plans: &[Plan]) -> Vec<Entry> {
    let mut trace = Vec::new();
    let mut call = 0;
    // When each key of each courier is free, and each partner may be called again.
    let mut free = [[0u64; 4]; 2];
    let mut clock = 100;
    for (number, plan) in plans.iter().enumerate() {
        clock += plan.gap;
        let (message, courier) = (MessageId(number as u64), CourierId(plan.courier));
        let partner = PartnerId(plan.key as u32);
        let deadline = At::ms(clock + 60_000);
        let class = ClassId(plan.class);
        let key = (plan.class == 2).then_some(OrderKey(plan.key));
        let mut put = |ms: u64, event| trace.push(Entry { at: At::ms(ms), event });
        put(clock, Event::HandIn { message, courier, class, key, partner, deadline });
        put(clock, Event::Answered { message, told: Told::Taken });
        let turn = &mut free[usize::from(plan.courier)][plan.key as usize];
        let mut at = clock.max(*turn) + 1;
        let mut first_maybe = None;
        let mut over = false;
        for (span, reply) in &plan.calls {
            if first_maybe.is_some_and(|first| at > first + WINDOW_MS) {
                break;
            }
            call += 1;
            let (id, endpoint, sent) = (CallId(call), EndpointId(0), at);
            let (message, first_byte) = (Some(message), At::ms(at));
            put(at, Event::Call { call: id, message, courier, endpoint, partner, first_byte, intact: true });
            at += span;
            let answer = match reply {
                Reply::Ok => Answer::Ok,
                Reply::Full(wait) => Answer::Full(*wait),
                Reply::Error => Answer::Error,
                Reply::Cut => {
                    put(at, Event::CallCut { call: id, by: By::Partner });
                    first_maybe.get_or_insert(sent);
                    // The key rests.
                    at += 100;
                    if plan.class == 0 {
                        break;
                    }
                    continue;
                }
            };
            put(at, Event::CallAnswered { call: id, answer });
            match reply {
                Reply::Ok => over = true,
                Reply::Full(Some(wait)) => at += wait,
                Reply::Error => {
                    first_maybe.get_or_insert(sent);
                }
                _ => {}
            }
            if over || (plan.class == 0 && first_maybe.is_some()) {
                break;
            }
            at += 1;
        }
        if !over {
            let unsure = plan.class == 0 && first_maybe.is_some();
            let ended = if unsure { Ended::Failed } else { Ended::Returned(Some(5)) };
            put(at, Event::Notice { message: Some(message), courier, ended });
            at += 1;
            put(at, Event::NoticeAnswered { message });
        }
        *turn = at;
    }
    trace.sort_by_key(|entry| entry.at);
    trace
}

fn judged(trace: &[Entry]) -> Judge {
    let mut judge = judge();
    trace.iter().for_each(|entry| judge.feed(*entry));
    let last = trace.last().map_or(At(0), |entry| entry.at);
    judge.finish(last + Duration::from_secs(200));
    judge
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_lawful_trace_is_never_accused(plans in prop::collection::vec(plan(), 1..60)) {
        let judge = judged(&lawful(&plans));
        prop_assert!(judge.breaches().is_empty(), "{:#?}", judge.breaches());
    }

    #[test]
    fn an_end_that_never_comes_is_found(plans in prop::collection::vec(plan(), 1..60), which in any::<prop::sample::Index>()) {
        let mut trace = lawful(&plans);
        let ends: Vec<usize> = (0..trace.len())
            .filter(|at| matches!(trace[*at].event, Event::Notice { .. } | Event::CallAnswered { answer: Answer::Ok, .. }))
            .collect();
        let lost = ends[which.index(ends.len())];
        match trace[lost].event {
            Event::Notice { message, .. } => trace.retain(|entry| !matches!(entry.event,
                Event::Notice { message: other, .. } if other == message)),
            _ => drop(trace.remove(lost)),
        }
        let judge = judged(&trace);
        prop_assert!(judge.counts().contains_key(&Rule::Lost)
            || judge.counts().contains_key(&Rule::FinalAnswer), "{:?}", judge.counts());
    }

    #[test]
    fn a_second_effect_is_found(plans in prop::collection::vec(plan(), 1..60)) {
        let mut trace = lawful(&plans);
        let delivered = trace.iter().find_map(|entry| match entry.event {
            Event::CallAnswered { call, answer: Answer::Ok } => Some(call),
            _ => None,
        });
        let call = delivered.and_then(|call| trace.iter().find_map(|entry| match entry.event {
            Event::Call { call: this, message: Some(message), .. }
                if this == call && plans[message.0 as usize].class == 0 => Some(entry.event),
            _ => None,
        }));
        prop_assume!(call.is_some());
        let Some(Event::Call { message, courier, endpoint, partner, .. }) = call else { return Ok(()) };
        let at = trace.last().map_or(At(0), |entry| entry.at) + Duration::from_millis(500);
        let event = Event::Call {
            call: CallId(u64::MAX), message, courier, endpoint, partner, first_byte: at, intact: true,
        };
        trace.push(Entry { at, event });
        let judge = judged(&trace);
        prop_assert!(judge.counts().contains_key(&Rule::Twice), "{:?}", judge.counts());
    }
}
