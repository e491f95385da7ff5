//! What is done to a fleet: the plain case, and one fault at a time while settings of the whole fleet change.

use crate::control::{Mix, Publication};
use crate::fleet::FleetError;
use crate::layout::{CourierIndex, ZoneIndex};
use crate::phase::{
    collect_times, discard_earlier, figure, look, measure, settle, time_figures, wait_until_current, Phase,
    PhaseError,
};
use crate::tree::{Tree, LOOK_INTERVAL};
use gullcart_scale::Figure;
use serde::{Deserialize, Serialize};
use std::ops::Range;
use std::time::Duration;
use tokio::time::Instant;

/// Couriers that share their shares of the destinations.
const GROUP: u32 = 14;
/// Couriers of a rack.
const RACK: u32 = 40;
/// The zone that faults happen in.
const FAULTY_ZONE: ZoneIndex = ZoneIndex(0);
/// Changes a second in the usual phase: 23,000 a day.
const USUAL_RATE: f64 = 0.27;
/// Changes of the burst.
const BURST: u32 = 1000;
/// How long the burst takes.
const BURST_LASTS: Duration = Duration::from_secs(1);
/// Changes of the whole fleet for each second of a fault.
const FAULT_RATE: f64 = 2.0;

/// A relay that has begun no snapshot by then is not asked for any.
const LATEST_SNAPSHOT: Duration = Duration::from_secs(10);

/// What is done to a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Scenario {
    /// Quiet, changes at the usual rate, a burst of them.
    Plain,
    /// A courier is lost and returns.
    LostCourier,
    /// The couriers of a group are lost and return.
    LostGroup,
    /// The couriers of a rack are lost and return.
    LostRack,
    /// All couriers of a zone and its relay are lost and return.
    LostZone,
    /// A relay is killed while its zone is given snapshots, and returns.
    LostRelay,
    /// The relays of all regions are cut off from the source.
    CutTier,
    /// A courier reads a byte a second.
    SlowCourier,
    /// A process of couriers is paused.
    PausedProcess,
}

/// How long the phases of scenarios last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Spans {
    /// Without changes.
    pub quiet: Duration,
    /// At the usual rate.
    pub usual: Duration,
    /// From the beginning of the burst on, at least.
    pub burst: Duration,
    /// A fault.
    pub fault: Duration,
    /// Before a fault and after it, while changes are made.
    pub around: Duration,
}

impl Default for Spans {
    fn default() -> Self {
        let seconds = Duration::from_secs;
        Spans {
            quiet: seconds(20),
            usual: seconds(60),
            burst: seconds(5),
            fault: seconds(5),
            around: seconds(3),
        }
    }
}

impl Scenario {
    /// Its name in figures.
    pub fn name(self) -> &'static str {
        match self {
            Scenario::Plain => "plain",
            Scenario::LostCourier => "lost_courier",
            Scenario::LostGroup => "lost_group",
            Scenario::LostRack => "lost_rack",
            Scenario::LostZone => "lost_zone",
            Scenario::LostRelay => "lost_relay",
            Scenario::CutTier => "cut_tier",
            Scenario::SlowCourier => "slow_courier",
            Scenario::PausedProcess => "paused_process",
        }
    }

    /// Plays it on a fleet at rest, and leaves one at rest.
    pub async fn play(self, tree: &mut Tree<'_>, spans: &Spans) -> Result<Vec<Figure>, PhaseError> {
        match self {
            Scenario::Plain => play_plain(tree, spans).await,
            fault => play_fault(fault, tree, spans).await,
        }
    }
}

async fn play_plain(tree: &mut Tree<'_>, spans: &Spans) -> Result<Vec<Figure>, PhaseError> {
    let usual = (spans.usual.as_secs_f64() * USUAL_RATE).ceil() as u32;
    let usual = Publication { changes: usual, over: spans.usual, mix: Mix::Usual };
    let burst = Publication { changes: BURST, over: BURST_LASTS, mix: Mix::Usual };
    let phases = [
        Phase { name: "quiet", publication: None, lasts: spans.quiet },
        Phase { name: "usual", publication: Some(usual), lasts: spans.usual },
        Phase { name: "burst", publication: Some(burst), lasts: spans.burst },
    ];
    let mut figures = Vec::new();
    for phase in phases {
        figures.extend(measure(tree, phase).await?.figures());
    }
    Ok(figures)
}

