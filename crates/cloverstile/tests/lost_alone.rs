//! Calls that are lost with their connections while other calls to the same destination are answered. Guards against such
//! calls occupying most call slots until the deadlines of their messages (20 of 30 slots), and against treating their
//! destinations as in an outage (for up to 20 s).

mod common;

use cloverstile::*;
use common::*;
use std::time::Duration;

/// Sends a message that is answered at once.
fn deliver(bench: &mut Bench, id: u32, destination: u32) {
    bench.accept(id, 0, destination, None);
    bench.now = bench.now + ms(20);
    for (message, to, _) in bench.sent_messages() {
        bench.finish(message, to, Outcome::Ok, ms(15));
    }
}

/// Sends messages that are never answered, one after the other.
fn lose(bench: &mut Bench, ids: std::ops::Range<u32>, destination: u32) {
    for id in ids {
        bench.accept(id, 0, destination, None);
        bench.now = bench.now + ms(20);
        assert_eq!(bench.sent_messages().len(), 1, "message {id} is sent");
    }
}

/// Three destinations, each with four call slots taken by calls that were lost some time ago.
fn with_lost_calls(call_slots: usize) -> Bench {
    let endpoints = (1..=3).map(|to| endpoint(to + 6, to)).collect();
    let settings = Settings { call_slots, ..settings(vec![unsafe_class()]) };
    let mut bench = Bench::new(settings, endpoints);
    for to in 1..=3 {
        let first = to * 100;
        lose(&mut bench, first..first + 4, to);
        deliver(&mut bench, first + 50, to);
    }
    for round in 0..60 {
        for to in 1..=3 {
            deliver(&mut bench, 1000 + round * 3 + to, to);
        }
    }
    bench
}

#[test]
fn a_few_lost_calls_delay_no_message_while_slots_are_free() {
    let mut bench = with_lost_calls(16);
    bench.accept(5000, 0, 1, None);
    assert_eq!(bench.sent_messages().len(), 1);
}

#[test]
fn no_traffic_after_a_lost_call_is_no_outage() {
    let mut bench = with_lost_calls(32);
    bench.now = bench.now + Duration::from_secs(3);
    for id in 5000..5003 {
        bench.accept(id, 0, 1, None);
    }
    // In an outage the first trial call would wait for the stall timeout, and the second for the first.
    assert_eq!(bench.sent_messages().len(), 3);
}

#[test]
fn lost_calls_do_not_delay_trial_calls() {
    let mut bench = with_lost_calls(32);
    lose(&mut bench, 5000..5001, 1);
    bench.now = bench.now + Duration::from_secs(2);
    bench.accept(5001, 0, 1, None);
    assert!(bench.sent_messages().is_empty(), "calls are unanswered: no call before a trial call is due");
    let trial = bench.until_action(Duration::from_secs(4));
    assert!(matches!(trial[0], Action::Route { message: MessageId(5001), .. }), "{trial:?}");
}

/// Slots go to the destination with the fewest calls in flight. If lost calls counted, a partner with a few of them would get
/// no slot while other destinations have messages (for eight seconds with four of fifteen slots).
#[test]
fn lost_calls_do_not_cost_their_destination_its_turn() {
    let endpoints = (1..=6).map(|to| endpoint(to + 6, to)).collect();
    let mut bench = Bench::new(Settings { call_slots: 8, ..settings(vec![unsafe_class()]) }, endpoints);
    for lost in 0..4 {
        lose(&mut bench, lost..lost + 1, 1);
        // Until their latencies are known: they break ties between destinations with equally many calls in flight.
        for id in 0..240 {
            deliver(&mut bench, 1000 + lost * 240 + id, 1 + id % 6);
        }
    }
    // Four slots are free, and each of six destinations has more messages than slots.
    let mut served = [0; 6];
    let mut in_flight = std::collections::VecDeque::new();
    for round in 0..100 {
        for to in 1..=6 {
            bench.accept(2000 + 6 * round + to, 0, to, None);
        }
        bench.now = bench.now + ms(10);
        for (message, to, _) in bench.sent_messages() {
            served[to as usize - 7] += 1;
            in_flight.push_back((message, to));
        }
        if let Some((message, to)) = in_flight.pop_front() {
            bench.finish(message, to, Outcome::Ok, ms(15));
        }
    }
    let others = served[1..].iter().sum::<u32>() / 5;
    assert!(served[0] * 2 > others, "{served:?}");
}
