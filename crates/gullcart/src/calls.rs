//! Connections to endpoints. A connection carries one call at a time; each call ends with an outcome.

use bytes::Bytes;
use cloverstile::{EndpointId, Outcome};
use gullcart_engine::{
    AnswerFingerprint, Call, CallResult, ConnectionAnswers, EndpointAnswers, IdleConnectionPolicy,
    StopReason, MESSAGE_TRACE_TARGET,
};
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

use crate::tracked_connection::{DescriptorPermit, TrackedConnection, TrackedStream, WriteProgress};

/// Part of the endpoints' own idle timeout after which idle connections are closed here, so that no call meets the other side's
/// close.
const IDLE_TIME_FRACTION: f64 = 0.7;
/// How long a connection stays unused after a response, so that surplus bytes behind the response are noticed before they could
/// pass for the next response. Opening a new connection takes longer.
const REUSE_DELAY: Duration = Duration::from_millis(5);
/// How long the endpoint may take to close an abandoned connection before it is dropped.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(40);
/// Largest head of a response that is accepted.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Time from the first byte of a response to the end of its head; a slower one counts as broken.
const HEAD_TIMEOUT: Duration = Duration::from_millis(250);

type RequestSender = SendRequest<Full<Bytes>>;

/// An open connection to an endpoint, closed when dropped.
struct Connection {
    address: SocketAddr,
    sender: RequestSender,
    /// The connection below the HTTP library.
    stream: Rc<TrackedConnection>,
    /// Keeps the HTTP library's task running; the task ends when this is dropped.
    http_task_guard: oneshot::Sender<()>,
    idle_since: Instant,
}

impl Connection {
    /// Abandons the call in flight: shuts the sending side down and waits briefly until the endpoint has closed too. Only then
    /// has the endpoint finished with the call, so that the slot is free and the next attempt is not a second copy at the
    /// endpoint.
    async fn abandon(self) {
        let Connection { stream, http_task_guard, .. } = self;
        // From here on the HTTP library neither reads nor writes.
        drop(http_task_guard);
        let _ = timeout(CLOSE_TIMEOUT, stream.shutdown_and_drain()).await;
    }
}

/// A call that the previous process has written.
pub struct ResumedCall {
    /// The connection, in non-blocking mode; taken when the call is resumed.
    pub stream: Option<std::net::TcpStream>,
    /// Bytes of the response read so far.
    pub response_bytes: Vec<u8>,
    /// Fingerprints of the responses that the connection has brought before.
    pub earlier_answers: ConnectionAnswers,
    /// Time since the call started.
    pub elapsed: Duration,
}

/// The pool of connections to endpoints. Idle ones are kept by endpoint, the newest last, and not by address: an address may
/// belong to another endpoint by now, which must not get the connections of its predecessor.
pub struct ConnectionPool {
    idle: RefCell<HashMap<EndpointId, Vec<Connection>>>,
    /// Response statistics of each endpoint in use, which show whether its responses can be distinguished.
    endpoint_answers: RefCell<HashMap<EndpointId, EndpointAnswers>>,
    /// Descriptors in use: idle, with a call, reading the rest of a response, or being abandoned.
    open_descriptors: Rc<Cell<usize>>,
    descriptor_released: Rc<Notify>,
    connect_timeout: Duration,
    max_idle_time: Duration,
    max_open: usize,
    max_idle: usize,
    idle_policy: RefCell<IdleConnectionPolicy>,
    #[cfg(feature = "broken")]
    accepts_copies: Cell<bool>,
}

