//! The command line: fleets of one size, fleets by size, and the data structures by destinations.

use crate::layout::{Layout, LayoutError, SHARES_PER_ZONE};
use crate::process::Launch;
use crate::record::{DraftError, Quantities, RecordDraft, LEAST_SIZES};
use crate::run::{measure_structures, run, RunError, RunPlan, RunResult};
use crate::scenario::{Scenario, Spans};
use crate::structures::{Structure, StructureCosts, StructurePlan};
use crate::tree::Spread;
use crate::verdict::broken_promises;
use clap::{Args, Subcommand};
use gullcart_scale::Figure;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use thiserror::Error;
use tokio::task::LocalSet;

const RESULTS: &str = "docs/capacity/results";

/// What is measured.
#[derive(Subcommand)]
pub enum What {
    /// A fleet of one size, with faults
    Fleet(FleetArguments),
    /// Fleets by size, without faults
    Slope(SlopeArguments),
    /// The data structures of the source and of a zone's relay by destinations, without sockets
    Destinations(DestinationsArguments),
}

/// What all runs take.
#[derive(Args)]
pub struct CommonArguments {
    /// Zones of the fleet
    #[arg(long, default_value_t = 23)]
    zones: u16,
    /// Regions of the fleet
    #[arg(long, default_value_t = 11)]
    regions: u16,
    /// Shares of the destinations in each zone, each a scope, at most
    #[arg(long, default_value_t = SHARES_PER_ZONE)]
    shares: u32,
    /// For random choices
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How long the phase without changes lasts, in seconds
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(1..=3600))]
    quiet: u64,
    /// How long the phase with changes at the usual rate lasts, in seconds
    #[arg(long, default_value_t = 60, value_parser = clap::value_parser!(u64).range(1..=3600))]
    usual: u64,
    /// Where the record goes
    #[arg(long, value_name = "DIR", default_value = RESULTS)]
    results: PathBuf,
    /// What the record is called
    #[arg(long)]
    name: Option<String>,
}

/// A fleet of one size.
#[derive(Args)]
pub struct FleetArguments {
    /// Hollow couriers
    #[arg(long, default_value_t = 11_000)]
    couriers: u32,
    /// Processes that the couriers share [default: one for 240 of them]
    #[arg(long)]
    processes: Option<u32>,
    /// What is played, in this order
    #[arg(long, value_delimiter = ',', default_value = "plain")]
    scenario: Vec<Scenario>,
    #[command(flatten)]
    common: CommonArguments,
}

/// Fleets by size.
#[derive(Args)]
pub struct SlopeArguments {
    /// Hollow couriers of each fleet
    #[arg(long, value_delimiter = ',', default_value = "100,1000,4000,11000", value_name = "N,...")]
    sizes: Vec<u32>,
    #[command(flatten)]
    common: CommonArguments,
}

/// Data structures by destinations.
#[derive(Args)]
pub struct DestinationsArguments {
    /// Destinations
    #[arg(long, value_delimiter = ',', default_value = "10000,100000,400000,1600000", value_name = "N,...")]
    sizes: Vec<u32>,
    /// Destinations that share an entry
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u32).range(1..=32))]
    per_entry: u32,
    /// Zones that they are spread over
    #[arg(long, default_value_t = 23, value_parser = clap::value_parser!(u32).range(1..=1000))]
    zones: u32,
    /// Where the record goes
    #[arg(long, value_name = "DIR", default_value = RESULTS)]
    results: PathBuf,
    /// What the record is called
    #[arg(long)]
    name: Option<String>,
}

