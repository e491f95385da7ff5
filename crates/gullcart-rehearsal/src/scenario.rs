//! Scenario files: what they may say, and what is wrong with one that cannot be played.

use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;
use toml::de::{DeTable, DeValue};

/// Bounds on what one machine can play.
/// Couriers of one scenario, at most.
pub const MOST_COURIERS: usize = 1024;
const MOST_ARRIVALS: f64 = 2e6;
const MOST_PARTNERS: usize = 1024;
const MOST_ENDPOINTS: usize = 1024;

/// One thing that is wrong with a scenario file.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("{file}:{line}: {key}: {what}")]
pub struct ScenarioError {
    /// The file.
    pub file: String,
    /// Counted from 1.
    pub line: usize,
    /// The key that is meant, with the tables it is in.
    pub key: String,
    /// What is wrong, and what would be right.
    pub what: String,
}

/// A day that can be rehearsed.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// What it is for, in a sentence.
    #[serde(default)]
    pub about: String,
    /// For how long messages come in, in seconds.
    pub seconds: f64,
    /// Service under this is a failure.
    #[serde(default)]
    pub floor: f64,
    /// The couriers.
    #[serde(default)]
    pub couriers: Couriers,
    /// The register.
    #[serde(default)]
    pub register: Register,
    /// Kinds of message.
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    /// Who gets them.
    #[serde(rename = "partner")]
    pub partners: Vec<Partner>,
    /// How they come.
    pub traffic: Traffic,
    /// What goes wrong.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
}

/// The couriers and their limits.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Couriers {
    /// One to [`MOST_COURIERS`].
    pub count: usize,
    /// A connection that takes longer has failed.
    pub connect_s: f64,
    /// Calls out at once, for each; worked out from the traffic where it is left out.
    pub slots: Option<u32>,
    /// Messages held, for each; worked out from the traffic where it is left out.
    pub most_held: Option<u32>,
    /// Memory.
    pub memory_mb: u32,
    /// Descriptors.
    pub sockets: u32,
    /// Room in the state folder.
    pub disk_mb: f64,
}

impl Default for Couriers {
    fn default() -> Self {
        Couriers {
            count: 2,
            connect_s: 1.0,
            slots: None,
            most_held: None,
            memory_mb: 192,
            sockets: 1024,
            disk_mb: 3.0,
        }
    }
}

/// The register.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Register {
    /// Couriers hear of a change so many seconds later, each after a draw from this range.
    pub late_s: [f64; 2],
}

impl Default for Register {
    fn default() -> Self {
        Register { late_s: [0.5, 2.5] }
    }
}

/// What a repeat does.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// No harm.
    Safe,
    /// Dropped for a while if it carries the same key.
    Keyed,
    /// It must never happen.
    Unsafe,
}

/// A kind of message.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its part of the traffic, against the other classes.
    #[serde(default = "one")]
    pub share: f64,
    /// What a repeat does.
    pub effect: Effect,
    /// For how long partners remember a key.
    #[serde(default = "ten")]
    pub window_s: f64,
    /// Whether messages of one key keep their order.
    #[serde(default)]
    pub in_order: bool,
    /// What one is worth.
    #[serde(default = "one")]
    pub worth: f64,
    /// Wanted within this.
    #[serde(default = "three")]
    pub aim_s: f64,
    /// Given up after this.
    #[serde(default = "day_long")]
    pub deadline_s: f64,
    /// Worth that is left just before it is given up.
    #[serde(default = "half")]
    pub late_share: f64,
}

