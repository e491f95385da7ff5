use super::*;

#[test]
fn a_voter_waits_for_the_slowest_clock() {
    let terms = Terms { lease: Duration::from_secs(1), drift_ppm: 10_000 };
    // One second on a clock that is 1 % slow, on one that is 1 % fast.
    assert!(terms.patience() >= Duration::from_secs_f64(1.01 / 0.99 - 1e-9));
    assert_eq!(Terms { drift_ppm: 0, ..terms }.patience(), terms.lease);
}

#[test]
fn names_of_duties_are_bounded_wherever_they_come_from() {
    assert!(Duty::new("").is_none() && Duty::new(&"x".repeat(65)).is_none());
    let good = postcard::to_allocvec("trials/7").unwrap();
    assert_eq!(postcard::from_bytes::<Duty>(&good).unwrap().name(), "trials/7");
    let long = postcard::to_allocvec(&"x".repeat(65)).unwrap();
    assert!(postcard::from_bytes::<Duty>(&long).is_err());
}
