//! One connection: messages of the distribution on a stream, with bounded buffers and without waiting inside.

use gullcart_distribution::codec::{encode_framed, StreamDecoder};
use gullcart_distribution::error::CodecError;
use gullcart_distribution::limits::{MAX_MESSAGE_BYTES, WINDOW_BYTES};
use gullcart_distribution::message::Message;
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::io::Interest;
use tokio::net::TcpStream;

/// Bytes that are read at once.
const READ_BYTES: usize = 64 << 10;
/// Bytes that wait to be written to one connection at most: a full window and a message.
const MOST_OUTGOING_BYTES: usize = 2 * WINDOW_BYTES + MAX_MESSAGE_BYTES;

/// Why a connection is of no more use.
#[derive(Debug, Error)]
pub enum LinkError {
    /// The other side closed it.
    #[error("closed by the other side")]
    Closed,
    /// The socket failed.
    #[error(transparent)]
    Socket(#[from] io::Error),
    /// What came is no message, or what goes is none.
    #[error(transparent)]
    Codec(#[from] CodecError),
    /// The other side does not read.
    #[error("the other side does not read")]
    Full,
}

/// Bytes and messages of a process, both ways.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Traffic {
    /// Bytes that were read.
    pub bytes_in: u64,
    /// Bytes that were written.
    pub bytes_out: u64,
    /// Messages that were read.
    pub messages_in: u64,
    /// Messages that were written.
    pub messages_out: u64,
}

/// What the connections of a process share: room to read into, and the count of their traffic.
#[derive(Clone)]
pub struct LinkShared(Rc<SharedInner>);

struct SharedInner {
    buffer: RefCell<Vec<u8>>,
    traffic: Cell<Traffic>,
}

impl Default for LinkShared {
    fn default() -> Self {
        let (buffer, traffic) = (RefCell::new(vec![0; READ_BYTES]), Cell::default());
        LinkShared(Rc::new(SharedInner { buffer, traffic }))
    }
}

impl LinkShared {
    /// The traffic so far.
    pub fn traffic(&self) -> Traffic {
        self.0.traffic.get()
    }

    fn count(&self, change: impl FnOnce(&mut Traffic)) {
        let mut traffic = self.0.traffic.get();
        change(&mut traffic);
        self.0.traffic.set(traffic);
    }
}

/// How much is read, and how often.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadPace {
    /// All that is there.
    Full,
    /// One byte, and then nothing for so long.
    ByteEach(Duration),
}

/// A connection.
pub struct Link {
    stream: TcpStream,
    decoder: StreamDecoder,
    outgoing: VecDeque<u8>,
    shared: LinkShared,
    pace: ReadPace,
    /// Nothing is read before.
    reads_from: tokio::time::Instant,
}

impl Link {
    /// Messages on a stream that is connected.
    pub fn new(stream: TcpStream, shared: LinkShared, pace: ReadPace) -> Result<Self, LinkError> {
        stream.set_nodelay(true)?;
        let reads_from = tokio::time::Instant::now();
        Ok(Link {
            stream,
            decoder: StreamDecoder::default(),
            outgoing: VecDeque::new(),
            shared,
            pace,
            reads_from,
        })
    }

    /// Waits until there is something to read, or something that waits can be written. May be dropped while it waits.
    pub async fn ready(&self) -> Result<(), LinkError> {
        if self.pace != ReadPace::Full {
            tokio::time::sleep_until(self.reads_from).await;
        }
        let interest = match self.outgoing.is_empty() {
            true => Interest::READABLE,
            false => Interest::READABLE.add(Interest::WRITABLE),
        };
        self.stream.ready(interest).await?;
        Ok(())
    }

    /// Takes a message on, to be written by the next [`Self::flush`].
    pub fn queue(&mut self, message: &Message) -> Result<(), LinkError> {
        let encoded = encode_framed(message)?;
        if self.outgoing.len() + encoded.len() > MOST_OUTGOING_BYTES {
            return Err(LinkError::Full);
        }
        self.outgoing.extend(encoded);
        self.shared.count(|traffic| traffic.messages_out += 1);
        Ok(())
    }

    /// Whether so little waits that more messages may be taken on.
    pub fn has_room(&self) -> bool {
        self.outgoing.len() < WINDOW_BYTES
    }

    /// Writes what the socket takes.
    pub fn flush(&mut self) -> Result<(), LinkError> {
        while !self.outgoing.is_empty() {
            let (part, _) = self.outgoing.as_slices();
            match self.stream.try_write(part) {
                Ok(0) => return Err(LinkError::Closed),
                Ok(written) => {
                    self.outgoing.drain(..written);
                    self.shared.count(|traffic| traffic.bytes_out += written as u64);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) => return Err(error.into()),
            }
        }
        if self.outgoing.is_empty() {
            // A burst's room is given back.
            self.outgoing = VecDeque::new();
        }
        Ok(())
    }

    /// Reads what is there, once. Whole messages then come by [`Self::next_message`].
    pub fn read(&mut self) -> Result<(), LinkError> {
        let shared = self.shared.clone();
        let mut buffer = shared.0.buffer.borrow_mut();
        let room = match self.pace {
            ReadPace::Full => &mut buffer[..],
            ReadPace::ByteEach(_) => &mut buffer[..1],
        };
        match self.stream.try_read(room) {
            Ok(0) => Err(LinkError::Closed),
            Ok(read) => {
                self.decoder.extend(&buffer[..read]);
                self.shared.count(|traffic| traffic.bytes_in += read as u64);
                if let ReadPace::ByteEach(pause) = self.pace {
                    self.reads_from = tokio::time::Instant::now() + pause;
                }
                Ok(())
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(()),
            Err(error) => Err(error.into()),
        }
    }

    /// The next whole message that was read.
    pub fn next_message(&mut self) -> Result<Option<Message>, LinkError> {
        let message = self.decoder.next_message()?;
        if message.is_some() {
            self.shared.count(|traffic| traffic.messages_in += 1);
        }
        Ok(message)
    }
}
