//! Trial calls to a destination in a spell of failures.

mod common;

use cloverstile::*;
use common::*;
use std::time::Duration;

/// Calls sent in ten seconds to a destination that ends each one so, with plenty waiting.
fn trials(class: Class, outcome: Outcome, latency: Duration) -> usize {
    let mut bench = Bench::new(settings(vec![class]), vec![endpoint(7, 1)]);
    let mut out: Vec<(Time, u32)> = Vec::new();
    let mut sent = 0;
    for id in 0..120 {
        bench.accept(id, 0, 1, None);
    }
    let end = bench.now + Duration::from_secs(10);
    while bench.now < end {
        let now = bench.now;
        for (_, id) in out.iter().filter(|(due, _)| *due <= now).copied().collect::<Vec<_>>() {
            bench.finish(id, 7, outcome, latency);
        }
        out.retain(|(due, _)| *due > now);
        for (id, ..) in bench.routes() {
            sent += 1;
            out.push((bench.now + latency, id));
        }
        bench.now = bench.now + ms(5);
    }
    sent
}

#[test]
fn calls_that_fail_fast_are_limited_by_the_collapse_budget() {
    let silent = trials(safe(), Outcome::ConnectFailed, Duration::from_secs(1));
    for outcome in [Outcome::Error, Outcome::ConnectFailed] {
        let at_once = trials(safe(), outcome, ms(20));
        assert!(at_once > 8 * silent, "{outcome:?}: {at_once} trials, {silent} where it is silent");
        // 100 a second, of which a cold destination does a fifth, twice that is allowed, four fifths are used.
        assert!(at_once < 400, "{outcome:?}: {at_once} trials in ten seconds");
    }
}

#[test]
fn unsafe_messages_are_rarely_risked_in_an_outage() {
    let unsafe_ones = trials(unsafe_class(), Outcome::Error, ms(20));
    assert!(unsafe_ones < 60, "{unsafe_ones} unsafe messages were lost to a failing destination");
}

/// The messages that go to a silent destination in five seconds, with most call slots taken elsewhere; by class, 0 for
/// what may be repeated and 1 for what may not.
fn beside_a_silent_trial(waiting: &[u8]) -> Vec<u32> {
    let settings = Settings { call_slots: 8, cancel: false, ..settings(vec![safe(), unsafe_class()]) };
    let mut bench = Bench::new(settings, vec![endpoint(7, 1), endpoint(8, 2)]);
    // Others hold four of eight slots, so that a quarter of what is free makes no room for a second trial.
    for id in 0..4 {
        bench.accept(id, 0, 2, None);
        assert_eq!(bench.routes().len(), 1, "{id}");
        bench.now = bench.now + ms(20);
    }
    // Unsafe, and lost by itself on its connection.
    bench.accept(10, 1, 1, None);
    assert_eq!(bench.routes().len(), 1);
    bench.now = bench.now + Duration::from_secs(2);
    for (id, class) in (20..).zip(waiting) {
        bench.accept(id, *class, 1, None);
    }
    let end = bench.now + Duration::from_secs(5);
    let mut sent = Vec::new();
    while bench.now < end {
        let routes = bench.routes();
        sent.extend(routes.iter().filter(|(_, to, _)| *to == 7).map(|(id, ..)| *id));
        bench.now = bench.now + ms(5);
    }
    sent
}

#[test]
fn one_unanswered_trial_call_does_not_delay_the_next() {
    assert!(beside_a_silent_trial(&[0, 0]).contains(&20));
}

#[test]
fn no_unsafe_message_is_risked_during_an_unanswered_trial_call() {
    assert_eq!(beside_a_silent_trial(&[1, 1]), Vec::<u32>::new());
}

#[test]
fn unanswered_trial_calls_do_not_accumulate() {
    let sent = beside_a_silent_trial(&[0; 12]);
    // A quarter of eight slots, with the one that is out.
    assert_eq!(sent.len(), 1, "{sent:?}");
}

/// Calls sent in ten seconds to a destination that ends each one so at once, by who is to try it; 300 couriers share it.
fn trials_of(who: impl Fn(Time) -> TrialOwner, outcome: Outcome) -> usize {
    let settings = Settings { couriers: 300, ..settings(vec![safe()]) };
    let mut bench = Bench::new(settings, vec![endpoint(7, 1)]);
    (0..200).for_each(|id| bench.accept(id, 0, 1, None));
    let (mut out, mut sent) = (Vec::new(), 0);
    let end = bench.now + Duration::from_secs(10);
    while bench.now < end {
        bench.handle(Event::TrialOwnerChanged(DestinationId(1), who(bench.now)));
        std::mem::take(&mut out).into_iter().for_each(|id| bench.finish(id, 7, outcome, ms(20)));
        out = bench.routes().into_iter().map(|(id, ..)| id).collect();
        sent += out.len();
        bench.now = bench.now + ms(5);
    }
    sent
}

/// Who tries for 300 couriers tries about as often as a few of them would, and those for whom it tries not at all; whatever was
/// agreed on once, nobody is idle once it is over.
#[test]
fn the_trial_owner_calls_for_all_couriers_and_its_term_expires() {
    for outcome in [Outcome::Error, Outcome::ConnectFailed] {
        let held = trials_of(|now| TrialOwner::ThisCourier(now + ms(500)), outcome);
        let own = trials_of(|_| TrialOwner::EachCourier, outcome);
        assert!((25..400).contains(&held), "{outcome:?}: {held} by who tries for all");
        assert!(held > 2 * own, "{outcome:?}: {held} by who tries for all, {own} by each for itself");
        let elsewhere = trials_of(|now| TrialOwner::OtherCourier(now + ms(500)), outcome);
        assert!(elsewhere < 10, "{outcome:?}: {elsewhere} by who does not");
        let (first, over) = (Time(0), Time(0) + Duration::from_secs(1));
        for past in [TrialOwner::ThisCourier(first), TrialOwner::OtherCourier(over)] {
            assert_eq!(trials_of(|_| past, outcome), own, "{outcome:?}: {past:?} is over");
        }
    }
}