impl ConnectionPool {
    /// A pool of at most `max_open` connections, of which at most `max_idle` are idle.
    pub fn new(
        connect_timeout: Duration,
        connection_idle_timeout: Duration,
        max_open: usize,
        max_idle: usize,
        idle_policy: IdleConnectionPolicy,
    ) -> Self {
        ConnectionPool {
            idle: RefCell::default(),
            endpoint_answers: RefCell::default(),
            open_descriptors: Rc::default(),
            descriptor_released: Rc::default(),
            connect_timeout,
            max_idle_time: connection_idle_timeout.mul_f64(IDLE_TIME_FRACTION),
            max_open,
            max_idle,
            idle_policy: RefCell::new(idle_policy),
            #[cfg(feature = "broken")]
            accepts_copies: Cell::default(),
        }
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_idle(&self, endpoint: EndpointId) {
        if self.idle.borrow_mut().remove(&endpoint).is_some() {
            log_closed(endpoint, "connections no longer trusted");
        }
    }

    /// Closes the idle connections of all endpoints for which `is_wanted` is false.
    pub fn retain_endpoints(&self, is_wanted: impl Fn(EndpointId) -> bool) {
        self.idle.borrow_mut().retain(|endpoint, _| {
            let is_kept = is_wanted(*endpoint);
            if !is_kept {
                log_closed(*endpoint, "the endpoint gets no new calls");
            }
            is_kept
        });
        self.endpoint_answers.borrow_mut().retain(|endpoint, _| is_wanted(*endpoint));
    }

    /// Closes connections that have been idle for too long or were closed by the other side.
    pub fn close_expired(&self) {
        let mut idle = self.idle.borrow_mut();
        for (endpoint, connections) in idle.iter_mut() {
            let before = connections.len();
            connections.retain(|c| self.is_usable(c));
            if connections.len() < before {
                log_closed(*endpoint, "idle for too long, or closed by the endpoint");
            }
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    fn is_usable(&self, connection: &Connection) -> bool {
        connection.idle_since.elapsed() < self.max_idle_time && !connection.sender.is_closed()
    }

    /// Takes an idle connection once one has passed [`REUSE_DELAY`]; none if the endpoint has no idle connection.
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

    /// Injected fault: accepts any response, also a copy of an earlier one.
    #[cfg(feature = "broken")]
    pub fn accept_copies(&self, is_accepted: bool) {
        self.accepts_copies.set(is_accepted);
    }

    /// Whether a 200 response belongs to the call on its connection, and is not a copy of an earlier response. Updates the
    /// endpoint's response statistics.
    fn accept_delivery(&self, endpoint: EndpointId, stream: &TrackedConnection, body: &[u8]) -> bool {
        #[cfg(feature = "broken")]
        if self.accepts_copies.get() {
            return true;
        }
        let fingerprint = AnswerFingerprint::of(body);
        let accepted = stream.earlier_answers.borrow_mut().accept(fingerprint);
        let mut answers = self.endpoint_answers.borrow_mut();
        let endpoint_answers = answers.entry(endpoint).or_default();
        match accepted {
            Ok(()) => endpoint_answers.observe(fingerprint),
            Err(ambiguity) => {
                endpoint_answers.observe_ambiguous();
                let (port, calls) = (stream.local_port(), stream.call_count());
                warn!(
                    endpoint = endpoint.0,
                    port,
                    calls,
                    doubt = ?ambiguity,
                    "a response may be a copy of an earlier one"
                );
            }
        }
        accepted.is_ok()
    }

    /// Whether a connection may carry another call.
    fn may_reuse(&self, endpoint: EndpointId, stream: &TrackedConnection) -> bool {
        #[cfg(feature = "broken")]
        if self.accepts_copies.get() {
            return true;
        }
        let is_distinguishable =
            self.endpoint_answers.borrow().get(&endpoint).is_some_and(EndpointAnswers::are_distinct);
        is_distinguishable && stream.earlier_answers.borrow().can_carry_call()
    }

    /// Keeps a connection for later calls, within the limits.
    fn keep_idle(&self, endpoint: EndpointId, mut connection: Connection) {
        // An endpoint accepts few connections, so each courier keeps only its share of the idle ones.
        if !self.idle_policy.borrow_mut().should_keep() {
            return log_closed(endpoint, "not kept, to leave room at the endpoint for other couriers");
        }
        connection.idle_since = Instant::now();
        if self.idle.borrow().values().map(Vec::len).sum::<usize>() >= self.max_idle {
            self.close_oldest_idle();
        }
        self.idle.borrow_mut().entry(endpoint).or_default().push(connection);
    }

    /// Closes the connection that has been idle longest; each endpoint's list has its oldest first.
    fn close_oldest_idle(&self) {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle.iter().filter_map(|(at, c)| c.first().map(|c| (c.idle_since, *at))).min();
        let Some((_, endpoint)) = oldest else { return };
        if let Some(connections) = idle.get_mut(&endpoint) {
            connections.remove(0);
            log_closed(endpoint, "descriptor needed for another connection");
        }
    }

    /// Waits for a free descriptor, closing idle connections for it.
    async fn acquire_descriptor(&self) -> DescriptorPermit {
        while self.open_descriptors.get() >= self.max_open {
            self.close_oldest_idle();
            self.descriptor_released.notified().await;
        }
        DescriptorPermit::new(&self.open_descriptors, &self.descriptor_released)
    }

    /// A connection for a call, and whether it is new.
    async fn connection_for(
        &self,
        call: &Call,
        limit: ConnectLimit,
        resumed: Option<&mut ResumedCall>,
    ) -> Result<(Connection, bool), Outcome> {
        if let Some(stream) = resumed.and_then(|resumed| resumed.stream.take()) {
            let descriptor = DescriptorPermit::new(&self.open_descriptors, &self.descriptor_released);
            let connected = async { handshake(call.address, TcpStream::from_std(stream)?, descriptor).await };
            // The request was written, so the call may have run.
            return connected.await.map(|connection| (connection, true)).map_err(|_| Outcome::Reset);
        }
        if !call.may_have_run {
            if let Some(idle) = self.take_idle(call.endpoint, call.address).await {
                return Ok((idle, false));
            }
        }
        Ok((self.open_connection(call.address, limit).await?, true))
    }

    /// Opens a connection within `limit`.
    async fn open_connection(&self, address: SocketAddr, limit: ConnectLimit) -> Result<Connection, Outcome> {
        // Without a descriptor nothing was tried, which says nothing about the endpoint.
        let descriptor =
            timeout_at(limit.deadline, self.acquire_descriptor()).await.map_err(|_| Outcome::NotSent)?;
        // Refused or timed out: nothing was sent.
        match timeout_at(limit.deadline, connect(address, descriptor)).await {
            Ok(Ok(connection)) => Ok(connection),
            Ok(Err(_)) => Err(Outcome::ConnectFailed),
            Err(_) => Err(limit.timeout_outcome),
        }
    }

    /// Makes one call and returns how it ended; `progress` shows how much of the request has been written. A call that was
    /// handed over resumes where the previous process left it. Nothing is written after `send_by`.
    pub async fn call(
        self: &Rc<Self>,
        call: Call,
        send_by: Option<Instant>,
        mut stop: oneshot::Receiver<StopReason>,
        progress: Rc<WriteProgress>,
        mut resumed: Option<ResumedCall>,
    ) -> CallResult {
        let elapsed = resumed.as_ref().map_or(Duration::ZERO, |resumed| resumed.elapsed);
        let started_at = Instant::now().checked_sub(elapsed).unwrap_or_else(Instant::now);
        let end = started_at + call.try_for;
        let result_with =
            |outcome| CallResult { outcome, latency: started_at.elapsed(), is_final: false, allowance: None };
        loop {
            let limit = ConnectLimit::new(end.min(started_at + self.connect_timeout), send_by);
            // A call that was handed over has been sent, so it may have run even when it is stopped at once.
            let is_unsent = resumed.is_none();
            let (mut connection, is_new) = tokio::select! {
                biased;
                reason = &mut stop, if is_unsent => return result_with(outcome_if_unsent(reason.ok())),
                ready = self.connection_for(&call, limit, resumed.as_mut()) => match ready {
                    Ok(ready) => ready,
                    Err(outcome) => return result_with(outcome),
                },
            };
            let (port, before) = (connection.stream.local_port(), connection.stream.call_count());
            debug!(target: MESSAGE_TRACE_TARGET, id = call.id, fresh = is_new, port, before, after = ?started_at.elapsed(), "connection ready");
            let Ok(request) = build_request(&call) else { return result_with(Outcome::NotSent) };
            let stream = connection.stream.clone();
            stream.begin_call(call.body.len(), progress.clone(), send_by);
            if let Some(resumed) = resumed.take() {
                stream.resume_call(resumed.response_bytes, resumed.earlier_answers);
            }
            let end_of_call = tokio::select! {
                biased;
                result = send_request(&mut connection.sender, request) => match result {
                    // After a stalled process the response and the timeout may both be due. A response that was not read in
                    // time may not have been written in time either; taking it for a delivery could lose the message, while a
                    // surplus notice is harmless.
                    Ok(_) if stream.status() == Some(200) && !stream.is_delivered_by(end) => CallEnd::TimedOut,
                    Ok(response) => {
                        let (status, after) = (response.status().as_u16(), started_at.elapsed());
                        let copies = stream.copy_count();
                        debug!(target: MESSAGE_TRACE_TARGET, id = call.id, port, before, copies, status, ?after, "response head received");
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
            debug!(target: MESSAGE_TRACE_TARGET, id = call.id, ?end_of_call, written, read, copies, status = stream.status(), "call ended without a response head");
            let outcome = match end_of_call {
                // Not a byte was written, so the call never ran. A missed `send_by` says nothing about the endpoint.
                CallEnd::Broken | CallEnd::TimedOut if stream.is_unwritten() && stream.is_past_send_by() => {
                    Outcome::NotSent
                }
                CallEnd::Broken if stream.is_unwritten() && !is_new => {
                    // An idle connection that turned out to be closed, or to hold bytes that belong to no call: the call is
                    // sent on another connection.
                    log_stray_bytes(call.endpoint, &stream, "between two calls");
                    debug!(target: MESSAGE_TRACE_TARGET, id = call.id, "call retried on another connection");
                    continue;
                }
                CallEnd::Stopped(reason) if stream.is_unwritten() => outcome_if_unsent(reason),
                CallEnd::Broken | CallEnd::TimedOut if stream.is_unwritten() => Outcome::ConnectFailed,
                // A status line with 200 counts whatever follows it, unless it may be a copy of an earlier response.
                _ if stream.is_delivered_by(end) && stream.earlier_answers.borrow().is_empty() => Outcome::Ok,
                CallEnd::Broken if stream.has_response_bytes() => Outcome::Malformed,
                // Some of the request was written, and how much of it arrived is unknown: the call may have run.
                CallEnd::Broken => Outcome::Reset,
                CallEnd::TimedOut => Outcome::Timeout,
                CallEnd::Stopped(_) => Outcome::Cancelled,
            };
            // Before the outcome is returned: until the connection is closed, the endpoint may still run the call.
            connection.abandon().await;
            return CallResult { latency, is_final: outcome == Outcome::Ok, ..result_with(outcome) };
        }
    }

    /// Handles a response after its head. A 200 is trusted at once on the connection's first response. Everything else is
    /// trusted only once the response is complete: by then the endpoint has finished with the call, and a copy of an earlier
    /// response can be distinguished from a delivery.
    async fn read_response(
        self: &Rc<Self>,
        endpoint: EndpointId,
        connection: Connection,
        response: Response<Incoming>,
        started_at: Instant,
        end: Instant,
    ) -> CallResult {
        let result = parse_response_head(&response, started_at.elapsed());
        let is_first = connection.stream.earlier_answers.borrow().is_empty();
        let rest = finish_response(self.clone(), endpoint, connection, response, end);
        if result.outcome == Outcome::Ok && is_first {
            tokio::task::spawn_local(rest);
            return result;
        }
        if rest.await {
            result
        } else {
            CallResult { outcome: Outcome::Malformed, is_final: false, allowance: None, ..result }
        }
    }
}

/// Logs that an idle connection was closed by the endpoint, or that it brought bytes that belong to no call.
fn log_stray_bytes(endpoint: EndpointId, stream: &TrackedConnection, when: &str) {
    let (port, calls) = (stream.local_port(), stream.call_count());
    debug!(target: MESSAGE_TRACE_TARGET, endpoint = endpoint.0, port, calls, when, "unexpected bytes, or closed by the endpoint");
}

/// Logs why connections to an endpoint without a call are closed.
fn log_closed(endpoint: EndpointId, reason: &str) {
    debug!(target: MESSAGE_TRACE_TARGET, endpoint = endpoint.0, reason, "idle connections closed");
}

/// By when a connection must be open, and the outcome if it is not.
#[derive(Clone, Copy)]
struct ConnectLimit {
    deadline: Instant,
    timeout_outcome: Outcome,
}

impl ConnectLimit {
    /// An endpoint that does not accept within the usual timeout is unreachable. If `send_by` cuts the timeout short, nothing
    /// is known about the endpoint.
    fn new(usual: Instant, send_by: Option<Instant>) -> Self {
        match send_by {
            Some(at) if at < usual => ConnectLimit { deadline: at, timeout_outcome: Outcome::NotSent },
            _ => ConnectLimit { deadline: usual, timeout_outcome: Outcome::ConnectFailed },
        }
    }
}

/// How a call ended without the head of a response.
#[derive(Clone, Copy, Debug)]
enum CallEnd {
    /// The connection failed, or the response was malformed.
    Broken,
    /// The call's time was up.
    TimedOut,
    /// The courier stopped the call.
    Stopped(Option<StopReason>),
}

/// The outcome of a call that was stopped before its first byte was written, and so never ran. A cancelled call counts
/// as a failed connection; one that was withdrawn says nothing about the endpoint.
fn outcome_if_unsent(reason: Option<StopReason>) -> Outcome {
    match reason {
        Some(StopReason::Cancelled) => Outcome::ConnectFailed,
        Some(StopReason::Withdrawn) | None => Outcome::NotSent,
    }
}

/// Sends a request and waits for the head of the response.
async fn send_request(
    sender: &mut RequestSender,
    request: Request<Full<Bytes>>,
) -> hyper::Result<Response<Incoming>> {
    sender.ready().await?;
    sender.send_request(request).await
}

/// The HTTP request of a call.
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

/// Reads the rest of a response until the end of its call. Returns false, and abandons the connection, if the response is
/// incomplete or may belong to another call.
async fn finish_response(
    pool: Rc<ConnectionPool>,
    endpoint: EndpointId,
    mut connection: Connection,
    response: Response<Incoming>,
    end: Instant,
) -> bool {
    let is_delivery = response.status() == StatusCode::OK;
    // With both headers one of them may be wrong, and the end of the response is ambiguous.
    let headers = response.headers();
    let has_conflicting_lengths =
        headers.contains_key("content-length") && headers.contains_key("transfer-encoding");
    let Some(body) = read_body(response, end).await else {
        debug!(target: MESSAGE_TRACE_TARGET, endpoint = endpoint.0, port = connection.stream.local_port(), "response incomplete");
        connection.abandon().await;
        return false;
    };
    if is_delivery && !pool.accept_delivery(endpoint, &connection.stream, &body) {
        connection.abandon().await;
        return false;
    }
    // Only 200 responses have a body that tells copies apart, so a connection is not reused after any other response.
    if is_delivery && !has_conflicting_lengths && pool.may_reuse(endpoint, &connection.stream) {
        tokio::task::spawn_local(async move {
            // The sender is ready once the whole response is read, and closed if bytes followed it; the connection's own task
            // has checked for them by then.
            if let Ok(Ok(())) = timeout(BODY_TIMEOUT, connection.sender.ready()).await {
                yield_now().await;
                connection.stream.remember_response();
                if !connection.stream.is_open_and_empty() {
                    log_stray_bytes(endpoint, &connection.stream, "after a response");
                } else if pool.may_reuse(endpoint, &connection.stream) {
                    pool.keep_idle(endpoint, connection);
                }
            }
        });
    }
    true
}

/// Opens a connection to an endpoint.
async fn connect(address: SocketAddr, descriptor: DescriptorPermit) -> io::Result<Connection> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    handshake(address, stream, descriptor).await
}

/// Starts the HTTP library on a connected stream.
async fn handshake(
    address: SocketAddr,
    stream: TcpStream,
    descriptor: DescriptorPermit,
) -> io::Result<Connection> {
    let stream = Rc::new(TrackedConnection::new(stream, descriptor));
    let io = TokioIo::new(TrackedStream(stream.clone()));
    let handshake = http1::Builder::new().title_case_headers(true).max_buf_size(MAX_HEAD_BYTES).handshake(io);
    let (sender, mut connection) = handshake.await.map_err(io::Error::other)?;
    let (http_task_guard, dropped) = oneshot::channel();
    tokio::task::spawn_local(async move {
        tokio::select! {
            // Checked first: when a connection is abandoned, its response is dropped as well, which would complete the
            // library's future and close the socket before the other side has closed.
            biased;
            _ = dropped => {}
            _ = &mut connection => {}
        }
    });
    Ok(Connection { address, sender, stream, http_task_guard, idle_since: Instant::now() })
}

mod response;
#[cfg(test)]
pub(crate) mod tests;
