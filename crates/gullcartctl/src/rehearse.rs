//! `gullcartctl rehearse`.

use clap::Args;
use gullcart_judge::Rule;
use gullcart_rehearsal::{page, run, shipped, Options, Progress, Report, Scenario, Until, Verdict, SHIPPED};
use gullcart_standins::process::Launch;
use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::task::LocalSet;

/// Whatever rule.
pub const ANY: &str = "any";
/// Where nobody looks, a line comes every so many seconds.
const SELDOM_S: f64 = 30.0;

#[derive(Args)]
#[command(after_help = "Examples:
  gullcartctl rehearse --list
  gullcartctl rehearse smoke
  gullcartctl rehearse christmas --seed 7 --html christmas.html --json christmas.json
  gullcartctl rehearse --print payday > mine.toml && gullcartctl rehearse mine.toml

Exit codes: 0 kept, 1 a rule was broken or service lay under the scenario's floor, 2 it could not be run or is void")]
pub struct Arguments {
    /// A shipped name, or a TOML file
    #[arg(required_unless_present_any = ["list", "print"])]
    scenario: Option<String>,
    /// List the scenarios that ship
    #[arg(long)]
    list: bool,
    /// Print a shipped scenario, to start one of your own from
    #[arg(long, value_name = "NAME", conflicts_with = "list")]
    print: Option<String>,
    /// What everything is drawn from
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Write the report as JSON
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Write the report as a page with plots
    #[arg(long, value_name = "FILE")]
    html: Option<PathBuf>,
    /// The daemon [default: the gullcart beside this program]
    #[arg(long, value_name = "PATH")]
    program: Option<PathBuf>,
    /// End at the first breach, or at the first of one rule
    #[arg(long, value_name = "RULE", num_args = 0..=1, default_missing_value = ANY)]
    until_breach: Option<String>,
    /// No progress line
    #[arg(long, short)]
    quiet: bool,
}

pub fn rehearse(arguments: &Arguments) -> Result<ExitCode, String> {
    if arguments.list {
        for shipped in SHIPPED {
            let scenario = Scenario::read(shipped.name, shipped.text).map_err(|error| error.to_string())?;
            println!("{:<12} {:>5.0} s  {}", shipped.name, scenario.seconds, scenario.about);
        }
        return Ok(ExitCode::SUCCESS);
    }
    if let Some(name) = &arguments.print {
        let shipped = shipped(name).ok_or_else(|| unknown(name))?;
        print!("{}", shipped.text);
        return Ok(ExitCode::SUCCESS);
    }
    let scenario = read(arguments.scenario.as_deref().unwrap_or_default())?;
    let until = until(arguments.until_breach.as_deref())?;
    let options = Options { launch: launch(arguments.program.as_deref(), &[])?, seed: arguments.seed, until };
    let mut shown = Shown::new(&scenario, arguments.quiet);
    let report = play(&scenario, options, |progress| shown.show(progress))?;
    shown.end();
    println!("{report}");
    if let Some(path) = &arguments.json {
        let text = serde_json::to_string_pretty(&report).map_err(|error| error.to_string())?;
        write(path, &text)?;
    }
    if let Some(path) = &arguments.html {
        write(path, &page(&report))?;
        println!("page: {}", path.display());
    }
    Ok(match report.verdict {
        Verdict::Kept => ExitCode::SUCCESS,
        Verdict::Broken | Verdict::UnderFloor => ExitCode::FAILURE,
        Verdict::Void => ExitCode::from(crate::CANNOT),
    })
}

/// When to end, by the words of the command line.
pub fn until(breach: Option<&str>) -> Result<Until, String> {
    Ok(match breach {
        None => Until::TheEnd,
        Some(ANY) => Until::TheFirstBreach,
        Some(name) => Until::BreachOf(Rule::of(name).ok_or_else(|| {
            let names: Vec<&str> = Rule::ALL.iter().map(|rule| rule.name()).collect();
            format!("no rule '{name}'; there are {}", names.join(", "))
        })?),
    })
}

