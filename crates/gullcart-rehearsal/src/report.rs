//! What came of a rehearsal.

use crate::day::Window;
use gullcart_judge::{LatencySummary, Rule, ServiceScores, Violation, WorthTotals};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;

/// A run is void if the kit itself was later than this with one in a hundred of what it had to do, in milliseconds.
pub const LATE_MS: f64 = 25.0;

/// Trace lines of the first breach that the summary shows.
const PROOF_LINES: usize = 12;

/// How a run is to be taken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// All rules and the floor of service were kept.
    Kept,
    /// A rule was broken.
    Broken,
    /// Service lay under the scenario's floor.
    UnderFloor,
    /// The kit itself was late, so that nothing is said of the couriers.
    Void,
}

/// Counted over a run.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Counts {
    /// Messages that clients meant to send.
    pub messages: u64,
    /// Hand-ins, with those that came again.
    pub hand_ins: u64,
    /// ... taken on.
    pub taken: u64,
    /// ... refused at once.
    pub busy: u64,
    /// ... that got no answer, or an error.
    pub unanswered: u64,
    /// Messages delivered.
    pub delivered: u64,
    /// Notices `failed`.
    pub failed: u64,
    /// Notices `returned`.
    pub returned: u64,
    /// Calls at endpoints.
    pub calls: u64,
    /// ... turned away.
    pub refused: u64,
    /// Connections that couriers opened to endpoints.
    pub connections: u64,
}

/// The state of the run at one time.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Sample {
    /// In seconds.
    pub at: f64,
    /// Calls out.
    pub out: u32,
    /// Messages that are owed an end.
    pub owed: usize,
    /// Calls of the last second.
    pub calls: u64,
    /// ... turned away.
    pub refused: u64,
    /// Memory of each courier, in MiB; none while it is away.
    pub memory_mb: Vec<Option<f64>>,
    /// Median and worst latency of what was delivered in the last second, in milliseconds.
    pub latency_ms: Option<(f64, f64)>,
}

/// How late the kit was, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Lateness {
    /// Half of what was due, within.
    pub p50: f64,
    /// 99 in 100.
    pub p99: f64,
    /// The latest.
    pub max: f64,
}

/// A breach, as reports show it.
#[derive(Clone, Debug, Serialize)]
pub struct Shown {
    /// In seconds.
    pub at: f64,
    /// Which rule.
    pub rule: Rule,
    /// Its words.
    pub words: &'static str,
    /// By whom.
    pub courier: u16,
    /// With which hand-in.
    pub message: Option<u64>,
    /// What happened.
    pub what: String,
    /// The trace lines that prove it.
    pub proof: Vec<String>,
}

impl From<&Violation> for Shown {
    fn from(breach: &Violation) -> Self {
        Shown {
            at: breach.at.as_secs_f64(),
            rule: breach.rule,
            words: breach.rule.description(),
            courier: breach.courier.0,
            message: breach.message.map(|message| message.0),
            what: breach.description.clone(),
            proof: breach.evidence.iter().map(ToString::to_string).collect(),
        }
    }
}

/// What came of a rehearsal.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Name of the scenario.
    pub scenario: String,
    /// What it is for.
    pub about: String,
    /// The seed that it was drawn from.
    pub seed: u64,
    /// How long messages came in, in seconds.
    pub seconds: f64,
    /// How long the run took, in seconds.
    pub took: f64,
    /// Whether it was ended at the first breach.
    pub ended_early: bool,
    /// How it is to be taken.
    pub verdict: Verdict,
    /// Why it is void, where it is.
    pub void: Option<String>,
    /// Service under this is a failure.
    pub floor: f64,
    /// The service kept.
    pub service: ServiceScores,
    /// Breaches by rule.
    pub broken: BTreeMap<Rule, u64>,
    /// The first breaches.
    pub breaches: Vec<Shown>,
    /// Counted.
    pub counts: Counts,
    /// From the intended send to delivery, all classes.
    pub latency: LatencySummary,
    /// Shares of the deliveries, and within how many milliseconds they came.
    pub percentiles: Vec<(f64, u64)>,
    /// Latency by class.
    pub latency_of: Vec<(String, LatencySummary)>,
    /// Service, second by second.
    pub by_second: Vec<WorthTotals>,
    /// The run, second by second.
    pub samples: Vec<Sample>,
    /// When faults were in force.
    pub faults: Vec<Window>,
    /// How late clients were.
    pub late_clients: Lateness,
    /// How late partners were.
    pub late_partners: Lateness,
    /// What else is worth a word.
    pub remarks: Vec<String>,
}

impl fmt::Display for Report {
    /// The closing summary.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Report { service, counts, latency, .. } = self;
        writeln!(
            f,
            "rehearsal {}, seed {}: {:.0} s in {:.0} s",
            self.scenario, self.seed, self.seconds, self.took
        )?;
        writeln!(
            f,
            "  service   {:.3} (whole {:.3}, worst 10 s {:.3}, worst class {:.3}; floor {:.2})",
            service.combined, service.whole_run, service.worst_window, service.worst_class, self.floor
        )?;
        writeln!(
            f,
            "  messages  {} meant to be sent, {} delivered, {} failed, {} returned, {} refused at once",
            counts.messages, counts.delivered, counts.failed, counts.returned, counts.busy
        )?;
        writeln!(
            f,
            "  calls     {}, {} of them turned away, on {} connections",
            counts.calls, counts.refused, counts.connections
        )?;
        writeln!(
            f,
            "  latency   p50 {} ms, p90 {} ms, p99 {} ms, p99.9 {} ms, max {} ms from the intended send",
            latency.p50, latency.p90, latency.p99, latency.p999, latency.max
        )?;
        writeln!(
            f,
            "  kit       late by {:.1} ms at p99 (clients), {:.1} ms (partners)",
            self.late_clients.p99, self.late_partners.p99
        )?;
        for remark in &self.remarks {
            writeln!(f, "  note      {remark}")?;
        }
        for (rule, count) in &self.broken {
            writeln!(f, "  BROKEN    {} x {}: {}", rule.name(), count, rule.description())?;
        }
        if let Some(first) = self.breaches.first() {
            writeln!(f, "  first     at {:.3} s, courier {}: {}", first.at, first.courier, first.what)?;
            for line in first.proof.iter().take(PROOF_LINES) {
                writeln!(f, "              {line}")?;
            }
            if first.proof.len() > PROOF_LINES {
                writeln!(f, "              ... and {} more in the report", first.proof.len() - PROOF_LINES)?;
            }
        }
        match (&self.verdict, &self.void) {
            (Verdict::Kept, _) => write!(f, "kept: no rule was broken, and service is over the floor"),
            (Verdict::Broken, _) => write!(f, "BROKEN: {} breaches", self.broken.values().sum::<u64>()),
            (Verdict::UnderFloor, _) => {
                write!(f, "UNDER THE FLOOR: service {:.3} is under {:.2}", service.combined, self.floor)
            }
            (Verdict::Void, why) => write!(f, "VOID: {}", why.as_deref().unwrap_or("the kit was late")),
        }
    }
}
