//! Restarts, acknowledged answers and shutdowns, which the simulator's wire protocol does not cover.

mod common;

use cloverstile::*;
use common::*;
use std::time::Duration;

fn bench(classes: Vec<Class>, acknowledged_answers: bool) -> Bench {
    let settings = Settings { acknowledged_answers, ..settings(classes) };
    let rules = Rules { order_settle: ms(100), ..settings.rules.clone() };
    Bench::new(Settings { rules, ..settings }, vec![endpoint(11, 3)])
}

fn restored(bench: &Bench, id: u32, key: Option<u64>, attempts: u32, may_have_run: Option<Time>) -> Restored {
    let class = (ClassId(0), &bench.settings.classes[0]);
    let accepted = accepted(bench.now, id, class, 3, key);
    Restored {
        accepted,
        attempts,
        may_have_run: may_have_run.map(|at| (at, Some(ZoneId(0)))),
        answered: false,
    }
}

fn ordered() -> Class {
    Class { in_order: true, ..keyed() }
}

#[test]
fn an_unsafe_message_that_may_have_run_fails_at_once() {
    let mut bench = bench(vec![unsafe_class()], true);
    let message = restored(&bench, 1, None, 1, Some(bench.now - ms(700)));
    bench.handle(Event::Restored(message));
    let actions = bench.decide();
    assert!(matches!(actions[0], Action::ReportFailure { message: MessageId(1) }), "{actions:?}");
    assert!(!actions.iter().any(|action| matches!(action, Action::Route { .. })));
}

#[test]
fn an_unsafe_message_that_never_ran_is_sent() {
    let mut bench = bench(vec![unsafe_class()], true);
    let message = restored(&bench, 1, None, 2, None);
    bench.handle(Event::Restored(message));
    assert_eq!(bench.sent_messages().len(), 1);
}

/// The window starts with the first attempt, made by the previous process, and not with the restart.
#[test]
fn a_repeat_window_starts_with_the_first_attempt_before_the_restart() {
    let mut bench = bench(vec![keyed()], true);
    let (inside, outside) = (bench.now - Duration::from_secs(5), bench.now - Duration::from_secs(10));
    let (first, second) =
        (restored(&bench, 1, None, 1, Some(inside)), restored(&bench, 2, None, 1, Some(outside)));
    bench.handle(Event::Restored(first));
    bench.handle(Event::Restored(second));
    let actions = bench.decide();
    let sent = |id| actions.iter().any(|a| matches!(a, Action::Route { message, .. } if message.0 == id));
    assert!(sent(1) && !sent(2), "{actions:?}");
    assert!(actions.contains(&Action::ReportFailure { message: MessageId(2) }));
}

#[test]
fn attempts_made_before_a_restart_count() {
    let mut bench = bench(vec![keyed()], true);
    let message = restored(&bench, 1, None, bench.settings.max_attempts, None);
    bench.handle(Event::Restored(message));
    let actions = bench.decide();
    assert!(matches!(actions[0], Action::Return { message: MessageId(1), .. }), "{actions:?}");
}

/// Any key may have had a call in flight when the previous process died: all are blocked, also those of new messages.
#[test]
fn keys_are_blocked_after_a_restart_and_continue_in_order() {
    let mut bench = bench(vec![ordered()], true);
    for id in [1, 2] {
        let message = restored(&bench, id, Some(5), 0, None);
        bench.handle(Event::Restored(message));
    }
    bench.accept(3, 0, 3, Some(6));
    assert_eq!(bench.sent_messages(), []);
    bench.now = bench.now + ms(100);
    let sent: Vec<u32> = bench.sent_messages().iter().map(|(message, ..)| *message).collect();
    assert!(sent.contains(&1) && sent.contains(&3) && !sent.contains(&2), "{sent:?}");
}

/// A message with an unacknowledged answer keeps its key, also over a restart.
#[test]
fn a_key_is_released_when_the_answer_is_acknowledged() {
    let mut bench = bench(vec![ordered()], true);
    let answered = Restored { answered: true, ..restored(&bench, 1, Some(5), 1, Some(bench.now - ms(900))) };
    bench.handle(Event::Restored(answered));
    bench.accept(2, 0, 3, Some(5));
    bench.now = bench.now + Duration::from_secs(1);
    assert_eq!(bench.sent_messages(), []);
    bench.handle(Event::AnswerAcknowledged(MessageId(1)));
    assert_eq!(bench.sent_messages().len(), 1);
}

