//! `gullcartctl scale`: measures on real processes how a daemon's costs grow with size, and keeps the results as records.

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

/// Default folder of the records.
const RESULTS: &str = "docs/capacity/results";
/// Stands for the commit of a daemon that lies in no git repository.
const UNKNOWN_COMMIT: &str = "unknown";
/// Git pathspecs that exclude files which are not part of a daemon.
const NOT_IN_A_DAEMON: [&str; 3] = [":!docs", ":!journal", ":!*.md"];
/// If the fitted line misses a point by this multiple of the point's value or more, the line is too far off to be of use, and
/// the quantity is reported as not linear.
const MAX_RELATIVE_RESIDUAL: f64 = 10.0;
/// Widths of the columns in characters.
const NAME_WIDTH: usize = 44;
const VALUE_WIDTH: usize = 12;

/// The arguments of the command.
#[derive(Args)]
#[command(after_help = "\
Examples:
  gullcartctl scale endpoints
  gullcartctl scale held --sizes 1000,10000 --daemon old/target/release/gullcart --name held-before

Exit codes: 0 all sizes were measured, 1 some sizes were not reached, 2 the benchmark could not be run")]
pub struct Arguments {
    #[command(subcommand)]
    command: ScaleCommand,
}

#[derive(Subcommand)]
enum ScaleCommand {
    /// Measure by the number of listed endpoints: memory, start, event loop turns, changes, deliveries
    Endpoints(BenchmarkOptions),
    /// Measure by the number of messages held for partners that never answer: memory, event loop turns, enqueueing, replay
    Held(BenchmarkOptions),
    /// Measure by the number of destinations with waiting messages: event loop turns
    Waiting(BenchmarkOptions),
    /// Measure by the length of the list: changes and the bytes they add to the journal, reloads of the configuration
    Changes(BenchmarkOptions),
    /// Measure by the number of messages held: a restart for a changed setting, and how long no client is served
    Restart(BenchmarkOptions),
    /// Measure by the number of listed couriers: memory, and requests for the list while discovery is down
    Couriers(BenchmarkOptions),
    /// Measure by the number of couriers, without daemons: their load on shared partners and discovery, and their group
    Shared(shared::Arguments),
    /// Render the figures of docs/CAPACITY.md from the records, or check that they are up to date
    Page(page::Arguments),
}

/// The options of all benchmarks of a daemon.
#[derive(Args)]
struct BenchmarkOptions {
    /// Sizes to measure [default: four or more, over two decades]
    #[arg(long, value_delimiter = ',', value_name = "N,...")]
    sizes: Vec<usize>,
    /// The daemon [default: the gullcart in the folder of this program]
    #[arg(long, value_name = "PATH")]
    daemon: Option<PathBuf>,
    /// Folder for the record
    #[arg(long, value_name = "DIR", default_value = RESULTS)]
    results: PathBuf,
    /// Name of the record [default: that of the benchmark]
    #[arg(long)]
    name: Option<String>,
    /// The daemon's commit [default: that of the git repository it lies in]
    #[arg(long)]
    commit: Option<String>,
    /// Samples of each cost; their median is kept
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u32).range(1..=1000))]
    samples: u32,
    /// How long one size may take to set up; a size that takes longer is recorded as not reached
    #[arg(long, value_name = "TIME", default_value = "60s", value_parser = humantime::parse_duration)]
    limit: Duration,
}

/// Measures a daemon at the given sizes, and reports its progress.
type MeasureFn = fn(&[usize], &Settings, &Limits, &mut dyn FnMut(&str)) -> Result<Collector, MeasureError>;

/// A benchmark of a daemon: it measures several quantities, each at all sizes.
struct Benchmark {
    name: &'static str,
    default_sizes: &'static [usize],
    measure: MeasureFn,
}

const ENDPOINTS: Benchmark = Benchmark {
    name: "endpoints",
    default_sizes: &[100, 1_000, 10_000, 50_000, 200_000],
    measure: endpoints::measure,
};
const HELD: Benchmark =
    Benchmark { name: "held", default_sizes: &[1_000, 10_000, 50_000, 100_000], measure: held::measure };
const WAITING: Benchmark =
    Benchmark { name: "waiting", default_sizes: &[10, 100, 1_000, 10_000], measure: waiting::measure };
const CHANGES: Benchmark =
    Benchmark { name: "changes", default_sizes: &[100, 1_000, 10_000, 50_000], measure: changes::measure };
const RESTART: Benchmark =
    Benchmark { name: "restart", default_sizes: &[10, 100, 1_000, 10_000], measure: restart::measure };
const COURIERS: Benchmark =
    Benchmark { name: "couriers", default_sizes: &[10, 100, 1_000, 11_000], measure: couriers::measure };

