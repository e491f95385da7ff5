//! Links between processes: loopback proxies through which the processes connect to each other, one for each directed
//! pair. [`faults`] holds the faults of a link and their combined effect; this module moves the bytes.

pub mod faults;
pub mod mesh;

use crate::endpoint::{bind_reusable, ACCEPT_BACKLOG, ACCEPT_RETRY_DELAY};
use faults::{Direction, LinkFault, LinkFaults, MAX_HELD_BYTES};
use gullcart_judge::trace::Timestamp;
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

/// Maximum bytes of one read.
const CHUNK_BYTES: usize = 4096;
/// Chunks that are buffered in each direction of a connection.
const MAX_HELD_CHUNKS: usize = MAX_HELD_BYTES / CHUNK_BYTES;

/// What a link shares with its connections.
struct Shared {
    opened_at: Instant,
    faults: RefCell<LinkFaults>,
    /// Notifies connections that the faults have changed.
    changes: watch::Sender<()>,
    /// Where connections are forwarded to; `None` while nothing listens there.
    target: Cell<Option<SocketAddr>>,
    rng: RefCell<fastrand::Rng>,
    /// Bytes delivered in each [`Direction`].
    bytes_carried: [Cell<u64>; 2],
    connections_accepted: Cell<u64>,
}

impl Shared {
    /// Time since the link was opened.
    fn now(&self) -> Timestamp {
        Timestamp(self.opened_at.elapsed().as_micros() as u64)
    }

    /// Waits while a fault cuts this direction.
    async fn wait_while_cut(&self, direction: Direction) {
        let mut changes = self.changes.subscribe();
        loop {
            let now = self.now();
            let (cut, next_change) = {
                let faults = self.faults.borrow();
                (faults.is_cut(direction, now), faults.changes_at(now))
            };
            if !cut {
                return;
            }
            let change_at = next_change.map(|at| self.opened_at + Duration::from_micros(at.0));
            tokio::select! {
                _ = changes.changed() => {}
                // Disabled without a time; the moment in its place is never used.
                () = sleep_until(change_at.unwrap_or(self.opened_at)), if change_at.is_some() => {}
            }
        }
    }
}

/// A directed link: connections to its address are forwarded to its target as far as its faults allow.
pub struct Link {
    address: SocketAddr,
    /// Reserves the port while connections are refused.
    _reserved_port: Socket,
    shared: Rc<Shared>,
    accepting: RefCell<Option<JoinHandle<()>>>,
}

