//! `gullcartctl prove`: every broken courier against the scenario that should catch it, and the honest one against all
//! short scenarios, for many seeds. Results are kept in a file, so that it goes on where it was cut off.

use clap::Args;
use indicatif::{ProgressBar, ProgressStyle};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt::Write as _;
use std::fs::{File, OpenOptions};
use std::io::{BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode, Stdio};
use std::sync::Mutex;

/// Each fault of a broken build, the rule that it breaks, and the scenario that shows it.
const FAULTS: &[(&str, &str, &str)] = &[
    ("forgets-at-restart", "lost", "gauntlet"),
    ("early-ok", "lost", "gauntlet"),
    ("swallows", "lost", "gauntlet"),
    ("never-tells", "lost", "gauntlet"),
    ("resends-unsafe", "twice", "gauntlet"),
    ("new-key", "twice", "gauntlet"),
    ("side-by-side", "twice", "gauntlet"),
    ("hands-back", "twice", "gauntlet"),
    ("past-window", "twice", "gauntlet"),
    ("late-repeats", "twice", "cut-off"),
    ("deaf-to-drains", "drains", "gauntlet"),
    ("late-to-drains", "drains", "gauntlet"),
    ("rushes-cold", "returning", "cold-return"),
    ("overestimates-cold", "returning", "cold-return"),
    ("overtakes", "order", "gauntlet"),
    ("no-rest", "order", "gauntlet"),
    ("reorders-at-restart", "order", "gauntlet"),
    ("ignores-wait", "waits", "gauntlet"),
    ("halves-wait", "waits", "gauntlet"),
    ("ends-twice", "final-answer", "gauntlet"),
    ("keeps-back", "final-answer", "gauntlet"),
    ("goes-astray", "destination", "gauntlet"),
    ("believes-copies", "lost", "copies"),
];

/// What the honest build is rehearsed with.
const SHORT: &[&str] =
    &["smoke", "copies", "gauntlet", "cut-off", "cold-return", "overlap", "mid-drain", "restarts"];

/// The name under which the honest build stands in the results.
const HONEST: &str = "none";
/// A run that is void is played again so often.
const AGAIN: u32 = 3;

#[derive(Args)]
#[command(after_help = "Examples:
  cargo build --release -p gullcart --features broken --target-dir target/broken
  gullcartctl prove --broken target/broken/release/gullcart --seeds 20 --markdown table.md
  gullcartctl prove --broken target/broken/release/gullcart --only no-rest,none --seeds 3

Exit codes: 0 every fault was caught and the honest build kept all, 1 not so, 2 it could not be done")]
pub struct Arguments {
    /// A daemon built with the feature 'broken'
    #[arg(long, value_name = "PATH")]
    broken: PathBuf,
    /// The honest daemon [default: the gullcart beside this program]
    #[arg(long, value_name = "PATH")]
    program: Option<PathBuf>,
    /// Seeds for each, from 1 on
    #[arg(long, default_value_t = 20)]
    seeds: u64,
    /// Only these faults, and 'none' for the honest build
    #[arg(long, value_delimiter = ',', value_name = "FAULT")]
    only: Vec<String>,
    /// Scenarios for the honest build [default: all short ones that ship]
    #[arg(long, value_delimiter = ',', value_name = "SCENARIO")]
    honest: Vec<String>,
    /// Runs side by side [default: one for each core]
    #[arg(long)]
    jobs: Option<usize>,
    /// Where results are kept, a line each; runs that stand there are not played again
    #[arg(long, value_name = "FILE", default_value = "target/prove.jsonl")]
    results: PathBuf,
    /// Write the table
    #[arg(long, value_name = "FILE")]
    markdown: Option<PathBuf>,
}

/// A run to play.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Task {
    fault: String,
    rule: Option<&'static str>,
    scenario: String,
    seed: u64,
}

/// A run that was played.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Played {
    fault: String,
    scenario: String,
    seed: u64,
    /// A broken build was caught for the right rule, or the honest one kept all.
    good: bool,
    void: bool,
    service: f64,
    /// Until the breach of that rule.
    seconds: Option<f64>,
    broken: Vec<String>,
    /// The first breach in words.
    #[serde(default)]
    what: Option<String>,
}

