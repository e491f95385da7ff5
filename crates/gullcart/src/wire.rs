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
const LONGEST_KEPT: usize = 20 << 10;

use first_line::FirstLine;

/// Bytes that are read at a time where copies of earlier answers are looked for.
const PIECE: usize = 4 << 10;

/// One of a bounded number of descriptors, free again when dropped.
pub struct Descriptor {
    open: Rc<Cell<usize>>,
    closed: Rc<Notify>,
}

impl Descriptor {
    pub fn new(open: &Rc<Cell<usize>>, closed: &Rc<Notify>) -> Self {
        open.set(open.get() + 1);
        Descriptor { open: open.clone(), closed: closed.clone() }
    }
}

impl Drop for Descriptor {
    fn drop(&mut self) {
        self.open.set(self.open.get() - 1);
        self.closed.notify_one();
    }
}

/// How much of a call has been written.
#[derive(Default)]
pub struct Progress {
    stage: Cell<Stage>,
    whole: Notify,
    /// The connection that carries it.
    wire: RefCell<Weak<Wire>>,
}

/// How much of a call has gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Gone {
    Nothing,
    Part,
    All,
}

/// A call that is out, and how far its answer has come.
pub struct Carried {
    /// The connection, beside that of the process that made it.
    pub connection: OwnedFd,
    /// What was read of its answer.
    pub answer: Vec<u8>,
    /// Fingerprints of the answers that the connection has brought before.
    pub earlier_answers: Vec<u64>,
}

#[derive(Clone, Copy, Default, PartialEq, Eq)]
enum Stage {
    /// Nothing was tried, or not a byte was taken.
    #[default]
    None,
    /// It is about to be written, or partly is.
    Begun,
    /// Its last byte is written; nobody was told.
    Whole,
    /// Its last byte is written, and who waited for it knows.
    Told,
}

impl Progress {
    /// Something of it may be on its way.
    pub fn is_begun(&self) -> bool {
        self.stage.get() != Stage::None
    }

    /// How much of it has gone.
    pub fn gone(&self) -> Gone {
        let wire = self.wire.borrow().upgrade();
        match self.stage.get() {
            Stage::None => Gone::Nothing,
            Stage::Begun if wire.is_none_or(|wire| wire.is_untouched()) => Gone::Nothing,
            Stage::Begun => Gone::Part,
            Stage::Whole | Stage::Told => Gone::All,
        }
    }

    /// One whose last byte another process has written, and told of.
    pub fn carried_over() -> Self {
        Progress { stage: Cell::new(Stage::Told), ..Progress::default() }
    }

    /// The call with its connection, for another process; none where not all of it is written, or where too much of its
    /// answer has come.
    pub fn carry(&self) -> Option<Carried> {
        let wire = self.wire.borrow().upgrade()?;
        if !matches!(self.stage.get(), Stage::Whole | Stage::Told) || wire.is_swallowing.get() {
            return None;
        }
        let mut answer = wire.kept.borrow().clone()?;
        answer.extend(wire.passed.borrow().iter());
        answer.extend_from_slice(wire.copies.borrow().held());
        let connection = wire.stream.as_fd().try_clone_to_owned().ok()?;
        let earlier_answers = wire.answers.borrow().to_carry();
        Some(Carried { connection, answer, earlier_answers })
    }

    /// Waits until its last byte is written. To be waited for once.
    pub async fn written(&self) {
        while self.stage.get() != Stage::Whole {
            self.whole.notified().await;
        }
        self.stage.set(Stage::Told);
    }

    /// Its last byte is written, and nobody was told.
    pub fn is_untold(&self) -> bool {
        self.stage.get() == Stage::Whole
    }
}

/// Where a request ends, from its bytes as they go: behind its head and a body of known length.
struct Outgoing {
    progress: Rc<Progress>,
    /// Bytes of the head's end that have gone.
    head_end: usize,
    /// Bytes of the body that have not.
    body: usize,
}

/// What ends a head.
const HEAD_END: &[u8] = b"\r\n\r\n";

impl Outgoing {
    fn is_over(&self) -> bool {
        self.head_end == HEAD_END.len() && self.body == 0
    }

    fn feed(&mut self, mut bytes: &[u8]) {
        while let (Some((byte, rest)), true) = (bytes.split_first(), self.head_end < HEAD_END.len()) {
            self.head_end = match HEAD_END[self.head_end] == *byte {
                true => self.head_end + 1,
                false => usize::from(*byte == HEAD_END[0]),
            };
            bytes = rest;
        }
        self.body = self.body.saturating_sub(bytes.len());
        if self.is_over() && self.progress.stage.get() == Stage::Begun {
            self.progress.stage.set(Stage::Whole);
            self.progress.whole.notify_one();
        }
    }
}

