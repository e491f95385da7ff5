//! Endpoints in several zones, and worth that halves with each aim.

mod common;

use cloverstile::*;
use common::*;

/// A courier in zone 1 with one endpoint in its zone (8) and one in another (7).
fn two_zones() -> Bench {
    let near = Endpoint { zone: ZoneId(1), ..endpoint(8, 1) };
    let settings = Settings { zone: Some(ZoneId(1)), ..settings(vec![keyed()]) };
    Bench::new(settings, vec![endpoint(7, 1), near])
}

#[test]
fn an_endpoint_of_the_local_zone_is_called_first() {
    for seed in 0..20 {
        let mut bench = two_zones();
        bench.courier = Courier::new(bench.settings.clone(), seed);
        let near = Endpoint { zone: ZoneId(1), ..endpoint(8, 1) };
        bench.handle(Event::Listed(Listing::Whole(vec![endpoint(7, 1), near])));
        bench.accept(1, 0, 1, None);
        assert_eq!(bench.sent_messages()[0].1, 8, "seed {seed}");
    }
}

#[test]
fn calls_go_to_another_zone_if_the_local_endpoint_is_busy() {
    let mut bench = two_zones();
    let mut called = Vec::new();
    for id in 1..=6 {
        bench.accept(id, 0, 1, None);
        called.extend(bench.sent_messages().iter().map(|sent| sent.1));
        bench.now = bench.now + ms(50);
    }
    assert_eq!(called, [8, 8, 8, 7, 8, 7]);
}

/// With halving, an old message that has reached its least worth loses nothing more by waiting. With linear decay it loses
/// worth up to the deadline.
#[test]
fn a_message_at_its_least_worth_lets_fresh_ones_go_first() {
    let first_sent = |decay: Decay| {
        let class = Class { aim: ms(2_000), deadline: ms(6_000), late_share: 0.6, ..keyed() };
        let mut bench = Bench::new(Settings { decay, ..settings(vec![class]) }, vec![]);
        bench.accept(1, 0, 1, None);
        bench.decide();
        bench.now = bench.now + ms(3_500);
        bench.accept(2, 0, 1, None);
        bench.handle(Event::Listed(Listing::Whole(vec![endpoint(7, 1)])));
        bench.sent_messages()[0].0
    };
    assert_eq!(first_sent(Decay::Halving), 2);
    assert_eq!(first_sent(Decay::Linear), 1);
}
