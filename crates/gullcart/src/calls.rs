//! Connections to endpoints: one call each at a time, and how it ended.

use bytes::Bytes;
use cloverstile::{EndpointId, Outcome};
use gullcart_engine::{Call, ConnectionAnswers, Ended, EndpointAnswers, Fingerprint, IdleShare, Stop, TRAIL};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{oneshot, Notify};
use tokio::task::yield_now;
use tokio::time::{sleep_until, timeout, timeout_at, Instant};
use tracing::{debug, warn};

use answer::{read_answer, whole_body, DRAIN};

use crate::wire::{Descriptor, Progress, Wire, WireStream};

/// Idle connections are closed after this part of the endpoint's own limit, so that no call meets its closing.
const IDLE_PART: f64 = 0.7;
/// How long a connection rests before it is used again, so that bytes right behind an answer are seen before they
/// could be taken for the next one. A new connection would take longer.
const REST: Duration = Duration::from_millis(5);
/// How long a given-up connection may take to be closed by the other side before it is dropped.
const LINGER: Duration = Duration::from_millis(40);
/// Longest head of an answer.
const LONGEST_HEAD: usize = 16 << 10;
/// From the first byte of an answer to the end of its head: one that takes longer is broken.
const HEAD: Duration = Duration::from_millis(250);

type Sender = SendRequest<Full<Bytes>>;

/// An open connection. Dropping it closes it.
struct Connection {
    address: SocketAddr,
    sender: Sender,
    wire: Rc<Wire>,
    /// The library has the connection until this is dropped.
    library: oneshot::Sender<()>,
    idle_since: Instant,
}

impl Connection {
    /// Gives up the call that is out: ends the sending side and waits, for a moment, until the endpoint has
    /// closed too. Only then has it let go of the call, so that the slot is free and a next attempt is no
    /// second copy.
    async fn give_up(self) {
        let Connection { wire, library, .. } = self;
        // The library writes and reads no more.
        drop(library);
        let _ = timeout(LINGER, wire.close()).await;
    }
}

/// A call that the process before has written.
pub struct CarriedCall {
    /// Its connection, not blocking.
    pub stream: Option<std::net::TcpStream>,
    /// What was read of its answer.
    pub answer: Vec<u8>,
    /// What its connection has brought before.
    pub earlier: ConnectionAnswers,
    /// How long it has taken.
    pub elapsed: Duration,
}

/// The connections to endpoints. Those that are idle are kept by endpoint, the newest last: an address may belong
/// to another endpoint by now, which must not be given what is left of the one before.
pub struct Pool {
    idle: RefCell<HashMap<EndpointId, Vec<Connection>>>,
    /// What the answers of each endpoint in use are like.
    answers: RefCell<HashMap<EndpointId, EndpointAnswers>>,
    /// Descriptors in use: idle, with a call, ending an answer, or being given up.
    open: Rc<Cell<usize>>,
    closed: Rc<Notify>,
    connect_timeout: Duration,
    keep: Duration,
    most: usize,
    most_idle: usize,
    share: RefCell<IdleShare>,
    #[cfg(feature = "broken")]
    believes_copies: Cell<bool>,
}

impl Pool {
    /// At most `most` connections are open at a time, and `most_idle` of them idle.
    pub fn new(
        connect_timeout: Duration,
        conn_idle: Duration,
        most: usize,
        most_idle: usize,
        share: IdleShare,
    ) -> Self {
        Pool {
            idle: RefCell::default(),
            answers: RefCell::default(),
            open: Rc::default(),
            closed: Rc::default(),
            connect_timeout,
            keep: conn_idle.mul_f64(IDLE_PART),
            most,
            most_idle,
            share: RefCell::new(share),
            #[cfg(feature = "broken")]
            believes_copies: Cell::default(),
        }
    }

    /// Closes the idle connections to an endpoint.
    pub fn close(&self, endpoint: EndpointId) {
        if self.idle.borrow_mut().remove(&endpoint).is_some() {
            log_closed(endpoint, "they are not trusted any more");
        }
    }

    /// Closes the idle connections to all endpoints but some.
    pub fn keep_only(&self, which: impl Fn(EndpointId) -> bool) {
        self.idle.borrow_mut().retain(|endpoint, _| {
            let is_kept = which(*endpoint);
            if !is_kept {
                log_closed(*endpoint, "the endpoint gets nothing new");
            }
            is_kept
        });
        self.answers.borrow_mut().retain(|endpoint, _| which(*endpoint));
    }

