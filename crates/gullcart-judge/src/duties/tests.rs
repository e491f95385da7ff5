use super::*;

fn act(ms: u64, member: u64, epoch: u64) -> Act {
    Act { at: At::ms(ms), member, epoch }
}

#[test]
fn a_duty_that_is_handed_on_is_right() {
    let found = judge(&[act(1, 1, 1), act(2, 1, 1), act(9, 2, 4), act(10, 2, 4)]);
    assert!(found.shared.is_empty() && found.late.is_empty());
    assert_eq!(found.held, [(1, 1, At::ms(1), At::ms(2)), (4, 2, At::ms(9), At::ms(10))]);
}

#[test]
fn two_at_a_time_and_two_of_one_epoch_are_wrong() {
    let both = [act(1, 1, 1), act(2, 2, 2), act(3, 1, 1), act(4, 2, 2)];
    assert_eq!(judge(&both).late, [Wrong::Late(both[1], both[2])]);
    let shared = [act(1, 1, 1), act(2, 2, 1)];
    assert_eq!(judge(&shared).shared, [Wrong::Shared(shared[0], shared[1])]);
}

#[test]
fn a_gap_counts_to_the_ends_of_the_span() {
    let acts = [act(5, 1, 1), act(6, 1, 1), act(20, 1, 1)];
    assert_eq!(longest_gap(&acts, At::ms(0), At::ms(21)), Duration::from_millis(14));
    assert_eq!(longest_gap(&acts, At::ms(6), At::ms(60)), Duration::from_millis(40));
    assert_eq!(longest_gap(&[], At::ms(0), At::ms(7)), Duration::from_millis(7));
}
