//! `gullcartctl emulate`: a rehearsal in virtual time, for one seed or for many.

use crate::rehearse::{read, until, write};
use clap::Args;
use gullcart_emulator::{emulate as play, Emulated, Options};
use gullcart_rehearsal::{page, Scenario, Until, Verdict, MOST_COURIERS};
use indicatif::{ProgressBar, ProgressStyle};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::Instant;

/// Couriers that a trace can tell apart.

#[derive(Args)]
#[command(after_help = "Examples:
  gullcartctl emulate smoke
  gullcartctl emulate christmas --seed 7 --html christmas.html
  gullcartctl emulate overlap --seeds 1000
  gullcartctl emulate payday --couriers 20 --scale 6

Exit codes: 0 kept, 1 a rule was broken or service lay under the scenario's floor, 2 it could not be run")]
pub struct Arguments {
    /// A shipped name, or a TOML file
    scenario: String,
    /// What everything is drawn from; the first of many
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// So many seeds, on all cores
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// So many couriers in place of the scenario's
    #[arg(long)]
    couriers: Option<usize>,
    /// So many times the traffic, and all that the partners allow
    #[arg(long)]
    scale: Option<f64>,
    /// Write the report as JSON; of many seeds, a line each
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Write the report of one seed as a page with plots
    #[arg(long, value_name = "FILE", conflicts_with = "seeds")]
    html: Option<PathBuf>,
    /// End at the first breach, or at the first of one rule
    #[arg(long, value_name = "RULE", num_args = 0..=1, default_missing_value = crate::rehearse::ANY)]
    until_breach: Option<String>,
    /// No progress line
    #[arg(long, short)]
    quiet: bool,
}

pub fn emulate(arguments: &Arguments) -> Result<ExitCode, String> {
    let mut scenario = read(&arguments.scenario)?;
    if let Some(count) = arguments.couriers {
        if !(1..=MOST_COURIERS).contains(&count) {
            return Err(format!("--couriers {count}: it has to lie between 1 and {MOST_COURIERS}"));
        }
        scenario.couriers.count = count;
    }
    if let Some(times) = arguments.scale {
        if !times.is_finite() || times <= 0.0 {
            return Err(format!("--scale {times}: it has to be more than 0"));
        }
        scale(&mut scenario, times);
    }
    let until = until(arguments.until_breach.as_deref())?;
    if arguments.seeds > 1 {
        return many(arguments, &scenario, until);
    }
    let begun = Instant::now();
    let options = Options { seed: arguments.seed, until, broken: None };
    let day = play(&scenario, options, |_| {}).map_err(|error| error.to_string())?;
    let took = begun.elapsed().as_secs_f64();
    println!("{}", day.report);
    println!(
        "{:.0} times as fast as it would be in real time; trace {:08x} of {} lines, {} steps",
        day.report.took / took.max(1e-6),
        day.trace,
        day.entries,
        day.steps
    );
    if let Some(path) = &arguments.json {
        write(path, &serde_json::to_string_pretty(&day.report).map_err(|error| error.to_string())?)?;
    }
    if let Some(path) = &arguments.html {
        write(path, &page(&day.report))?;
        println!("page: {}", path.display());
    }
    Ok(verdict(day.report.verdict == Verdict::Kept))
}

fn verdict(is_kept: bool) -> ExitCode {
    if is_kept {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// More of everything that depends on the traffic.
fn scale(scenario: &mut Scenario, times: f64) {
    scenario.traffic.per_second *= times;
    for partner in &mut scenario.partners {
        partner.rate = partner.rate.map(|rate| rate * times);
        partner.count = partner.count.map(|count| ((f64::from(count) * times).round() as u32).max(1));
    }
}

/// Plays many seeds, and says what came of them together.
fn many(arguments: &Arguments, scenario: &Scenario, until: Until) -> Result<ExitCode, String> {
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    let bar = if arguments.quiet { ProgressBar::hidden() } else { ProgressBar::new(arguments.seeds) };
    let style = ProgressStyle::with_template("emulate [{bar:24}] {pos}/{len}  {elapsed_precise}  {eta} left");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    let next = AtomicU64::new(arguments.seed);
    let last = arguments.seed + arguments.seeds;
    let days: Mutex<BTreeMap<u64, Emulated>> = Mutex::default();
    let begun = Instant::now();
    let work = || -> Result<(), String> {
        loop {
            let seed = next.fetch_add(1, Ordering::SeqCst);
            if seed >= last {
                return Ok(());
            }
            let options = Options { seed, until, broken: None };
            let mut day = play(scenario, options, |_| {}).map_err(|error| format!("seed {seed}: {error}"))?;
            // Plots of thousands of days are nobody's wish.
            day.report.samples.clear();
            days.lock().map_err(|_| "another day panicked")?.insert(seed, day);
            bar.inc(1);
        }
    };
    std::thread::scope(|scope| {
        let workers: Vec<_> = (0..cores).map(|_| scope.spawn(work)).collect();
        workers.into_iter().try_for_each(|worker| worker.join().map_err(|_| "a day panicked".to_owned())?)
    })?;
    bar.finish_and_clear();
    let days = days.into_inner().map_err(|_| "a day panicked")?;
    if let Some(path) = &arguments.json {
        let lines: Result<Vec<String>, _> =
            days.values().map(|day| serde_json::to_string(&day.report)).collect();
        write(path, &(lines.map_err(|error| error.to_string())?.join("\n") + "\n"))?;
    }
    let took = begun.elapsed().as_secs_f64();
    Ok(verdict(summary(scenario, &days, took)))
}

/// Prints what came of many days; whether all were kept.
fn summary(scenario: &Scenario, days: &BTreeMap<u64, Emulated>, took: f64) -> bool {
    let mut service: Vec<f64> = days.values().map(|day| day.report.service.service).collect();
    service.sort_by(f64::total_cmp);
    let kept = days.values().filter(|day| day.report.verdict == Verdict::Kept).count();
    let virtual_s: f64 = days.values().map(|day| day.report.took).sum();
    println!("{}: {} days, {kept} kept", scenario.name, days.len());
    println!(
        "  service   least {:.3}, median {:.3}, best {:.3}; floor {:.2}",
        service.first().unwrap_or(&0.0),
        service.get(service.len() / 2).unwrap_or(&0.0),
        service.last().unwrap_or(&0.0),
        scenario.floor
    );
    println!(
        "  played    {:.0} s of virtual time in {took:.1} s, {:.0} times as fast",
        virtual_s,
        virtual_s / took.max(1e-6)
    );
    let mut rules: BTreeMap<String, (u64, u64)> = BTreeMap::new();
    for (seed, day) in days {
        for (rule, times) in &day.report.broken {
            let entry = rules.entry(format!("{rule:?}")).or_insert((*seed, 0));
            entry.1 += times;
        }
        if day.report.verdict == Verdict::UnderFloor {
            println!("  seed {seed}: service {:.3} lies under the floor", day.report.service.service);
        }
    }
    for (rule, (seed, times)) in &rules {
        println!("  BROKEN    {rule}: {times} times; first with --seed {seed}");
    }
    kept == days.len()
}
