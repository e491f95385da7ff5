//! `gullcart-hollow`: runs fleets of hollow couriers, or serves as a process of one.

use clap::{Parser, Subcommand};
use gullcart_hollow::command::{execute, What};
use gullcart_hollow::{serve, Launch};
use std::fmt::Display;
use std::process::ExitCode;

/// The word that starts a process of a fleet.
const SERVE: &str = "serve";

#[derive(Parser)]
#[command(version, about = "A whole fleet of couriers without message traffic on one machine")]
struct Arguments {
    #[command(subcommand)]
    action: Action,
}

#[derive(Subcommand)]
enum Action {
    #[command(flatten)]
    Measure(What),
    /// Serves as a process of a fleet, told what to do by standard input
    #[command(name = SERVE, hide = true)]
    Serve,
}

fn main() -> ExitCode {
    match Arguments::parse().action {
        Action::Serve => serve().map_or_else(|error| fail(&error), |()| ExitCode::SUCCESS),
        Action::Measure(what) => measure(&what),
    }
}

fn measure(what: &What) -> ExitCode {
    let launch = match std::env::current_exe() {
        Ok(program) => Launch { program, arguments: vec![SERVE.into()] },
        Err(error) => return fail(&error),
    };
    execute(what, &launch).unwrap_or_else(|error| fail(&error))
}

fn fail(error: &dyn Display) -> ExitCode {
    eprintln!("gullcart-hollow: {error}");
    ExitCode::FAILURE
}
