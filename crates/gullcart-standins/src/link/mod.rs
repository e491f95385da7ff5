//! Links between processes that talk to each other: each process reaches each other one through a proxy on loopback, one
//! for each directed pair. [`plan`] says what a link does at a moment; here bytes move.

pub mod mesh;
pub mod plan;

use crate::endpoint::{bound, BACKLOG, PAUSE};
use gullcart_judge::trace::Timestamp;
use plan::{Plan, Trouble, Way, MOST_HELD};
use socket2::{SockRef, Socket};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, sleep_until, Instant};

/// Bytes that are read at once.
const PIECE: usize = 4096;
/// Pieces that are held back in each way of a connection.
const PIECES: usize = MOST_HELD / PIECE;

/// What the connections of a link share.
struct Shared {
    begun: Instant,
    plan: RefCell<Plan>,
    /// Tells connections that the plan has changed.
    changes: watch::Sender<()>,
    target: Cell<Option<SocketAddr>>,
    rng: RefCell<fastrand::Rng>,
    carried: [Cell<u64>; 2],
    accepted: Cell<u64>,
}

impl Shared {
    fn now(&self) -> Timestamp {
        Timestamp(self.begun.elapsed().as_micros() as u64)
    }

    /// Waits while this way is cut.
    async fn clear(&self, way: Way) {
        let mut changes = self.changes.subscribe();
        loop {
            let now = self.now();
            let (cut, next) = {
                let plan = self.plan.borrow();
                (plan.is_cut(way, now), plan.changes_at(now))
            };
            if !cut {
                return;
            }
            let edge = next.map(|next| self.begun + Duration::from_micros(next.0));
            tokio::select! {
                _ = changes.changed() => {}
                () = sleep_until(edge.unwrap_or(self.begun)), if edge.is_some() => {}
            }
        }
    }
}

/// A directed link: one process connects here, and gets through to the other as far as the troubles allow.
pub struct Link {
    address: SocketAddr,
    /// Keeps the address while connections are refused.
    _reserved: Socket,
    shared: Rc<Shared>,
    accepting: RefCell<Option<JoinHandle<()>>>,
}

