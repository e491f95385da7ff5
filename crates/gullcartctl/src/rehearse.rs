//! `gullcartctl rehearse`: runs a scenario with real couriers, in real time.

use clap::Args;
use gullcart_judge::Rule;
use gullcart_rehearsal::{page, run, shipped, Options, Progress, Report, Scenario, Until, Verdict, SHIPPED};
use gullcart_standins::process::LaunchOptions;
use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::task::LocalSet;

/// The value of `--until-breach` that stands for every rule.
pub const ANY_RULE: &str = "any";
/// Interval of the progress lines in seconds where stderr is no terminal.
const PLAIN_PROGRESS_INTERVAL_S: f64 = 30.0;

/// The arguments of the command.
#[derive(Args)]
#[command(after_help = "Examples:
  gullcartctl rehearse --list
  gullcartctl rehearse smoke
  gullcartctl rehearse christmas --seed 7 --html christmas.html --json christmas.json
  gullcartctl rehearse --print payday > mine.toml && gullcartctl rehearse mine.toml

Exit codes: 0 all rules were kept, 1 a rule was broken or service was below the scenario's floor (its \
  minimum share of service), 2 the rehearsal could not be run, or is void because it was itself too slow to judge the couriers")]
pub struct Arguments {
    /// The name of a built-in scenario, or a TOML file
    #[arg(required_unless_present_any = ["list", "print"])]
    scenario: Option<String>,
    /// List the built-in scenarios
    #[arg(long)]
    list: bool,
    /// Print a built-in scenario, as a start for one of your own
    #[arg(long, value_name = "NAME", conflicts_with = "list")]
    print: Option<String>,
    /// Seed of all random draws
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Write the report as JSON
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Write the report as an HTML page with plots
    #[arg(long, value_name = "FILE")]
    html: Option<PathBuf>,
    /// The daemon [default: the gullcart in the folder of this program]
    #[arg(long, value_name = "PATH")]
    program: Option<PathBuf>,
    /// End at the first breach of any rule, or of RULE
    #[arg(long, value_name = "RULE", num_args = 0..=1, default_missing_value = ANY_RULE)]
    until_breach: Option<String>,
    /// Show no progress line
    #[arg(long, short)]
    quiet: bool,
}

/// Runs the command.
pub fn rehearse(arguments: &Arguments) -> Result<ExitCode, String> {
    if arguments.list {
        for shipped in SHIPPED {
            let scenario = Scenario::read(shipped.name, shipped.text).map_err(|error| error.to_string())?;
            println!("{:<12} {:>5.0} s  {}", shipped.name, scenario.seconds, scenario.about);
        }
        return Ok(ExitCode::SUCCESS);
    }
    if let Some(name) = &arguments.print {
        let shipped = shipped(name).ok_or_else(|| unknown_scenario(name))?;
        print!("{}", shipped.text);
        return Ok(ExitCode::SUCCESS);
    }
    let scenario = read_scenario(arguments.scenario.as_deref().unwrap_or_default())?;
    let until = parse_until(arguments.until_breach.as_deref())?;
    let options = Options { launch: launch(arguments.program.as_deref(), &[])?, seed: arguments.seed, until };
    let mut display = ProgressDisplay::new(&scenario, arguments.quiet);
    let report = run_scenario(&scenario, options, |progress| display.show(progress))?;
    display.end();
    println!("{report}");
    if let Some(path) = &arguments.json {
        let text = serde_json::to_string_pretty(&report).map_err(|error| error.to_string())?;
        write_file(path, &text)?;
    }
    if let Some(path) = &arguments.html {
        write_file(path, &page(&report))?;
        println!("page: {}", path.display());
    }
    Ok(match report.verdict {
        Verdict::Kept => ExitCode::SUCCESS,
        Verdict::Broken | Verdict::UnderFloor => ExitCode::FAILURE,
        Verdict::Void => ExitCode::from(crate::EXIT_NOT_RUN),
    })
}

/// Parses the value of `--until-breach`.
pub fn parse_until(breach: Option<&str>) -> Result<Until, String> {
    Ok(match breach {
        None => Until::TheEnd,
        Some(ANY_RULE) => Until::TheFirstBreach,
        Some(name) => Until::BreachOf(Rule::from_name(name).ok_or_else(|| {
            let names: Vec<&str> = Rule::ALL.iter().map(|rule| rule.name()).collect();
            format!("there is no rule '{name}'; the rules are {}", names.join(", "))
        })?),
    })
}

