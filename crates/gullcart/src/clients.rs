//! The server for clients: requests in, one answer each, on a bounded number of connections. How they are written is in
//! `resp`.

use bytes::{Bytes, BytesMut};
use socket2::SockRef;
use std::cell::RefCell;
use std::io::{self, Read};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, SemaphorePermit};
use tokio::task::yield_now;
use tokio::time::{sleep, timeout, timeout_at, Instant};
use tracing::{debug, enabled, warn, Level};

use crate::connection_slots::{ClientLimits, ConnectionSlot, ConnectionSlots, ConnectionState};
use crate::messages::EventSender;
use crate::resp::{decode, encode, parse_enqueue};
use gullcart_engine::{Answer, Enqueue, Input, Seldom, EPOCH, TRAIL};

/// Read at once, as far as it is there. A request that needs more waits for one of the places for long ones.
const READ_CHUNK_BYTES: usize = 4 << 10;
/// How long a connection may stay without its first request, ...
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// ... with a close_gracefully of a request and nothing more of it, ...
const REQUEST_STALL_TIMEOUT: Duration = Duration::from_secs(1);
/// ... with a close_gracefully of a request of which more comes and comes, ...
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// ... and with no request open after the first: it takes the place of one that asks.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// A client that does not read its answer for this long is not waiting for it.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// What a client still sends after its connection was shut is read for so long and up to this size: closing with something
/// unread resets the connection, which would destroy the answer on its way.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(4);
const MAX_DRAINED_BYTES: usize = 80 << 20;
const DRAIN_CHUNK_BYTES: usize = 64 << 10;
/// Answers to pipelined requests are written together up to this size.
const REPLY_BUFFER_BYTES: usize = 4 << 10;
/// Requests of one connection that are served before the others get their turn.
const REQUESTS_PER_YIELD: usize = 16;
/// While the courier ends, a new connection may take this long to bring its request.
const CLOSING_FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(400);

/// What the courier is about to do, as its clients' connections have to know.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    #[default]
    Serving,
    /// It ends: connections are closed is_between_requests two requests.
    Closing,
    /// What has come is answered, nothing more is waited for, and connections are closed.
    Over,
    /// It moves to another process: connections are given up as they stand, to [`Clients::take_handed_over`].
    Moving,
}

/// A connection on its way to another process.
pub struct MovedClient {
    pub stream: std::net::TcpStream,
    /// It has not brought a request yet.
    pub is_new: bool,
    /// What was read and not served.
    pub unread_bytes: Vec<u8>,
}

/// The clients' connections of a courier.
#[derive(Clone)]
pub struct Clients {
    slots: Rc<ConnectionSlots>,
    events: EventSender,
    phase: watch::Receiver<Phase>,
    /// As many at most as there are places.
    handed_over: Rc<RefCell<Vec<MovedClient>>>,
}

impl Clients {
    pub fn new(events: EventSender, phase: watch::Receiver<Phase>, limits: ClientLimits) -> Self {
        Clients { slots: Rc::new(ConnectionSlots::new(limits)), events, phase, handed_over: Rc::default() }
    }

    /// Connections that may still bring or owe something.
    pub fn active_count(&self) -> usize {
        self.slots.active_count()
    }

    /// All connections, with those that are shut and wait for the client's own end.
    pub fn open_count(&self) -> usize {
        self.slots.open_count()
    }

    /// Those that were given up while the courier moves.
    pub fn take_handed_over(&self) -> Vec<MovedClient> {
        self.handed_over.take()
    }

    /// Serves a connection that the process before had.
    pub fn adopt(&self, moved: MovedClient) -> io::Result<()> {
        let stream = TcpStream::from_std(moved.stream)?;
        self.spawn_connection(stream, BytesMut::from(&moved.unread_bytes[..]), moved.is_new);
        Ok(())
    }

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
            // A connection that breaks is its client's affair: what was taken on stays so.
            let result = client.run(is_new).await;
            debug!(target: TRAIL, ?peer, ended = ?result, "a client's connection is over");
        });
    }
}

