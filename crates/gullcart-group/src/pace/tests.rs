use super::*;

#[test]
fn what_is_asked_for_all_the_time_is_done_once_a_gap() {
    let mut pace = Pace::new(Duration::from_millis(300));
    let times = (0..=900).step_by(50).filter(|ms| pace.is_due(Moment(ms * 1000), "end")).collect::<Vec<_>>();
    assert_eq!(times, [0, 300, 600, 900]);
    assert!(pace.is_due(Moment(910_000), "other"), "each thing has its own gap");
    assert_eq!(pace.done.len(), 2);
    pace.is_due(Moment(5_000_000), "other");
    assert_eq!(pace.done.len(), 1, "what is long done is forgotten");
}
