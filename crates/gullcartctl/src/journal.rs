//! `gullcartctl journal`: inspects, verifies and repairs the journal of a courier that does not run.

use clap::{Args, Subcommand};
use gullcart_journal::{inspect, repair, Folder, JournalReport, Options};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// The arguments of the command.
#[derive(Args)]
#[command(after_help = "Examples:
  gullcartctl journal inspect /run/state
  gullcartctl journal verify /run/state --json
  gullcartctl journal repair /run/state --disk-mb 3 --yes

Exit codes: 0 the journal is sound, 1 it is damaged, 2 the command could not be run (a courier uses the folder, or it \
  cannot be read)")]
pub struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Show the segments, their live part (records that are still needed) in bytes and per cent, and the pending messages
    Inspect {
        /// The courier's state folder
        folder: PathBuf,
        /// Print JSON
        #[arg(long)]
        json: bool,
    },
    /// Read the whole journal and check for damage, other than an incomplete last write
    Verify {
        /// The courier's state folder
        folder: PathBuf,
        /// Print JSON
        #[arg(long)]
        json: bool,
    },
    /// Replace a damaged journal by one with the messages that can be recovered, and keep the old files
    Repair {
        /// The courier's state folder
        folder: PathBuf,
        /// Disk space for the courier in millions of bytes, as in its configuration
        #[arg(long, value_name = "MB")]
        disk_mb: f64,
        /// Do the repair; without this, only print what it would do
        #[arg(long)]
        yes: bool,
    },
}

/// Runs the command.
pub fn journal(arguments: &Arguments) -> Result<ExitCode, String> {
    match &arguments.command {
        Command::Inspect { folder, json } => {
            let report = read_report(folder)?;
            print(&report, *json, inspection_text)?;
            Ok(ExitCode::SUCCESS)
        }
        Command::Verify { folder, json } => {
            let report = read_report(folder)?;
            print(&report, *json, verification_text)?;
            Ok(exit_code(&report))
        }
        Command::Repair { folder, disk_mb, yes } => run_repair(folder, *disk_mb, *yes),
    }
}

/// Reads the journal of a folder, which no courier may use meanwhile.
fn read_report(folder: &Path) -> Result<JournalReport, String> {
    let locked_folder = Folder::lock(folder).map_err(|error| error.to_string())?;
    inspect(&locked_folder).map_err(|error| error.to_string())
}

fn exit_code(report: &JournalReport) -> ExitCode {
    if report.is_undamaged() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Prints a report as JSON or as text.
fn print(
    report: &JournalReport,
    json: bool,
    describe: impl Fn(&JournalReport) -> String,
) -> Result<(), String> {
    if json {
        println!("{}", serde_json::to_string_pretty(report).map_err(|error| error.to_string())?);
    } else {
        println!("{}", describe(report));
    }
    Ok(())
}

/// The segments as a table, the messages, and the result of the verification.
fn inspection_text(report: &JournalReport) -> String {
    let mut lines =
        vec![format!("{:<30} {:>10} {:>10} {:>8} {:>7}", "segment", "on disk", "records", "live", "live")];
    for segment in &report.segments {
        let share = segment.live_bytes as f64 / segment.valid_bytes.max(1) as f64;
        lines.push(format!(
            "{:<30} {:>10} {:>10} {:>8} {:>6.0}%",
            segment.file,
            segment.on_disk,
            segment.records,
            segment.live_bytes,
            share * 100.0
        ));
    }
    lines.push(format!("{} bytes on disk in all", report.used_bytes));
    lines.push(format!(
        "{} messages pending, {} of them with an attempt in flight, {} with a notice to be acknowledged",
        report.pending, report.in_flight, report.unacknowledged
    ));
    lines.push(format!(
        "{} endpoints of list {}, {} destinations, {} outages recorded",
        report.endpoints, report.rev, report.destinations, report.outages
    ));
    lines.push(verification_text(report));
    lines.join("\n")
}

/// What is wrong with a journal, and whether it is sound.
fn verification_text(report: &JournalReport) -> String {
    let mut lines = Vec::new();
    if report.torn_bytes > 0 {
        lines.push(format!(
            "{} bytes at the end belong to an incomplete last write; nothing relied on them",
            report.torn_bytes
        ));
    }
    lines.extend(report.damage.iter().cloned());
    if report.is_undamaged() {
        lines.push("sound: all durable records are there".to_owned());
    } else {
        lines.push(format!(
            "DAMAGED: {} pending messages can be recovered, and for {} of them it is unknown whether they were sent; the \
             contents of {} messages are lost, to which later records refer",
            report.pending,
            report.in_doubt.len(),
            report.lost.len()
        ));
    }
    lines.join("\n")
}

/// Repairs a journal, or prints what a repair would do.
fn run_repair(folder: &Path, disk_mb: f64, yes: bool) -> Result<ExitCode, String> {
    if disk_mb.is_nan() || disk_mb <= 0.0 {
        return Err(format!("--disk-mb {disk_mb}: the value has to be greater than 0"));
    }
    if !yes {
        let report = read_report(folder)?;
        println!("{}", verification_text(&report));
        if !report.is_undamaged() {
            println!(
                "nothing was changed; --yes replaces the journal by one with the pending messages, and keeps the old files"
            );
        }
        return Ok(exit_code(&report));
    }
    let repaired =
        repair(folder, (disk_mb * 1e6) as u64, Options::default()).map_err(|error| error.to_string())?;
    println!("{}", verification_text(&repaired.report));
    match repaired.backup_folder {
        Some(backup) => println!("repaired; the old files are in {}", backup.display()),
        None => println!("there was nothing to repair"),
    }
    Ok(ExitCode::SUCCESS)
}
