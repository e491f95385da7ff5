//! Whether a process votes now: it may where the others know it by its folder, and only as long as that folder keeps what it
//! promises. Where the folder fails nothing is promised, until it can be written again and is still its own.

use crate::door::Door;
use crate::vocabulary::Moment;
use std::time::Duration;

/// Between two tries to have a folder that failed.
const AGAIN: Duration = Duration::from_secs(1);
/// What operators are told of a member that is known by another folder.
const STRANGER: &str = "the group knows this member by another folder; replace it";

/// What is to be done before anything else is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Open the folder again, and say what came of it: [`Seat::opened`].
    Open,
    /// Keep what the folder says of itself; [`Seat::failed`] where that fails.
    Keep,
    /// Vote no more: what was promised last may not have been kept.
    Halt,
    /// Begin to vote: nothing was ever promised.
    Begin,
    /// Vote again, from what the folder keeps.
    Resume,
}

/// What came of opening a folder again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Opened {
    /// It is the one that this process had.
    Own,
    /// It is another one, or a copy.
    Other,
    /// It still fails.
    Failed(String),
}

/// The seat of one process.
#[derive(Clone, Debug)]
pub struct Seat {
    /// When the folder is tried again; none while it can be written.
    closed: Option<Moment>,
    /// What it says of itself has changed since it was closed.
    owes_keep: bool,
    /// It has voted before, in whatever life: it never begins with nothing again.
    has_voted: bool,
    /// It stopped voting in this life, and goes on from what it kept.
    resumes: bool,
    trouble: Option<String>,
}

impl Seat {
    /// A process whose folder is open. `votes` where it begins as a voter that has voted before.
    pub fn new(votes: bool, trouble: Option<String>) -> Self {
        Seat { closed: None, owes_keep: false, has_voted: votes, resumes: false, trouble }
    }

    /// What is wrong, for operators.
    pub fn trouble(&self) -> Option<&str> {
        self.trouble.as_deref()
    }

    /// What is to be done next; none where all is as it is to be. `votes` says whether there is a voter now, and `is_changed`
    /// whether the door has learnt something since this was asked last.
    pub fn next(&mut self, now: Moment, door: &Door, votes: bool, is_changed: bool) -> Option<Step> {
        self.owes_keep |= is_changed;
        if let Some(at) = self.closed {
            if votes {
                return Some(Step::Halt);
            }
            let is_due = now >= at;
            if is_due {
                self.closed = Some(now + AGAIN);
            }
            return is_due.then_some(Step::Open);
        }
        if std::mem::take(&mut self.owes_keep) {
            return Some(Step::Keep);
        }
        if !door.may_vote() {
            if door.is_stranger() {
                self.trouble = Some(STRANGER.to_owned());
            }
            return votes.then_some(Step::Halt);
        }
        if votes {
            return None;
        }
        if std::mem::take(&mut self.resumes) {
            return Some(Step::Resume);
        }
        if std::mem::replace(&mut self.has_voted, true) {
            // It could not go on with what it was given. What it promised is in the folder, and nowhere else.
            self.failed(now, "its voter could not go on with what it was given");
            return None;
        }
        Some(Step::Begin)
    }

    /// The folder failed, or holds more than is known here: it has to be opened again before anything is promised.
    pub fn failed(&mut self, now: Moment, why: &str) {
        self.trouble = Some(why.to_owned());
        self.closed = Some(now + AGAIN);
    }

    /// It was opened again.
    pub fn opened(&mut self, opened: Opened) {
        match opened {
            Opened::Own => {
                (self.closed, self.trouble) = (None, None);
                // What it says of itself may be older than what is known here.
                (self.owes_keep, self.resumes) = (true, self.has_voted);
            }
            Opened::Other => self.trouble = Some("its folder is not its own any more".to_owned()),
            Opened::Failed(why) => self.trouble = Some(why),
        }
    }

    /// Whether the folder can be written, as far as is known.
    pub fn is_open(&self) -> bool {
        self.closed.is_none()
    }
}

#[cfg(test)]
mod tests {
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
}
