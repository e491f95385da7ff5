//! Observes the bytes of an endpoint connection below the HTTP library: how much of a request was written, what the status line
//! of its response says, and whether there are bytes that belong to no call.

use gullcart_engine::{ConnectionAnswers, DuplicateAnswerFilter, MESSAGE_TRACE_TARGET};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll, Waker};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{sleep, Instant};
use tracing::debug;

use outgoing_request::OutgoingRequest;
use status_line::StatusLine;
use write_progress::Stage;
pub use write_progress::{WriteProgress, WrittenPart};

/// Bytes of a response that are kept while it is read, so that another process can resume the call. A call with a longer
/// response cannot be handed over.
const MAX_KEPT_RESPONSE_BYTES: usize = 20 << 10;

/// Bytes read at a time while copies of earlier responses are filtered out.
const COPY_SCAN_CHUNK_BYTES: usize = 4 << 10;

/// A permit for one of a bounded number of descriptors, released when dropped.
pub struct DescriptorPermit {
    open_count: Rc<Cell<usize>>,
    released: Rc<Notify>,
}

impl DescriptorPermit {
    /// Counts one more descriptor in `open_count`, until it is dropped; `released` is notified then.
    pub fn new(open_count: &Rc<Cell<usize>>, released: &Rc<Notify>) -> Self {
        open_count.set(open_count.get() + 1);
        DescriptorPermit { open_count: open_count.clone(), released: released.clone() }
    }
}

impl Drop for DescriptorPermit {
    fn drop(&mut self) {
        self.open_count.set(self.open_count.get() - 1);
        self.released.notify_one();
    }
}

/// A connection to an endpoint with the records of its bytes, used beside the HTTP library that owns the [`TrackedStream`].
pub struct TrackedConnection {
    stream: TcpStream,
    /// The local port, which identifies the connection in the logs of both sides.
    local_port: Option<u16>,
    /// Number of calls started on it.
    call_count: Cell<u32>,
    /// The responses to earlier calls on it.
    pub earlier_answers: RefCell<ConnectionAnswers>,
    /// Bytes written since the call started.
    bytes_written: Cell<u64>,
    /// Bytes read since the call started.
    bytes_read: Cell<u64>,
    status_line: RefCell<StatusLine>,
    /// When the status line was read.
    status_read_at: Cell<Option<Instant>>,
    outgoing_request: RefCell<Option<OutgoingRequest>>,
    /// Nothing more of the call may be written after this.
    send_by: Cell<Option<Instant>>,
    /// The previous process has written the request, so what the HTTP library writes of it is discarded. Nothing is read
    /// meanwhile.
    is_discarding_request: Cell<bool>,
    /// The call has left this process, and the HTTP library must not use the connection any more: another process may own it.
    is_detached: Cell<bool>,
    read_waker: RefCell<Option<Waker>>,
    /// What the previous process has read of the response, and the position up to which it was read here.
    handed_over_response: RefCell<(Vec<u8>, usize)>,
    copy_filter: RefCell<DuplicateAnswerFilter>,
    /// Bytes that are not part of a copy, for the HTTP library to read.
    filtered_bytes: RefCell<VecDeque<u8>>,
    /// The response as read so far, for a hand-over and to detect copies of it; none if it is too long.
    response_bytes: RefCell<Option<Vec<u8>>>,
    response_started: Notify,
    // After `stream`, so that the socket is closed before its permit is released.
    _descriptor_permit: DescriptorPermit,
}

impl TrackedConnection {
    /// Tracks a connected stream.
    pub fn new(stream: TcpStream, descriptor: DescriptorPermit) -> Self {
        TrackedConnection {
            local_port: stream.local_addr().ok().map(|address| address.port()),
            stream,
            call_count: Cell::default(),
            earlier_answers: RefCell::default(),
            bytes_written: Cell::default(),
            bytes_read: Cell::default(),
            status_line: RefCell::default(),
            status_read_at: Cell::default(),
            outgoing_request: RefCell::default(),
            send_by: Cell::default(),
            is_discarding_request: Cell::default(),
            is_detached: Cell::default(),
            read_waker: RefCell::default(),
            handed_over_response: RefCell::default(),
            copy_filter: RefCell::default(),
            filtered_bytes: RefCell::default(),
            response_bytes: RefCell::new(Some(Vec::new())),
            response_started: Notify::new(),
            _descriptor_permit: descriptor,
        }
    }

