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
mod tests;
