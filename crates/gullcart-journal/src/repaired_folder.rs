//! The folder in which a repair puts the new journal together.

use std::path::{Path, PathBuf};

/// Its name, once the new journal is complete.
pub(crate) const BUILT: &str = "journal.repaired";

/// The folder of a repair that was not finished.
pub(crate) fn unfinished_repair(folder: &Path) -> Option<PathBuf> {
    let built = folder.join(BUILT);
    built.is_dir().then_some(built)
}
