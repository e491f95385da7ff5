//! Clients: they hand messages in over RESP2 and wait for the answer.

use super::error::MeasureError;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A client waits so long for its answer.
const PATIENCE: Duration = Duration::from_secs(30);
/// A hand-in may still be delivered for this long.
const LEFT: Duration = Duration::from_secs(4 * 3600);
/// Connections on which a client hands in many messages at a time.
const TOGETHER: usize = 64;
const TAKEN: &str = "+OK";
const BUSY: &str = "-BUSY";
/// Between two tries of a message that was refused.
const BUSY_PAUSE: Duration = Duration::from_millis(20);

/// The clients of one daemon.
pub struct Clients {
    address: SocketAddr,
    class: &'static str,
    connections: Vec<BufReader<TcpStream>>,
    next_id: u64,
}

impl Clients {
    /// Clients of the daemon at an address, whose messages are all of one class.
    pub fn new(address: SocketAddr, class: &'static str) -> Self {
        Clients { address, class, connections: Vec::new(), next_id: 0 }
    }

    /// They find the daemon elsewhere from now on.
    pub fn find(&mut self, address: SocketAddr) {
        self.address = address;
        self.connections.clear();
    }

    /// Hands one message in, which must be taken.
    pub fn hand_in(&mut self, destination: u32) -> Result<(), MeasureError> {
        match self.ask(destination)? {
            answer if answer == TAKEN => Ok(()),
            other => Err(MeasureError::Answer(other)),
        }
    }

    /// Hands one message in and returns the answer, whatever it is.
    pub fn ask(&mut self, destination: u32) -> Result<String, MeasureError> {
        let request = self.request(destination);
        if let Some(mut connection) = self.connections.pop() {
            // A daemon closes connections that stand idle.
            if let Ok(answer) = exchange(&mut connection, &request) {
                self.connections.push(connection);
                return Ok(answer);
            }
        }
        let mut connection = self.connect()?;
        let answer = exchange(&mut connection, &request).map_err(MeasureError::Client)?;
        self.connections.push(connection);
        Ok(answer)
    }

    /// Hands in as many messages as there are destinations, many at a time. Those that are refused for now come again,
    /// until the deadline. Returns how many were taken.
    pub fn hand_in_all(
        &mut self,
        destinations: impl Iterator<Item = u32>,
        deadline: Instant,
        mut each: impl FnMut() -> Result<(), MeasureError>,
    ) -> Result<u64, MeasureError> {
        let mut connections = Vec::new();
        for _ in 0..TOGETHER {
            connections.push(self.connect()?);
        }
        let (mut destinations, mut again) = (destinations, Vec::new());
        let mut taken = 0;
        loop {
            each()?;
            let mut batch: Vec<u32> = std::mem::take(&mut again);
            batch.extend(destinations.by_ref().take(TOGETHER - batch.len()));
            if batch.is_empty() || Instant::now() >= deadline {
                return Ok(taken);
            }
            for (connection, destination) in connections.iter_mut().zip(&batch) {
                let request = self.request(*destination);
                connection.get_mut().write_all(&request).map_err(MeasureError::Client)?;
            }
            for (connection, destination) in connections.iter_mut().zip(&batch) {
                match read_line(connection).map_err(MeasureError::Client)? {
                    answer if answer == TAKEN => taken += 1,
                    answer if answer.starts_with(BUSY) => again.push(*destination),
                    answer => return Err(MeasureError::Answer(answer)),
                }
            }
            if !again.is_empty() {
                std::thread::sleep(BUSY_PAUSE);
            }
        }
    }

    fn connect(&self) -> Result<BufReader<TcpStream>, MeasureError> {
        let connect = || {
            let stream = TcpStream::connect(self.address)?;
            stream.set_nodelay(true)?;
            stream.set_read_timeout(Some(PATIENCE))?;
            Ok(BufReader::new(stream))
        };
        connect().map_err(MeasureError::Client)
    }

    /// A request with a new id.
    fn request(&mut self, destination: u32) -> Vec<u8> {
        self.next_id += 1;
        let id = format!("m{}", self.next_id);
        let fields = format!("c={},d={},dest={destination}", self.class, LEFT.as_millis());
        let words = ["ENQUEUE", "0", &id, &fields, "x"];
        let mut request = format!("*{}\r\n", words.len());
        for word in words {
            request.push_str(&format!("${}\r\n{word}\r\n", word.len()));
        }
        request.into_bytes()
    }
}

/// Whether the daemon at an address answers a ping.
pub fn answers(address: SocketAddr, limit: Duration) -> bool {
    let ask = || -> io::Result<String> {
        let stream = TcpStream::connect_timeout(&address, limit)?;
        stream.set_read_timeout(Some(limit))?;
        exchange(&mut BufReader::new(stream), b"*1\r\n$4\r\nPING\r\n")
    };
    ask().is_ok_and(|answer| answer == "+PONG")
}

fn exchange(connection: &mut BufReader<TcpStream>, request: &[u8]) -> io::Result<String> {
    connection.get_mut().write_all(request)?;
    read_line(connection)
}

fn read_line(connection: &mut BufReader<TcpStream>) -> io::Result<String> {
    let mut line = String::new();
    match connection.read_line(&mut line)? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        _ => Ok(line.trim_end().to_owned()),
    }
}
