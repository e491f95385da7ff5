//! Partners: their endpoints, what they can do and what they allow.

use super::defaults::{half, one, yes};
use super::error::{Invalid, Table};
use serde::Deserialize;

/// Endpoints of one partner, at most.
const MOST_ENDPOINTS: usize = 1024;

/// A partner.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Partner {
    /// Its name.
    pub name: String,
    /// Its kind.
    #[serde(default = "partner_kind")]
    pub kind: String,
    /// Its part of the traffic, against the other partners.
    #[serde(default = "one")]
    pub share: f64,
    /// Endpoints.
    #[serde(default = "endpoints")]
    pub endpoints: usize,
    /// Mean time for a call.
    #[serde(default = "pace_ms")]
    pub pace_ms: f64,
    /// Calls a second that it takes from all couriers, as a plain rate ...
    pub rate: Option<f64>,
    /// ... or a count in each span ...
    pub count: Option<u32>,
    /// ... of this length.
    #[serde(default = "one")]
    pub span_s: f64,
    /// What it can do, over what it allows.
    #[serde(default = "spare")]
    pub spare: f64,
    /// Calls that wait at an endpoint.
    #[serde(default = "queue")]
    pub queue: usize,
    /// Share of its refusals that tell a wait.
    #[serde(default = "half")]
    pub tells_wait: f64,
    /// The wait that it tells, at least.
    #[serde(default = "wait_ms")]
    pub wait_ms: f64,
    /// Whether refused calls use up the limit.
    #[serde(default)]
    pub refused_count: bool,
    /// Whether answers report the limit.
    #[serde(default = "yes")]
    pub reports: bool,
    /// Share of calls that end in errors.
    #[serde(default)]
    pub errors: f64,
    /// Share of its capacity right after an outage.
    #[serde(default = "cold_from")]
    pub cold_from: f64,
    /// Until it has all of it.
    #[serde(default = "cold_s")]
    pub cold_s: f64,
}

fn partner_kind() -> String {
    "banks".to_owned()
}

fn endpoints() -> usize {
    2
}

fn pace_ms() -> f64 {
    160.0
}

fn spare() -> f64 {
    1.4
}

fn queue() -> usize {
    6
}

fn wait_ms() -> f64 {
    400.0
}

fn cold_from() -> f64 {
    0.18
}

fn cold_s() -> f64 {
    12.0
}

impl Partner {
    /// Checks the partner at this place among the partners.
    pub(super) fn check(&self, place: usize) -> Result<(), Invalid> {
        let table = Table { name: "partner", place };
        table.require(self.share >= 0.0, "share", "must be 0 or more")?;
        let endpoints = (1..=MOST_ENDPOINTS).contains(&self.endpoints);
        table.require(endpoints, "endpoints", &format!("must lie between 1 and {MOST_ENDPOINTS}"))?;
        table.require_between("pace_ms", self.pace_ms, 1.0, 60_000.0)?;
        self.check_limit(&table)?;
        table.require_between("span_s", self.span_s, 0.05, 600.0)?;
        table.require_between("spare", self.spare, 1.0, 100.0)?;
        table.require_between("tells_wait", self.tells_wait, 0.0, 1.0)?;
        table.require_between("errors", self.errors, 0.0, 1.0)?;
        table.require_between("cold_from", self.cold_from, 0.01, 1.0)?;
        table.require_between("cold_s", self.cold_s, 0.1, 600.0)?;
        table.require_between("wait_ms", self.wait_ms, 1.0, 60_000.0)
    }

    /// The limit is either a plain rate, or a count in each span.
    fn check_limit(&self, table: &Table) -> Result<(), Invalid> {
        match (self.rate, self.count) {
            (Some(rate), None) => table.require_between("rate", rate, 0.1, 1e5),
            (None, Some(count)) => table.require(count > 0, "count", "must be 1 or more"),
            _ => table.require(false, "rate", "either 'rate' or 'count' with 'span_s' must be there"),
        }
    }
}
