//! Clients of one courier: connections that are kept, and what is told of each hand-in.

use gullcart_judge::trace::Told;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{timeout_at, Instant};

/// A client waits so long for its answer.
pub const REPLY_TIMEOUT: Duration = Duration::from_millis(400);
/// Connections that are kept; others are closed after their request.
const MAX_IDLE_CONNECTIONS: usize = 64;
/// A longer answer is none.
const MAX_REPLY_BYTES: usize = 4096;

/// A hand-in.
pub struct EnqueueRequest<'a> {
    /// Its id.
    pub id: &'a str,
    /// In classes that keep their order; else 0.
    pub order_key: u64,
    /// Name of its class.
    pub class: &'a str,
    /// Where it is to go.
    pub partner: u32,
    /// How long it may still be delivered.
    pub time_left: Duration,
    /// In keyed classes.
    pub idempotency_key: Option<&'a str>,
    /// It comes again after a refusal.
    pub retry: bool,
    /// It comes again after a courier died or did not answer.
    pub from_dead_courier: bool,
    /// What it carries.
    pub body: &'a [u8],
}

impl EnqueueRequest<'_> {
    /// The request in RESP2.
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
    /// Where their courier is from now on; connections to where it was are dropped.
    pub fn set_address(&self, address: Option<SocketAddr>) {
        if self.address.replace(address) != address {
            self.idle.borrow_mut().clear();
        }
    }

    /// Whether `PING` is answered.
    pub async fn ping(&self) -> bool {
        let Some(address) = self.address.get() else { return false };
        let exchange = async {
            let mut stream = TcpStream::connect(address).await?;
            stream.write_all(b"*1\r\n$4\r\nPING\r\n").await?;
            read_line(&mut stream).await
        };
        matches!(timeout_at(Instant::now() + REPLY_TIMEOUT, exchange).await, Ok(Ok(Some(line))) if line == "+PONG")
    }

    /// Hands a message in. A courier may close a connection between two requests, also before the first: a request
    /// that crosses that goes once more on a new one.
    pub async fn enqueue(&self, request: &[u8]) -> Told {
        let deadline = Instant::now() + REPLY_TIMEOUT;
        let idle = self.idle.borrow_mut().pop();
        let stream = match idle {
            Some(stream) => Ok(stream),
            None => self.connect(deadline).await,
        };
        match stream {
            Ok(stream) => match self.send(stream, request, deadline).await {
                Some(Told::Cut) | None => {}
                Some(outcome) => return outcome,
            },
            Err(outcome) => return outcome,
        }
        match self.connect(deadline).await {
            Ok(stream) => self.send(stream, request, deadline).await.unwrap_or(Told::Unreached),
            Err(outcome) => outcome,
        }
    }

    async fn connect(&self, deadline: Instant) -> Result<TcpStream, Told> {
        let address = self.address.get().ok_or(Told::Unreached)?;
        match timeout_at(deadline, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => {
                let _ = stream.set_nodelay(true);
                Ok(stream)
            }
            Ok(Err(_)) => Err(Told::Unreached),
            Err(_) => Err(Told::GaveUp),
        }
    }

    /// None if the request could not be written.
    async fn send(&self, mut stream: TcpStream, request: &[u8], deadline: Instant) -> Option<Told> {
        match timeout_at(deadline, stream.write_all(request)).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return None,
            Err(_) => return Some(Told::GaveUp),
        }
        let line = match timeout_at(deadline, read_line(&mut stream)).await {
            Ok(Ok(Some(line))) => line,
            Ok(_) => return Some(Told::Cut),
            Err(_) => return Some(Told::GaveUp),
        };
        if self.idle.borrow().len() < MAX_IDLE_CONNECTIONS {
            self.idle.borrow_mut().push(stream);
        }
        Some(read_reply(&line))
    }
}

fn read_reply(line: &str) -> Told {
    if line.starts_with(['+', '$']) {
        return Told::Taken;
    }
    match line.strip_prefix("-BUSY") {
        Some("") => Told::Busy(None),
        Some(wait) => wait.trim().parse().map_or(Told::Error, |ms| Told::Busy(Some(ms))),
        None => Told::Error,
    }
}

/// A line without its end; none where the connection ends before it.
async fn read_line(stream: &mut TcpStream) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    while !line.ends_with(b"\r\n") {
        if line.len() > MAX_REPLY_BYTES {
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
