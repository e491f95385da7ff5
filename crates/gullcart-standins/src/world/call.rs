//! Endpoints: each call that reaches one is handed to the test, which answers it.

use super::http::{read_request, Request};
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::mpsc::{channel, Sender};

/// What the world has seen the courier do.
pub enum CourierAction {
    /// A call reached an endpoint.
    Call(Call),
    /// A line of a request with notices reached discovery.
    Notice(String),
}

/// A call out at an endpoint. One that is dropped unanswered hangs.
pub struct Call {
    pub endpoint: usize,
    pub id: String,
    pub body: Vec<u8>,
    headers: Vec<(String, String)>,
    answer: Sender<Option<Vec<u8>>>,
    connection: TcpStream,
}

impl Call {
    /// The value of a header, by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Answers with a status and further headers; the body names the call.
    pub fn answer(self, status: &str, headers: &str) {
        let text = self.response_bytes(status, headers);
        self.answer_raw(&text);
    }

    /// The bytes of such an answer.
    pub fn response_bytes(&self, status: &str, headers: &str) -> Vec<u8> {
        let length = self.id.len();
        format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{}", self.id).into_bytes()
    }

    /// Answers with these bytes, whatever they say.
    pub fn answer_raw(self, bytes: &[u8]) {
        let _ = self.answer.send(Some(bytes.to_vec()));
    }

    /// The endpoint's side of the connection, for what comes on it beside the answer.
    pub fn stream(&self) -> TcpStream {
        self.connection.try_clone().unwrap()
    }

    /// The courier's side of the connection that this call came on.
    pub fn courier_address(&self) -> SocketAddr {
        self.connection.peer_addr().unwrap()
    }

    /// Whether the courier has ended its sending on this call's connection.
    pub fn is_closed(&self) -> bool {
        let mut connection = &self.connection;
        connection.set_nonblocking(true).unwrap();
        !matches!(connection.read(&mut [0]), Err(error) if error.kind() == ErrorKind::WouldBlock)
    }

    /// Closes the connection without an answer.
    pub fn close(self) {
        let _ = self.answer.send(None);
    }
}

/// Hands the calls of one connection to the test, and writes what it answers.
pub(super) fn serve_calls(endpoint: usize, stream: TcpStream, actions: &Sender<CourierAction>) {
    let Ok(mut out) = stream.try_clone() else { return };
    let mut input = BufReader::new(stream);
    while let Some(Request { headers, body, .. }) = read_request(&mut input) {
        let id = headers.iter().find(|(name, _)| name == "x-call-id").map(|(_, id)| id.clone());
        let (answer, answered) = channel();
        let Ok(connection) = out.try_clone() else { return };
        let call = Call { endpoint, id: id.unwrap_or_default(), body, headers, answer, connection };
        if actions.send(CourierAction::Call(call)).is_err() {
            return;
        }
        match answered.recv() {
            Ok(Some(bytes)) => drop(out.write_all(&bytes)),
            Ok(None) => drop(out.shutdown(Shutdown::Both)),
            // Hangs: until the courier closes.
            Err(_) => drop(input.read(&mut [0])),
        }
    }
}
