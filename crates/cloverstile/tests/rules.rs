//! The delivery rules, one test each, on a single courier.

mod common;

use cloverstile::*;
use common::*;
use std::time::Duration;

const MAY_HAVE_RUN: [Outcome; 5] =
    [Outcome::Error, Outcome::Timeout, Outcome::Reset, Outcome::Malformed, Outcome::Cancelled];
const NEVER_RAN: [Outcome; 3] = [Outcome::Rejected(None), Outcome::ConnectFailed, Outcome::NotSent];

fn with_one_endpoint(class: Class) -> Bench {
    Bench::new(settings(vec![class]), vec![endpoint(7, 1)])
}

/// Message 1 was sent to endpoint 7, and its attempt ended with `outcome`.
fn after_one_attempt(class: Class, outcome: Outcome) -> Bench {
    let mut bench = with_one_endpoint(class);
    bench.accept(1, 0, 1, None);
    assert_eq!(bench.sent_messages().len(), 1);
    bench.now = bench.now + ms(50);
    bench.finish(1, 7, outcome, ms(50));
    bench
}

#[test]
fn a_message_without_any_endpoint_is_returned_by_its_deadline() {
    let mut bench = Bench::new(settings(vec![keyed()]), vec![]);
    bench.accept(1, 0, 1, None);
    let deadline = bench.now + bench.settings.classes[0].deadline;
    let actions = bench.until_action(Duration::from_secs(30));
    assert!(matches!(actions[..], [Action::Return { message: MessageId(1), .. }]));
    assert!(bench.now <= deadline + bench.settings.rules.answer_slack);
    assert!(bench.until_action(Duration::from_secs(30)).is_empty());
}

#[test]
fn an_unsafe_message_that_may_have_run_is_never_resent_and_ends_as_failed() {
    for outcome in MAY_HAVE_RUN {
        let mut bench = after_one_attempt(unsafe_class(), outcome);
        let end = bench.until_action(Duration::from_secs(30));
        assert_eq!(end, [Action::ReportFailure { message: MessageId(1) }], "{outcome:?}");
    }
}

#[test]
fn an_unsafe_message_that_never_ran_is_resent() {
    for outcome in NEVER_RAN {
        let mut bench = after_one_attempt(unsafe_class(), outcome);
        let next = bench.until_action(Duration::from_secs(15));
        assert!(matches!(next[0], Action::Route { message: MessageId(1), .. }), "{outcome:?}");
    }
}

#[test]
fn a_keyed_message_is_resent_only_within_its_repeat_window() {
    let mut bench = with_one_endpoint(keyed());
    bench.accept(1, 0, 1, None);
    let sent = bench.now;
    assert_eq!(bench.sent_messages().len(), 1);
    let mut repeats = 0;
    loop {
        bench.now = bench.now + ms(30);
        bench.finish(1, 7, Outcome::Error, ms(30));
        match bench.until_action(Duration::from_secs(30)).first() {
            Some(Action::Route { .. }) => {
                assert!(bench.now < sent + bench.settings.classes[0].repeat_window);
                repeats += 1;
            }
            Some(Action::ReportFailure { .. }) => break,
            other => panic!("{other:?}"),
        }
    }
    assert!(repeats > 0);
    assert!(repeats < bench.settings.max_attempts);
}

/// A connection may be established long after the decision to send: the repeat window must also limit the time of sending.
#[test]
fn a_repeat_has_a_latest_send_time() {
    let mut bench = with_one_endpoint(keyed());
    bench.accept(1, 0, 1, None);
    let (sent, window) = (bench.now, bench.settings.classes[0].repeat_window);
    let send_by = |action: &Action| match action {
        Action::Route { send_by, .. } => *send_by,
        other => panic!("{other:?}"),
    };
    assert_eq!(bench.until_action(ms(5)).iter().map(send_by).collect::<Vec<_>>(), [None]);
    let mut repeats = 0;
    for outcome in [Outcome::ConnectFailed, Outcome::Reset, Outcome::ConnectFailed, Outcome::Timeout] {
        bench.now = bench.now + ms(700);
        bench.finish(1, 7, outcome, ms(700));
        let by = send_by(&bench.until_action(Duration::from_secs(9))[0]);
        // The repeat window starts with the first attempt that may have run; attempts that did not run set no limit.
        let first = sent + ms(700);
        repeats += usize::from(by.is_some_and(|by| by > first && by < bench.now + window));
        assert_eq!(by.is_some(), outcome != Outcome::ConnectFailed || repeats > 0, "{outcome:?}");
    }
    assert_eq!(repeats, 3);
}

