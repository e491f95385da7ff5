//! The daemon `gullcart`: runs the courier on one thread until the process is asked to shut down.
#![forbid(unsafe_code)]

use std::process::ExitCode;
use tokio::task::LocalSet;
use tracing::error;
use tracing_subscriber::filter::{LevelFilter, Targets};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

/// Environment variable with log targets and their levels, such as `gullcart::tally=debug` for the engine's metrics of each
/// destination. Other targets are logged at level info.
const LOG_VARIABLE: &str = "GULLCART_LOG";

fn main() -> ExitCode {
    let filter = std::env::var(LOG_VARIABLE).unwrap_or_default();
    let default_targets = Targets::new().with_default(LevelFilter::INFO);
    let targets = match filter.parse::<Targets>() {
        _ if filter.trim().is_empty() => default_targets,
        Ok(targets) if targets.default_level().is_none() => targets.with_default(LevelFilter::INFO),
        Ok(targets) => targets,
        Err(error) => {
            eprintln!("gullcart: {LOG_VARIABLE} is '{filter}', which is not a valid filter: {error}; logging at level info");
            default_targets
        }
    };
    let lines =
        tracing_subscriber::fmt::layer().with_writer(std::io::stderr).with_ansi(false).with_target(false);
    tracing_subscriber::registry().with(lines).with(targets).init();
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            error!(%error, "cannot start");
            return ExitCode::FAILURE;
        }
    };
    match LocalSet::new().block_on(&runtime, gullcart::run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error!(%error, "cannot start");
            ExitCode::FAILURE
        }
    }
}
