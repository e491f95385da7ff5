//! `gullcartctl scale`: what a daemon costs by size, measured on real processes and kept as records.

mod page;
mod shared;

use clap::{Args, Subcommand};
use gullcart_scale::daemon::{
    changes, couriers, endpoints, held, restart, waiting, Cancellation, Collector, Launch, Limits,
    MeasureError, RunTitle, Settings, NOT_REACHED,
};
use gullcart_scale::{Measurement, RunRecord};
use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode};
use std::thread;
use std::time::Duration;

const RESULTS: &str = "docs/capacity/results";
const UNKNOWN_COMMIT: &str = "unknown";
/// Files whose changes are not in a daemon.
const NOT_IN_A_DAEMON: [&str; 3] = [":!docs", ":!journal", ":!*.md"];
/// Points that are so much farther from a line than their own size lie on none.
const NO_LINE: f64 = 10.0;
const NAME_WIDTH: usize = 44;
const VALUE_WIDTH: usize = 12;

/// The arguments of the command.
#[derive(Args)]
#[command(after_help = "\
Examples:
  gullcartctl scale endpoints
  gullcartctl scale held --sizes 1000,10000 --daemon old/target/release/gullcart --name held-before

Exit codes: 0 all sizes were measured, 1 some were not reached, 2 it could not be run")]
pub struct Arguments {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// By the endpoints that a daemon is told of: memory, start, turns, changes, deliveries
    Endpoints(Run),
    /// By the messages that it holds for partners that never answer: memory, turns, hand-ins, replay
    Held(Run),
    /// By the destinations that have messages waiting: turns
    Waiting(Run),
    /// By the length of the list: changes and what they add to the journal, reloads of the configuration
    Changes(Run),
    /// By the messages that it holds: a restart for a changed setting, and how long no client is served
    Restart(Run),
    /// By the couriers that it is told of: memory, and calls for the list while discovery is down
    Couriers(Run),
    /// By the couriers of a deployment, without daemons: what all of them do toward what they share
    Shared(shared::Arguments),
    /// Render the figures of docs/CAPACITY.md from the records, or compare them
    Page(page::Arguments),
}

/// What all measurements of a daemon take.
#[derive(Args)]
struct Run {
    /// Sizes to measure [default: four or more, over two decades]
    #[arg(long, value_delimiter = ',', value_name = "N,...")]
    sizes: Vec<usize>,
    /// The daemon [default: the gullcart beside this program]
    #[arg(long, value_name = "PATH")]
    daemon: Option<PathBuf>,
    /// Where the record goes
    #[arg(long, value_name = "DIR", default_value = RESULTS)]
    results: PathBuf,
    /// What the record is called [default: the measurement]
    #[arg(long)]
    name: Option<String>,
    /// The daemon's commit [default: that of the folder it lies in]
    #[arg(long)]
    commit: Option<String>,
    /// Samples of each cost; the median of them is kept
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u32).range(1..=1000))]
    samples: u32,
    /// How long one size may take to set up; a size that takes longer is recorded as not reached
    #[arg(long, value_name = "TIME", default_value = "60s", value_parser = humantime::parse_duration)]
    limit: Duration,
}

type Measure = fn(&[usize], &Settings, &Limits, &mut dyn FnMut(&str)) -> Result<Collector, MeasureError>;

/// A measurement of the daemon.
struct Kind {
    name: &'static str,
    sizes: &'static [usize],
    measure: Measure,
}

const ENDPOINTS: Kind =
    Kind { name: "endpoints", sizes: &[100, 1_000, 10_000, 50_000, 200_000], measure: endpoints::measure };
const HELD: Kind = Kind { name: "held", sizes: &[1_000, 10_000, 50_000, 100_000], measure: held::measure };
const WAITING: Kind = Kind { name: "waiting", sizes: &[10, 100, 1_000, 10_000], measure: waiting::measure };
const CHANGES: Kind =
    Kind { name: "changes", sizes: &[100, 1_000, 10_000, 50_000], measure: changes::measure };
const RESTART: Kind = Kind { name: "restart", sizes: &[10, 100, 1_000, 10_000], measure: restart::measure };
const COURIERS: Kind =
    Kind { name: "couriers", sizes: &[10, 100, 1_000, 11_000], measure: couriers::measure };