    /// Prepares for a call with a body of `body_length` bytes, to be written by `send_by`.
    pub fn begin_call(
        self: &Rc<Self>,
        body_length: usize,
        progress: Rc<WriteProgress>,
        send_by: Option<Instant>,
    ) {
        progress.connection.replace(Rc::downgrade(self));
        if progress.stage.get() != Stage::Reported {
            progress.stage.set(Stage::Started);
        }
        self.call_count.set(self.call_count.get() + 1);
        self.response_bytes.replace(Some(Vec::new()));
        self.outgoing_request.replace(Some(OutgoingRequest {
            progress,
            matched_terminator_bytes: 0,
            remaining_body_bytes: body_length,
        }));
        self.send_by.set(send_by);
        self.bytes_written.set(0);
        self.bytes_read.set(0);
        self.status_line.take();
        self.status_read_at.set(None);
        self.copy_filter.take();
        self.filtered_bytes.take();
    }

    /// Remembers the response to the call, which was complete, so that a copy of it is not taken for the response to a later
    /// call.
    pub fn remember_response(&self) {
        let response = self.response_bytes.borrow().clone();
        self.earlier_answers.borrow_mut().keep_bytes(response);
    }

    /// Resumes the call that was prepared last: the previous process has written it, and has read `response_bytes` of its
    /// response.
    pub fn resume_call(&self, response_bytes: Vec<u8>, earlier_answers: ConnectionAnswers) {
        self.earlier_answers.replace(earlier_answers);
        self.is_discarding_request.set(true);
        // Their number is not known here; anything but 0 says that the request was written.
        self.bytes_written.set(1);
        self.handed_over_response.replace((response_bytes, 0));
    }

