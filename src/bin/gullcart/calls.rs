//! Connections to endpoints: one call each at a time, and how it ended.

use bytes::Bytes;
use cloverstile::{Allowance, Outcome};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::{sleep_until, timeout, timeout_at, Instant};

/// Idle connections are closed after this part of the endpoint's own limit, so that no call meets its closing.
const IDLE_PART: f64 = 0.7;
/// How long a given-up connection may take to be closed by the other side before it is dropped.
const LINGER: Duration = Duration::from_millis(40);
/// The body of an answer means nothing; a longer one, or a longer wait for its end, is not worth the connection.
const LONGEST_BODY: usize = 64 << 10;
const DRAIN: Duration = Duration::from_millis(500);

/// What a call carries.
pub struct Call {
    pub address: SocketAddr,
    pub id: String,
    pub idempotency_key: Option<String>,
    pub body: Bytes,
    pub try_for: Duration,
}

/// Why a call is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stop {
    /// The module has called it off.
    CalledOff,
    /// It must not be sent any more, and had not been.
    Withdrawn,
}

/// How a call ended.
#[derive(Debug)]
pub struct Ended {
    pub outcome: Outcome,
    pub latency: Duration,
    /// The message is over.
    pub complete: bool,
    pub allowance: Option<Allowance>,
}

type Sender = SendRequest<Full<Bytes>>;

/// An open connection. Dropping it closes it.
struct Connection {
    sender: Sender,
    written: Rc<Cell<u64>>,
    quit: oneshot::Sender<oneshot::Sender<()>>,
    idle_since: Instant,
}

impl Connection {
    /// Gives up the call that is out: ends the sending side and waits, for a moment, until the endpoint has
    /// closed too. Only then has it let go of the call, so that the slot is free and a next attempt is no
    /// second copy.
    async fn give_up(self) {
        let (done, closed) = oneshot::channel();
        if self.quit.send(done).is_ok() {
            let _ = closed.await;
        }
    }
}

/// The idle connections, the newest of each address last. By address, as an endpoint may get another one.
pub struct Pool {
    idle: RefCell<HashMap<SocketAddr, Vec<Connection>>>,
    connect_timeout: Duration,
    keep: Duration,
    most: usize,
}

impl Pool {
    /// `most` idle connections are kept in all.
    pub fn new(connect_timeout: Duration, conn_idle: Duration, most: usize) -> Self {
        let keep = conn_idle.mul_f64(IDLE_PART);
        Pool { idle: RefCell::default(), connect_timeout, keep, most }
    }

