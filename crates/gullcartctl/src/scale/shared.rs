//! `gullcartctl scale shared`: what couriers do toward what they share, by their number, in virtual time.

use super::RESULTS;
use clap::Args;
use gullcart_scale::{shared, RunPlace};
use std::path::PathBuf;
use std::process::ExitCode;

const COMMAND: &str = "gullcartctl scale shared";

/// The arguments of the command.
#[derive(Args)]
pub struct Arguments {
    /// Where the records go
    #[arg(long, value_name = "DIR", default_value = RESULTS)]
    results: PathBuf,
}

/// Measures all that is shared, and keeps the records.
pub fn shared(arguments: &Arguments) -> Result<ExitCode, String> {
    let place = RunPlace::here().map_err(|error| error.to_string())?;
    let measured = shared::all().map_err(|error| error.to_string())?;
    for (name, measurements) in measured {
        let record = place.record(name, COMMAND, measurements);
        super::show(&record);
        let path = record.write(&arguments.results).map_err(|error| error.to_string())?;
        println!("record: {}", path.display());
    }
    Ok(ExitCode::SUCCESS)
}
