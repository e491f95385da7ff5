//! What stands around a courier under test, on loopback sockets: endpoints whose every answer the test decides,
//! discovery, and clients. All ports are chosen by the system, and tests wait on what arrives.

mod agent;
mod call;
mod client;
mod config;
mod connections;
mod courier;
mod expectations;
mod harness;
mod http;
mod updates;

pub use agent::Agent;
pub use call::{Call, CourierAction};
pub use client::Client;
pub use connections::StalledListener;
pub use courier::{Courier, KilledCourier};
pub use harness::World;

use std::time::Duration;

/// Far longer than anything here takes; only a failing test waits for so long.
const TIMEOUT: Duration = Duration::from_secs(20);
/// How long nothing may happen where nothing should.
const QUIET_PERIOD: Duration = Duration::from_millis(300);
