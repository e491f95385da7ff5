//! Limits on accepted bytes, reserved space for each kind of record, and the size of compaction steps.

use super::*;

#[test]
fn most_of_a_small_disk_can_be_accepted() {
    assert!(SpacePlan::new(3_000_000, None).max_live_bytes() >= 1_800_000);
}

#[test]
fn a_tiny_disk_can_be_used_too() {
    // On a busy day the deployment platform has only 150 KB of disk. Most of that can be used for messages.
    let plan = SpacePlan::new(150_000, None);
    let usage = |used_bytes, pending_messages| SpaceUsage {
        used_bytes,
        oldest_live_bytes: Some(plan.segment_bytes()),
        pending_messages,
        ..SpaceUsage::default()
    };
    assert!(plan.may_write(&usage(110_000, 250), RecordPurpose::Accept, 400));
    assert!(plan.max_live_bytes() > 90_000);
}

#[test]
fn space_for_completions_is_reserved_from_all_other_records() {
    let plan = SpacePlan::new(3_000_000, None);
    let pending_messages = 500;
    let usage = SpaceUsage {
        used_bytes: 3_000_000,
        preallocated_bytes: pending_messages * COMPLETION_BYTES,
        oldest_live_bytes: Some(0),
        pending_messages,
        ..SpaceUsage::default()
    };
    assert!(!plan.may_write(&usage, RecordPurpose::Accept, 1));
    assert!(!plan.may_write(&usage, RecordPurpose::Progress, 1));
    assert!(!plan.may_write(&usage, RecordPurpose::Rewrite, 1));
    assert!(plan.may_write(&usage, RecordPurpose::Completion, pending_messages * COMPLETION_BYTES));
}

#[test]
fn on_a_full_disk_preallocated_space_is_left_for_completions() {
    let plan = SpacePlan::new(3_000_000, None);
    let pending_messages = 100;
    let usage = SpaceUsage {
        preallocated_bytes: plan.segment_bytes(),
        pending_messages,
        is_disk_full: true,
        ..SpaceUsage::default()
    };
    assert!(!plan.may_write(&usage, RecordPurpose::Accept, 1));
    assert!(plan.may_write(&SpaceUsage { is_disk_full: false, ..usage }, RecordPurpose::Accept, 1));
    let free_for_progress = plan.segment_bytes() - pending_messages * COMPLETION_BYTES;
    assert!(plan.may_write(&usage, RecordPurpose::Progress, free_for_progress));
    assert!(!plan.may_write(&usage, RecordPurpose::Progress, free_for_progress + 1));
    assert!(plan.may_write(&usage, RecordPurpose::Completion, plan.segment_bytes()));
}

#[test]
fn accepting_leaves_space_to_free_the_oldest_segment() {
    let plan = SpacePlan::new(3_000_000, None);
    let usage = |used_bytes| SpaceUsage {
        used_bytes,
        preallocated_bytes: 0,
        oldest_live_bytes: Some(40_000),
        pending_messages: 10,
        ..SpaceUsage::default()
    };
    let reserved = 40_000 + plan.segment_bytes() + 11 * COMPLETION_BYTES;
    assert!(plan.may_write(&usage(3_000_000 - reserved - 100), RecordPurpose::Accept, 100));
    assert!(!plan.may_write(&usage(3_000_000 - reserved - 99), RecordPurpose::Accept, 100));
    assert!(plan.may_write(&usage(3_000_000 - reserved - 99), RecordPurpose::Rewrite, 40_000));
}

#[test]
fn small_steps_are_batched_unless_space_is_short() {
    let plan = SpacePlan::new(3_000_000, None);
    let usage = |used_bytes| SpaceUsage {
        used_bytes,
        preallocated_bytes: 0,
        oldest_live_bytes: Some(0),
        ..SpaceUsage::default()
    };
    let reserved = plan.segment_bytes() + COMPLETION_BYTES;
    let batch = (plan.segment_bytes() / 4).min(BATCHED_STEP_BYTES);
    let ample = usage(3_000_000 - reserved - plan.segment_bytes());
    assert!(!plan.is_step_due(&ample, batch - 1) && plan.is_step_due(&ample, batch));
    assert!(plan.is_step_due(&usage(3_000_000 - reserved - plan.segment_bytes() / 2 + 1), 1));
}

#[test]
fn steps_begin_late_grow_and_are_bounded() {
    let plan = SpacePlan::new(3_000_000, None);
    let usage = |used_bytes| SpaceUsage {
        used_bytes,
        preallocated_bytes: 0,
        oldest_live_bytes: Some(30_000),
        ..SpaceUsage::default()
    };
    assert_eq!(plan.step_bytes(&usage(2_000_000), 400), 0);
    assert_eq!(plan.step_bytes(&SpaceUsage { oldest_live_bytes: None, ..usage(3_000_000) }, 400), 0);
    let mut before = 0;
    for used in (2_700_000..3_100_000).step_by(1000) {
        let step = plan.step_bytes(&usage(used), 400);
        assert!(step >= before && step <= MAX_STEP_BYTES, "{used}: {step} after {before}");
        before = step;
    }
    assert_eq!(before, MAX_STEP_BYTES);
}
