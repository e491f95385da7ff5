//! What is done under duties that one process holds at a time, judged where it lands: by what arrives at a partner, never by
//! what holders say of themselves.

use crate::trace::At;
use std::collections::BTreeMap;
use std::time::Duration;

/// Something that was done under a duty, as it landed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Act {
    /// When it landed.
    pub at: At,
    /// By whom.
    pub member: u64,
    /// Under which epoch.
    pub epoch: u64,
}

/// What is wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Wrong {
    /// Two members acted under one epoch.
    Shared(Act, Act),
    /// It landed behind one of a later epoch: two held it at a time, or it was stopped right before it acted.
    Late(Act, Act),
}

/// What was found of one duty.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Findings {
    /// Acts of two members under one epoch: never right.
    pub shared: Vec<Wrong>,
    /// Acts that landed behind later epochs: as many as there were stops right before an act, at most.
    pub late: Vec<Wrong>,
    /// Epochs, who had them, and when the first and the last act landed.
    pub held: Vec<(u64, u64, At, At)>,
}

/// Judges the acts of one duty, in the order in which they landed.
pub fn judge(acts: &[Act]) -> Findings {
    let mut findings = Findings::default();
    let mut epochs: BTreeMap<u64, (Act, Act)> = BTreeMap::new();
    let mut highest: Option<Act> = None;
    for act in acts {
        let (first, last) = epochs.entry(act.epoch).or_insert((*act, *act));
        if first.member != act.member {
            findings.shared.push(Wrong::Shared(*first, *act));
        }
        match highest.filter(|highest| highest.epoch > act.epoch) {
            Some(highest) => findings.late.push(Wrong::Late(highest, *act)),
            None => {
                *last = *act;
                highest = Some(*act);
            }
        }
    }
    let held = epochs.into_iter().map(|(epoch, (first, last))| (epoch, first.member, first.at, last.at));
    findings.held = held.collect();
    findings
}

/// The longest time within a span in which nothing was done.
pub fn longest_gap(acts: &[Act], from: At, to: At) -> Duration {
    let within = acts.iter().map(|act| act.at).filter(|at| (from..=to).contains(at));
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
