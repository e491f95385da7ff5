//! `gullcart-hollow`: runs a fleet of hollow couriers, or serves as one of its processes.

use clap::{Parser, Subcommand};
use std::process::ExitCode;

#[derive(Parser)]
#[command(version, about = "A whole fleet of couriers without message traffic on one machine")]
struct Arguments {
    #[command(subcommand)]
    action: Action,
}

#[derive(Subcommand)]
enum Action {
    /// Serves as a process of a fleet, told what to do by standard input.
    #[command(hide = true)]
    Serve,
}

fn main() -> ExitCode {
    let done = match Arguments::parse().action {
        Action::Serve => gullcart_hollow::serve(),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("gullcart-hollow: {error}");
            ExitCode::FAILURE
        }
    }
}
