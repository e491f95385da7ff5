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

use crate::places::{ClientLimits, Doing, Place, Places};
use crate::resp::{decode, encode, read_enqueue};
use crate::vocabulary::Inputs;
use gullcart_engine::{Answer, Enqueue, Input, Seldom, EPOCH, TRAIL};

/// Read at once, as far as it is there. A request that needs more waits for one of the places for long ones.
const READ: usize = 4 << 10;
/// How long a connection may stay without its first request, ...
const SILENT: Duration = Duration::from_secs(2);
/// ... with a part of a request and nothing more of it, ...
const HALF: Duration = Duration::from_secs(1);
/// ... with a part of a request of which more comes and comes, ...
const WHOLE: Duration = Duration::from_secs(5);
/// ... and with no request open after the first: it takes the place of one that asks.
const IDLE: Duration = Duration::from_secs(2);
/// A client that does not read its answer for this long is not waiting for it.
const WRITE: Duration = Duration::from_secs(1);
/// What a client still sends after its connection was shut is read for so long and up to this size: closing with something
/// unread resets the connection, which would destroy the answer on its way.
const DRAIN: Duration = Duration::from_secs(4);
const DRAINED: usize = 80 << 20;
const DRAIN_READ: usize = 64 << 10;
/// Answers to pipelined requests are written together up to this size.
const ANSWERS: usize = 4 << 10;
/// Requests of one connection that are served before the others get their turn.
const TURN: usize = 16;
/// While the courier ends, a new connection may take this long to bring its request.
const LAST_REQUEST: Duration = Duration::from_millis(400);

/// What the courier is about to do, as its clients' connections have to know.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    #[default]
    Serving,
    /// It ends: connections are closed between two requests.
    Closing,
    /// What has come is answered, nothing more is waited for, and connections are closed.
    Over,
    /// It moves to another process: connections are given up as they stand, to [`Clients::given_up`].
    Moving,
}

/// A connection on its way to another process.
pub struct Moved {
    pub stream: std::net::TcpStream,
    /// It has not brought a request yet.
    pub is_fresh: bool,
    /// What was read and not served.
    pub unread: Vec<u8>,
}

/// The clients' connections of a courier.
#[derive(Clone)]
pub struct Clients {
    places: Rc<Places>,
    driver: Inputs,
    phase: watch::Receiver<Phase>,
    /// As many at most as there are places.
    moved: Rc<RefCell<Vec<Moved>>>,
}

impl Clients {
    pub fn new(driver: Inputs, phase: watch::Receiver<Phase>, limits: ClientLimits) -> Self {
        Clients { places: Rc::new(Places::new(limits)), driver, phase, moved: Rc::default() }
    }

    /// Connections that may still bring or owe something.
    pub fn in_use(&self) -> usize {
        self.places.in_use()
    }

    /// All connections, with those that are shut and wait for the client's own end.
    pub fn open(&self) -> usize {
        self.places.open()
    }

    /// Those that were given up while the courier moves.
    pub fn given_up(&self) -> Vec<Moved> {
        self.moved.take()
    }

    /// Serves a connection that the process before had.
    pub fn take_over(&self, moved: Moved) -> io::Result<()> {
        let stream = TcpStream::from_std(moved.stream)?;
        self.serve_one(stream, BytesMut::from(&moved.unread[..]), moved.is_fresh);
        Ok(())
    }

    fn serve_one(&self, stream: TcpStream, buffer: BytesMut, fresh: bool) {
        let place = self.places.clone().enter();
        let (driver, phase, moved) = (self.driver.clone(), self.phase.clone(), self.moved.clone());
        tokio::task::spawn_local(async move {
            let peer = is_trailed().then(|| stream.peer_addr().ok());
            let client = Client { stream, driver, phase, place, buffer, out: Vec::new(), moved };
            // A connection that breaks is its client's affair: what was taken on stays so.
            let ended = client.run(fresh).await;
            debug!(target: TRAIL, ?peer, ?ended, "a client's connection is over");
        });
    }
}

