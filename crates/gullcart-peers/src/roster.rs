//! Changes of the group's settings file that can be applied without a restart: only members without a vote may be added or
//! removed. An id is never given to another member: a courier with a new folder, or on the machine of a former member, gets a
//! new id and so cannot be mistaken for the former one.

use crate::settings::{Member, Settings};
use gullcart_group::types::MemberId;
use thiserror::Error;

/// The members that a new settings file adds and removes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberChanges {
    /// Members that are new, or have a new address.
    pub added: Vec<Member>,
    /// Members that are gone, or have a new address.
    pub removed: Vec<MemberId>,
}

/// Why a new settings file is rejected. Nothing is changed then.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ChangeError {
    /// A setting differs that cannot change, or the file belongs to another member or group.
    #[error("name, listen, key, lease_ms, drift_ppm and disk_kb cannot change without a restart")]
    FixedSetting,
    /// The voters or their addresses differ.
    #[error("the voters and their addresses cannot change without a restart")]
    Voters,
    /// There are more members than resources were reserved for at the start.
    #[error("at most {capacity} members are possible without a restart, and the file has {members}")]
    Capacity {
        /// The maximum number of members.
        capacity: usize,
        /// The number of members in the file.
        members: usize,
    },
}

/// The changes between two settings files. `capacity` is the number of members for which descriptors were reserved.
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
    // Compared by id and address; the name is only for operators.
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
