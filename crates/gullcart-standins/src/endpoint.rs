//! Endpoints of partners, served on loopback sockets. Every endpoint has a separate address for each courier, so that the
//! address on which a call arrives identifies the calling courier.

use crate::http::{Request, RequestReader};
use crate::ids;
use crate::partner::{CallOutcome, DuplicateAnswer, Partner};
use crate::Recorder;
use gullcart_judge::trace::*;
use hdrhistogram::Histogram;
use socket2::{Domain, SockRef, Socket, Type};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep_until, timeout};

/// The endpoint closes a connection after it has been idle for this long.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Extra delay of the first answer on a new connection. It stands for the cost of connecting, which loopback does not have.
const HANDSHAKE_DELAY: Duration = Duration::from_millis(10);
/// Length of the accept queue of a listening socket.
pub(crate) const ACCEPT_BACKLOG: i32 = 256;
/// Connections that fill the accept queue of a blocked listener. Linux admits one connection at a backlog of 0; the second is
/// a spare.
const QUEUE_FILLERS: usize = 2;
/// Delay before the next attempt after `accept` has failed.
pub(crate) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// A courier sends nothing between a request and its answer. A stray byte or two is tolerated; a courier that sends this many
/// bytes is treated as having given up the call.
const MAX_UNEXPECTED_BYTES: usize = 256;
/// Upper bound of the lateness histogram, in microseconds; larger values are counted as this one.
const MAX_LATENESS_US: u64 = 60_000_000;

/// What a call for a message must carry.
pub struct ExpectedMessage {
    /// The idempotency key, in classes that use one.
    pub idempotency_key: Option<String>,
    /// The body.
    pub body: Vec<u8>,
}

/// Looks up what a call for a message must carry; `None` if no client enqueued the message.
pub type ExpectedMessageLookup = Rc<dyn Fn(MessageId) -> Option<ExpectedMessage>>;

/// Counters shared by all endpoints of a run.
pub struct Counters {
    /// Calls that are not answered yet.
    pub calls_in_flight: Cell<u32>,
    /// Calls received so far.
    pub calls_received: Cell<u64>,
    /// Calls rejected with backpressure so far.
    pub calls_rejected: Cell<u64>,
    /// Connections accepted so far.
    pub connections_accepted: Cell<u64>,
    /// How much later than scheduled the endpoints acted, in microseconds.
    pub lateness_us: RefCell<Histogram<u64>>,
}

impl Default for Counters {
    fn default() -> Self {
        let lateness_us = Histogram::new_with_bounds(1, MAX_LATENESS_US, 3);
        Counters {
            calls_in_flight: Cell::default(),
            calls_received: Cell::default(),
            calls_rejected: Cell::default(),
            connections_accepted: Cell::default(),
            lateness_us: RefCell::new(
                lateness_us.expect("the bounds are constants that the histogram allows"),
            ),
        }
    }
}

impl Counters {
    /// Records how late an action that was scheduled for `due` happened.
    pub fn record_lateness(&self, due: Timestamp, now: Timestamp) {
        self.lateness_us.borrow_mut().saturating_record(((now - due).as_micros() as u64).max(1));
    }
}

/// What all endpoints of a run share.
#[derive(Clone)]
pub struct EndpointContext {
    /// Receives every event.
    pub recorder: Recorder,
    /// Looks up enqueued messages.
    pub expected_message: ExpectedMessageLookup,
    /// Counters of the run.
    pub counters: Rc<Counters>,
}

/// One endpoint of a partner, independent of addresses: an [`EndpointListener`] for each courier accepts its connections.
pub struct Endpoint {
    /// Identifies it in the trace.
    pub id: EndpointId,
    /// The partner that it belongs to.
    pub partner_id: PartnerId,
    /// The model that decides the outcome of each call.
    pub partner: Rc<RefCell<Partner>>,
    /// Index of the endpoint in the model.
    pub index: usize,
    /// Whether answers carry an `X-Load-Report` header.
    pub reports_limit: bool,
    /// Incremented to reset all open connections.
    reset_requests: watch::Sender<u32>,
}

impl Endpoint {
    /// An endpoint that no listener serves yet.
    pub fn new(
        id: EndpointId,
        partner_id: PartnerId,
        partner: Rc<RefCell<Partner>>,
        index: usize,
        reports_limit: bool,
    ) -> Self {
        Endpoint { id, partner_id, partner, index, reports_limit, reset_requests: watch::Sender::new(0) }
    }

    /// Resets all connections to the endpoint.
    pub fn reset_connections(&self) {
        self.reset_requests.send_modify(|count| *count += 1);
    }
}

