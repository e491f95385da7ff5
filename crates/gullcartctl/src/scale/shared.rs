//! `gullcartctl scale shared`: the load that all couriers of a deployment together put on partners and discovery, and the cost of
//! their group, for several numbers of couriers. It runs in virtual time, without daemons.

use super::RESULTS;
use clap::Args;
use gullcart_scale::{shared, RunPlace};
use std::path::PathBuf;
use std::process::ExitCode;

/// The command that repeats the measurements, as the records name it.
const COMMAND: &str = "gullcartctl scale shared";

/// The arguments of the command.
#[derive(Args)]
pub struct Arguments {
    /// Folder for the records
    #[arg(long, value_name = "DIR", default_value = RESULTS)]
    results: PathBuf,
}

/// Runs all measurements of shared systems, and writes their records.
pub fn shared(arguments: &Arguments) -> Result<ExitCode, String> {
    let place = RunPlace::here().map_err(|error| error.to_string())?;
    let measurements_by_name = shared::all().map_err(|error| error.to_string())?;
    for (name, measurements) in measurements_by_name {
        let record = place.record(name, COMMAND, measurements);
        super::show(&record);
        let path = record.write(&arguments.results).map_err(|error| error.to_string())?;
        println!("record: {}", path.display());
    }
    Ok(ExitCode::SUCCESS)
}
