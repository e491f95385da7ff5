//! Hand-over of a running courier to another process, without I/O: the state that is transferred ([`HandoverState`]), its
//! encoding as a frame, the old process's state machine ([`HandoverSender`]), including what it does when the new process
//! fails, how long that may take ([`pause_limit`]), and when the new process asks for the courier ([`RequestSchedule`]).
//!
//! A frame's body has at most [`MAX_BODY_BYTES`] bytes, and at most [`MAX_DESCRIPTORS`] file descriptors come with it. The receiver
//! rejects a longer body by its header, before it allocates memory for it, and a state with more descriptors before it receives
//! any of them.
#![forbid(unsafe_code)]

mod frame;
mod pause;
mod request_schedule;
mod sender;
mod state;

pub use frame::{
    decode_header, decode_state, encode, FrameError, FrameHeader, HEADER_BYTES, MAX_BODY_BYTES,
    MAX_DESCRIPTORS, VERSION,
};
pub use pause::pause_limit;
pub use request_schedule::RequestSchedule;
pub use sender::{HandoverAction, HandoverEvent, HandoverSender};
pub use state::{HandoverCall, HandoverClient, HandoverState};

/// The one-byte messages that the two processes exchange before and after the frame.
pub mod handshake {
    /// From the new process: it has connected, and waits for the frame.
    pub const HELLO: u8 = b'h';
    /// From the new process: the state and all descriptors have arrived and can be read.
    pub const ACCEPTED: u8 = b'a';
    /// From the old process: it has released the lock of the state folder.
    pub const LOCK_RELEASED: u8 = b'y';
    /// From the new process: it accepts clients.
    pub const SERVING: u8 = b's';
}