/// An outage seen before a restart still limits the calls after it.
#[test]
fn an_outage_is_remembered_over_a_restart() {
    let mut bench = bench(vec![safe()], true);
    (1..=3).for_each(|id| bench.accept(id, 0, 3, None));
    for (message, endpoint, _) in bench.sent_messages() {
        bench.finish(message, endpoint, Outcome::ConnectFailed, ms(1));
    }
    let outages: Vec<OutageRecord> = bench.courier.outages().collect();
    assert_eq!(outages.len(), 1);
    let settings = bench.settings.clone();
    bench.restart(settings, 2, vec![endpoint(11, 3)]);
    assert_eq!(bench.courier.outages().count(), 0);
    outages.iter().for_each(|outage| bench.handle(Event::OutageRestored(*outage)));
    (11..=20).for_each(|id| bench.accept(id, 0, 3, None));
    // Without the outage record all ten would be sent at once.
    assert!(bench.sent_messages().len() <= 1);
    assert_eq!(bench.courier.outages().next().map(|outage| outage.since), Some(outages[0].since));
}

/// No call is started that is expected to outlast the courier.
#[test]
fn no_call_is_started_shortly_before_the_shutdown() {
    let mut bench = bench(vec![keyed()], true);
    bench.handle(Event::ShutdownAt(bench.now + Duration::from_secs(3)));
    bench.accept(1, 0, 3, None);
    assert_eq!(bench.sent_messages().len(), 1);
    bench.now = bench.now + ms(2900);
    bench.accept(2, 0, 3, None);
    assert_eq!(bench.sent_messages(), []);
}

/// A message without attempts left ends at once; it is returned if none of its attempts ran.
#[test]
fn a_message_with_exhausted_attempts_is_returned_at_once() {
    let mut bench = bench(vec![unsafe_class()], true);
    bench.accept(1, 0, 3, None);
    let (message, endpoint, _) = bench.sent_messages()[0];
    bench.finish(message, endpoint, Outcome::AttemptsExhausted, ms(1));
    let actions = bench.decide();
    let retry_after = actions.iter().find_map(|action| match action {
        Action::Return { message: MessageId(1), retry_after } => Some(*retry_after),
        _ => None,
    });
    assert!(retry_after.is_some_and(|after| after > Duration::ZERO), "{actions:?}");
}

/// Messages sent by one of twenty couriers in each of five spans after a start with some evidence of an outage. The delay of
/// the first call is random.
fn sends_after_a_start(evidence: u32, seed: u64, span: Duration) -> [usize; 5] {
    let settings = Settings { couriers: 20, ..settings(vec![safe()]) };
    let mut bench = Bench::new(settings.clone(), vec![endpoint(7, 1)]);
    bench.restart(settings, seed, vec![endpoint(7, 1)]);
    let (destination, since) = (DestinationId(1), bench.now);
    let outage = OutageRecord {
        destination,
        endpoint: None,
        since,
        evidence,
        calls_lost: None,
        slow_start_since: None,
        served_rate: 0.0,
    };
    if evidence > 0 {
        bench.handle(Event::OutageRestored(outage));
    }
    (0..60).for_each(|id| bench.accept(id, 0, 1, None));
    [(); 5].map(|()| {
        (0..span.as_millis() / 20).fold(0, |sent, _| {
            bench.now = bench.now + ms(20);
            sent + bench.sent_messages().len()
        })
    })
}

/// One lost call may be all that a courier saw of an outage; a restart must not make it forget that.
#[test]
fn after_a_lost_call_and_a_restart_only_the_collapse_budget_is_used() {
    let usual = sends_after_a_start(0, 1, ms(1000))[0];
    assert!(usual >= 6, "{usual}");
    for seed in 1..=20 {
        let sent = sends_after_a_start(3, seed, ms(1000));
        assert!(sent.iter().all(|second| *second <= 3), "seed {seed}: {sent:?} of {usual}");
        assert!((1..=12).contains(&sent.iter().sum::<usize>()), "seed {seed}: {sent:?} of {usual}");
    }
}

/// Guards against couriers that restart together and each start with a saved call.
#[test]
fn couriers_restarted_together_during_an_outage_do_not_call_together() {
    // After one rejection the usual rate of ten calls a second is used, after a lost call the collapse budget.
    for (evidence, span) in [(1, ms(200)), (3, ms(1000))] {
        let early = (1..=200).filter(|seed| sends_after_a_start(evidence, *seed, span)[0] > 0).count();
        assert!((20..=130).contains(&early), "{evidence}: {early} of 200 in {span:?}");
    }
}
