//! The journal of gullcart: a segmented write-ahead log that keeps pending messages over restarts.
//!
//! Its records replay to a [`JournalState`]: pending messages, the listing of endpoints, and outages. A record is written
//! before any effect that relies on it leaves the process. The log is compacted in small steps while traffic flows: live
//! records of the oldest segment are rewritten to the end of the log, and the segment is removed.
//!
//! `frame` and `state` define bytes and records; `space_plan` and `segment_index` decide what to write and to rewrite,
//! without I/O; `store` is the folder; `replay` reads segments, `legacy` the file of releases before 0.2; `segment_log` writes
//! segments; [`Journal`] combines them. `salvage` and `repair` deal with damaged journals. `state_log` is a log of its own
//! for small states.
//! `docs/journal-format.md` describes the bytes, and `docs/design/journal.md` the design and its alternatives.
#![forbid(unsafe_code)]

mod buffered_reader;
mod chunks;
mod error;
mod folder_scan;
mod frame;
mod journal;
mod legacy;
mod options;
mod repair;
mod repaired_folder;
mod replay;
mod salvage;
mod segment_index;
mod segment_log;
pub mod simulated;
mod space_plan;
mod state;
pub mod state_log;
mod store;

pub use error::{Damage, DamageKind, JournalError};
pub use journal::{Journal, JournalStats};
pub use options::{Durability, Options, OptionsError};
pub use repair::{repair, RepairOutcome};
pub use salvage::{inspect, JournalReport, SegmentReport};
pub use space_plan::SpacePlan;
pub use state::{
    JournalState, PendingMessage, PersistedOutage, SentAttempt, MAX_FORMER_UIDS, MAX_SUSPENDED_ENDPOINTS,
};
pub use store::{Folder, Store};