#[test]
fn a_keyed_message_stays_in_the_zone_that_drops_its_repeats() {
    let mut other = endpoint(8, 1);
    other.zone = ZoneId(1);
    let class = Class { dedup_scope: DedupScope::Zone, ..keyed() };
    let mut bench = Bench::new(settings(vec![class]), vec![endpoint(7, 1), other.clone()]);
    bench.accept(1, 0, 1, None);
    let first = bench.sent_messages()[0].1;
    bench.now = bench.now + ms(50);
    bench.finish(1, first, Outcome::Reset, ms(50));
    let zone = if first == 7 { ZoneId(0) } else { ZoneId(1) };
    let drained = Endpoint { mode: Mode::Draining, zone, ..endpoint(first, 1) };
    bench.handle(Event::Listed(Listing::Changes(vec![drained])));
    let end = bench.until_action(Duration::from_secs(30));
    assert_eq!(end, [Action::ReportFailure { message: MessageId(1) }]);
}

/// Endpoints with `ZoneId::UNNUMBERED` may be in different zones: a repeat that must go to the same zone is not sent.
#[test]
fn a_keyed_message_is_not_resent_if_its_zone_is_unknown() {
    let class = Class { dedup_scope: DedupScope::Zone, ..keyed() };
    let beyond = Endpoint { zone: ZoneId::UNNUMBERED, ..endpoint(7, 1) };
    let mut bench = Bench::new(settings(vec![class]), vec![beyond]);
    bench.accept(1, 0, 1, None);
    assert_eq!(bench.sent_messages().len(), 1);
    bench.finish(1, 7, Outcome::Reset, ms(50));
    let end = bench.until_action(Duration::from_secs(30));
    assert_eq!(end, [Action::ReportFailure { message: MessageId(1) }]);
}

#[test]
fn an_endpoint_moved_to_another_destination_serves_only_that_one() {
    let mut bench = Bench::new(settings(vec![safe()]), vec![endpoint(7, 1)]);
    bench.handle(Event::Listed(Listing::Changes(vec![endpoint(7, 2)])));
    bench.accept(1, 0, 1, None);
    bench.accept(2, 0, 2, None);
    let sent: Vec<(u32, u32)> = bench.sent_messages().iter().map(|sent| (sent.0, sent.1)).collect();
    assert_eq!(sent, [(2, 7)]);
}

#[test]
fn backoff_is_random_and_grows() {
    let mean_gap = |failures: u32| {
        let gaps: Vec<u64> = (0..40)
            .map(|seed| {
                let mut bench = with_one_endpoint(safe());
                bench.courier = Courier::new(bench.settings.clone(), seed);
                bench.handle(Event::Listed(Listing::Whole(vec![endpoint(7, 1)])));
                bench.accept(1, 0, 1, None);
                bench.sent_messages();
                for attempt in 0..failures {
                    bench.finish(1, 7, Outcome::Error, ms(10));
                    let failed = bench.now;
                    assert!(!bench.until_action(Duration::from_secs(10)).is_empty());
                    if attempt + 1 == failures {
                        return (bench.now - failed).as_millis() as u64;
                    }
                }
                0
            })
            .collect();
        assert!(gaps.iter().min() < gaps.iter().max());
        gaps.iter().sum::<u64>() / 40
    };
    assert!(mean_gap(3) > mean_gap(1));
}

#[test]
fn the_repeat_window_of_a_message_from_a_dead_courier_starts_when_it_was_enqueued() {
    let mut bench = with_one_endpoint(keyed());
    let class = bench.settings.classes[0].clone();
    bench.handle(Event::Accept(Accepted {
        id: MessageId(1),
        class: ClassId(0),
        destination: DestinationId(1),
        key: None,
        deadline: bench.now + (class.deadline - class.repeat_window),
        from_dead_courier: true,
        tenant: TenantId(0),
    }));
    let end = bench.until_action(Duration::from_secs(30));
    assert_eq!(end, [Action::ReportFailure { message: MessageId(1) }]);
}

