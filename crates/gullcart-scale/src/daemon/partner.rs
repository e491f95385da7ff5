//! A stand-in for the partners' endpoints: all of them are at one address.

use super::error::MeasureError;
use super::http;
use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

const DELIVERED: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const COME_LATER: &[u8] = b"HTTP/1.1 429 Too Many\r\nX-Come-Back-Ms: 600000\r\nContent-Length: 0\r\n\r\n";

/// What partners do with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// They take it at once.
    Deliver,
    /// They read it and never answer.
    Silent,
    /// They turn it away, and tell the longest wait that the daemon heeds: ten minutes.
    TellWait,
}

/// Calls that came, and who waits for them.
#[derive(Default)]
struct Calls {
    count: Mutex<u64>,
    more: Condvar,
}

/// Partners on loopback.
pub struct Partners {
    address: SocketAddr,
    calls: Arc<Calls>,
}

impl Partners {
    /// Starts them at a new address.
    pub fn start(behaviour: Behaviour) -> Result<Self, MeasureError> {
        let calls = Arc::new(Calls::default());
        let counted = calls.clone();
        let address = http::serve(move |stream| answer(stream, behaviour, &counted));
        Ok(Partners { address: address.map_err(MeasureError::io("listening for calls"))?, calls })
    }

    /// Where all their endpoints are.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Calls that came so far.
    pub fn calls(&self) -> u64 {
        *self.calls.count.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until so many calls have come.
    pub fn wait_for_calls(&self, count: u64, limit: Duration) -> Result<(), MeasureError> {
        let end = Instant::now() + limit;
        let mut seen = self.calls.count.lock().unwrap_or_else(PoisonError::into_inner);
        while *seen < count {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(MeasureError::Late { what: "a delivery".to_owned(), limit });
            }
            seen = self.calls.more.wait_timeout(seen, left).unwrap_or_else(PoisonError::into_inner).0;
        }
        Ok(())
    }
}

fn answer(stream: TcpStream, behaviour: Behaviour, calls: &Calls) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut out = stream.try_clone()?;
    let mut input = BufReader::new(stream);
    while http::read_request(&mut input)?.is_some() {
        *calls.count.lock().unwrap_or_else(PoisonError::into_inner) += 1;
        calls.more.notify_all();
        match behaviour {
            Behaviour::Deliver => out.write_all(DELIVERED)?,
            Behaviour::TellWait => out.write_all(COME_LATER)?,
            // Until the daemon closes.
            Behaviour::Silent => return input.read(&mut [0]).map(drop),
        }
    }
    Ok(())
}
