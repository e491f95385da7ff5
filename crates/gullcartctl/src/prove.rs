//! `gullcartctl prove`: runs each deliberately broken courier in the scenario that should detect its fault, and the honest
//! courier, which has no such fault, in all short scenarios, each with several seeds. The results are appended to a file, from
//! which an interrupted run of the command continues.

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

/// A fault of a broken build, and how it has to be detected.
struct FaultCase {
    /// The fault's name in the variable `GULLCART_BROKEN`.
    fault: &'static str,
    /// The rule that it breaks.
    rule: &'static str,
    /// The scenario that shows it.
    scenario: &'static str,
}

const fn case(fault: &'static str, rule: &'static str, scenario: &'static str) -> FaultCase {
    FaultCase { fault, rule, scenario }
}

/// All faults: name, broken rule, scenario.
const FAULT_CASES: &[FaultCase] = &[
    case("forgets-at-restart", "lost", "gauntlet"),
    case("early-ok", "lost", "gauntlet"),
    case("swallows", "lost", "gauntlet"),
    case("never-tells", "lost", "gauntlet"),
    case("resends-unsafe", "twice", "gauntlet"),
    case("new-key", "twice", "gauntlet"),
    case("side-by-side", "twice", "gauntlet"),
    case("hands-back", "twice", "gauntlet"),
    case("past-window", "twice", "gauntlet"),
    case("late-repeats", "twice", "cut-off"),
    case("deaf-to-drains", "drains", "gauntlet"),
    case("late-to-drains", "drains", "gauntlet"),
    case("rushes-cold", "returning", "cold-return"),
    case("overestimates-cold", "returning", "cold-return"),
    case("overtakes", "order", "gauntlet"),
    case("no-rest", "order", "gauntlet"),
    case("reorders-at-restart", "order", "gauntlet"),
    case("ignores-wait", "waits", "gauntlet"),
    case("halves-wait", "waits", "gauntlet"),
    case("ends-twice", "final-answer", "gauntlet"),
    case("keeps-back", "final-answer", "gauntlet"),
    case("goes-astray", "destination", "gauntlet"),
    case("believes-copies", "lost", "copies"),
];

/// The scenarios in which the honest build runs by default.
const SHORT_SCENARIOS: &[&str] =
    &["smoke", "copies", "gauntlet", "cut-off", "cold-return", "overlap", "mid-drain", "restarts"];

/// In place of a fault's name, this stands for the honest build, which has no fault.
const HONEST: &str = "none";
/// A rehearsal that was itself too slow to judge the couriers is void. Its run is repeated, and made at most this many times.
const MAX_REHEARSALS_PER_RUN: u32 = 3;

/// Maximum number of parallel runs.
const MAX_JOBS: usize = 64;

/// The arguments of the command.
#[derive(Args)]
#[command(after_help = "Examples:
  cargo build --release -p gullcart --features broken --target-dir target/broken
  gullcartctl prove --broken target/broken/release/gullcart --seeds 20 --markdown table.md
  gullcartctl prove --broken target/broken/release/gullcart --only no-rest,none --seeds 3

Exit codes: 0 every fault was caught and the honest build kept all rules, 1 some fault was missed or the honest build broke \
  a rule, 2 the command could not be run")]
pub struct Arguments {
    /// A daemon built with the feature 'broken'
    #[arg(long = "broken", value_name = "PATH")]
    broken_program: PathBuf,
    /// The honest daemon [default: the gullcart in the folder of this program]
    #[arg(long, value_name = "PATH")]
    program: Option<PathBuf>,
    /// Number of seeds for each fault and scenario, starting at 1
    #[arg(long, default_value_t = 20)]
    seeds: u64,
    /// Only these faults; 'none' stands for the honest build
    #[arg(long, value_delimiter = ',', value_name = "FAULT")]
    only: Vec<String>,
    /// Scenarios for the honest build [default: all short built-in ones]
    #[arg(long = "honest", value_delimiter = ',', value_name = "SCENARIO")]
    honest_scenarios: Vec<String>,
    /// Number of parallel runs, 64 at most [default: one for each core]
    #[arg(long)]
    jobs: Option<usize>,
    /// File of results, one line a run; runs whose results it holds are not repeated
    #[arg(long, value_name = "FILE", default_value = "target/prove.jsonl")]
    results: PathBuf,
    /// Write the table to this file too
    #[arg(long, value_name = "FILE")]
    markdown: Option<PathBuf>,
}