    /// Closes the idle connections to an address.
    pub fn close(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes what has been idle for too long or was closed by the other side.
    pub fn sweep(&self) {
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|c| c.idle_since.elapsed() < self.keep && !c.sender.is_closed());
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    fn take(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        std::iter::from_fn(|| connections.pop())
            .find(|c| c.idle_since.elapsed() < self.keep && !c.sender.is_closed())
    }

    fn put(&self, address: SocketAddr, mut connection: Connection) {
        connection.idle_since = Instant::now();
        let mut idle = self.idle.borrow_mut();
        if idle.values().map(Vec::len).sum::<usize>() >= self.most {
            // The one that has been idle for longest makes room; each list has its oldest first.
            let oldest = idle.iter().filter_map(|(at, c)| c.first().map(|c| (c.idle_since, *at))).min();
            if let Some(connections) = oldest.and_then(|(_, at)| idle.get_mut(&at)) {
                connections.remove(0);
            }
        }
        idle.entry(address).or_default().push(connection);
    }

    /// Makes one call. `sent` turns true with its first byte.
    pub async fn call(
        self: &Rc<Self>,
        call: Call,
        mut stop: oneshot::Receiver<Stop>,
        sent: Rc<Cell<bool>>,
    ) -> Ended {
        let start = Instant::now();
        let end = start + call.try_for;
        let ended = |outcome| Ended { outcome, latency: start.elapsed(), complete: false, allowance: None };
        loop {
            let kept = self.take(call.address);
            let fresh = kept.is_none();
            let mut connection = match kept {
                Some(connection) => connection,
                None => {
                    let until = end.min(start + self.connect_timeout);
                    tokio::select! {
                        biased;
                        reason = &mut stop => return ended(never_sent(reason.ok())),
                        opened = timeout_at(until, open(call.address)) => match opened {
                            Ok(Ok(connection)) => connection,
                            // Refused, or it never came up: nothing was sent.
                            Ok(Err(_)) | Err(_) => return ended(Outcome::ConnectFailed),
                        }
                    }
                }
            };
            let Ok(request) = request(&call) else { return ended(Outcome::Moot) };
            let before = connection.written.get();
            sent.set(true);
            let answer = tokio::select! {
                biased;
                answer = send(&mut connection.sender, request) => Some(answer),
                () = sleep_until(end) => None,
                reason = &mut stop => {
                    let latency = start.elapsed();
                    let untouched = connection.written.get() == before;
                    connection.give_up().await;
                    let outcome = if untouched { never_sent(reason.ok()) } else { Outcome::Cancelled };
                    return Ended { latency, ..ended(outcome) };
                }
            };
            let untouched = connection.written.get() == before;
            match answer {
                Some(Ok(response)) => {
                    let ended = read_answer(&response, start.elapsed());
                    tokio::task::spawn_local(finish(self.clone(), call.address, connection, response));
                    return ended;
                }
                // A kept connection that turns out to be closed before anything was written to it: the call
                // has not been made yet, and goes out on another one.
                Some(Err(_)) if untouched && !fresh => sent.set(false),
                Some(Err(_)) if untouched => return ended(Outcome::ConnectFailed),
                // Some of it was written, and how much of that arrived cannot be told: it may have run.
                Some(Err(_)) => return ended(Outcome::Reset),
                None => {
                    let latency = start.elapsed();
                    connection.give_up().await;
                    let outcome = if untouched { Outcome::ConnectFailed } else { Outcome::Timeout };
                    return Ended { latency, ..ended(outcome) };
                }
            }
        }
    }
}

/// A call that was stopped before its first byte never ran.
fn never_sent(reason: Option<Stop>) -> Outcome {
    match reason {
        Some(Stop::CalledOff) => Outcome::ConnectFailed,
        Some(Stop::Withdrawn) | None => Outcome::Moot,
    }
}

async fn send(sender: &mut Sender, request: Request<Full<Bytes>>) -> hyper::Result<Response<Incoming>> {
    sender.ready().await?;
    sender.send_request(request).await
}

fn request(call: &Call) -> hyper::http::Result<Request<Full<Bytes>>> {
    let mut request = Request::post("/hook")
        .header("Host", call.address.to_string())
        .header("X-Call-Id", &call.id)
        .header("X-Budget", format!("{:.3}", call.try_for.as_secs_f64()));
    if let Some(key) = &call.idempotency_key {
        request = request.header("Idempotency-Key", key);
    }
    request.body(Full::new(call.body.clone()))
}

fn read_answer(response: &Response<Incoming>, latency: Duration) -> Ended {
    let header = |name: &str| response.headers().get(name).and_then(|value| value.to_str().ok());
    let (outcome, complete) = match response.status().as_u16() {
        200 => (Outcome::Ok, true),
        429 => {
            let wait = header("X-Come-Back-Ms").and_then(|text| text.trim().parse().ok());
            (Outcome::Full(wait.filter(|ms| *ms > 0).map(Duration::from_millis)), false)
        }
        503 if header("X-Line-Busy").is_some_and(|text| text.trim() == "1") => (Outcome::Moot, false),
        503 => (Outcome::Full(None), false),
        504 => (Outcome::Spent, false),
        410 => (Outcome::Moot, true),
        // An error, or an answer that nobody knows: it may have run.
        _ => (Outcome::Error, false),
    };
    Ended { outcome, latency, complete, allowance: header("X-Load-Report").and_then(read_report) }
}

fn read_report(text: &str) -> Option<Allowance> {
    let value = |name: &str| -> Option<f64> {
        let fields = text.split(',').filter_map(|field| field.trim().split_once('='));
        fields.filter(|(field, _)| *field == name).find_map(|(_, value)| value.trim().parse().ok())
    };
    let (left, limit) = (value("x0")?, value("x1")?);
    (left.is_finite() && limit.is_finite()).then_some(Allowance { left, limit })
}

/// Reads the rest of an answer, so that its connection can be used again.
async fn finish(pool: Rc<Pool>, address: SocketAddr, mut connection: Connection, answer: Response<Incoming>) {
    let rest = async {
        Limited::new(answer.into_body(), LONGEST_BODY).collect().await.ok()?;
        connection.sender.ready().await.ok()
    };
    if let Ok(Some(())) = timeout(DRAIN, rest).await {
        pool.put(address, connection);
    }
}

async fn open(address: SocketAddr) -> io::Result<Connection> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let written = Rc::new(Cell::new(0));
    let stream = Counted { stream, written: written.clone() };
    let handshake = http1::Builder::new().title_case_headers(true).handshake(TokioIo::new(stream)).await;
    let (sender, mut connection) = handshake.map_err(io::Error::other)?;
    let (quit, told) = oneshot::channel::<oneshot::Sender<()>>();
    tokio::task::spawn_local(async move {
        let done = tokio::select! {
            // First, as a given-up answer would also end the connection, without the wait for the other side.
            biased;
            done = told => done,
            _ = &mut connection => return,
        };
        if let Ok(done) = done {
            let stream = connection.into_parts().io.into_inner().stream;
            let _ = timeout(LINGER, wait_for_close(stream)).await;
            let _ = done.send(());
        }
    });
    Ok(Connection { sender, written, quit, idle_since: Instant::now() })
}

async fn wait_for_close(mut stream: TcpStream) -> io::Result<()> {
    stream.shutdown().await?;
    let mut rest = [0; 1024];
    while stream.read(&mut rest).await? > 0 {}
    Ok(())
}

/// A stream that counts what was written to it: a call of which not a byte was written has never run.
struct Counted {
    stream: TcpStream,
    written: Rc<Cell<u64>>,
}

impl Counted {
    fn count(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(count)) = result {
            self.written.set(self.written.get() + count as u64);
        }
        result
    }
}

impl AsyncRead for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Counted {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.count(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.count(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
