use super::*;

fn mark(inode: u64) -> Mark {
    Mark { device: 1, inode, made_ns: 5 }
}

fn ids() -> Vec<MemberId> {
    (1..=3).map(MemberId).collect()
}

fn door(me: u64, kept: Option<Passport>, inode: u64, chance: u64) -> Door {
    Door::new(MemberId(me), &ids(), &ids(), Origin::of(kept, mark(inode), chance, None).passport())
}

/// Both say who they are.
fn introduce(one: &mut Door, other: &mut Door) -> (Result<bool, Turned>, Result<bool, Turned>) {
    let (a, b) = (one.card(other.me), other.card(one.me));
    (one.meet(b), other.meet(a))
}

fn group() -> Vec<Door> {
    let mut doors: Vec<Door> = (1..=3).map(|me| door(me, None, me, 100 + me)).collect();
    let (one, rest) = doors.split_at_mut(1);
    let (two, three) = rest.split_at_mut(1);
    introduce(&mut one[0], &mut two[0]).0.unwrap();
    assert!(!one[0].may_vote(), "the third one may know another birth");
    introduce(&mut one[0], &mut three[0]).0.unwrap();
    introduce(&mut two[0], &mut three[0]).0.unwrap();
    doors
}

#[test]
fn a_group_begins_once_all_have_met_and_goes_on_without() {
    let doors = group();
    assert!(doors.iter().all(Door::may_vote));
    let again = door(1, Some(doors[0].passport().clone()), 1, 7);
    assert!(again.may_vote());
    assert_eq!(again.passport().life, Life(2));
}

#[test]
fn a_lost_folder_is_known_for_another_and_may_not_vote() {
    let mut doors = group();
    let mut lost = door(1, None, 9, 555);
    let (by_lost, by_other) = introduce(&mut lost, &mut doors[1]);
    assert_eq!((by_lost, by_other), (Ok(true), Err(Turned::Changed(MemberId(1)))));
    assert!(lost.is_stranger() && !lost.may_vote());
    // Also beside one that lost its folder as well: the third is missed.
    let (mut one, mut two) = (door(1, None, 9, 555), door(2, None, 8, 556));
    introduce(&mut one, &mut two).0.unwrap();
    assert!(!one.may_vote() && !two.may_vote());
}

#[test]
fn a_folder_that_was_put_back_is_not_the_one_that_voted() {
    let doors = group();
    let kept = doors[0].passport().clone();
    let origin = Origin::of(Some(kept.clone()), mark(77), 9, None);
    assert!(matches!(&origin, Origin::Copied(new) if new.birth != kept.birth && !new.is_proven));
    // Nor is one whose number was given away again.
    let later = Mark { made_ns: 6, ..mark(1) };
    assert!(matches!(Origin::of(Some(kept), later, 9, None), Origin::Copied(_)));
}

#[test]
fn who_is_left_a_folder_goes_on_in_its_life_and_nobody_else_does() {
    let first = Origin::of(None, mark(1), 9, None).passport();
    let left = Some(first.left());
    let next = Origin::of(Some(first.clone()), mark(1), 9, left);
    assert!(matches!(&next, Origin::GoesOn(next) if next.life == first.life && next.hand == 1));
    // The one that left it comes back: another one went on meanwhile.
    let next = next.passport();
    let back = Origin::of(Some(next.clone()), mark(1), 9, left);
    assert!(matches!(&back, Origin::Same(back) if back.life.0 == first.life.0 + 1 && back.hand == 0));
    // Nobody went on: it does.
    assert!(matches!(Origin::of(Some(first.clone()), mark(1), 9, left), Origin::GoesOn(_)));
    // A copy of it, whatever was left.
    assert!(matches!(Origin::of(Some(first), mark(2), 9, left), Origin::Copied(_)));
}

#[test]
fn strangers_and_twins_are_turned_away() {
    let mut doors = group();
    let card = Card { member: MemberId(8), birth: Birth(1), life: Life(1), knows_you: None };
    assert_eq!(doors[0].meet(card), Err(Turned::Stranger(MemberId(8))));
    let twin = doors[0].card(MemberId(2));
    assert_eq!(doors[0].meet(twin), Err(Turned::Twin(MemberId(1))));
}
