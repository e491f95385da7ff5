//! `gullcartctl`: the operators' command-line tool. Exit codes: 0 success, 1 the command ran and its result is negative (a rule
//! was broken, damage was found, ...), 2 the command could not be run.
#![forbid(unsafe_code)]

mod emulate;
mod fleet;
mod group;
mod journal;
mod prove;
mod rehearse;
mod scale;

use clap::{Parser, Subcommand};
use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(name = "gullcartctl", version, about = "The operators' tool of the gullcart courier", long_about = None)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Rehearse a day with real couriers and stand-ins for everything around them, on loopback only
    Rehearse(rehearse::Arguments),
    /// Rehearse in virtual time, hundreds of times as fast as real time
    Emulate(emulate::Arguments),
    /// Prove that rehearsals detect each deliberately broken courier, and print a table of the results
    Prove(prove::Arguments),
    /// Inspect or repair the journal of a courier that does not run
    Journal(journal::Arguments),
    /// Ask the members of a group for its status
    Group(group::Arguments),
    /// Add up, second by second, what the logs of many couriers report about each destination
    Fleet(fleet::Arguments),
    /// Measure how a daemon's costs grow with size, and keep the results
    Scale(scale::Arguments),
    /// Run a program that is killed when the process that started it ends
    #[command(hide = true)]
    CourierGuard {
        program: OsString,
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        arguments: Vec<OsString>,
    },
}

/// Exit code of a command that could not be run.
const EXIT_NOT_RUN: u8 = 2;

fn main() -> ExitCode {
    let result = match Cli::parse().command {
        Command::Rehearse(arguments) => rehearse::rehearse(&arguments),
        Command::Emulate(arguments) => emulate::emulate(&arguments),
        Command::Prove(arguments) => prove::prove(&arguments),
        Command::Journal(arguments) => journal::journal(&arguments),
        Command::Group(arguments) => group::group(&arguments),
        Command::Fleet(arguments) => fleet::fleet(&arguments),
        Command::Scale(arguments) => scale::scale(&arguments),
        Command::CourierGuard { program, arguments } => Err(format!(
            "cannot run {}: {}",
            program.display(),
            gullcart_standins::process::exec_tied_to_parent(&program, &arguments)
        )),
    };
    result.unwrap_or_else(|error| {
        eprintln!("gullcartctl: {error}");
        ExitCode::from(EXIT_NOT_RUN)
    })
}

/// The path of another program in the folder of this one.
fn sibling_program(name: &str) -> Result<PathBuf, String> {
    let own = std::env::current_exe()
        .map_err(|error| format!("cannot determine the path of this program: {error}"))?;
    Ok(own.with_file_name(name))
}