#[test]
fn a_draining_or_removed_endpoint_gets_no_new_calls() {
    for mode in [Mode::Draining, Mode::Gone] {
        let mut bench = Bench::new(settings(vec![safe()]), vec![endpoint(7, 1), endpoint(8, 1)]);
        bench.handle(Event::Listed(Listing::Changes(vec![Endpoint { mode, ..endpoint(7, 1) }])));
        (0..4).for_each(|id| bench.accept(id, 0, 1, None));
        let routes = bench.sent_messages();
        assert!(!routes.is_empty() && routes.iter().all(|r| r.1 == 8));
    }
    let mut bench = Bench::new(settings(vec![safe()]), vec![endpoint(7, 1)]);
    bench.handle(Event::Listed(Listing::Whole(vec![endpoint(8, 1)])));
    bench.accept(1, 0, 1, None);
    assert_eq!(bench.sent_messages()[0].1, 8);
}

#[test]
fn a_retry_after_time_applies_to_every_message_of_the_destination() {
    let mut bench = Bench::new(settings(vec![safe()]), vec![endpoint(7, 1), endpoint(8, 1)]);
    bench.accept(1, 0, 1, None);
    let first = bench.sent_messages()[0].1;
    bench.finish(1, first, Outcome::Rejected(Some(ms(800))), ms(20));
    let reported_at = bench.now;
    bench.accept(2, 0, 1, None);
    assert!(bench.sent_messages().is_empty());
    assert!(!bench.until_action(Duration::from_secs(5)).is_empty());
    assert!(bench.now - reported_at >= ms(800));
}

/// Guards against dropping the retry-after time reported with the first outcomes of a batched call.
#[test]
fn a_retry_after_time_reported_by_any_message_of_a_call_is_kept() {
    let base = settings(vec![safe()]);
    let mut bench = Bench::new(
        Settings { kinds: vec![Kind { max_batch: 5, own_limits: false }], ..base },
        vec![endpoint(7, 1)],
    );
    (1..=3).for_each(|id| bench.accept(id, 0, 1, None));
    assert_eq!(bench.sent_messages().len(), 3);
    bench.finish(1, 7, Outcome::Rejected(Some(ms(900))), ms(20));
    bench.finish(2, 7, Outcome::Rejected(None), ms(20));
    bench.finish(3, 7, Outcome::Rejected(None), ms(20));
    let reported_at = bench.now;
    assert!(!bench.until_action(Duration::from_secs(5)).is_empty());
    assert!(bench.now - reported_at >= ms(900));
}

#[test]
fn messages_of_a_key_are_delivered_in_order_and_wait_after_an_unsettled_attempt() {
    let class = Class { in_order: true, ..unsafe_class() };
    let base = settings(vec![class]);
    let rules = Rules { order_settle: ms(300), ..base.rules.clone() };
    let mut bench = Bench::new(Settings { rules, ..base }, vec![endpoint(7, 1), endpoint(8, 1)]);
    bench.accept(1, 0, 1, Some(5));
    bench.accept(2, 0, 1, Some(5));
    let sent = bench.sent_messages();
    assert_eq!(sent.len(), 1);
    assert_eq!(sent[0].0, 1);
    // The client withdraws the message while the attempt is running: the key stays in use until its outcome, and is blocked
    // after it.
    bench.handle(Event::ClientGone(MessageId(1)));
    assert!(bench.until_action(ms(100)).is_empty());
    bench.finish(1, sent[0].1, Outcome::Reset, ms(100));
    let settled = bench.now;
    let next = bench.until_action(Duration::from_secs(10));
    assert!(matches!(next[0], Action::Route { message: MessageId(2), .. }));
    assert!(bench.now - settled >= ms(300));
}

