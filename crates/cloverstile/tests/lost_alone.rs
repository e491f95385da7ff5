//! Calls that were lost by themselves, on their connections, while others to the same destination are answered. Seen on a
//! day of busy partners on which single connections fell silent: of 30 call slots some 20 were taken by such calls, up to
//! the deadline of what they carried, and their destinations were held to be out for up to 20 s.

mod common;

use cloverstile::*;
use common::*;
use std::time::Duration;

/// Sends a message and has it answered at once.
fn deliver(bench: &mut Bench, id: u32, destination: u32) {
    bench.accept(id, 0, destination, None);
    bench.now = bench.now + ms(20);
    for (message, to, _) in bench.routes() {
        bench.finish(message, to, Outcome::Ok, ms(15));
    }
}

/// Sends messages that are never answered, one after the other.
fn lose(bench: &mut Bench, ids: std::ops::Range<u32>, destination: u32) {
    for id in ids {
        bench.accept(id, 0, destination, None);
        bench.now = bench.now + ms(20);
        assert_eq!(bench.routes().len(), 1, "message {id} is sent");
    }
}

/// Three destinations, each with four of the slots taken by calls that were lost a while ago.
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
fn lost_calls_here_and_there_hold_up_nobody_while_slots_are_left() {
    let mut bench = with_lost_calls(16);
    bench.accept(5000, 0, 1, None);
    assert_eq!(bench.routes().len(), 1);
}

#[test]
fn a_lull_behind_a_lost_call_is_no_outage() {
    let mut bench = with_lost_calls(32);
    bench.now = bench.now + Duration::from_secs(3);
    for id in 5000..5003 {
        bench.accept(id, 0, 1, None);
    }
    // In a spell the first trial would wait for a stall, and the second for the first.
    assert_eq!(bench.routes().len(), 3);
}

#[test]
fn lost_calls_do_not_hold_up_the_trials_of_an_outage() {
    let mut bench = with_lost_calls(32);
    lose(&mut bench, 5000..5001, 1);
    bench.now = bench.now + Duration::from_secs(2);
    bench.accept(5001, 0, 1, None);
    assert!(bench.routes().is_empty(), "it is silent: no call before a trial is due");
    let trial = bench.until_action(Duration::from_secs(4));
    assert!(matches!(trial[0], Action::Route { message: MessageId(5001), .. }), "{trial:?}");
}

/// Seen in full on that day: the largest partner had four of fifteen slots taken by lost calls and got no other slot for
/// eight seconds, as every other destination with work had fewer calls out.
#[test]
fn lost_calls_do_not_cost_their_destination_its_turn() {
    let endpoints = (1..=6).map(|to| endpoint(to + 6, to)).collect();
    let mut bench = Bench::new(Settings { call_slots: 8, ..settings(vec![unsafe_class()]) }, endpoints);
    for lost in 0..4 {
        lose(&mut bench, lost..lost + 1, 1);
        // Until their latencies are known well: they decide between destinations with as many calls out.
        for id in 0..240 {
            deliver(&mut bench, 1000 + lost * 240 + id, 1 + id % 6);
        }
    }
    // Four slots are left, and six destinations that each have more than enough for them.
    let mut served = [0; 6];
    let mut out = std::collections::VecDeque::new();
    for round in 0..100 {
        for to in 1..=6 {
            bench.accept(2000 + 6 * round + to, 0, to, None);
        }
        bench.now = bench.now + ms(10);
        for (message, to, _) in bench.routes() {
            served[to as usize - 7] += 1;
            out.push_back((message, to));
        }
        if let Some((message, to)) = out.pop_front() {
            bench.finish(message, to, Outcome::Ok, ms(15));
        }
    }
    let others = served[1..].iter().sum::<u32>() / 5;
    assert!(served[0] * 2 > others, "{served:?}");
}
