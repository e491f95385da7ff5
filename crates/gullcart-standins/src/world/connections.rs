//! Endpoints whose connections are refused, or do not come up.

use super::call::serve_calls;
use super::harness::World;
use super::http::serve;
use super::QUIET;
use socket2::{Domain, Socket, Type};
use std::net::{SocketAddr, TcpListener, TcpStream};

/// A socket that is bound, and its address.
fn bound() -> (Socket, SocketAddr) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    (socket, address)
}

/// A listener whose queue is full.
pub struct Hanging {
    listener: TcpListener,
    endpoint: usize,
    _fillers: Vec<TcpStream>,
}

impl World {
    /// Puts an address that refuses connections in an endpoint's place.
    pub fn refuse_connections(&mut self, endpoint: usize) {
        let (socket, address) = bound();
        self.endpoints[endpoint] = address;
        self.refusing.push(socket);
    }

    /// Puts an address in an endpoint's place where connections do not come up: the queue of those that wait to
    /// be accepted is full. They do once the returned listener is served.
    pub fn hang_connections(&mut self, endpoint: usize) -> Hanging {
        let (socket, address) = bound();
        socket.listen(0).unwrap();
        let mut fillers = Vec::new();
        while let Ok(filler) = TcpStream::connect_timeout(&address, QUIET) {
            fillers.push(filler);
        }
        self.endpoints[endpoint] = address;
        Hanging { listener: socket.into(), endpoint, _fillers: fillers }
    }

    /// Lets the connections come up that hang.
    pub fn release(&self, hanging: Hanging) {
        let (send, endpoint) = (self.send.clone(), hanging.endpoint);
        serve(hanging.listener, move |stream| serve_calls(endpoint, stream, &send));
    }
}
