//! `gullcartctl`: what operators do around the daemon. Exit codes: 0 all is well, 1 what was asked about is not, 2 it
//! could not be done.
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
    /// Rehearse a day with real couriers among stand-ins, on loopback alone
    Rehearse(rehearse::Arguments),
    /// Rehearse in virtual time, hundreds of times as fast
    Emulate(emulate::Arguments),
    /// Prove that the judge catches each deliberately broken courier, and make the table
    Prove(prove::Arguments),
    /// Look at the journal of a courier that does not run, and repair it
    Journal(journal::Arguments),
    /// Ask the members of a group how it stands
    Group(group::Arguments),
    /// Add up, second by second, what many couriers say of each destination in their logs
    Fleet(fleet::Arguments),
    /// Measure what daemons cost by size, and keep the results
    Scale(scale::Arguments),
    /// Run a program that dies with the process that started it
    #[command(hide = true)]
    CourierGuard {
        program: OsString,
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        arguments: Vec<OsString>,
    },
}

/// What could not be done.
const CANNOT: u8 = 2;

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
            gullcart_standins::process::guard(&program, &arguments)
        )),
    };
    result.unwrap_or_else(|error| {
        eprintln!("gullcartctl: {error}");
        ExitCode::from(CANNOT)
    })
}

/// The program of that name that lies beside this one.
fn beside(name: &str) -> Result<PathBuf, String> {
    let own =
        std::env::current_exe().map_err(|error| format!("cannot tell where this program is: {error}"))?;
    Ok(own.with_file_name(name))
}
