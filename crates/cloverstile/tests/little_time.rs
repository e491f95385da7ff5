//! Messages that have less time left than an answer takes. Guards against one client that enqueues many of them: their calls, which
//! are given up unanswered, looked like an outage of the partner, and went before the messages of all other clients.

mod common;

use cloverstile::*;
use common::*;
use std::time::Duration;

/// Time left of the messages without hope, and time that an answer takes.
const TIME_LEFT: Duration = Duration::from_millis(60);

/// Accepts a message with [`TIME_LEFT`] until its deadline.
fn accept_with_little_time(bench: &mut Bench, id: u32) {
    let class = bench.settings.classes[0].clone();
    let message = accepted(bench.now, id, (ClassId(0), &class), 1, None);
    let deadline = bench.now + TIME_LEFT;
    bench.handle(Event::Accept(Accepted { deadline, ..message }));
}

#[test]
fn calls_without_enough_time_are_no_sign_of_an_outage() {
    for outcome in [Outcome::Timeout, Outcome::ConnectFailed] {
        let mut bench = Bench::new(settings(vec![unsafe_class()]), vec![endpoint(7, 1)]);
        for id in 1..=20 {
            accept_with_little_time(&mut bench, id);
            assert_eq!(bench.sent_messages(), [(id, 7, TIME_LEFT)], "{outcome:?}");
            bench.now = bench.now + TIME_LEFT;
            bench.finish(id, 7, outcome, TIME_LEFT);
        }
        assert_eq!(bench.courier.outages().count(), 0, "{outcome:?}");
        bench.accept(100, 0, 1, None);
        assert_eq!(bench.sent_messages().len(), 1, "{outcome:?}");
    }
}

/// A refused connection ends long before the message's time does, and is a sign of an outage as before; so is a call without an
/// answer that had enough time.
#[test]
fn calls_that_fail_early_or_had_time_are_signs_of_an_outage() {
    let mut bench = Bench::new(settings(vec![unsafe_class()]), vec![endpoint(7, 1)]);
    accept_with_little_time(&mut bench, 1);
    bench.sent_messages();
    bench.finish(1, 7, Outcome::ConnectFailed, ms(1));
    assert_eq!(bench.courier.outages().count(), 1);

    let mut bench = Bench::new(settings(vec![unsafe_class()]), vec![endpoint(7, 1)]);
    bench.accept(1, 0, 1, None);
    let (_, _, timeout) = bench.sent_messages()[0];
    bench.now = bench.now + timeout;
    bench.finish(1, 7, Outcome::Timeout, timeout);
    assert_eq!(bench.courier.outages().count(), 1);
}

#[test]
fn messages_without_enough_time_go_after_all_others() {
    let settings = Settings { call_slots: 1, ..settings(vec![unsafe_class()]) };
    let mut bench = Bench::new(settings, vec![endpoint(7, 1)]);
    for id in 1..=20 {
        accept_with_little_time(&mut bench, id);
    }
    for id in 100..103 {
        bench.accept(id, 0, 1, None);
        let sent = bench.sent_messages();
        assert_eq!(sent.iter().map(|sent| sent.0).collect::<Vec<_>>(), [id]);
        bench.now = bench.now + ms(10);
        bench.finish(id, 7, Outcome::Ok, ms(10));
    }
    // Nothing else waits any more.
    assert!(bench.until_action(ms(5)).iter().any(|action| matches!(action, Action::Route { .. })));
}
