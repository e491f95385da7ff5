//! `gullcartctl emulate`: rehearsals in virtual time, for one seed or several.

use crate::rehearse::{parse_until, read_scenario, write_file};
use clap::Args;
use gullcart_emulator::{emulate as run_emulation, EmulatedRun, EmulationOptions};
use gullcart_rehearsal::{page, Scenario, Until, Verdict, MOST_COURIERS};
use indicatif::{ProgressBar, ProgressStyle};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::Instant;

/// The arguments of the command.
#[derive(Args)]
#[command(after_help = "Examples:
  gullcartctl emulate smoke
  gullcartctl emulate christmas --seed 7 --html christmas.html
  gullcartctl emulate overlap --seeds 1000
  gullcartctl emulate payday --couriers 20 --scale 6

Exit codes: 0 all rules were kept, 1 a rule was broken or service was below the scenario's floor (its \
  minimum share of service), 2 the rehearsal could not be run")]
pub struct Arguments {
    /// The name of a built-in scenario, or a TOML file
    scenario: String,
    /// Seed of all random draws; the first one where there are several
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of consecutive seeds to run, on all cores
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Number of couriers, in place of the scenario's
    #[arg(long)]
    couriers: Option<usize>,
    /// Factor for the traffic and for the partners' limits
    #[arg(long)]
    scale: Option<f64>,
    /// Write the report as JSON; for several seeds, one line each
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Write the report of a single seed as an HTML page with plots
    #[arg(long, value_name = "FILE", conflicts_with = "seeds")]
    html: Option<PathBuf>,
    /// End at the first breach of any rule, or of RULE
    #[arg(long, value_name = "RULE", num_args = 0..=1, default_missing_value = crate::rehearse::ANY_RULE)]
    until_breach: Option<String>,
    /// Show no progress line
    #[arg(long, short)]
    quiet: bool,
}

/// Runs the command.
pub fn emulate(arguments: &Arguments) -> Result<ExitCode, String> {
    let mut scenario = read_scenario(&arguments.scenario)?;
    if let Some(count) = arguments.couriers {
        if !(1..=MOST_COURIERS).contains(&count) {
            return Err(format!("--couriers {count}: the value has to lie between 1 and {MOST_COURIERS}"));
        }
        scenario.couriers.count = count;
    }
    if let Some(factor) = arguments.scale {
        if !factor.is_finite() || factor <= 0.0 {
            return Err(format!("--scale {factor}: the value has to be greater than 0"));
        }
        scale_traffic(&mut scenario, factor);
    }
    let until = parse_until(arguments.until_breach.as_deref())?;
    if arguments.seeds > 1 {
        return run_seeds(arguments, &scenario, until);
    }
    let started = Instant::now();
    let options = EmulationOptions { seed: arguments.seed, until, injected_fault: None };
    let run = run_emulation(&scenario, options, |_| {}).map_err(|error| error.to_string())?;
    let took_s = started.elapsed().as_secs_f64();
    println!("{}", run.report);
    // The trace is a checksum of all trace lines, equal for equal runs; steps are the events of the emulation.
    println!(
        "{:.0} times as fast as real time; trace {:08x} of {} lines, {} steps",
        run.report.took / took_s.max(1e-6),
        run.trace_checksum,
        run.trace_lines,
        run.scheduled_events
    );
    if let Some(path) = &arguments.json {
        write_file(path, &serde_json::to_string_pretty(&run.report).map_err(|error| error.to_string())?)?;
    }
    if let Some(path) = &arguments.html {
        write_file(path, &page(&run.report))?;
        println!("page: {}", path.display());
    }
    Ok(exit_code(run.report.verdict == Verdict::Kept))
}

