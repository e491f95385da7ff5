//! Trial calls to a destination in an outage.

mod common;

use cloverstile::*;
use common::*;
use std::time::Duration;

/// Number of calls sent in ten seconds to a destination where every call ends with `outcome`, with many waiting messages.
fn trials(class: Class, outcome: Outcome, latency: Duration) -> usize {
    let mut bench = Bench::new(settings(vec![class]), vec![endpoint(7, 1)]);
    let mut in_flight: Vec<(Time, u32)> = Vec::new();
    let mut sent = 0;
    for id in 0..120 {
        bench.accept(id, 0, 1, None);
    }
    let end = bench.now + Duration::from_secs(10);
    while bench.now < end {
        let now = bench.now;
        for (_, id) in in_flight.iter().filter(|(due, _)| *due <= now).copied().collect::<Vec<_>>() {
            bench.finish(id, 7, outcome, latency);
        }
        in_flight.retain(|(due, _)| *due > now);
        for (id, ..) in bench.sent_messages() {
            sent += 1;
            in_flight.push((bench.now + latency, id));
        }
        bench.now = bench.now + ms(5);
    }
    sent
}

#[test]
fn calls_that_fail_fast_are_limited_by_the_collapse_budget() {
    let unanswered = trials(safe(), Outcome::ConnectFailed, Duration::from_secs(1));
    for outcome in [Outcome::Error, Outcome::ConnectFailed] {
        let failing_fast = trials(safe(), outcome, ms(20));
        assert!(
            failing_fast > 8 * unanswered,
            "{outcome:?}: {failing_fast} trials, {unanswered} where calls are unanswered"
        );
        // The collapse budget is 100 * 0.2 * 2 = 40 calls a second, 400 in ten seconds.
        assert!(failing_fast < 400, "{outcome:?}: {failing_fast} trials in ten seconds");
    }
}

#[test]
fn unsafe_messages_are_rarely_risked_in_an_outage() {
    let sent = trials(unsafe_class(), Outcome::Error, ms(20));
    assert!(sent < 60, "{sent} unsafe messages were lost to a failing destination");
}

/// The messages sent in five seconds to a destination that does not answer, with half of the call slots taken elsewhere.
/// `waiting` holds the class of each message: 0 is repeatable, 1 is not.
fn sent_during_an_unanswered_trial(waiting: &[u8]) -> Vec<u32> {
    let settings = Settings { call_slots: 8, cancel: false, ..settings(vec![safe(), unsafe_class()]) };
    let mut bench = Bench::new(settings, vec![endpoint(7, 1), endpoint(8, 2)]);
    // Other calls hold four of eight slots, so that a quarter of the free slots allows no second trial call.
    for id in 0..4 {
        bench.accept(id, 0, 2, None);
        assert_eq!(bench.sent_messages().len(), 1, "{id}");
        bench.now = bench.now + ms(20);
    }
    // An unsafe message, lost with its connection.
    bench.accept(10, 1, 1, None);
    assert_eq!(bench.sent_messages().len(), 1);
    bench.now = bench.now + Duration::from_secs(2);
    for (id, class) in (20..).zip(waiting) {
        bench.accept(id, *class, 1, None);
    }
    let end = bench.now + Duration::from_secs(5);
    let mut sent = Vec::new();
    while bench.now < end {
        let routes = bench.sent_messages();
        sent.extend(routes.iter().filter(|(_, to, _)| *to == 7).map(|(id, ..)| *id));
        bench.now = bench.now + ms(5);
    }
    sent
}

#[test]
fn one_unanswered_trial_call_does_not_delay_the_next() {
    assert!(sent_during_an_unanswered_trial(&[0, 0]).contains(&20));
}

#[test]
fn no_unsafe_message_is_risked_during_an_unanswered_trial_call() {
    assert_eq!(sent_during_an_unanswered_trial(&[1, 1]), Vec::<u32>::new());
}

#[test]
fn unanswered_trial_calls_do_not_accumulate() {
    let sent = sent_during_an_unanswered_trial(&[0; 12]);
    // A quarter of eight slots, including the call in flight.
    assert_eq!(sent.len(), 1, "{sent:?}");
}

/// Number of calls that one of 300 couriers sends in ten seconds to a destination where every call ends with `outcome`
/// quickly, for a given owner of the trial calls.
fn trials_with_owner(owner_at: impl Fn(Time) -> TrialOwner, outcome: Outcome) -> usize {
    let settings = Settings { couriers: 300, ..settings(vec![safe()]) };
    let mut bench = Bench::new(settings, vec![endpoint(7, 1)]);
    (0..200).for_each(|id| bench.accept(id, 0, 1, None));
    let (mut in_flight, mut sent) = (Vec::new(), 0);
    let end = bench.now + Duration::from_secs(10);
    while bench.now < end {
        bench.handle(Event::TrialOwnerChanged(DestinationId(1), owner_at(bench.now)));
        std::mem::take(&mut in_flight).into_iter().for_each(|id| bench.finish(id, 7, outcome, ms(20)));
        in_flight = bench.sent_messages().into_iter().map(|(id, ..)| id).collect();
        sent += in_flight.len();
        bench.now = bench.now + ms(5);
    }
    sent
}

/// The trial owner of 300 couriers makes about as many trial calls as a few couriers would, and the others make none. Once
/// its term has expired, every courier makes its own again.
#[test]
fn the_trial_owner_calls_for_all_couriers_and_its_term_expires() {
    for outcome in [Outcome::Error, Outcome::ConnectFailed] {
        let by_owner = trials_with_owner(|now| TrialOwner::ThisCourier(now + ms(500)), outcome);
        let own = trials_with_owner(|_| TrialOwner::EachCourier, outcome);
        assert!((25..400).contains(&by_owner), "{outcome:?}: {by_owner} by the trial owner");
        assert!(
            by_owner > 2 * own,
            "{outcome:?}: {by_owner} by the trial owner, {own} by a courier without one"
        );
        let by_other = trials_with_owner(|now| TrialOwner::OtherCourier(now + ms(500)), outcome);
        assert!(by_other < 10, "{outcome:?}: {by_other} by another courier");
        let (start, expiry) = (Time(0), Time(0) + Duration::from_secs(1));
        for past in [TrialOwner::ThisCourier(start), TrialOwner::OtherCourier(expiry)] {
            assert_eq!(trials_with_owner(|_| past, outcome), own, "{outcome:?}: {past:?} has expired");
        }
    }
}
