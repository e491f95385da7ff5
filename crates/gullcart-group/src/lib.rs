//! Members of a cluster that agree by consensus which of them holds a duty, an exclusive role. The crate does no I/O and reads no
//! clock: the caller passes in time and messages, and gets back records to persist and messages to send.
//!
//! [`types`] and [`table`] define the replicated state; [`log`] is the storage of a voter; [`voter`] runs the consensus library
//! `omnipaxos`; [`member`] requests and holds duties; [`node`] combines both in one process. `docs/design/group.md` describes the
//! design, its alternatives and the assumptions behind each guarantee.
//!
//! The feature `unguarded` is for tests only. With it, the `DisabledGuards` of [`lease`], [`table`], [`member`] and [`voter`]
//! turn off single safety checks of these modules, to show that each check is needed.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod lease;
pub mod log;
pub mod member;
pub mod membership;
pub mod message;
pub mod message_order;
pub mod node;
mod retry_pacer;
pub mod table;
pub mod types;
pub mod voter;
pub mod voting_state;
