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
fn what_fails_at_once_is_tried_again_at_the_pace_of_the_fall_budget() {
    let silent = trials(safe(), Outcome::ConnectFailed, Duration::from_secs(1));
    for outcome in [Outcome::Error, Outcome::ConnectFailed] {
        let at_once = trials(safe(), outcome, ms(20));
        assert!(at_once > 8 * silent, "{outcome:?}: {at_once} trials, {silent} where it is silent");
        // 100 a second, of which a cold destination does a fifth, twice that is allowed, four fifths are used.
        assert!(at_once < 400, "{outcome:?}: {at_once} trials in ten seconds");
    }
}

#[test]
fn what_may_not_be_repeated_is_risked_seldom_in_a_spell() {
    let unsafe_ones = trials(unsafe_class(), Outcome::Error, ms(20));
    assert!(unsafe_ones < 60, "{unsafe_ones} unsafe messages were lost to a failing destination");
}