#[test]
fn a_dead_destination_gets_single_trial_calls_and_a_slow_start() {
    let mut bench = with_one_endpoint(safe());
    (0..390).for_each(|id| bench.accept(id, 0, 1, None));
    for (id, to, _) in bench.sent_messages() {
        bench.finish(id, to, Outcome::ConnectFailed, ms(10));
    }
    let began = bench.now;
    let mut trials = 0;
    while bench.now - began < Duration::from_secs(6) {
        let routed = bench.until_action(Duration::from_secs(6));
        assert_eq!(routed.len(), 1, "one trial at a time");
        let Action::Route { message, .. } = routed[0] else { panic!("{routed:?}") };
        trials += 1;
        bench.finish(message.0, 7, Outcome::ConnectFailed, ms(5));
    }
    // The collapse budget is 100 * 0.2 * 2 = 40 calls a second, of which 0.8 are used; jitter shortens the gaps to a quarter
    // at least.
    assert!((20..320).contains(&trials), "{trials}");
    // The destination returns: calls in the collapse window stay within the budget of a cold destination.
    let (mut sent, mut back) = (0.0, bench.now);
    let rules = bench.settings.rules.clone();
    while bench.now - back < rules.collapse_window {
        bench.now = bench.now + ms(5);
        for (id, to, _) in bench.sent_messages() {
            if sent == 0.0 {
                back = bench.now;
            }
            sent += 1.0;
            bench.finish(id, to, Outcome::Ok, ms(5));
        }
    }
    let capacity = 100.0 * (rules.cold_capacity_share + (1.0 - rules.cold_capacity_share) * 0.2);
    assert!(
        sent > 0.0 && sent <= rules.collapse_multiple * capacity * rules.collapse_window.as_secs_f64(),
        "{sent}"
    );
}

/// Failures during a slow start cause a short outage. Guards against a full burst of calls when that outage ends.
#[test]
fn a_short_outage_during_a_slow_start_does_not_end_it() {
    let mut bench = with_one_endpoint(safe());
    (0..390).for_each(|id| bench.accept(id, 0, 1, None));
    for (id, to, _) in bench.sent_messages() {
        bench.finish(id, to, Outcome::ConnectFailed, ms(10));
    }
    let began = bench.now;
    let mut outcomes = [Outcome::Ok, Outcome::ConnectFailed, Outcome::Ok].into_iter();
    let mut next = Outcome::ConnectFailed;
    let rules = bench.settings.rules.clone();
    // An outage of six seconds; then a success, a failure, and a success a moment later.
    let (mut sent, mut back) = (0.0, None);
    while back.is_none_or(|back| bench.now - back < rules.collapse_window) {
        bench.now = bench.now + ms(5);
        for (id, to, _) in bench.sent_messages() {
            if bench.now - began >= Duration::from_secs(6) {
                next = outcomes.next().unwrap_or(Outcome::Ok);
                back.get_or_insert(bench.now);
                sent += 1.0;
            }
            bench.finish(id, to, next, ms(5));
        }
    }
    assert_eq!(outcomes.next(), None, "the short outage ended in time");
    let capacity = 100.0 * (rules.cold_capacity_share + (1.0 - rules.cold_capacity_share) * 0.2);
    assert!(sent <= rules.collapse_multiple * capacity * rules.collapse_window.as_secs_f64(), "{sent}");
}

/// A destination hangs: missing answers stop further calls long before the calls time out.
#[test]
fn a_destination_that_does_not_answer_gets_only_trial_calls() {
    let mut bench = with_one_endpoint(unsafe_class());
    for id in 0..20 {
        bench.accept(id, 0, 1, None);
        bench.sent_messages();
        bench.now = bench.now + ms(200);
    }
    bench.now = bench.now + ms(1000);
    let mut late = 0;
    for id in 20..60 {
        bench.accept(id, 0, 1, None);
        late += bench.sent_messages().len();
        bench.now = bench.now + ms(100);
    }
    assert!(late <= 6, "{late} unsafe messages risked");
}

/// Guards against hung destinations that occupy all slots.
#[test]
fn hung_destinations_leave_slots_for_healthy_ones() {
    let all = (1..=5).map(|d| endpoint(d, d)).collect();
    let mut bench = Bench::new(settings(vec![unsafe_class()]), all);
    let mut healthy = 0;
    for id in 0..400 {
        bench.now = bench.now + ms(25);
        bench.accept(id, 0, 1 + id % 5, None);
        for (message, to, _) in bench.sent_messages() {
            // Only the fifth destination answers.
            if to == 5 {
                healthy += 1;
                bench.finish(message, to, Outcome::Ok, ms(5));
            }
        }
    }
    assert!(healthy >= 70, "{healthy} of 80 delivered at the healthy destination");
}

#[test]
fn nearly_full_the_messages_of_least_worth_are_returned() {
    let rich = Class { worth: 5.0, ..safe() };
    let base = settings(vec![safe(), rich]);
    let mut bench = Bench::new(Settings { max_held: 20, ..base }, vec![]);
    (0..10).for_each(|id| bench.accept(id, 0, 1, None));
    (10..20).for_each(|id| bench.accept(id, 1, 1, None));
    let shed = bench.until_action(ms(5));
    assert!(!shed.is_empty());
    assert!(shed.iter().all(|a| matches!(a, Action::Return { message, .. } if message.0 < 10)), "{shed:?}");
}

