//! Traffic: how messages come, whatever becomes of those before.

use super::defaults::yes;
use super::error::{Invalid, Table};
use serde::Deserialize;

/// Messages of one scenario, at most: one machine cannot play more.
const MOST_ARRIVALS: f64 = 2e6;
/// Bytes of a body, at most.
const LARGEST_BODY: usize = 60_000;

/// How messages come: they never wait for answers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    /// In the mean, clumps included.
    pub per_second: f64,
    /// The part that comes in clumps for one partner.
    #[serde(default)]
    pub clumps: f64,
    /// A clump's size, in seconds of what its partner takes.
    #[serde(default = "clump_s")]
    pub clump_s: f64,
    /// Keys of each partner, in ordered classes.
    #[serde(default = "keys")]
    pub keys: u64,
    /// Bytes of a body.
    #[serde(default = "body")]
    pub body: usize,
    /// Whether a refused message is handed in once more.
    #[serde(default = "yes")]
    pub retries: bool,
    /// How long a client waits before that, at least.
    #[serde(default = "retry_ms")]
    pub retry_ms: [f64; 2],
}

fn clump_s() -> f64 {
    2.5
}

fn keys() -> u64 {
    150
}

fn body() -> usize {
    160
}

fn retry_ms() -> [f64; 2] {
    [460.0, 1100.0]
}

impl Traffic {
    /// Checks the traffic of a day of so many seconds.
    pub(super) fn check(&self, seconds: f64) -> Result<(), Invalid> {
        let table = Table { name: "traffic", place: 0 };
        let per_second = self.per_second > 0.0 && self.per_second * seconds <= MOST_ARRIVALS;
        let messages = "must be over 0, and at most 2,000,000 messages in all";
        table.require(per_second, "per_second", messages)?;
        table.require_between("clumps", self.clumps, 0.0, 0.9)?;
        table.require_between("clump_s", self.clump_s, 0.1, 60.0)?;
        table.require(self.keys > 0, "keys", "must be 1 or more")?;
        let body = self.body <= LARGEST_BODY;
        table.require(body, "body", &format!("must be at most {LARGEST_BODY}"))?;
        table.require_range("retry_ms", self.retry_ms, 60_000.0)
    }
}