async fn play_fault(fault: Scenario, tree: &mut Tree<'_>, spans: &Spans) -> Result<Vec<Figure>, PhaseError> {
    discard_earlier(tree).await?;
    let over = spans.fault + 2 * spans.around;
    let changes = (over.as_secs_f64() * FAULT_RATE).ceil() as u32;
    tree.publish(Publication { changes, over, mix: Mix::Global }).await?;
    tokio::time::sleep(spans.around).await;
    let affected = begin_fault(fault, tree).await?;
    let couriers = tree.layout().couriers();
    let failover = hold_fault(fault, tree, spans).await?;
    end_fault(fault, tree, affected.clone()).await?;
    let recovery = wait_until_current(tree, couriers).await?;
    settle(tree, couriers).await?;
    // Those that were lost took some changes in with the snapshot they began with.
    let is_counted = |courier: CourierIndex| !fault.restarts_couriers() || !affected.contains(&courier.0);
    let (changes, times) = collect_times(tree, is_counted).await?;
    let mut figures = time_figures(fault.name(), changes, &times);
    let name = |what: &str| format!("{}/{what}", fault.name());
    figures.push(figure(name("affected"), "couriers", affected.len() as f64));
    figures.push(figure(name("all_current_after_end"), "ms", recovery.as_secs_f64() * 1e3));
    if let Some(failover) = failover {
        figures.push(figure(name("all_current_after_loss"), "ms", failover.as_secs_f64() * 1e3));
    }
    Ok(figures)
}

/// Lets a fault last. Returns how long it took until all couriers were current during it, where others take over.
async fn hold_fault(
    fault: Scenario,
    tree: &mut Tree<'_>,
    spans: &Spans,
) -> Result<Option<Duration>, PhaseError> {
    if fault != Scenario::LostRelay {
        tokio::time::sleep(spans.fault).await;
        return Ok(None);
    }
    let couriers = tree.layout().couriers();
    let failover = wait_until_current(tree, couriers).await?;
    tokio::time::sleep(spans.fault.saturating_sub(failover)).await;
    Ok(Some(failover))
}

impl Scenario {
    fn restarts_couriers(self) -> bool {
        !matches!(self, Scenario::Plain | Scenario::CutTier | Scenario::PausedProcess)
    }
}

/// Begins a fault; returns the couriers that it concerns.
async fn begin_fault(fault: Scenario, tree: &mut Tree<'_>) -> Result<Range<u32>, PhaseError> {
    let zone = tree.layout().couriers_of(FAULTY_ZONE);
    let first = |count: u32| zone.start..zone.end.min(zone.start + count);
    let affected = match fault {
        Scenario::Plain => 0..0,
        Scenario::LostCourier => first(1),
        Scenario::LostGroup => first(GROUP),
        Scenario::LostRack => first(RACK),
        Scenario::LostZone | Scenario::LostRelay => zone,
        Scenario::CutTier => 0..tree.layout().couriers(),
        Scenario::SlowCourier => first(1),
        Scenario::PausedProcess => tree.pause_couriers_process(0)?,
    };
    match fault {
        Scenario::LostCourier | Scenario::LostGroup | Scenario::LostRack => {
            tree.stop_couriers(affected.clone()).await?;
        }
        Scenario::LostZone => {
            tree.kill_zone_relay(FAULTY_ZONE).await?;
            tree.stop_couriers(affected.clone()).await?;
        }
        Scenario::LostRelay => kill_relay_amid_snapshots(tree, affected.clone()).await?,
        Scenario::CutTier => tree.cut_regions(true).await?,
        Scenario::SlowCourier => tree.slow_courier(CourierIndex(affected.start)).await?,
        Scenario::Plain | Scenario::PausedProcess => {}
    }
    Ok(affected)
}

async fn end_fault(fault: Scenario, tree: &mut Tree<'_>, affected: Range<u32>) -> Result<(), PhaseError> {
    match fault {
        Scenario::Plain => {}
        Scenario::LostCourier | Scenario::LostGroup | Scenario::LostRack => {
            tree.start_couriers(affected).await?;
        }
        Scenario::LostZone => {
            tree.restart_zone_relay(FAULTY_ZONE).await?;
            tree.start_couriers(affected).await?;
        }
        Scenario::LostRelay => tree.restart_zone_relay(FAULTY_ZONE).await?,
        Scenario::CutTier => tree.cut_regions(false).await?,
        Scenario::SlowCourier => {
            tree.stop_couriers(affected.clone()).await?;
            tree.start_couriers(affected).await?;
        }
        Scenario::PausedProcess => tree.resume_couriers_process(0)?,
    }
    Ok(())
}

/// Has all couriers of the zone begin anew, and kills their relay once some of them have been served and others have not.
async fn kill_relay_amid_snapshots(tree: &mut Tree<'_>, couriers: Range<u32>) -> Result<(), PhaseError> {
    let others = tree.layout().couriers() - couriers.len() as u32;
    tree.stop_couriers(couriers.clone()).await?;
    tree.start_couriers(couriers).await?;
    let begun = Instant::now();
    loop {
        let standing = look(tree).await?;
        if standing.current > others {
            return Ok(tree.kill_zone_relay(FAULTY_ZONE).await?);
        }
        if begun.elapsed() > LATEST_SNAPSHOT {
            return Err(FleetError::NoSnapshot.into());
        }
        tokio::time::sleep(LOOK_INTERVAL / 10).await;
    }
}
