//! Measurements by couriers, at small sizes: they repeat, and show what is known of the rules that they measure.

use gullcart_scale::shared::{idle, lists, trials};
use gullcart_scale::Measurement;

const SIZES: [u32; 3] = [5, 20, 60];

fn values(measurements: &[Measurement], name: &str) -> Vec<f64> {
    let found = measurements.iter().find(|measurement| measurement.name == name);
    let measurement = found.unwrap_or_else(|| panic!("{name} is not measured"));
    measurement.points.iter().map(|point| point.value).collect()
}

#[test]
fn measurements_in_virtual_time_repeat() {
    assert_eq!(lists::measure(&SIZES), lists::measure(&SIZES));
    assert_eq!(idle::measure(&SIZES), idle::measure(&SIZES));
    assert_eq!(trials::measure(&SIZES), trials::measure(&SIZES));
}

#[test]
fn every_courier_has_the_list_before_a_change_counts_as_told() {
    let measured = lists::measure(&SIZES).expect("a fit");
    let told = gullcart_engine::ASSUMED_KNOWN_AFTER.as_secs_f64();
    for delay in values(&measured, "longest time until the last has the list") {
        assert!(delay > 2.0 && delay < told, "{delay} s of {told}");
    }
    for (couriers, calls) in SIZES.iter().zip(values(&measured, "calls a second in an outage of discovery")) {
        assert!(calls <= 20.0 + 1.3 * f64::from(*couriers), "{couriers} couriers: {calls}");
    }
}

#[test]
fn idle_connections_are_bounded_over_all_couriers() {
    let measured = idle::measure(&SIZES).expect("a fit");
    let mean = values(&measured, "idle connections at an endpoint, mean");
    assert_eq!(mean[0], 5.0, "few couriers keep all they have");
    assert!(mean[1..].iter().all(|mean| (6.0..10.0).contains(mean)), "{mean:?}");
}

#[test]
fn trials_are_bounded_over_all_couriers_and_each_delivers_after_a_return() {
    let measured = trials::measure(&SIZES).expect("a fit");
    let rates = values(&measured, "trial calls a second at a partner that is down");
    assert!(rates.iter().all(|rate| *rate > 1.0 && *rate < 60.0), "{rates:?}");
    let without = values(&measured, "couriers that delivered nothing in the time watched");
    assert_eq!(without, [0.0; 3]);
    let worst = values(&measured, "most calls of a return, of what the partner survives");
    assert!(worst.iter().all(|worst| *worst > 0.0 && *worst < 1.0), "{worst:?}");
}
