//! The server for clients: RESP2 requests in, one answer each.

use bytes::{Buf, Bytes, BytesMut};
use std::io;
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc::UnboundedSender, oneshot, watch, Semaphore};
use tokio::time::{sleep, timeout};
use tracing::warn;

use crate::driver::Input;
use crate::seldom::Seldom;

const MOST_WORDS: usize = 16;
const LONGEST_BODY: usize = 64 << 10;
/// A line that announces a count or a length.
const LONGEST_LINE: usize = 32;
/// Read at once, as far as it is there.
const READ: usize = 4 << 10;
/// A client that says nothing for this long, or leaves a request unfinished, may be gone without a word.
const IDLE: Duration = Duration::from_secs(120);
/// While the courier ends, a new connection may take this long to bring its request.
const LAST_REQUEST: Duration = Duration::from_millis(400);

/// A message that a client hands in.
#[derive(Debug, PartialEq, Eq)]
pub struct Enqueue {
    pub id: String,
    pub key: u64,
    pub class: String,
    pub destination: u16,
    /// How long it may still be delivered.
    pub left: Duration,
    pub idempotency_key: Option<String>,
    pub again: bool,
    pub body: Bytes,
}

/// What the client is told.
#[derive(Debug)]
pub enum Answer {
    Taken,
    Busy(Option<Duration>),
    Error(&'static str),
}

impl Answer {
    fn wire(&self) -> String {
        match self {
            Answer::Taken => "+OK\r\n".to_owned(),
            Answer::Busy(None) => "-BUSY\r\n".to_owned(),
            Answer::Busy(Some(after)) => format!("-BUSY {}\r\n", after.as_millis()),
            Answer::Error(text) => format!("-ERR {text}\r\n"),
        }
    }
}

/// Accepts connections until the task is dropped. `closing` turns true when the courier is about to end.
pub async fn serve(
    listener: TcpListener,
    driver: UnboundedSender<Input>,
    closing: watch::Receiver<bool>,
    most: usize,
) {
    let places = std::rc::Rc::new(Semaphore::new(most));
    let mut failures = Seldom::default();
    loop {
        // Out of places the rest waits in the listener's queue; sockets are kept for calls.
        let Ok(_) = places.acquire().await.map(|place| place.forget()) else { return };
        match listener.accept().await {
            Ok((stream, _)) => {
                let (driver, closing, places) = (driver.clone(), closing.clone(), places.clone());
                tokio::task::spawn_local(async move {
                    // A connection that breaks is its client's affair: what was taken on stays so.
                    let _ = Client { stream, driver, closing, buffer: BytesMut::new() }.run().await;
                    places.add_permits(1);
                });
            }
            Err(error) => {
                places.add_permits(1);
                if let Some(more) = failures.due() {
                    warn!(%error, more, "a client's connection cannot be accepted");
                }
                sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

struct Client {
    stream: TcpStream,
    driver: UnboundedSender<Input>,
    closing: watch::Receiver<bool>,
    buffer: BytesMut,
}

impl Client {
    async fn run(mut self) -> io::Result<()> {
        self.stream.set_nodelay(true)?;
        let mut idle_allowed = *self.closing.borrow();
        loop {
            let words = match decode(&mut self.buffer) {
                Ok(Some(words)) => words,
                Ok(None) => {
                    if !self.read(idle_allowed).await? {
                        return Ok(());
                    }
                    continue;
                }
                Err(error) => {
                    // What follows cannot be told apart any more.
                    let _ = self.stream.write_all(format!("-ERR {error}\r\n").as_bytes()).await;
                    return self.stream.shutdown().await;
                }
            };
            idle_allowed = false;
            if self.serve(&words).await?.is_none() {
                return Ok(());
            }
        }
    }

    /// Reads more of a request; false where the connection is over. When the courier ends, a connection is
    /// closed between two requests, but never with a part of one read.
    async fn read(&mut self, fresh: bool) -> io::Result<bool> {
        self.buffer.reserve(READ);
        if self.buffer.is_empty() && *self.closing.borrow() {
            if fresh {
                let read = timeout(LAST_REQUEST, self.stream.read_buf(&mut self.buffer)).await;
                return Ok(matches!(read, Ok(Ok(1..))));
            }
            return Ok(self.read_now()? > 0);
        }
        let between = self.buffer.is_empty();
        tokio::select! {
            biased;
            read = timeout(IDLE, self.stream.read_buf(&mut self.buffer)) => Ok(matches!(read, Ok(Ok(1..)))),
            _ = self.closing.changed(), if between => Ok(self.read_now()? > 0),
        }
    }

    /// What has come already, without waiting.
    fn read_now(&mut self) -> io::Result<usize> {
        match self.stream.try_read_buf(&mut self.buffer) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(0),
            result => result,
        }
    }

    /// Whether the client has closed its side. One that did so before its answer has stopped waiting, and may
    /// be handing the message in elsewhere already.
    fn gone(&mut self) -> bool {
        match self.stream.try_read_buf(&mut self.buffer) {
            Ok(count) => count == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Answers one request; none where the courier is ending.
    async fn serve(&mut self, words: &[Bytes]) -> io::Result<Option<()>> {
        let command = words.first().map(|word| word.to_ascii_uppercase());
        let answer = match command.as_deref() {
            Some(b"PING") => {
                self.stream.write_all(b"+PONG\r\n").await?;
                return Ok(Some(()));
            }
            Some(b"ENQUEUE") => match Enqueue::read(words) {
                Ok(enqueue) => {
                    if !self.gone() {
                        return self.hand_in(enqueue).await;
                    }
                    // One that has only ended its sending still hears this.
                    Answer::Busy(None)
                }
                Err(text) => Answer::Error(text),
            },
            _ => Answer::Error("unknown command"),
        };
        self.stream.write_all(answer.wire().as_bytes()).await?;
        Ok(Some(()))
    }

    async fn hand_in(&mut self, enqueue: Enqueue) -> io::Result<Option<()>> {
        let id = enqueue.id.clone();
        let (reply, answer) = oneshot::channel();
        if self.driver.send(Input::Enqueue(enqueue, reply)).is_err() {
            return Ok(None);
        }
        let Ok(answer) = answer.await else { return Ok(None) };
        let written = self.stream.write_all(answer.wire().as_bytes()).await;
        if written.is_err() && matches!(answer, Answer::Taken) {
            // The client never heard that it was taken on, and hands it in again under another id.
            let _ = self.driver.send(Input::Unheard(id));
        }
        written.map(Some)
    }
}

impl Enqueue {
    /// `ENQUEUE key id names-and-values body`.
    fn read(words: &[Bytes]) -> Result<Self, &'static str> {
        let [_, key, id, fields, body] = words else {
            return Err("ENQUEUE takes a key, an id, fields and a body");
        };
        if body.len() > LONGEST_BODY {
            return Err("the body is too long");
        }
        let text = |bytes: &Bytes| std::str::from_utf8(bytes).ok().map(str::to_owned);
        // The id goes on in a header and in a notice.
        let token = |text: &String| {
            (1..=128).contains(&text.len())
                && text.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.:".contains(&b))
        };
        let key = text(key)
            .and_then(|key| u64::from_str_radix(&key, 16).ok())
            .ok_or("the key is not hexadecimal")?;
        let id = text(id).filter(token).ok_or("the id has other characters than an id may have")?;
        let fields = text(fields).ok_or("the fields are not text")?;
        let field = |name: &str| {
            let mut pairs = fields.split(',').filter_map(|pair| pair.split_once('='));
            pairs.find(|(known, _)| *known == name).map(|(_, value)| value)
        };
        let idempotency_key = field("k").map(str::to_owned);
        if idempotency_key.as_ref().is_some_and(|key| !token(key)) {
            return Err("k has other characters than a key may have");
        }
        Ok(Enqueue {
            id,
            key,
            class: field("c").ok_or("c is missing")?.to_owned(),
            destination: field("dest").and_then(|v| v.parse().ok()).ok_or("dest is missing or no number")?,
            left: field("d")
                .and_then(|v| v.parse().ok())
                .map(Duration::from_millis)
                .ok_or("d is missing or no number")?,
            idempotency_key,
            again: field("again") == Some("1"),
            // A copy of its own: a slice would keep all that was read with it.
            body: Bytes::copy_from_slice(body),
        })
    }
}

#[derive(Debug, Error, PartialEq, Eq)]
enum RespError {
    #[error("Protocol error: expected an array of bulk strings")]
    Form,
    #[error("Protocol error: too long")]
    Long,
}

/// Takes the first whole request out of the buffer; none while it is not whole. Requests are arrays of bulk
/// strings and nothing else, so that depth and size are bounded before anything is stored; the general
/// decoders recurse as deep as their input says.
fn decode(buffer: &mut BytesMut) -> Result<Option<Vec<Bytes>>, RespError> {
    let Some((count, mut at)) = number(buffer, 0, b'*')? else { return Ok(None) };
    if count > MOST_WORDS {
        return Err(RespError::Long);
    }
    let mut spans = Vec::with_capacity(count);
    for _ in 0..count {
        let Some((length, start)) = number(buffer, at, b'$')? else { return Ok(None) };
        if length > LONGEST_BODY {
            return Err(RespError::Long);
        }
        let end = start + length;
        match buffer.get(end..end + 2) {
            None => return Ok(None),
            Some(b"\r\n") => {}
            Some(_) => return Err(RespError::Form),
        }
        spans.push(start..end);
        at = end + 2;
    }
    let frame = buffer.split_to(at).freeze();
    Ok(Some(spans.into_iter().map(|span| frame.slice(span)).collect()))
}

/// A line of a sign and a number at a place in the buffer: the number and where the line ends.
fn number(buffer: &BytesMut, at: usize, sign: u8) -> Result<Option<(usize, usize)>, RespError> {
    let mut line = &buffer[at..];
    match line.first() {
        None => return Ok(None),
        Some(first) if *first != sign => return Err(RespError::Form),
        Some(_) => line.advance(1),
    }
    let Some(end) = line.iter().take(LONGEST_LINE).position(|byte| *byte == b'\n') else {
        return if line.len() < LONGEST_LINE { Ok(None) } else { Err(RespError::Form) };
    };
    let digits = line[..end].strip_suffix(b"\r").ok_or(RespError::Form)?;
    let valid = !digits.is_empty() && digits.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(digits).ok().filter(|_| valid).ok_or(RespError::Form)?;
    Ok(Some((text.parse().map_err(|_| RespError::Long)?, at + end + 2)))
}