    /// Reads the bytes that the previous process has read, then those of the socket; nothing once the call has left this process.
    fn poll_read_raw(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<usize>> {
        if self.is_detached.get() {
            return Poll::Pending;
        }
        if self.is_discarding_request.get() {
            self.read_waker.replace(Some(cx.waker().clone()));
            return Poll::Pending;
        }
        let (bytes, position) = &mut *self.handed_over_response.borrow_mut();
        if *position < bytes.len() {
            let count = buf.remaining().min(bytes.len() - *position);
            buf.initialize_unfilled_to(count).copy_from_slice(&bytes[*position..*position + count]);
            *position += count;
            return Poll::Ready(Ok(count));
        }
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read(buf.initialize_unfilled()) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }

    /// Reads without the copies of earlier responses.
    fn poll_read_without_copies(
        &self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<usize>> {
        if self.earlier_answers.borrow().is_empty() {
            let count = ready!(self.poll_read_raw(cx, buf))?;
            self.count_read(count);
            return Poll::Ready(Ok(count));
        }
        while self.filtered_bytes.borrow().is_empty() {
            let mut chunk = [0; COPY_SCAN_CHUNK_BYTES];
            let count = ready!(self.poll_read_raw(cx, &mut ReadBuf::new(&mut chunk)))?;
            self.count_read(count);
            if count == 0 {
                return Poll::Ready(Ok(0));
            }
            let passed =
                self.copy_filter.borrow_mut().filter(&self.earlier_answers.borrow(), &chunk[..count]);
            self.filtered_bytes.borrow_mut().extend(passed);
        }
        let mut passed = self.filtered_bytes.borrow_mut();
        let count = buf.remaining().min(passed.len());
        for (to, from) in buf.initialize_unfilled_to(count).iter_mut().zip(passed.drain(..count)) {
            *to = from;
        }
        Poll::Ready(Ok(count))
    }

    /// Counts bytes read. The first of them, also those of a copy, start the timeout for the response's head.
    fn count_read(&self, count: usize) {
        if self.bytes_read.replace(self.bytes_read.get() + count as u64) == 0 && count > 0 {
            self.response_started.notify_one();
        }
    }

    /// Keeps bytes of the response as long as it is short enough.
    fn keep_response_bytes(&self, received: &[u8]) {
        let mut kept = self.response_bytes.borrow_mut();
        match kept.as_mut() {
            Some(bytes) if bytes.len() + received.len() <= MAX_KEPT_RESPONSE_BYTES => {
                bytes.extend_from_slice(received)
            }
            _ => *kept = None,
        }
    }

    /// Number of calls started on this connection, including the one in flight.
    pub fn call_count(&self) -> u32 {
        self.call_count.get()
    }

    /// The local port, which identifies the connection in the logs of both sides.
    pub fn local_port(&self) -> Option<u16> {
        self.local_port
    }

    /// Whether nothing of the call was written.
    pub fn is_unwritten(&self) -> bool {
        self.bytes_written.get() == 0
    }

    /// Bytes of the call written, and bytes read since it started.
    pub fn byte_counts(&self) -> (u64, u64) {
        (self.bytes_written.get(), self.bytes_read.get())
    }

    /// Number of copies of earlier responses read since the call started.
    pub fn copy_count(&self) -> u32 {
        self.copy_filter.borrow().duplicates_removed()
    }

    /// Whether the call may not be written any more.
    pub fn is_past_send_by(&self) -> bool {
        self.send_by.get().is_some_and(|by| Instant::now() > by)
    }

    /// Whether anything was read since the call started.
    pub fn has_response_bytes(&self) -> bool {
        self.bytes_read.get() > 0
    }

    /// The response's status, once its status line was read.
    pub fn status(&self) -> Option<u16> {
        self.status_line.borrow().status
    }

    /// Whether a status line with 200 was read by `end`.
    pub fn is_delivered_by(&self, end: Instant) -> bool {
        self.status() == Some(200) && self.status_read_at.get().is_some_and(|at| at <= end)
    }

    /// Whether the connection is open and has nothing to read.
    pub fn is_open_and_empty(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&self.stream).peek(&mut byte);
        matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Completes when the time `after` has passed since the first byte of a response.
    pub async fn head_timeout(&self, after: Duration) {
        while !self.has_response_bytes() {
            self.response_started.notified().await;
        }
        sleep(after).await;
    }

    /// Passes `count` bytes of `bufs`, which were written, to the request's tracker.
    fn record_written(&self, bufs: &[io::IoSlice<'_>], mut count: usize) {
        let mut outgoing = self.outgoing_request.borrow_mut();
        let Some(outgoing) = outgoing.as_mut() else { return };
        for buf in bufs {
            let written = count.min(buf.len());
            outgoing.feed(&buf[..written]);
            count -= written;
        }
    }

    /// Shuts the sending side down and waits until the other side has closed, discarding what still arrives. That ends the call
    /// for both sides: the endpoint counts a response that crosses the shutdown as not given. If the courier took it for a
    /// delivery, the message would never be delivered or reported as failed.
    pub async fn shutdown_and_drain(&self) -> io::Result<()> {
        SockRef::from(&self.stream).shutdown(Shutdown::Write)?;
        let mut discarded = [0; 1024];
        loop {
            self.stream.readable().await?;
            match self.stream.try_read(&mut discarded) {
                Ok(0) => return Ok(()),
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        }
    }
}

/// The connection as the HTTP library sees it.
pub struct TrackedStream(pub Rc<TrackedConnection>);

impl TrackedStream {
    /// Writes `bufs` with the given function, unless the request was written by the previous process, must not be sent, or has
    /// left this process.
    fn write(
        &self,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
        mut write: impl FnMut(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        let connection = &self.0;
        if connection.is_detached.get() {
            // For good: the library's task ends without another wake-up from here.
            return Poll::Pending;
        }
        if connection.is_discarding_request.get() {
            let count = bufs.iter().map(|buf| buf.len()).sum();
            connection.record_written(bufs, count);
            if connection.outgoing_request.borrow().as_ref().is_none_or(OutgoingRequest::is_complete) {
                connection.is_discarding_request.set(false);
                if let Some(waker) = connection.read_waker.take() {
                    waker.wake();
                }
            }
            return Poll::Ready(Ok(count));
        }
        // Checked right before the write: the connection may have opened late, or the process may have been stalled.
        if connection.is_past_send_by() {
            return Poll::Ready(Err(io::Error::new(
                io::ErrorKind::TimedOut,
                "past the time by which the call may be sent",
            )));
        }
        // Bytes that are there before a call is written cannot be its response and must not be taken for one.
        if connection.is_unwritten() && !connection.is_open_and_empty() {
            return Poll::Ready(Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "connection closed, or unexpected bytes between two calls",
            )));
        }
        loop {
            ready!(connection.stream.poll_write_ready(cx))?;
            match write(&connection.stream) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => {
                    if let Ok(count) = result {
                        connection.bytes_written.set(connection.bytes_written.get() + count as u64);
                        connection.record_written(bufs, count);
                        let (port, calls) = (connection.local_port, connection.call_count());
                        debug!(target: MESSAGE_TRACE_TARGET, port, calls, count, "request bytes written");
                    }
                    return Poll::Ready(result);
                }
            }
        }
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let connection = &self.0;
        let count = ready!(connection.poll_read_without_copies(cx, buf))?;
        let received = &buf.initialize_unfilled()[..count];
        connection.keep_response_bytes(received);
        connection.status_line.borrow_mut().feed(received)?;
        if connection.status_read_at.get().is_none() && connection.status().is_some() {
            connection.status_read_at.set(Some(Instant::now()));
        }
        buf.advance(count);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.write(cx, &[io::IoSlice::new(buf)], |stream| stream.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.write(cx, bufs, |stream| stream.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.0.is_detached.get() {
            return Poll::Ready(Ok(()));
        }
        Poll::Ready(SockRef::from(&self.0.stream).shutdown(Shutdown::Write))
    }
}

mod outgoing_request;
mod status_line;
#[cfg(test)]
mod tests;
mod write_progress;
