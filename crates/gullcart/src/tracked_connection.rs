//! What is seen of a connection's bytes on their way to and from the HTTP library: whether any of a call was
//! written, what the first line of its answer says, and whether bytes lie there that belong to no call.

use gullcart_engine::{ConnectionAnswers, CopyFilter};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::os::fd::{AsFd, OwnedFd};
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{ready, Context, Poll, Waker};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{sleep, Instant};

/// What is kept of the bytes of an answer while it is read, so that another process can go on with it; one that is longer
/// cannot be carried over.
const MAX_KEPT_RESPONSE_BYTES: usize = 20 << 10;

use status_line::StatusLine;

/// Bytes that are read at a time where copies of earlier answers are looked for.
const COPY_SCAN_CHUNK_BYTES: usize = 4 << 10;

/// One of a bounded number of descriptors, free again when dropped.
pub struct Descriptor {
    open_count: Rc<Cell<usize>>,
    released: Rc<Notify>,
}

impl Descriptor {
    pub fn new(open_count: &Rc<Cell<usize>>, released: &Rc<Notify>) -> Self {
        open_count.set(open_count.get() + 1);
        Descriptor { open_count: open_count.clone(), released: released.clone() }
    }
}

impl Drop for Descriptor {
    fn drop(&mut self) {
        self.open_count.set(self.open_count.get() - 1);
        self.released.notify_one();
    }
}

/// How much of a call has been written.
#[derive(Default)]
pub struct WriteProgress {
    stage: Cell<Stage>,
    completed: Notify,
    /// The connection that carries it.
    connection: RefCell<Weak<TrackedConnection>>,
}

/// How much of a call has gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WrittenPart {
    Nothing,
    Part,
    All,
}

/// A call that is out, and how far its answer has come.
pub struct HandoverCall {
    /// The connection, beside that of the process that made it.
    pub connection: OwnedFd,
    /// What was read of its answer.
    pub response_bytes: Vec<u8>,
    /// Fingerprints of the answers that the connection has brought before.
    pub earlier_answers: Vec<u64>,
}

#[derive(Clone, Copy, Default, PartialEq, Eq)]
enum Stage {
    /// Nothing was tried, or not a byte was taken.
    #[default]
    Unsent,
    /// It is about to be written, or partly is.
    Started,
    /// Its last byte is written; nobody was told.
    Complete,
    /// Its last byte is written, and who waited for it knows.
    Reported,
}

impl WriteProgress {
    /// Something of it may be on its way.
    pub fn is_started(&self) -> bool {
        self.stage.get() != Stage::Unsent
    }

    /// How much of it has gone.
    pub fn written_part(&self) -> WrittenPart {
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

    /// One whose last byte another process has written, and told of.
    pub fn handed_over() -> Self {
        WriteProgress { stage: Cell::new(Stage::Reported), ..WriteProgress::default() }
    }

    /// The call with its connection, for another process; none where not all of it is written, or where too much of its
    /// answer has come.
    pub fn to_handover(&self) -> Option<HandoverCall> {
        let connection = self.connection.borrow().upgrade()?;
        if !matches!(self.stage.get(), Stage::Complete | Stage::Reported)
            || connection.is_discarding_request.get()
        {
            return None;
        }
        let mut response_bytes = connection.response_bytes.borrow().clone()?;
        response_bytes.extend(connection.filtered_bytes.borrow().iter());
        response_bytes.extend_from_slice(connection.copy_filter.borrow().held());
        let descriptor = connection.stream.as_fd().try_clone_to_owned().ok()?;
        let earlier_answers = connection.earlier_answers.borrow().to_carry();
        Some(HandoverCall { connection: descriptor, response_bytes, earlier_answers })
    }

    /// Waits until its last byte is written. To be waited for once.
    pub async fn wait_until_written(&self) {
        while self.stage.get() != Stage::Complete {
            self.completed.notified().await;
        }
        self.stage.set(Stage::Reported);
    }

    /// Its last byte is written, and nobody was told.
    pub fn is_unreported(&self) -> bool {
        self.stage.get() == Stage::Complete
    }
}

/// Where a request ends, from its bytes as they go: behind its head and a body of known length.
struct OutgoingRequest {
    progress: Rc<WriteProgress>,
    /// Bytes of the head's end that have gone.
    matched_terminator_bytes: usize,
    /// Bytes of the body that have not.
    remaining_body_bytes: usize,
}

/// What ends a head.
const HEAD_TERMINATOR: &[u8] = b"\r\n\r\n";

impl OutgoingRequest {
    fn is_complete(&self) -> bool {
        self.matched_terminator_bytes == HEAD_TERMINATOR.len() && self.remaining_body_bytes == 0
    }

