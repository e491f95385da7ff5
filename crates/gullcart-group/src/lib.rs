//! Couriers that know each other, agree, and give a duty to one of them at a time. No socket, no clock, no disk: time and
//! messages come in, messages and records go out.
//!
//! [`vocabulary`] and [`table`] say what is agreed on; [`log`] is what a voter keeps of it; [`voter`] is one voice of the
//! agreement, which the library `omnipaxos` brings about; [`member`] is who asks and holds. `docs/design/group.md` has what
//! was weighed, and what each promise rests on.
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