/// Runs a measurement, shows it and keeps it.
pub fn scale(arguments: &Arguments) -> Result<ExitCode, String> {
    let (kind, run) = match &arguments.what {
        What::Endpoints(run) => (ENDPOINTS, run),
        What::Held(run) => (HELD, run),
        What::Waiting(run) => (WAITING, run),
        What::Changes(run) => (CHANGES, run),
        What::Restart(run) => (RESTART, run),
        What::Couriers(run) => (COURIERS, run),
        What::Shared(arguments) => return shared::shared(arguments),
        What::Page(arguments) => return page::page(arguments),
    };
    let record = measure(&kind, run).map_err(|error| error.to_string())?;
    show(&record);
    let path = record.write(&run.results).map_err(|error| error.to_string())?;
    println!("record: {}", path.display());
    let is_whole = !record.parameters.keys().any(|name| name.starts_with(NOT_REACHED));
    Ok(if is_whole { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Why a run gave no record.
#[derive(Debug, thiserror::Error)]
enum ScaleError {
    #[error("{0}")]
    Daemon(String),
    #[error(transparent)]
    Measure(#[from] MeasureError),
}

fn measure(kind: &Kind, run: &Run) -> Result<RunRecord, ScaleError> {
    let sizes = sizes(kind, run)?;
    let launch = launch(run.daemon.as_deref()).map_err(ScaleError::Daemon)?;
    let commit = run.commit.clone().unwrap_or_else(|| commit_of(&launch.program));
    let cancellation = Cancellation::default();
    cancel_on_signals(cancellation.clone());
    let settings = Settings { launch, samples: run.samples, limit: run.limit, cancellation };
    let limits = Limits::of_this_machine()?;
    let mut progress = |what: &str| eprintln!("{}: {what}", kind.name);
    let mut collector = (kind.measure)(&sizes, &settings, &limits, &mut progress)?;
    collector.parameter("samples", run.samples);
    let name = run.name.clone().unwrap_or_else(|| kind.name.to_owned());
    let command = command(kind, run, &sizes);
    Ok(collector.record(RunTitle { name, command, commit })?)
}

/// The sizes to measure, from the smallest on.
fn sizes(kind: &Kind, run: &Run) -> Result<Vec<usize>, MeasureError> {
    let mut sizes = if run.sizes.is_empty() { kind.sizes.to_vec() } else { run.sizes.clone() };
    sizes.sort_unstable();
    sizes.dedup();
    match sizes.first() {
        Some(0) => Err(MeasureError::Sizes("the smallest one is 1")),
        _ => Ok(sizes),
    }
}

/// The command that repeats a run, without where things lie on this machine.
fn command(kind: &Kind, run: &Run, sizes: &[usize]) -> String {
    let sizes: Vec<String> = sizes.iter().map(usize::to_string).collect();
    let limit = humantime::format_duration(run.limit).to_string().replace(' ', "");
    format!(
        "gullcartctl scale {} --sizes {} --samples {} --limit {limit}",
        kind.name,
        sizes.join(","),
        run.samples
    )
}

/// How daemons are started: tied to this process, whatever happens to it.
fn launch(daemon: Option<&Path>) -> Result<Launch, String> {
    let launch = crate::rehearse::launch(daemon, &[])?;
    Ok(Launch { program: launch.program, guard: launch.guard })
}

/// The commit of the folder that a daemon lies in, marked where what it is built from was changed.
fn commit_of(daemon: &Path) -> String {
    let folder = daemon.canonicalize().ok().and_then(|path| path.parent().map(Path::to_owned));
    let Some(folder) = folder else { return UNKNOWN_COMMIT.to_owned() };
    let Some(commit) = git(&folder, &["rev-parse", "HEAD"]) else { return UNKNOWN_COMMIT.to_owned() };
    let changes =
        [&["status", "--porcelain", "--untracked-files=no", "--", ":/"], &NOT_IN_A_DAEMON[..]].concat();
    match git(&folder, &changes).as_deref() {
        Some("") => commit,
        _ => format!("{commit}, changed"),
    }
}

fn git(folder: &Path, arguments: &[&str]) -> Option<String> {
    let output = Command::new("git").arg("-C").arg(folder).args(arguments).output().ok()?;
    let text = String::from_utf8(output.stdout).ok()?;
    output.status.success().then(|| text.trim().to_owned())
}

/// Ctrl-C and SIGTERM end the run at its next step.
fn cancel_on_signals(cancellation: Cancellation) {
    thread::spawn(move || {
        let Ok(runtime) = tokio::runtime::Builder::new_current_thread().enable_all().build() else { return };
        runtime.block_on(async {
            use tokio::signal::unix::{signal, SignalKind};
            let Ok(mut terminate) = signal(SignalKind::terminate()) else { return };
            tokio::select! {
                _ = tokio::signal::ctrl_c() => {}
                _ = terminate.recv() => {}
            }
            cancellation.cancel();
        });
    });
}

fn show(record: &RunRecord) {
    println!("{} of {}, {}", record.name, record.commit, record.date);
    for (name, value) in &record.parameters {
        println!("  {name}: {value}");
    }
    for measurement in &record.measurements {
        println!("{}", row(measurement));
    }
    for figure in &record.figures {
        println!("{:<NAME_WIDTH$}{:>VALUE_WIDTH$} {}", figure.name, short(figure.value), figure.unit);
    }
}

/// A quantity: a line of its sizes, one of its values, and what they grow by.
fn row(measurement: &Measurement) -> String {
    let sizes = measurement.points.iter().map(|point| format!("{:>VALUE_WIDTH$}", short(point.size)));
    let values = measurement.points.iter().map(|point| format!("{:>VALUE_WIDTH$}", short(point.value)));
    let fit = &measurement.fit;
    let exponent = match (fit.exponent, fit.exponent_error) {
        (Some(exponent), Some(error)) => format!(", grows as size^{exponent:.2} (error {error:.2})"),
        _ => String::new(),
    };
    format!(
        "\n{:<NAME_WIDTH$}{}\n{:<NAME_WIDTH$}{}\n  {} {} each (error {}) beside {}{exponent}; {}",
        measurement.axis.name,
        sizes.collect::<String>(),
        format!("{}, {}", measurement.name, measurement.unit),
        values.collect::<String>(),
        short(fit.slope),
        measurement.unit,
        short(fit.slope_error),
        short(fit.intercept),
        distance(fit.worst_relative_residual),
    )
}

/// How far the points are from the line.
fn distance(relative: f64) -> String {
    match relative < NO_LINE {
        true => format!("off by {:.0} % at most", relative * 100.0),
        false => "no line".to_owned(),
    }
}

/// A number with some digits, none of them after the point where it is large.
fn short(value: f64) -> String {
    match value.abs() {
        0.0 => "0".to_owned(),
        large if large >= 1_000.0 => format!("{value:.0}"),
        middle if middle >= 1.0 => format!("{value:.2}"),
        _ => format!("{value:.2e}"),
    }
}