impl Link {
    /// A link without faults and without a target. `seed` is that of random delays.
    pub fn open(seed: u64) -> io::Result<Self> {
        let reserved = bind_reusable(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let address = reserved.local_addr()?;
        let address = address.as_socket().ok_or_else(|| io::Error::other("the socket has no IP address"))?;
        let shared = Rc::new(Shared {
            opened_at: Instant::now(),
            faults: RefCell::default(),
            changes: watch::Sender::new(()),
            target: Cell::default(),
            rng: RefCell::new(fastrand::Rng::with_seed(seed)),
            bytes_carried: Default::default(),
            connections_accepted: Cell::default(),
        });
        let link = Link { address, _reserved_port: reserved, shared, accepting: RefCell::default() };
        link.apply_faults()?;
        Ok(link)
    }

    /// The address that the source process connects to. It does not change.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the address on which the target process listens; `None` while it does not listen. Applies to new connections.
    pub fn set_target(&self, target: Option<SocketAddr>) {
        self.shared.target.set(target);
    }

    /// Begins a fault; `id` identifies it for [`Link::end_fault`].
    pub fn begin_fault(&self, id: u32, fault: LinkFault) -> io::Result<()> {
        self.shared.faults.borrow_mut().begin_fault(id, fault, self.shared.now());
        self.apply_faults()
    }

    /// Ends a fault.
    pub fn end_fault(&self, id: u32) -> io::Result<()> {
        self.shared.faults.borrow_mut().end_fault(id);
        self.apply_faults()
    }

    /// Ends all faults.
    pub fn end_all_faults(&self) -> io::Result<()> {
        self.shared.faults.borrow_mut().end_all_faults();
        self.apply_faults()
    }

    /// Bytes delivered in this direction on all connections.
    pub fn bytes_carried(&self, direction: Direction) -> u64 {
        self.shared.bytes_carried[direction as usize].get()
    }

    /// Connections accepted so far.
    pub fn connections_accepted(&self) -> u64 {
        self.shared.connections_accepted.get()
    }

    /// Starts or stops accepting connections as the faults demand, and notifies open ones.
    fn apply_faults(&self) -> io::Result<()> {
        let refused = self.shared.faults.borrow().is_refused();
        let mut accepting = self.accepting.borrow_mut();
        if refused {
            if let Some(accepting) = accepting.take() {
                accepting.abort();
            }
        } else if accepting.is_none() {
            let socket = bind_reusable(self.address)?;
            socket.listen(ACCEPT_BACKLOG)?;
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
        // Resets the open connections, by a fault with an id that no other one has.
        self.shared.faults.borrow_mut().begin_fault(u32::MAX, LinkFault::Refused, Timestamp(0));
        self.shared.changes.send_replace(());
    }
}

/// Accepts connections and proxies each in a task.
async fn accept(listener: TcpListener, shared: Rc<Shared>) {
    loop {
        let Ok((from, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        shared.connections_accepted.set(shared.connections_accepted.get() + 1);
        spawn_local(proxy(from, shared.clone()));
    }
}

/// Proxies one connection until it ends or a fault refuses connections.
async fn proxy(from: TcpStream, shared: Rc<Shared>) {
    let mut changes = shared.changes.subscribe();
    let refused = async {
        while !shared.faults.borrow().is_refused() {
            if changes.changed().await.is_err() {
                return;
            }
        }
    };
    let proxied = async {
        if shared.faults.borrow().is_silent() {
            // Whatever is sent is discarded, and only the source ends the connection.
            let mut discarded = [0; CHUNK_BYTES];
            loop {
                match read_some(&from, &mut discarded).await {
                    Ok(0) | Err(_) => return,
                    Ok(_) => {}
                }
            }
        }
        let Some(target) = shared.target.get() else { return };
        let Ok(to) = TcpStream::connect(target).await else { return };
        let _ = (from.set_nodelay(true), to.set_nodelay(true));
        let carried_both_ways = Cell::new(0);
        let forward_result = forward(&shared, Direction::Forward, &from, &to, &carried_both_ways);
        let backward_result = forward(&shared, Direction::Backward, &to, &from, &carried_both_ways);
        if let (Err(_), _) | (_, Err(_)) = ended_by_either(forward_result, backward_result).await {
            reset(&to);
            reset(&from);
        }
    };
    tokio::select! {
        () = refused => reset(&from),
        () = proxied => {}
    }
}

/// Waits for both directions to end; an error in one ends the other at once.
async fn ended_by_either(
    forward_result: impl std::future::Future<Output = io::Result<()>>,
    backward_result: impl std::future::Future<Output = io::Result<()>>,
) -> (io::Result<()>, io::Result<()>) {
    tokio::pin!(forward_result, backward_result);
    tokio::select! {
        done = &mut forward_result => match done {
            Ok(()) => (Ok(()), backward_result.await),
            failed => (failed, Ok(())),
        },
        done = &mut backward_result => match done {
            Ok(()) => (forward_result.await, Ok(())),
            failed => (Ok(()), failed),
        },
    }
}

/// Makes the connection end with a reset when it is dropped.
fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Reads what is available, waiting for the first byte. 0 at the end of the stream.
async fn read_some(stream: &TcpStream, bytes: &mut [u8]) -> io::Result<usize> {
    loop {
        stream.readable().await?;
        match stream.try_read(bytes) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            done => return done,
        }
    }
}

/// Writes all bytes through a shared reference, so that both directions can use the stream.
async fn write_all(stream: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
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

/// Forwards the bytes of one direction in order. A read error is delayed like data, then returned so that the caller resets
/// the connection.
async fn forward(
    shared: &Shared,
    direction: Direction,
    from: &TcpStream,
    to: &TcpStream,
    carried_both_ways: &Cell<u64>,
) -> io::Result<()> {
    let (sender, mut receiver) = mpsc::channel::<(Instant, io::Result<Vec<u8>>)>(MAX_HELD_CHUNKS);
    let receive = async move {
        let mut due = Instant::now();
        loop {
            let mut bytes = vec![0; CHUNK_BYTES];
            let chunk = read_some(from, &mut bytes).await.map(|count| {
                bytes.truncate(count);
                bytes
            });
            let is_last = !matches!(&chunk, Ok(bytes) if !bytes.is_empty());
            let delay = shared.faults.borrow().delay(shared.rng.borrow_mut().f64());
            due = due.max(Instant::now() + delay);
            if sender.send((due, chunk)).await.is_err() || is_last {
                return;
            }
        }
    };
    let deliver = async move {
        while let Some((due, chunk)) = receiver.recv().await {
            sleep_until(due).await;
            shared.wait_while_cut(direction).await;
            let chunk = chunk?;
            if chunk.is_empty() {
                SockRef::from(to).shutdown(std::net::Shutdown::Write)?;
                return Ok(());
            }
            let bytes_per_second = shared.faults.borrow().bytes_per_second();
            if let Some(bytes_per_second) = bytes_per_second {
                sleep(Duration::from_secs_f64(chunk.len() as f64 / f64::from(bytes_per_second))).await;
                shared.wait_while_cut(direction).await;
            }
            let bytes_until_reset =
                shared.faults.borrow().bytes_until_reset(carried_both_ways.get()).unwrap_or(u64::MAX);
            let count = chunk.len().min(usize::try_from(bytes_until_reset).unwrap_or(usize::MAX));
            write_all(to, &chunk[..count]).await?;
            carried_both_ways.set(carried_both_ways.get() + count as u64);
            let carried = &shared.bytes_carried[direction as usize];
            carried.set(carried.get() + count as u64);
            if count < chunk.len() || count as u64 == bytes_until_reset {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
        }
        Ok(())
    };
    let ((), done) = tokio::join!(receive, deliver);
    done
}
