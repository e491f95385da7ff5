//! `gullcartctl scale page`: the figures of the capacity page, rendered from the records.

use super::RESULTS;
use clap::Args;
use gullcart_scale::capacity::rendered_page;
use std::path::PathBuf;
use std::process::ExitCode;

const PAGE: &str = "docs/CAPACITY.md";

/// The arguments of the command.
#[derive(Args)]
pub struct Arguments {
    /// Change the page; else it is only compared
    #[arg(long)]
    write: bool,
    /// The page
    #[arg(long, value_name = "PATH", default_value = PAGE)]
    page: PathBuf,
    /// The records
    #[arg(long, value_name = "DIR", default_value = RESULTS)]
    results: PathBuf,
}

/// Renders the page, and writes it or compares it.
pub fn page(arguments: &Arguments) -> Result<ExitCode, String> {
    let path = &arguments.page;
    let fault = |error: std::io::Error| format!("{}: {error}", path.display());
    let page = std::fs::read_to_string(path).map_err(fault)?;
    let rendered = rendered_page(&page, &arguments.results).map_err(|error| error.to_string())?;
    if arguments.write {
        std::fs::write(path, rendered).map_err(fault)?;
        return Ok(ExitCode::SUCCESS);
    }
    if page == rendered {
        return Ok(ExitCode::SUCCESS);
    }
    eprintln!("{}: not what the records give; --write renders it", path.display());
    Ok(ExitCode::FAILURE)
}
