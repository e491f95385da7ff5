use super::*;

#[test]
fn each_key_is_allowed_once_per_interval() {
    let mut retry_pacer = RetryPacer::new(Duration::from_millis(300));
    let times = (0..=900)
        .step_by(50)
        .filter(|ms| retry_pacer.is_due(Moment(ms * 1000), "expire"))
        .collect::<Vec<_>>();
    assert_eq!(times, [0, 300, 600, 900]);
    assert!(retry_pacer.is_due(Moment(910_000), "other"), "each key has its own interval");
    assert_eq!(retry_pacer.last_allowed.len(), 2);
    retry_pacer.is_due(Moment(5_000_000), "other");
    assert_eq!(retry_pacer.last_allowed.len(), 1, "keys are forgotten after their interval");
}
