//! Endpoints whose connections are refused, or do not come up.

use super::call::serve_calls;
use super::harness::World;
use super::http::serve;
use super::QUIET_PERIOD;
use socket2::{Domain, Socket, Type};
use std::net::{SocketAddr, TcpListener, TcpStream};

/// A socket that is bound, and its address.
fn bind_loopback() -> (Socket, SocketAddr) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    (socket, address)
}

/// A listener whose queue is full.
pub struct StalledListener {
    listener: TcpListener,
    endpoint: usize,
    _fillers: Vec<TcpStream>,
}

impl World {
    /// Puts an address that refuses connections in an endpoint's place.
    pub fn refuse_connections(&mut self, endpoint: usize) {
        let (socket, address) = bind_loopback();
        self.endpoints[endpoint] = address;
        self.refusing.push(socket);
    }

    /// Puts an address in an endpoint's place where connections do not come up: the queue of those that wait to
    /// be accepted is full. They do once the returned listener is served.
    pub fn stall_connections(&mut self, endpoint: usize) -> StalledListener {
        let (socket, address) = bind_loopback();
        socket.listen(0).unwrap();
        let mut fillers = Vec::new();
        while let Ok(filler) = TcpStream::connect_timeout(&address, QUIET_PERIOD) {
            fillers.push(filler);
        }
        self.endpoints[endpoint] = address;
        StalledListener { listener: socket.into(), endpoint, _fillers: fillers }
    }

    /// Lets the connections come up that hang.
    pub fn serve_stalled(&self, stalled: StalledListener) {
        let (action_sender, endpoint) = (self.action_sender.clone(), stalled.endpoint);
        serve(stalled.listener, move |stream| serve_calls(endpoint, stream, &action_sender));
    }
}
