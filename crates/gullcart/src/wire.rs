//! What is seen of a connection's bytes on their way to and from the HTTP library: whether any of a call was
//! written, what the first line of its answer says, and whether bytes lie there that belong to no call.

use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::sleep;

/// `HTTP/1.1 200` and what ends the number.
const STATUS_END: usize = 13;
/// More interim answers (1xx) than this before the answer itself are no answer.
const MOST_INTERIM: u32 = 16;

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
    fn feed(&mut self, mut bytes: &[u8]) {
        while let (Some((byte, rest)), true) = (bytes.split_first(), self.head_end < HEAD_END.len()) {
            self.head_end = match HEAD_END[self.head_end] == *byte {
                true => self.head_end + 1,
                false => usize::from(*byte == HEAD_END[0]),
            };
            bytes = rest;
        }
        self.body = self.body.saturating_sub(bytes.len());
        if self.head_end == HEAD_END.len() && self.body == 0 && self.progress.stage.get() == Stage::Begun {
            self.progress.stage.set(Stage::Whole);
            self.progress.whole.notify_one();
        }
    }
}

/// A connection as its owner sees it, beside the library that speaks HTTP on it.
pub struct Wire {
    stream: TcpStream,
    /// Bytes written since the call began.
    written: Cell<u64>,
    /// Bytes read since then.
    read: Cell<u64>,
    first_line: RefCell<FirstLine>,
    outgoing: RefCell<Option<Outgoing>>,
    answered: Notify,
    /// After the stream: the descriptor is closed by then.
    _descriptor: Descriptor,
}

impl Wire {
    pub fn new(stream: TcpStream, descriptor: Descriptor) -> Self {
        Wire {
            stream,
            written: Cell::default(),
            read: Cell::default(),
            first_line: RefCell::default(),
            outgoing: RefCell::default(),
            answered: Notify::new(),
            _descriptor: descriptor,
        }
    }

    /// A call with a body of that length is about to be written.
    pub fn begin(&self, body: usize, progress: Rc<Progress>) {
        progress.stage.set(Stage::Begun);
        self.outgoing.replace(Some(Outgoing { progress, head_end: 0, body }));
        self.written.set(0);
        self.read.set(0);
        self.first_line.take();
    }

    /// Nothing of the call was written.
    pub fn is_untouched(&self) -> bool {
        self.written.get() == 0
    }

    /// Something of an answer has come.
    pub fn is_answered(&self) -> bool {
        self.read.get() > 0
    }

    /// The status of the answer, as far as its first line has come.
    pub fn status(&self) -> Option<u16> {
        self.first_line.borrow().status
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

    /// Ends the sending side and waits until the other side has closed too.
    async fn close(&self) -> io::Result<()> {
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

/// The status of an answer, from its bytes as they come.
#[derive(Default)]
struct FirstLine {
    status: Option<u16>,
    /// The start of the line that is being read.
    line: Vec<u8>,
    /// In the rest of a head of which the status is known; an empty line ends it.
    in_head: bool,
    interim: u32,
}

impl FirstLine {
    fn feed(&mut self, bytes: &[u8]) -> io::Result<()> {
        for &byte in bytes {
            if self.status.is_some() {
                break;
            }
            if byte == b'\n' {
                if self.in_head && self.line.is_empty() {
                    self.in_head = false;
                } else if !self.in_head {
                    // A line that ends before its number does says nothing.
                    self.line_status(b' ')?;
                }
                self.line.clear();
            } else if byte != b'\r' && self.line.len() < STATUS_END {
                self.line.push(byte);
                if !self.in_head && self.line.len() == STATUS_END {
                    self.line_status(byte)?;
                }
            }
        }
        Ok(())
    }

    /// Reads the number of a first line; that of an interim answer is passed over.
    fn line_status(&mut self, end: u8) -> io::Result<()> {
        let text = std::str::from_utf8(&self.line).ok();
        let number = text.and_then(|text| text.strip_prefix("HTTP/1.0 ").or(text.strip_prefix("HTTP/1.1 ")));
        let number = number.and_then(|number| number.get(..3)).filter(|_| end == b' ');
        match number.and_then(|number| number.parse().ok()) {
            Some(100..=199) => {
                self.in_head = true;
                self.interim += 1;
                if self.interim > MOST_INTERIM {
                    return Err(io::Error::new(io::ErrorKind::InvalidData, "interim answers without end"));
                }
            }
            Some(status) => self.status = Some(status),
            // No first line at all: nothing that comes later can be one.
            None => self.status = Some(0),
        }
        Ok(())
    }
}

/// The connection as the library sees it.
pub struct WireStream(pub Rc<Wire>);

impl WireStream {
    /// Ends the sending side and waits until the other side has closed too.
    pub async fn close(self) -> io::Result<()> {
        self.0.close().await
    }

    fn write(
        &self,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
        mut write: impl FnMut(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        let wire = &self.0;
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
        loop {
            ready!(wire.stream.poll_read_ready(cx))?;
            match wire.stream.try_read(buf.initialize_unfilled()) {
                Ok(count) => {
                    let come = &buf.initialize_unfilled()[..count];
                    wire.first_line.borrow_mut().feed(come)?;
                    if wire.read.replace(wire.read.get() + count as u64) == 0 && count > 0 {
                        wire.answered.notify_one();
                    }
                    buf.advance(count);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
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

#[cfg(test)]
mod tests {
    use super::*;

    /// A call counts as written with its last byte, in whatever pieces it goes, and not before.
    #[test]
    fn a_request_is_written_with_its_last_byte() {
        let head = "POST /hook HTTP/1.1\r\nX-Call-Id: a\rb\r\n\r\n";
        for body in ["", "\r\n\r\nx"] {
            let bytes = format!("{head}{body}").into_bytes();
            for size in 1..bytes.len() {
                let progress = Rc::new(Progress::default());
                progress.stage.set(Stage::Begun);
                let mut outgoing = Outgoing { progress: progress.clone(), head_end: 0, body: body.len() };
                let mut gone = 0;
                for piece in bytes.chunks(size) {
                    assert!(!progress.is_untold(), "{size}: whole after {gone} bytes");
                    outgoing.feed(piece);
                    gone += piece.len();
                }
                assert!(progress.is_untold(), "{size}: never whole");
            }
        }
    }
}
