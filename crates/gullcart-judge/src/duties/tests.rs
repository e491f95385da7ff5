use super::*;

fn action(ms: u64, member: u64, epoch: u64) -> DutyAction {
    DutyAction { at: Timestamp::from_millis(ms), member, epoch }
}

#[test]
fn a_duty_that_changes_hands_is_no_violation() {
    let found = judge(&[action(1, 1, 1), action(2, 1, 1), action(9, 2, 4), action(10, 2, 4)]);
    assert!(found.shared_epochs.is_empty() && found.stale_actions.is_empty());
    let ms = Timestamp::from_millis;
    let held = |epoch, member, first_action_at, last_action_at| HeldEpoch {
        epoch,
        member,
        first_action_at,
        last_action_at,
    };
    assert_eq!(found.held_epochs, [held(1, 1, ms(1), ms(2)), held(4, 2, ms(9), ms(10))]);
}

#[test]
fn two_holders_at_a_time_and_a_shared_epoch_are_violations() {
    let both = [action(1, 1, 1), action(2, 2, 2), action(3, 1, 1), action(4, 2, 2)];
    assert_eq!(judge(&both).stale_actions, [DutyViolation::StaleEpoch(both[1], both[2])]);
    let shared = [action(1, 1, 1), action(2, 2, 1)];
    assert_eq!(judge(&shared).shared_epochs, [DutyViolation::SharedEpoch(shared[0], shared[1])]);
}

#[test]
fn the_longest_gap_includes_both_ends_of_the_span() {
    let actions = [action(5, 1, 1), action(6, 1, 1), action(20, 1, 1)];
    let ms = Timestamp::from_millis;
    assert_eq!(longest_gap(&actions, ms(0), ms(21)), Duration::from_millis(14));
    assert_eq!(longest_gap(&actions, ms(6), ms(60)), Duration::from_millis(40));
    assert_eq!(longest_gap(&[], ms(0), ms(7)), Duration::from_millis(7));
}
