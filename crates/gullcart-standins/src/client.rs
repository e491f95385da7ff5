//! Clients of one courier: connections that are kept, and what is told of each hand-in.

use gullcart_judge::trace::EnqueueOutcome;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{timeout_at, Instant};

/// A client waits so long for its answer.
pub const PATIENCE: Duration = Duration::from_millis(400);
/// Connections that are kept; others are closed after their request.
const MOST_IDLE: usize = 64;
/// A longer answer is none.
const LONGEST_ANSWER: usize = 4096;

/// A hand-in.
pub struct HandIn<'a> {
    /// Its id.
    pub id: &'a str,
    /// In classes that keep their order; else 0.
    pub key: u64,
    /// Name of its class.
    pub class: &'a str,
    /// Where it is to go.
    pub partner: u32,
    /// How long it may still be delivered.
    pub left: Duration,
    /// In keyed classes.
    pub idempotency_key: Option<&'a str>,
    /// It comes again after a refusal.
    pub retry: bool,
    /// It comes again after a courier died or did not answer.
    pub again: bool,
    /// What it carries.
    pub body: &'a [u8],
}

impl HandIn<'_> {
    /// The request in RESP2.
    pub fn request(&self) -> Vec<u8> {
        let mut fields = format!("c={},d={},dest={}", self.class, self.left.as_millis(), self.partner);
        if let Some(key) = self.idempotency_key {
            fields.push_str(&format!(",k={key}"));
        }
        fields.push_str(if self.retry { ",r=1" } else { "" });
        fields.push_str(if self.again { ",again=1" } else { "" });
        let key = format!("{:016x}", self.key);
        let words = [b"ENQUEUE", key.as_bytes(), self.id.as_bytes(), fields.as_bytes(), self.body];
        let mut request = format!("*{}\r\n", words.len()).into_bytes();
        for word in words {
            request.extend(format!("${}\r\n", word.len()).into_bytes());
            request.extend(word);
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
    /// Where their courier is from now on; connections to where it was are dropped.
    pub fn find(&self, address: Option<SocketAddr>) {
        if self.address.replace(address) != address {
            self.idle.borrow_mut().clear();
        }
    }

    /// Whether `PING` is answered.
    pub async fn ping(&self) -> bool {
        let Some(address) = self.address.get() else { return false };
        let asked = async {
            let mut stream = TcpStream::connect(address).await?;
            stream.write_all(b"*1\r\n$4\r\nPING\r\n").await?;
            read_line(&mut stream).await
        };
        matches!(timeout_at(Instant::now() + PATIENCE, asked).await, Ok(Ok(Some(line))) if line == "+PONG")
    }

    /// Hands a message in. A courier may close a connection between two requests, also before the first: a request
    /// that crosses that goes once more on a new one.
    pub async fn hand_in(&self, request: &[u8]) -> EnqueueOutcome {
        let until = Instant::now() + PATIENCE;
        let kept = self.idle.borrow_mut().pop();
        let stream = match kept {
            Some(stream) => Ok(stream),
            None => self.connect(until).await,
        };
        match stream {
            Ok(stream) => match self.ask(stream, request, until).await {
                Some(EnqueueOutcome::ConnectionLost) | None => {}
                Some(told) => return told,
            },
            Err(told) => return told,
        }
        match self.connect(until).await {
            Ok(stream) => self.ask(stream, request, until).await.unwrap_or(EnqueueOutcome::Unreachable),
            Err(told) => told,
        }
    }

    async fn connect(&self, until: Instant) -> Result<TcpStream, EnqueueOutcome> {
        let address = self.address.get().ok_or(EnqueueOutcome::Unreachable)?;
        match timeout_at(until, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => {
                let _ = stream.set_nodelay(true);
                Ok(stream)
            }
            Ok(Err(_)) => Err(EnqueueOutcome::Unreachable),
            Err(_) => Err(EnqueueOutcome::ClientTimedOut),
        }
    }

    /// None if the request could not be written.
    async fn ask(&self, mut stream: TcpStream, request: &[u8], until: Instant) -> Option<EnqueueOutcome> {
        match timeout_at(until, stream.write_all(request)).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return None,
            Err(_) => return Some(EnqueueOutcome::ClientTimedOut),
        }
        let line = match timeout_at(until, read_line(&mut stream)).await {
            Ok(Ok(Some(line))) => line,
            Ok(_) => return Some(EnqueueOutcome::ConnectionLost),
            Err(_) => return Some(EnqueueOutcome::ClientTimedOut),
        };
        if self.idle.borrow().len() < MOST_IDLE {
            self.idle.borrow_mut().push(stream);
        }
        Some(read_answer(&line))
    }
}

fn read_answer(line: &str) -> EnqueueOutcome {
    if line.starts_with(['+', '$']) {
        return EnqueueOutcome::Accepted;
    }
    match line.strip_prefix("-BUSY") {
        Some("") => EnqueueOutcome::Busy(None),
        Some(wait) => wait.trim().parse().map_or(EnqueueOutcome::Error, |ms| EnqueueOutcome::Busy(Some(ms))),
        None => EnqueueOutcome::Error,
    }
}

/// A line without its end; none where the connection ends before it.
async fn read_line(stream: &mut TcpStream) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    while !line.ends_with(b"\r\n") {
        if line.len() > LONGEST_ANSWER {
            return Err(io::Error::other("an answer without end"));
        }
        if stream.read_buf(&mut line).await? == 0 {
            return Ok(None);
        }
    }
    Ok(Some(String::from_utf8_lossy(&line).trim_end().to_owned()))
}

#[cfg(test)]
mod tests;
