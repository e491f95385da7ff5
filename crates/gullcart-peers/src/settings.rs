//! The operators' file of the group, checked as a whole before anything of it counts.

use gullcart_group::table::MAX_MEMBERS;
use gullcart_group::types::{LeaseTerms, MemberId};
use serde::Deserialize;
use sha2::{Digest, Sha256};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use thiserror::Error;

/// Voters at least and at most.
const VOTER_COUNT: std::ops::RangeInclusive<usize> = 3..=7;
/// Members that may come while the courier serves, beyond those of its start.
const SPARE_MEMBERS: usize = 8;
/// Bytes of a key at least.
const MIN_KEY_BYTES: usize = 16;

/// Why the file cannot be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// It, or the key's file, cannot be read.
    #[error("{}: {error}", path.display())]
    Read {
        /// Which file.
        path: PathBuf,
        /// Why not.
        error: std::io::Error,
    },
    /// It means nothing.
    #[error("{}: {what}", path.display())]
    Parse {
        /// Which file.
        path: PathBuf,
        /// Where and why.
        what: String,
    },
    /// Other users can read the key file.
    #[error("{}: readable by others than its owner; use chmod 600", path.display())]
    KeyPermissions {
        /// Which file.
        path: PathBuf,
    },
}

/// Another courier of the group, or this one.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Its name, for operators.
    pub name: String,
    /// Its number, which is its own for good.
    pub number: u64,
    /// Where the others reach it.
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

/// What the file says.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This courier.
    pub me: MemberId,
    /// Where it listens for the others.
    pub listen: SocketAddr,
    /// What all of them know.
    pub key: Vec<u8>,
    /// How long leases run.
    pub terms: LeaseTerms,
    /// Bytes of what it keeps, at most.
    pub disk_bytes: u64,
    /// All of them, this one too.
    pub members: Vec<Member>,
}

impl Settings {
    /// Reads the file and the key that it names, which may lie beside it.
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
            return Err(format!("member: {voters} of them vote; 3, 5 or 7 must vote"));
        }
        if members.len() > MAX_MEMBERS {
            return Err(format!("member: there are {}; the maximum is {MAX_MEMBERS}", members.len()));
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

    /// What all members must have alike: who votes, and how long leases run. Two groups that were given one key differ in it, and
    /// so do files that were not changed together.
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

    /// Descriptors at most: one to and one from each member that this one talks to, and some for its listener, its files, its
    /// timers and operators.
    pub fn max_descriptors(&self) -> usize {
        2 * (self.peers().count() + SPARE_MEMBERS) + 16
    }

    /// Members for which there is room without a start.
    pub fn member_capacity(&self) -> usize {
        (self.members.len() + SPARE_MEMBERS).min(MAX_MEMBERS)
    }

    /// The others with which this one has anything to say: those that do not vote have nothing to say to each other.
    pub fn peers(&self) -> impl Iterator<Item = &Member> + '_ {
        let votes = self.members.iter().any(|member| member.number == self.me.0 && member.votes);
        self.members.iter().filter(move |member| member.number != self.me.0 && (votes || member.votes))
    }

    /// Numbers of those that vote.
    pub fn voter_ids(&self) -> Vec<MemberId> {
        self.members.iter().filter(|member| member.votes).map(|member| MemberId(member.number)).collect()
    }

    /// Numbers of all.
    pub fn member_ids(&self) -> Vec<MemberId> {
        self.members.iter().map(|member| MemberId(member.number)).collect()
    }
}

#[cfg(test)]
mod tests;