    /// Closes what has been idle for too long or was closed by the other side.
    pub fn sweep(&self) {
        let mut idle = self.idle.borrow_mut();
        for (endpoint, connections) in idle.iter_mut() {
            let before = connections.len();
            connections.retain(|c| self.usable(c));
            if connections.len() < before {
                log_closed(*endpoint, "they were idle for too long, or closed by the endpoint");
            }
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    fn usable(&self, connection: &Connection) -> bool {
        connection.idle_since.elapsed() < self.keep && !connection.sender.is_closed()
    }

    /// A kept connection, once one has rested; none if there is none.
    async fn take(&self, endpoint: EndpointId, address: SocketAddr) -> Option<Connection> {
        loop {
            let rested = {
                let mut idle = self.idle.borrow_mut();
                let connections = idle.get_mut(&endpoint)?;
                connections.retain(|c| c.address == address && self.usable(c));
                let oldest = connections.first()?.idle_since;
                if let Some(at) = connections.iter().rposition(|c| c.idle_since.elapsed() >= REST) {
                    return Some(connections.remove(at));
                }
                oldest + REST
            };
            sleep_until(rested).await;
        }
    }

    /// Takes whatever comes first behind a call for its answer.
    #[cfg(feature = "broken")]
    pub fn believe_copies(&self, believes: bool) {
        self.believes_copies.set(believes);
    }

    /// Whether a delivery belongs to the call that was out on its connection; learns from it what the endpoint's answers are
    /// like.
    fn accept(&self, endpoint: EndpointId, wire: &Wire, body: &[u8]) -> bool {
        #[cfg(feature = "broken")]
        if self.believes_copies.get() {
            return true;
        }
        let fingerprint = Fingerprint::of(body);
        let accepted = wire.answers.borrow_mut().accept(fingerprint);
        let mut answers = self.answers.borrow_mut();
        let of_endpoint = answers.entry(endpoint).or_default();
        match accepted {
            Ok(()) => of_endpoint.observe(fingerprint),
            Err(doubt) => {
                of_endpoint.doubt();
                let (port, calls) = (wire.local_port(), wire.calls());
                warn!(
                    endpoint = endpoint.0,
                    port,
                    calls,
                    ?doubt,
                    "a delivery may be a copy of an earlier answer"
                );
            }
        }
        accepted.is_ok()
    }

    /// Whether a connection may carry one more call.
    fn may_be_used_again(&self, endpoint: EndpointId, wire: &Wire) -> bool {
        #[cfg(feature = "broken")]
        if self.believes_copies.get() {
            return true;
        }
        let differ = self.answers.borrow().get(&endpoint).is_some_and(EndpointAnswers::differ);
        differ && wire.answers.borrow().allow_another_call()
    }

    fn put(&self, endpoint: EndpointId, mut connection: Connection) {
        if !self.share.borrow_mut().keeps() {
            return log_closed(endpoint, "it is not kept, so that the endpoint has room for others");
        }
        connection.idle_since = Instant::now();
        if self.idle.borrow().values().map(Vec::len).sum::<usize>() >= self.most_idle {
            self.close_oldest();
        }
        self.idle.borrow_mut().entry(endpoint).or_default().push(connection);
    }

    /// Closes the connection that has been idle for longest; each list has its oldest first.
    fn close_oldest(&self) {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle.iter().filter_map(|(at, c)| c.first().map(|c| (c.idle_since, *at))).min();
        let Some((_, endpoint)) = oldest else { return };
        if let Some(connections) = idle.get_mut(&endpoint) {
            connections.remove(0);
            log_closed(endpoint, "room is needed for another one");
        }
    }

    /// A descriptor for one more connection; idle ones give way to it.
    async fn descriptor(&self) -> Descriptor {
        while self.open.get() >= self.most {
            self.close_oldest();
            self.closed.notified().await;
        }
        Descriptor::new(&self.open, &self.closed)
    }

    /// A connection for a call, and whether it is a new one.
    async fn connection(
        &self,
        call: &Call,
        limit: ConnectBy,
        carried: Option<&mut CarriedCall>,
    ) -> Result<(Connection, bool), Outcome> {
        if let Some(stream) = carried.and_then(|carried| carried.stream.take()) {
            let descriptor = Descriptor::new(&self.open, &self.closed);
            let connected = async { handshake(call.address, TcpStream::from_std(stream)?, descriptor).await };
            // It was written, so that it may have run.
            return connected.await.map(|connection| (connection, true)).map_err(|_| Outcome::Reset);
        }
        if !call.may_have_run {
            if let Some(kept) = self.take(call.endpoint, call.address).await {
                return Ok((kept, false));
            }
        }
        Ok((self.open(call.address, limit).await?, true))
    }

    async fn open(&self, address: SocketAddr, limit: ConnectBy) -> Result<Connection, Outcome> {
        // Without a descriptor nothing was tried, which says nothing of the endpoint.
        let descriptor = timeout_at(limit.at, self.descriptor()).await.map_err(|_| Outcome::Moot)?;
        // Refused, or it never came up: nothing was sent.
        match timeout_at(limit.at, connect(address, descriptor)).await {
            Ok(Ok(connection)) => Ok(connection),
            Ok(Err(_)) => Err(Outcome::ConnectFailed),
            Err(_) => Err(limit.past),
        }
    }

    /// Makes one call; `progress` tells how much of it has been written. One that was carried over goes on where the process
    /// before left it. Nothing is written after `send_by`.
    pub async fn call(
        self: &Rc<Self>,
        call: Call,
        send_by: Option<Instant>,
        mut stop: oneshot::Receiver<Stop>,
        progress: Rc<Progress>,
        mut carried: Option<CarriedCall>,
    ) -> Ended {
        let elapsed = carried.as_ref().map_or(Duration::ZERO, |carried| carried.elapsed);
        let start = Instant::now().checked_sub(elapsed).unwrap_or_else(Instant::now);
        let end = start + call.try_for;
        let ended = |outcome| Ended { outcome, latency: start.elapsed(), complete: false, allowance: None };
        loop {
            let limit = ConnectBy::new(end.min(start + self.connect_timeout), send_by);
            // One that was carried over has been sent: when it is stopped, it may have run.
            let is_unsent = carried.is_none();
            let (mut connection, fresh) = tokio::select! {
                biased;
                reason = &mut stop, if is_unsent => return ended(never_sent(reason.ok())),
                ready = self.connection(&call, limit, carried.as_mut()) => match ready {
                    Ok(ready) => ready,
                    Err(outcome) => return ended(outcome),
                },
            };
            let (port, before) = (connection.wire.local_port(), connection.wire.calls());
            debug!(target: TRAIL, id = call.id, fresh, port, before, after = ?start.elapsed(), "its connection is there");
            let Ok(request) = request(&call) else { return ended(Outcome::Moot) };
            let wire = connection.wire.clone();
            wire.begin(call.body.len(), progress.clone(), send_by);
            if let Some(carried) = carried.take() {
                wire.go_on(carried.answer, carried.earlier);
            }
            let end_of_call = tokio::select! {
                biased;
                answer = send(&mut connection.sender, request) => match answer {
                    // Both may be due at once: what was not read in time was perhaps not written in time, and a message
                    // that was not delivered and has no notice is lost. A notice too many does no harm.
                    Ok(_) if wire.status() == Some(200) && !wire.is_delivered_by(end) => End::TimedOut,
                    Ok(response) => {
                        let (status, after) = (response.status().as_u16(), start.elapsed());
                        let copies = wire.copies();
                        debug!(target: TRAIL, id = call.id, port, before, copies, status, ?after, "it is answered");
                        return self.read(call.endpoint, connection, response, start, end).await;
                    }
                    Err(_) => End::Broken,
                },
                () = sleep_until(end) => End::TimedOut,
                () = wire.head_is_late(HEAD) => End::Broken,
                reason = &mut stop => End::Stopped(reason.ok()),
            };
            let latency = start.elapsed();
            let ((written, read), copies) = (wire.counts(), wire.copies());
            debug!(target: TRAIL, id = call.id, ?end_of_call, written, read, copies, status = wire.status(), "it ends without an answer");
            let outcome = match end_of_call {
                // Not a byte of it was written: it has never run. That it was too late for it says nothing of the endpoint.
                End::Broken | End::TimedOut if wire.is_untouched() && wire.is_too_late() => Outcome::Moot,
                End::Broken if wire.is_untouched() && !fresh => {
                    // A kept connection that turned out to be closed, or to hold bytes that belong to no call:
                    // it goes out on another one.
                    log_stray(call.endpoint, &wire, "between two calls");
                    debug!(target: TRAIL, id = call.id, "it goes out on another connection");
                    continue;
                }
                End::Stopped(reason) if wire.is_untouched() => never_sent(reason),
                End::Broken | End::TimedOut if wire.is_untouched() => Outcome::ConnectFailed,
                // What the first line says is true, whatever came behind it, where it cannot be a copy.
                _ if wire.is_delivered_by(end) && wire.answers.borrow().is_empty() => Outcome::Ok,
                End::Broken if wire.is_answered() => Outcome::Spoilt,
                // Some of it was written, and how much of that arrived cannot be told: it may have run.
                End::Broken => Outcome::Reset,
                End::TimedOut => Outcome::Timeout,
                End::Stopped(_) => Outcome::Cancelled,
            };
            // First, whatever ended it: until then the endpoint may still have the call.
            connection.give_up().await;
            return Ended { latency, complete: outcome == Outcome::Ok, ..ended(outcome) };
        }
    }

    /// Reads an answer. A delivery is believed of its first line where it is the first answer of its connection. All else is
    /// believed only of an answer that is whole: the endpoint has let go of the call by then, and a copy of an earlier answer
    /// can be told from a delivery.
    async fn read(
        self: &Rc<Self>,
        endpoint: EndpointId,
        connection: Connection,
        response: Response<Incoming>,
        start: Instant,
        end: Instant,
    ) -> Ended {
        let ended = read_answer(&response, start.elapsed());
        let is_first = connection.wire.answers.borrow().is_empty();
        let rest = finish(self.clone(), endpoint, connection, response, end);
        if ended.outcome == Outcome::Ok && is_first {
            tokio::task::spawn_local(rest);
            return ended;
        }
        if rest.await {
            ended
        } else {
            Ended { outcome: Outcome::Spoilt, complete: false, allowance: None, ..ended }
        }
    }
}

/// Says that a kept connection was closed by the endpoint, or that bytes came on it that answer no call.
fn log_stray(endpoint: EndpointId, wire: &Wire, when: &str) {
    let (port, calls) = (wire.local_port(), wire.calls());
    debug!(target: TRAIL, endpoint = endpoint.0, port, calls, when, "bytes that answer no call, or an end");
}

/// Says why idle connections to an endpoint are closed.
fn log_closed(endpoint: EndpointId, reason: &str) {
    debug!(target: TRAIL, endpoint = endpoint.0, reason, "idle connections are closed");
}

/// Until when a connection may come up, and what it means that it has not.
#[derive(Clone, Copy)]
struct ConnectBy {
    at: Instant,
    past: Outcome,
}

impl ConnectBy {
    /// An endpoint that is given the usual time and does not come up is out of reach; one that is given less, as its call
    /// may not be sent any more, may not be.
    fn new(usual: Instant, send_by: Option<Instant>) -> Self {
        match send_by {
            Some(at) if at < usual => ConnectBy { at, past: Outcome::Moot },
            _ => ConnectBy { at: usual, past: Outcome::ConnectFailed },
        }
    }
}

/// How a call came to its end without the head of an answer.
#[derive(Clone, Copy, Debug)]
enum End {
    Broken,
    TimedOut,
    Stopped(Option<Stop>),
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

/// Reads the rest of an answer, by the end of its call; false where it is not whole or may belong to another call, and its
/// connection is given up.
async fn finish(
    pool: Rc<Pool>,
    endpoint: EndpointId,
    mut connection: Connection,
    answer: Response<Incoming>,
    end: Instant,
) -> bool {
    let is_delivery = answer.status() == StatusCode::OK;
    // Where its end is told in two ways, one of them may be wrong.
    let headers = answer.headers();
    let two_ends = headers.contains_key("content-length") && headers.contains_key("transfer-encoding");
    let Some(body) = whole_body(answer, end).await else {
        debug!(target: TRAIL, endpoint = endpoint.0, port = connection.wire.local_port(), "an answer is not whole");
        connection.give_up().await;
        return false;
    };
    if is_delivery && !pool.accept(endpoint, &connection.wire, &body) {
        connection.give_up().await;
        return false;
    }
    // A copy of a refusal or an error could be told from the next one by nothing.
    if is_delivery && !two_ends && pool.may_be_used_again(endpoint, &connection.wire) {
        tokio::task::spawn_local(async move {
            // Ready once all of the answer is read, and closed when something came behind it: the connection's
            // own task has looked by then.
            if let Ok(Ok(())) = timeout(DRAIN, connection.sender.ready()).await {
                yield_now().await;
                connection.wire.remember_answer();
                if !connection.wire.is_quiet() {
                    log_stray(endpoint, &connection.wire, "behind an answer");
                } else if pool.may_be_used_again(endpoint, &connection.wire) {
                    pool.put(endpoint, connection);
                }
            }
        });
    }
    true
}

async fn connect(address: SocketAddr, descriptor: Descriptor) -> io::Result<Connection> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    handshake(address, stream, descriptor).await
}

async fn handshake(address: SocketAddr, stream: TcpStream, descriptor: Descriptor) -> io::Result<Connection> {
    let wire = Rc::new(Wire::new(stream, descriptor));
    let io = TokioIo::new(WireStream(wire.clone()));
    let handshake = http1::Builder::new().title_case_headers(true).max_buf_size(LONGEST_HEAD).handshake(io);
    let (sender, mut connection) = handshake.await.map_err(io::Error::other)?;
    let (library, dropped) = oneshot::channel();
    tokio::task::spawn_local(async move {
        tokio::select! {
            // First, as a given-up answer would also end the connection, without the wait for the other side.
            biased;
            _ = dropped => {}
            _ = &mut connection => {}
        }
    });
    Ok(Connection { address, sender, wire, library, idle_since: Instant::now() })
}

mod answer;
#[cfg(test)]
mod tests;
