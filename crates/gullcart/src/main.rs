//! The daemon: `gullcart` on one thread, until it is told to end.
#![forbid(unsafe_code)]

use std::process::ExitCode;
use tokio::task::LocalSet;
use tracing::error;
use tracing_subscriber::filter::{LevelFilter, Targets};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

/// What is logged beside the usual: targets and levels, such as `gullcart::tally=debug`.
const LOG: &str = "GULLCART_LOG";

fn main() -> ExitCode {
    let wanted = std::env::var(LOG).unwrap_or_default();
    let usual = Targets::new().with_default(LevelFilter::INFO);
    let targets = match wanted.parse::<Targets>() {
        _ if wanted.trim().is_empty() => usual,
        Ok(targets) if targets.default_level().is_none() => targets.with_default(LevelFilter::INFO),
        Ok(targets) => targets,
        Err(error) => {
            eprintln!("gullcart: {LOG} is '{wanted}', which cannot be read: {error}; info is logged");
            usual
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
