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

use response::{parse_response_head, read_body, BODY_TIMEOUT};

use crate::tracked_connection::{Descriptor, TrackedConnection, TrackedStream, WriteProgress};

/// Idle connections are closed after this part of the endpoint's own limit, so that no call meets its closing.
const IDLE_TIME_FRACTION: f64 = 0.7;
/// How long a connection rests before it is used again, so that bytes right behind an answer are seen before they
/// could be taken for the next one. A new connection would take longer.
const REUSE_DELAY: Duration = Duration::from_millis(5);
/// How long a given-up connection may take to be closed by the other side before it is dropped.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(40);
/// Longest head of an answer.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// From the first byte of an answer to the end of its head: one that takes longer is broken.
const HEAD_TIMEOUT: Duration = Duration::from_millis(250);

type RequestSender = SendRequest<Full<Bytes>>;

/// An open connection. Dropping it closes it.
struct Connection {
    address: SocketAddr,
    sender: RequestSender,
    stream: Rc<TrackedConnection>,
    /// The http_task_guard has the connection until this is dropped.
    http_task_guard: oneshot::Sender<()>,
    idle_since: Instant,
}

impl Connection {
    /// Gives up the call that is out: ends the sending side and waits, for a moment, until the endpoint has
    /// closed too. Only then has it let go of the call, so that the slot is free and a next attempt is no
    /// second copy.
    async fn abandon(self) {
        let Connection { stream, http_task_guard, .. } = self;
        // The http_task_guard writes and reads no more.
        drop(http_task_guard);
        let _ = timeout(CLOSE_TIMEOUT, stream.shutdown_and_drain()).await;
    }
}

/// A call that the process before has written.
pub struct CarriedCall {
    /// Its connection, not blocking.
    pub stream: Option<std::net::TcpStream>,
    /// What was read of its answer.
    pub response_bytes: Vec<u8>,
    /// What its connection has brought before.
    pub earlier_answers: ConnectionAnswers,
    /// How long it has taken.
    pub elapsed: Duration,
}

/// The connections to endpoints. Those that are idle are kept by endpoint, the newest last: an address may belong
/// to another endpoint by now, which must not be given what is left of the one before.
pub struct ConnectionPool {
    idle: RefCell<HashMap<EndpointId, Vec<Connection>>>,
    /// What the answers of each endpoint in use are like.
    endpoint_answers: RefCell<HashMap<EndpointId, EndpointAnswers>>,
    /// Descriptors in use: idle, with a call, ending an answer, or being given up.
    open_descriptors: Rc<Cell<usize>>,
    descriptor_released: Rc<Notify>,
    connect_timeout: Duration,
    max_idle_time: Duration,
    max_open: usize,
    max_idle: usize,
    idle_share: RefCell<IdleShare>,
    #[cfg(feature = "broken")]
    accepts_copies: Cell<bool>,
}

