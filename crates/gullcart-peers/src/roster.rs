//! What may change of a group's file while its couriers serve: who belongs to it without a vote. A number is its courier's own
//! for good, so that one that comes back with another folder, or in another's place, comes under a new number, and nobody has to
//! tell the two apart.

use crate::settings::{Member, Settings};
use gullcart_group::types::MemberId;
use thiserror::Error;

/// What a new file changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberChanges {
    /// Who belongs to the group from now on, or is found elsewhere.
    pub added: Vec<Member>,
    /// Who does not, or is found elsewhere.
    pub removed: Vec<MemberId>,
}

/// Why a new file is not followed. Nothing has changed then.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ChangeError {
    /// It is another courier's, or another group's.
    #[error("name, listen, key, lease_ms, drift_ppm and disk_kb cannot change without a restart")]
    FixedSetting,
    /// The voters or their addresses differ.
    #[error("the voters and their addresses cannot change without a restart")]
    Voters,
    /// There are more members than resources were reserved for at the start.
    #[error("at most {capacity} members are possible without a restart, and the file has {members}")]
    Capacity {
        /// As many as there may be.
        capacity: usize,
        /// As many as there would be.
        members: usize,
    },
}

/// What it takes to go from one file to another. `room` is how many members descriptors were dealt out for.
pub fn diff(from: &Settings, to: &Settings, capacity: usize) -> Result<MemberChanges, ChangeError> {
    let fixed = |s: &Settings| (s.me, s.listen, s.terms, s.disk_bytes);
    if fixed(from) != fixed(to) || from.key != to.key {
        return Err(ChangeError::FixedSetting);
    }
    let voters = |s: &Settings| {
        let mut voters: Vec<_> =
            s.members.iter().filter(|m| m.votes).map(|m| (m.number, m.address)).collect();
        voters.sort_unstable();
        voters
    };
    if voters(from) != voters(to) {
        return Err(ChangeError::Voters);
    }
    if to.members.len() > capacity {
        return Err(ChangeError::Capacity { capacity, members: to.members.len() });
    }
    // By number and address: what it is called says nothing.
    let contains = |members: &[Member], member: &Member| {
        members.iter().any(|other| (other.number, other.address) == (member.number, member.address))
    };
    let missing_from = |s: &Settings, t: &Settings| -> Vec<Member> {
        let missing = s.members.iter().filter(|m| m.number != s.me.0 && !contains(&t.members, m));
        missing.cloned().collect()
    };
    let removed = missing_from(from, to).iter().map(|member| MemberId(member.number)).collect();
    Ok(MemberChanges { added: missing_from(to, from), removed })
}

#[cfg(test)]
mod tests;
