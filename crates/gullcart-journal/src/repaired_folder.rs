//! The folder in which a repair puts the complete new journal before it moves the files into place.

use std::path::{Path, PathBuf};

/// Name of the folder. It gets this name only once the new journal is complete.
pub(crate) const REPAIRED_FOLDER: &str = "journal.repaired";

/// The repaired folder of a journal, if a repair was interrupted before it had moved all files out of it.
pub(crate) fn unfinished_repair(folder: &Path) -> Option<PathBuf> {
    let repaired = folder.join(REPAIRED_FOLDER);
    repaired.is_dir().then_some(repaired)
}
