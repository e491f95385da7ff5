//! The journal of gullcart: what outlasts the process.
//!
//! A log of segments whose records add up to an [`Image`]: messages that are owed an end, the list of endpoints, what
//! is remembered of outages. Records are written before what they promise. Room is made while traffic flows, in small
//! steps: what is live of the oldest segment is written behind all others, and the segment removed.
//!
//! `frame` and `image` are the vocabulary; `plan` and `ledger` decide and know no I/O; `store` is the folder; `replay`
//! reads; `log` writes; [`Journal`] is all of it together. `docs/journal-format.md` has the bytes, and
//! `docs/design/journal.md` what was weighed.
#![forbid(unsafe_code)]

mod error;
mod frame;
mod image;
mod journal;
mod ledger;
mod legacy;
mod log;
pub mod notes;
mod options;
mod parts;
mod plan;
mod repair;
mod repaired_folder;
mod replay;
mod salvage;
pub mod simulated;
mod store;
mod survey;
mod window;

pub use error::{Damage, JournalError, Wrong};
pub use image::{Held, Image, OutageNote, Sent, MOST_FORMER, MOST_SUSPENDED};
pub use journal::{Figures, Journal};
pub use options::{Durability, Options, OptionsError};
pub use plan::Plan;
pub use repair::{repair, Repaired};
pub use salvage::{look, Report, SegmentReport};
pub use store::{Folder, Store};
