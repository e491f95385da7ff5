//! The persistent folder. All file operations of this package go through [`Store`], so that tests can simulate a crash at
//! each of them.

use std::fs::{self, File, OpenOptions, TryLockError};
use std::io;
use std::os::unix::fs::{FileExt, MetadataExt};
use std::path::{Path, PathBuf};

/// A folder of files. An operation that fails may have happened in part.
pub trait Store {
    /// An open file.
    type File;

    /// Names and lengths of all files, in no particular order.
    fn list(&self) -> io::Result<Vec<(String, u64)>>;
    /// Creates an empty file for reading and writing; an existing one is truncated.
    fn create(&self, name: &str) -> io::Result<Self::File>;
    /// Opens an existing file for reading and writing.
    fn open(&self, name: &str) -> io::Result<Self::File>;
    /// Preallocates disk space for a file, which is then at least `length` bytes long; the new part reads as zeros.
    fn preallocate(&self, file: &Self::File, length: u64) -> io::Result<()>;
    /// Reads bytes at an offset into the buffer; returns how many, which is 0 at the end of the file.
    fn read_at(&self, file: &Self::File, buffer: &mut [u8], offset: u64) -> io::Result<usize>;
    /// Writes all bytes at an offset.
    fn write_at(&self, file: &Self::File, bytes: &[u8], offset: u64) -> io::Result<()>;
    /// Truncates or extends a file.
    fn set_length(&self, file: &Self::File, length: u64) -> io::Result<()>;
    /// Makes the contents of a file durable over a crash of the machine.
    fn sync(&self, file: &Self::File) -> io::Result<()>;
    /// Makes created, renamed and removed names durable over a crash of the machine.
    fn sync_directory(&self) -> io::Result<()>;
    /// Renames a file; an existing file of the new name is replaced.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    fn remove(&self, name: &str) -> io::Result<()>;
}

/// Name of the file that is locked while a process uses the folder.
pub(crate) const LOCK_FILE_NAME: &str = "journal.lock";

/// A folder on disk, locked against other processes as long as this value exists.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    directory: File,
    lock: File,
}

impl Folder {
    /// Locks and opens a folder. It is an error if another process uses it. The lock ends with the process.
    pub fn lock(path: &Path) -> io::Result<Self> {
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path.join(LOCK_FILE_NAME))
            .map_err(|e| {
                io::Error::new(e.kind(), format!("cannot open {}: {e}", path.join(LOCK_FILE_NAME).display()))
            })?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => {
                let message = format!("{} is in use by another process", path.display());
                return Err(io::Error::new(io::ErrorKind::ResourceBusy, message));
            }
            Err(TryLockError::Error(error)) => return Err(error),
        }
        Ok(Folder { path: path.to_owned(), directory: File::open(path)?, lock })
    }

    /// Whether the folder at this path is still the one that was locked. A folder that was removed and created anew may have
    /// the same inode, but its lock file is another one.
    pub fn is_in_place(&self) -> bool {
        let identity = |metadata: fs::Metadata| (metadata.dev(), metadata.ino());
        let found = fs::metadata(self.path.join(LOCK_FILE_NAME)).map(identity);
        let locked = self.lock.metadata().map(identity);
        matches!((found, locked), (Ok(found), Ok(locked)) if found == locked)
    }

    /// Path of the folder.
    pub fn path(&self) -> &Path {
        &self.path
    }
}

impl Store for Folder {
    type File = File;

    fn list(&self) -> io::Result<Vec<(String, u64)>> {
        let mut files = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let entry = entry?;
            let metadata = entry.metadata()?;
            if let (true, Ok(name)) = (metadata.is_file(), entry.file_name().into_string()) {
                files.push((name, metadata.len()));
            }
        }
        Ok(files)
    }

    fn create(&self, name: &str) -> io::Result<File> {
        OpenOptions::new().read(true).write(true).create(true).truncate(true).open(self.path.join(name))
    }

    fn open(&self, name: &str) -> io::Result<File> {
        OpenOptions::new().read(true).write(true).open(self.path.join(name))
    }

    fn preallocate(&self, file: &File, length: u64) -> io::Result<()> {
        use rustix::io::Errno;
        match rustix::fs::fallocate(file, rustix::fs::FallocateFlags::empty(), 0, length) {
            // Not all file systems support this. Then only the length is set, and a later write may still find the disk full.
            Err(Errno::OPNOTSUPP | Errno::NOSYS) => file.set_len(length),
            other => Ok(other?),
        }
    }

    fn read_at(&self, file: &File, buffer: &mut [u8], offset: u64) -> io::Result<usize> {
        file.read_at(buffer, offset)
    }

    fn write_at(&self, file: &File, bytes: &[u8], offset: u64) -> io::Result<()> {
        file.write_all_at(bytes, offset)
    }

    fn set_length(&self, file: &File, length: u64) -> io::Result<()> {
        file.set_len(length)
    }

    fn sync(&self, file: &File) -> io::Result<()> {
        file.sync_data()
    }

    fn sync_directory(&self) -> io::Result<()> {
        self.directory.sync_all()
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.path.join(name))
    }
}