/// Accepts connections until the task is dropped.
pub async fn serve(listener: TcpListener, clients: Clients) {
    let slots = clients.slots.clone();
    let mut accept_errors = Seldom::default();
    let started_at = Instant::now();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                clients.spawn_connection(stream, BytesMut::new(), true);
                // One place is kept free, so that who comes next is never left in the listener's queue.
                slots.wait_for_slot().await;
            }
            Err(error) => {
                if let Some(more) = accept_errors.due(EPOCH + started_at.elapsed()) {
                    warn!(%error, more, "a client's connection cannot be accepted");
                }
                sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

struct ClientConnection {
    // Before the place: the descriptor is closed by the time that the place is free.
    stream: TcpStream,
    events: EventSender,
    phase: watch::Receiver<Phase>,
    input: BytesMut,
    output: Vec<u8>,
    handed_over: Rc<RefCell<Vec<MovedClient>>>,
    slot: ConnectionSlot,
}

/// What came of reading on.
#[derive(Debug)]
enum ReadOutcome {
    More,
    /// The client has is_client_gone, or its connection may be closed.
    End,
    /// It has to give way is_between_requests two requests.
    GiveWay,
    /// The request did not become whole in its time.
    Late,
    /// The courier moves to another process, and the connection with it.
    Move,
}

impl ClientConnection {
    async fn run(mut self, mut is_new: bool) -> io::Result<()> {
        self.stream.set_nodelay(true)?;
        let slots = self.slot.slots.clone();
        let mut long_request_permit: Option<SemaphorePermit> = None;
        // When what is deadline next must have come: the first request, the rest of one, or another one.
        let mut deadline = Instant::now() + FIRST_REQUEST_TIMEOUT;
        let mut served = 0;
        // When the request that is being read began.
        let mut request_started_at = Instant::now();
        loop {
            if *self.phase.borrow() == Phase::Moving {
                return self.hand_over(is_new).await;
            }
            match decode(&mut self.input) {
                Ok(Some(words)) => {
                    self.slot.set_state(ConnectionState::Busy);
                    is_new = false;
                    if self.handle_request(&words).await?.is_none() {
                        return Ok(());
                    }
                    served += 1;
                    if served % REQUESTS_PER_YIELD == 0 {
                        yield_now().await;
                    }
                    if self.input.is_empty() {
                        // A long request's room is given back.
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
                // What follows cannot be told apart any more.
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
                // Who writes slowly is not cut off for it, within a bound.
                ReadOutcome::More => {
                    deadline =
                        (Instant::now() + REQUEST_STALL_TIMEOUT).min(request_started_at + REQUEST_TIMEOUT);
                    self.slot.record_progress();
                }
                // Nothing was answered on it yet that could be lost, and somebody waits for its place.
                ReadOutcome::GiveWay if is_new => return Ok(()),
                outcome @ (ReadOutcome::End | ReadOutcome::GiveWay) => {
                    debug!(
                        target: TRAIL, peer = ?self.stream.peer_addr().ok(), phase = ?*self.phase.borrow(), come = ?outcome, served,
                        "a client's connection is shut"
                    );
                    return self.close_gracefully().await;
                }
                ReadOutcome::Late => return self.reject("the request did not come to its end").await,
                ReadOutcome::Move => return self.hand_over(is_new).await,
            }
        }
    }

    /// Reads more of a request. When the courier ends, a connection is closed is_between_requests two requests, but never
    /// with a close_gracefully of one read, and a is_new one only once its first request had time to come.
    async fn read(&mut self, is_new: bool, deadline: Instant) -> io::Result<ReadOutcome> {
        let is_between_requests = self.input.is_empty();
        let close_request = self.slot.close_request.clone();
        let mut last_request = None;
        loop {
            let phase = *self.phase.borrow_and_update();
            let until = match phase {
                Phase::Moving => return Ok(ReadOutcome::Move),
                Phase::Over if !is_between_requests => return Ok(ReadOutcome::End),
                // A request that has come already is served yet, whoever brought it.
                Phase::Over => return self.read_available(),
                Phase::Closing if is_between_requests && !is_new => return self.read_available(),
                Phase::Closing if is_between_requests => deadline
                    .min(*last_request.get_or_insert_with(|| Instant::now() + CLOSING_FIRST_REQUEST_TIMEOUT)),
                Phase::Closing | Phase::Serving => deadline,
            };
            tokio::select! {
                biased;
                // Room is made only when there is something to read: idle connections hold none. May say so of a new
                // connection with nothing on it yet, until a read has failed.
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

    /// Gives the connection up as it stands, with all answers written. A client that does not read its answers is not
    /// waited for: its connection ends here.
    async fn hand_over(mut self, is_new: bool) -> io::Result<()> {
        self.flush().await?;
        let stream = self.stream.into_std()?;
        self.handed_over.borrow_mut().push(MovedClient { stream, is_new, unread_bytes: self.input.to_vec() });
        Ok(())
    }

    /// What has come already, without waiting; the end if there is nothing. Asks the system itself: what the
    /// runtime has not yet been told of would be closed over.
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

    /// Whether the client has closed its side. One that did so before its answer has stopped waiting, and may
    /// be handing the message in elsewhere already. One with more requests on the way has not.
    fn is_client_gone(&mut self) -> bool {
        self.input.is_empty()
            && match self.stream.try_read_buf(&mut self.input) {
                Ok(count) => count == 0,
                Err(error) => error.kind() != io::ErrorKind::WouldBlock,
            }
    }

    /// Answers one request; none where the courier is ending.
    async fn handle_request(&mut self, words: &[Bytes]) -> io::Result<Option<()>> {
        let command = words.first().map(|word| word.to_ascii_uppercase());
        let answer = match command.as_deref() {
            Some(b"PING") => {
                self.output.extend_from_slice(b"+PONG\r\n");
                return self.flush_if_large().await.map(Some);
            }
            Some(b"ENQUEUE") => match parse_enqueue(words) {
                Ok(enqueue) => {
                    if !self.is_client_gone() {
                        return self.enqueue(enqueue).await;
                    }
                    // One that has only ended its sending still hears this.
                    Answer::Busy(None)
                }
                Err(text) => Answer::Error(text),
            },
            _ => Answer::Error("unknown command"),
        };
        self.output.extend_from_slice(encode(&answer).as_bytes());
        self.flush_if_large().await.map(Some)
    }

    async fn enqueue(&mut self, enqueue: Enqueue) -> io::Result<Option<()>> {
        // What was answered before must not be lost with this answer, nor this one with those.
        self.flush().await?;
        let id = is_traced().then(|| enqueue.id.clone());
        let Some(answer) = self.events.enqueue(enqueue).await else { return Ok(None) };
        self.output.extend_from_slice(encode(&answer).as_bytes());
        let written = self.flush().await;
        if let Some(id) = id {
            debug!(target: TRAIL, id, peer = ?self.stream.peer_addr().ok(), ?answer, ?written, "its client is answered");
        }
        if let (Err(_), Answer::Taken(message)) = (&written, answer) {
            // The client never heard that it was taken on, and hands it in again under another id.
            self.events.send(Input::Unheard(message)).await;
        }
        written.map(Some)
    }

    async fn flush(&mut self) -> io::Result<()> {
        if !self.output.is_empty() {
            timeout(WRITE_TIMEOUT, self.stream.write_all(&self.output)).await??;
            self.output.clear();
        }
        Ok(())
    }

    async fn flush_if_large(&mut self) -> io::Result<()> {
        if self.output.len() >= REPLY_BUFFER_BYTES {
            self.flush().await?;
        }
        Ok(())
    }

    /// Tells the client its error and closes.
    async fn reject(mut self, error: &str) -> io::Result<()> {
        debug!(target: TRAIL, peer = ?self.stream.peer_addr().ok(), error, "a client is refused");
        self.output.extend_from_slice(format!("-ERR {error}\r\n").as_bytes());
        self.close_gracefully().await
    }

    /// Closes: ends the sending side, and reads what is still being sent until the client closes too. A request that
    /// crosses the end is thrown away, and its client hands it in anew; a close over it would reset the connection, and
    /// what the client was answered before might go with it.
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

/// Whether the log follows each message.
fn is_traced() -> bool {
    enabled!(target: TRAIL, Level::DEBUG)
}

/// Reads what is there and throws it away, into the one buffer that all connections share for that.
fn discard(stream: &TcpStream) -> io::Result<usize> {
    thread_local! {
        static BUFFER: RefCell<Box<[u8]>> = RefCell::new(vec![0; DRAIN_CHUNK_BYTES].into());
    }
    BUFFER.with_borrow_mut(|buffer| stream.try_read(buffer))
}
