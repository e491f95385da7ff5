//! What a process of the group keeps in its folder: who it is, and what its voter promised.

use gullcart_group::door::{Left, Mark, Origin, Passport};
use gullcart_group::log::{Image, Record};
use gullcart_journal::state_log::{StateLog, StateLogError};
use gullcart_journal::{Folder, Store};
use serde::{Deserialize, Serialize};
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::Path;
use std::time::UNIX_EPOCH;
use thiserror::Error;
use tracing::warn;

/// A file that is made once with the folder and never written: by it a folder knows itself.
const MARK: &str = "born-here";

/// Why the folder cannot be used.
#[derive(Debug, Error)]
pub enum KeepError {
    /// It fails, or another process has it.
    #[error("the group's folder: {0}")]
    Folder(#[from] io::Error),
    /// Its notes cannot be used.
    #[error(transparent)]
    Notes(#[from] StateLogError),
}

/// One entry.
#[derive(Serialize, Deserialize)]
enum Entry {
    /// Who it is from now on.
    Passport(Passport),
    /// What one turn of its voter wrote.
    Records(Vec<Record>),
    /// All of it, in place of all before.
    Whole(Passport, Box<Image>),
}

/// The folder of a process, locked while this is there.
pub struct Keep {
    notes: StateLog<Folder>,
}

fn mark(path: &Path) -> io::Result<Mark> {
    let file = path.join(MARK);
    if !file.exists() {
        std::fs::write(&file, [])?;
    }
    let about = std::fs::metadata(&file)?;
    let made = about.created().ok().and_then(|made| made.duration_since(UNIX_EPOCH).ok());
    let made_ns = made.map_or(0, |made| made.as_nanos() as u64);
    Ok(Mark { device: about.dev(), inode: about.ino(), made_ns })
}

impl Keep {
    /// Opens the folder, which is made where there is none; who the process is, and what its voter promised. `left` is what a
    /// process says of it that gave itself up to this one.
    pub fn open(
        path: &Path,
        most: u64,
        chance: u64,
        left: Option<Left>,
    ) -> Result<(Self, Origin, Image), KeepError> {
        std::fs::create_dir_all(path)?;
        let folder = Folder::lock(path)?;
        let seen = mark(path)?;
        let (notes, entries) = match StateLog::open(folder, most) {
            Ok(opened) => opened,
            // What it promised is not known any more: it comes back as a new one.
            Err(error @ StateLogError::Damaged { .. }) => {
                warn!(%error, "what this voter promised is lost; it comes back as a new one");
                for (name, _) in Folder::lock(path)?.list()? {
                    if name.starts_with("notes-") {
                        std::fs::rename(path.join(&name), path.join(format!("damaged-{name}")))?;
                    }
                }
                StateLog::open(Folder::lock(path)?, most)?
            }
            Err(error) => return Err(error.into()),
        };
        let (mut passport, mut records) = (None, Vec::new());
        for bytes in entries {
            match postcard::from_bytes(&bytes) {
                Ok(Entry::Passport(now)) => passport = Some(now),
                Ok(Entry::Records(more)) => records.extend(more),
                Ok(Entry::Whole(now, image)) => {
                    passport = Some(now);
                    records = vec![Record::Image(image)];
                }
                // Written whole, and not to be read: by another version.
                Err(_) => return Err(io::Error::other("its notes are of another version").into()),
            }
        }
        let origin = Origin::of(passport, seen, chance, left);
        let image = match &origin {
            Origin::Same(_) | Origin::GoesOn(_) => Image::replay(records),
            Origin::New(_) | Origin::Copied(_) => Image::default(),
        };
        Ok((Keep { notes }, origin, image))
    }

    fn note(&mut self, entry: &Entry) -> Result<(), KeepError> {
        let bytes = postcard::to_allocvec(entry).map_err(io::Error::other)?;
        Ok(self.notes.append(&bytes)?)
    }

    /// Who it is, from now on.
    pub fn passport(&mut self, passport: &Passport) -> Result<(), KeepError> {
        self.note(&Entry::Passport(passport.clone()))
    }

    /// What a turn of the voter wrote.
    pub fn records(&mut self, records: Vec<Record>) -> Result<(), KeepError> {
        self.note(&Entry::Records(records))
    }

    /// Whether all of it is worth writing down anew.
    pub fn is_long(&self) -> bool {
        self.notes.needs_rewrite()
    }

    /// Writes all down anew.
    pub fn whole(&mut self, passport: &Passport, image: Image) -> Result<(), KeepError> {
        let entry = Entry::Whole(passport.clone(), Box::new(image));
        let bytes = postcard::to_allocvec(&entry).map_err(io::Error::other)?;
        Ok(self.notes.rewrite(&bytes)?)
    }
}

#[cfg(test)]
mod tests;
