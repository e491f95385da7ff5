//! Endpoints in more than one zone, and worth that falls in halves.

mod common;

use cloverstile::*;
use common::*;

/// A courier in zone 1 with one endpoint there (8), and one elsewhere (7).
fn two_zones() -> Bench {
    let near = Endpoint { zone: ZoneId(1), ..endpoint(8, 1) };
    let settings = Settings { zone: Some(ZoneId(1)), ..settings(vec![keyed()]) };
    Bench::new(settings, vec![endpoint(7, 1), near])
}

#[test]
fn an_endpoint_of_the_own_zone_is_called_first() {
    for seed in 0..20 {
        let mut bench = two_zones();
        bench.courier = Courier::new(bench.settings.clone(), seed);
        let near = Endpoint { zone: ZoneId(1), ..endpoint(8, 1) };
        bench.tell(Event::Listed(Listing::Whole(vec![endpoint(7, 1), near])));
        bench.accept(1, 0, 1, None);
        assert_eq!(bench.routes()[0].1, 8, "seed {seed}");
    }
}

#[test]
fn a_busy_endpoint_of_the_own_zone_passes_work_on() {
    let mut bench = two_zones();
    let mut called = Vec::new();
    for id in 1..=6 {
        bench.accept(id, 0, 1, None);
        called.extend(bench.routes().iter().map(|sent| sent.1));
        bench.now = bench.now + ms(50);
    }
    assert_eq!(called, [8, 8, 8, 7, 8, 7]);
}

/// Where worth falls by halves, an old message that has sunk to its least worth loses nothing more by waiting.
/// A line keeps falling up to the deadline.
#[test]
fn what_has_sunk_to_its_least_worth_lets_the_fresh_go_first() {
    let first_sent = |decay: Decay| {
        let class = Class { aim: ms(2_000), deadline: ms(6_000), late_share: 0.6, ..keyed() };
        let mut bench = Bench::new(Settings { decay, ..settings(vec![class]) }, vec![]);
        bench.accept(1, 0, 1, None);
        bench.decide();
        bench.now = bench.now + ms(3_500);
        bench.accept(2, 0, 1, None);
        bench.tell(Event::Listed(Listing::Whole(vec![endpoint(7, 1)])));
        bench.routes()[0].0
    };
    assert_eq!(first_sent(Decay::Halving), 2);
    assert_eq!(first_sent(Decay::Linear), 1);
}