    fn feed(&mut self, mut bytes: &[u8]) {
        while let (Some((byte, rest)), true) =
            (bytes.split_first(), self.matched_terminator_bytes < HEAD_TERMINATOR.len())
        {
            self.matched_terminator_bytes = match HEAD_TERMINATOR[self.matched_terminator_bytes] == *byte {
                true => self.matched_terminator_bytes + 1,
                false => usize::from(*byte == HEAD_TERMINATOR[0]),
            };
            bytes = rest;
        }
        self.remaining_body_bytes = self.remaining_body_bytes.saturating_sub(bytes.len());
        if self.is_complete() && self.progress.stage.get() == Stage::Started {
            self.progress.stage.set(Stage::Complete);
            self.progress.completed.notify_one();
        }
    }
}

/// A connection as its owner sees it, beside the library that speaks HTTP on it.
pub struct TrackedConnection {
    stream: TcpStream,
    /// This side's port.
    local_port: Option<u16>,
    /// Calls that were begun on it.
    call_count: Cell<u32>,
    /// What it has brought before the answer that is due.
    pub earlier_answers: RefCell<ConnectionAnswers>,
    /// Bytes written since the call began.
    bytes_written: Cell<u64>,
    /// Bytes read since then.
    bytes_read: Cell<u64>,
    status_line: RefCell<StatusLine>,
    /// When the status was read.
    status_read_at: Cell<Option<Instant>>,
    outgoing_request: RefCell<Option<OutgoingRequest>>,
    /// After this nothing more of the call may be written.
    send_by: Cell<Option<Instant>>,
    /// The request that is written was written by the process before, and goes nowhere; nothing is read meanwhile.
    is_discarding_request: Cell<bool>,
    read_waker: RefCell<Option<Waker>>,
    /// What the process before has read of the answer, and where this one stands in it.
    carried_response: RefCell<(Vec<u8>, usize)>,
    copy_filter: RefCell<CopyFilter>,
    /// What is no copy, and the library has not read yet.
    filtered_bytes: RefCell<VecDeque<u8>>,
    /// What was read of the answer, for the process after and to find copies of it; none where it is too long.
    response_bytes: RefCell<Option<Vec<u8>>>,
    response_started: Notify,
    /// After the stream: the descriptor is closed by then.
    _descriptor: Descriptor,
}

impl TrackedConnection {
    pub fn new(stream: TcpStream, descriptor: Descriptor) -> Self {
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
            read_waker: RefCell::default(),
            carried_response: RefCell::default(),
            copy_filter: RefCell::default(),
            filtered_bytes: RefCell::default(),
            response_bytes: RefCell::new(Some(Vec::new())),
            response_started: Notify::new(),
            _descriptor: descriptor,
        }
    }

    /// A call with a body of that length is about to be written, by that moment at the latest.
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

    /// The answer to the call was whole, and was the last that was read: a copy of it is none to the next call.
    pub fn remember_response(&self) {
        let answer = self.response_bytes.borrow().clone();
        self.earlier_answers.borrow_mut().remember(answer);
    }

    /// The call that was begun is written already, by the process before, which has read so much of its answer.
    pub fn resume_call(&self, response_bytes: Vec<u8>, earlier_answers: ConnectionAnswers) {
        self.earlier_answers.replace(earlier_answers);
        self.is_discarding_request.set(true);
        self.bytes_written.set(1);
        self.carried_response.replace((response_bytes, 0));
    }

