//! What a process of the group keeps in its folder: who it is, and what its voter promised.

use gullcart_group::log::{Record, VoterSnapshot};
use gullcart_group::membership::{FolderFingerprint, FolderHandover, FolderOrigin, ReplicaIdentity};
use gullcart_journal::notes::{Notes, NotesError};
use gullcart_journal::{Folder, Store};
use serde::{Deserialize, Serialize};
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::Path;
use std::time::UNIX_EPOCH;
use thiserror::Error;
use tracing::warn;

/// A file that is made once with the folder and never written: by it a folder knows itself.
const FINGERPRINT_FILE: &str = "born-here";

/// Why the folder cannot be used.
#[derive(Debug, Error)]
pub enum FolderError {
    /// It fails, or another process has it.
    #[error("the group's folder: {0}")]
    Io(#[from] io::Error),
    /// Its notes cannot be used.
    #[error(transparent)]
    Notes(#[from] NotesError),
}

/// One entry.
#[derive(Serialize, Deserialize)]
enum Entry {
    /// Who it is from now on.
    Identity(ReplicaIdentity),
    /// What one turn of its voter wrote.
    Records(Vec<Record>),
    /// All of it, in place of all before.
    Snapshot(ReplicaIdentity, Box<VoterSnapshot>),
}

/// The folder of a process, locked while this is there.
pub struct GroupFolder {
    notes: Notes<Folder>,
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
    /// Opens the folder, which is made where there is none; who the process is, and what its voter promised. `left` is what a
    /// process says of it that gave itself up to this one.
    pub fn open(
        path: &Path,
        max_bytes: u64,
        random_id: u64,
        handover: Option<FolderHandover>,
    ) -> Result<(Self, FolderOrigin, VoterSnapshot), FolderError> {
        std::fs::create_dir_all(path)?;
        let folder = Folder::lock(path)?;
        let fingerprint = read_fingerprint(path)?;
        let (notes, entries) = match Notes::open(folder, max_bytes) {
            Ok(opened) => opened,
            // What it promised is not known any more: it comes back as a new one.
            Err(error @ NotesError::Damaged { .. }) => {
                warn!(%error, "the voter's log is damaged; this member continues with a new identity");
                for (name, _) in Folder::lock(path)?.list()? {
                    if name.starts_with("notes-") {
                        std::fs::rename(path.join(&name), path.join(format!("damaged-{name}")))?;
                    }
                }
                Notes::open(Folder::lock(path)?, max_bytes)?
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
                // Written whole, and not to be read: by another version.
                Err(_) => return Err(io::Error::other("the log was written by another version").into()),
            }
        }
        let origin = FolderOrigin::determine(identity, fingerprint, random_id, handover);
        let snapshot = match &origin {
            FolderOrigin::Restarted(_) | FolderOrigin::Continued(_) => VoterSnapshot::replay(records),
            FolderOrigin::New(_) | FolderOrigin::Copied(_) => VoterSnapshot::default(),
        };
        Ok((GroupFolder { notes }, origin, snapshot))
    }

    fn append_entry(&mut self, entry: &Entry) -> Result<(), FolderError> {
        let bytes = postcard::to_allocvec(entry).map_err(io::Error::other)?;
        Ok(self.notes.append(&bytes)?)
    }

    /// Who it is, from now on.
    pub fn save_identity(&mut self, identity: &ReplicaIdentity) -> Result<(), FolderError> {
        self.append_entry(&Entry::Identity(identity.clone()))
    }

    /// What a turn of the voter wrote.
    pub fn append_records(&mut self, records: Vec<Record>) -> Result<(), FolderError> {
        self.append_entry(&Entry::Records(records))
    }

    /// Whether all of it is worth writing down anew.
    pub fn should_rewrite(&self) -> bool {
        self.notes.is_long()
    }

    /// Replaces the log by one entry with the complete state.
    pub fn rewrite(
        &mut self,
        identity: &ReplicaIdentity,
        snapshot: VoterSnapshot,
    ) -> Result<(), FolderError> {
        let entry = Entry::Snapshot(identity.clone(), Box::new(snapshot));
        let bytes = postcard::to_allocvec(&entry).map_err(io::Error::other)?;
        Ok(self.notes.rewrite(&bytes)?)
    }
}

#[cfg(test)]
mod tests;