/// Runs the command.
pub fn scale(arguments: &Arguments) -> Result<ExitCode, String> {
    let (benchmark, options) = match &arguments.command {
        ScaleCommand::Endpoints(options) => (ENDPOINTS, options),
        ScaleCommand::Held(options) => (HELD, options),
        ScaleCommand::Waiting(options) => (WAITING, options),
        ScaleCommand::Changes(options) => (CHANGES, options),
        ScaleCommand::Restart(options) => (RESTART, options),
        ScaleCommand::Couriers(options) => (COURIERS, options),
        ScaleCommand::Shared(arguments) => return shared::shared(arguments),
        ScaleCommand::Page(arguments) => return page::page(arguments),
    };
    let record = measure(&benchmark, options).map_err(|error| error.to_string())?;
    show(&record);
    let path = record.write(&options.results).map_err(|error| error.to_string())?;
    println!("record: {}", path.display());
    // A size that was not reached is recorded as a parameter whose name has this prefix.
    let is_complete = !record.parameters.keys().any(|name| name.starts_with(NOT_REACHED));
    Ok(if is_complete { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Why a benchmark made no record.
#[derive(Debug, thiserror::Error)]
enum ScaleError {
    /// The daemon cannot be started.
    #[error("{0}")]
    DaemonUnavailable(String),
    /// The benchmark failed.
    #[error(transparent)]
    Measure(#[from] MeasureError),
}

/// Runs a benchmark.
fn measure(benchmark: &Benchmark, options: &BenchmarkOptions) -> Result<RunRecord, ScaleError> {
    let sizes = sizes(benchmark, options)?;
    let launch = launch(options.daemon.as_deref()).map_err(ScaleError::DaemonUnavailable)?;
    let commit = options.commit.clone().unwrap_or_else(|| commit_of(&launch.program));
    let cancellation = Cancellation::default();
    cancel_on_signals(cancellation.clone());
    let settings = Settings { launch, samples: options.samples, limit: options.limit, cancellation };
    let limits = Limits::of_this_machine()?;
    let mut progress = |what: &str| eprintln!("{}: {what}", benchmark.name);
    let mut collector = (benchmark.measure)(&sizes, &settings, &limits, &mut progress)?;
    collector.parameter("samples", options.samples);
    let name = options.name.clone().unwrap_or_else(|| benchmark.name.to_owned());
    let command = command(benchmark, options, &sizes);
    Ok(collector.record(RunTitle { name, command, commit })?)
}

/// The sizes to measure, in ascending order.
fn sizes(benchmark: &Benchmark, options: &BenchmarkOptions) -> Result<Vec<usize>, MeasureError> {
    let mut sizes =
        if options.sizes.is_empty() { benchmark.default_sizes.to_vec() } else { options.sizes.clone() };
    sizes.sort_unstable();
    sizes.dedup();
    match sizes.first() {
        Some(0) => Err(MeasureError::Sizes("each has to be at least 1")),
        _ => Ok(sizes),
    }
}

/// The command that repeats a benchmark, without the paths of this machine.
fn command(benchmark: &Benchmark, options: &BenchmarkOptions, sizes: &[usize]) -> String {
    let sizes: Vec<String> = sizes.iter().map(usize::to_string).collect();
    let limit = humantime::format_duration(options.limit).to_string().replace(' ', "");
    format!(
        "gullcartctl scale {} --sizes {} --samples {} --limit {limit}",
        benchmark.name,
        sizes.join(","),
        options.samples
    )
}

/// How daemons are started: by a guard that kills them when this process ends for any reason.
fn launch(daemon: Option<&Path>) -> Result<Launch, String> {
    let launch = crate::rehearse::launch(daemon, &[])?;
    Ok(Launch { program: launch.program, guard: launch.wrapper })
}

/// The commit of the git repository that a daemon lies in, marked as changed if its sources differ from the commit.
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

/// Makes Ctrl-C and SIGTERM end the benchmark at its next step.
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

/// Prints a record.
fn show(record: &RunRecord) {
    println!("{} of {}, {}", record.name, record.commit, record.date);
    for (name, value) in &record.parameters {
        println!("  {name}: {value}");
    }
    for measurement in &record.measurements {
        println!("{}", measurement_text(measurement));
    }
    for figure in &record.figures {
        println!("{:<NAME_WIDTH$}{:>VALUE_WIDTH$} {}", figure.name, format_number(figure.value), figure.unit);
    }
}

/// A quantity as text: a line of its sizes, one of its values, and one of the fitted growth.
fn measurement_text(measurement: &Measurement) -> String {
    let sizes = measurement.points.iter().map(|point| format!("{:>VALUE_WIDTH$}", format_number(point.size)));
    let values =
        measurement.points.iter().map(|point| format!("{:>VALUE_WIDTH$}", format_number(point.value)));
    let fit = &measurement.fit;
    let exponent = match (fit.exponent, fit.exponent_error) {
        (Some(exponent), Some(error)) => format!(", grows as size^{exponent:.2} (standard error {error:.2})"),
        _ => String::new(),
    };
    format!(
        "\n{:<NAME_WIDTH$}{}\n{:<NAME_WIDTH$}{}\n  {} {} per unit of size (standard error {}), plus {} {}{exponent}; {}",
        measurement.axis.name,
        sizes.collect::<String>(),
        format!("{}, {}", measurement.name, measurement.unit),
        values.collect::<String>(),
        format_number(fit.slope),
        measurement.unit,
        format_number(fit.slope_error),
        format_number(fit.intercept),
        measurement.unit,
        residual_text(fit.worst_relative_residual),
    )
}

/// Describes how far the points are from the fitted line.
fn residual_text(relative_residual: f64) -> String {
    match relative_residual < MAX_RELATIVE_RESIDUAL {
        true => format!("off by {:.0} % at most", relative_residual * 100.0),
        false => "not linear".to_owned(),
    }
}

/// Formats a number: without decimals from 1000 on, with two decimals from 1 on, in scientific notation below.
fn format_number(value: f64) -> String {
    match value.abs() {
        0.0 => "0".to_owned(),
        large if large >= 1_000.0 => format!("{value:.0}"),
        middle if middle >= 1.0 => format!("{value:.2}"),
        _ => format!("{value:.2e}"),
    }
}