/// Writes a file.
pub fn write_file(path: &Path, text: &str) -> Result<(), String> {
    std::fs::write(path, text).map_err(|error| format!("cannot write {}: {error}", path.display()))
}

fn unknown_scenario(name: &str) -> String {
    let names: Vec<&str> = SHIPPED.iter().map(|shipped| shipped.name).collect();
    format!(
        "'{name}' is neither a built-in scenario nor a file; the built-in scenarios are {}",
        names.join(", ")
    )
}

/// Reads a built-in scenario, or one in a file.
pub fn read_scenario(name: &str) -> Result<Scenario, String> {
    let scenario = match shipped(name) {
        Some(shipped) => Scenario::read(name, shipped.text),
        None if Path::new(name).is_file() => {
            let text =
                std::fs::read_to_string(name).map_err(|error| format!("cannot read {name}: {error}"))?;
            Scenario::read(name, &text)
        }
        None => return Err(unknown_scenario(name)),
    };
    scenario.map_err(|error| error.to_string())
}

/// How couriers are started: with these environment variables, by a guard that kills them when this process ends for any
/// reason.
pub fn launch(program: Option<&Path>, variables: &[(String, String)]) -> Result<LaunchOptions, String> {
    let program = match program {
        Some(program) => program.to_owned(),
        None => crate::sibling_program("gullcart")?,
    };
    if !program.is_file() {
        return Err(format!(
            "there is no daemon at {}: build it, or give the path of one",
            program.display()
        ));
    }
    let own = std::env::current_exe()
        .map_err(|error| format!("cannot determine the path of this program: {error}"))?;
    let guard = vec![own.into_os_string(), "courier-guard".into()];
    Ok(LaunchOptions { program, wrapper: guard, environment: variables.to_vec() })
}

/// Runs a scenario. Ctrl-C and SIGTERM end it and all processes that it started.
pub fn run_scenario(
    scenario: &Scenario,
    options: Options,
    progress: impl FnMut(&Progress),
) -> Result<Report, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| format!("cannot start the async runtime: {error}"))?;
    LocalSet::new().block_on(&runtime, async {
        use tokio::signal::unix::{signal, SignalKind};
        let mut terminate = signal(SignalKind::terminate()).map_err(|error| error.to_string())?;
        tokio::select! {
            result = run(scenario, options, progress) => result.map_err(|error| error.to_string()),
            _ = tokio::signal::ctrl_c() => Err("interrupted: all couriers were stopped".to_owned()),
            _ = terminate.recv() => Err("terminated: all couriers were stopped".to_owned()),
        }
    })
}

/// Shows the progress of a run: a line that is redrawn on a terminal, a new line now and then elsewhere.
struct ProgressDisplay {
    bar: ProgressBar,
    /// Whether stderr is no terminal.
    is_plain: bool,
    quiet: bool,
    /// When the next plain line is due, in seconds of the run.
    next_line_s: f64,
}

impl ProgressDisplay {
    fn new(scenario: &Scenario, quiet: bool) -> Self {
        let bar = ProgressBar::with_draw_target(Some(scenario.seconds as u64), ProgressDrawTarget::stderr());
        let is_plain = bar.is_hidden();
        let style = ProgressStyle::with_template("{prefix} [{bar:24}] {pos}/{len} s  {msg}");
        bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
        bar.set_prefix(scenario.name.clone());
        if quiet {
            bar.set_draw_target(ProgressDrawTarget::hidden());
        }
        ProgressDisplay { bar, is_plain, quiet, next_line_s: 0.0 }
    }

    fn show(&mut self, progress: &Progress) {
        let Progress { at, of, service, breaches, owed: pending, faults } = progress;
        let faults = if faults.is_empty() { String::new() } else { format!("  [{}]", faults.join(", ")) };
        let text = format!(
            "service {:.3}  breaches {breaches}  messages pending {pending}{faults}",
            service.combined
        );
        if self.is_plain && !self.quiet && *at >= self.next_line_s {
            self.next_line_s = at + PLAIN_PROGRESS_INTERVAL_S;
            eprintln!("{at:.0}/{of:.0} s  {text}");
        }
        self.bar.set_position(at.min(*of) as u64);
        self.bar.set_message(text);
    }

    fn end(&self) {
        self.bar.finish_and_clear();
    }
}