fn one() -> f64 {
    1.0
}
fn three() -> f64 {
    3.0
}
fn ten() -> f64 {
    10.0
}
fn day_long() -> f64 {
    24.0
}
fn half() -> f64 {
    0.5
}

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
    #[serde(default = "two")]
    pub endpoints: usize,
    /// Mean time for a call.
    #[serde(default = "pace")]
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
fn two() -> usize {
    2
}
fn pace() -> f64 {
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
fn yes() -> bool {
    true
}
fn cold_from() -> f64 {
    0.18
}
fn cold_s() -> f64 {
    12.0
}

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

fn all() -> Vec<String> {
    vec!["all".to_owned()]
}
fn replace() -> Replace {
    Replace::New
}
fn how() -> How {
    How::Silent
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

impl Scenario {
    /// Reads a scenario and checks all of it. `file` is for what is said of errors.
    pub fn read(file: &str, text: &str) -> Result<Self, ScenarioError> {
        let scenario: Scenario = toml::from_str(text).map_err(|error| {
            let at = error.span().map_or(0, |span| span.start);
            let key = key_at(text, at);
            let what = error.message().trim_end().replace('\n', ", ");
            ScenarioError { file: file.to_owned(), line: line_at(text, at), key, what }
        })?;
        match scenario.check() {
            Ok(()) => Ok(scenario),
            Err((table, place, key, what)) => Err(locate(file, text, table, place, key, what)),
        }
    }

    /// What the traffic asks of a partner, in calls a second, clumps included.
    pub fn demand(&self, partner: usize) -> f64 {
        let sum: f64 = self.partners.iter().map(|partner| partner.share).sum();
        self.traffic.per_second * self.partners[partner].share / sum.max(1e-9)
    }

    /// What the targets of a fault stand for; none where a name is unknown.
    pub fn targets(&self, fault: &Fault) -> Result<Vec<Target>, String> {
        let mut found = BTreeSet::new();
        for name in &fault.targets {
            let before = found.len();
            if fault.kind.is_of_couriers() {
                for courier in 0..self.couriers.count {
                    if name == "all" || *name == format!("courier-{courier}") {
                        found.insert(Target::Courier(courier));
                    }
                }
            } else {
                for (place, partner) in self.partners.iter().enumerate() {
                    if [&partner.name, &partner.kind].contains(&name) || name == "all" {
                        found.insert(Target::Partner(place));
                    }
                    for endpoint in 0..partner.endpoints {
                        if *name == format!("{}/{endpoint}", partner.name) {
                            found.insert(Target::Endpoint(place, endpoint));
                        }
                    }
                }
            }
            if found.len() == before {
                let known: Vec<String> = if fault.kind.is_of_couriers() {
                    (0..self.couriers.count).map(|courier| format!("courier-{courier}")).collect()
                } else {
                    self.partners.iter().map(|partner| partner.name.clone()).collect()
                };
                return Err(format!("no target '{name}'; there are {}, and 'all'", known.join(", ")));
            }
        }
        Ok(found.into_iter().collect())
    }

    fn check(&self) -> Result<(), Wrong> {
        let top = |key, what: &str| Err(("", 0, key, what.to_owned()));
        if !(self.seconds > 0.0 && self.seconds <= 86_400.0) {
            return top("seconds", "must be over 0 and at most 86400");
        }
        if !(0.0..=1.0).contains(&self.floor) {
            return top("floor", "must lie between 0 and 1");
        }
        if !(1..=MOST_COURIERS).contains(&self.couriers.count) {
            return Err(("couriers", 0, "count", format!("must lie between 1 and {MOST_COURIERS}")));
        }
        if !(0.05..=60.0).contains(&self.couriers.connect_s) {
            return Err(("couriers", 0, "connect_s", "must lie between 0.05 and 60".to_owned()));
        }
        if self.classes.is_empty() || self.classes.len() > 100 {
            return top("class", "there must be 1 to 100 of them");
        }
        if self.partners.is_empty() || self.partners.len() > MOST_PARTNERS {
            return Err(("", 0, "partner", format!("there must be 1 to {MOST_PARTNERS} of them")));
        }
        range("register", 0, "late_s", self.register.late_s, 5.0)?;
        self.check_traffic()?;
        self.classes.iter().enumerate().try_for_each(|(place, class)| check_class(place, class))?;
        self.partners.iter().enumerate().try_for_each(|(place, partner)| check_partner(place, partner))?;
        unique("class", self.classes.iter().map(|class| &class.name))?;
        unique("partner", self.partners.iter().map(|partner| &partner.name))?;
        unique("fault", self.faults.iter().map(|fault| &fault.name))?;
        for (place, fault) in self.faults.iter().enumerate() {
            self.check_fault(place, fault)?;
        }
        self.begins().map(drop)
    }

    fn check_traffic(&self) -> Result<(), Wrong> {
        let Traffic { per_second, clumps, clump_s, keys, body, retry_ms, .. } = &self.traffic;
        let wrong = |key, what: &str| Err(("traffic", 0, key, what.to_owned()));
        if !(*per_second > 0.0 && per_second * self.seconds <= MOST_ARRIVALS) {
            return wrong("per_second", "must be over 0, and at most 2,000,000 messages in all");
        }
        if !(0.0..=0.9).contains(clumps) {
            return wrong("clumps", "must lie between 0 and 0.9");
        }
        if !(0.1..=60.0).contains(clump_s) {
            return wrong("clump_s", "must lie between 0.1 and 60");
        }
        if *keys == 0 {
            return wrong("keys", "must be 1 or more");
        }
        if *body > 60_000 {
            return wrong("body", "must be at most 60000");
        }
        range("traffic", 0, "retry_ms", *retry_ms, 60_000.0)
    }

    fn check_fault(&self, place: usize, fault: &Fault) -> Result<(), Wrong> {
        use FaultKind::*;
        let wrong = |key, what: String| Err(("fault", place, key, what));
        if !(0.0..=86_400.0).contains(&fault.start_s) {
            return wrong("start_s", "must be 0 or more".to_owned());
        }
        if fault.kind == Upgrade && fault.every_s.is_some_and(|every| every < 0.5) {
            return wrong(
                "every_s",
                "must be 0.5 or more: one process is given up before the next comes".to_owned(),
            );
        }
        let needs_length = !matches!(fault.kind, RegisterMove);
        if !(0.0..=86_400.0).contains(&fault.length_s) || (needs_length && fault.length_s == 0.0) {
            return wrong("length_s", "must be over 0".to_owned());
        }
        if matches!(fault.kind, Refuse | Reset | Spoil) && !(0.0..=1.0).contains(&fault.severity) {
            return wrong("severity", "is a share of the calls here: it must lie between 0 and 1".to_owned());
        }
        if !(fault.severity > 0.0 && fault.severity.is_finite()) {
            return wrong("severity", "must be over 0".to_owned());
        }
        if fault.every_s.is_some_and(|every| every <= 0.0) {
            return wrong("every_s", "must be over 0".to_owned());
        }
        if !(0.0..=3600.0).contains(&fault.step_s) {
            return wrong("step_s", "must be 0 or more".to_owned());
        }
        if fault.during.is_some() && fault.after.is_some() {
            return wrong("after", "only one of 'during' and 'after' may be there".to_owned());
        }
        match self.targets(fault) {
            Err(what) => wrong("targets", what),
            Ok(targets) if matches!(fault.kind, Outage) => {
                let one = targets.iter().find(|target| !matches!(target, Target::Partner(_)));
                one.map_or(Ok(()), |_| {
                    wrong("targets", "an outage takes all endpoints of a partner".to_owned())
                })
            }
            Ok(_) => Ok(()),
        }
    }

    /// When each fault begins, in seconds, in their order.
    pub fn begins(&self) -> Result<Vec<f64>, Wrong> {
        let mut known: BTreeMap<&str, f64> = BTreeMap::new();
        // Each round finds at least one more, unless some wait for each other.
        for _ in 0..=self.faults.len() {
            for (place, fault) in self.faults.iter().enumerate() {
                let key = if fault.during.is_some() { "during" } else { "after" };
                let Some(reference) = fault.during.as_ref().or(fault.after.as_ref()) else {
                    known.insert(&fault.name, fault.start_s);
                    continue;
                };
                let (name, phase) = match reference.split_once(':') {
                    Some((name, phase)) => (name, Some(phase)),
                    None => (reference.as_str(), None),
                };
                let wrong = |what: String| ("fault", place, key, what);
                let other = self.faults.iter().find(|other| other.name == name);
                let other = other.ok_or_else(|| wrong(format!("there is no fault '{name}'")))?;
                let phases = self.phases(other);
                let number: usize = phase.map_or(Ok(1), str::parse).unwrap_or(0);
                let (from, to) =
                    number.checked_sub(1).and_then(|at| phases.get(at)).copied().ok_or_else(|| {
                        wrong(format!(
                            "'{name}' has phases 1 to {}, not '{}'",
                            phases.len(),
                            phase.unwrap_or("")
                        ))
                    })?;
                let last = phases.last().map_or(0.0, |(_, to)| *to);
                if let Some(begin) = known.get(name) {
                    let offset = match (fault.during.is_some(), phase) {
                        (true, _) => from,
                        (false, Some(_)) => to,
                        (false, None) => last,
                    };
                    known.insert(&fault.name, begin + offset + fault.start_s);
                }
            }
        }
        let begin = |(place, fault): (usize, &Fault)| {
            let missing = ("fault", place, "during", "it waits for itself, by way of others".to_owned());
            known.get(fault.name.as_str()).copied().ok_or(missing)
        };
        self.faults.iter().enumerate().map(begin).collect()
    }

    /// The phases of a fault, in seconds from its beginning. A drain has one for each endpoint; an outage is out, then
    /// cold; a courier is away, then back.
    pub fn phases(&self, fault: &Fault) -> Vec<(f64, f64)> {
        let length = fault.length_s;
        match fault.kind {
            FaultKind::Drain => {
                let endpoints = self.drained(fault).len().max(1);
                (0..endpoints).map(|at| at as f64 * fault.step_s).map(|from| (from, from + length)).collect()
            }
            FaultKind::Outage => {
                let cold =
                    self.targets(fault).unwrap_or_default().into_iter().filter_map(|target| match target {
                        Target::Partner(place) => Some(self.partners[place].cold_s),
                        _ => None,
                    });
                vec![(0.0, length), (length, length + cold.fold(0.0, f64::max))]
            }
            FaultKind::Term | FaultKind::Kill => vec![(0.0, length), (length, length + 1.0)],
            _ => vec![(0.0, length)],
        }
    }

    /// The endpoints that a drain takes, in their order.
    pub fn drained(&self, fault: &Fault) -> Vec<(usize, usize)> {
        let targets = self.targets(fault).unwrap_or_default();
        let mut endpoints = BTreeSet::new();
        for target in targets {
            match target {
                Target::Partner(place) => {
                    endpoints.extend((0..self.partners[place].endpoints).map(|endpoint| (place, endpoint)));
                }
                Target::Endpoint(place, endpoint) => {
                    endpoints.insert((place, endpoint));
                }
                Target::Courier(_) => {}
            }
        }
        endpoints.into_iter().collect()
    }
}

/// Table, its place among those of one name, key, and what is wrong.
type Wrong = (&'static str, usize, &'static str, String);

fn range(
    table: &'static str,
    place: usize,
    key: &'static str,
    range: [f64; 2],
    most: f64,
) -> Result<(), Wrong> {
    let [from, to] = range;
    if 0.0 <= from && from <= to && to <= most {
        return Ok(());
    }
    Err((table, place, key, format!("must be a range from 0 to {most} at most, the smaller end first")))
}

fn unique<'a>(table: &'static str, names: impl Iterator<Item = &'a String>) -> Result<(), Wrong> {
    let mut seen = BTreeSet::new();
    for (place, name) in names.enumerate() {
        if name.is_empty() || name.contains([',', ':', '/', '"']) {
            return Err((table, place, "name", "must not be empty, nor hold , : / or \"".to_owned()));
        }
        if !seen.insert(name) {
            return Err((table, place, "name", format!("there are two of the name '{name}'")));
        }
    }
    Ok(())
}

fn check_class(place: usize, class: &Class) -> Result<(), Wrong> {
    let wrong = |key, what: &str| Err(("class", place, key, what.to_owned()));
    if class.share.is_nan() || class.share <= 0.0 {
        return wrong("share", "must be over 0");
    }
    if class.worth.is_nan() || class.worth <= 0.0 {
        return wrong("worth", "must be over 0");
    }
    if !(class.aim_s > 0.0 && class.aim_s < class.deadline_s && class.deadline_s <= 600.0) {
        return wrong("deadline_s", "must be over aim_s, which must be over 0, and at most 600");
    }
    if !(0.0..=1.0).contains(&class.late_share) {
        return wrong("late_share", "must lie between 0 and 1");
    }
    if class.effect == Effect::Keyed && !(0.1..=3600.0).contains(&class.window_s) {
        return wrong("window_s", "must lie between 0.1 and 3600");
    }
    Ok(())
}

fn check_partner(place: usize, partner: &Partner) -> Result<(), Wrong> {
    let wrong = |key, what: &str| Err(("partner", place, key, what.to_owned()));
    if partner.share.is_nan() || partner.share < 0.0 {
        return wrong("share", "must be 0 or more");
    }
    if !(1..=MOST_ENDPOINTS).contains(&partner.endpoints) {
        return wrong("endpoints", &format!("must lie between 1 and {MOST_ENDPOINTS}"));
    }
    if !(1.0..=60_000.0).contains(&partner.pace_ms) {
        return wrong("pace_ms", "must lie between 1 and 60000");
    }
    match (partner.rate, partner.count) {
        (Some(rate), None) if !(0.1..=1e5).contains(&rate) => {
            return wrong("rate", "must lie between 0.1 and 100000")
        }
        (None, Some(0)) => return wrong("count", "must be 1 or more"),
        (Some(_), None) | (None, Some(_)) => {}
        _ => return wrong("rate", "either 'rate' or 'count' with 'span_s' must be there"),
    }
    if !(0.05..=600.0).contains(&partner.span_s) {
        return wrong("span_s", "must lie between 0.05 and 600");
    }
    if !(1.0..=100.0).contains(&partner.spare) {
        return wrong("spare", "must lie between 1 and 100");
    }
    for (key, share) in [("tells_wait", partner.tells_wait), ("errors", partner.errors)] {
        if !(0.0..=1.0).contains(&share) {
            return wrong(key, "must lie between 0 and 1");
        }
    }
    if !(0.01..=1.0).contains(&partner.cold_from) {
        return wrong("cold_from", "must lie between 0.01 and 1");
    }
    if !(0.1..=600.0).contains(&partner.cold_s) {
        return wrong("cold_s", "must lie between 0.1 and 600");
    }
    if !(1.0..=60_000.0).contains(&partner.wait_ms) {
        return wrong("wait_ms", "must lie between 1 and 60000");
    }
    Ok(())
}

fn line_at(text: &str, at: usize) -> usize {
    text.bytes().take(at).filter(|byte| *byte == b'\n').count() + 1
}

/// The key of the line at a place, or the table that it begins.
fn key_at(text: &str, at: usize) -> String {
    let line = text.lines().nth(line_at(text, at) - 1).unwrap_or_default().trim();
    let key = line.split_once('=').map_or(line, |(key, _)| key);
    if key.is_empty() {
        "the file".to_owned()
    } else {
        key.trim().to_owned()
    }
}

/// Finds the line of a key; of its table where the key is not there.
fn locate(
    file: &str,
    text: &str,
    table: &'static str,
    place: usize,
    key: &'static str,
    what: String,
) -> ScenarioError {
    let root = DeTable::parse(text).ok();
    let mut at = 0;
    let mut path = key.to_owned();
    if let Some(root) = &root {
        let mut inside = Some(root.get_ref());
        if !table.is_empty() {
            path = format!("{table}.{key}");
            let found = root.get_ref().get(table);
            let item = match found.map(|found| found.get_ref()) {
                Some(DeValue::Array(items)) => {
                    path = format!("{table}[{place}].{key}");
                    items.get(place)
                }
                _ => found,
            };
            at = item.map_or(0, |item| item.span().start);
            inside = item.and_then(|item| item.get_ref().as_table());
        }
        if let Some(value) = inside.and_then(|inside| inside.get(key)) {
            at = value.span().start;
        }
    }
    ScenarioError { file: file.to_owned(), line: line_at(text, at), key: path, what }
}
