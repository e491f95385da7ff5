//! Windows for repeats from 0.2 s to a minute, with deadlines from half a second to minutes: what fits is repeated, what does
//! not ends at once, and nothing goes behind the window.

mod common;

use cloverstile::*;
use common::*;
use proptest::prelude::*;
use std::time::Duration;

/// A message that is of interest; all others are answered.
const ONE: u32 = 1000;

/// What became of a message of which the first attempt was reset.
#[derive(Debug)]
struct Seen {
    /// When its attempts went.
    sent: Vec<Time>,
    /// When its end was told.
    ended: Option<Time>,
    timeout: Duration,
}

fn class(aim: u64, deadline: u64, window: u64) -> Class {
    Class { aim: ms(aim), deadline: ms(deadline), repeat_window: ms(window), ..Class::default() }
}

/// A courier that knows its partner: sixty messages were answered in 30 ms each.
fn familiar(class: Class) -> Bench {
    let mut bench = Bench::new(settings(vec![class]), vec![endpoint(7, 1), endpoint(8, 1)]);
    for id in 0..60 {
        bench.accept(id, 0, 1, None);
        for (message, endpoint, _) in bench.routes() {
            bench.now = bench.now + ms(30);
            bench.finish(message, endpoint, Outcome::Ok, ms(30));
        }
        bench.now = bench.now + ms(20);
    }
    bench
}

/// Hands the message in and lets its first attempt be reset after so long; later ones are never answered. The partner is well:
/// what else goes there, ten messages a second, is answered.
fn reset_after(bench: &mut Bench, after: Duration) -> Seen {
    bench.accept(ONE, 0, 1, None);
    let begun = bench.now;
    let deadline = bench.settings.classes[0].deadline;
    let mut seen = Seen { sent: Vec::new(), ended: None, timeout: Duration::ZERO };
    let (mut first, mut others, mut next) = (None, Vec::new(), 0);
    while bench.now < begun + deadline && seen.ended.is_none() {
        if bench.now - begun >= ms(100 * next) {
            bench.accept(ONE + 1 + next as u32, 0, 1, None);
            next += 1;
        }
        others.retain(|(message, endpoint, sent): &(u32, u32, Time)| {
            let is_due = bench.now - *sent >= ms(30);
            if is_due {
                bench.finish(*message, *endpoint, Outcome::Ok, ms(30));
            }
            !is_due
        });
        for action in bench.decide() {
            match action {
                Action::Route { message: MessageId(ONE), endpoint, timeout, send_by, .. } => {
                    if seen.sent.is_empty() {
                        (first, seen.timeout) = (Some(endpoint), timeout);
                    } else {
                        assert!(
                            send_by.is_some_and(|by| by >= bench.now),
                            "a repeat without an end: {send_by:?}"
                        );
                    }
                    seen.sent.push(bench.now);
                }
                Action::Route { message, endpoint, .. } => others.push((message.0, endpoint.0, bench.now)),
                Action::ReportFailure { message: MessageId(ONE) }
                | Action::Return { message: MessageId(ONE), .. } => {
                    seen.ended = Some(bench.now);
                }
                _ => {}
            }
        }
        bench.now = bench.now + ms(1);
        if let (Some(endpoint), Some(sent)) = (first, seen.sent.first()) {
            if bench.now >= *sent + after {
                bench.finish(ONE, endpoint.0, Outcome::Reset, after);
                first = None;
            }
        }
    }
    seen
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]
    #[test]
    fn a_repeat_is_sent_if_it_fits_the_window_and_otherwise_the_message_ends_at_once(
        window in prop_oneof![200_u64..1000, 1000_u64..10_000, 10_000_u64..60_000],
        deadline in prop_oneof![500_u64..2000, 2000_u64..30_000, 30_000_u64..180_000],
        aim_part in 0.05..0.5,
        reset_part in 0.02..1.3,
    ) {
        let aim = (deadline as f64 * aim_part) as u64;
        let after = ms((window as f64 * reset_part) as u64);
        let mut bench = familiar(class(aim, deadline, window));
        let begun = bench.now;
        let seen = reset_after(&mut bench, after);
        let first = seen.sent[0];
        let (window, until) = (ms(window), begun + ms(deadline));
        prop_assert!(seen.sent.iter().all(|at| *at < first + window), "behind the window: {seen:?}");
        let reset = first + after;
        // Told a millisecond later, and the shortest gap is that of the loop.
        if reset_part < 0.8 && reset + ms(5) < until && window.mul_f64(0.9 - reset_part) / 2 < until - reset {
            prop_assert!(seen.sent.len() > 1, "no repeat, though it fits: {seen:?}");
        }
        if reset_part > 0.91 && reset + ms(5) < until {
            prop_assert_eq!(seen.sent.len(), 1);
            let ended = seen.ended.unwrap_or(until);
            prop_assert!(ended - reset <= ms(5), "it waited for its deadline: {seen:?}");
        }
    }
}

/// A call that hangs used to get all the time that its message had, as its time-out would have come behind the window.
#[test]
fn a_repeat_window_shorter_than_the_timeout_leaves_time_for_a_repeat() {
    for window in [400, 1000, 2000] {
        let mut bench = familiar(class(3000, 24_000, window));
        let seen = reset_after(&mut bench, Duration::from_secs(60));
        assert!(seen.timeout <= ms(window).mul_f64(0.46), "window {window}: {:?}", seen.timeout);
    }
    // Where a usual answer takes longer than half of it, the one attempt has all the time.
    let mut bench = familiar(class(3000, 24_000, 200));
    assert!(reset_after(&mut bench, Duration::from_secs(60)).timeout > Duration::from_secs(20));
}

/// It may have run at any time since it was handed in: where that is longer ago than the window, no call may go, and its end
/// does not wait for its deadline.
#[test]
fn a_message_of_a_dead_courier_after_its_repeat_window_fails_at_once() {
    let class = class(3000, 24_000, 1000);
    let mut bench = familiar(class.clone());
    let mut accepted = accepted(bench.now, ONE, (ClassId(0), &class), 1, None);
    (accepted.from_dead_courier, accepted.deadline) = (true, bench.now + Duration::from_secs(20));
    bench.handle(Event::Accept(accepted));
    let actions = bench.decide();
    assert!(actions.contains(&Action::ReportFailure { message: MessageId(ONE) }), "{actions:?}");
}
