//! Whether a process votes now: it may where the others know it by its folder, and only as long as that folder keeps what it
//! promises. Where the folder fails nothing is promised, until it can be written again and is still its own.

use crate::membership::Membership;
use crate::types::Moment;
use std::time::Duration;

/// Between two tries to have a folder that failed.
const REOPEN_INTERVAL: Duration = Duration::from_secs(1);
/// What operators are told of a member that is known by another folder.
const DIFFERENT_FOLDER: &str = "the group knows this member with another folder; replace it";

/// What is to be done before anything else is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VotingStep {
    /// Open the folder again, and say what came of it: [`Seat::opened`].
    ReopenFolder,
    /// Keep what the folder says of itself; [`Seat::failed`] where that fails.
    SaveIdentity,
    /// Vote no more: what was promised last may not have been kept.
    StopVoting,
    /// Begin to vote: nothing was ever promised.
    StartVoting,
    /// Vote again, from what the folder keeps.
    ResumeVoting,
}

/// What came of opening a folder again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReopenResult {
    /// It is the one that this process had.
    SameFolder,
    /// It is another one, or a copy.
    DifferentFolder,
    /// It still fails.
    Failed(String),
}

/// The seat of one process.
#[derive(Clone, Debug)]
pub struct VotingState {
    /// When the folder is tried again; none while it can be written.
    reopen_at: Option<Moment>,
    /// What it says of itself has changed since it was closed.
    identity_unsaved: bool,
    /// It has voted before, in whatever life: it never begins with nothing again.
    has_voted: bool,
    /// It stopped voting in this life, and goes on from what it kept.
    resume_pending: bool,
    problem: Option<String>,
}

impl VotingState {
    /// A process whose folder is open. `votes` where it begins as a voter that has voted before.
    pub fn new(is_voting: bool, problem: Option<String>) -> Self {
        VotingState {
            reopen_at: None,
            identity_unsaved: false,
            has_voted: is_voting,
            resume_pending: false,
            problem,
        }
    }

    /// What is wrong, for operators.
    pub fn problem(&self) -> Option<&str> {
        self.problem.as_deref()
    }

    /// The next action, if any. `is_voting` tells whether the process has a voter now, and `is_changed` whether its identity has
    /// changed since the last call.
    pub fn next_step(
        &mut self,
        now: Moment,
        membership: &Membership,
        is_voting: bool,
        is_changed: bool,
    ) -> Option<VotingStep> {
        self.identity_unsaved |= is_changed;
        if let Some(at) = self.reopen_at {
            if is_voting {
                return Some(VotingStep::StopVoting);
            }
            let is_due = now >= at;
            if is_due {
                self.reopen_at = Some(now + REOPEN_INTERVAL);
            }
            return is_due.then_some(VotingStep::ReopenFolder);
        }
        if std::mem::take(&mut self.identity_unsaved) {
            return Some(VotingStep::SaveIdentity);
        }
        if !membership.may_vote() {
            if membership.has_different_folder() {
                self.problem = Some(DIFFERENT_FOLDER.to_owned());
            }
            return is_voting.then_some(VotingStep::StopVoting);
        }
        if is_voting {
            return None;
        }
        if std::mem::take(&mut self.resume_pending) {
            return Some(VotingStep::ResumeVoting);
        }
        if std::mem::replace(&mut self.has_voted, true) {
            // The voter stopped because it could not continue. Its promises are known only from the folder.
            self.folder_failed(now, "the voter stopped; its state is read from the folder again");
            return None;
        }
        Some(VotingStep::StartVoting)
    }

    /// The folder failed, or holds more than is known here: it has to be opened again before anything is promised.
    pub fn folder_failed(&mut self, now: Moment, reason: &str) {
        self.problem = Some(reason.to_owned());
        self.reopen_at = Some(now + REOPEN_INTERVAL);
    }

    /// It was opened again.
    pub fn folder_reopened(&mut self, result: ReopenResult) {
        match result {
            ReopenResult::SameFolder => {
                self.reopen_at = None;
                self.problem = None;
                // The identity in the folder may be older than the one in memory.
                self.identity_unsaved = true;
                self.resume_pending = self.has_voted;
            }
            ReopenResult::DifferentFolder => {
                self.problem = Some("its folder was replaced while it was running".to_owned())
            }
            ReopenResult::Failed(reason) => self.problem = Some(reason),
        }
    }

    /// Whether the folder can be written, as far as is known.
    pub fn is_folder_open(&self) -> bool {
        self.reopen_at.is_none()
    }
}

#[cfg(test)]
mod tests;