/// The address at which one courier reaches an endpoint. The endpoint can be replaced by another one at the same address.
pub struct EndpointListener {
    address: SocketAddr,
    /// Bound but not listening: reserves the port while connections are refused.
    _reserved_port: Socket,
    context: EndpointContext,
    courier: CourierId,
    /// The endpoint that is served. Shared with the accepting task, so that a replacement takes effect there.
    endpoint: Rc<RefCell<Rc<Endpoint>>>,
    /// `None` while connections are refused.
    listener: RefCell<Option<Rc<TcpListener>>>,
    accepting: RefCell<Option<JoinHandle<()>>>,
    /// Connections that fill the accept queue while the address is blocked, so that no other connection is established.
    fillers: RefCell<Vec<Socket>>,
}

/// A non-blocking socket that is bound to `address`, which further sockets may bind too.
pub(crate) fn bind_reusable(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_port(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

impl EndpointListener {
    /// Listens on a new port.
    pub fn open(context: &EndpointContext, courier: CourierId, endpoint: Rc<Endpoint>) -> io::Result<Self> {
        let reserved = bind_reusable(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let address = reserved.local_addr()?;
        let address = address.as_socket().ok_or_else(|| io::Error::other("the socket has no IP address"))?;
        let endpoint_listener = EndpointListener {
            address,
            _reserved_port: reserved,
            context: context.clone(),
            courier,
            endpoint: Rc::new(RefCell::new(endpoint)),
            listener: RefCell::default(),
            accepting: RefCell::default(),
            fillers: RefCell::default(),
        };
        endpoint_listener.reopen()?;
        Ok(endpoint_listener)
    }

    /// The address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts connections again after they were refused or blocked.
    pub fn reopen(&self) -> io::Result<()> {
        if self.accepting.borrow().is_some() {
            return Ok(());
        }
        let current = self.listener.borrow().clone();
        let listener = match current {
            // It was blocked: the fillers are accepted and closed. Pending connections are established when the kernel of
            // their client retransmits the SYN.
            Some(listener) => {
                let socket = SockRef::from(&*listener);
                socket.listen(ACCEPT_BACKLOG)?;
                self.fillers.take().iter().for_each(|_| drop(socket.accept()));
                listener
            }
            None => {
                let socket = bind_reusable(self.address)?;
                socket.listen(ACCEPT_BACKLOG)?;
                Rc::new(TcpListener::from_std(socket.into())?)
            }
        };
        *self.listener.borrow_mut() = Some(listener.clone());
        let (context, courier, endpoint) = (self.context.clone(), self.courier, self.endpoint.clone());
        *self.accepting.borrow_mut() = Some(spawn_local(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else {
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                };
                context.counters.connections_accepted.set(context.counters.connections_accepted.get() + 1);
                let (context, endpoint) = (context.clone(), endpoint.borrow().clone());
                spawn_local(async move {
                    let reader = RequestReader::default();
                    let connection =
                        Connection { context, courier, endpoint, stream, reader, last_ok_answer: None };
                    // An error only ends the connection; a call that it cuts is recorded where it is served.
                    let _ = connection.serve().await;
                });
            }
        }));
        Ok(())
    }

    /// Refuses new connections; open ones stay.
    pub fn refuse_connections(&self) {
        if let Some(accepting) = self.accepting.borrow_mut().take() {
            accepting.abort();
        }
        self.listener.take();
        self.fillers.take();
    }

    /// Blocks new connections until [`EndpointListener::reopen`]: the accept queue is full, so the kernel drops SYN packets.
    /// Open connections stay.
    pub fn block_connections(&self) -> io::Result<()> {
        let Some(accepting) = self.accepting.take() else { return Ok(()) };
        accepting.abort();
        let Some(listener) = &*self.listener.borrow() else { return Ok(()) };
        SockRef::from(&**listener).listen(0)?;
        for _ in 0..QUEUE_FILLERS {
            let filler = Socket::new(Domain::IPV4, Type::STREAM, None)?;
            filler.set_nonblocking(true)?;
            // The connection is established or waits in the queue; both fill it.
            let _ = filler.connect(&self.address.into());
            self.fillers.borrow_mut().push(filler);
        }
        Ok(())
    }

    /// Serves another endpoint on connections that are accepted from now on.
    pub fn replace_endpoint(&self, endpoint: Rc<Endpoint>) {
        *self.endpoint.borrow_mut() = endpoint;
    }
}

impl Drop for EndpointListener {
    fn drop(&mut self) {
        self.refuse_connections();
    }
}

/// A courier's connection to an endpoint.
struct Connection {
    context: EndpointContext,
    courier: CourierId,
    endpoint: Rc<Endpoint>,
    stream: TcpStream,
    reader: RequestReader,
    /// The bytes of the last answer if that was a 200, for a duplicate of it.
    last_ok_answer: Option<Vec<u8>>,
}

impl Connection {
    /// Serves calls one after the other until the connection ends.
    async fn serve(mut self) -> io::Result<()> {
        self.stream.set_nodelay(true)?;
        let mut reset_requests = self.endpoint.reset_requests.subscribe();
        let recorder = self.context.recorder.clone();
        let mut is_first_call = true;
        loop {
            let request = tokio::select! {
                biased;
                _ = reset_requests.changed() => return self.reset(),
                request = timeout(IDLE_TIMEOUT, self.reader.next(&mut self.stream, || recorder.now())) => request,
            };
            // Idle for too long, or closed by the courier between two requests.
            let Some(request) = request.unwrap_or(Ok(None))? else { return Ok(()) };
            let counters = self.context.counters.clone();
            counters.calls_received.set(counters.calls_received.get() + 1);
            counters.calls_in_flight.set(counters.calls_in_flight.get() + 1);
            let keep_open =
                self.serve_call(&request, &mut reset_requests, std::mem::take(&mut is_first_call)).await;
            counters.calls_in_flight.set(counters.calls_in_flight.get() - 1);
            if !keep_open? {
                return Ok(());
            }
        }
    }

    /// Makes the connection end with a reset when it is dropped.
    fn reset(&self) -> io::Result<()> {
        SockRef::from(&self.stream).set_linger(Some(Duration::ZERO))
    }

    /// Serves one call; returns whether the connection can serve another one.
    async fn serve_call(
        &mut self,
        request: &Request,
        reset_requests: &mut watch::Receiver<u32>,
        is_first_call: bool,
    ) -> io::Result<bool> {
        let context = self.context.clone();
        let call = CallId(context.counters.calls_received.get());
        let message = request.header("x-call-id").and_then(ids::parse_wire_id);
        let expected = message.and_then(|message| (context.expected_message)(message));
        // Only recorded, for the checks of the trace: a call with a changed key or body is answered as any other.
        let intact = expected.as_ref().is_some_and(|expected| {
            let key = request.header("idempotency-key").map(str::to_owned);
            expected.idempotency_key == key && expected.body == request.body
        });
        let at = context.recorder.record(Event::CallReceived {
            call,
            message: message.filter(|_| expected.is_some()),
            courier: self.courier,
            endpoint: self.endpoint.id,
            partner: self.endpoint.partner_id,
            first_byte: request.first_byte,
            intact,
        });
        if expected.is_none() {
            self.answer(call, Answer::Error, "400 Bad Request", "").await?;
            return Ok(false);
        }
        let duplicate = self.last_ok_answer.take().zip(self.duplicate_answer());
        let rejected_after = duplicate.as_ref().and_then(|(_, duplicate)| duplicate.rejected_after);
        let outcome = match rejected_after {
            Some(_) => CallOutcome::Rejected(None),
            None => self.endpoint.partner.borrow_mut().handle_call(self.endpoint.index, at),
        };
        let handshake = if is_first_call { HANDSHAKE_DELAY } else { Duration::ZERO };
        let due = match outcome {
            CallOutcome::Success(at)
            | CallOutcome::Error(at)
            | CallOutcome::Reset(at)
            | CallOutcome::Malformed(at) => Some(at + handshake),
            CallOutcome::Rejected(_) => Some(at + rejected_after.unwrap_or(handshake)),
            CallOutcome::NoAnswer => None,
        };
        if let Some((bytes, duplicate)) = duplicate {
            if let Err(by) = self.wait(Some(at + duplicate.delay), reset_requests).await {
                return self.close_unanswered(call, by);
            }
            if self.stream.write_all(&bytes).await.is_err() {
                return self.close_unanswered(call, ClosedBy::Courier);
            }
        }
        if let Err(by) = self.wait(due, reset_requests).await {
            return self.close_unanswered(call, by);
        }
        match outcome {
            CallOutcome::Success(_) => self.answer(call, Answer::Ok, "200 OK", "").await?,
            CallOutcome::Error(_) => self.answer(call, Answer::Error, "500 Oops", "").await?,
            CallOutcome::Rejected(retry_after) => {
                context.counters.calls_rejected.set(context.counters.calls_rejected.get() + 1);
                // Rounded up, and at least 1: 0 would mean no wait.
                match retry_after.map(|wait| wait.as_micros().div_ceil(1000).max(1) as u64) {
                    Some(ms) => {
                        let header = format!("X-Come-Back-Ms: {ms}\r\n");
                        self.answer(call, Answer::Rejected(Some(ms)), "429 Too Many", &header).await?;
                    }
                    None => self.answer(call, Answer::Rejected(None), "503 Full", "").await?,
                }
            }
            CallOutcome::Reset(_) | CallOutcome::NoAnswer => {
                return self.close_unanswered(call, ClosedBy::Partner)
            }
            CallOutcome::Malformed(_) => {
                let (answer, bytes) = malformed_response(call);
                self.stream.write_all(bytes).await?;
                context.recorder.record(Event::CallAnswered { call, answer });
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// Asks the model whether to send the last answer once more during the current call.
    fn duplicate_answer(&self) -> Option<DuplicateAnswer> {
        self.endpoint.partner.borrow_mut().duplicate_answer(self.endpoint.index)
    }

    /// Records that a call ended without an answer, by whom. The connection is reset if the partner ended the call.
    fn close_unanswered(&self, call: CallId, by: ClosedBy) -> io::Result<bool> {
        self.context.recorder.record(Event::CallAborted { call, closed_by: by });
        if by == ClosedBy::Partner {
            self.reset()?;
        }
        Ok(false)
    }

    /// Waits until an answer is due, and further while the endpoint is stalled; without a due time, until the call ends. Returns
    /// an error if the call ends before, with who ended it.
    async fn wait(
        &mut self,
        mut due: Option<Timestamp>,
        reset_requests: &mut watch::Receiver<u32>,
    ) -> Result<(), ClosedBy> {
        let recorder = self.context.recorder.clone();
        let mut unexpected = Vec::new();
        loop {
            // Without a due time, the timer only wakes the loop once an hour.
            let far_future = recorder.now() + Duration::from_secs(3600);
            tokio::select! {
                biased;
                _ = reset_requests.changed() => return Err(ClosedBy::Partner),
                read = self.stream.read_buf(&mut unexpected) => match read {
                    // See MAX_UNEXPECTED_BYTES. 0 bytes mean that the courier has closed its sending side.
                    Ok(count) if count > 0 && unexpected.len() < MAX_UNEXPECTED_BYTES => {}
                    _ => return Err(ClosedBy::Courier),
                },
                () = sleep_until(recorder.instant(due.unwrap_or(far_future))) => {
                    let stalled_until = self.endpoint.partner.borrow().stalled_until(self.endpoint.index);
                    match (due, stalled_until.filter(|until| *until > recorder.now())) {
                        (Some(_), Some(until)) => due = Some(until),
                        (Some(at), None) => {
                            self.context.counters.record_lateness(at, recorder.now());
                            return Ok(());
                        }
                        (None, _) => {}
                    }
                }
            }
        }
    }

    /// Writes an answer and records it.
    async fn answer(&mut self, call: CallId, answer: Answer, status: &str, header: &str) -> io::Result<()> {
        let report = if self.endpoint.reports_limit {
            let (remaining_share, limit) =
                self.endpoint.partner.borrow_mut().limit_report(self.context.recorder.now());
            format!("X-Load-Report: x0={remaining_share:.2},x1={limit:.1}\r\n")
        } else {
            String::new()
        };
        let body = format!("{:016x}", call.0);
        let length = body.len();
        let text = format!("HTTP/1.1 {status}\r\n{header}{report}Content-Length: {length}\r\n\r\n{body}");
        let at = self.context.recorder.now();
        let written = self.stream.write_all(text.as_bytes()).await;
        self.last_ok_answer = (answer == Answer::Ok).then(|| text.into_bytes());
        let event = match written {
            Ok(()) => Event::CallAnswered { call, answer },
            Err(_) => Event::CallAborted { call, closed_by: ClosedBy::Courier },
        };
        self.context.recorder.record_at(at, event);
        written
    }
}

/// One of five malformed responses, by turns: how a courier must read it, and its bytes. The connection ends after it.
fn malformed_response(call: CallId) -> (Answer, &'static [u8]) {
    match call.0 % 5 {
        0 => (Answer::Malformed, b"\x00\xff\x07 no answer at all\r\n\r\n"),
        // A truncated rejection does not count as a rejection.
        1 => (Answer::Malformed, b"HTTP/1.1 503 Full\r\nContent-Length: 90\r\n\r\nand then"),
        2 => (Answer::Malformed, b"HTTP/1.1 429 Later\r\nX-Come-Back-Ms: 50"),
        3 => (Answer::Malformed, b"HTTP/9"),
        // A status line with 200 means delivered, whatever is malformed after it.
        _ => (Answer::Ok, b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 7\r\n\r\nok"),
    }
}