impl Link {
    /// A sound link that leads nowhere yet.
    pub fn open(seed: u64) -> io::Result<Self> {
        let reserved = bound(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let address = reserved.local_addr()?;
        let address = address.as_socket().ok_or_else(|| io::Error::other("an address that is not of IP"))?;
        let shared = Rc::new(Shared {
            begun: Instant::now(),
            plan: RefCell::default(),
            changes: watch::Sender::new(()),
            target: Cell::default(),
            rng: RefCell::new(fastrand::Rng::with_seed(seed)),
            carried: Default::default(),
            accepted: Cell::default(),
        });
        let link = Link { address, _reserved: reserved, shared, accepting: RefCell::default() };
        link.follow()?;
        Ok(link)
    }

    /// Where the process at its beginning connects, for as long as the link is there.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Where the process at its end listens; none while it does not.
    pub fn lead_to(&self, target: Option<SocketAddr>) {
        self.shared.target.set(target);
    }

    /// A trouble begins, under a number by which it ends.
    pub fn begin(&self, number: u32, trouble: Trouble) -> io::Result<()> {
        self.shared.plan.borrow_mut().begin(number, trouble, self.shared.now());
        self.follow()
    }

    /// A trouble ends.
    pub fn end(&self, number: u32) -> io::Result<()> {
        self.shared.plan.borrow_mut().end(number);
        self.follow()
    }

    /// All of them end.
    pub fn heal(&self) -> io::Result<()> {
        self.shared.plan.borrow_mut().heal();
        self.follow()
    }

    /// Bytes that have arrived one way.
    pub fn carried(&self, way: Way) -> u64 {
        self.shared.carried[way as usize].get()
    }

    /// Connections that came up.
    pub fn accepted(&self) -> u64 {
        self.shared.accepted.get()
    }

    /// Opens or shuts the address, and tells connections.
    fn follow(&self) -> io::Result<()> {
        let refused = self.shared.plan.borrow().is_refused();
        let mut accepting = self.accepting.borrow_mut();
        if refused {
            if let Some(accepting) = accepting.take() {
                accepting.abort();
            }
        } else if accepting.is_none() {
            let socket = bound(self.address)?;
            socket.listen(BACKLOG)?;
            let listener = TcpListener::from_std(socket.into())?;
            *accepting = Some(spawn_local(accept(listener, self.shared.clone())));
        }
        self.shared.changes.send_replace(());
        Ok(())
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        if let Some(accepting) = self.accepting.borrow_mut().take() {
            accepting.abort();
        }
        // Connections end with it.
        self.shared.plan.borrow_mut().begin(u32::MAX, Trouble::Refused, Timestamp(0));
        self.shared.changes.send_replace(());
    }
}

async fn accept(listener: TcpListener, shared: Rc<Shared>) {
    loop {
        let Ok((from, _)) = listener.accept().await else {
            sleep(PAUSE).await;
            continue;
        };
        shared.accepted.set(shared.accepted.get() + 1);
        spawn_local(carry(from, shared.clone()));
    }
}

async fn carry(from: TcpStream, shared: Rc<Shared>) {
    let mut changes = shared.changes.subscribe();
    let refused = async {
        while !shared.plan.borrow().is_refused() {
            if changes.changed().await.is_err() {
                return;
            }
        }
    };
    let carried = async {
        if shared.plan.borrow().is_silent() {
            // Nothing of it arrives, and it does not end by itself.
            let mut lost = [0; PIECE];
            loop {
                match read(&from, &mut lost).await {
                    Ok(0) | Err(_) => return,
                    Ok(_) => {}
                }
            }
        }
        let Some(target) = shared.target.get() else { return };
        let Ok(to) = TcpStream::connect(target).await else { return };
        let _ = (from.set_nodelay(true), to.set_nodelay(true));
        let both = Cell::new(0);
        let there = pump(&shared, Way::There, &from, &to, &both);
        let back = pump(&shared, Way::Back, &to, &from, &both);
        if let (Err(_), _) | (_, Err(_)) = ended_by_either(there, back).await {
            reset(&to);
            reset(&from);
        }
    };
    tokio::select! {
        () = refused => reset(&from),
        () = carried => {}
    }
}

/// Both ways end by themselves; a reset in one ends the other.
async fn ended_by_either(
    there: impl std::future::Future<Output = io::Result<()>>,
    back: impl std::future::Future<Output = io::Result<()>>,
) -> (io::Result<()>, io::Result<()>) {
    tokio::pin!(there, back);
    tokio::select! {
        done = &mut there => match done {
            Ok(()) => (Ok(()), back.await),
            failed => (failed, Ok(())),
        },
        done = &mut back => match done {
            Ok(()) => (there.await, Ok(())),
            failed => (Ok(()), failed),
        },
    }
}

/// The connection ends with a reset when it is dropped.
fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

async fn read(stream: &TcpStream, bytes: &mut [u8]) -> io::Result<usize> {
    loop {
        stream.readable().await?;
        match stream.try_read(bytes) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            done => return done,
        }
    }
}

async fn write(stream: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        stream.writable().await?;
        match stream.try_write(bytes) {
            Ok(count) => bytes = &bytes[count..],
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Moves what comes one way, in its order. An error is the reset of the connection, which arrives in its turn, too.
async fn pump(
    shared: &Shared,
    way: Way,
    from: &TcpStream,
    to: &TcpStream,
    both: &Cell<u64>,
) -> io::Result<()> {
    let (hold, mut held) = mpsc::channel::<(Instant, io::Result<Vec<u8>>)>(PIECES);
    let take_in = async move {
        let mut due = Instant::now();
        loop {
            let mut bytes = vec![0; PIECE];
            let piece = read(from, &mut bytes).await.map(|count| {
                bytes.truncate(count);
                bytes
            });
            let is_last = !matches!(&piece, Ok(bytes) if !bytes.is_empty());
            let late = shared.plan.borrow().late(shared.rng.borrow_mut().f64());
            due = due.max(Instant::now() + late);
            if hold.send((due, piece)).await.is_err() || is_last {
                return;
            }
        }
    };
    let give_out = async move {
        while let Some((due, piece)) = held.recv().await {
            sleep_until(due).await;
            shared.clear(way).await;
            let piece = piece?;
            if piece.is_empty() {
                SockRef::from(to).shutdown(std::net::Shutdown::Write)?;
                return Ok(());
            }
            let pace = shared.plan.borrow().pace();
            if let Some(pace) = pace {
                sleep(Duration::from_secs_f64(piece.len() as f64 / f64::from(pace))).await;
                shared.clear(way).await;
            }
            let room = shared.plan.borrow().room(both.get()).unwrap_or(u64::MAX);
            let part = piece.len().min(usize::try_from(room).unwrap_or(usize::MAX));
            write(to, &piece[..part]).await?;
            both.set(both.get() + part as u64);
            let carried = &shared.carried[way as usize];
            carried.set(carried.get() + part as u64);
            if part < piece.len() || part as u64 == room {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
        }
        Ok(())
    };
    let ((), done) = tokio::join!(take_in, give_out);
    done
}
