//! Runs a member of a group: connections to the other members, and state in a folder. The protocol logic is in
//! `gullcart-group`. All of it runs on a thread of its own, so that a failing group does not stop the courier from delivering
//! messages.
//!
//! [`settings`], [`roster`] and [`protocol`] do no I/O on sockets; [`folder`] persists state; `net` manages connections;
//! `group` is the main loop. Couriers use it through [`handle`], operators' tools through [`operator`].
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
