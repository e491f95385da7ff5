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

/// A connection as its owner sees it, beside the library that speaks HTTP on it.
pub struct Wire {
    stream: TcpStream,
    /// Bytes written since the call began.
    written: Cell<u64>,
    /// Bytes read since then.
    read: Cell<u64>,
    first_line: RefCell<FirstLine>,
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
            answered: Notify::new(),
            _descriptor: descriptor,
        }
    }

    /// A call is about to be written.
    pub fn begin(&self) {
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
        self.write(cx, |stream| stream.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.write(cx, |stream| stream.try_write_vectored(bufs))
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