pub fn prove(arguments: &Arguments) -> Result<ExitCode, String> {
    let known: BTreeSet<&str> = FAULTS.iter().map(|(fault, ..)| *fault).chain([HONEST]).collect();
    if let Some(unknown) = arguments.only.iter().find(|name| !known.contains(name.as_str())) {
        let known: Vec<&str> = known.into_iter().collect();
        return Err(format!("no fault '{unknown}'; there are {}", known.join(", ")));
    }
    let honest = match &arguments.program {
        Some(program) => program.clone(),
        None => crate::beside("gullcart")?,
    };
    for program in [&honest, &arguments.broken] {
        if !program.is_file() {
            return Err(format!("there is no daemon at {}", program.display()));
        }
    }
    let mut played = read(&arguments.results)?;
    let done: BTreeSet<(String, String, u64)> = played
        .iter()
        .filter(|run| !run.void)
        .map(|r| (r.fault.clone(), r.scenario.clone(), r.seed))
        .collect();
    let is_done = |task: &Task| done.contains(&(task.fault.clone(), task.scenario.clone(), task.seed));
    let tasks: VecDeque<Task> = tasks(arguments).into_iter().filter(|task| !is_done(task)).collect();
    if let Some(folder) = arguments.results.parent().filter(|folder| !folder.as_os_str().is_empty()) {
        std::fs::create_dir_all(folder)
            .map_err(|error| format!("cannot make {}: {error}", folder.display()))?;
    }
    let file = OpenOptions::new().create(true).append(true).open(&arguments.results);
    let file = file.map_err(|error| format!("cannot write {}: {error}", arguments.results.display()))?;
    played.extend(play_all(arguments, &honest, tasks, file)?);
    let (table, good) = table(arguments, &played);
    print!("{table}");
    if let Some(path) = &arguments.markdown {
        std::fs::write(path, &table).map_err(|error| format!("cannot write {}: {error}", path.display()))?;
    }
    Ok(if good { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn wanted(arguments: &Arguments, fault: &str) -> bool {
    arguments.only.is_empty() || arguments.only.iter().any(|name| name == fault)
}

fn honest_scenarios(arguments: &Arguments) -> Vec<String> {
    if arguments.honest.is_empty() {
        return SHORT.iter().map(|name| (*name).to_owned()).collect();
    }
    arguments.honest.clone()
}

/// All runs, seed by seed, so that a cut leaves some seeds of everything.
fn tasks(arguments: &Arguments) -> Vec<Task> {
    let mut all = Vec::new();
    for seed in 1..=arguments.seeds {
        for (fault, rule, scenario) in FAULTS.iter().filter(|(fault, ..)| wanted(arguments, fault)) {
            let (fault, scenario) = ((*fault).to_owned(), (*scenario).to_owned());
            all.push(Task { fault, rule: Some(rule), scenario, seed });
        }
        if wanted(arguments, HONEST) {
            for scenario in honest_scenarios(arguments) {
                all.push(Task { fault: HONEST.to_owned(), rule: None, scenario, seed });
            }
        }
    }
    all
}

fn read(path: &Path) -> Result<Vec<Played>, String> {
    let Ok(file) = File::open(path) else { return Ok(Vec::new()) };
    let lines = BufReader::new(file).lines().map_while(Result::ok);
    // A line that was cut off is a run to be played again.
    Ok(lines.filter_map(|line| serde_json::from_str(&line).ok()).collect())
}

fn play_all(
    arguments: &Arguments,
    honest: &Path,
    tasks: VecDeque<Task>,
    file: File,
) -> Result<Vec<Played>, String> {
    let cores = std::thread::available_parallelism().map_or(2, usize::from);
    let jobs = arguments.jobs.unwrap_or(cores).clamp(1, 64);
    let bar = ProgressBar::new(tasks.len() as u64);
    let style = ProgressStyle::with_template("prove [{bar:24}] {pos}/{len}  {elapsed_precise}  {msg}");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    let (tasks, file) = (Mutex::new(tasks), Mutex::new(file));
    let all = Mutex::new(Vec::new());
    let work = || -> Result<(), String> {
        loop {
            let task = tasks.lock().map_err(|_| "another run panicked")?.pop_front();
            let Some(task) = task else { return Ok(()) };
            let mut run = play(arguments, honest, &task)?;
            for _ in 1..AGAIN {
                if run.void {
                    run = play(arguments, honest, &task)?;
                }
            }
            let line = serde_json::to_string(&run).map_err(|error| error.to_string())? + "\n";
            let mut file = file.lock().map_err(|_| "another run panicked")?;
            file.write_all(line.as_bytes()).map_err(|error| format!("cannot keep a result: {error}"))?;
            if !run.good {
                let told = run.what.as_deref().unwrap_or("no breach of that rule");
                bar.suspend(|| eprintln!("{} in {}, seed {}: {told}", run.fault, run.scenario, run.seed));
            }
            bar.set_message(format!("{} {}", task.fault, task.seed));
            bar.inc(1);
            all.lock().map_err(|_| "another run panicked")?.push(run);
        }
    };
    let results: Vec<Result<(), String>> = std::thread::scope(|scope| {
        let workers: Vec<_> = (0..jobs).map(|_| scope.spawn(work)).collect();
        let ended = |worker: std::thread::ScopedJoinHandle<'_, Result<(), String>>| {
            worker.join().unwrap_or_else(|_| Err("a run panicked".to_owned()))
        };
        workers.into_iter().map(ended).collect()
    });
    bar.finish_and_clear();
    results.into_iter().collect::<Result<Vec<()>, String>>()?;
    all.into_inner().map_err(|_| "a run panicked".to_owned())
}

/// Plays one run as a process of its own.
fn play(arguments: &Arguments, honest: &Path, task: &Task) -> Result<Played, String> {
    let own =
        std::env::current_exe().map_err(|error| format!("cannot tell where this program is: {error}"))?;
    let program = if task.rule.is_some() { &arguments.broken } else { honest };
    let name =
        format!("gullcart-prove-{}-{}-{}-{}", std::process::id(), task.fault, task.scenario, task.seed);
    let json = std::env::temp_dir().join(name);
    let mut command = Command::new(&own);
    command.arg("courier-guard").arg(&own).args(["rehearse", &task.scenario, "--quiet"]);
    command.arg("--seed").arg(task.seed.to_string()).arg("--program").arg(program).arg("--json").arg(&json);
    if let Some(rule) = task.rule {
        command.args(["--until-breach", rule]).env("GULLCART_BROKEN", &task.fault);
    }
    let output =
        command.stdin(Stdio::null()).output().map_err(|error| format!("cannot run a rehearsal: {error}"))?;
    let report = std::fs::read(&json).ok().and_then(|text| serde_json::from_slice::<Value>(&text).ok());
    let _ = std::fs::remove_file(&json);
    let said = || String::from_utf8_lossy(&output.stderr).trim().to_owned();
    let report = report.ok_or_else(|| format!("{} in {}: {}", task.fault, task.scenario, said()))?;
    let broken: Vec<String> =
        report["broken"].as_object().map(|rules| rules.keys().cloned().collect()).unwrap_or_default();
    let void = report["verdict"] == "void";
    let of_rule = |breach: &&Value| task.rule.is_some_and(|rule| breach["rule"] == rule);
    let first = report["breaches"].as_array().and_then(|all| all.iter().find(of_rule));
    Ok(Played {
        fault: task.fault.clone(),
        scenario: task.scenario.clone(),
        seed: task.seed,
        good: !void
            && task.rule.map_or(report["verdict"] == "kept", |rule| broken.iter().any(|it| it == rule)),
        void,
        service: report["service"]["service"].as_f64().unwrap_or(0.0),
        seconds: first.and_then(|breach| breach["at"].as_f64()),
        broken,
        what: report["breaches"][0]["what"].as_str().map(str::to_owned),
    })
}

/// The table, and whether all is as it should be.
fn table(arguments: &Arguments, played: &[Played]) -> (String, bool) {
    // The last run of each counts.
    let mut last: BTreeMap<(&str, &str, u64), &Played> = BTreeMap::new();
    for run in played.iter().filter(|run| run.seed <= arguments.seeds) {
        last.insert((&run.fault, &run.scenario, run.seed), run);
    }
    let of = |fault: &str, scenario: &str| -> Vec<&Played> {
        last.iter().filter(|((f, s, _), _)| *f == fault && *s == scenario).map(|(_, run)| *run).collect()
    };
    let mut text =
        String::from("| fault | rule | scenario | seeds caught | seconds until caught (median, most) |\n");
    text.push_str("| --- | --- | --- | --- | --- |\n");
    let mut all_good = true;
    // Writing to a string cannot fail.
    for (fault, rule, scenario) in FAULTS.iter().filter(|(fault, ..)| wanted(arguments, fault)) {
        let runs = of(fault, scenario);
        let caught = runs.iter().filter(|run| run.good).count();
        let mut seconds: Vec<f64> = runs.iter().filter_map(|run| run.seconds).collect();
        seconds.sort_by(f64::total_cmp);
        all_good &= caught as u64 == arguments.seeds;
        let (median, most) = (seconds.get(seconds.len() / 2), seconds.last());
        let show = |value: Option<&f64>| value.map_or("-".to_owned(), |value| format!("{value:.1}"));
        let _ = writeln!(
            text,
            "| {fault} | {rule} | {scenario} | {caught} of {} | {}, {} |",
            runs.len(),
            show(median),
            show(most)
        );
    }
    if wanted(arguments, HONEST) {
        text.push_str("\n| honest build in | seeds kept | service (least, median) |\n| --- | --- | --- |\n");
        for scenario in honest_scenarios(arguments) {
            let runs = of(HONEST, &scenario);
            let kept = runs.iter().filter(|run| run.good).count();
            all_good &= kept as u64 == arguments.seeds;
            let mut service: Vec<f64> = runs.iter().map(|run| run.service).collect();
            service.sort_by(f64::total_cmp);
            let (least, median) =
                (service.first().unwrap_or(&0.0), service.get(service.len() / 2).unwrap_or(&0.0));
            let _ = writeln!(text, "| {scenario} | {kept} of {} | {least:.3}, {median:.3} |", runs.len());
        }
    }
    (text, all_good)
}

#[cfg(test)]
mod tests;
