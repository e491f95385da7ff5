//! Faults of a process's state folder: its contents are lost, or replaced by an older copy.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// A copy of the plain files of a folder, in memory.
#[derive(Debug)]
pub struct FolderCopy {
    folder: PathBuf,
    files: Vec<(std::ffi::OsString, Vec<u8>)>,
}

impl FolderCopy {
    /// Copies the current files. The process may be running, as it is during a backup.
    pub fn take(folder: &Path) -> io::Result<Self> {
        let mut files = Vec::new();
        for entry in fs::read_dir(folder)? {
            let entry = entry?;
            if entry.metadata()?.is_file() {
                match fs::read(entry.path()) {
                    Ok(bytes) => files.push((entry.file_name(), bytes)),
                    // The file was removed after the folder was read.
                    Err(error) if error.kind() == io::ErrorKind::NotFound => {}
                    Err(error) => return Err(error),
                }
            }
        }
        Ok(FolderCopy { folder: folder.to_owned(), files })
    }

    /// Replaces the contents of the folder with the copy. The files are new ones, not the original inodes.
    pub fn restore(&self) -> io::Result<()> {
        clear_folder(&self.folder)?;
        self.files.iter().try_for_each(|(name, bytes)| fs::write(self.folder.join(name), bytes))
    }
}

/// Replaces a folder with an empty one.
pub fn clear_folder(folder: &Path) -> io::Result<()> {
    fs::remove_dir_all(folder)?;
    fs::create_dir_all(folder)
}

#[cfg(test)]
mod tests;
