//! Identifiers, timestamps and lease terms that all modules of the group use.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::{Add, Sub};
use std::time::Duration;

/// A timestamp on the clock of one process, in microseconds since an arbitrary start. The clock also runs while the process or
/// its machine is suspended. Timestamps of two processes cannot be compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Moment(pub u64);

impl Add<Duration> for Moment {
    type Output = Moment;
    fn add(self, duration: Duration) -> Moment {
        Moment(self.0.saturating_add(duration.as_micros() as u64))
    }
}

/// The time between two moments; zero if `earlier` is the later one.
impl Sub for Moment {
    type Output = Duration;
    fn sub(self, earlier: Moment) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident, $prefix:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        pub struct $name(pub u64);
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!($prefix, "{}"), self.0)
            }
        }
    };
}

number_type!(/// Identifies a member of the group. Assigned in the group's file and never reused; never 0.
    MemberId, "member ");
number_type!(/// Counts the starts of a member's process. Each start has a higher number than all before it.
        Incarnation, "incarnation ");
number_type!(/// Counts the heartbeats of one incarnation.
        HeartbeatNumber, "heartbeat ");
number_type!(/// Numbers a grant. Each grant of any duty has a higher epoch than all grants before it, so that it can be used as a
    /// fencing token.
    Epoch, "epoch ");

/// Maximum length of a duty's name.
pub const MAX_DUTY_NAME_BYTES: usize = 64;

/// The name of a duty: an exclusive role that at most one member holds at a time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Duty(String);

impl Duty {
    /// Creates a duty; `None` if the name is empty or too long.
    pub fn new(name: &str) -> Option<Self> {
        (1..=MAX_DUTY_NAME_BYTES).contains(&name.len()).then(|| Duty(name.to_owned()))
    }

    /// The name of the duty.
    pub fn name(&self) -> &str {
        &self.0
    }
}

impl TryFrom<String> for Duty {
    type Error = &'static str;
    fn try_from(name: String) -> Result<Self, Self::Error> {
        Duty::new(&name).ok_or("a duty's name has 1 to 64 bytes")
    }
}

impl From<Duty> for String {
    fn from(duty: Duty) -> String {
        duty.0
    }
}

impl fmt::Display for Duty {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Maximum length of a note's payload.
pub const MAX_PAYLOAD_BYTES: usize = 32;

/// Bytes that the holder of a duty publishes about it. The group does not interpret them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "Vec<u8>", into = "Vec<u8>")]
pub struct Payload(Vec<u8>);

impl Payload {
    /// Copies the bytes; `None` if there are more than [`MAX_PAYLOAD_BYTES`].
    pub fn new(bytes: &[u8]) -> Option<Self> {
        (bytes.len() <= MAX_PAYLOAD_BYTES).then(|| Payload(bytes.to_vec()))
    }

    /// The bytes of the payload.
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }
}

impl TryFrom<Vec<u8>> for Payload {
    type Error = &'static str;
    fn try_from(bytes: Vec<u8>) -> Result<Self, Self::Error> {
        Payload::new(&bytes).ok_or("a payload has at most 32 bytes")
    }
}

impl From<Payload> for Vec<u8> {
    fn from(payload: Payload) -> Vec<u8> {
        payload.0
    }
}

/// The duration of leases and the maximum clock drift. They must be the same for all members of a group, so members compare a
/// hash of them when they connect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseTerms {
    /// How long a member may act on its duties, counted from before it sent the last acknowledged heartbeat.
    pub duration: Duration,
    /// Maximum drift of a clock in parts per million, in either direction. Mutual exclusion is not guaranteed beyond it.
    pub drift_ppm: u32,
}

impl Default for LeaseTerms {
    fn default() -> Self {
        LeaseTerms { duration: Duration::from_secs(1), drift_ppm: 20_000 }
    }
}

impl LeaseTerms {
    /// How long a voter waits after it observed a heartbeat before it may propose to expire the lease: the lease as measured by
    /// the slowest clock of a member, on the fastest clock of a voter.
    pub fn expiry_timeout(&self) -> Duration {
        // The cap keeps the divisor below well above zero; settings files allow 200 000 at most.
        let drift = f64::from(self.drift_ppm.min(500_000)) / 1e6;
        self.duration.mul_f64((1.0 + drift) / (1.0 - drift))
    }

    /// Time between two heartbeats. A quarter of the lease, so that two heartbeats in a row may be lost.
    pub fn heartbeat_interval(&self) -> Duration {
        self.duration / 4
    }
}

#[cfg(test)]
mod tests;
