use super::*;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn faults_overlap_and_end_independently() {
    let mut faults = LinkFaults::default();
    faults.begin_fault(1, LinkFault::Cut(Direction::Forward), Timestamp::from_millis(0));
    faults.begin_fault(2, LinkFault::Cut(Direction::Forward), Timestamp::from_millis(0));
    faults.begin_fault(3, LinkFault::Delayed(ms(10), ms(30)), Timestamp::from_millis(0));
    faults.begin_fault(4, LinkFault::Delayed(ms(5), ms(5)), Timestamp::from_millis(0));
    faults.begin_fault(5, LinkFault::Slow(1000), Timestamp::from_millis(0));
    faults.begin_fault(6, LinkFault::Slow(200), Timestamp::from_millis(0));
    faults.begin_fault(7, LinkFault::ResetAfter(50), Timestamp::from_millis(0));
    assert!(
        faults.is_cut(Direction::Forward, Timestamp::from_millis(1))
            && !faults.is_cut(Direction::Backward, Timestamp::from_millis(1))
    );
    assert_eq!((faults.delay(0.0), faults.delay(1.0)), (ms(15), ms(35)));
    assert_eq!(
        (faults.bytes_per_second(), faults.bytes_until_reset(20), faults.bytes_until_reset(60)),
        (Some(200), Some(30), Some(0))
    );
    faults.end_fault(1);
    assert!(faults.is_cut(Direction::Forward, Timestamp::from_millis(1)));
    faults.end_fault(2);
    faults.end_fault(6);
    assert!(!faults.is_cut(Direction::Forward, Timestamp::from_millis(1)));
    assert_eq!(faults.bytes_per_second(), Some(1000));
    faults.end_all_faults();
    assert!(faults.is_healthy() && faults.bytes_until_reset(1 << 40).is_none());
}

#[test]
fn a_flapping_link_reports_its_next_change() {
    let mut faults = LinkFaults::default();
    faults.begin_fault(1, LinkFault::Flapping(ms(30), ms(10)), Timestamp::from_millis(100));
    for (at, cut, next) in [(100, false, 130), (129, false, 130), (130, true, 140), (139, true, 140)] {
        assert_eq!(faults.is_cut(Direction::Backward, Timestamp::from_millis(at)), cut, "at {at}");
        assert_eq!(
            faults.changes_at(Timestamp::from_millis(at)),
            Some(Timestamp::from_millis(next)),
            "at {at}"
        );
    }
    assert_eq!(faults.changes_at(Timestamp::from_millis(140)), Some(Timestamp::from_millis(170)));
}

#[test]
fn sets_are_separated_in_both_directions_and_connected_within() {
    let mut pairs = separated_pairs(&[&[0, 1], &[2], &[3]]);
    pairs.sort_unstable();
    let expected = [(0, 2), (0, 3), (1, 2), (1, 3), (2, 0), (2, 1), (2, 3), (3, 0), (3, 1), (3, 2)];
    assert_eq!(pairs, expected);
}
