//! Test doubles on loopback for everything that a courier talks to: partners' endpoints, the partner register and clients.
//!
//! [`world`] is the harness of tests that script every answer themselves. The other modules are for rehearsals, in which
//! the stand-ins act on their own: [`partner`] models a partner without I/O, [`endpoint`] serves that model on sockets,
//! [`register`] stands in for service discovery, [`client`] enqueues messages, and [`process`] runs the daemon. They run on
//! one thread and write every event to a [`Recorder`]. [`link`] proxies connections between processes and injects
//! network faults.
#![forbid(unsafe_code)]

pub mod client;
pub mod endpoint;
pub mod folder;
mod http;
pub mod ids;
pub mod link;
pub mod partner;
pub mod process;
mod recorder;
pub mod register;
pub mod world;

pub use recorder::Recorder;
