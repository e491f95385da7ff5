//! How long changes took, from what the source made and what couriers took in.

use gullcart_distribution::scope::Scope;
use gullcart_hollow::control::Published;
use gullcart_hollow::hollow::Advance;
use gullcart_hollow::in_force::{percentile, InForceTimes};
use gullcart_hollow::layout::{CourierIndex, Layout};
use gullcart_hollow::machine::Monotonic;
use std::time::Duration;

const MS: u64 = 1_000_000;

fn layout() -> Layout {
    Layout::new(4, 2, 1).unwrap()
}

fn published(revision: u64, scope: Scope, at_ms: u64, in_force_ms: Option<u64>) -> Published {
    let in_force = in_force_ms.map(|ms| Monotonic(ms * MS));
    Published { revision, scope, at: Monotonic(at_ms * MS), in_force }
}

fn advance(courier: u32, from: u64, upto: u64, at_ms: u64) -> Advance {
    Advance { courier: CourierIndex(courier), from, upto, in_force: Monotonic(at_ms * MS) }
}

fn everyone(_: CourierIndex) -> bool {
    true
}

#[test]
fn a_change_is_in_force_when_the_last_courier_of_its_scope_has_it() {
    let changes =
        [published(10, Scope::Global, 100, Some(160)), published(11, Scope::Zone(0), 110, Some(140))];
    let advances = [
        advance(0, 9, 11, 120),
        advance(1, 9, 10, 105),
        advance(1, 10, 11, 130),
        advance(2, 9, 11, 150),
        advance(3, 9, 10, 101),
    ];
    let times = InForceTimes::of(&layout(), &changes, &advances, everyone);
    let ms = Duration::from_millis;
    assert_eq!(times.everywhere, [ms(20), ms(50)]);
    assert_eq!(times.at_couriers, [ms(1), ms(5), ms(10), ms(20), ms(20), ms(50)]);
    assert_eq!(times.known, [ms(30), ms(60)]);
    assert_eq!((times.missing, times.unknown, times.known_too_early), (0, 0, 0));
    assert_eq!((times.late, times.known_late), (0, 0));
}

#[test]
fn what_breaks_a_promise_is_counted() {
    let early = published(1, Scope::Zone(0), 100, Some(110));
    let late = published(2, Scope::Zone(1), 100, Some(3201));
    let unknown = published(3, Scope::Zone(1), 200, None);
    let advances =
        [advance(0, 0, 3, 111), advance(1, 0, 3, 105), advance(2, 0, 3, 3101), advance(3, 0, 2, 300)];
    let times = InForceTimes::of(&layout(), &[early, late, unknown], &advances, everyone);
    assert_eq!((times.missing, times.unknown, times.known_too_early), (1, 1, 1));
    assert_eq!((times.late, times.known_late), (1, 1));
}

#[test]
fn couriers_that_did_not_run_are_not_counted() {
    let changes = [published(1, Scope::Global, 100, Some(200))];
    let advances = [advance(0, 0, 1, 110), advance(1, 0, 1, 500)];
    let times = InForceTimes::of(&layout(), &changes, &advances, |courier| courier.0 == 0);
    assert_eq!(times.everywhere, [Duration::from_millis(10)]);
    assert_eq!((times.missing, times.known_too_early), (0, 0));
}

#[test]
fn percentiles_are_those_of_the_nearest_rank() {
    let sorted: Vec<Duration> = (1..=100).map(Duration::from_millis).collect();
    assert_eq!(percentile(&sorted, 0.5), Duration::from_millis(50));
    assert_eq!(percentile(&sorted, 0.99), Duration::from_millis(99));
    assert_eq!(percentile(&sorted, 1.0), Duration::from_millis(100));
    assert_eq!(percentile(&[], 0.5), Duration::ZERO);
}
