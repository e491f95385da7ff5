//! The folder that lasts, as the journal uses it. All I/O of this package goes through [`Store`], so that tests can cut
//! it off at every operation.

use std::fs::{self, File, OpenOptions, TryLockError};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// A folder of files. Operations either happen or fail; one that fails may have happened in part.
pub trait Store {
    /// A file that is open.
    type File;

    /// Names and lengths of all files, in no order.
    fn list(&self) -> io::Result<Vec<(String, u64)>>;
    /// Makes an empty file that can be written, in the place of one of that name.
    fn create(&self, name: &str) -> io::Result<Self::File>;
    /// Opens a file to read and write.
    fn open(&self, name: &str) -> io::Result<Self::File>;
    /// Sets room aside for a file, which is then at least so long; the new part reads as zeros.
    fn set_aside(&self, file: &Self::File, length: u64) -> io::Result<()>;
    /// Reads some bytes from a place; none at the end.
    fn read_at(&self, file: &Self::File, buffer: &mut [u8], offset: u64) -> io::Result<usize>;
    /// Writes all bytes at a place.
    fn write_at(&self, file: &Self::File, bytes: &[u8], offset: u64) -> io::Result<()>;
    /// Cuts a file, or makes it longer.
    fn set_length(&self, file: &Self::File, length: u64) -> io::Result<()>;
    /// What was written to it outlasts the machine.
    fn sync(&self, file: &Self::File) -> io::Result<()>;
    /// What was done to names outlasts the machine.
    fn sync_names(&self) -> io::Result<()>;
    /// Gives a file another name, in the place of one that has it.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    fn remove(&self, name: &str) -> io::Result<()>;
}

/// The file that says that a folder is in use.
const LOCK: &str = "journal.lock";

/// A real folder, locked while this is there.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    folder: File,
    _lock: File,
}

impl Folder {
    /// Opens a folder that nobody else uses. A process that dies gives it up.
    pub fn lock(path: &Path) -> io::Result<Self> {
        let lock =
            OpenOptions::new().create(true).truncate(false).write(true).open(path.join(LOCK)).map_err(
                |e| io::Error::new(e.kind(), format!("cannot open {}: {e}", path.join(LOCK).display())),
            )?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => {
                let what = format!("{} is in use by another process", path.display());
                return Err(io::Error::new(io::ErrorKind::ResourceBusy, what));
            }
            Err(TryLockError::Error(error)) => return Err(error),
        }
        Ok(Folder { path: path.to_owned(), folder: File::open(path)?, _lock: lock })
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.path
    }
}

impl Store for Folder {
    type File = File;

    fn list(&self) -> io::Result<Vec<(String, u64)>> {
        let mut all = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let entry = entry?;
            let about = entry.metadata()?;
            if let (true, Ok(name)) = (about.is_file(), entry.file_name().into_string()) {
                all.push((name, about.len()));
            }
        }
        Ok(all)
    }

    fn create(&self, name: &str) -> io::Result<File> {
        OpenOptions::new().read(true).write(true).create(true).truncate(true).open(self.path.join(name))
    }

    fn open(&self, name: &str) -> io::Result<File> {
        OpenOptions::new().read(true).write(true).open(self.path.join(name))
    }

    fn set_aside(&self, file: &File, length: u64) -> io::Result<()> {
        use rustix::io::Errno;
        match rustix::fs::fallocate(file, rustix::fs::FallocateFlags::empty(), 0, length) {
            // Not every file system can; then the length is set, and room is not certain.
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

    fn sync_names(&self) -> io::Result<()> {
        self.folder.sync_all()
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.path.join(name))
    }
}
