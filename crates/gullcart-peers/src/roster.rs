//! What may change of a group's file while its couriers serve: who belongs to it without a vote. A number is its courier's own
//! for good, so that one that comes back with another folder, or in another's place, comes under a new number, and nobody has to
//! tell the two apart.

use crate::settings::{Member, Settings};
use gullcart_group::vocabulary::MemberId;
use thiserror::Error;

/// What a new file changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// Who belongs to the group from now on, or is found elsewhere.
    pub added: Vec<Member>,
    /// Who does not, or is found elsewhere.
    pub removed: Vec<MemberId>,
}

/// Why a new file is not followed. Nothing has changed then.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Refused {
    /// It is another courier's, or another group's.
    #[error("name, listen, key, lease_ms, drift_ppm and disk_kb cannot change in service")]
    Own,
    /// Other voters, or some of them elsewhere.
    #[error("who votes, and where, cannot change in service")]
    Voters,
    /// More members than were counted on at the start.
    #[error("there is room for {room} members without a start, and it has {members}")]
    Room {
        /// As many as there may be.
        room: usize,
        /// As many as there would be.
        members: usize,
    },
}

/// What it takes to go from one file to another. `room` is how many members descriptors were dealt out for.
pub fn change(from: &Settings, to: &Settings, room: usize) -> Result<Change, Refused> {
    let own = |s: &Settings| (s.me, s.listen, s.terms, s.disk);
    if own(from) != own(to) || from.key != to.key {
        return Err(Refused::Own);
    }
    let voters = |s: &Settings| {
        let mut voters: Vec<_> =
            s.members.iter().filter(|m| m.votes).map(|m| (m.number, m.address)).collect();
        voters.sort_unstable();
        voters
    };
    if voters(from) != voters(to) {
        return Err(Refused::Voters);
    }
    if to.members.len() > room {
        return Err(Refused::Room { room, members: to.members.len() });
    }
    // By number and address: what it is called says nothing.
    let is_in = |members: &[Member], member: &Member| {
        members.iter().any(|other| (other.number, other.address) == (member.number, member.address))
    };
    let others = |s: &Settings, t: &Settings| -> Vec<Member> {
        let gone = s.members.iter().filter(|m| m.number != s.me.0 && !is_in(&t.members, m));
        gone.cloned().collect()
    };
    let removed = others(from, to).iter().map(|member| MemberId(member.number)).collect();
    Ok(Change { added: others(to, from), removed })
}

#[cfg(test)]
mod tests;
