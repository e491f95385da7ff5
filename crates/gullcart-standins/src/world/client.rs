//! A client of a courier, which sends RESP commands.

use super::TIMEOUT;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

/// A client with one connection.
pub struct Client {
    stream: BufReader<TcpStream>,
}

impl Client {
    /// Connects to an address.
    pub(super) fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        Client { stream: BufReader::new(stream) }
    }

    /// Sends raw bytes, and ignores errors.
    pub fn send(&mut self, bytes: &[u8]) {
        // A courier may close the connection after bad input before all of it is written.
        let _ = self.try_send(bytes);
    }

    /// Sends raw bytes; an error if the courier has closed the connection.
    pub fn try_send(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.get_mut().write_all(bytes)
    }

    /// Closes the sending side.
    pub fn shutdown_write(&mut self) {
        self.stream.get_mut().shutdown(Shutdown::Write).unwrap();
    }

    /// Sets the timeout of reads.
    pub fn with_read_timeout(self, limit: Duration) -> Self {
        self.stream.get_ref().set_read_timeout(Some(limit)).unwrap();
        self
    }

    /// Reads the next reply line.
    pub fn read_reply(&mut self) -> String {
        let mut line = String::new();
        self.stream.read_line(&mut line).unwrap();
        line.trim_end().to_owned()
    }

    /// Sends a command and reads its reply line.
    pub fn request<W: AsRef<[u8]>>(&mut self, arguments: &[W]) -> String {
        self.send_command(arguments);
        self.read_reply()
    }

    /// Sends a command as an array of bulk strings.
    fn send_command<W: AsRef<[u8]>>(&mut self, arguments: &[W]) {
        let mut bytes = format!("*{}\r\n", arguments.len()).into_bytes();
        for argument in arguments.iter().map(AsRef::as_ref) {
            bytes.extend(format!("${}\r\n", argument.len()).as_bytes());
            bytes.extend(argument);
            bytes.extend(b"\r\n");
        }
        self.send(&bytes);
    }

    /// Enqueues a message and reads the reply. `key` is its order key. `class` may carry further fields after a comma, as in
    /// `notice,r=1`.
    pub fn enqueue(&mut self, id: &str, key: &str, class: &str, destination: u32, body: &[u8]) -> String {
        self.send_enqueue(id, key, class, destination, body);
        self.read_reply()
    }

    /// Sends the command that enqueues a message, without reading the reply.
    pub fn send_enqueue(&mut self, id: &str, key: &str, class: &str, destination: u32, body: &[u8]) {
        let fields = format!("d=20000,c={class},dest={destination}");
        self.send_command(&[b"ENQUEUE", key.as_bytes(), id.as_bytes(), fields.as_bytes(), body]);
    }

    /// Reads until the courier closes the connection, and returns all that it sent.
    pub fn read_to_end(&mut self) -> std::io::Result<String> {
        let mut rest = String::new();
        self.stream.read_to_string(&mut rest)?;
        Ok(rest)
    }

    /// Waits until the connection ends or a byte arrives, which is then lost, and returns whether the connection has ended.
    pub fn is_closed(&mut self) -> bool {
        match self.stream.read(&mut [0]) {
            Ok(count) => count == 0,
            Err(error) => error.kind() == ErrorKind::ConnectionReset,
        }
    }
}
