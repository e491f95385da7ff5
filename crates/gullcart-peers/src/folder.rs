//! The state that a process of the group persists in its folder: its identity, and the records of its voter.

use gullcart_group::log::{Record, VoterSnapshot};
use gullcart_group::membership::{FolderFingerprint, FolderOrigin, FolderVersion, ReplicaIdentity};
use gullcart_journal::state_log::{StateLog, StateLogError};
use gullcart_journal::{Folder, Store};
use serde::{Deserialize, Serialize};
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::Path;
use std::time::UNIX_EPOCH;
use thiserror::Error;
use tracing::warn;

/// A file that is created with the folder and never written. The folder's fingerprint is taken from it.
const FINGERPRINT_FILE: &str = "born-here";

/// Why the folder cannot be used.
#[derive(Debug, Error)]
pub enum FolderError {
    /// An I/O error, or another process holds the lock.
    #[error("cannot use the group's folder, or another process has locked it: {0}")]
    Io(#[from] io::Error),
    /// The log in the folder cannot be used.
    #[error(transparent)]
    Notes(#[from] StateLogError),
}

/// An entry of the log in the folder.
#[derive(Serialize, Deserialize)]
enum Entry {
    /// The identity of the process from now on.
    Identity(ReplicaIdentity),
    /// The records of one poll of the voter.
    Records(Vec<Record>),
    /// The complete state, which replaces all earlier entries.
    Snapshot(ReplicaIdentity, Box<VoterSnapshot>),
}

/// The folder of a process. It stays locked as long as this value exists.
pub struct GroupFolder {
    log: StateLog<Folder>,
}

fn read_fingerprint(path: &Path) -> io::Result<FolderFingerprint> {
    let file = path.join(FINGERPRINT_FILE);
    if !file.exists() {
        std::fs::write(&file, [])?;
    }
    let metadata = std::fs::metadata(&file)?;
    let created = metadata.created().ok().and_then(|created| created.duration_since(UNIX_EPOCH).ok());
    let created_ns = created.map_or(0, |created| created.as_nanos() as u64);
    Ok(FolderFingerprint { device: metadata.dev(), inode: metadata.ino(), created_ns })
}

impl GroupFolder {
    /// Opens the folder, and creates it if necessary. Returns its origin and the state of the voter. `left_version` is the
    /// version of the folder that the previous process left, if it handed over to this one.
    pub fn open(
        path: &Path,
        max_bytes: u64,
        random_id: u64,
        left_version: Option<FolderVersion>,
    ) -> Result<(Self, FolderOrigin, VoterSnapshot), FolderError> {
        std::fs::create_dir_all(path)?;
        let folder = Folder::lock(path)?;
        let fingerprint = read_fingerprint(path)?;
        let (log, entries) = match StateLog::open(folder, max_bytes) {
            Ok(opened) => opened,
            // The voter's promises are lost, so the process gets a new identity.
            Err(error @ StateLogError::Damaged { .. }) => {
                warn!(%error, "the voter's log is damaged; this member continues with a new identity");
                for (name, _) in Folder::lock(path)?.list()? {
                    if name.starts_with("notes-") {
                        std::fs::rename(path.join(&name), path.join(format!("damaged-{name}")))?;
                    }
                }
                StateLog::open(Folder::lock(path)?, max_bytes)?
            }
            Err(error) => return Err(error.into()),
        };
        let (mut identity, mut records) = (None, Vec::new());
        for bytes in entries {
            match postcard::from_bytes(&bytes) {
                Ok(Entry::Identity(stored)) => identity = Some(stored),
                Ok(Entry::Records(more)) => records.extend(more),
                Ok(Entry::Snapshot(stored, snapshot)) => {
                    identity = Some(stored);
                    records = vec![Record::Snapshot(snapshot)];
                }
                // Complete but unreadable, so it was written by another version.
                Err(_) => return Err(io::Error::other("the log was written by another version").into()),
            }
        }
        let origin = FolderOrigin::determine(identity, fingerprint, random_id, left_version);
        let snapshot = match &origin {
            FolderOrigin::Unchanged(_) | FolderOrigin::HandedOver(_) => VoterSnapshot::replay(records),
            FolderOrigin::New(_) | FolderOrigin::Copied(_) => VoterSnapshot::default(),
        };
        Ok((GroupFolder { log }, origin, snapshot))
    }

    fn append_entry(&mut self, entry: &Entry) -> Result<(), FolderError> {
        let bytes = postcard::to_allocvec(entry).map_err(io::Error::other)?;
        Ok(self.log.append(&bytes)?)
    }

    /// Saves the identity of the process.
    pub fn save_identity(&mut self, identity: &ReplicaIdentity) -> Result<(), FolderError> {
        self.append_entry(&Entry::Identity(identity.clone()))
    }

    /// Appends the records of one poll of the voter.
    pub fn append_records(&mut self, records: Vec<Record>) -> Result<(), FolderError> {
        self.append_entry(&Entry::Records(records))
    }

    /// Whether the log has grown enough to be rewritten.
    pub fn should_rewrite(&self) -> bool {
        self.log.needs_rewrite()
    }

    /// Replaces the log by one entry with the complete state.
    pub fn rewrite(
        &mut self,
        identity: &ReplicaIdentity,
        snapshot: VoterSnapshot,
    ) -> Result<(), FolderError> {
        let entry = Entry::Snapshot(identity.clone(), Box::new(snapshot));
        let bytes = postcard::to_allocvec(&entry).map_err(io::Error::other)?;
        Ok(self.log.rewrite(&bytes)?)
    }
}

#[cfg(test)]
mod tests;
