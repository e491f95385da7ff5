//! `gullcartctl journal`: looking at the journal of a courier that does not run, and repairing it.

use clap::{Args, Subcommand};
use gullcart_journal::{inspect, repair, Folder, JournalReport, Options};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Args)]
#[command(after_help = "Examples:
  gullcartctl journal inspect /run/state
  gullcartctl journal verify /run/state --json
  gullcartctl journal repair /run/state --disk-mb 3 --yes

Exit codes: 0 all that was promised is there, 1 something is damaged, 2 it could not be done (a courier uses the
folder, or it cannot be read)")]
pub struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Show segments, what of them is live, and what is held
    Inspect {
        /// The courier's state folder
        folder: PathBuf,
        /// For machines
        #[arg(long)]
        json: bool,
    },
    /// Read all of it and tell damage from a torn end
    Verify {
        /// The courier's state folder
        folder: PathBuf,
        /// For machines
        #[arg(long)]
        json: bool,
    },
    /// Keep a damaged journal aside, and take over what can be proven
    Repair {
        /// The courier's state folder
        folder: PathBuf,
        /// What the courier may use of the disk, in millions of bytes, as in its configuration
        #[arg(long, value_name = "MB")]
        disk_mb: f64,
        /// Do it; without this it only says what it would do
        #[arg(long)]
        yes: bool,
    },
}

pub fn journal(arguments: &Arguments) -> Result<ExitCode, String> {
    match &arguments.command {
        Command::Inspect { folder, json } => {
            let report = looked(folder)?;
            print(&report, *json, inspected)?;
            Ok(ExitCode::SUCCESS)
        }
        Command::Verify { folder, json } => {
            let report = looked(folder)?;
            print(&report, *json, verified)?;
            Ok(verdict(&report))
        }
        Command::Repair { folder, disk_mb, yes } => repaired(folder, *disk_mb, *yes),
    }
}

fn looked(folder: &Path) -> Result<JournalReport, String> {
    let store = Folder::lock(folder).map_err(|error| error.to_string())?;
    inspect(&store).map_err(|error| error.to_string())
}

fn verdict(report: &JournalReport) -> ExitCode {
    if report.is_undamaged() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn print(report: &JournalReport, json: bool, words: impl Fn(&JournalReport) -> String) -> Result<(), String> {
    if json {
        println!("{}", serde_json::to_string_pretty(report).map_err(|error| error.to_string())?);
    } else {
        println!("{}", words(report));
    }
    Ok(())
}

fn inspected(report: &JournalReport) -> String {
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
        "{} messages held, {} of them with an attempt out, {} with an end to be told",
        report.pending, report.in_flight, report.unacknowledged
    ));
    lines.push(format!(
        "{} endpoints of list {}, {} destinations, {} outages remembered",
        report.endpoints, report.rev, report.destinations, report.outages
    ));
    lines.push(verified(report));
    lines.join("\n")
}

fn verified(report: &JournalReport) -> String {
    let mut lines = Vec::new();
    if report.torn_bytes > 0 {
        lines.push(format!("{} bytes at the end are torn; they promised nothing", report.torn_bytes));
    }
    lines.extend(report.damage.iter().cloned());
    if report.is_undamaged() {
        lines.push("sound: all that was promised is there".to_owned());
    } else {
        lines.push(format!(
            "DAMAGED: {} held messages can be proven, {} of them may have run for all that is known; {} are lost that \
             later records speak of",
            report.pending,
            report.in_doubt.len(),
            report.lost.len()
        ));
    }
    lines.join("\n")
}

fn repaired(folder: &Path, disk_mb: f64, yes: bool) -> Result<ExitCode, String> {
    if disk_mb.is_nan() || disk_mb <= 0.0 {
        return Err(format!("--disk-mb {disk_mb}: it has to be more than 0"));
    }
    if !yes {
        let report = looked(folder)?;
        println!("{}", verified(&report));
        if !report.is_undamaged() {
            println!("nothing was changed; with --yes the files are kept aside, and this is taken over");
        }
        return Ok(verdict(&report));
    }
    let done =
        repair(folder, (disk_mb * 1e6) as u64, Options::default()).map_err(|error| error.to_string())?;
    println!("{}", verified(&done.report));
    match done.backup_folder {
        Some(kept) => println!("repaired; the old files are in {}", kept.display()),
        None => println!("there was nothing to repair"),
    }
    Ok(ExitCode::SUCCESS)
}
