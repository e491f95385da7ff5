//! The group's settings file, which is validated completely before any of it is used.

use gullcart_group::table::MAX_MEMBERS;
use gullcart_group::types::{LeaseTerms, MemberId};
use serde::Deserialize;
use sha2::{Digest, Sha256};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use thiserror::Error;

/// Minimum and maximum number of voters.
const VOTER_COUNT: std::ops::RangeInclusive<usize> = 3..=7;
/// Number of members that may be added while the courier runs.
const SPARE_MEMBERS: usize = 8;
/// Minimum length of the key.
const MIN_KEY_BYTES: usize = 16;

/// Why the settings file cannot be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file, or the key file, cannot be read.
    #[error("{}: {error}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The error.
        error: std::io::Error,
    },
    /// The contents are invalid.
    #[error("{}: {what}", path.display())]
    Parse {
        /// The file.
        path: PathBuf,
        /// What is invalid, and where.
        what: String,
    },
    /// Other users can read the key file.
    #[error("{}: readable by others than its owner; use chmod 600", path.display())]
    KeyPermissions {
        /// The key file.
        path: PathBuf,
    },
}

/// A member of the group, as listed in the settings file.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Its name, for operators.
    pub name: String,
    /// Its id, which is never given to another member.
    pub number: u64,
    /// The address at which the other members reach it.
    pub address: SocketAddr,
    /// Whether it votes.
    #[serde(default)]
    pub votes: bool,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SettingsFile {
    name: String,
    listen: SocketAddr,
    key_file: PathBuf,
    #[serde(default = "default_lease_ms")]
    lease_ms: u64,
    #[serde(default = "default_drift_ppm")]
    drift_ppm: u32,
    #[serde(default = "default_disk_kb")]
    disk_kb: u64,
    #[serde(rename = "member")]
    members: Vec<Member>,
}

fn default_lease_ms() -> u64 {
    1000
}
fn default_drift_ppm() -> u32 {
    20_000
}
fn default_disk_kb() -> u64 {
    1024
}

/// The settings of one member.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The id of this member.
    pub me: MemberId,
    /// The address on which it listens for other members.
    pub listen: SocketAddr,
    /// The key that all members share.
    pub key: Vec<u8>,
    /// The duration of leases, and the maximum clock drift.
    pub terms: LeaseTerms,
    /// Maximum size of the group's state on disk.
    pub disk_bytes: u64,
    /// All members, including this one.
    pub members: Vec<Member>,
}

impl Settings {
    /// Reads the file, and the key file that it names, relative to its own folder.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let io = |path: &Path| {
            let path = path.to_owned();
            move |error| SettingsError::Read { path, error }
        };
        let text = std::fs::read_to_string(path).map_err(io(path))?;
        let parse = |what| SettingsError::Parse { path: path.to_owned(), what };
        let file: SettingsFile = toml::from_str(&text).map_err(|error| parse(error.to_string()))?;
        let key_path = path.parent().unwrap_or(Path::new("")).join(&file.key_file);
        let metadata = std::fs::metadata(&key_path).map_err(io(&key_path))?;
        if std::os::unix::fs::PermissionsExt::mode(&metadata.permissions()) & 0o077 != 0 {
            return Err(SettingsError::KeyPermissions { path: key_path });
        }
        let key = std::fs::read(&key_path).map_err(io(&key_path))?.trim_ascii().to_vec();
        if key.len() < MIN_KEY_BYTES {
            let what =
                format!("key_file: the key has {} bytes; at least {MIN_KEY_BYTES} are needed", key.len());
            return Err(parse(what));
        }
        Self::check(file, key).map_err(parse)
    }

    fn check(file: SettingsFile, key: Vec<u8>) -> Result<Self, String> {
        let SettingsFile { name, listen, lease_ms, drift_ppm, disk_kb, members, .. } = file;
        if !(200..=60_000).contains(&lease_ms) {
            return Err(format!("lease_ms is {lease_ms}; it must be between 200 and 60000"));
        }
        if drift_ppm > 200_000 {
            return Err(format!("drift_ppm is {drift_ppm}; the maximum is 200000"));
        }
        if !(256..=65_536).contains(&disk_kb) {
            return Err(format!("disk_kb is {disk_kb}; it must be between 256 and 65536"));
        }
        let voters = members.iter().filter(|member| member.votes).count();
        if !VOTER_COUNT.contains(&voters) || voters.is_multiple_of(2) {
            return Err(format!("member: {voters} members vote; 3, 5 or 7 must"));
        }
        if members.len() > MAX_MEMBERS {
            return Err(format!(
                "member: the file lists {} members; the maximum is {MAX_MEMBERS}",
                members.len()
            ));
        }
        for (index, member) in members.iter().enumerate() {
            if member.number == 0 {
                return Err(format!("member '{}': number must be at least 1", member.name));
            }
            let other = members[..index].iter().find(|other| {
                other.number == member.number || other.name == member.name || other.address == member.address
            });
            if let Some(other) = other {
                let what = "shares its number, name or address with";
                return Err(format!("member '{}' {what} '{}'", member.name, other.name));
            }
        }
        let me = members.iter().find(|member| member.name == name);
        let me = me.ok_or_else(|| format!("name is '{name}', but no member has that name"))?;
        Ok(Settings {
            me: MemberId(me.number),
            listen,
            key,
            terms: LeaseTerms { duration: Duration::from_millis(lease_ms), drift_ppm },
            disk_bytes: disk_kb << 10,
            members,
        })
    }

    /// A hash of what must be the same for all members: the voters and the lease terms. It differs between two groups that use
    /// the same key by mistake, and between settings files that were not changed together.
    pub fn group_id(&self) -> u64 {
        let mut hash = Sha256::new();
        let LeaseTerms { duration: lease, drift_ppm } = self.terms;
        hash.update((lease.as_micros() as u64).to_le_bytes());
        hash.update(drift_ppm.to_le_bytes());
        let mut voters = self.voter_ids();
        voters.sort();
        voters.iter().for_each(|voter| hash.update(voter.0.to_le_bytes()));
        let bytes: [u8; 32] = hash.finalize().into();
        u64::from_le_bytes(bytes.first_chunk().copied().unwrap_or_default())
    }

    /// Maximum number of file descriptors: one connection to and one from each peer, and some for the listener, files, timers and
    /// operators.
    pub fn max_descriptors(&self) -> usize {
        2 * (self.peers().count() + SPARE_MEMBERS) + 16
    }

    /// Maximum number of members that the group may have without a restart of this one.
    pub fn member_capacity(&self) -> usize {
        (self.members.len() + SPARE_MEMBERS).min(MAX_MEMBERS)
    }

    /// The members with which this one exchanges messages. Members without a vote only talk to voters.
    pub fn peers(&self) -> impl Iterator<Item = &Member> + '_ {
        let votes = self.members.iter().any(|member| member.number == self.me.0 && member.votes);
        self.members.iter().filter(move |member| member.number != self.me.0 && (votes || member.votes))
    }

    /// The ids of the voters.
    pub fn voter_ids(&self) -> Vec<MemberId> {
        self.members.iter().filter(|member| member.votes).map(|member| MemberId(member.number)).collect()
    }

    /// The ids of all members.
    pub fn member_ids(&self) -> Vec<MemberId> {
        self.members.iter().map(|member| MemberId(member.number)).collect()
    }
}

#[cfg(test)]
mod tests;
