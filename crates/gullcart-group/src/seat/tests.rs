use super::*;
use crate::door::{Birth, Card, Mark, Origin};
use crate::vocabulary::{Life, MemberId};

const NOW: Moment = Moment(5_000_000);

fn ids() -> Vec<MemberId> {
    (1..=3).map(MemberId).collect()
}

fn card(member: u64, knows: Option<Birth>) -> Card {
    Card { member: MemberId(member), birth: Birth(member), life: Life(1), knows_you: knows }
}

/// A door at which all others have been met, or only one.
fn door(others: u64) -> Door {
    let mark = Mark { device: 1, inode: 2, made_ns: 3 };
    let mut door = Door::new(MemberId(1), &ids(), &ids(), Origin::of(None, mark, 9, None).passport());
    for other in 2..2 + others {
        door.meet(card(other, None)).unwrap();
    }
    door
}

#[test]
fn it_begins_once_when_all_have_been_met() {
    let mut seat = Seat::new(false, None);
    assert_eq!(seat.next(NOW, &door(1), false, true), Some(Step::Keep));
    assert_eq!(seat.next(NOW, &door(1), false, false), None);
    let door = door(2);
    assert_eq!(seat.next(NOW, &door, false, true), Some(Step::Keep), "before it begins");
    assert_eq!(seat.next(NOW, &door, false, false), Some(Step::Begin));
    assert_eq!(seat.next(NOW, &door, true, false), None);
}

#[test]
fn a_folder_that_fails_ends_its_vote_until_it_is_open_again() {
    let door = door(2);
    let mut seat = Seat::new(true, None);
    seat.failed(NOW, "the disk is full");
    assert_eq!(seat.trouble(), Some("the disk is full"));
    assert_eq!(seat.next(NOW, &door, true, false), Some(Step::Halt));
    assert_eq!(seat.next(NOW, &door, false, true), None, "not at once");
    assert_eq!(seat.next(NOW + AGAIN, &door, false, false), Some(Step::Open));
    seat.opened(Opened::Failed("still full".to_owned()));
    assert_eq!(seat.next(NOW + AGAIN, &door, false, false), None, "nor all the time");
    assert_eq!(seat.next(NOW + AGAIN * 2, &door, false, false), Some(Step::Open));
    seat.opened(Opened::Own);
    // What was learnt meanwhile, before the vote.
    assert_eq!(seat.next(NOW + AGAIN * 2, &door, false, false), Some(Step::Keep));
    assert_eq!(seat.next(NOW + AGAIN * 2, &door, false, false), Some(Step::Resume));
    assert_eq!((seat.next(NOW + AGAIN * 2, &door, true, false), seat.trouble()), (None, None));
}

#[test]
fn it_fails_again_while_it_keeps_what_it_learnt() {
    let door = door(2);
    let mut seat = Seat::new(true, None);
    seat.failed(NOW, "full");
    seat.next(NOW + AGAIN, &door, false, false);
    seat.opened(Opened::Own);
    assert_eq!(seat.next(NOW + AGAIN, &door, false, false), Some(Step::Keep));
    seat.failed(NOW + AGAIN, "full again");
    assert_eq!(seat.next(NOW + AGAIN, &door, false, false), None);
    assert_eq!(seat.next(NOW + AGAIN * 2, &door, false, false), Some(Step::Open));
    seat.opened(Opened::Own);
    let steps = [(); 2].map(|()| seat.next(NOW + AGAIN * 2, &door, false, false));
    assert_eq!(steps, [Some(Step::Keep), Some(Step::Resume)]);
}

#[test]
fn a_folder_that_is_another_one_never_votes_and_nothing_begins_anew() {
    let door = door(2);
    let mut seat = Seat::new(true, None);
    seat.failed(NOW, "gone");
    for seconds in 1..5 {
        assert_eq!(seat.next(NOW + AGAIN * seconds, &door, false, false), Some(Step::Open));
        seat.opened(Opened::Other);
    }
    assert!(seat.trouble().unwrap().contains("not its own"));
}

/// A voter that could not go on has promised something: it may go on from its folder, and never from nothing.
#[test]
fn a_voter_that_is_lost_goes_on_from_the_folder_alone() {
    let door = door(2);
    let mut seat = Seat::new(true, None);
    assert_eq!(seat.next(NOW, &door, false, false), None);
    assert!(!seat.is_open());
    assert_eq!(seat.next(NOW + AGAIN, &door, false, false), Some(Step::Open));
}

#[test]
fn who_is_known_by_another_folder_votes_no_more() {
    let mut door = door(2);
    let mut seat = Seat::new(true, None);
    assert_eq!(seat.next(NOW, &door, true, false), None);
    door.meet(card(2, Some(Birth(77)))).unwrap();
    assert_eq!(seat.next(NOW, &door, true, false), Some(Step::Halt));
    assert_eq!(seat.next(NOW, &door, false, false), None);
    assert_eq!(seat.trouble(), Some(STRANGER));
}
