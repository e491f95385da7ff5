//! Endpoints of partners on sockets. Each courier has an address of its own for every endpoint, so that who calls is
//! known by where the call comes in.

use crate::http::{Reader, Request};
use crate::ids;
use crate::partner::{Fate, Partner, SecondCopy};
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

/// A connection that stands idle for so long is closed.
pub const IDLE: Duration = Duration::from_secs(15);
/// What a new connection costs the first call on it.
const HANDSHAKE: Duration = Duration::from_millis(10);
/// Connections that wait to be accepted.
pub(crate) const BACKLOG: i32 = 256;
/// Connections that fill a queue of none, with one to spare.
const FILLERS: usize = 2;
/// Between failures to accept.
pub(crate) const PAUSE: Duration = Duration::from_millis(20);
/// The longest lateness that is told apart, in microseconds.
const LONGEST_LATE_US: u64 = 60_000_000;

/// What a message should look like on arrival.
pub struct Expected {
    /// Its key, in keyed classes.
    pub idempotency_key: Option<String>,
    /// Its body.
    pub body: Vec<u8>,
}

/// What was handed in under a number, if anything was.
pub type Expect = Rc<dyn Fn(MessageId) -> Option<Expected>>;

/// What all stand-ins count together.
pub struct Counters {
    /// Calls out now.
    pub out: Cell<u32>,
    /// Calls so far.
    pub calls: Cell<u64>,
    /// Calls turned away so far.
    pub refused: Cell<u64>,
    /// Connections accepted so far.
    pub connections: Cell<u64>,
    /// How late the stand-ins did what was due, in microseconds.
    pub late: RefCell<Histogram<u64>>,
}

impl Default for Counters {
    fn default() -> Self {
        let late = Histogram::new_with_bounds(1, LONGEST_LATE_US, 3);
        let late = RefCell::new(late.expect("the bounds are constants that the histogram allows"));
        let (out, calls, refused, connections) = Default::default();
        Counters { out, calls, refused, connections, late }
    }
}

impl Counters {
    /// Something that was due is done now.
    pub fn late(&self, due: Timestamp, now: Timestamp) {
        self.late.borrow_mut().saturating_record(((now - due).as_micros() as u64).max(1));
    }
}

/// What endpoints share.
#[derive(Clone)]
pub struct Site {
    /// Where things are written down.
    pub recorder: Recorder,
    /// What was handed in.
    pub expect: Expect,
    /// Counted together.
    pub counters: Rc<Counters>,
}

/// An endpoint, at whatever addresses.
pub struct Endpoint {
    /// Its own number.
    pub id: EndpointId,
    /// Whose it is.
    pub partner_id: PartnerId,
    /// The model behind it.
    pub partner: Rc<RefCell<Partner>>,
    /// Its place in the model.
    pub place: usize,
    /// Whether its answers report the limit.
    pub reports: bool,
    breaks: watch::Sender<u32>,
}

impl Endpoint {
    /// An endpoint with no address yet.
    pub fn new(
        id: EndpointId,
        partner_id: PartnerId,
        partner: Rc<RefCell<Partner>>,
        place: usize,
        reports: bool,
    ) -> Self {
        Endpoint { id, partner_id, partner, place, reports, breaks: watch::Sender::new(0) }
    }

    /// Resets all connections to it.
    pub fn break_connections(&self) {
        self.breaks.send_modify(|times| *times += 1);
    }
}

/// An address at which one courier finds an endpoint. Another may take its place at the same address.
pub struct Door {
    address: SocketAddr,
    /// Bound and not listening: keeps the port while connections are refused.
    _reserved: Socket,
    site: Site,
    courier: CourierId,
    endpoint: Rc<RefCell<Rc<Endpoint>>>,
    /// None while connections are refused.
    listener: RefCell<Option<Rc<TcpListener>>>,
    accepting: RefCell<Option<JoinHandle<()>>>,
    /// Wait in front of it while it is cut off, so that nobody else's connection comes up.
    fillers: RefCell<Vec<Socket>>,
}