/// A run to make.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Task {
    fault: String,
    /// The rule that the fault breaks; none for the honest build.
    rule: Option<&'static str>,
    scenario: String,
    seed: u64,
}

/// The result of a run, as a line of the results file.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct RunResult {
    fault: String,
    scenario: String,
    seed: u64,
    /// Whether the broken build was caught breaking the expected rule, or the honest one kept all rules.
    #[serde(rename = "good")]
    is_expected: bool,
    /// Whether the rehearsal was void, so that the run does not count.
    #[serde(rename = "void")]
    is_void: bool,
    /// The share of service that was kept.
    service: f64,
    /// Seconds from the start to the first breach of the expected rule.
    #[serde(rename = "seconds")]
    seconds_to_breach: Option<f64>,
    /// Names of all rules that were broken.
    #[serde(rename = "broken")]
    broken_rules: Vec<String>,
    /// The first breach of any rule in words.
    #[serde(default, rename = "what")]
    first_breach: Option<String>,
}

/// Runs the command.
pub fn prove(arguments: &Arguments) -> Result<ExitCode, String> {
    let known: BTreeSet<&str> = FAULT_CASES.iter().map(|case| case.fault).chain([HONEST]).collect();
    if let Some(unknown) = arguments.only.iter().find(|name| !known.contains(name.as_str())) {
        let known: Vec<&str> = known.into_iter().collect();
        return Err(format!("there is no fault '{unknown}'; the faults are {}", known.join(", ")));
    }
    let honest_program = match &arguments.program {
        Some(program) => program.clone(),
        None => crate::sibling_program("gullcart")?,
    };
    for program in [&honest_program, &arguments.broken_program] {
        if !program.is_file() {
            return Err(format!("there is no daemon at {}", program.display()));
        }
    }
    let mut results = read_results(&arguments.results)?;
    let done: BTreeSet<(String, String, u64)> = results
        .iter()
        .filter(|run| !run.is_void)
        .map(|run| (run.fault.clone(), run.scenario.clone(), run.seed))
        .collect();
    let is_done = |task: &Task| done.contains(&(task.fault.clone(), task.scenario.clone(), task.seed));
    let tasks: VecDeque<Task> = all_tasks(arguments).into_iter().filter(|task| !is_done(task)).collect();
    if let Some(folder) = arguments.results.parent().filter(|folder| !folder.as_os_str().is_empty()) {
        std::fs::create_dir_all(folder)
            .map_err(|error| format!("cannot create {}: {error}", folder.display()))?;
    }
    let file = OpenOptions::new().create(true).append(true).open(&arguments.results);
    let file = file.map_err(|error| format!("cannot write {}: {error}", arguments.results.display()))?;
    results.extend(run_all(arguments, &honest_program, tasks, file)?);
    let (table, all_expected) = results_table(arguments, &results);
    print!("{table}");
    if let Some(path) = &arguments.markdown {
        std::fs::write(path, &table).map_err(|error| format!("cannot write {}: {error}", path.display()))?;
    }
    Ok(if all_expected { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Whether `--only` names the fault, or is not given.
fn is_selected(arguments: &Arguments, fault: &str) -> bool {
    arguments.only.is_empty() || arguments.only.iter().any(|name| name == fault)
}

/// The scenarios for the honest build.
fn honest_scenarios(arguments: &Arguments) -> Vec<String> {
    if arguments.honest_scenarios.is_empty() {
        return SHORT_SCENARIOS.iter().map(|name| (*name).to_owned()).collect();
    }
    arguments.honest_scenarios.clone()
}

/// All runs, ordered by seed, so that an interrupted command has already run each fault and scenario with some seeds.
fn all_tasks(arguments: &Arguments) -> Vec<Task> {
    let mut all = Vec::new();
    for seed in 1..=arguments.seeds {
        for case in FAULT_CASES.iter().filter(|case| is_selected(arguments, case.fault)) {
            let (fault, scenario) = (case.fault.to_owned(), case.scenario.to_owned());
            all.push(Task { fault, rule: Some(case.rule), scenario, seed });
        }
        if is_selected(arguments, HONEST) {
            for scenario in honest_scenarios(arguments) {
                all.push(Task { fault: HONEST.to_owned(), rule: None, scenario, seed });
            }
        }
    }
    all
}

/// Reads the results of earlier runs; none if the file cannot be opened.
fn read_results(path: &Path) -> Result<Vec<RunResult>, String> {
    let Ok(file) = File::open(path) else { return Ok(Vec::new()) };
    let lines = BufReader::new(file).lines().map_while(Result::ok);
    // A truncated line is skipped, so that its run is made again.
    Ok(lines.filter_map(|line| serde_json::from_str(&line).ok()).collect())
}

/// Makes the runs in parallel, and appends each result to the file.
fn run_all(
    arguments: &Arguments,
    honest_program: &Path,
    tasks: VecDeque<Task>,
    file: File,
) -> Result<Vec<RunResult>, String> {
    let cores = std::thread::available_parallelism().map_or(2, usize::from);
    let jobs = arguments.jobs.unwrap_or(cores).clamp(1, MAX_JOBS);
    let bar = ProgressBar::new(tasks.len() as u64);
    let style = ProgressStyle::with_template("prove [{bar:24}] {pos}/{len}  {elapsed_precise}  {msg}");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    let (tasks, file) = (Mutex::new(tasks), Mutex::new(file));
    let all = Mutex::new(Vec::new());
    let run_remaining = || -> Result<(), String> {
        loop {
            let task = tasks.lock().map_err(|_| "another run panicked")?.pop_front();
            let Some(task) = task else { return Ok(()) };
            let mut run = run_task(arguments, honest_program, &task)?;
            for _ in 1..MAX_REHEARSALS_PER_RUN {
                if run.is_void {
                    run = run_task(arguments, honest_program, &task)?;
                }
            }
            let line = serde_json::to_string(&run).map_err(|error| error.to_string())? + "\n";
            let mut file = file.lock().map_err(|_| "another run panicked")?;
            file.write_all(line.as_bytes()).map_err(|error| format!("cannot write a result: {error}"))?;
            if !run.is_expected {
                let breach = run.first_breach.as_deref().unwrap_or("none");
                bar.suspend(|| {
                    eprintln!(
                        "{} in {}, seed {}: not the expected result; first breach: {breach}",
                        run.fault, run.scenario, run.seed
                    )
                });
            }
            bar.set_message(format!("{} {}", task.fault, task.seed));
            bar.inc(1);
            all.lock().map_err(|_| "another run panicked")?.push(run);
        }
    };
    let results: Vec<Result<(), String>> = std::thread::scope(|scope| {
        let workers: Vec<_> = (0..jobs).map(|_| scope.spawn(run_remaining)).collect();
        let join = |worker: std::thread::ScopedJoinHandle<'_, Result<(), String>>| {
            worker.join().unwrap_or_else(|_| Err("a run panicked".to_owned()))
        };
        workers.into_iter().map(join).collect()
    });
    bar.finish_and_clear();
    results.into_iter().collect::<Result<Vec<()>, String>>()?;
    all.into_inner().map_err(|_| "a run panicked".to_owned())
}

/// Makes one run, as a rehearsal in a process of its own.
fn run_task(arguments: &Arguments, honest_program: &Path, task: &Task) -> Result<RunResult, String> {
    let own = std::env::current_exe()
        .map_err(|error| format!("cannot determine the path of this program: {error}"))?;
    let program = if task.rule.is_some() { &arguments.broken_program } else { honest_program };
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
    let error_output = || String::from_utf8_lossy(&output.stderr).trim().to_owned();
    let report = report.ok_or_else(|| format!("{} in {}: {}", task.fault, task.scenario, error_output()))?;
    let broken_rules: Vec<String> =
        report["broken"].as_object().map(|rules| rules.keys().cloned().collect()).unwrap_or_default();
    let is_void = report["verdict"] == "void";
    let is_of_rule = |breach: &&Value| task.rule.is_some_and(|rule| breach["rule"] == rule);
    let first = report["breaches"].as_array().and_then(|all| all.iter().find(is_of_rule));
    Ok(RunResult {
        fault: task.fault.clone(),
        scenario: task.scenario.clone(),
        seed: task.seed,
        is_expected: !is_void
            && task
                .rule
                .map_or(report["verdict"] == "kept", |rule| broken_rules.iter().any(|name| name == rule)),
        is_void,
        service: report["service"]["service"].as_f64().unwrap_or(0.0),
        seconds_to_breach: first.and_then(|breach| breach["at"].as_f64()),
        broken_rules,
        first_breach: report["breaches"][0]["what"].as_str().map(str::to_owned),
    })
}

/// The table of results in Markdown, and whether every run had the expected result.
fn results_table(arguments: &Arguments, results: &[RunResult]) -> (String, bool) {
    // If a run was made several times, its last result counts.
    let mut last: BTreeMap<(&str, &str, u64), &RunResult> = BTreeMap::new();
    for run in results.iter().filter(|run| run.seed <= arguments.seeds) {
        last.insert((&run.fault, &run.scenario, run.seed), run);
    }
    let runs_of = |fault: &str, scenario: &str| -> Vec<&RunResult> {
        last.iter().filter(|((f, s, _), _)| *f == fault && *s == scenario).map(|(_, run)| *run).collect()
    };
    // Errors of `writeln!` are ignored: writing to a string cannot fail.
    let mut text =
        String::from("| fault | rule | scenario | seeds caught | seconds until caught (median, most) |\n");
    text.push_str("| --- | --- | --- | --- | --- |\n");
    let mut all_expected = true;
    for FaultCase { fault, rule, scenario } in
        FAULT_CASES.iter().filter(|case| is_selected(arguments, case.fault))
    {
        let runs = runs_of(fault, scenario);
        let caught = runs.iter().filter(|run| run.is_expected).count();
        let mut seconds: Vec<f64> = runs.iter().filter_map(|run| run.seconds_to_breach).collect();
        seconds.sort_by(f64::total_cmp);
        all_expected &= caught as u64 == arguments.seeds;
        let median = seconds.get(seconds.len() / 2);
        let max = seconds.last();
        let show = |value: Option<&f64>| value.map_or("-".to_owned(), |value| format!("{value:.1}"));
        let _ = writeln!(
            text,
            "| {fault} | {rule} | {scenario} | {caught} of {} | {}, {} |",
            runs.len(),
            show(median),
            show(max)
        );
    }
    if is_selected(arguments, HONEST) {
        text.push_str("\n| honest build in | seeds kept | service (least, median) |\n| --- | --- | --- |\n");
        for scenario in honest_scenarios(arguments) {
            let runs = runs_of(HONEST, &scenario);
            let kept = runs.iter().filter(|run| run.is_expected).count();
            all_expected &= kept as u64 == arguments.seeds;
            let mut service: Vec<f64> = runs.iter().map(|run| run.service).collect();
            service.sort_by(f64::total_cmp);
            let min = service.first().unwrap_or(&0.0);
            let median = service.get(service.len() / 2).unwrap_or(&0.0);
            let _ = writeln!(text, "| {scenario} | {kept} of {} | {min:.3}, {median:.3} |", runs.len());
        }
    }
    (text, all_expected)
}

#[cfg(test)]
mod tests;
