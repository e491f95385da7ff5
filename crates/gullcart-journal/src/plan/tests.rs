//! How much may be promised and written, and when room is made.

use super::*;

#[test]
fn most_of_a_small_disk_can_be_promised() {
    assert!(Plan::new(3_000_000, None).promised() >= 1_800_000);
}

#[test]
fn a_tiny_disk_can_be_used_too() {
    // 150 KB, which a busy day of the platform has: most of it is for messages.
    let plan = Plan::new(150_000, None);
    let room = |used, held| Room { used, need: Some(plan.segment()), held, ..Room::default() };
    assert!(plan.may_write(&room(110_000, 250), Purpose::Promise, 400));
    assert!(plan.promised() > 90_000);
}

#[test]
fn room_for_ends_is_kept_from_everything_else() {
    let plan = Plan::new(3_000_000, None);
    let held = 500;
    let room = Room { used: 3_000_000, aside: held * END_ROOM, need: Some(0), held, ..Room::default() };
    assert!(!plan.may_write(&room, Purpose::Promise, 1));
    assert!(!plan.may_write(&room, Purpose::Progress, 1));
    assert!(!plan.may_write(&room, Purpose::Move, 1));
    assert!(plan.may_write(&room, Purpose::End, held * END_ROOM));
}

#[test]
fn a_disk_that_gives_no_more_leaves_what_was_set_aside_to_ends() {
    let plan = Plan::new(3_000_000, None);
    let held = 100;
    let room = Room { aside: plan.segment(), held, is_tight: true, ..Room::default() };
    assert!(!plan.may_write(&room, Purpose::Promise, 1));
    assert!(plan.may_write(&Room { is_tight: false, ..room }, Purpose::Promise, 1));
    assert!(plan.may_write(&room, Purpose::Progress, plan.segment() - held * END_ROOM));
    assert!(!plan.may_write(&room, Purpose::Progress, plan.segment() - held * END_ROOM + 1));
    assert!(plan.may_write(&room, Purpose::End, plan.segment()));
}

#[test]
fn a_promise_leaves_room_to_free_the_oldest_segment() {
    let plan = Plan::new(3_000_000, None);
    let room = |used| Room { used, aside: 0, need: Some(40_000), held: 10, ..Room::default() };
    let least = 40_000 + plan.segment() + 11 * END_ROOM;
    assert!(plan.may_write(&room(3_000_000 - least - 100), Purpose::Promise, 100));
    assert!(!plan.may_write(&room(3_000_000 - least - 99), Purpose::Promise, 100));
    assert!(plan.may_write(&room(3_000_000 - least - 99), Purpose::Move, 40_000));
}

#[test]
fn small_steps_are_saved_up_unless_room_is_short() {
    let plan = Plan::new(3_000_000, None);
    let room = |used| Room { used, aside: 0, need: Some(0), ..Room::default() };
    let kept = plan.segment() + END_ROOM;
    let enough = (plan.segment() / 4).min(FULL_STEP);
    let roomy = room(3_000_000 - kept - plan.segment());
    assert!(!plan.is_due(&roomy, enough - 1) && plan.is_due(&roomy, enough));
    assert!(plan.is_due(&room(3_000_000 - kept - plan.segment() / 2 + 1), 1));
}

#[test]
fn steps_begin_late_grow_and_are_bounded() {
    let plan = Plan::new(3_000_000, None);
    let room = |used| Room { used, aside: 0, need: Some(30_000), ..Room::default() };
    assert_eq!(plan.step(&room(2_000_000), 400), 0);
    assert_eq!(plan.step(&Room { need: None, ..room(3_000_000) }, 400), 0);
    let mut before = 0;
    for used in (2_700_000..3_100_000).step_by(1000) {
        let step = plan.step(&room(used), 400);
        assert!(step >= before && step <= MOST_STEP, "{used}: {step} after {before}");
        before = step;
    }
    assert_eq!(before, MOST_STEP);
}
