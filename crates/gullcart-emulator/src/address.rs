//! Addresses of endpoints on the emulated network.

use std::net::{Ipv4Addr, SocketAddr};

/// Where every address of the emulated network begins, and the part of it that tells one from another.
const NETWORK: u32 = 0x7f00_0000;
const HOST_MASK: u32 = 0x00ff_ffff;

/// Where an endpoint is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Address(pub u32);

impl Address {
    /// As discovery lists it.
    pub fn text(self) -> String {
        SocketAddr::from((Ipv4Addr::from(NETWORK | self.0), 1)).to_string()
    }

    /// The address that a courier calls; none outside the emulated network.
    pub fn of(socket: SocketAddr) -> Option<Self> {
        match socket {
            SocketAddr::V4(v4) => Some(Address(u32::from(*v4.ip()) & HOST_MASK)),
            SocketAddr::V6(_) => None,
        }
    }
}
