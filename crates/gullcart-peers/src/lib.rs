//! Couriers of a group on their sockets and in their folders. What they say and decide is `gullcart-group`; here bytes move,
//! on a thread of their own, so that a courier carries messages whatever becomes of its group.
//!
//! `settings`, `roster` and `sealed` know no I/O; `folder` keeps, `net` connects, `group` puts them together, [`handle`] is the
//! courier's side of it, and [`operator`] asks members from outside.
#![forbid(unsafe_code)]

pub mod folder;
mod frame_io;
mod group;
pub mod handle;
mod net;
pub mod operator;
pub mod protocol;
pub mod roster;
pub mod settings;
pub mod types;