#[test]
fn a_free_slot_goes_to_the_destination_with_the_fewest_calls_in_flight() {
    let base = settings(vec![safe()]);
    let mut bench =
        Bench::new(Settings { call_slots: 4, ..base }, vec![endpoint(1, 1), endpoint(2, 2), endpoint(3, 3)]);
    (0..4).for_each(|id| bench.accept(id, 0, 1, None));
    (4..8).for_each(|id| bench.accept(id, 0, 2, None));
    (8..12).for_each(|id| bench.accept(id, 0, 3, None));
    let mut first: Vec<u32> = bench.sent_messages().iter().take(3).map(|r| r.1).collect();
    first.sort_unstable();
    assert_eq!(first, [1, 2, 3]);
}

#[test]
fn a_call_carries_several_messages_where_the_kind_allows_it() {
    let base = settings(vec![safe()]);
    let kinds = vec![Kind { max_batch: 5, own_limits: false }];
    let mut bench = Bench::new(Settings { call_slots: 1, kinds, ..base }, vec![endpoint(7, 1)]);
    (0..8).for_each(|id| bench.accept(id, 0, 1, None));
    assert_eq!(bench.sent_messages().len(), 5);
}

/// Guards against timeouts that stay short while a partner is slow: repeats arrived while the first call was still running.
#[test]
fn timeouts_grow_after_timeouts() {
    let mut bench = with_one_endpoint(safe());
    bench.accept(1, 0, 1, None);
    let first = bench.sent_messages()[0].2;
    let mut last = first;
    for _ in 0..6 {
        bench.now = bench.now + last;
        bench.finish(1, 7, Outcome::Timeout, last);
        bench.accept(1000 + bench.now.0 as u32, 0, 1, None);
        match bench.until_action(Duration::from_secs(5)).first() {
            Some(Action::Route { message, timeout, .. }) => {
                last = *timeout;
                if message.0 != 1 {
                    break;
                }
            }
            _ => break,
        }
    }
    assert!(last > first, "{first:?} {last:?}");
}

#[test]
fn events_for_unknown_things_are_ignored() {
    let mut bench = with_one_endpoint(safe());
    bench.finish(99, 7, Outcome::Ok, ms(5));
    bench.finish(99, 98, Outcome::Rejected(Some(ms(5))), ms(5));
    bench.handle(Event::ClientGone(MessageId(99)));
    bench.handle(Event::TimerExpired(12345));
    bench.accept(1, 0, 1, None);
    assert_eq!(bench.sent_messages().len(), 1);
}

#[test]
fn the_clock_may_jump_far_ahead() {
    let mut bench = with_one_endpoint(keyed());
    (0..5).for_each(|id| bench.accept(id, 0, 1, None));
    bench.sent_messages();
    bench.now = bench.now + Duration::from_secs(100_000);
    let answers = bench.decide().iter().filter(|a| !matches!(a, Action::SetTimer { .. })).count();
    assert_eq!(answers, 5);
}

#[test]
fn messages_above_a_tenants_quota_are_shed_first() {
    let base = settings(vec![safe()]);
    let tenants = vec![Tenant { quota: 5.0 }, Tenant { quota: 1000.0 }];
    let mut bench = Bench::new(Settings { max_held: 40, tenants, over_quota_worth: 0.1, ..base }, vec![]);
    let deadline = bench.now + bench.settings.classes[0].deadline;
    for id in 0..40 {
        let tenant = TenantId(u32::from(id >= 20));
        let (class, destination) = (ClassId(0), DestinationId(1));
        let id = MessageId(id);
        let from_dead_courier = false;
        let accepted = Accepted { id, class, destination, key: None, deadline, from_dead_courier, tenant };
        bench.handle(Event::Accept(accepted));
    }
    let shed = bench.until_action(ms(5));
    assert!(!shed.is_empty());
    assert!(
        shed.iter().all(|a| matches!(a, Action::Return { message, .. } if (6..20).contains(&message.0))),
        "{shed:?}"
    );
}

