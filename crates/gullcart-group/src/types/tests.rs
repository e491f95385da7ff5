use super::*;

#[test]
fn the_expiry_timeout_covers_the_slowest_clock() {
    let terms = LeaseTerms { duration: Duration::from_secs(1), drift_ppm: 10_000 };
    // A lease of one second on a clock that is 1 % slow, measured by one that is 1 % fast.
    assert!(terms.expiry_timeout() >= Duration::from_secs_f64(1.01 / 0.99 - 1e-9));
    assert_eq!(LeaseTerms { drift_ppm: 0, ..terms }.expiry_timeout(), terms.duration);
}

#[test]
fn names_of_duties_are_bounded_when_created_and_when_decoded() {
    assert!(Duty::new("").is_none() && Duty::new(&"x".repeat(65)).is_none());
    let good = postcard::to_allocvec("trials/7").unwrap();
    assert_eq!(postcard::from_bytes::<Duty>(&good).unwrap().name(), "trials/7");
    let long = postcard::to_allocvec(&"x".repeat(65)).unwrap();
    assert!(postcard::from_bytes::<Duty>(&long).is_err());
}
