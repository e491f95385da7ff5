use super::*;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn troubles_overlap_and_each_ends_by_itself() {
    let mut plan = Plan::default();
    plan.begin(1, Trouble::Cut(Way::There), Timestamp::from_millis(0));
    plan.begin(2, Trouble::Cut(Way::There), Timestamp::from_millis(0));
    plan.begin(3, Trouble::Late(ms(10), ms(30)), Timestamp::from_millis(0));
    plan.begin(4, Trouble::Late(ms(5), ms(5)), Timestamp::from_millis(0));
    plan.begin(5, Trouble::Slow(1000), Timestamp::from_millis(0));
    plan.begin(6, Trouble::Slow(200), Timestamp::from_millis(0));
    plan.begin(7, Trouble::ResetAfter(50), Timestamp::from_millis(0));
    assert!(
        plan.is_cut(Way::There, Timestamp::from_millis(1))
            && !plan.is_cut(Way::Back, Timestamp::from_millis(1))
    );
    assert_eq!((plan.late(0.0), plan.late(1.0)), (ms(15), ms(35)));
    assert_eq!((plan.pace(), plan.room(20), plan.room(60)), (Some(200), Some(30), Some(0)));
    plan.end(1);
    assert!(plan.is_cut(Way::There, Timestamp::from_millis(1)));
    plan.end(2);
    plan.end(6);
    assert!(!plan.is_cut(Way::There, Timestamp::from_millis(1)));
    assert_eq!(plan.pace(), Some(1000));
    plan.heal();
    assert!(plan.is_sound() && plan.room(1 << 40).is_none());
}

#[test]
fn a_flapping_link_says_when_it_changes() {
    let mut plan = Plan::default();
    plan.begin(1, Trouble::Flapping(ms(30), ms(10)), Timestamp::from_millis(100));
    for (at, cut, next) in [(100, false, 130), (129, false, 130), (130, true, 140), (139, true, 140)] {
        assert_eq!(plan.is_cut(Way::Back, Timestamp::from_millis(at)), cut, "at {at}");
        assert_eq!(
            plan.changes_at(Timestamp::from_millis(at)),
            Some(Timestamp::from_millis(next)),
            "at {at}"
        );
    }
    assert_eq!(plan.changes_at(Timestamp::from_millis(140)), Some(Timestamp::from_millis(170)));
}

#[test]
fn sets_are_apart_in_both_directions_and_whole_within() {
    let mut pairs = apart(&[&[0, 1], &[2], &[3]]);
    pairs.sort_unstable();
    let expected = [(0, 2), (0, 3), (1, 2), (1, 3), (2, 0), (2, 1), (2, 3), (3, 0), (3, 1), (3, 2)];
    assert_eq!(pairs, expected);
}
