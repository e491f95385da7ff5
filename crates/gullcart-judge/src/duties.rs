//! Checks what members did under a duty that only one of them may hold at a time. The actions are judged as their
//! target received them, not by what the holders report about themselves.

use crate::trace::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// An action under a duty, as its target received it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DutyAction {
    /// When the action was received.
    pub at: Timestamp,
    /// The acting member.
    pub member: u64,
    /// The epoch of the duty under which the member acted.
    pub epoch: u64,
}

/// A pair of actions that exclusive holders would not produce, in order of receipt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DutyViolation {
    /// Two members acted under the same epoch.
    SharedEpoch(DutyAction, DutyAction),
    /// The second action arrived after one of a later epoch: either two members held the duty at the same time, or the
    /// member's process was paused right before it acted.
    StaleEpoch(DutyAction, DutyAction),
}

/// The results of checking one duty.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DutyFindings {
    /// Actions of two members under the same epoch. This is always an error.
    pub shared_epochs: Vec<DutyViolation>,
    /// Actions received after one of a later epoch. Each pause of a process right before an action explains one.
    pub stale_actions: Vec<DutyViolation>,
    /// For each epoch: the epoch, its first member, and when the first and the last action under it were received. The
    /// last one leaves out stale actions.
    pub held_epochs: Vec<(u64, u64, Timestamp, Timestamp)>,
}

/// Checks the actions under one duty, given in the order in which they were received.
pub fn judge(actions: &[DutyAction]) -> DutyFindings {
    let mut findings = DutyFindings::default();
    // The first and the last action of each epoch.
    let mut epochs: BTreeMap<u64, (DutyAction, DutyAction)> = BTreeMap::new();
    let mut highest: Option<DutyAction> = None;
    for action in actions {
        let (first, last) = epochs.entry(action.epoch).or_insert((*action, *action));
        if first.member != action.member {
            findings.shared_epochs.push(DutyViolation::SharedEpoch(*first, *action));
        }
        match highest.filter(|highest| highest.epoch > action.epoch) {
            Some(highest) => findings.stale_actions.push(DutyViolation::StaleEpoch(highest, *action)),
            None => {
                *last = *action;
                highest = Some(*action);
            }
        }
    }
    let held = epochs.into_iter().map(|(epoch, (first, last))| (epoch, first.member, first.at, last.at));
    findings.held_epochs = held.collect();
    findings
}

/// The longest time without any action between `from` and `to`.
pub fn longest_gap(actions: &[DutyAction], from: Timestamp, to: Timestamp) -> Duration {
    let within = actions.iter().map(|action| action.at).filter(|at| (from..=to).contains(at));
    let mut gap = Duration::ZERO;
    let mut last = from;
    for at in within.chain([to]) {
        gap = gap.max(at - last);
        last = at;
    }
    gap
}

#[cfg(test)]
mod tests;
