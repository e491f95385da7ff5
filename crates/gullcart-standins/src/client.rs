//! Clients of one courier, with a pool of connections. They report the outcome of each request to enqueue a message.

use gullcart_judge::trace::EnqueueOutcome;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{timeout_at, Instant};

/// How long a client waits for a reply.
pub const REPLY_TIMEOUT: Duration = Duration::from_millis(400);
/// Idle connections that are kept; further ones are closed after their request.
const MAX_IDLE_CONNECTIONS: usize = 64;
/// A longer reply line is an error.
const MAX_REPLY_BYTES: usize = 4096;

/// A request to enqueue a message.
pub struct EnqueueRequest<'a> {
    /// The id of the message.
    pub id: &'a str,
    /// The order key in ordered classes, otherwise 0.
    pub order_key: u64,
    /// The class.
    pub class: &'a str,
    /// The partner that is the destination of the message.
    pub partner: u32,
    /// Time left until the deadline.
    pub time_left: Duration,
    /// The idempotency key, in classes that use one.
    pub idempotency_key: Option<&'a str>,
    /// Whether the message is enqueued again after the courier rejected it.
    pub retry: bool,
    /// Whether the message is enqueued again because its first courier died or did not reply, so that it may have been accepted
    /// there.
    pub from_dead_courier: bool,
    /// The body.
    pub body: &'a [u8],
}

impl EnqueueRequest<'_> {
    /// Encodes the request in RESP2.
    pub fn encode(&self) -> Vec<u8> {
        let mut fields = format!("c={},d={},dest={}", self.class, self.time_left.as_millis(), self.partner);
        if let Some(key) = self.idempotency_key {
            fields.push_str(&format!(",k={key}"));
        }
        fields.push_str(if self.retry { ",r=1" } else { "" });
        fields.push_str(if self.from_dead_courier { ",again=1" } else { "" });
        let key = format!("{:016x}", self.order_key);
        let arguments = [b"ENQUEUE", key.as_bytes(), self.id.as_bytes(), fields.as_bytes(), self.body];
        let mut request = format!("*{}\r\n", arguments.len()).into_bytes();
        for argument in arguments {
            request.extend(format!("${}\r\n", argument.len()).into_bytes());
            request.extend(argument);
            request.extend(b"\r\n");
        }
        request
    }
}

/// The clients of one courier.
#[derive(Default)]
pub struct Clients {
    address: Cell<Option<SocketAddr>>,
    idle: RefCell<Vec<TcpStream>>,
}

impl Clients {
    /// Sets the address of the courier, or `None` while it has none. Connections to another address are dropped.
    pub fn set_address(&self, address: Option<SocketAddr>) {
        if self.address.replace(address) != address {
            self.idle.borrow_mut().clear();
        }
    }

    /// Whether the courier replies to `PING` in time.
    pub async fn ping(&self) -> bool {
        let Some(address) = self.address.get() else { return false };
        let exchange = async {
            let mut stream = TcpStream::connect(address).await?;
            stream.write_all(b"*1\r\n$4\r\nPING\r\n").await?;
            read_line(&mut stream).await
        };
        matches!(timeout_at(Instant::now() + REPLY_TIMEOUT, exchange).await, Ok(Ok(Some(line))) if line == "+PONG")
    }

    /// Sends an encoded [`EnqueueRequest`]. A courier may close a connection between two requests, or before the first one,
    /// so a request that fails that way is sent once more on a new connection.
    pub async fn enqueue(&self, request: &[u8]) -> EnqueueOutcome {
        let deadline = Instant::now() + REPLY_TIMEOUT;
        let idle = self.idle.borrow_mut().pop();
        let stream = match idle {
            Some(stream) => Ok(stream),
            None => self.connect(deadline).await,
        };
        match stream {
            Ok(stream) => match self.send(stream, request, deadline).await {
                Some(EnqueueOutcome::ConnectionLost) | None => {}
                Some(outcome) => return outcome,
            },
            Err(outcome) => return outcome,
        }
        match self.connect(deadline).await {
            Ok(stream) => self.send(stream, request, deadline).await.unwrap_or(EnqueueOutcome::Unreachable),
            Err(outcome) => outcome,
        }
    }

    /// Opens a connection to the courier.
    async fn connect(&self, deadline: Instant) -> Result<TcpStream, EnqueueOutcome> {
        let address = self.address.get().ok_or(EnqueueOutcome::Unreachable)?;
        match timeout_at(deadline, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => {
                let _ = stream.set_nodelay(true);
                Ok(stream)
            }
            Ok(Err(_)) => Err(EnqueueOutcome::Unreachable),
            Err(_) => Err(EnqueueOutcome::ClientTimedOut),
        }
    }

    /// Sends a request and reads its reply; `None` if the request could not be written.
    async fn send(&self, mut stream: TcpStream, request: &[u8], deadline: Instant) -> Option<EnqueueOutcome> {
        match timeout_at(deadline, stream.write_all(request)).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return None,
            Err(_) => return Some(EnqueueOutcome::ClientTimedOut),
        }
        let line = match timeout_at(deadline, read_line(&mut stream)).await {
            Ok(Ok(Some(line))) => line,
            Ok(_) => return Some(EnqueueOutcome::ConnectionLost),
            Err(_) => return Some(EnqueueOutcome::ClientTimedOut),
        };
        if self.idle.borrow().len() < MAX_IDLE_CONNECTIONS {
            self.idle.borrow_mut().push(stream);
        }
        Some(read_reply(&line))
    }
}

/// The meaning of a reply line.
fn read_reply(line: &str) -> EnqueueOutcome {
    if line.starts_with(['+', '$']) {
        return EnqueueOutcome::Accepted;
    }
    match line.strip_prefix("-BUSY") {
        Some("") => EnqueueOutcome::Busy(None),
        Some(wait) => wait.trim().parse().map_or(EnqueueOutcome::Error, |ms| EnqueueOutcome::Busy(Some(ms))),
        None => EnqueueOutcome::Error,
    }
}

/// Reads a line without its CRLF; `None` if the connection ends first.
async fn read_line(stream: &mut TcpStream) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    while !line.ends_with(b"\r\n") {
        if line.len() > MAX_REPLY_BYTES {
            return Err(io::Error::other("the reply line is too long"));
        }
        if stream.read_buf(&mut line).await? == 0 {
            return Ok(None);
        }
    }
    Ok(Some(String::from_utf8_lossy(&line).trim_end().to_owned()))
}

#[cfg(test)]
mod tests;
