//! What happens to a process's folder while the process is away: it is lost, or an older copy comes back in its place.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// A copy of a folder of plain files.
#[derive(Debug)]
pub struct FolderCopy {
    folder: PathBuf,
    files: Vec<(std::ffi::OsString, Vec<u8>)>,
}

impl FolderCopy {
    /// Copies what is there now; the process may be running, as when a backup is made.
    pub fn take(folder: &Path) -> io::Result<Self> {
        let mut files = Vec::new();
        for entry in fs::read_dir(folder)? {
            let entry = entry?;
            if entry.metadata()?.is_file() {
                match fs::read(entry.path()) {
                    Ok(bytes) => files.push((entry.file_name(), bytes)),
                    // It was removed meanwhile.
                    Err(error) if error.kind() == io::ErrorKind::NotFound => {}
                    Err(error) => return Err(error),
                }
            }
        }
        Ok(FolderCopy { folder: folder.to_owned(), files })
    }

    /// Puts it in the place of what is there: the files are new ones with the old contents.
    pub fn restore(&self) -> io::Result<()> {
        clear_folder(&self.folder)?;
        self.files.iter().try_for_each(|(name, bytes)| fs::write(self.folder.join(name), bytes))
    }
}

/// Loses all that is in a folder; the folder is there again, empty.
pub fn clear_folder(folder: &Path) -> io::Result<()> {
    fs::remove_dir_all(folder)?;
    fs::create_dir_all(folder)
}

#[cfg(test)]
mod tests;
