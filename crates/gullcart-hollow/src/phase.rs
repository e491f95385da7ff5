//! One phase of a run: changes are made for a while, and what they took is measured.

use crate::control::{Publication, SourceStatus, Usage};
use crate::fleet::FleetError;
use crate::hollow::SessionCounts;
use crate::in_force::{percentile, InForceTimes};
use crate::layout::CourierIndex;
use crate::link::Traffic;
use crate::tree::{Part, Tree, LOOK_INTERVAL, PARTS};
use gullcart_scale::Figure;
use std::time::Duration;
use thiserror::Error;
use tokio::time::Instant;

/// A fleet that has not come to rest by then never will.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(120);

/// Why a phase could not be measured.
#[derive(Debug, Error)]
pub enum PhaseError {
    /// The fleet failed.
    #[error(transparent)]
    Fleet(#[from] FleetError),
    /// It did not come to rest.
    #[error("after {SETTLE_TIMEOUT:?}: {0}")]
    Unsettled(Standing),
}

/// Where a fleet stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error(
    "{current} of {running} couriers are current, the least at revision {least_revision}; the source has revision \
     {revision}, of which {in_force} are in force; {planned} changes are still to be made; sessions: {sessions}"
)]
pub struct Standing {
    /// Couriers that run.
    pub running: u32,
    /// Couriers that may act on all of their scopes.
    pub current: u32,
    /// The least revision that a courier holds.
    pub least_revision: u64,
    /// The last revision of the source.
    pub revision: u64,
    /// The last revision that the source holds to be in force.
    pub in_force: u64,
    /// Changes that are still to be made.
    pub planned: u32,
    /// What has become of sessions.
    pub sessions: SessionCounts,
}

impl Standing {
    /// Whether each of so many couriers has all changes, and the source knows it.
    pub fn is_settled(&self, couriers: u32) -> bool {
        self.running == couriers
            && self.current == couriers
            && self.planned == 0
            && self.least_revision >= self.revision
            && self.in_force == self.revision
    }
}

/// Looks where a fleet stands.
pub async fn look(tree: &mut Tree<'_>) -> Result<Standing, FleetError> {
    let SourceStatus { revision, in_force, planned, .. } = tree.source_status().await?;
    let couriers = tree.couriers_status().await?;
    Ok(Standing {
        running: couriers.running,
        current: couriers.current,
        least_revision: couriers.least_revision,
        revision,
        in_force,
        planned,
        sessions: couriers.sessions,
    })
}

/// Waits until so many couriers run and each has all changes; returns how long that took.
pub async fn settle(tree: &mut Tree<'_>, couriers: u32) -> Result<Duration, PhaseError> {
    wait_until(tree, |standing| standing.is_settled(couriers)).await
}

/// Waits until so many couriers may act on all of their scopes; returns how long that took.
pub async fn wait_until_current(tree: &mut Tree<'_>, couriers: u32) -> Result<Duration, PhaseError> {
    wait_until(tree, |standing| standing.current == couriers).await
}

async fn wait_until(
    tree: &mut Tree<'_>,
    is_reached: impl Fn(&Standing) -> bool,
) -> Result<Duration, PhaseError> {
    let begun = Instant::now();
    loop {
        let standing = look(tree).await?;
        if is_reached(&standing) {
            return Ok(begun.elapsed());
        }
        if begun.elapsed() > SETTLE_TIMEOUT {
            return Err(PhaseError::Unsettled(standing));
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
}

/// What the members of a part used in a phase, each of them on average.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PartUse {
    /// Share of a core.
    pub core_share: f64,
    /// Bytes a second, both ways.
    pub bytes_per_second: f64,
    /// Messages a second, both ways.
    pub messages_per_second: f64,
    /// Private resident memory, in bytes, at the end.
    pub resident_bytes: f64,
}

/// What a phase took.
pub struct Measured {
    /// Its name in figures.
    pub name: &'static str,
    /// Changes that were made.
    pub changes: usize,
    /// How long they took.
    pub times: InForceTimes,
    /// What each part used.
    pub uses: Vec<(Part, PartUse)>,
}

/// What a phase does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Phase {
    /// Its name in figures.
    pub name: &'static str,
    /// Changes to be made, if any.
    pub publication: Option<Publication>,
    /// How long it lasts at least.
    pub lasts: Duration,
}

/// Makes the changes of a phase and measures until the fleet has come to rest.
pub async fn measure(tree: &mut Tree<'_>, phase: Phase) -> Result<Measured, PhaseError> {
    discard_earlier(tree).await?;
    let before = usages(tree).await?;
    if let Some(publication) = phase.publication {
        tree.publish(publication).await?;
    }
    // A phase is as long as it is told to be: what is used is measured over that time.
    tokio::time::sleep(phase.lasts).await;
    let couriers = tree.layout().couriers();
    settle(tree, couriers).await?;
    let after = usages(tree).await?;
    let (changes, times) = collect_times(tree, |_| true).await?;
    let uses = PARTS.into_iter().zip(before.iter().zip(&after));
    let uses = uses.map(|(part, (before, after))| (part, part_use(before, after))).collect();
    Ok(Measured { name: phase.name, changes, times, uses })
}