#[test]
fn with_separate_routes_a_retry_after_time_applies_to_its_route_only() {
    let base = settings(vec![safe()]);
    let kinds = vec![Kind { max_batch: 1, own_limits: true }];
    let mut bench = Bench::new(Settings { kinds, ..base }, vec![endpoint(7, 1), endpoint(8, 1)]);
    bench.accept(1, 0, 1, None);
    let first = bench.sent_messages()[0].1;
    bench.finish(1, first, Outcome::Rejected(Some(ms(900))), ms(20));
    bench.accept(2, 0, 1, None);
    let other = bench.sent_messages();
    assert_eq!(other.len(), 1);
    assert_ne!(other[0].1, first);
}

/// Guards against breaking ties by id: couriers with few calls would all call the same endpoint of a destination.
#[test]
fn couriers_prefer_different_endpoints_of_a_destination() {
    let chosen: std::collections::BTreeSet<u32> = (0..30)
        .map(|seed| {
            let mut bench = Bench::new(settings(vec![safe()]), vec![]);
            bench.courier = Courier::new(bench.settings.clone(), seed);
            bench.handle(Event::Listed(Listing::Whole(vec![endpoint(7, 1), endpoint(8, 1), endpoint(9, 1)])));
            bench.accept(1, 0, 1, None);
            bench.sent_messages()[0].1
        })
        .collect();
    assert_eq!(chosen.len(), 3, "{chosen:?}");
}

/// A message that can never be resent must not block the messages behind it in its order key.
#[test]
fn a_message_that_cannot_be_resent_is_answered_at_once_and_releases_its_key() {
    let class = Class { in_order: true, ..unsafe_class() };
    let mut bench = with_one_endpoint(class);
    bench.accept(1, 0, 1, Some(5));
    bench.accept(2, 0, 1, Some(5));
    assert_eq!(bench.sent_messages().len(), 1);
    bench.now = bench.now + ms(50);
    bench.finish(1, 7, Outcome::Reset, ms(50));
    let mut actions = bench.decide();
    actions.extend(bench.until_action(ms(500)));
    assert!(actions.contains(&Action::ReportFailure { message: MessageId(1) }), "{actions:?}");
    assert!(actions.iter().any(|a| matches!(a, Action::Route { message: MessageId(2), .. })), "{actions:?}");
}

#[test]
fn a_message_without_attempts_left_is_returned_at_once() {
    let mut bench = with_one_endpoint(unsafe_class());
    bench.restart(Settings { max_attempts: 1, ..bench.settings.clone() }, 1, vec![endpoint(7, 1)]);
    bench.accept(1, 0, 1, None);
    bench.sent_messages();
    bench.finish(1, 7, Outcome::Rejected(None), ms(20));
    let rejected = |action: &Action| matches!(action, Action::Return { message: MessageId(1), .. });
    assert!(bench.decide().iter().any(rejected));
}

/// Sends a message to each of `count` destinations in turn, each with a connection idle for two seconds. Calls on these end
/// with `outcome`, calls on new connections succeed. Returns how often idle connections were closed before use.
fn closes_after(outcome: Outcome, count: u32) -> usize {
    let all = (1..=count).map(|d| endpoint(d, d)).collect();
    let mut bench = Bench::new(settings(vec![safe()]), all);
    let mut id = 0;
    let mut call = |bench: &mut Bench, to: u32, outcome: Outcome| {
        id += 1;
        bench.accept(id, 0, to, None);
        let actions = bench.decide();
        let closes = actions.iter().filter(|a| matches!(a, Action::CloseIdle { .. })).count();
        bench.now = bench.now + ms(20);
        bench.finish(id, to, if closes > 0 { Outcome::Ok } else { outcome }, ms(20));
        bench.handle(Event::ClientGone(MessageId(id)));
        closes
    };
    (1..=count).for_each(|to| assert_eq!(call(&mut bench, to, Outcome::Ok), 0));
    bench.now = bench.now + Duration::from_secs(2);
    (1..=count).map(|to| call(&mut bench, to, outcome)).sum()
}

/// Idle connections may be dropped without notice: the next call on one is lost.
#[test]
fn idle_connections_are_closed_before_use_once_calls_on_them_get_lost() {
    assert_eq!(closes_after(Outcome::Ok, 12), 0);
    assert!(closes_after(Outcome::Reset, 12) >= 6);
}

