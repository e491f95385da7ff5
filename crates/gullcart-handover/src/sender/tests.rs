use super::*;
use proptest::prelude::*;

#[test]
fn a_hand_over_without_failures_finishes() {
    let mut sender = HandoverSender::default();
    let events =
        [HandoverEvent::Hello, HandoverEvent::Accepted, HandoverEvent::LockReleased, HandoverEvent::Serving];
    let actions = events.map(|event| sender.handle(event));
    let expected = [
        HandoverAction::SendState,
        HandoverAction::ReleaseLock,
        HandoverAction::Wait,
        HandoverAction::Finish,
    ];
    assert_eq!(actions, expected);
    assert_eq!(sender.handle(HandoverEvent::Hello), HandoverAction::Reject);
}

#[test]
fn the_old_process_resumes_when_the_new_one_fails_at_any_step() {
    let steps = [HandoverEvent::Hello, HandoverEvent::Accepted, HandoverEvent::LockReleased];
    let cases = [(1, HandoverAction::Resume), (2, HandoverAction::Resume), (3, HandoverAction::RetakeLock)];
    for (count, expected) in cases {
        let mut sender = HandoverSender::default();
        for event in &steps[..count] {
            sender.handle(*event);
        }
        assert_eq!(sender.handle(HandoverEvent::ReceiverFailed), expected, "after {count} steps");
        assert_eq!(sender, HandoverSender::Owner);
        // Another hand-over can begin.
        assert_eq!(sender.handle(HandoverEvent::Hello), HandoverAction::SendState);
    }
}

#[test]
fn a_second_process_is_rejected_during_a_hand_over() {
    let mut sender = HandoverSender::default();
    sender.handle(HandoverEvent::Hello);
    assert_eq!(sender.handle(HandoverEvent::Hello), HandoverAction::Reject);
    assert_eq!(sender.handle(HandoverEvent::Accepted), HandoverAction::ReleaseLock);
}

proptest! {
    /// In any order of events, the lock is taken again only after it was released, this process resumes only with the lock, and
    /// it finishes only after it has released the lock.
    #[test]
    fn there_is_one_owner(events in prop::collection::vec(
        prop::sample::select(vec![
            HandoverEvent::Hello,
            HandoverEvent::Accepted,
            HandoverEvent::LockReleased,
            HandoverEvent::Serving,
            HandoverEvent::ReceiverFailed,
        ]),
        0..60,
    )) {
        let mut sender = HandoverSender::default();
        let mut has_lock = true;
        let mut has_finished = false;
        for event in events {
            // This process reports the release itself, and only after it was asked for one.
            if event == HandoverEvent::LockReleased && sender != HandoverSender::Releasing {
                continue;
            }
            if event == HandoverEvent::LockReleased {
                has_lock = false;
            }
            match sender.handle(event) {
                HandoverAction::RetakeLock => {
                    prop_assert!(!has_lock);
                    has_lock = true;
                }
                HandoverAction::Resume => prop_assert!(has_lock),
                HandoverAction::SendState | HandoverAction::ReleaseLock => prop_assert!(has_lock && !has_finished),
                HandoverAction::Finish => {
                    prop_assert!(!has_lock);
                    has_finished = true;
                }
                HandoverAction::Wait | HandoverAction::Reject => {}
            }
            prop_assert_eq!(sender == HandoverSender::Finished, has_finished);
        }
    }
}
