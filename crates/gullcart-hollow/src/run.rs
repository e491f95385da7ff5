//! A run: a fleet of one size, and scenarios that are played on it one after the other.

use crate::control::{Command, Report};
use crate::fleet::{Endings, Fleet, FleetError};
use crate::hollow::SessionCounts;
use crate::layout::Layout;
use crate::limits::{Demand, Limits};
use crate::machine::{self, MachineError};
use crate::phase::{figure, settle, PhaseError};
use crate::process::Launch;
use crate::scenario::{Scenario, Spans};
use crate::structures::{StructureCosts, StructurePlan};
use crate::tree::{probe_engine, Spread, Tree, PARTS};
use gullcart_scale::Figure;
use std::time::Duration;
use thiserror::Error;

/// Couriers of one process, unless it is said otherwise.
const COURIERS_PER_PROCESS: u32 = 240;
/// What the probe of an engine's memory may take.
const PROBE_BYTES: u64 = 512 << 20;

/// What a destination takes in the structures at most, as was seen.
const DESTINATION_BYTES: u64 = 2 << 10;

/// What is run.
#[derive(Clone, Debug)]
pub struct RunPlan {
    /// The shape of the fleet.
    pub layout: Layout,
    /// How it is spread over processes.
    pub spread: Spread,
    /// What is played, in this order.
    pub scenarios: Vec<Scenario>,
    /// How long phases last.
    pub spans: Spans,
    /// For random choices.
    pub seed: u64,
}

/// What a run measured.
#[derive(Clone, Debug)]
pub struct RunResult {
    /// Its figures.
    pub figures: Vec<Figure>,
    /// How its processes ended.
    pub endings: Endings,
    /// A scenario that could not be played to its end; those after it were not begun.
    pub failure: Option<ScenarioFailure>,
}

/// A scenario that could not be played to its end.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{scenario}: {reason}")]
pub struct ScenarioFailure {
    /// Which one.
    pub scenario: &'static str,
    /// Why.
    pub reason: String,
}