/// One lost answer is not an outage: if some answers are lost, messages must not wait for trial calls.
#[test]
fn a_single_reset_is_no_outage_but_a_failed_connection_is() {
    let next_send = |outcome: Outcome| {
        let mut bench = with_one_endpoint(safe());
        bench.restart(Settings { couriers: 2, ..bench.settings.clone() }, 1, vec![endpoint(7, 1)]);
        bench.accept(1, 0, 1, None);
        bench.sent_messages();
        bench.now = bench.now + ms(20);
        bench.finish(1, 7, outcome, ms(20));
        bench.accept(2, 0, 1, None);
        !bench.sent_messages().is_empty()
    };
    assert!(next_send(Outcome::Reset));
    assert!(!next_send(Outcome::ConnectFailed));
}

/// Guards against treating these rejections as an exceeded limit: a hung partner with a full queue rejects although its
/// limit is not used up.
#[test]
fn rejections_with_an_unused_limit_count_as_an_outage() {
    let sends_after = |left: f64| {
        let mut bench = with_one_endpoint(safe());
        (0..200).for_each(|id| bench.accept(id, 0, 1, None));
        let mut sends = 0;
        let began = bench.now;
        while bench.now - began < Duration::from_secs(4) {
            for (id, to, _) in bench.sent_messages() {
                sends += 1;
                bench.reject(id, to, left, 100.0);
            }
            bench.now = bench.now + ms(50);
        }
        sends
    };
    assert!(sends_after(0.9) < sends_after(0.0), "{} {}", sends_after(0.9), sends_after(0.0));
}

/// Hung calls take the slots of other destinations: if no slot is free, the oldest one is cancelled.
#[test]
fn with_all_slots_taken_a_stalled_call_is_cancelled() {
    let base = settings(vec![safe()]);
    let mut bench = Bench::new(Settings { call_slots: 2, ..base }, vec![endpoint(1, 1), endpoint(2, 2)]);
    (0..2).for_each(|id| bench.accept(id, 0, 1 + id, None));
    assert_eq!(bench.sent_messages().len(), 2);
    bench.accept(5, 0, 2, None);
    let cancelled = bench.until_action(Duration::from_secs(3));
    assert_eq!(cancelled, [Action::CancelAttempt { message: MessageId(0), attempt: 0 }]);
}

/// Among destinations with equally many calls, the slot goes to the message of most worth, not to the first destination.
#[test]
fn ties_between_destinations_are_broken_by_worth() {
    let rich = Class { worth: 5.0, ..safe() };
    let base = settings(vec![safe(), rich]);
    let mut bench = Bench::new(Settings { call_slots: 1, ..base }, vec![endpoint(1, 1), endpoint(2, 2)]);
    bench.accept(1, 0, 1, None);
    bench.accept(2, 1, 2, None);
    assert_eq!(bench.sent_messages()[0].0, 2);
}

/// Guards against couriers with low traffic that all failed to connect and retried together every few seconds.
#[test]
fn low_traffic_couriers_call_a_dead_destination_rarely() {
    let mut trials = 0;
    for seed in 0..100 {
        let mut bench = with_one_endpoint(safe());
        bench.restart(Settings { couriers: 400, ..bench.settings.clone() }, seed, vec![endpoint(7, 1)]);
        bench.accept(1, 0, 1, None);
        bench.sent_messages();
        bench.finish(1, 7, Outcome::ConnectFailed, ms(20));
        let began = bench.now;
        while bench.now - began < Duration::from_secs(12) {
            for action in bench.until_action(Duration::from_secs(1)) {
                if let Action::Route { message, .. } = action {
                    trials += 1;
                    bench.finish(message.0, 7, Outcome::ConnectFailed, ms(20));
                }
            }
        }
    }
    assert!((1..=160).contains(&trials), "{trials} trials of 100 couriers in 12 s");
}

/// With many couriers the fair share of a limit is one call in minutes: it must not delay messages that come at most once per
/// aim.
#[test]
fn a_courier_with_low_traffic_sends_at_once_while_nothing_was_rejected() {
    let mut bench = with_one_endpoint(safe());
    bench.restart(Settings { couriers: 400, ..bench.settings.clone() }, 1, vec![endpoint(7, 1)]);
    for id in 0..10 {
        bench.accept(id, 0, 1, None);
        assert_eq!(bench.sent_messages().len(), 1);
        bench.now = bench.now + ms(30);
        bench.finish(id, 7, Outcome::Ok, ms(30));
        bench.now = bench.now + safe().aim;
    }
}

