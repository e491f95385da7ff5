//! The command line: fleets of one size, fleets by size, and the data structures by destinations.

use crate::layout::{Layout, LayoutError, SHARES_PER_ZONE};
use crate::machine::{self, MachineError};
use crate::process::Launch;
use crate::run::{measure_structures, run, RunError, RunPlan, RunResult, ScenarioFailure};
use crate::scenario::{Scenario, Spans};
use crate::structures::{Structure, StructureCost, StructureCosts, StructurePlan};
use crate::tree::Spread;
use crate::verdict::broken_promises;
use clap::{Args, Subcommand};
use gullcart_scale::{Figure, FitError, Measurement, Point, RecordError, RunRecord, SCHEMA};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode};
use std::time::{Duration, SystemTime};
use thiserror::Error;
use tokio::task::LocalSet;

const RESULTS: &str = "docs/capacity/results";
const UNKNOWN_COMMIT: &str = "unknown";
/// Sizes of which at least a fit is made.
const LEAST_SIZES: usize = 3;
const NAME_WIDTH: usize = 44;

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
    /// A scenario of the slope failed.
    #[error("at {size} couriers: {failure}")]
    Scenario {
        /// The size.
        size: u32,
        /// The scenario.
        failure: ScenarioFailure,
    },
    /// A fit needs more sizes.
    #[error("a slope needs {LEAST_SIZES} sizes or more")]
    Sizes,
    /// A quantity has no fit.
    #[error("{name}: {error}")]
    Fit {
        /// The quantity.
        name: String,
        /// Why not.
        error: FitError,
    },
    /// The record cannot be kept.
    #[error(transparent)]
    Record(#[from] RecordError),
    /// The machine could not be asked.
    #[error(transparent)]
    Machine(#[from] MachineError),
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
    let result = run_now(launch, &plan)?;
    let name = common.name.clone().unwrap_or_else(|| format!("hollow-{}", arguments.couriers));
    let mut record = begin_record(name, plan.parameters())?;
    record.parameters.insert("couriers".to_owned(), arguments.couriers.to_string());
    let endpoints = layout.endpoints_per_courier().to_string();
    record.parameters.insert("endpoints_per_courier".to_owned(), endpoints);
    if let Some(failure) = &result.failure {
        record.parameters.insert("failed".to_owned(), failure.to_string());
    }
    record.figures = result.figures;
    keep(&record, &common.results)?;
    let broken = broken_promises(&record.figures);
    broken.iter().for_each(|broken| println!("broken: {broken}"));
    let is_kept = result.failure.is_none() && broken.is_empty();
    Ok(if is_kept { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn execute_slope(arguments: &SlopeArguments, launch: &Launch) -> Result<ExitCode, CommandError> {
    if arguments.sizes.len() < LEAST_SIZES {
        return Err(CommandError::Sizes);
    }
    let common = &arguments.common;
    let mut quantities = Quantities::default();
    let mut last = None;
    for size in &arguments.sizes {
        let plan = common.plan(common.layout(*size)?, vec![Scenario::Plain]);
        let result = run_now(launch, &plan)?;
        if let Some(failure) = result.failure {
            return Err(CommandError::Scenario { size: *size, failure });
        }
        for Figure { name, unit, value } in &result.figures {
            quantities.add(name, unit, *size, *value);
        }
        last = Some(plan);
    }
    let plan = last.ok_or(CommandError::Sizes)?;
    let name = common.name.clone().unwrap_or_else(|| "hollow-slope".to_owned());
    let mut record = begin_record(name, plan.parameters())?;
    record.measurements = quantities.measurements("couriers")?;
    keep(&record, &common.results)?;
    Ok(ExitCode::SUCCESS)
}

fn execute_destinations(
    arguments: &DestinationsArguments,
    launch: &Launch,
) -> Result<ExitCode, CommandError> {
    if arguments.sizes.len() < LEAST_SIZES {
        return Err(CommandError::Sizes);
    }
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
    let name = arguments.name.clone().unwrap_or_else(|| "hollow-destinations".to_owned());
    let parameters = [
        ("destinations_per_entry", arguments.per_entry.to_string()),
        ("zones", arguments.zones.to_string()),
        ("refused", refused.join("; ")),
    ];
    let mut record = begin_record(name, parameters)?;
    record.measurements = quantities.measurements("destinations")?;
    keep(&record, &arguments.results)?;
    Ok(ExitCode::SUCCESS)
}

/// Points of quantities, by name.
#[derive(Default)]
struct Quantities(BTreeMap<String, Quantity>);

/// Points of one quantity.
struct Quantity {
    unit: String,
    points: Vec<Point>,
}

impl Quantities {
    fn add(&mut self, name: &str, unit: &str, size: u32, value: f64) {
        let quantity = self.0.entry(name.to_owned());
        let quantity = quantity.or_insert_with(|| Quantity { unit: unit.to_owned(), points: Vec::new() });
        quantity.points.push(Point { size: f64::from(size), value, samples: 1 });
    }

    fn add_structure(&mut self, name: &str, size: u32, cost: &StructureCost) {
        self.add(&format!("{name}/entries"), "entries", size, cost.entries as f64);
        self.add(&format!("{name}/memory"), "bytes", size, cost.bytes as f64);
        self.add(&format!("{name}/build"), "ms", size, cost.build.as_secs_f64() * 1e3);
        self.add(&format!("{name}/change"), "us", size, cost.change.as_secs_f64() * 1e6);
        self.add(&format!("{name}/digest_of_a_share"), "us", size, cost.digest.as_secs_f64() * 1e6);
    }

    /// Those quantities that were measured at enough sizes for a fit.
    fn measurements(self, axis: &str) -> Result<Vec<Measurement>, CommandError> {
        let enough = self.0.into_iter().filter(|(_, quantity)| quantity.points.len() >= LEAST_SIZES);
        let fitted = enough.map(|(name, Quantity { unit, points })| {
            Measurement::new(&name, &unit, axis, points).map_err(|error| CommandError::Fit { name, error })
        });
        fitted.collect()
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

fn begin_record(
    name: String,
    parameters: impl IntoIterator<Item = (&'static str, String)>,
) -> Result<RunRecord, CommandError> {
    let load = ("load_average", machine::load_average()?);
    let parameters = parameters.into_iter().chain([load]);
    Ok(RunRecord {
        schema: SCHEMA,
        name,
        command: command_line(),
        commit: commit(),
        date: humantime::format_rfc3339_seconds(SystemTime::now()).to_string(),
        machine: machine::describe()?,
        parameters: parameters.map(|(name, value)| (name.to_owned(), value)).collect(),
        measurements: Vec::new(),
        figures: Vec::new(),
    })
}

/// The command with its program's name alone.
fn command_line() -> String {
    let mut words = std::env::args();
    let program = words.next().unwrap_or_default();
    let program = Path::new(&program).file_name().unwrap_or_default().to_string_lossy().into_owned();
    [program].into_iter().chain(words).collect::<Vec<_>>().join(" ")
}

/// The commit that this program was built from, as far as can be told: that of the folder it lies in.
fn commit() -> String {
    let program = std::env::current_exe().unwrap_or_default();
    let folder = program.parent().unwrap_or(Path::new("."));
    let asked = Command::new("git").arg("-C").arg(folder).args(["rev-parse", "HEAD"]).output();
    let answer = asked.ok().filter(|output| output.status.success());
    answer.map_or_else(
        || UNKNOWN_COMMIT.to_owned(),
        |output| String::from_utf8_lossy(&output.stdout).trim().to_owned(),
    )
}

fn keep(record: &RunRecord, results: &Path) -> Result<(), CommandError> {
    for Figure { name, unit, value } in &record.figures {
        println!("{name:<NAME_WIDTH$} {value:>16.5} {unit}");
    }
    for measurement in &record.measurements {
        let points: Vec<String> =
            measurement.points.iter().map(|point| format!("{}: {:.5}", point.size, point.value)).collect();
        println!("{:<NAME_WIDTH$} {} ({})", measurement.name, points.join(", "), measurement.unit);
    }
    let path = record.write(results)?;
    println!("record: {}", path.display());
    Ok(())
}
