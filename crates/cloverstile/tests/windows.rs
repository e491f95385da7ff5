//! Repeat windows from 0.2 s to a minute, with deadlines from half a second to minutes: a repeat that fits into the window is
//! sent, a message for which none fits ends at once, and nothing is sent after the window.

mod common;

use cloverstile::*;
use common::*;
use proptest::prelude::*;
use std::time::Duration;

/// Id of the observed message; all others are answered.
const OBSERVED: u32 = 1000;

/// What happened to the observed message.
#[derive(Debug)]
struct Observation {
    /// When its attempts were sent.
    sent: Vec<Time>,
    /// When it got its final answer.
    ended: Option<Time>,
    timeout: Duration,
}

fn class(aim: u64, deadline: u64, window: u64) -> Class {
    Class { aim: ms(aim), deadline: ms(deadline), repeat_window: ms(window), ..Class::default() }
}

/// A courier that has measured the latency of its partner: sixty messages were answered in 30 ms each.
fn warmed_up(class: Class) -> Bench {
    let mut bench = Bench::new(settings(vec![class]), vec![endpoint(7, 1), endpoint(8, 1)]);
    for id in 0..60 {
        bench.accept(id, 0, 1, None);
        for (message, endpoint, _) in bench.sent_messages() {
            bench.now = bench.now + ms(30);
            bench.finish(message, endpoint, Outcome::Ok, ms(30));
        }
        bench.now = bench.now + ms(20);
    }
    bench
}

/// Enqueues the observed message and resets its first attempt after a time; later attempts are never answered. The partner
/// works: all other messages, ten a second, are answered.
fn reset_after(bench: &mut Bench, after: Duration) -> Observation {
    bench.accept(OBSERVED, 0, 1, None);
    let begin = bench.now;
    let deadline = bench.settings.classes[0].deadline;
    let mut observation = Observation { sent: Vec::new(), ended: None, timeout: Duration::ZERO };
    let (mut first, mut others, mut next) = (None, Vec::new(), 0);
    while bench.now < begin + deadline && observation.ended.is_none() {
        if bench.now - begin >= ms(100 * next) {
            bench.accept(OBSERVED + 1 + next as u32, 0, 1, None);
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
                Action::Route { message: MessageId(OBSERVED), endpoint, timeout, send_by, .. } => {
                    if observation.sent.is_empty() {
                        (first, observation.timeout) = (Some(endpoint), timeout);
                    } else {
                        assert!(
                            send_by.is_some_and(|by| by >= bench.now),
                            "a repeat without a latest send time: {send_by:?}"
                        );
                    }
                    observation.sent.push(bench.now);
                }
                Action::Route { message, endpoint, .. } => others.push((message.0, endpoint.0, bench.now)),
                Action::ReportFailure { message: MessageId(OBSERVED) }
                | Action::Return { message: MessageId(OBSERVED), .. } => {
                    observation.ended = Some(bench.now);
                }
                _ => {}
            }
        }
        bench.now = bench.now + ms(1);
        if let (Some(endpoint), Some(sent)) = (first, observation.sent.first()) {
            if bench.now >= *sent + after {
                bench.finish(OBSERVED, endpoint.0, Outcome::Reset, after);
                first = None;
            }
        }
    }
    observation
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
        let mut bench = warmed_up(class(aim, deadline, window));
        let begin = bench.now;
        let observation = reset_after(&mut bench, after);
        let first = observation.sent[0];
        let (window, until) = (ms(window), begin + ms(deadline));
        prop_assert!(observation.sent.iter().all(|at| *at < first + window), "sent after the window: {observation:?}");
        let reset = first + after;
        // The reset is reported up to a millisecond later, and the shortest gap is one step of the loop.
        if reset_part < 0.8 && reset + ms(5) < until && window.mul_f64(0.9 - reset_part) / 2 < until - reset {
            prop_assert!(observation.sent.len() > 1, "no repeat, though it fits: {observation:?}");
        }
        if reset_part > 0.91 && reset + ms(5) < until {
            prop_assert_eq!(observation.sent.len(), 1);
            let ended = observation.ended.unwrap_or(until);
            prop_assert!(ended - reset <= ms(5), "the message waited for its deadline: {observation:?}");
        }
    }
}

/// Guards against a hung call that takes all the time of its message because its timeout would end after the window.
#[test]
fn a_repeat_window_shorter_than_the_timeout_leaves_time_for_a_repeat() {
    for window in [400, 1000, 2000] {
        let mut bench = warmed_up(class(3000, 24_000, window));
        let observation = reset_after(&mut bench, Duration::from_secs(60));
        assert!(
            observation.timeout <= ms(window).mul_f64(0.46),
            "window {window}: {:?}",
            observation.timeout
        );
    }
    // If the expected latency exceeds half of the window, the only attempt gets all the time.
    let mut bench = warmed_up(class(3000, 24_000, 200));
    assert!(reset_after(&mut bench, Duration::from_secs(60)).timeout > Duration::from_secs(20));
}

/// The message may have run at any time since it was enqueued. If that is longer ago than the window, it is not sent and does
/// not wait for its deadline.
#[test]
fn a_message_of_a_dead_courier_after_its_repeat_window_fails_at_once() {
    let class = class(3000, 24_000, 1000);
    let mut bench = warmed_up(class.clone());
    let mut accepted = accepted(bench.now, OBSERVED, (ClassId(0), &class), 1, None);
    (accepted.from_dead_courier, accepted.deadline) = (true, bench.now + Duration::from_secs(20));
    bench.handle(Event::Accept(accepted));
    let actions = bench.decide();
    assert!(actions.contains(&Action::ReportFailure { message: MessageId(OBSERVED) }), "{actions:?}");
}
