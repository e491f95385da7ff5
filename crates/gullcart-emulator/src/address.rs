//! Addresses of endpoints on the emulated network.

use std::net::{Ipv4Addr, SocketAddr};

/// The emulated network is 127.0.0.0/8.
const NETWORK: u32 = 0x7f00_0000;
/// The bits of an IPv4 address that identify an endpoint in the network.
const HOST_MASK: u32 = 0x00ff_ffff;

/// Address of an endpoint: the host part of its IPv4 address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Address(pub u32);

impl Address {
    /// The text of the address in the register's list. The port is always 1: each endpoint has an IP address of its own.
    pub fn text(self) -> String {
        SocketAddr::from((Ipv4Addr::from(NETWORK | self.0), 1)).to_string()
    }

    /// The emulated address for a socket address that a courier calls; `None` for IPv6.
    pub fn of(socket: SocketAddr) -> Option<Self> {
        match socket {
            SocketAddr::V4(v4) => Some(Address(u32::from(*v4.ip()) & HOST_MASK)),
            SocketAddr::V6(_) => None,
        }
    }
}
