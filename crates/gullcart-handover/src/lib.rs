//! Hand-over of a running courier to another process, without I/O: the state that is transferred ([`HandoverState`]), its
//! encoding as a frame, and the old process's state machine ([`HandoverSender`]), including what it does when the new process
//! fails.
//!
//! A frame's body has at most [`MAX_BODY_BYTES`] bytes, and at most [`MAX_DESCRIPTORS`] file descriptors come with it. A header or
//! a state that announces more is rejected before anything is allocated for it.
#![forbid(unsafe_code)]

mod frame;
mod sender;
mod state;

pub use frame::{
    decode_header, decode_state, encode, FrameError, FrameHeader, HEADER_BYTES, MAX_BODY_BYTES,
    MAX_DESCRIPTORS, VERSION,
};
pub use sender::{HandoverAction, HandoverEvent, HandoverSender};
pub use state::{HandoverCall, HandoverClient, HandoverState};

/// The one-byte signals that the two processes exchange around the frame.
pub mod signals {
    /// From the new process: it is connected and reads frames of [`crate::VERSION`].
    pub const HELLO: u8 = b'h';
    /// From the new process: the state and all descriptors have arrived and can be read.
    pub const ACCEPTED: u8 = b'a';
    /// From the old process: it has released the lock of the state folder.
    pub const LOCK_RELEASED: u8 = b'y';
    /// From the new process: it accepts clients.
    pub const SERVING: u8 = b's';
}
