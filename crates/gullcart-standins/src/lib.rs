//! What stands around a courier on loopback: partners, the register and clients.
//!
//! [`world`] is for tests that decide every answer themselves.
#![forbid(unsafe_code)]

pub mod world;