/// Accepts connections until the task is dropped.
pub async fn serve(listener: TcpListener, clients: Clients) {
    let places = clients.places.clone();
    let mut failures = Seldom::default();
    let begun = Instant::now();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                clients.serve_one(stream, BytesMut::new(), true);
                // One place is kept free, so that who comes next is never left in the listener's queue.
                places.make_room().await;
            }
            Err(error) => {
                if let Some(more) = failures.due(EPOCH + begun.elapsed()) {
                    warn!(%error, more, "a client's connection cannot be accepted");
                }
                sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

struct Client {
    // Before the place: the descriptor is closed by the time that the place is free.
    stream: TcpStream,
    driver: Inputs,
    phase: watch::Receiver<Phase>,
    buffer: BytesMut,
    out: Vec<u8>,
    moved: Rc<RefCell<Vec<Moved>>>,
    place: Place,
}

/// What came of reading on.
#[derive(Debug)]
enum Come {
    More,
    /// The client has gone, or its connection may be closed.
    End,
    /// It has to give way between two requests.
    GiveWay,
    /// The request did not become whole in its time.
    Late,
    /// The courier moves to another process, and the connection with it.
    Move,
}

impl Client {
    async fn run(mut self, mut fresh: bool) -> io::Result<()> {
        self.stream.set_nodelay(true)?;
        let places = self.place.places.clone();
        let mut long: Option<SemaphorePermit> = None;
        // When what is due next must have come: the first request, the rest of one, or another one.
        let mut due = Instant::now() + SILENT;
        let mut served = 0;
        // When the request that is being read began.
        let mut begun = Instant::now();
        loop {
            if *self.phase.borrow() == Phase::Moving {
                return self.give_up(fresh).await;
            }
            match decode(&mut self.buffer) {
                Ok(Some(words)) => {
                    self.place.set(Doing::Busy);
                    fresh = false;
                    if self.serve(&words).await?.is_none() {
                        return Ok(());
                    }
                    served += 1;
                    if served % TURN == 0 {
                        yield_now().await;
                    }
                    if self.buffer.is_empty() {
                        // A long request's room is given back.
                        (self.buffer, long) = (BytesMut::new(), None);
                        due = Instant::now() + IDLE;
                        self.place.set(Doing::Idle);
                    } else {
                        begun = Instant::now();
                        due = begun + HALF;
                        self.place.set(Doing::Half);
                    }
                    continue;
                }
                Ok(None) => {}
                // What follows cannot be told apart any more.
                Err(error) => return self.refuse(&error.to_string()).await,
            }
            self.flush().await?;
            if self.buffer.len() >= READ && long.is_none() {
                match timeout_at(due, places.long().acquire()).await {
                    Ok(Ok(permit)) => long = Some(permit),
                    Ok(Err(_)) | Err(_) => return self.refuse("too many long requests").await,
                }
            }
            let between = self.buffer.is_empty();
            match self.read(fresh, due).await? {
                Come::More if between => {
                    begun = Instant::now();
                    due = begun + HALF;
                    self.place.set(Doing::Half);
                }
                // Who writes slowly is not cut off for it, within a bound.
                Come::More => {
                    due = (Instant::now() + HALF).min(begun + WHOLE);
                    self.place.goes_on();
                }
                // Nothing was answered on it yet that could be lost, and somebody waits for its place.
                Come::GiveWay if fresh => return Ok(()),
                come @ (Come::End | Come::GiveWay) => {
                    debug!(
                        target: TRAIL, peer = ?self.stream.peer_addr().ok(), phase = ?*self.phase.borrow(), ?come, served,
                        "a client's connection is shut"
                    );
                    return self.part().await;
                }
                Come::Late => return self.refuse("the request did not come to its end").await,
                Come::Move => return self.give_up(fresh).await,
            }
        }
    }

    /// Reads more of a request. When the courier ends, a connection is closed between two requests, but never
    /// with a part of one read, and a fresh one only once its first request had time to come.
    async fn read(&mut self, fresh: bool, due: Instant) -> io::Result<Come> {
        let between = self.buffer.is_empty();
        let give_way = self.place.give_way.clone();
        let mut last_request = None;
        loop {
            let phase = *self.phase.borrow_and_update();
            let until = match phase {
                Phase::Moving => return Ok(Come::Move),
                Phase::Over if !between => return Ok(Come::End),
                // A request that has come already is served yet, whoever brought it.
                Phase::Over => return self.read_now(),
                Phase::Closing if between && !fresh => return self.read_now(),
                Phase::Closing if between => {
                    due.min(*last_request.get_or_insert_with(|| Instant::now() + LAST_REQUEST))
                }
                Phase::Closing | Phase::Serving => due,
            };
            tokio::select! {
                biased;
                // Room is made only when there is something to read: idle connections hold none. May say so of a new
                // connection with nothing on it yet, until a read has failed.
                ready = self.stream.readable() => ready?,
                () = give_way.notified() => {
                    return match between {
                        true => self.read_now().map(|come| if let Come::End = come { Come::GiveWay } else { come }),
                        false => Ok(Come::Late),
                    };
                }
                () = tokio::time::sleep_until(until) => {
                    return if between { self.read_now() } else { Ok(Come::Late) };
                }
                changed = self.phase.changed() => match changed {
                    Ok(()) => continue,
                    Err(_) => return Ok(Come::End),
                },
            }
            self.buffer.reserve(READ);
            match self.stream.try_read_buf(&mut self.buffer) {
                Ok(0) => return Ok(Come::End),
                Ok(_) => return Ok(Come::More),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        }
    }

    /// Gives the connection up as it stands, with all answers written. A client that does not read its answers is not
    /// waited for: its connection ends here.
    async fn give_up(mut self, is_fresh: bool) -> io::Result<()> {
        self.flush().await?;
        let stream = self.stream.into_std()?;
        self.moved.borrow_mut().push(Moved { stream, is_fresh, unread: self.buffer.to_vec() });
        Ok(())
    }

    /// What has come already, without waiting; the end if there is nothing. Asks the system itself: what the
    /// runtime has not yet been told of would be closed over.
    fn read_now(&mut self) -> io::Result<Come> {
        let mut bytes = [0; READ];
        match (&*SockRef::from(&self.stream)).read(&mut bytes) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(Come::End),
            Err(error) => Err(error),
            Ok(0) => Ok(Come::End),
            Ok(count) => {
                self.buffer.extend_from_slice(&bytes[..count]);
                Ok(Come::More)
            }
        }
    }

    /// Whether the client has closed its side. One that did so before its answer has stopped waiting, and may
    /// be handing the message in elsewhere already. One with more requests on the way has not.
    fn gone(&mut self) -> bool {
        self.buffer.is_empty()
            && match self.stream.try_read_buf(&mut self.buffer) {
                Ok(count) => count == 0,
                Err(error) => error.kind() != io::ErrorKind::WouldBlock,
            }
    }

    /// Answers one request; none where the courier is ending.
    async fn serve(&mut self, words: &[Bytes]) -> io::Result<Option<()>> {
        let command = words.first().map(|word| word.to_ascii_uppercase());
        let answer = match command.as_deref() {
            Some(b"PING") => {
                self.out.extend_from_slice(b"+PONG\r\n");
                return self.flush_long().await.map(Some);
            }
            Some(b"ENQUEUE") => match read_enqueue(words) {
                Ok(enqueue) => {
                    if !self.gone() {
                        return self.hand_in(enqueue).await;
                    }
                    // One that has only ended its sending still hears this.
                    Answer::Busy(None)
                }
                Err(text) => Answer::Error(text),
            },
            _ => Answer::Error("unknown command"),
        };
        self.out.extend_from_slice(encode(&answer).as_bytes());
        self.flush_long().await.map(Some)
    }

    async fn hand_in(&mut self, enqueue: Enqueue) -> io::Result<Option<()>> {
        // What was answered before must not be lost with this answer, nor this one with those.
        self.flush().await?;
        let id = is_trailed().then(|| enqueue.id.clone());
        let Some(answer) = self.driver.hand_in(enqueue).await else { return Ok(None) };
        self.out.extend_from_slice(encode(&answer).as_bytes());
        let written = self.flush().await;
        if let Some(id) = id {
            debug!(target: TRAIL, id, peer = ?self.stream.peer_addr().ok(), ?answer, ?written, "its client is answered");
        }
        if let (Err(_), Answer::Taken(message)) = (&written, answer) {
            // The client never heard that it was taken on, and hands it in again under another id.
            self.driver.tell(Input::Unheard(message)).await;
        }
        written.map(Some)
    }

    async fn flush(&mut self) -> io::Result<()> {
        if !self.out.is_empty() {
            timeout(WRITE, self.stream.write_all(&self.out)).await??;
            self.out.clear();
        }
        Ok(())
    }

    async fn flush_long(&mut self) -> io::Result<()> {
        if self.out.len() >= ANSWERS {
            self.flush().await?;
        }
        Ok(())
    }

    /// Tells the client its error and closes.
    async fn refuse(mut self, error: &str) -> io::Result<()> {
        debug!(target: TRAIL, peer = ?self.stream.peer_addr().ok(), error, "a client is refused");
        self.out.extend_from_slice(format!("-ERR {error}\r\n").as_bytes());
        self.part().await
    }

    /// Closes: ends the sending side, and reads what is still being sent until the client closes too. A request that
    /// crosses the end is thrown away, and its client hands it in anew; a close over it would reset the connection, and
    /// what the client was answered before might go with it.
    async fn part(mut self) -> io::Result<()> {
        self.place.set(Doing::Parting);
        self.buffer = BytesMut::new();
        self.flush().await?;
        self.stream.shutdown().await?;
        let (stream, give_way) = (&self.stream, self.place.give_way.clone());
        let drain = async {
            let mut left = DRAINED;
            while left > 0 {
                stream.readable().await?;
                match discard(stream) {
                    Ok(0) => break,
                    Ok(count) => left = left.saturating_sub(count),
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                    Err(error) => return Err(error),
                }
                yield_now().await;
            }
            Ok(())
        };
        tokio::select! {
            drained = timeout(DRAIN, drain) => drained.unwrap_or(Ok(())),
            () = give_way.notified() => Ok(()),
        }
    }
}

/// Whether the log follows each message.
fn is_trailed() -> bool {
    enabled!(target: TRAIL, Level::DEBUG)
}

/// Reads what is there and throws it away, into the one buffer that all connections share for that.
fn discard(stream: &TcpStream) -> io::Result<usize> {
    thread_local! {
        static BIN: RefCell<Box<[u8]>> = RefCell::new(vec![0; DRAIN_READ].into());
    }
    BIN.with_borrow_mut(|bin| stream.try_read(bin))
}
