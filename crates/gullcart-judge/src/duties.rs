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
    /// Id of the acting member (a courier in the group that assigns duties).
    pub member: u64,
    /// The epoch of the duty under which the member acted.
    pub epoch: u64,
}

/// Two actions that contradict an exclusive duty, in order of receipt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DutyViolation {
    /// Two members acted under the same epoch.
    SharedEpoch(DutyAction, DutyAction),
    /// The second action arrived after one of a later epoch. Either two members held the duty at the same time, or the
    /// member's process was paused between its last check of the duty and the action.
    StaleEpoch(DutyAction, DutyAction),
}

/// The results of checking one duty.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DutyFindings {
    /// Actions of two members under the same epoch. This is always an error.
    pub shared_epochs: Vec<DutyViolation>,
    /// Actions received after one of a later epoch. As each pause of a process can cause one, more of them than there
    /// were pauses are an error.
    pub stale_actions: Vec<DutyViolation>,
    /// The epochs under which there were actions, in ascending order.
    pub held_epochs: Vec<HeldEpoch>,
}

/// An epoch of a duty, as its actions show it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldEpoch {
    /// The epoch.
    pub epoch: u64,
    /// The member that acted first under the epoch.
    pub member: u64,
    /// When the first action under the epoch was received.
    pub first_action_at: Timestamp,
    /// When the last action under the epoch was received, apart from stale actions.
    pub last_action_at: Timestamp,
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
    let held_epochs = epochs.into_iter().map(|(epoch, (first, last))| HeldEpoch {
        epoch,
        member: first.member,
        first_action_at: first.at,
        last_action_at: last.at,
    });
    findings.held_epochs = held_epochs.collect();
    findings
}

/// The longest time without any action between `from` and `to`. The actions must be in time order; those outside the
/// span are ignored.
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