/// Rejected calls use up the limit too. Guards against first and second attempts that keep it used up.
#[test]
fn with_batches_one_rejection_limits_the_rate_to_one_call_per_aim() {
    let sends_after_a_rejection = |batch: usize, seconds: u64| {
        let base = settings(vec![safe()]);
        let kinds = vec![Kind { max_batch: batch, own_limits: false }];
        let mut bench = Bench::new(Settings { couriers: 400, kinds, ..base }, vec![endpoint(7, 1)]);
        bench.accept(1, 0, 1, None);
        let mut calls = 0;
        let began = bench.now;
        while bench.now - began < Duration::from_secs(seconds) {
            let sent = bench.sent_messages();
            calls += sent.len();
            for (id, to, _) in sent {
                bench.finish(id, to, Outcome::Rejected(None), ms(20));
            }
            bench.now = bench.now + ms(20);
        }
        calls
    };
    assert!(sends_after_a_rejection(20, 12) <= sends_after_a_rejection(1, 12));
    assert_eq!(sends_after_a_rejection(20, 3), 1);
}

/// Guards against synchronized repeats: a hung partner rejected a burst at many couriers with low traffic at once, and their
/// first repeats all arrived when it returned.
#[test]
fn low_traffic_couriers_rejected_together_do_not_return_together() {
    let back_after = |seed: u64| {
        let mut bench = with_one_endpoint(safe());
        bench.restart(Settings { couriers: 200, ..bench.settings.clone() }, seed, vec![endpoint(7, 1)]);
        bench.accept(1, 0, 1, None);
        bench.sent_messages();
        bench.finish(1, 7, Outcome::Rejected(None), ms(20));
        let rejected = bench.now;
        assert!(matches!(bench.until_action(Duration::from_secs(30))[..], [Action::Route { .. }]));
        bench.now - rejected
    };
    let mut gaps: Vec<Duration> = (0..40).map(back_after).collect();
    gaps.sort_unstable();
    let aim = safe().aim;
    assert!(gaps[39] - gaps[0] > aim, "from {:?} to {:?}, aim {aim:?}", gaps[0], gaps[39]);
}

/// An endpoint that answers is up, even if its answers are malformed: unlike lost calls, a few such answers are no outage.
#[test]
fn malformed_answers_are_no_outage() {
    let outages_after = |outcome| {
        let mut bench = with_one_endpoint(unsafe_class());
        for id in 1..=4 {
            bench.accept(id, 0, 1, None);
            for (message, endpoint, _) in bench.sent_messages() {
                bench.finish(message, endpoint, outcome, ms(50));
            }
            bench.now = bench.now + ms(100);
        }
        bench.courier.outages().filter(|outage| outage.calls_lost.is_some()).count()
    };
    assert_eq!(outages_after(Outcome::Malformed), 0);
    assert_eq!(outages_after(Outcome::Reset), 1);
}

/// The listing may give a limit that answers correct. Neither may reduce the rate when it is repeated.
#[test]
fn a_repeated_listing_keeps_rate_and_advertised_limit() {
    let mut bench = with_one_endpoint(safe());
    bench.restart(Settings { couriers: 2, ..bench.settings.clone() }, 1, vec![endpoint(7, 1)]);
    let report = LimitReport { remaining_share: 0.4, limit: 60.0 };
    let mut answer = |id: u32| {
        bench.accept(id, 0, 1, None);
        assert_eq!(bench.sent_messages().len(), 1);
        bench.now = bench.now + ms(50);
        bench.accept(1000 + id, 0, 1, None);
        bench.finish_with_report(id, 7, Outcome::Ok, ms(50), Some(report));
        let status = bench.courier.destination_statuses(bench.now).next().expect("a message waits");
        for (more, to, _) in bench.sent_messages() {
            bench.finish_with_report(more, to, Outcome::Ok, ms(50), Some(report));
        }
        bench.handle(Event::Listed(Listing::Changes(vec![endpoint(7, 1)])));
        bench.now = bench.now + ms(500);
        (status.rate, status.limit)
    };
    let first = answer(1);
    for id in 2..12 {
        let (rate, limit) = answer(id);
        assert_eq!(limit, 60.0);
        assert!((rate / first.0 - 1.0).abs() < 0.01, "{rate} after {}", first.0);
    }
}
