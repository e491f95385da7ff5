//! The server for clients: reads requests and replies to each, on a bounded number of connections. The protocol is in `resp`.

use bytes::{Bytes, BytesMut};
use socket2::SockRef;
use std::cell::RefCell;
use std::io::{self, Read};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncWriteExt, Interest};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, SemaphorePermit};
use tokio::task::{unconstrained, yield_now};
use tokio::time::{sleep, timeout, timeout_at, Instant};
use tracing::{debug, enabled, warn, Level};

use crate::connection_slots::{ClientLimits, ConnectionSlot, ConnectionSlots, ConnectionState};
use crate::messages::EventSender;
use crate::resp::{decode, encode, parse_enqueue};
use gullcart_engine::{Answer, Enqueue, Input, RateLimitedLog, MESSAGE_TRACE_TARGET, PROCESS_START};

/// Bytes read at a time. A longer request needs one of the permits for long requests.
const READ_CHUNK_BYTES: usize = 4 << 10;
/// How long a new connection may take until the first bytes of its first request.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// How long nothing may arrive of an incomplete request.
const REQUEST_STALL_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a request may take to arrive completely.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a connection may be idle after a request: idle ones occupy slots that other clients need.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a client may take to read a reply. A slower client counts as gone.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// After its shutdown, a connection is read for this long and up to [`MAX_DRAINED_BYTES`]: closing with unread bytes resets the
/// connection, which would destroy a reply on its way.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(4);
/// Bytes read and discarded after a shutdown at most.
const MAX_DRAINED_BYTES: usize = 80 << 20;
/// Bytes discarded at a time.
const DRAIN_CHUNK_BYTES: usize = 64 << 10;
/// Replies to pipelined requests are buffered up to this size.
const REPLY_BUFFER_BYTES: usize = 4 << 10;
/// Requests of one connection that are handled before other connections get a turn.
const REQUESTS_PER_YIELD: usize = 16;
/// While the courier shuts down, how long a new connection may take to bring its first request.
const CLOSING_FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(400);

/// What the courier is doing, as far as it concerns clients' connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// Normal service.
    #[default]
    Serving,
    /// The courier shuts down: connections are closed between two requests.
    Closing,
    /// The last phase of a shutdown: complete requests are answered, nothing more is waited for, and connections are closed.
    Over,
    /// The courier is handed over: connections are released in their current state, to [`Clients::take_handed_over`].
    Moving,
}

/// A client's connection on its way to another process.
pub struct HandedOverClient {
    /// The connection, detached from the runtime.
    pub stream: std::net::TcpStream,
    /// No request has arrived on it yet.
    pub is_new: bool,
    /// Bytes that were read but not processed.
    pub unread_bytes: Vec<u8>,
}

/// The connections of clients.
#[derive(Clone)]
pub struct Clients {
    slots: Rc<ConnectionSlots>,
    events: EventSender,
    phase: watch::Receiver<Phase>,
    /// Connections released for a hand-over; no more than there are slots.
    handed_over: Rc<RefCell<Vec<HandedOverClient>>>,
}

impl Clients {
    /// No connections yet. Requests go to `events`.
    pub fn new(events: EventSender, phase: watch::Receiver<Phase>, limits: ClientLimits) -> Self {
        Clients { slots: Rc::new(ConnectionSlots::new(limits)), events, phase, handed_over: Rc::default() }
    }

    /// Number of connections that may still bring a request or need a reply.
    pub fn active_count(&self) -> usize {
        self.slots.active_count()
    }

    /// Number of open connections, including those that wait for the client to close.
    pub fn open_count(&self) -> usize {
        self.slots.open_count()
    }

    /// Takes the connections that were released for a hand-over.
    pub fn take_handed_over(&self) -> Vec<HandedOverClient> {
        self.handed_over.take()
    }

    /// Serves a connection of the previous process.
    pub fn adopt(&self, client: HandedOverClient) -> io::Result<()> {
        let stream = TcpStream::from_std(client.stream)?;
        self.spawn_connection(stream, BytesMut::from(&client.unread_bytes[..]), client.is_new);
        Ok(())
    }

    /// Serves a connection in a task of its own.
    fn spawn_connection(&self, stream: TcpStream, buffer: BytesMut, is_new: bool) {
        let slot = self.slots.clone().add();
        let (events, phase, handed_over) =
            (self.events.clone(), self.phase.clone(), self.handed_over.clone());
        tokio::task::spawn_local(async move {
            let peer = is_traced().then(|| stream.peer_addr().ok());
            let client = ClientConnection {
                stream,
                events,
                phase,
                slot,
                input: buffer,
                output: Vec::new(),
                handed_over,
            };
            // An error concerns this client alone; accepted messages stay accepted.
            let result = client.run(is_new).await;
            debug!(target: MESSAGE_TRACE_TARGET, ?peer, ended = ?result, "client connection closed");
        });
    }
}