pub fn write(path: &Path, text: &str) -> Result<(), String> {
    std::fs::write(path, text).map_err(|error| format!("cannot write {}: {error}", path.display()))
}

fn unknown(name: &str) -> String {
    let names: Vec<&str> = SHIPPED.iter().map(|shipped| shipped.name).collect();
    format!("no scenario '{name}' ships, and there is no such file; there are {}", names.join(", "))
}

/// A shipped scenario, or one of a file.
pub fn read(name: &str) -> Result<Scenario, String> {
    let scenario = match shipped(name) {
        Some(shipped) => Scenario::read(name, shipped.text),
        None if Path::new(name).is_file() => {
            let text =
                std::fs::read_to_string(name).map_err(|error| format!("cannot read {name}: {error}"))?;
            Scenario::read(name, &text)
        }
        None => return Err(unknown(name)),
    };
    scenario.map_err(|error| error.to_string())
}

/// How couriers are started: tied to this process, whatever happens to it.
pub fn launch(program: Option<&Path>, variables: &[(String, String)]) -> Result<Launch, String> {
    let program = match program {
        Some(program) => program.to_owned(),
        None => crate::beside("gullcart")?,
    };
    if !program.is_file() {
        return Err(format!(
            "there is no daemon at {}: build it, or name one with --program",
            program.display()
        ));
    }
    let own =
        std::env::current_exe().map_err(|error| format!("cannot tell where this program is: {error}"))?;
    let guard = vec![own.into_os_string(), "courier-guard".into()];
    Ok(Launch { program, guard, variables: variables.to_vec() })
}

/// Plays a scenario; Ctrl-C and SIGTERM end it and all that it started.
pub fn play(
    scenario: &Scenario,
    options: Options,
    progress: impl FnMut(&Progress),
) -> Result<Report, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| format!("cannot start: {error}"))?;
    LocalSet::new().block_on(&runtime, async {
        use tokio::signal::unix::{signal, SignalKind};
        let mut terminate = signal(SignalKind::terminate()).map_err(|error| error.to_string())?;
        tokio::select! {
            result = run(scenario, options, progress) => result.map_err(|error| error.to_string()),
            _ = tokio::signal::ctrl_c() => Err("interrupted: all couriers were ended".to_owned()),
            _ = terminate.recv() => Err("told to end: all couriers were ended".to_owned()),
        }
    })
}

/// The line that tells how far a run is: one that changes on a terminal, else one now and then.
struct Shown {
    bar: ProgressBar,
    plain: bool,
    quiet: bool,
    next: f64,
}

impl Shown {
    fn new(scenario: &Scenario, quiet: bool) -> Self {
        let bar = ProgressBar::with_draw_target(Some(scenario.seconds as u64), ProgressDrawTarget::stderr());
        let plain = bar.is_hidden();
        let style = ProgressStyle::with_template("{prefix} [{bar:24}] {pos}/{len} s  {msg}");
        bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
        bar.set_prefix(scenario.name.clone());
        if quiet {
            bar.set_draw_target(ProgressDrawTarget::hidden());
        }
        Shown { bar, plain, quiet, next: 0.0 }
    }

    fn show(&mut self, progress: &Progress) {
        let Progress { at, of, service, breaches, owed, faults } = progress;
        let faults = if faults.is_empty() { String::new() } else { format!("  [{}]", faults.join(", ")) };
        let text = format!("service {:.3}  breaches {breaches}  open {owed}{faults}", service.service);
        if self.plain && !self.quiet && *at >= self.next {
            self.next = at + SELDOM_S;
            eprintln!("{at:.0}/{of:.0} s  {text}");
        }
        self.bar.set_position(at.min(*of) as u64);
        self.bar.set_message(text);
    }

    fn end(&self) {
        self.bar.finish_and_clear();
    }
}