fn exit_code(is_kept: bool) -> ExitCode {
    if is_kept {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Multiplies the traffic and the limit of each partner, which is either a rate or a count for each span of time.
fn scale_traffic(scenario: &mut Scenario, factor: f64) {
    scenario.traffic.per_second *= factor;
    for partner in &mut scenario.partners {
        partner.rate = partner.rate.map(|rate| rate * factor);
        partner.count = partner.count.map(|count| ((f64::from(count) * factor).round() as u32).max(1));
    }
}

/// Runs several seeds in parallel, and prints a summary.
fn run_seeds(arguments: &Arguments, scenario: &Scenario, until: Until) -> Result<ExitCode, String> {
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    let bar = if arguments.quiet { ProgressBar::hidden() } else { ProgressBar::new(arguments.seeds) };
    let style = ProgressStyle::with_template("emulate [{bar:24}] {pos}/{len}  {elapsed_precise}  {eta} left");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    let next_seed = AtomicU64::new(arguments.seed);
    let end = arguments.seed + arguments.seeds;
    let runs: Mutex<BTreeMap<u64, EmulatedRun>> = Mutex::default();
    let started = Instant::now();
    let run_remaining = || -> Result<(), String> {
        loop {
            let seed = next_seed.fetch_add(1, Ordering::SeqCst);
            if seed >= end {
                return Ok(());
            }
            let options = EmulationOptions { seed, until, injected_fault: None };
            let mut run =
                run_emulation(scenario, options, |_| {}).map_err(|error| format!("seed {seed}: {error}"))?;
            // The samples are only for plots, which are made for a single seed.
            run.report.samples.clear();
            runs.lock().map_err(|_| "another run panicked")?.insert(seed, run);
            bar.inc(1);
        }
    };
    std::thread::scope(|scope| {
        let workers: Vec<_> = (0..cores).map(|_| scope.spawn(run_remaining)).collect();
        workers.into_iter().try_for_each(|worker| worker.join().map_err(|_| "a run panicked".to_owned())?)
    })?;
    bar.finish_and_clear();
    let runs = runs.into_inner().map_err(|_| "a run panicked")?;
    if let Some(path) = &arguments.json {
        let lines: Result<Vec<String>, _> =
            runs.values().map(|run| serde_json::to_string(&run.report)).collect();
        write_file(path, &(lines.map_err(|error| error.to_string())?.join("\n") + "\n"))?;
    }
    let took_s = started.elapsed().as_secs_f64();
    Ok(exit_code(print_summary(scenario, &runs, took_s)))
}

/// Prints the results of several runs together. Returns whether all rules were kept in all of them.
fn print_summary(scenario: &Scenario, runs: &BTreeMap<u64, EmulatedRun>, took_s: f64) -> bool {
    let mut service: Vec<f64> = runs.values().map(|run| run.report.service.combined).collect();
    service.sort_by(f64::total_cmp);
    let kept = runs.values().filter(|run| run.report.verdict == Verdict::Kept).count();
    let virtual_s: f64 = runs.values().map(|run| run.report.took).sum();
    println!("{}: {} runs, {kept} kept", scenario.name, runs.len());
    println!(
        "  service   least {:.3}, median {:.3}, best {:.3}; floor {:.2}",
        service.first().unwrap_or(&0.0),
        service.get(service.len() / 2).unwrap_or(&0.0),
        service.last().unwrap_or(&0.0),
        scenario.floor
    );
    println!(
        "  played    {:.0} s of virtual time in {took_s:.1} s, {:.0} times as fast",
        virtual_s,
        virtual_s / took_s.max(1e-6)
    );
    // By rule: the first seed that broke it, and the number of breaches in all runs.
    let mut broken_rules: BTreeMap<String, (u64, u64)> = BTreeMap::new();
    for (seed, run) in runs {
        for (rule, times) in &run.report.broken {
            let entry = broken_rules.entry(format!("{rule:?}")).or_insert((*seed, 0));
            entry.1 += times;
        }
        if run.report.verdict == Verdict::UnderFloor {
            println!("  seed {seed}: service {:.3} lies under the floor", run.report.service.combined);
        }
    }
    for (rule, (seed, times)) in &broken_rules {
        println!("  BROKEN    {rule}: {times} times; first with --seed {seed}");
    }
    kept == runs.len()
}