/// Why a run measured nothing.
#[derive(Debug, Error)]
pub enum RunError {
    /// The fleet failed.
    #[error(transparent)]
    Fleet(#[from] FleetError),
    /// The fleet never came to rest.
    #[error(transparent)]
    Phase(#[from] PhaseError),
    /// The machine could not be asked.
    #[error(transparent)]
    Machine(#[from] MachineError),
}

impl Spread {
    /// Processes for a fleet: relays alone, and couriers by the hundreds.
    pub fn usual(layout: &Layout) -> Self {
        Spread {
            courier_processes: layout.couriers().div_ceil(COURIERS_PER_PROCESS).max(2),
            relay_processes: usize::from(layout.zones()),
        }
    }
}

/// Runs a fleet, if it stays within the limits of this machine.
pub async fn run(launch: &Launch, plan: &RunPlan) -> Result<RunResult, RunError> {
    let limits = Limits::of_machine()?;
    let engine_bytes = measure_engine(launch, limits, &plan.layout).await?;
    let demand = plan.spread.demand(&plan.layout, engine_bytes);
    let fleet = Fleet::admit(launch.clone(), limits, &demand).map_err(FleetError::from)?;
    let mut figures = vec![
        figure("engine_resident".to_owned(), "bytes", engine_bytes as f64),
        figure("memory_estimate".to_owned(), "bytes", demand.memory as f64),
        figure("memory_limit".to_owned(), "bytes", limits.memory as f64),
        figure("processes".to_owned(), "processes", demand.processes as f64),
        figure("connections_of_a_process".to_owned(), "descriptors", demand.connections as f64),
    ];
    let work = async |fleet: &mut Fleet| play_all(fleet, plan, &mut figures).await;
    let (failure, endings) = fleet.run(work).await?;
    Ok(RunResult { figures, endings, failure })
}

async fn measure_engine(launch: &Launch, limits: Limits, layout: &Layout) -> Result<u64, FleetError> {
    let demand = Demand { memory: PROBE_BYTES, processes: 2, connections: 0 };
    let fleet = Fleet::admit(launch.clone(), limits, &demand)?;
    let (bytes, _) = fleet.run(async |fleet: &mut Fleet| probe_engine(fleet, layout).await).await?;
    Ok(bytes)
}

/// Measures data structures in a process of their own.
pub async fn measure_structures(launch: &Launch, plan: StructurePlan) -> Result<StructureCosts, RunError> {
    let memory = u64::from(plan.destinations) * DESTINATION_BYTES + PROBE_BYTES;
    let demand = Demand { memory, processes: 2, connections: 0 };
    let fleet = Fleet::admit(launch.clone(), Limits::of_machine()?, &demand).map_err(FleetError::from)?;
    let work = async |fleet: &mut Fleet| {
        let index = fleet.start("structures")?;
        let process = fleet.process(index);
        match process.call(&Command::Structures(plan)).await? {
            Report::Structures(costs) => Ok(costs),
            _ => Err(FleetError::from(process.unexpected())),
        }
    };
    let (costs, _) = fleet.run(work).await?;
    Ok(costs)
}

/// Plays all scenarios. What was measured before one that fails is kept.
async fn play_all(
    fleet: &mut Fleet,
    plan: &RunPlan,
    figures: &mut Vec<Figure>,
) -> Result<Option<ScenarioFailure>, RunError> {
    let begun = machine::Monotonic::now();
    let mut tree = Tree::start(fleet, plan.layout, plan.spread, plan.seed).await?;
    if let Err(error) = settle(&mut tree, plan.layout.couriers()).await {
        return Ok(Some(ScenarioFailure { scenario: "start", reason: error.to_string() }));
    }
    let took = machine::Monotonic::now().since(begun);
    figures.extend(start_figures(&mut tree, took).await?);
    eprintln!("{} couriers are current after {took:.1?}", plan.layout.couriers());
    let mut failure = None;
    for scenario in &plan.scenarios {
        eprintln!("playing {}", scenario.name());
        match scenario.play(&mut tree, &plan.spans).await {
            Ok(measured) => figures.extend(measured),
            Err(error) => {
                let reason = error.to_string();
                eprintln!("{} failed: {reason}", scenario.name());
                failure = Some(ScenarioFailure { scenario: scenario.name(), reason });
                break;
            }
        }
    }
    figures.extend(end_figures(&mut tree).await?);
    Ok(failure)
}

/// What it took until all couriers were current.
async fn start_figures(tree: &mut Tree<'_>, took: Duration) -> Result<Vec<Figure>, FleetError> {
    let mut figures = vec![figure("start/all_current_after".to_owned(), "ms", took.as_secs_f64() * 1e3)];
    for part in PARTS {
        let processor: Duration = tree.usage(part).await?.iter().map(|(usage, _)| usage.processor).sum();
        let name = format!("start/{}s_processor_time", part.name());
        figures.push(figure(name, "s", processor.as_secs_f64()));
    }
    figures.extend(session_figures("start", &tree.couriers_status().await?.sessions));
    Ok(figures)
}

/// What had happened when all was played.
async fn end_figures(tree: &mut Tree<'_>) -> Result<Vec<Figure>, FleetError> {
    let mut figures = session_figures("end", &tree.couriers_status().await?.sessions);
    let relays = tree.zone_relays_status().await?;
    let counts = [
        ("end/zone_relays_sessions", "sessions", relays.sessions),
        ("end/zone_relays_entries", "entries", relays.entries),
        ("end/zone_relay_most_snapshots", "snapshots", relays.most_snapshots),
        ("end/zone_relay_largest_window", "bytes", relays.largest_window),
        ("end/zone_relay_most_output", "messages", relays.most_output),
    ];
    figures.extend(counts.map(|(name, unit, count)| figure(name.to_owned(), unit, count as f64)));
    figures.push(figure("peak_memory".to_owned(), "bytes", tree.peak_memory() as f64));
    Ok(figures)
}

fn session_figures(prefix: &str, sessions: &SessionCounts) -> Vec<Figure> {
    let counts = sessions.by_name().into_iter();
    counts.map(|(name, count)| figure(format!("{prefix}/{name}"), "sessions", count as f64)).collect()
}
