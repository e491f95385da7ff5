//! A stand-in for discovery's agent: the list, its changes, and notices that are answered at once.

use super::error::MeasureError;
use super::http;
use std::io::{self, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// While nothing changes, an empty line comes this often.
const KEEP_ALIVE: Duration = Duration::from_secs(1);
const HEARD: &[u8] = b"HTTP/1.1 204 No Content\r\n\r\n";
const WATCH_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const EMPTY_LINE: &str = "\n";

#[derive(Default)]
struct Shared {
    /// What it answers when asked for the whole list.
    list: String,
    /// Watches that are open.
    watches: Vec<TcpStream>,
    /// Calls for the list or a watch on it, so far.
    calls: u64,
    /// Closes each connection once it is asked.
    is_down: bool,
}

/// Discovery on loopback.
pub struct Agent {
    address: SocketAddr,
    shared: Arc<Mutex<Shared>>,
}

impl Agent {
    /// Starts an agent at a new address, that answers with a list when asked for all of it.
    pub fn start(list: String) -> Result<Self, MeasureError> {
        let shared = Arc::new(Mutex::new(Shared { list, ..Shared::default() }));
        let served = shared.clone();
        let address = http::serve(move |stream| serve(stream, &served));
        Ok(Agent { address: address.map_err(MeasureError::io("listening as discovery"))?, shared })
    }

    /// Where it is.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether the daemon watches the list.
    pub fn is_watched(&self) -> bool {
        !lock(&self.shared).watches.is_empty()
    }

    /// Calls for the list, or for a watch on it, so far.
    pub fn calls(&self) -> u64 {
        lock(&self.shared).calls
    }

    /// Closes each connection once it is asked from now on, and breaks those that there are.
    pub fn turn_away(&self) {
        let mut shared = lock(&self.shared);
        shared.is_down = true;
        shared.watches.drain(..).for_each(|watch| drop(watch.shutdown(Shutdown::Both)));
    }

    /// Tells all watches of a change, which is one line of JSON.
    pub fn tell(&self, change: &str) {
        send(&mut lock(&self.shared), &format!("{change}\n"));
    }
}

fn lock(shared: &Mutex<Shared>) -> MutexGuard<'_, Shared> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sends a line to all watches, and forgets those that are broken.
fn send(shared: &mut Shared, line: &str) {
    let chunk = format!("{:x}\r\n{line}\r\n", line.len());
    shared.watches.retain_mut(|watch| watch.write_all(chunk.as_bytes()).is_ok());
}

fn serve(stream: TcpStream, shared: &Mutex<Shared>) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut out = stream.try_clone()?;
    let mut input = BufReader::new(stream);
    while let Some(request) = http::read_request(&mut input)? {
        if request.line.starts_with("POST ") {
            out.write_all(HEARD)?;
            continue;
        }
        let is_down = {
            let mut shared = lock(shared);
            shared.calls += 1;
            shared.is_down
        };
        if is_down {
            return Ok(());
        }
        if request.line.contains("watch=1") {
            return keep_watch(input, out, shared);
        }
        let list = lock(shared).list.clone();
        out.write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len()).as_bytes())?;
    }
    Ok(())
}

/// Adds a watch, and keeps it alive until the daemon closes it.
fn keep_watch(mut input: BufReader<TcpStream>, mut out: TcpStream, shared: &Mutex<Shared>) -> io::Result<()> {
    out.write_all(WATCH_HEAD)?;
    out.write_all(format!("{:x}\r\n{EMPTY_LINE}\r\n", EMPTY_LINE.len()).as_bytes())?;
    let own = out.peer_addr()?;
    lock(shared).watches.push(out);
    input.get_ref().set_read_timeout(Some(KEEP_ALIVE))?;
    loop {
        match input.read(&mut [0]) {
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                send(&mut lock(shared), EMPTY_LINE);
            }
            _ => break,
        }
    }
    let is_other = |watch: &TcpStream| watch.peer_addr().is_ok_and(|address| address != own);
    lock(shared).watches.retain(is_other);
    Ok(())
}
