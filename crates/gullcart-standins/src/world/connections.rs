//! Endpoints whose connections are refused or not established.

use super::call::serve_calls;
use super::harness::World;
use super::http::serve;
use super::QUIET_PERIOD;
use socket2::{Domain, Socket, Type};
use std::net::{SocketAddr, TcpListener, TcpStream};

/// A socket that is bound to a loopback port but does not listen, and its address.
fn bind_loopback() -> (Socket, SocketAddr) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    (socket, address)
}

/// A listener whose accept queue is full, so that no further connection is established.
pub struct StalledListener {
    listener: TcpListener,
    endpoint: usize,
    _fillers: Vec<TcpStream>,
}

impl World {
    /// Replaces the address of an endpoint with one that refuses connections.
    pub fn refuse_connections(&mut self, endpoint: usize) {
        let (socket, address) = bind_loopback();
        self.endpoints[endpoint] = address;
        self.refusing.push(socket);
    }

    /// Replaces the address of an endpoint with one whose accept queue is full, so that connections are not established
    /// until the returned listener is passed to [`World::serve_stalled`].
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

    /// Accepts and serves the connections of a stalled listener.
    pub fn serve_stalled(&self, stalled: StalledListener) {
        let (action_sender, endpoint) = (self.action_sender.clone(), stalled.endpoint);
        serve(stalled.listener, move |stream| serve_calls(endpoint, stream, &action_sender));
    }
}
