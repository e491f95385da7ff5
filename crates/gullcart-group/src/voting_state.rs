//! Decides whether a process votes: only while the other members know it with its folder, and while that folder can be written.
//! If the folder fails, the process stops voting until the same folder can be written again.

use crate::membership::Membership;
use crate::types::Moment;
use std::time::Duration;

/// Time between two attempts to reopen a folder that failed.
const REOPEN_INTERVAL: Duration = Duration::from_secs(1);
/// Reported to operators if the member is known with another folder.
const DIFFERENT_FOLDER: &str = "the group knows this member with another folder; replace the member";

/// An action that the process has to take before anything else.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VotingStep {
    /// Reopen the folder, and report the result to [`VotingState::folder_reopened`].
    ReopenFolder,
    /// Save the identity in the folder. If that fails, call [`VotingState::folder_failed`].
    SaveIdentity,
    /// Stop voting: the folder failed, so the last promise may not have been persisted, or the member is known with another
    /// folder.
    StopVoting,
    /// Start voting without any state, as this member has never promised anything.
    StartVoting,
    /// Start voting again, from the state in the folder.
    ResumeVoting,
}

/// The result of reopening the folder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReopenResult {
    /// It is the folder that this process had before.
    SameFolder,
    /// It is another folder, or a copy.
    DifferentFolder,
    /// It still fails.
    Failed(String),
}

/// The voting state of one process.
#[derive(Clone, Debug)]
pub struct VotingState {
    /// When to reopen the folder; `None` while it can be written.
    reopen_at: Option<Moment>,
    /// The identity has changed since it was last saved.
    identity_unsaved: bool,
    /// This member has voted before, in any incarnation, so it must not start voting without state.
    has_voted: bool,
    /// Voting was stopped in this incarnation, and continues from the persisted state.
    resume_pending: bool,
    problem: Option<String>,
}

impl VotingState {
    /// Creates the state of a process whose folder is open. `is_voting` tells whether it starts as a voter with state.
    pub fn new(is_voting: bool, problem: Option<String>) -> Self {
        VotingState {
            reopen_at: None,
            identity_unsaved: false,
            has_voted: is_voting,
            resume_pending: false,
            problem,
        }
    }

    /// What prevents the process from voting, for operators.
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
            // The voter stopped because it could not continue. What it has promised is known only from the folder.
            self.folder_failed(now, "the voter stopped; its state is read from the folder again");
            return None;
        }
        Some(VotingStep::StartVoting)
    }

    /// The folder failed, or its contents are needed: it has to be reopened before the process may vote again.
    pub fn folder_failed(&mut self, now: Moment, reason: &str) {
        self.problem = Some(reason.to_owned());
        self.reopen_at = Some(now + REOPEN_INTERVAL);
    }

    /// Reports the result of [`VotingStep::ReopenFolder`].
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
                self.problem =
                    Some("the member's folder was replaced while the member was running".to_owned())
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
