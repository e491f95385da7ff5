//! How far a call's request has been written, and how the call is taken from its connection for a hand-over.

use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::net::Shutdown;
use std::os::fd::{AsFd, OwnedFd};
use std::rc::Weak;
use tokio::sync::Notify;

use super::TrackedConnection;

/// How much of a call's request has been written.
#[derive(Default)]
pub struct WriteProgress {
    pub(super) stage: Cell<Stage>,
    pub(super) completed: Notify,
    /// The connection that carries the call.
    pub(super) connection: RefCell<Weak<TrackedConnection>>,
}

/// The part of a request that has been written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WrittenPart {
    /// Not a byte.
    Nothing,
    /// Some of it.
    Part,
    /// Up to its last byte.
    All,
}

/// The connection of a call in flight, prepared for the hand-over to another process.
pub struct ConnectionHandover {
    /// A duplicate of the connection's descriptor.
    pub descriptor: OwnedFd,
    /// Bytes of the response read so far.
    pub response_bytes: Vec<u8>,
    /// Fingerprints of the responses that the connection has brought before.
    pub earlier_answers: Vec<u64>,
}

/// The stages of writing a request.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum Stage {
    /// No attempt to write was made.
    #[default]
    Unsent,
    /// Writing may have started.
    Started,
    /// The last byte is written, which was not reported yet.
    Complete,
    /// The last byte is written, which was reported.
    Reported,
}

impl WriteProgress {
    /// Whether some of the request may have been written.
    pub fn is_started(&self) -> bool {
        self.stage.get() != Stage::Unsent
    }

    /// The local port of the connection that carries the call; none if there is none.
    pub fn local_port(&self) -> Option<u16> {
        self.connection.borrow().upgrade().and_then(|connection| connection.local_port())
    }

    /// Detaches the call from the HTTP library, and returns the part of the request that has been written. Nothing is written
    /// or read after that, although the library's task may run again: it ends some time after the call's own task was aborted.
    pub fn detach(&self) -> WrittenPart {
        if let Some(connection) = self.connection.borrow().upgrade() {
            connection.is_detached.set(true);
        }
        self.written_part()
    }

    /// Shuts the sending side of the call's connection down, which ends the call at the endpoint. For a call that was detached
    /// and is not handed over.
    pub fn end_at_endpoint(&self) {
        if let Some(connection) = self.connection.borrow().upgrade() {
            // An error means that the connection is closed already.
            let _ = SockRef::from(&connection.stream).shutdown(Shutdown::Write);
        }
    }

    fn written_part(&self) -> WrittenPart {
        let connection = self.connection.borrow().upgrade();
        match self.stage.get() {
            Stage::Unsent => WrittenPart::Nothing,
            Stage::Started if connection.is_none_or(|connection| connection.is_unwritten()) => {
                WrittenPart::Nothing
            }
            Stage::Started => WrittenPart::Part,
            Stage::Complete | Stage::Reported => WrittenPart::All,
        }
    }

    /// The progress of a call that another process has written and reported.
    pub fn handed_over() -> Self {
        WriteProgress { stage: Cell::new(Stage::Reported), ..WriteProgress::default() }
    }

    /// Prepares the call for a hand-over; none if it is not completely written, or if too much of its response has been read.
    pub fn to_handover(&self) -> Option<ConnectionHandover> {
        let connection = self.connection.borrow().upgrade()?;
        if !matches!(self.stage.get(), Stage::Complete | Stage::Reported)
            || connection.is_discarding_request.get()
        {
            return None;
        }
        let mut response_bytes = connection.response_bytes.borrow().clone()?;
        response_bytes.extend(connection.filtered_bytes.borrow().iter());
        response_bytes.extend_from_slice(connection.copy_filter.borrow().buffered());
        let descriptor = connection.stream.as_fd().try_clone_to_owned().ok()?;
        let earlier_answers = connection.earlier_answers.borrow().fingerprints();
        Some(ConnectionHandover { descriptor, response_bytes, earlier_answers })
    }

    /// Waits until the last byte is written, and marks this as reported. To be called once.
    pub async fn wait_until_written(&self) {
        while self.stage.get() != Stage::Complete {
            self.completed.notified().await;
        }
        self.stage.set(Stage::Reported);
    }

    /// Whether the last byte is written and this was not reported yet.
    pub fn is_unreported(&self) -> bool {
        self.stage.get() == Stage::Complete
    }
}
