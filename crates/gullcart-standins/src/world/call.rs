//! The stand-in for endpoints: each call is passed to the test, which answers it.

use super::http::{read_request, Request};
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::mpsc::{channel, Sender};

/// Something that the courier did.
pub enum CourierAction {
    /// It called an endpoint.
    Call(Call),
    /// It sent a notice to discovery: one line of the request.
    Notice(String),
}

/// A call in flight at an endpoint. If it is dropped without an answer, the connection stays open and silent.
pub struct Call {
    /// Index of the endpoint.
    pub endpoint: usize,
    /// Value of the header `x-call-id`, or empty.
    pub id: String,
    /// Body of the request.
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

    /// Answers with a status and additional headers; the body is the id of the call.
    pub fn answer(self, status: &str, headers: &str) {
        let text = self.response_bytes(status, headers);
        self.answer_raw(&text);
    }

    /// The bytes that [`Call::answer`] writes.
    pub fn response_bytes(&self, status: &str, headers: &str) -> Vec<u8> {
        let length = self.id.len();
        format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{}", self.id).into_bytes()
    }

    /// Answers with these raw bytes.
    pub fn answer_raw(self, bytes: &[u8]) {
        let _ = self.answer.send(Some(bytes.to_vec()));
    }

    /// The endpoint's side of the connection, for writing to it apart from the answer.
    pub fn stream(&self) -> TcpStream {
        self.connection.try_clone().unwrap()
    }

    /// The courier's address on the connection that carried this call.
    pub fn courier_address(&self) -> SocketAddr {
        self.connection.peer_addr().unwrap()
    }

    /// Whether the courier has closed its sending side of this call's connection.
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

/// Passes the calls of one connection to the test, and writes its answers.
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
            // The test dropped the call: waits until the courier closes the connection.
            Err(_) => drop(input.read(&mut [0])),
        }
    }
}