/// Why nothing was measured, or the record could not be kept.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The fleet cannot have that shape.
    #[error(transparent)]
    Layout(#[from] LayoutError),
    /// The run failed.
    #[error(transparent)]
    Run(#[from] RunError),
    /// A fit needs more sizes.
    #[error("a slope needs {LEAST_SIZES} sizes or more")]
    Sizes,
    /// The record cannot be made or kept.
    #[error(transparent)]
    Draft(#[from] DraftError),
    /// The processes cannot be started from here.
    #[error("the runtime: {0}")]
    Runtime(#[from] std::io::Error),
}

/// Measures, shows and keeps. `launch` is how a process of the fleet is started.
pub fn execute(what: &What, launch: &Launch) -> Result<ExitCode, CommandError> {
    match what {
        What::Fleet(arguments) => execute_fleet(arguments, launch),
        What::Slope(arguments) => execute_slope(arguments, launch),
        What::Destinations(arguments) => execute_destinations(arguments, launch),
    }
}

fn execute_fleet(arguments: &FleetArguments, launch: &Launch) -> Result<ExitCode, CommandError> {
    let common = &arguments.common;
    let layout = common.layout(arguments.couriers)?;
    let mut plan = common.plan(layout, arguments.scenario.clone());
    if let Some(processes) = arguments.processes {
        plan.spread.courier_processes = processes.clamp(1, arguments.couriers);
    }
    let name = common.name.clone().unwrap_or_else(|| format!("hollow-{}", arguments.couriers));
    let mut draft = RecordDraft::begin(name)?;
    draft.parameters(plan.parameters());
    draft.parameters([
        ("couriers", arguments.couriers.to_string()),
        ("endpoints_per_courier", layout.endpoints_per_courier().to_string()),
    ]);
    let result = run_now(launch, &plan)?;
    let broken = broken_promises(&result.figures);
    draft.parameters(broken.iter().map(|broken| ("broken", broken.to_string())));
    draft.parameters(result.failure.iter().map(|failure| ("failed", failure.to_string())));
    draft.record.figures = result.figures;
    draft.keep(&common.results)?;
    broken.iter().for_each(|broken| println!("broken: {broken}"));
    Ok(exit_code(result.failure.is_none() && broken.is_empty()))
}

fn execute_slope(arguments: &SlopeArguments, launch: &Launch) -> Result<ExitCode, CommandError> {
    if arguments.sizes.len() < LEAST_SIZES {
        return Err(CommandError::Sizes);
    }
    let common = &arguments.common;
    let name = common.name.clone().unwrap_or_else(|| "hollow-slope".to_owned());
    let mut draft = RecordDraft::begin(name)?;
    let mut quantities = Quantities::default();
    let mut is_whole = true;
    for size in &arguments.sizes {
        let plan = common.plan(common.layout(*size)?, vec![Scenario::Plain]);
        draft.parameters(plan.parameters());
        let result = run_now(launch, &plan)?;
        for Figure { name, unit, value } in &result.figures {
            quantities.add(name, unit, *size, *value);
        }
        for broken in broken_promises(&result.figures) {
            println!("broken at {size} couriers: {broken}");
            is_whole = false;
        }
        // What the sizes before it measured is kept.
        if let Some(failure) = result.failure {
            draft.parameters([("failed", format!("at {size} couriers: {failure}"))]);
            is_whole = false;
            break;
        }
    }
    draft.record.measurements = quantities.measurements("couriers")?;
    draft.keep(&common.results)?;
    Ok(exit_code(is_whole))
}

fn execute_destinations(
    arguments: &DestinationsArguments,
    launch: &Launch,
) -> Result<ExitCode, CommandError> {
    if arguments.sizes.len() < LEAST_SIZES {
        return Err(CommandError::Sizes);
    }
    let name = arguments.name.clone().unwrap_or_else(|| "hollow-destinations".to_owned());
    let mut draft = RecordDraft::begin(name)?;
    let mut quantities = Quantities::default();
    let mut refused = Vec::new();
    for destinations in &arguments.sizes {
        for structure in [Structure::Store, Structure::Tree] {
            let plan = StructurePlan {
                structure,
                destinations: *destinations,
                per_entry: arguments.per_entry,
                zones: arguments.zones,
            };
            match block_on(measure_structures(launch, plan))? {
                StructureCosts::Store(cost) => quantities.add_structure("store", *destinations, &cost),
                StructureCosts::Tree { source, zone_relay } => {
                    quantities.add_structure("source", *destinations, &source);
                    quantities.add_structure("zone_relay", *destinations, &zone_relay);
                }
                StructureCosts::Refused { entries } => {
                    refused.push(format!("{destinations} destinations: refused beyond {entries} entries"));
                }
            }
        }
    }
    draft.parameters([
        ("destinations_per_entry", arguments.per_entry.to_string()),
        ("zones", arguments.zones.to_string()),
        ("refused", refused.join("; ")),
    ]);
    draft.record.measurements = quantities.measurements("destinations")?;
    draft.keep(&arguments.results)?;
    Ok(ExitCode::SUCCESS)
}

fn exit_code(is_whole: bool) -> ExitCode {
    if is_whole {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

impl CommonArguments {
    fn layout(&self, couriers: u32) -> Result<Layout, LayoutError> {
        Layout::with_shares(couriers, self.zones, self.regions, self.shares)
    }

    fn plan(&self, layout: Layout, scenarios: Vec<Scenario>) -> RunPlan {
        let (quiet, usual) = (Duration::from_secs(self.quiet), Duration::from_secs(self.usual));
        RunPlan {
            layout,
            spread: Spread::usual(&layout),
            scenarios,
            spans: Spans { quiet, usual, ..Spans::default() },
            seed: self.seed,
        }
    }
}

fn run_now(launch: &Launch, plan: &RunPlan) -> Result<RunResult, CommandError> {
    block_on(run(launch, plan))
}

fn block_on<Done>(
    work: impl std::future::Future<Output = Result<Done, RunError>>,
) -> Result<Done, CommandError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    Ok(LocalSet::new().block_on(&runtime, work)?)
}

impl RunPlan {
    fn parameters(&self) -> [(&'static str, String); 6] {
        [
            ("zones", self.layout.zones().to_string()),
            ("regions", self.layout.regions().to_string()),
            ("most_shares_per_zone", self.layout.shares_per_zone().to_string()),
            ("seed", self.seed.to_string()),
            ("quiet_seconds", self.spans.quiet.as_secs().to_string()),
            ("usual_seconds", self.spans.usual.as_secs().to_string()),
        ]
    }
}
