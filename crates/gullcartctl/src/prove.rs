//! `gullcartctl prove`.
use clap::Args;
use std::process::ExitCode;
#[derive(Args)]
pub struct Arguments {}
pub fn prove(_: &Arguments) -> Result<ExitCode, String> { Err("not yet".into()) }
