//! Faults: what goes wrong, with whom and when.

use super::defaults::{one, yes};
use super::error::{Invalid, Table};
use serde::Deserialize;

/// A day and a fault are at most this long, in seconds.
const LONGEST: f64 = 86_400.0;

/// What can go wrong.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Takes calls and answers none.
    Silent,
    /// Stands still for `severity` milliseconds every `every_s`; without `every_s` for all of its length.
    Stall,
    /// Takes `severity` times as long.
    Slow,
    /// Refuses a share of `severity` of the calls.
    Refuse,
    /// Refuses all, and opens at the end.
    Shut,
    /// Resets a share of `severity` of the calls after they were read.
    Reset,
    /// Spoils a share of `severity` of the answers.
    Spoil,
    /// Writes the last delivery of a connection once more behind a share of `severity` of its later calls.
    Copies,
    /// Endpoints are drained, one every `step_s`, and gone `length_s` later.
    Drain,
    /// Out, and back cold at the end.
    Outage,
    /// More traffic, by `severity`.
    Surge,
    /// The register says nothing.
    RegisterSilent,
    /// The register's agent moves to another address, which couriers are told by SIGHUP.
    RegisterMove,
    /// SIGTERM, and a new start after `length_s`.
    Term,
    /// SIGKILL, and a new start after `length_s`.
    Kill,
    /// The state folder takes no more.
    DiskFull,
    /// A second process is started beside the running one, every `every_s`, and the first ends once the second serves.
    Upgrade,
    /// SIGSTOP, and SIGCONT after `length_s`.
    Suspend,
}

impl FaultKind {
    /// Whether its targets are couriers.
    pub fn is_of_couriers(self) -> bool {
        use FaultKind::*;
        matches!(self, RegisterSilent | RegisterMove | Term | Kill | DiskFull | Upgrade | Suspend)
    }
}

/// How a partner is out.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum How {
    /// Connections are refused.
    Down,
    /// Takes calls and answers none.
    Silent,
    /// Cut off: nothing is answered, and new connections come up only when it is over.
    Cut,
    /// Refuses all.
    Shut,
}

/// What comes in the place of a drained endpoint.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Replace {
    /// Another at another address, as the drain begins.
    New,
    /// Another at the same address, when the first is gone.
    SameAddress,
    /// Nothing.
    None,
}

/// A fault on the timeline.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Its name.
    pub name: String,
    /// What it is.
    pub kind: FaultKind,
    /// When it begins: from the start, or from what `during` or `after` name.
    #[serde(default)]
    pub start_s: f64,
    /// For how long.
    #[serde(default)]
    pub length_s: f64,
    /// Names of partners, of their kinds, of endpoints (`bank/0`), of couriers (`courier-0`), or `all`.
    #[serde(default = "all")]
    pub targets: Vec<String>,
    /// How bad, in the terms of its kind.
    #[serde(default = "one")]
    pub severity: f64,
    /// From the beginning of a phase of another fault on: `drain:2`.
    pub during: Option<String>,
    /// From the end of another fault, or of a phase of it, on.
    pub after: Option<String>,
    /// Whether refusals tell how long to wait.
    #[serde(default = "yes")]
    pub tells_wait: bool,
    /// Between the beginnings of two stalls.
    pub every_s: Option<f64>,
    /// Between two endpoints that are drained.
    #[serde(default = "one")]
    pub step_s: f64,
    /// What comes in the place of a drained endpoint.
    #[serde(default = "replace")]
    pub replace: Replace,
    /// How a partner is out.
    #[serde(default = "how")]
    pub how: How,
    /// Whether a courier's folder is lost with it.
    #[serde(default)]
    pub folder_lost: bool,
}

/// What a name among the targets stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Target {
    /// A partner, by its place.
    Partner(usize),
    /// An endpoint of a partner, by its place.
    Endpoint(usize, usize),
    /// A courier.
    Courier(usize),
}

fn all() -> Vec<String> {
    vec!["all".to_owned()]
}

fn replace() -> Replace {
    Replace::New
}

fn how() -> How {
    How::Silent
}

impl Fault {
    /// Checks what the fault at this place among the faults says by itself, without its targets and other faults.
    pub(super) fn check(&self, place: usize) -> Result<(), Invalid> {
        let table = Table { name: "fault", place };
        table.require((0.0..=LONGEST).contains(&self.start_s), "start_s", "must be 0 or more")?;
        self.check_upgrades(&table)?;
        self.check_length(&table)?;
        self.check_severity(&table)?;
        let every = self.every_s.is_none_or(|every| every > 0.0 && every.is_finite());
        table.require(every, "every_s", "must be over 0")?;
        table.require((0.0..=3600.0).contains(&self.step_s), "step_s", "must be 0 or more")?;
        let one_anchor = self.during.is_none() || self.after.is_none();
        table.require(one_anchor, "after", "only one of 'during' and 'after' may be there")
    }

    fn check_upgrades(&self, table: &Table) -> Result<(), Invalid> {
        let too_close = self.kind == FaultKind::Upgrade && self.every_s.is_some_and(|every| every < 0.5);
        let what = "must be 0.5 or more: one process is given up before the next comes";
        table.require(!too_close, "every_s", what)
    }

    fn check_length(&self, table: &Table) -> Result<(), Invalid> {
        let needs_length = self.kind != FaultKind::RegisterMove;
        let is_missing = needs_length && self.length_s == 0.0;
        let length = (0.0..=LONGEST).contains(&self.length_s) && !is_missing;
        table.require(length, "length_s", "must be over 0")
    }

    fn check_severity(&self, table: &Table) -> Result<(), Invalid> {
        let is_share =
            matches!(self.kind, FaultKind::Refuse | FaultKind::Reset | FaultKind::Spoil | FaultKind::Copies);
        let share = !is_share || (0.0..=1.0).contains(&self.severity);
        let what = "is a share of the calls here: it must lie between 0 and 1";
        table.require(share, "severity", what)?;
        table.require(self.severity > 0.0 && self.severity.is_finite(), "severity", "must be over 0")
    }
}