/// A connection as its owner sees it, beside the library that speaks HTTP on it.
pub struct Wire {
    stream: TcpStream,
    /// This side's port.
    port: Option<u16>,
    /// Calls that were begun on it.
    calls: Cell<u32>,
    /// What it has brought before the answer that is due.
    pub answers: RefCell<ConnectionAnswers>,
    /// Bytes written since the call began.
    written: Cell<u64>,
    /// Bytes read since then.
    read: Cell<u64>,
    first_line: RefCell<FirstLine>,
    /// When the status was read.
    told_at: Cell<Option<Instant>>,
    outgoing: RefCell<Option<Outgoing>>,
    /// After this nothing more of the call may be written.
    send_by: Cell<Option<Instant>>,
    /// The request that is written was written by the process before, and goes nowhere; nothing is read meanwhile.
    is_swallowing: Cell<bool>,
    reader: RefCell<Option<Waker>>,
    /// What the process before has read of the answer, and where this one stands in it.
    before: RefCell<(Vec<u8>, usize)>,
    copies: RefCell<CopyFilter>,
    /// What is no copy, and the library has not read yet.
    passed: RefCell<VecDeque<u8>>,
    /// What was read of the answer, for the process after and to find copies of it; none where it is too long.
    kept: RefCell<Option<Vec<u8>>>,
    answered: Notify,
    /// After the stream: the descriptor is closed by then.
    _descriptor: Descriptor,
}

impl Wire {
    pub fn new(stream: TcpStream, descriptor: Descriptor) -> Self {
        Wire {
            port: stream.local_addr().ok().map(|address| address.port()),
            stream,
            calls: Cell::default(),
            answers: RefCell::default(),
            written: Cell::default(),
            read: Cell::default(),
            first_line: RefCell::default(),
            told_at: Cell::default(),
            outgoing: RefCell::default(),
            send_by: Cell::default(),
            is_swallowing: Cell::default(),
            reader: RefCell::default(),
            before: RefCell::default(),
            copies: RefCell::default(),
            passed: RefCell::default(),
            kept: RefCell::new(Some(Vec::new())),
            answered: Notify::new(),
            _descriptor: descriptor,
        }
    }

    /// A call with a body of that length is about to be written, by that moment at the latest.
    pub fn begin(self: &Rc<Self>, body: usize, progress: Rc<Progress>, send_by: Option<Instant>) {
        progress.wire.replace(Rc::downgrade(self));
        if progress.stage.get() != Stage::Told {
            progress.stage.set(Stage::Begun);
        }
        self.calls.set(self.calls.get() + 1);
        self.kept.replace(Some(Vec::new()));
        self.outgoing.replace(Some(Outgoing { progress, head_end: 0, body }));
        self.send_by.set(send_by);
        self.written.set(0);
        self.read.set(0);
        self.first_line.take();
        self.told_at.set(None);
        self.copies.take();
        self.passed.take();
    }

    /// The answer to the call was whole, and was the last that was read: a copy of it is none to the next call.
    pub fn remember_answer(&self) {
        let answer = self.kept.borrow().clone();
        self.answers.borrow_mut().remember(answer);
    }

    /// The call that was begun is written already, by the process before, which has read so much of its answer.
    pub fn go_on(&self, answer: Vec<u8>, earlier: ConnectionAnswers) {
        self.answers.replace(earlier);
        self.is_swallowing.set(true);
        self.written.set(1);
        self.before.replace((answer, 0));
    }

