//! Names and moments.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::{Add, Sub};
use std::time::Duration;

/// A moment on a process's own clock, which also runs while the process or its machine sleeps. In microseconds from a
/// beginning of its own: moments of two processes have nothing to do with each other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Moment(pub u64);

impl Add<Duration> for Moment {
    type Output = Moment;
    fn add(self, duration: Duration) -> Moment {
        Moment(self.0.saturating_add(duration.as_micros() as u64))
    }
}

/// The time between two moments; none where the second is earlier.
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
    Epoch, "epoch ");

/// Bytes of a duty's name at most.
pub const MAX_DUTY_NAME_BYTES: usize = 64;

/// What one member holds at a time, by name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Duty(String);

impl Duty {
    /// The duty of a name; none where that is empty or too long.
    pub fn new(name: &str) -> Option<Self> {
        (1..=MAX_DUTY_NAME_BYTES).contains(&name.len()).then(|| Duty(name.to_owned()))
    }

    /// Its name.
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

/// Bytes that a holder may tell of a duty at most.
pub const MAX_PAYLOAD_BYTES: usize = 32;

/// What a holder tells of a duty. What it means is its own affair.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "Vec<u8>", into = "Vec<u8>")]
pub struct Payload(Vec<u8>);

impl Payload {
    /// Some bytes; none where they are too many.
    pub fn new(bytes: &[u8]) -> Option<Self> {
        (bytes.len() <= MAX_PAYLOAD_BYTES).then(|| Payload(bytes.to_vec()))
    }

    /// The bytes.
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

/// How long things take. The same for all members of a group: the group's file is compared when they meet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseTerms {
    /// For how long a member may act on what it holds, from before it gave the sign of life that was heard.
    pub duration: Duration,
    /// How much faster or slower a clock may run than the right time, in parts of a million; beyond it nothing is promised.
    pub drift_ppm: u32,
}

impl Default for LeaseTerms {
    fn default() -> Self {
        LeaseTerms { duration: Duration::from_secs(1), drift_ppm: 20_000 }
    }
}

impl LeaseTerms {
    /// How long a voter waits after it heard a sign of life until it may propose that the lease is over: the lease on the
    /// slowest clock of a member, counted on its own fastest.
    pub fn expiry_timeout(&self) -> Duration {
        let drift = f64::from(self.drift_ppm.min(500_000)) / 1e6;
        self.duration.mul_f64((1.0 + drift) / (1.0 - drift))
    }

    /// Between two signs of life: two may be lost within a lease.
    pub fn heartbeat_interval(&self) -> Duration {
        self.duration / 4
    }
}

#[cfg(test)]
mod tests;
