//! Repair of a damaged journal, at an operator's request: recovers all records that can be verified.
//!
//! The new journal is built in a subfolder, which is renamed once it is complete. Then the old files are moved to a backup
//! folder, and the new ones into place. An interrupted repair is finished by the next one, and no courier starts on a
//! folder with an unfinished repair.

use crate::error::{io_error, JournalError};
use crate::frame::{Header, HEADER_BYTES};
use crate::journal::Journal;
use crate::repaired_folder::{unfinished_repair, REPAIRED_FOLDER};
use crate::salvage::{salvage, JournalReport};
use crate::segment_log::{segment_sequence, SPARE_FILE_NAME};
use crate::store::{Folder, Store, LOCK_FILE_NAME};
use crate::Options;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// Name of the subfolder in which the new journal is built.
const BUILD_FOLDER: &str = "journal.repairing";

/// Result of a repair.
#[derive(Clone, Debug)]
pub struct RepairOutcome {
    /// State of the journal before the repair.
    pub report: JournalReport,
    /// Folder with the damaged files; none if there was nothing to repair.
    pub backup_folder: Option<PathBuf>,
}

/// Repairs a damaged journal: moves its files to a backup folder and writes a new journal with all records that can be
/// verified. An undamaged journal is left as it is. The disk needs space for both journals: `disk_bytes` limits only the new one.
pub fn repair(folder: &Path, disk_bytes: u64, options: Options) -> Result<RepairOutcome, JournalError> {
    let store = Folder::lock(folder).map_err(JournalError::Folder)?;
    if unfinished_repair(folder).is_none() {
        let salvaged = salvage(&store)?;
        if salvaged.report.is_undamaged() {
            return Ok(RepairOutcome { report: salvaged.report, backup_folder: None });
        }
        let building = folder.join(BUILD_FOLDER);
        match fs::remove_dir_all(&building) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => {
                return Err(io_error("remove", BUILD_FOLDER)(error));
            }
            _ => {}
        }
        fs::create_dir(&building).map_err(io_error("make", BUILD_FOLDER))?;
        let report = salvaged.report;
        let mut journal = Journal::open(&building, disk_bytes, options)?;
        journal.import(salvaged.state)?;
        drop(journal);
        for name in [LOCK_FILE_NAME, SPARE_FILE_NAME] {
            let _ = fs::remove_file(building.join(name));
        }
        sync_folder(&building)?;
        fs::rename(&building, folder.join(REPAIRED_FOLDER)).map_err(io_error("rename", BUILD_FOLDER))?;
        let backup_folder = finish_repair(&store)?;
        return Ok(RepairOutcome { report, backup_folder: Some(backup_folder) });
    }
    let backup_folder = finish_repair(&store)?;
    Ok(RepairOutcome { report: salvage(&store)?.report, backup_folder: Some(backup_folder) })
}

/// Makes all files of a folder durable.
fn sync_folder(folder: &Path) -> Result<(), JournalError> {
    for entry in fs::read_dir(folder).map_err(JournalError::Folder)? {
        let path = entry.map_err(JournalError::Folder)?.path();
        fs::File::open(path).and_then(|file| file.sync_all()).map_err(io_error("sync", BUILD_FOLDER))?;
    }
    fs::File::open(folder).and_then(|file| file.sync_all()).map_err(io_error("sync", BUILD_FOLDER))
}

/// The id of the journal that a segment file belongs to, if its header can be read.
fn journal_id(path: &Path) -> Option<u64> {
    use std::io::Read;
    let mut bytes = [0; HEADER_BYTES as usize];
    fs::File::open(path).ok()?.read_exact(&mut bytes).ok()?;
    Header::decode(&bytes).ok().map(|header| header.id.journal_id)
}

/// Moves the old files to a backup folder and the new ones into place; returns the backup folder.
fn finish_repair(store: &Folder) -> Result<PathBuf, JournalError> {
    let folder = store.path();
    let repaired = folder.join(REPAIRED_FOLDER);
    let mut new_files = Vec::new();
    for entry in fs::read_dir(&repaired).map_err(JournalError::Folder)? {
        new_files.push(entry.map_err(JournalError::Folder)?.path());
    }
    new_files.sort();
    let new_id = new_files.iter().find_map(|path| journal_id(path));
    let next_number = (1..).find(|n| !folder.join(format!("journal.damaged-{n}")).exists()).unwrap_or(1u32);
    let mut backup_folder = folder.join(format!("journal.damaged-{next_number}"));
    if let Some(new_id) = new_id {
        let old_files: Vec<String> = store
            .list()
            .map_err(JournalError::Folder)?
            .into_iter()
            .map(|(name, _)| name)
            .filter(|name| segment_sequence(name).is_some() && journal_id(&folder.join(name)) != Some(new_id))
            .collect();
        if old_files.is_empty() {
            // The interrupted repair had already moved all old files, to the last backup folder.
            backup_folder = folder.join(format!("journal.damaged-{}", next_number - 1));
        } else {
            fs::create_dir(&backup_folder).map_err(io_error("make", "journal.damaged"))?;
        }
        for name in old_files {
            fs::rename(folder.join(&name), backup_folder.join(&name))
                .map_err(io_error("move aside", &name))?;
        }
    }
    for path in new_files {
        let Some(name) = path.file_name() else { continue };
        fs::rename(&path, folder.join(name)).map_err(io_error("move", REPAIRED_FOLDER))?;
    }
    store.sync_directory().map_err(io_error("sync the directory of", REPAIRED_FOLDER))?;
    fs::remove_dir(&repaired).map_err(io_error("remove", REPAIRED_FOLDER))?;
    Ok(backup_folder)
}