/// Accepts connections until the task is dropped.
pub async fn serve(listener: TcpListener, clients: Clients) {
    let slots = clients.slots.clone();
    let mut accept_errors = RateLimitedLog::default();
    let started_at = Instant::now();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                clients.spawn_connection(stream, BytesMut::new(), true);
                // A slot is kept free, so that a new connection does not stay in the listener's queue.
                slots.wait_for_slot().await;
            }
            Err(error) => {
                if let Some(more) = accept_errors.due(PROCESS_START + started_at.elapsed()) {
                    warn!(%error, more, "cannot accept a client's connection");
                }
                sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

/// A client's connection and its state.
struct ClientConnection {
    // Before the slot: the descriptor is closed before the slot is freed.
    stream: TcpStream,
    events: EventSender,
    phase: watch::Receiver<Phase>,
    input: BytesMut,
    output: Vec<u8>,
    handed_over: Rc<RefCell<Vec<HandedOverClient>>>,
    slot: ConnectionSlot,
}

/// The result of reading more of a request.
#[derive(Debug)]
enum ReadOutcome {
    /// More bytes have arrived.
    More,
    /// The client has closed its side, or a shutdown closes the connection.
    End,
    /// The connection was asked to close between two requests, to free its slot.
    GiveWay,
    /// The request did not arrive completely in time.
    Late,
    /// The courier is handed over, and the connection with it.
    Move,
}

impl ClientConnection {
    /// Serves the connection until it ends or is handed over.
    async fn run(mut self, mut is_new: bool) -> io::Result<()> {
        self.stream.set_nodelay(true)?;
        if !self.input.is_empty() {
            // The runtime has to see first whether the client of a handed-over connection has closed it since.
            yield_now().await;
        }
        let slots = self.slot.slots.clone();
        let mut long_request_permit: Option<SemaphorePermit> = None;
        // When the wait ends for whatever comes next: the first request, the rest of a request, or another request.
        let mut deadline = Instant::now() + FIRST_REQUEST_TIMEOUT;
        let mut served = 0;
        // When the current request started to arrive.
        let mut request_started_at = Instant::now();
        loop {
            if *self.phase.borrow() == Phase::Moving {
                return self.hand_over(is_new).await;
            }
            match decode(&mut self.input) {
                Ok(Some(arguments)) => {
                    self.slot.set_state(ConnectionState::Busy);
                    is_new = false;
                    if self.handle_request(&arguments).await?.is_none() {
                        return Ok(());
                    }
                    served += 1;
                    if served % REQUESTS_PER_YIELD == 0 {
                        yield_now().await;
                    }
                    if self.input.is_empty() {
                        // Frees the memory of a long request.
                        (self.input, long_request_permit) = (BytesMut::new(), None);
                        deadline = Instant::now() + IDLE_TIMEOUT;
                        self.slot.set_state(ConnectionState::Idle);
                    } else {
                        request_started_at = Instant::now();
                        deadline = request_started_at + REQUEST_STALL_TIMEOUT;
                        self.slot.set_state(ConnectionState::PartialRequest);
                    }
                    continue;
                }
                Ok(None) => {}
                // The boundaries of the following requests are unknown.
                Err(error) => return self.reject(&error.to_string()).await,
            }
            self.flush().await?;
            if self.input.len() >= READ_CHUNK_BYTES && long_request_permit.is_none() {
                match timeout_at(deadline, slots.long_requests().acquire()).await {
                    Ok(Ok(permit)) => long_request_permit = Some(permit),
                    Ok(Err(_)) | Err(_) => return self.reject("too many long requests").await,
                }
            }
            let is_between_requests = self.input.is_empty();
            match self.read(is_new, deadline).await? {
                ReadOutcome::More if is_between_requests => {
                    request_started_at = Instant::now();
                    deadline = request_started_at + REQUEST_STALL_TIMEOUT;
                    self.slot.set_state(ConnectionState::PartialRequest);
                }
                // A slow client has up to `REQUEST_TIMEOUT` as long as more arrives.
                ReadOutcome::More => {
                    deadline =
                        (Instant::now() + REQUEST_STALL_TIMEOUT).min(request_started_at + REQUEST_TIMEOUT);
                    self.slot.record_progress();
                }
                // No reply can be lost on it yet, and another client needs the slot.
                ReadOutcome::GiveWay if is_new => return Ok(()),
                outcome @ (ReadOutcome::End | ReadOutcome::GiveWay) => {
                    debug!(
                        target: MESSAGE_TRACE_TARGET, peer = ?self.stream.peer_addr().ok(), phase = ?*self.phase.borrow(), come = ?outcome, served,
                        "client connection shut down"
                    );
                    return self.close_gracefully().await;
                }
                ReadOutcome::Late => return self.reject("the request did not come to its end").await,
                ReadOutcome::Move => return self.hand_over(is_new).await,
            }
        }
    }

    /// Reads more of a request. During a shutdown, a connection is closed between two requests, but not with a request partly
    /// read, and a new one only after its first request had time to arrive.
    async fn read(&mut self, is_new: bool, deadline: Instant) -> io::Result<ReadOutcome> {
        let is_between_requests = self.input.is_empty();
        let close_request = self.slot.close_request.clone();
        let mut last_request = None;
        loop {
            let phase = *self.phase.borrow_and_update();
            let until = match phase {
                Phase::Moving => return Ok(ReadOutcome::Move),
                Phase::Over if !is_between_requests => return Ok(ReadOutcome::End),
                // Requests that have arrived already are still handled.
                Phase::Over => return self.read_available(),
                Phase::Closing if is_between_requests && !is_new => return self.read_available(),
                Phase::Closing if is_between_requests => deadline
                    .min(*last_request.get_or_insert_with(|| Instant::now() + CLOSING_FIRST_REQUEST_TIMEOUT)),
                Phase::Closing | Phase::Serving => deadline,
            };
            tokio::select! {
                biased;
                // Memory is reserved only when there is something to read, so that idle connections hold none. A new connection
                // may seem readable until a read has returned `WouldBlock`.
                ready = self.stream.readable() => ready?,
                () = close_request.notified() => {
                    return match is_between_requests {
                        true => self.read_available().map(|outcome| if let ReadOutcome::End = outcome { ReadOutcome::GiveWay } else { outcome }),
                        false => Ok(ReadOutcome::Late),
                    };
                }
                () = tokio::time::sleep_until(until) => {
                    return if is_between_requests { self.read_available() } else { Ok(ReadOutcome::Late) };
                }
                changed = self.phase.changed() => match changed {
                    Ok(()) => continue,
                    Err(_) => return Ok(ReadOutcome::End),
                },
            }
            self.input.reserve(READ_CHUNK_BYTES);
            match self.stream.try_read_buf(&mut self.input) {
                Ok(0) => return Ok(ReadOutcome::End),
                Ok(_) => return Ok(ReadOutcome::More),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        }
    }

    /// Releases the connection in its current state, with all replies written. The connection of a client that does not read
    /// its replies ends here.
    async fn hand_over(mut self, is_new: bool) -> io::Result<()> {
        self.flush().await?;
        let stream = self.stream.into_std()?;
        self.handed_over.borrow_mut().push(HandedOverClient {
            stream,
            is_new,
            unread_bytes: self.input.to_vec(),
        });
        Ok(())
    }

    /// Reads the bytes that have arrived without waiting; the outcome is `End` if there are none. Reads from the socket itself:
    /// readiness that the runtime has not seen yet would be missed, and the connection closed despite a request.
    fn read_available(&mut self) -> io::Result<ReadOutcome> {
        let mut bytes = [0; READ_CHUNK_BYTES];
        match (&*SockRef::from(&self.stream)).read(&mut bytes) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(ReadOutcome::End),
            Err(error) => Err(error),
            Ok(0) => Ok(ReadOutcome::End),
            Ok(count) => {
                self.input.extend_from_slice(&bytes[..count]);
                Ok(ReadOutcome::More)
            }
        }
    }

    /// Whether the client has closed its side. A client that did so before its reply has stopped waiting, and may be enqueueing
    /// the message elsewhere already.
    async fn is_client_gone(&mut self) -> bool {
        if self.is_close_received().await {
            return true;
        }
        self.input.is_empty()
            && match self.stream.try_read_buf(&mut self.input) {
                Ok(count) => count == 0,
                Err(error) => error.kind() != io::ErrorKind::WouldBlock,
            }
    }

    /// Whether the runtime has seen that the client closed its side, which it learns before the bytes in front of the close are
    /// read. Does not wait.
    async fn is_close_received(&self) -> bool {
        let readiness = unconstrained(self.stream.ready(Interest::READABLE));
        tokio::select! {
            biased;
            ready = readiness => ready.map_or(true, |ready| ready.is_read_closed()),
            () = std::future::ready(()) => false,
        }
    }

    /// Handles one request; none if the courier has shut down.
    async fn handle_request(&mut self, arguments: &[Bytes]) -> io::Result<Option<()>> {
        let command = arguments.first().map(|name| name.to_ascii_uppercase());
        let answer = match command.as_deref() {
            Some(b"PING") => {
                self.output.extend_from_slice(b"+PONG\r\n");
                return self.flush_if_large().await.map(Some);
            }
            Some(b"ENQUEUE") => match parse_enqueue(arguments) {
                Ok(mut enqueue) => {
                    enqueue.client = Some(self.slot.client_id());
                    if !self.is_client_gone().await {
                        return self.enqueue(enqueue).await;
                    }
                    // A client that has only shut its sending side down still reads this.
                    Answer::Busy(None)
                }
                Err(text) => Answer::Error(text),
            },
            _ => Answer::Error("unknown command"),
        };
        self.output.extend_from_slice(encode(&answer).as_bytes());
        self.flush_if_large().await.map(Some)
    }

    /// Enqueues a message and writes the reply; none if the courier has shut down.
    async fn enqueue(&mut self, enqueue: Enqueue) -> io::Result<Option<()>> {
        // Earlier replies are written first, so that they and this reply cannot be lost together.
        self.flush().await?;
        let id = is_traced().then(|| enqueue.id.clone());
        let Some(answer) = self.events.enqueue(enqueue).await else { return Ok(None) };
        self.output.extend_from_slice(encode(&answer).as_bytes());
        let written = self.flush().await;
        if let Some(id) = id {
            debug!(target: MESSAGE_TRACE_TARGET, id, peer = ?self.stream.peer_addr().ok(), ?answer, ?written, "reply written to client");
        }
        if let (Err(_), Answer::Taken(message)) = (&written, answer) {
            // The client did not get the reply, and enqueues the message again under another id.
            self.events.send(Input::AnswerUnacknowledged(message)).await;
        }
        written.map(Some)
    }

    /// Writes the buffered replies.
    async fn flush(&mut self) -> io::Result<()> {
        if !self.output.is_empty() {
            timeout(WRITE_TIMEOUT, self.stream.write_all(&self.output)).await??;
            self.output.clear();
        }
        Ok(())
    }

    /// Writes the buffered replies once there are [`REPLY_BUFFER_BYTES`] of them.
    async fn flush_if_large(&mut self) -> io::Result<()> {
        if self.output.len() >= REPLY_BUFFER_BYTES {
            self.flush().await?;
        }
        Ok(())
    }

    /// Replies with an error and closes.
    async fn reject(mut self, error: &str) -> io::Result<()> {
        debug!(target: MESSAGE_TRACE_TARGET, peer = ?self.stream.peer_addr().ok(), error, "client rejected");
        self.output.extend_from_slice(format!("-ERR {error}\r\n").as_bytes());
        self.close_gracefully().await
    }

    /// Closes without a reset: shuts the sending side down and discards what still arrives until the client closes too. A
    /// request that crosses the shutdown is discarded, and its client enqueues the message again; closing at once would reset
    /// the connection, and replies on their way might be lost.
    async fn close_gracefully(mut self) -> io::Result<()> {
        self.slot.set_state(ConnectionState::Draining);
        self.input = BytesMut::new();
        self.flush().await?;
        self.stream.shutdown().await?;
        let (stream, close_request) = (&self.stream, self.slot.close_request.clone());
        let drain = async {
            let mut remaining_bytes = MAX_DRAINED_BYTES;
            while remaining_bytes > 0 {
                stream.readable().await?;
                match discard(stream) {
                    Ok(0) => break,
                    Ok(count) => remaining_bytes = remaining_bytes.saturating_sub(count),
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                    Err(error) => return Err(error),
                }
                yield_now().await;
            }
            Ok(())
        };
        tokio::select! {
            drained = timeout(DRAIN_TIMEOUT, drain) => drained.unwrap_or(Ok(())),
            () = close_request.notified() => Ok(()),
        }
    }
}

/// Whether the log traces each message.
fn is_traced() -> bool {
    enabled!(target: MESSAGE_TRACE_TARGET, Level::DEBUG)
}

/// Reads what has arrived and discards it, using one buffer for all connections.
fn discard(stream: &TcpStream) -> io::Result<usize> {
    thread_local! {
        static BUFFER: RefCell<Box<[u8]>> = RefCell::new(vec![0; DRAIN_CHUNK_BYTES].into());
    }
    BUFFER.with_borrow_mut(|buffer| stream.try_read(buffer))
}

#[cfg(test)]
mod tests;