impl ConnectionPool {
    /// At max_open `max_open` connections are open at a time, and `max_idle` of them idle.
    pub fn new(
        connect_timeout: Duration,
        conn_idle: Duration,
        max_open: usize,
        max_idle: usize,
        idle_share: IdleShare,
    ) -> Self {
        ConnectionPool {
            idle: RefCell::default(),
            endpoint_answers: RefCell::default(),
            open_descriptors: Rc::default(),
            descriptor_released: Rc::default(),
            connect_timeout,
            max_idle_time: conn_idle.mul_f64(IDLE_TIME_FRACTION),
            max_open,
            max_idle,
            idle_share: RefCell::new(idle_share),
            #[cfg(feature = "broken")]
            accepts_copies: Cell::default(),
        }
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_idle(&self, endpoint: EndpointId) {
        if self.idle.borrow_mut().remove(&endpoint).is_some() {
            log_closed(endpoint, "they are not trusted any more");
        }
    }

    /// Closes the idle connections to all endpoints but some.
    pub fn retain_endpoints(&self, is_wanted: impl Fn(EndpointId) -> bool) {
        self.idle.borrow_mut().retain(|endpoint, _| {
            let is_kept = is_wanted(*endpoint);
            if !is_kept {
                log_closed(*endpoint, "the endpoint gets nothing new");
            }
            is_kept
        });
        self.endpoint_answers.borrow_mut().retain(|endpoint, _| is_wanted(*endpoint));
    }

    /// Closes what has been idle for too long or was closed by the other side.
    pub fn close_expired(&self) {
        let mut idle = self.idle.borrow_mut();
        for (endpoint, connections) in idle.iter_mut() {
            let before = connections.len();
            connections.retain(|c| self.is_usable(c));
            if connections.len() < before {
                log_closed(*endpoint, "they were idle for too long, or closed by the endpoint");
            }
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    fn is_usable(&self, connection: &Connection) -> bool {
        connection.idle_since.elapsed() < self.max_idle_time && !connection.sender.is_closed()
    }

    /// A kept connection, once one has rested; none if there is none.
    async fn take_idle(&self, endpoint: EndpointId, address: SocketAddr) -> Option<Connection> {
        loop {
            let usable_at = {
                let mut idle = self.idle.borrow_mut();
                let connections = idle.get_mut(&endpoint)?;
                connections.retain(|c| c.address == address && self.is_usable(c));
                let oldest = connections.first()?.idle_since;
                if let Some(at) = connections.iter().rposition(|c| c.idle_since.elapsed() >= REUSE_DELAY) {
                    return Some(connections.remove(at));
                }
                oldest + REUSE_DELAY
            };
            sleep_until(usable_at).await;
        }
    }

    /// Takes whatever comes first behind a call for its answer.
    #[cfg(feature = "broken")]
    pub fn accept_copies(&self, believes: bool) {
        self.accepts_copies.set(believes);
    }

    /// Whether a delivery belongs to the call that was out on its connection; learns from it what the endpoint's answers are
    /// like.
    fn accept_delivery(&self, endpoint: EndpointId, stream: &TrackedConnection, body: &[u8]) -> bool {
        #[cfg(feature = "broken")]
        if self.accepts_copies.get() {
            return true;
        }
        let fingerprint = Fingerprint::of(body);
        let accepted = stream.earlier_answers.borrow_mut().accept(fingerprint);
        let mut answers = self.endpoint_answers.borrow_mut();
        let endpoint_answers = answers.entry(endpoint).or_default();
        match accepted {
            Ok(()) => endpoint_answers.observe(fingerprint),
            Err(doubt) => {
                endpoint_answers.doubt();
                let (port, calls) = (stream.local_port(), stream.call_count());
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
    fn may_reuse(&self, endpoint: EndpointId, stream: &TrackedConnection) -> bool {
        #[cfg(feature = "broken")]
        if self.accepts_copies.get() {
            return true;
        }
        let is_distinguishable =
            self.endpoint_answers.borrow().get(&endpoint).is_some_and(EndpointAnswers::differ);
        is_distinguishable && stream.earlier_answers.borrow().allow_another_call()
    }

    fn keep_idle(&self, endpoint: EndpointId, mut connection: Connection) {
        if !self.idle_share.borrow_mut().keeps() {
            return log_closed(endpoint, "it is not kept, so that the endpoint has room for others");
        }
        connection.idle_since = Instant::now();
        if self.idle.borrow().values().map(Vec::len).sum::<usize>() >= self.max_idle {
            self.close_oldest_idle();
        }
        self.idle.borrow_mut().entry(endpoint).or_default().push(connection);
    }

    /// Closes the connection that has been idle for longest; each list has its oldest first.
    fn close_oldest_idle(&self) {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle.iter().filter_map(|(at, c)| c.first().map(|c| (c.idle_since, *at))).min();
        let Some((_, endpoint)) = oldest else { return };
        if let Some(connections) = idle.get_mut(&endpoint) {
            connections.remove(0);
            log_closed(endpoint, "room is needed for another one");
        }
    }

    /// A descriptor for one more connection; idle ones give way to it.
    async fn acquire_descriptor(&self) -> Descriptor {
        while self.open_descriptors.get() >= self.max_open {
            self.close_oldest_idle();
            self.descriptor_released.notified().await;
        }
        Descriptor::new(&self.open_descriptors, &self.descriptor_released)
    }

    /// A connection for a call, and whether it is a new one.
    async fn connection_for(
        &self,
        call: &Call,
        limit: ConnectLimit,
        carried: Option<&mut CarriedCall>,
    ) -> Result<(Connection, bool), Outcome> {
        if let Some(stream) = carried.and_then(|carried| carried.stream.take()) {
            let descriptor = Descriptor::new(&self.open_descriptors, &self.descriptor_released);
            let connected = async { handshake(call.address, TcpStream::from_std(stream)?, descriptor).await };
            // It was written, so that it may have run.
            return connected.await.map(|connection| (connection, true)).map_err(|_| Outcome::Reset);
        }
        if !call.may_have_run {
            if let Some(idle) = self.take_idle(call.endpoint, call.address).await {
                return Ok((idle, false));
            }
        }
        Ok((self.open_connection(call.address, limit).await?, true))
    }

    async fn open_connection(&self, address: SocketAddr, limit: ConnectLimit) -> Result<Connection, Outcome> {
        // Without a descriptor nothing was tried, which says nothing of the endpoint.
        let descriptor =
            timeout_at(limit.deadline, self.acquire_descriptor()).await.map_err(|_| Outcome::Moot)?;
        // Refused, or it never came up: nothing was sent.
        match timeout_at(limit.deadline, connect(address, descriptor)).await {
            Ok(Ok(connection)) => Ok(connection),
            Ok(Err(_)) => Err(Outcome::ConnectFailed),
            Err(_) => Err(limit.timeout_outcome),
        }
    }

    /// Makes one call; `progress` tells how much of it has been written. One that was carried over goes on where the process
    /// before left it. Nothing is written after `send_by`.
    pub async fn call(
        self: &Rc<Self>,
        call: Call,
        send_by: Option<Instant>,
        mut stop: oneshot::Receiver<Stop>,
        progress: Rc<WriteProgress>,
        mut carried: Option<CarriedCall>,
    ) -> Ended {
        let elapsed = carried.as_ref().map_or(Duration::ZERO, |carried| carried.elapsed);
        let started_at = Instant::now().checked_sub(elapsed).unwrap_or_else(Instant::now);
        let end = started_at + call.try_for;
        let ended =
            |outcome| Ended { outcome, latency: started_at.elapsed(), complete: false, allowance: None };
        loop {
            let limit = ConnectLimit::new(end.min(started_at + self.connect_timeout), send_by);
            // One that was carried over has been sent: when it is stopped, it may have run.
            let is_unsent = carried.is_none();
            let (mut connection, is_new) = tokio::select! {
                biased;
                reason = &mut stop, if is_unsent => return ended(outcome_if_unsent(reason.ok())),
                ready = self.connection_for(&call, limit, carried.as_mut()) => match ready {
                    Ok(ready) => ready,
                    Err(outcome) => return ended(outcome),
                },
            };
            let (port, before) = (connection.stream.local_port(), connection.stream.call_count());
            debug!(target: TRAIL, id = call.id, fresh = is_new, port, before, after = ?started_at.elapsed(), "its connection is there");
            let Ok(request) = build_request(&call) else { return ended(Outcome::Moot) };
            let stream = connection.stream.clone();
            stream.begin_call(call.body.len(), progress.clone(), send_by);
            if let Some(carried) = carried.take() {
                stream.resume_call(carried.response_bytes, carried.earlier_answers);
            }
            let end_of_call = tokio::select! {
                biased;
                result = send_request(&mut connection.sender, request) => match result {
                    // Both may be due at once: what was not read in time was perhaps not written in time, and a message
                    // that was not delivered and has no notice is lost. A notice too many does no harm.
                    Ok(_) if stream.status() == Some(200) && !stream.is_delivered_by(end) => CallEnd::TimedOut,
                    Ok(response) => {
                        let (status, after) = (response.status().as_u16(), started_at.elapsed());
                        let copies = stream.copy_count();
                        debug!(target: TRAIL, id = call.id, port, before, copies, status, ?after, "it is answered");
                        return self.read_response(call.endpoint, connection, response, started_at, end).await;
                    }
                    Err(_) => CallEnd::Broken,
                },
                () = sleep_until(end) => CallEnd::TimedOut,
                () = stream.head_timeout(HEAD_TIMEOUT) => CallEnd::Broken,
                reason = &mut stop => CallEnd::Stopped(reason.ok()),
            };
            let latency = started_at.elapsed();
            let ((written, read), copies) = (stream.byte_counts(), stream.copy_count());
            debug!(target: TRAIL, id = call.id, ?end_of_call, written, read, copies, status = stream.status(), "it ends without an answer");
            let outcome = match end_of_call {
                // Not a byte of it was written: it has never run. That it was too late for it says nothing of the endpoint.
                CallEnd::Broken | CallEnd::TimedOut if stream.is_unwritten() && stream.is_past_send_by() => {
                    Outcome::Moot
                }
                CallEnd::Broken if stream.is_unwritten() && !is_new => {
                    // A kept connection that turned out to be closed, or to hold bytes that belong to no call:
                    // it goes out on another one.
                    log_stray_bytes(call.endpoint, &stream, "between two calls");
                    debug!(target: TRAIL, id = call.id, "it goes out on another connection");
                    continue;
                }
                CallEnd::Stopped(reason) if stream.is_unwritten() => outcome_if_unsent(reason),
                CallEnd::Broken | CallEnd::TimedOut if stream.is_unwritten() => Outcome::ConnectFailed,
                // What the first line says is true, whatever came behind it, where it cannot be a copy.
                _ if stream.is_delivered_by(end) && stream.earlier_answers.borrow().is_empty() => Outcome::Ok,
                CallEnd::Broken if stream.has_response_bytes() => Outcome::Spoilt,
                // Some of it was written, and how much of that arrived cannot be told: it may have run.
                CallEnd::Broken => Outcome::Reset,
                CallEnd::TimedOut => Outcome::Timeout,
                CallEnd::Stopped(_) => Outcome::Cancelled,
            };
            // First, whatever ended it: until then the endpoint may still have the call.
            connection.abandon().await;
            return Ended { latency, complete: outcome == Outcome::Ok, ..ended(outcome) };
        }
    }

    /// Reads an answer. A delivery is believed of its first line where it is the first answer of its connection. All else is
    /// believed only of an answer that is whole: the endpoint has let go of the call by then, and a copy of an earlier answer
    /// can be told from a delivery.
    async fn read_response(
        self: &Rc<Self>,
        endpoint: EndpointId,
        connection: Connection,
        response: Response<Incoming>,
        started_at: Instant,
        end: Instant,
    ) -> Ended {
        let ended = parse_response_head(&response, started_at.elapsed());
        let is_first = connection.stream.earlier_answers.borrow().is_empty();
        let rest = finish_response(self.clone(), endpoint, connection, response, end);
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
fn log_stray_bytes(endpoint: EndpointId, stream: &TrackedConnection, when: &str) {
    let (port, calls) = (stream.local_port(), stream.call_count());
    debug!(target: TRAIL, endpoint = endpoint.0, port, calls, when, "bytes that answer no call, or an end");
}

/// Says why idle connections to an endpoint are closed.
fn log_closed(endpoint: EndpointId, reason: &str) {
    debug!(target: TRAIL, endpoint = endpoint.0, reason, "idle connections are closed");
}

/// Until when a connection may come up, and what it means that it has not.
#[derive(Clone, Copy)]
struct ConnectLimit {
    deadline: Instant,
    timeout_outcome: Outcome,
}

impl ConnectLimit {
    /// An endpoint that is given the usual time and does not come up is out of reach; one that is given less, as its call
    /// may not be sent any more, may not be.
    fn new(usual: Instant, send_by: Option<Instant>) -> Self {
        match send_by {
            Some(at) if at < usual => ConnectLimit { deadline: at, timeout_outcome: Outcome::Moot },
            _ => ConnectLimit { deadline: usual, timeout_outcome: Outcome::ConnectFailed },
        }
    }
}

/// How a call came to its end without the head of an answer.
#[derive(Clone, Copy, Debug)]
enum CallEnd {
    Broken,
    TimedOut,
    Stopped(Option<Stop>),
}

/// A call that was stopped before its first byte never ran.
fn outcome_if_unsent(reason: Option<Stop>) -> Outcome {
    match reason {
        Some(Stop::CalledOff) => Outcome::ConnectFailed,
        Some(Stop::Withdrawn) | None => Outcome::Moot,
    }
}

async fn send_request(
    sender: &mut RequestSender,
    request: Request<Full<Bytes>>,
) -> hyper::Result<Response<Incoming>> {
    sender.ready().await?;
    sender.send_request(request).await
}

fn build_request(call: &Call) -> hyper::http::Result<Request<Full<Bytes>>> {
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
async fn finish_response(
    pool: Rc<ConnectionPool>,
    endpoint: EndpointId,
    mut connection: Connection,
    response: Response<Incoming>,
    end: Instant,
) -> bool {
    let is_delivery = response.status() == StatusCode::OK;
    // Where its end is told in two ways, one of them may be wrong.
    let headers = response.headers();
    let has_conflicting_lengths =
        headers.contains_key("content-length") && headers.contains_key("transfer-encoding");
    let Some(body) = read_body(response, end).await else {
        debug!(target: TRAIL, endpoint = endpoint.0, port = connection.stream.local_port(), "an answer is not whole");
        connection.abandon().await;
        return false;
    };
    if is_delivery && !pool.accept_delivery(endpoint, &connection.stream, &body) {
        connection.abandon().await;
        return false;
    }
    // A copy of a refusal or an error could be told from the next one by nothing.
    if is_delivery && !has_conflicting_lengths && pool.may_reuse(endpoint, &connection.stream) {
        tokio::task::spawn_local(async move {
            // Ready once all of the answer is read, and closed when something came behind it: the connection's
            // own task has looked by then.
            if let Ok(Ok(())) = timeout(BODY_TIMEOUT, connection.sender.ready()).await {
                yield_now().await;
                connection.stream.remember_response();
                if !connection.stream.is_open_and_empty() {
                    log_stray_bytes(endpoint, &connection.stream, "behind an answer");
                } else if pool.may_reuse(endpoint, &connection.stream) {
                    pool.keep_idle(endpoint, connection);
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
    let stream = Rc::new(TrackedConnection::new(stream, descriptor));
    let io = TokioIo::new(TrackedStream(stream.clone()));
    let handshake = http1::Builder::new().title_case_headers(true).max_buf_size(MAX_HEAD_BYTES).handshake(io);
    let (sender, mut connection) = handshake.await.map_err(io::Error::other)?;
    let (http_task_guard, dropped) = oneshot::channel();
    tokio::task::spawn_local(async move {
        tokio::select! {
            // First, as a given-up answer would also end the connection, without the wait for the other side.
            biased;
            _ = dropped => {}
            _ = &mut connection => {}
        }
    });
    Ok(Connection { address, sender, stream, http_task_guard, idle_since: Instant::now() })
}

mod response;
#[cfg(test)]
mod tests;
