//! The daemon: `gullcart` on one thread, until it is told to end.
#![forbid(unsafe_code)]

use std::process::ExitCode;
use tokio::task::LocalSet;
use tracing::error;

fn main() -> ExitCode {
    tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).with_target(false).init();
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
