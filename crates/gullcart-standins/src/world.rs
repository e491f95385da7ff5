//! The harness of the daemon's tests. [`World`] has endpoints whose every answer the test scripts, discovery, and clients, on
//! loopback sockets, and starts couriers among them. The system chooses all ports, and tests wait for events rather than
//! for times. It uses threads and blocking calls, unlike the rest of this package.

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

/// Upper bound of every wait. It is far longer than any step takes, so only a failing test reaches it.
const TIMEOUT: Duration = Duration::from_secs(20);
/// How long a test watches to conclude that something does not happen.
const QUIET_PERIOD: Duration = Duration::from_millis(300);