/// Forgets what was made and taken in before.
pub async fn discard_earlier(tree: &mut Tree<'_>) -> Result<(), FleetError> {
    tree.collect_published().await?;
    tree.collect_advances().await?;
    Ok(())
}

/// What was made since the last time, and how long it took at those couriers that are counted.
pub async fn collect_times(
    tree: &mut Tree<'_>,
    is_counted: impl Fn(CourierIndex) -> bool,
) -> Result<(usize, InForceTimes), FleetError> {
    let published = tree.collect_published().await?;
    let advanced = tree.collect_advances().await?;
    let mut times = InForceTimes::of(&tree.layout(), &published, &advanced.advances, is_counted);
    times.missing += advanced.lost;
    Ok((published.len(), times))
}

type Usages = Vec<Vec<(Usage, usize)>>;

async fn usages(tree: &mut Tree<'_>) -> Result<Usages, FleetError> {
    let mut all = Vec::new();
    for part in PARTS {
        all.push(tree.usage(part).await?);
    }
    Ok(all)
}

fn part_use(before: &[(Usage, usize)], after: &[(Usage, usize)]) -> PartUse {
    let members: usize = after.iter().map(|(_, members)| members).sum();
    let members = members.max(1) as f64;
    let mut sum = PartUse::default();
    for ((before, _), (after, _)) in before.iter().zip(after) {
        let seconds = after.at.since(before.at).as_secs_f64().max(f64::MIN_POSITIVE);
        let processor = after.processor.saturating_sub(before.processor).as_secs_f64();
        let bytes = |traffic: &Traffic| traffic.bytes_in + traffic.bytes_out;
        let messages = |traffic: &Traffic| traffic.messages_in + traffic.messages_out;
        let grown = |count: fn(&Traffic) -> u64| (count(&after.traffic) - count(&before.traffic)) as f64;
        sum.core_share += processor / seconds;
        sum.bytes_per_second += grown(bytes) / seconds;
        sum.messages_per_second += grown(messages) / seconds;
        sum.resident_bytes += after.resident.private as f64;
    }
    PartUse {
        core_share: sum.core_share / members,
        bytes_per_second: sum.bytes_per_second / members,
        messages_per_second: sum.messages_per_second / members,
        resident_bytes: sum.resident_bytes / members,
    }
}

/// A figure of a record.
pub fn figure(name: String, unit: &str, value: f64) -> Figure {
    Figure { name, unit: unit.to_owned(), value }
}

/// The figures of times.
pub fn time_figures(prefix: &str, changes: usize, times: &InForceTimes) -> Vec<Figure> {
    let mut figures = vec![
        figure(format!("{prefix}/changes"), "changes", changes as f64),
        figure(format!("{prefix}/missing"), "couriers of changes", times.missing as f64),
        figure(format!("{prefix}/unknown"), "changes", times.unknown as f64),
        figure(format!("{prefix}/known_too_early"), "changes", times.known_too_early as f64),
        figure(format!("{prefix}/late"), "changes", times.late as f64),
        figure(format!("{prefix}/known_late"), "changes", times.known_late as f64),
    ];
    let lists =
        [("everywhere", &times.everywhere), ("at_couriers", &times.at_couriers), ("known", &times.known)];
    for (name, list) in lists {
        if list.is_empty() {
            continue;
        }
        for (share_name, share) in [("p50", 0.5), ("p99", 0.99), ("worst", 1.0)] {
            let value = percentile(list, share).as_secs_f64() * 1e3;
            figures.push(figure(format!("{prefix}/in_force_{name}_{share_name}"), "ms", value));
        }
    }
    figures
}

impl Measured {
    /// Its figures.
    pub fn figures(&self) -> Vec<Figure> {
        let mut figures = time_figures(self.name, self.changes, &self.times);
        for (part, used) in &self.uses {
            let prefix = format!("{}/{}", self.name, part.name());
            figures.push(figure(format!("{prefix}_core_share"), "cores", used.core_share));
            figures.push(figure(format!("{prefix}_bytes_per_second"), "bytes/s", used.bytes_per_second));
            figures.push(figure(
                format!("{prefix}_messages_per_second"),
                "messages/s",
                used.messages_per_second,
            ));
            figures.push(figure(format!("{prefix}_resident"), "bytes", used.resident_bytes));
        }
        figures
    }
}
