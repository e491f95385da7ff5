//! How a running courier moves to another process, without I/O: what the two say to each other ([`Baggage`] and its frame),
//! and what each does at each step, also when the other is gone ([`Giver`]).
//!
//! Bounds: a frame of [`LONGEST`] bytes and [`MOST_DESCRIPTORS`] descriptors; what announces more is refused before anything is
//! stored.
#![forbid(unsafe_code)]

mod baggage;
mod frame;
mod giver;

pub use baggage::{Baggage, CarriedCall, CarriedClient};
pub use frame::{read_baggage, read_head, write, FrameError, Head, HEAD, LONGEST, MOST_DESCRIPTORS, VERSION};
pub use giver::{Act, Event, Giver};

/// What the new process says first, and each side later, in one byte.
pub mod words {
    /// The new process is there, and speaks [`crate::VERSION`].
    pub const HELLO: u8 = b'h';
    /// All has come and can be read.
    pub const ACCEPTED: u8 = b'a';
    /// The lock of the folder has been given up.
    pub const YOURS: u8 = b'y';
    /// The new process takes clients.
    pub const SERVING: u8 = b's';
}