    /// What has come: what the process before has read, then what there is to read.
    fn poll_read_raw(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<usize>> {
        if self.is_discarding_request.get() {
            self.read_waker.replace(Some(cx.waker().clone()));
            return Poll::Pending;
        }
        let (bytes, position) = &mut *self.carried_response.borrow_mut();
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

    /// What has come behind the call, but for copies of earlier answers.
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
            let passed = self.copy_filter.borrow_mut().pass(&self.earlier_answers.borrow(), &chunk[..count]);
            self.filtered_bytes.borrow_mut().extend(passed);
        }
        let mut passed = self.filtered_bytes.borrow_mut();
        let count = buf.remaining().min(passed.len());
        for (to, from) in buf.initialize_unfilled_to(count).iter_mut().zip(passed.drain(..count)) {
            *to = from;
        }
        Poll::Ready(Ok(count))
    }

    /// Bytes have come. The first of them, a copy's too, begin the time within which the head of the answer has to come.
    fn count_read(&self, count: usize) {
        if self.bytes_read.replace(self.bytes_read.get() + count as u64) == 0 && count > 0 {
            self.response_started.notify_one();
        }
    }

    fn keep_response_bytes(&self, received: &[u8]) {
        let mut kept = self.response_bytes.borrow_mut();
        match kept.as_mut() {
            Some(bytes) if bytes.len() + received.len() <= MAX_KEPT_RESPONSE_BYTES => {
                bytes.extend_from_slice(received)
            }
            _ => *kept = None,
        }
    }

    /// Calls that were begun on this connection, the one that is out among them.
    pub fn call_count(&self) -> u32 {
        self.call_count.get()
    }

    /// This side's port, which tells the connection apart in the logs of both sides.
    pub fn local_port(&self) -> Option<u16> {
        self.local_port
    }

    /// Nothing of the call was written.
    pub fn is_unwritten(&self) -> bool {
        self.bytes_written.get() == 0
    }

    /// Bytes of the call that were written, and bytes read since it began.
    pub fn byte_counts(&self) -> (u64, u64) {
        (self.bytes_written.get(), self.bytes_read.get())
    }

    /// Copies of earlier answers that have come behind the call.
    pub fn copy_count(&self) -> u32 {
        self.copy_filter.borrow().left_out()
    }

    /// The call may not be written any more.
    pub fn is_past_send_by(&self) -> bool {
        self.send_by.get().is_some_and(|by| Instant::now() > by)
    }

    /// Something of an answer has come.
    pub fn has_response_bytes(&self) -> bool {
        self.bytes_read.get() > 0
    }

    /// The status of the answer, as far as its first line has come.
    pub fn status(&self) -> Option<u16> {
        self.status_line.borrow().status
    }

    /// Whether the first line says that it is delivered, and was read by then.
    pub fn is_delivered_by(&self, end: Instant) -> bool {
        self.status() == Some(200) && self.status_read_at.get().is_some_and(|at| at <= end)
    }

    /// The connection is open and nothing lies there unread.
    pub fn is_open_and_empty(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&self.stream).peek(&mut byte);
        matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// DriverChannels some time after the first byte of an answer.
    pub async fn head_timeout(&self, after: Duration) {
        while !self.has_response_bytes() {
            self.response_started.notified().await;
        }
        sleep(after).await;
    }

    fn record_written(&self, bufs: &[io::IoSlice<'_>], mut count: usize) {
        let mut outgoing = self.outgoing_request.borrow_mut();
        let Some(outgoing) = outgoing.as_mut() else { return };
        for buf in bufs {
            let written = count.min(buf.len());
            outgoing.feed(&buf[..written]);
            count -= written;
        }
    }

    /// DriverChannels the sending side and waits until the other side has closed too. The call is over for both sides with that: an
    /// answer that crosses it counts for nothing there, and must not here, or the message would get no end at all.
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

/// The connection as the library sees it.
pub struct TrackedStream(pub Rc<TrackedConnection>);

impl TrackedStream {
    fn write(
        &self,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
        mut write: impl FnMut(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        let connection = &self.0;
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
        // Right before the bytes go: its connection may have come up late, and the process may have stood still.
        if connection.is_past_send_by() {
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, "too late to be sent")));
        }
        // What lies there before a call is written is no answer to it, and must not be taken for one.
        if connection.is_unwritten() && !connection.is_open_and_empty() {
            return Poll::Ready(Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "closed, or bytes between calls",
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
        Poll::Ready(SockRef::from(&self.0.stream).shutdown(Shutdown::Write))
    }
}

mod status_line;
#[cfg(test)]
mod tests;
