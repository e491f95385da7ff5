//! The times of requests for a courier.

use super::*;

/// The times at which requests are due until `end`, each of which ends with `record`.
fn request_times(end: Duration, record: impl Fn(&mut RequestSchedule, Duration)) -> Vec<u128> {
    let mut schedule = RequestSchedule::new(true);
    let mut times = Vec::new();
    for ms in 0..end.as_millis() as u64 {
        let now = Duration::from_millis(ms);
        if schedule.is_due(now) {
            times.push(now.as_millis());
            record(&mut schedule, now);
        }
    }
    times
}

#[test]
fn an_unavailable_courier_is_asked_for_again_soon() {
    let times = request_times(Duration::from_millis(201), RequestSchedule::record_unavailable);
    assert_eq!(times, [0, 50, 100, 150, 200]);
}

/// The running courier pauses for each hand-over that fails.
#[test]
fn requests_after_failed_hand_overs_become_rarer() {
    let times = request_times(Duration::from_secs(15), RequestSchedule::record_failure);
    assert_eq!(times, [0, 500, 1500, 3500, 7500]);
}

#[test]
fn a_courier_that_has_arrived_is_not_asked_for_again() {
    assert_eq!(request_times(Duration::from_secs(15), |schedule, _| schedule.stop()), [0]);
    assert!(!RequestSchedule::new(false).is_due(Duration::MAX));
}
