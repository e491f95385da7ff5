//! `gullcartctl scale page`: renders the figures of the capacity page from the records.

use super::RESULTS;
use clap::Args;
use gullcart_scale::capacity::rendered_page;
use std::path::PathBuf;
use std::process::ExitCode;

/// Default path of the page.
const PAGE: &str = "docs/CAPACITY.md";

/// The arguments of the command.
#[derive(Args)]
pub struct Arguments {
    /// Rewrite the page; without this it is only checked
    #[arg(long)]
    write: bool,
    /// Path of the page
    #[arg(long, value_name = "PATH", default_value = PAGE)]
    page: PathBuf,
    /// Folder of the records
    #[arg(long, value_name = "DIR", default_value = RESULTS)]
    results: PathBuf,
}

/// Renders the page, and writes it or compares it with the file.
pub fn page(arguments: &Arguments) -> Result<ExitCode, String> {
    let path = &arguments.page;
    let file_error = |error: std::io::Error| format!("{}: {error}", path.display());
    let page = std::fs::read_to_string(path).map_err(file_error)?;
    let rendered = rendered_page(&page, &arguments.results).map_err(|error| error.to_string())?;
    if arguments.write {
        std::fs::write(path, rendered).map_err(file_error)?;
        return Ok(ExitCode::SUCCESS);
    }
    if page == rendered {
        return Ok(ExitCode::SUCCESS);
    }
    eprintln!("{}: differs from what the records give; --write renders it again", path.display());
    Ok(ExitCode::FAILURE)
}
