use super::*;
use proptest::prelude::*;

#[test]
fn all_goes_well() {
    let mut giver = Giver::default();
    let acts = [Event::Hello, Event::Accepted, Event::Released, Event::Serving].map(|event| giver.on(event));
    assert_eq!(acts, [Act::Send, Act::Release, Act::Wait, Act::Finish]);
    assert_eq!(giver.on(Event::Hello), Act::Deny);
}

#[test]
fn it_takes_all_up_again_at_each_step_where_the_other_is_gone() {
    let steps = [Event::Hello, Event::Accepted, Event::Released];
    for (count, back) in [(1, Act::GoOn), (2, Act::GoOn), (3, Act::TakeLock)] {
        let mut giver = Giver::default();
        for event in &steps[..count] {
            giver.on(*event);
        }
        assert_eq!(giver.on(Event::Gone), back, "after {count}");
        assert_eq!(giver, Giver::Owner);
        // And another one may come.
        assert_eq!(giver.on(Event::Hello), Act::Send);
    }
}

#[test]
fn a_second_one_is_denied_while_the_first_is_at_it() {
    let mut giver = Giver::default();
    giver.on(Event::Hello);
    assert_eq!(giver.on(Event::Hello), Act::Deny);
    assert_eq!(giver.on(Event::Accepted), Act::Release);
}

proptest! {
    /// Whatever happens in whatever order: the lock is given up once between two takings, and nothing is finished
    /// before the other one has it and serves.
    #[test]
    fn there_is_one_owner(events in prop::collection::vec(
        prop::sample::select(vec![Event::Hello, Event::Accepted, Event::Released, Event::Serving, Event::Gone]), 0..60,
    )) {
        let (mut giver, mut has_lock, mut past) = (Giver::default(), true, false);
        for event in events {
            // Released is told by this side itself, after it has done so.
            if event == Event::Released && giver != Giver::Releasing {
                continue;
            }
            if event == Event::Released {
                has_lock = false;
            }
            match giver.on(event) {
                Act::TakeLock => {
                    prop_assert!(!has_lock);
                    has_lock = true;
                }
                Act::GoOn => prop_assert!(has_lock),
                Act::Send | Act::Release => prop_assert!(has_lock && !past),
                Act::Finish => {
                    prop_assert!(!has_lock);
                    past = true;
                }
                Act::Wait | Act::Deny => {}
            }
            prop_assert_eq!(giver == Giver::Past, past);
        }
    }
}
