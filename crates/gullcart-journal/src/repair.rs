//! Taking over what can be proven of a damaged journal, on an operator's word.
//!
//! The new journal is built in a folder of its own, which gets its final name once it is complete; then the old files
//! are moved aside, and the new ones moved to their place. A repair that was cut off is finished by the next one, and
//! no courier starts on a folder in which one is unfinished.

use crate::error::{doing, JournalError};
use crate::frame::{Header, HEADER};
use crate::journal::Journal;
use crate::log::sequence;
use crate::repaired_folder::{unfinished_repair, BUILT};
use crate::salvage::{salvage, Report};
use crate::store::{Folder, Store};
use crate::Options;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

const BUILDING: &str = "journal.repairing";

/// What a repair did.
#[derive(Clone, Debug)]
pub struct Repaired {
    /// What was found before.
    pub report: Report,
    /// Where the old files are now; none if there was nothing to repair.
    pub kept: Option<PathBuf>,
}

/// Keeps a damaged journal aside and takes over what can be proven. A sound one is left as it is. It needs room for
/// both, whatever the courier may use.
pub fn repair(folder: &Path, disk: u64, options: Options) -> Result<Repaired, JournalError> {
    let store = Folder::lock(folder).map_err(JournalError::Folder)?;
    if unfinished_repair(folder).is_none() {
        let salvaged = salvage(&store)?;
        if salvaged.report.is_sound() {
            return Ok(Repaired { report: salvaged.report, kept: None });
        }
        let building = folder.join(BUILDING);
        match fs::remove_dir_all(&building) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => {
                return Err(doing("remove", BUILDING)(error));
            }
            _ => {}
        }
        fs::create_dir(&building).map_err(doing("make", BUILDING))?;
        let report = salvaged.report;
        let mut journal = Journal::open(&building, disk, options)?;
        journal.adopt(salvaged.image)?;
        drop(journal);
        for name in ["journal.lock", "journal.spare"] {
            let _ = fs::remove_file(building.join(name));
        }
        sync_all(&building)?;
        fs::rename(&building, folder.join(BUILT)).map_err(doing("rename", BUILDING))?;
        let kept = finish(&store)?;
        return Ok(Repaired { report, kept: Some(kept) });
    }
    let kept = finish(&store)?;
    Ok(Repaired { report: salvage(&store)?.report, kept: Some(kept) })
}

fn sync_all(folder: &Path) -> Result<(), JournalError> {
    for entry in fs::read_dir(folder).map_err(JournalError::Folder)? {
        let path = entry.map_err(JournalError::Folder)?.path();
        fs::File::open(path).and_then(|file| file.sync_all()).map_err(doing("sync", BUILDING))?;
    }
    fs::File::open(folder).and_then(|file| file.sync_all()).map_err(doing("sync", BUILDING))
}

/// Whose a segment is, if that can be told.
fn identity(path: &Path) -> Option<u64> {
    use std::io::Read;
    let mut bytes = [0; HEADER as usize];
    fs::File::open(path).ok()?.read_exact(&mut bytes).ok()?;
    Header::decode(&bytes).ok().map(|header| header.place.identity)
}

/// Moves the old files aside and the new ones to their place.
fn finish(store: &Folder) -> Result<PathBuf, JournalError> {
    let folder = store.path();
    let built = folder.join(BUILT);
    let mut new = Vec::new();
    for entry in fs::read_dir(&built).map_err(JournalError::Folder)? {
        new.push(entry.map_err(JournalError::Folder)?.path());
    }
    new.sort();
    let own = new.iter().find_map(|path| identity(path));
    let number = (1..).find(|n| !folder.join(format!("journal.damaged-{n}")).exists()).unwrap_or(1u32);
    let mut kept = folder.join(format!("journal.damaged-{number}"));
    if let Some(own) = own {
        let old: Vec<String> = store
            .list()
            .map_err(JournalError::Folder)?
            .into_iter()
            .map(|(name, _)| name)
            .filter(|name| sequence(name).is_some() && identity(&folder.join(name)) != Some(own))
            .collect();
        if old.is_empty() {
            kept = folder.join(format!("journal.damaged-{}", number - 1));
        } else {
            fs::create_dir(&kept).map_err(doing("make", "journal.damaged"))?;
        }
        for name in old {
            fs::rename(folder.join(&name), kept.join(&name)).map_err(doing("move aside", &name))?;
        }
    }
    for path in new {
        let Some(name) = path.file_name() else { continue };
        fs::rename(&path, folder.join(name)).map_err(doing("move", BUILT))?;
    }
    store.sync_names().map_err(doing("sync names beside", BUILT))?;
    fs::remove_dir(&built).map_err(doing("remove", BUILT))?;
    Ok(kept)
}