pub(crate) fn bound(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_port(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

impl Door {
    /// A new address, open.
    pub fn open(site: &Site, courier: CourierId, endpoint: Rc<Endpoint>) -> io::Result<Self> {
        let reserved = bound(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let address = reserved.local_addr()?;
        let address = address.as_socket().ok_or_else(|| io::Error::other("an address that is not of IP"))?;
        let door = Door {
            address,
            _reserved: reserved,
            site: site.clone(),
            courier,
            endpoint: Rc::new(RefCell::new(endpoint)),
            listener: RefCell::default(),
            accepting: RefCell::default(),
            fillers: RefCell::default(),
        };
        door.reopen()?;
        Ok(door)
    }

    /// Where it is.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes connections again.
    pub fn reopen(&self) -> io::Result<()> {
        if self.accepting.borrow().is_some() {
            return Ok(());
        }
        let before = self.listener.borrow().clone();
        let listener = match before {
            // It was cut off: who waited comes up, as the kernel tries again, and the fillers go.
            Some(listener) => {
                let socket = SockRef::from(&*listener);
                socket.listen(BACKLOG)?;
                self.fillers.take().iter().for_each(|_| drop(socket.accept()));
                listener
            }
            None => {
                let socket = bound(self.address)?;
                socket.listen(BACKLOG)?;
                Rc::new(TcpListener::from_std(socket.into())?)
            }
        };
        *self.listener.borrow_mut() = Some(listener.clone());
        let (site, courier, endpoint) = (self.site.clone(), self.courier, self.endpoint.clone());
        *self.accepting.borrow_mut() = Some(spawn_local(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else {
                    tokio::time::sleep(PAUSE).await;
                    continue;
                };
                site.counters.connections.set(site.counters.connections.get() + 1);
                let (site, endpoint) = (site.clone(), endpoint.borrow().clone());
                spawn_local(async move {
                    let reader = Reader::default();
                    let connection =
                        Connection { site, courier, endpoint, stream, reader, last_delivery: None };
                    // One that breaks is written down where a call was out on it.
                    let _ = connection.serve().await;
                });
            }
        }));
        Ok(())
    }

    /// Refuses connections. Those that there are stay.
    pub fn shut(&self) {
        if let Some(accepting) = self.accepting.borrow_mut().take() {
            accepting.abort();
        }
        self.listener.take();
        self.fillers.take();
    }

    /// Lets no connection come up until it is opened again: the queue in front of it is full, so that first words are
    /// dropped. Those that there are stay.
    pub fn cut(&self) -> io::Result<()> {
        let Some(accepting) = self.accepting.take() else { return Ok(()) };
        accepting.abort();
        let Some(listener) = &*self.listener.borrow() else { return Ok(()) };
        SockRef::from(&**listener).listen(0)?;
        for _ in 0..FILLERS {
            let filler = Socket::new(Domain::IPV4, Type::STREAM, None)?;
            filler.set_nonblocking(true)?;
            // Comes up or waits, as the others.
            let _ = filler.connect(&self.address.into());
            self.fillers.borrow_mut().push(filler);
        }
        Ok(())
    }

    /// Another endpoint takes over the address.
    pub fn hand_over(&self, endpoint: Rc<Endpoint>) {
        *self.endpoint.borrow_mut() = endpoint;
    }
}

impl Drop for Door {
    fn drop(&mut self) {
        self.shut();
    }
}

struct Connection {
    site: Site,
    courier: CourierId,
    endpoint: Rc<Endpoint>,
    stream: TcpStream,
    reader: Reader,
    /// The bytes of its last delivery.
    last_delivery: Option<Vec<u8>>,
}

impl Connection {
    async fn serve(mut self) -> io::Result<()> {
        self.stream.set_nodelay(true)?;
        let mut breaks = self.endpoint.breaks.subscribe();
        let recorder = self.site.recorder.clone();
        let mut fresh = true;
        loop {
            let request = tokio::select! {
                biased;
                _ = breaks.changed() => return self.reset(),
                request = timeout(IDLE, self.reader.next(&mut self.stream, || recorder.now())) => request,
            };
            // Idle for too long, or at an end between two requests.
            let Some(request) = request.unwrap_or(Ok(None))? else { return Ok(()) };
            let counters = self.site.counters.clone();
            counters.calls.set(counters.calls.get() + 1);
            counters.out.set(counters.out.get() + 1);
            let goes_on = self.call(&request, &mut breaks, std::mem::take(&mut fresh)).await;
            counters.out.set(counters.out.get() - 1);
            if !goes_on? {
                return Ok(());
            }
        }
    }

    /// Ends with a reset.
    fn reset(&self) -> io::Result<()> {
        SockRef::from(&self.stream).set_linger(Some(Duration::ZERO))
    }

    /// Serves one call; false when the connection is of no further use.
    async fn call(
        &mut self,
        request: &Request,
        breaks: &mut watch::Receiver<u32>,
        fresh: bool,
    ) -> io::Result<bool> {
        let site = self.site.clone();
        let call = CallId(site.counters.calls.get());
        let message = request.header("x-call-id").and_then(ids::message_of);
        let expected = message.and_then(|message| (site.expect)(message));
        let intact = expected.as_ref().is_some_and(|expected| {
            let key = request.header("idempotency-key").map(str::to_owned);
            expected.idempotency_key == key && expected.body == request.body
        });
        let at = site.recorder.note(Event::CallReceived {
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
        let copy = self.last_delivery.take().zip(self.second_copy());
        let refused_after = copy.as_ref().and_then(|(_, copy)| copy.refused_after);
        let fate = match refused_after {
            Some(_) => Fate::Refused(None),
            None => self.endpoint.partner.borrow_mut().call(self.endpoint.place, at),
        };
        let handshake = if fresh { HANDSHAKE } else { Duration::ZERO };
        let due = match fate {
            Fate::Done(at) | Fate::Error(at) | Fate::Reset(at) | Fate::Spoilt(at) => Some(at + handshake),
            Fate::Refused(_) => Some(at + refused_after.unwrap_or(handshake)),
            Fate::Silent => None,
        };
        if let Some((bytes, copy)) = copy {
            if let Err(by) = self.wait(Some(at + copy.after), breaks).await {
                return self.cut(call, by);
            }
            if self.stream.write_all(&bytes).await.is_err() {
                return self.cut(call, ClosedBy::Courier);
            }
        }
        if let Err(by) = self.wait(due, breaks).await {
            return self.cut(call, by);
        }
        match fate {
            Fate::Done(_) => self.answer(call, Answer::Ok, "200 OK", "").await?,
            Fate::Error(_) => self.answer(call, Answer::Error, "500 Oops", "").await?,
            Fate::Refused(wait) => {
                site.counters.refused.set(site.counters.refused.get() + 1);
                // Never 0, which would be no wait, and never less than what is meant.
                match wait.map(|wait| wait.as_micros().div_ceil(1000).max(1) as u64) {
                    Some(ms) => {
                        let header = format!("X-Come-Back-Ms: {ms}\r\n");
                        self.answer(call, Answer::Rejected(Some(ms)), "429 Too Many", &header).await?;
                    }
                    None => self.answer(call, Answer::Rejected(None), "503 Full", "").await?,
                }
            }
            Fate::Reset(_) | Fate::Silent => return self.cut(call, ClosedBy::Partner),
            Fate::Spoilt(_) => {
                let (answer, bytes) = spoilt(call);
                self.stream.write_all(bytes).await?;
                site.recorder.note(Event::CallAnswered { call, answer });
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// The second copy of its last delivery that the call gets now, if it gets one.
    fn second_copy(&self) -> Option<SecondCopy> {
        self.endpoint.partner.borrow_mut().second_copy(self.endpoint.place)
    }

    /// A call ends with its connection.
    fn cut(&self, call: CallId, by: ClosedBy) -> io::Result<bool> {
        self.site.recorder.note(Event::CallAborted { call, closed_by: by });
        if by == ClosedBy::Partner {
            self.reset()?;
        }
        Ok(false)
    }

    /// Waits until an answer is due, and longer while the partner stands still.
    async fn wait(
        &mut self,
        due: Option<Timestamp>,
        breaks: &mut watch::Receiver<u32>,
    ) -> Result<(), ClosedBy> {
        let recorder = self.site.recorder.clone();
        let mut due = due;
        let mut more = Vec::new();
        loop {
            let never = recorder.now() + Duration::from_secs(3600);
            tokio::select! {
                biased;
                _ = breaks.changed() => return Err(ClosedBy::Partner),
                read = self.stream.read_buf(&mut more) => match read {
                    // A courier has nothing to say before its answer: it is soon given up.
                    Ok(count) if count > 0 && more.len() < BACKLOG as usize => {}
                    _ => return Err(ClosedBy::Courier),
                },
                () = sleep_until(recorder.instant(due.unwrap_or(never))) => {
                    let stalled = self.endpoint.partner.borrow().stalled(self.endpoint.place);
                    match (due, stalled.filter(|until| *until > recorder.now())) {
                        (Some(_), Some(until)) => due = Some(until),
                        (Some(at), None) => {
                            self.site.counters.late(at, recorder.now());
                            return Ok(());
                        }
                        (None, _) => {}
                    }
                }
            }
        }
    }

    async fn answer(&mut self, call: CallId, answer: Answer, status: &str, header: &str) -> io::Result<()> {
        let report = if self.endpoint.reports {
            let (left, limit) = self.endpoint.partner.borrow_mut().report(self.site.recorder.now());
            format!("X-Load-Report: x0={left:.2},x1={limit:.1}\r\n")
        } else {
            String::new()
        };
        let body = format!("{:016x}", call.0);
        let length = body.len();
        let text = format!("HTTP/1.1 {status}\r\n{header}{report}Content-Length: {length}\r\n\r\n{body}");
        let at = self.site.recorder.now();
        let written = self.stream.write_all(text.as_bytes()).await;
        self.last_delivery = (answer == Answer::Ok).then(|| text.into_bytes());
        let event = match written {
            Ok(()) => Event::CallAnswered { call, answer },
            Err(_) => Event::CallAborted { call, closed_by: ClosedBy::Courier },
        };
        self.site.recorder.note_at(at, event);
        written
    }
}

/// Damaged answers, in turn: what they mean, and their bytes. Behind each the connection ends.
fn spoilt(call: CallId) -> (Answer, &'static [u8]) {
    match call.0 % 5 {
        0 => (Answer::Malformed, b"\x00\xff\x07 no answer at all\r\n\r\n"),
        // Turned away, it seems, but not whole: it is not to be believed.
        1 => (Answer::Malformed, b"HTTP/1.1 503 Full\r\nContent-Length: 90\r\n\r\nand then"),
        2 => (Answer::Malformed, b"HTTP/1.1 429 Later\r\nX-Come-Back-Ms: 50"),
        3 => (Answer::Malformed, b"HTTP/9"),
        // A first line with 200 delivers, whatever is wrong behind it.
        _ => (Answer::Ok, b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 7\r\n\r\nok"),
    }
}