    /// What has come: what the process before has read, then what there is to read.
    fn come(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<usize>> {
        if self.is_swallowing.get() {
            self.reader.replace(Some(cx.waker().clone()));
            return Poll::Pending;
        }
        let (before, at) = &mut *self.before.borrow_mut();
        if *at < before.len() {
            let count = buf.remaining().min(before.len() - *at);
            buf.initialize_unfilled_to(count).copy_from_slice(&before[*at..*at + count]);
            *at += count;
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
    fn come_without_copies(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<usize>> {
        if self.answers.borrow().is_empty() {
            let count = ready!(self.come(cx, buf))?;
            self.count_read(count);
            return Poll::Ready(Ok(count));
        }
        while self.passed.borrow().is_empty() {
            let mut piece = [0; PIECE];
            let count = ready!(self.come(cx, &mut ReadBuf::new(&mut piece)))?;
            self.count_read(count);
            if count == 0 {
                return Poll::Ready(Ok(0));
            }
            let passed = self.copies.borrow_mut().pass(&self.answers.borrow(), &piece[..count]);
            self.passed.borrow_mut().extend(passed);
        }
        let mut passed = self.passed.borrow_mut();
        let count = buf.remaining().min(passed.len());
        for (to, from) in buf.initialize_unfilled_to(count).iter_mut().zip(passed.drain(..count)) {
            *to = from;
        }
        Poll::Ready(Ok(count))
    }

    /// Bytes have come. The first of them, a copy's too, begin the time within which the head of the answer has to come.
    fn count_read(&self, count: usize) {
        if self.read.replace(self.read.get() + count as u64) == 0 && count > 0 {
            self.answered.notify_one();
        }
    }

    fn keep(&self, come: &[u8]) {
        let mut kept = self.kept.borrow_mut();
        match kept.as_mut() {
            Some(bytes) if bytes.len() + come.len() <= LONGEST_KEPT => bytes.extend_from_slice(come),
            _ => *kept = None,
        }
    }

    /// Calls that were begun on this connection, the one that is out among them.
    pub fn calls(&self) -> u32 {
        self.calls.get()
    }

    /// This side's port, which tells the connection apart in the logs of both sides.
    pub fn local_port(&self) -> Option<u16> {
        self.port
    }

    /// Nothing of the call was written.
    pub fn is_untouched(&self) -> bool {
        self.written.get() == 0
    }

    /// Bytes of the call that were written, and bytes read since it began.
    pub fn counts(&self) -> (u64, u64) {
        (self.written.get(), self.read.get())
    }

    /// Copies of earlier answers that have come behind the call.
    pub fn copies(&self) -> u32 {
        self.copies.borrow().left_out()
    }

    /// The call may not be written any more.
    pub fn is_too_late(&self) -> bool {
        self.send_by.get().is_some_and(|by| Instant::now() > by)
    }

    /// Something of an answer has come.
    pub fn is_answered(&self) -> bool {
        self.read.get() > 0
    }

    /// The status of the answer, as far as its first line has come.
    pub fn status(&self) -> Option<u16> {
        self.first_line.borrow().status
    }

    /// Whether the first line says that it is delivered, and was read by then.
    pub fn is_delivered_by(&self, end: Instant) -> bool {
        self.status() == Some(200) && self.told_at.get().is_some_and(|at| at <= end)
    }

    /// The connection is open and nothing lies there unread.
    pub fn is_quiet(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&self.stream).peek(&mut byte);
        matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Ends some time after the first byte of an answer.
    pub async fn head_is_late(&self, after: Duration) {
        while !self.is_answered() {
            self.answered.notified().await;
        }
        sleep(after).await;
    }

    fn went(&self, bufs: &[io::IoSlice<'_>], mut count: usize) {
        let mut outgoing = self.outgoing.borrow_mut();
        let Some(outgoing) = outgoing.as_mut() else { return };
        for buf in bufs {
            let gone = count.min(buf.len());
            outgoing.feed(&buf[..gone]);
            count -= gone;
        }
    }

    /// Ends the sending side and waits until the other side has closed too. The call is over for both sides with that: an
    /// answer that crosses it counts for nothing there, and must not here, or the message would get no end at all.
    pub async fn close(&self) -> io::Result<()> {
        SockRef::from(&self.stream).shutdown(Shutdown::Write)?;
        let mut rest = [0; 1024];
        loop {
            self.stream.readable().await?;
            match self.stream.try_read(&mut rest) {
                Ok(0) => return Ok(()),
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        }
    }
}

/// The connection as the library sees it.
pub struct WireStream(pub Rc<Wire>);

impl WireStream {
    fn write(
        &self,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
        mut write: impl FnMut(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        let wire = &self.0;
        if wire.is_swallowing.get() {
            let count = bufs.iter().map(|buf| buf.len()).sum();
            wire.went(bufs, count);
            if wire.outgoing.borrow().as_ref().is_none_or(Outgoing::is_over) {
                wire.is_swallowing.set(false);
                if let Some(reader) = wire.reader.take() {
                    reader.wake();
                }
            }
            return Poll::Ready(Ok(count));
        }
        // Right before the bytes go: its connection may have come up late, and the process may have stood still.
        if wire.is_too_late() {
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, "too late to be sent")));
        }
        // What lies there before a call is written is no answer to it, and must not be taken for one.
        if wire.is_untouched() && !wire.is_quiet() {
            return Poll::Ready(Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "closed, or bytes between calls",
            )));
        }
        loop {
            ready!(wire.stream.poll_write_ready(cx))?;
            match write(&wire.stream) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => {
                    if let Ok(count) = result {
                        wire.written.set(wire.written.get() + count as u64);
                        wire.went(bufs, count);
                    }
                    return Poll::Ready(result);
                }
            }
        }
    }
}

impl AsyncRead for WireStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let wire = &self.0;
        let count = ready!(wire.come_without_copies(cx, buf))?;
        let come = &buf.initialize_unfilled()[..count];
        wire.keep(come);
        wire.first_line.borrow_mut().feed(come)?;
        if wire.told_at.get().is_none() && wire.status().is_some() {
            wire.told_at.set(Some(Instant::now()));
        }
        buf.advance(count);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for WireStream {
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

mod first_line;
#[cfg(test)]
mod tests;
