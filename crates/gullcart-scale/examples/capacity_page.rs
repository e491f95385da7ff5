//! Renders `docs/CAPACITY.md` from the kept records: `--write` changes the page, else it is only compared.

use gullcart_scale::capacity::rendered_page;
use std::error::Error;
use std::path::Path;
use std::process::ExitCode;

const PAGE: &str = "docs/CAPACITY.md";
const RECORDS: &str = "docs/capacity/results";

fn main() -> Result<ExitCode, Box<dyn Error>> {
    let page = std::fs::read_to_string(PAGE)?;
    let rendered = rendered_page(&page, Path::new(RECORDS))?;
    if std::env::args().any(|argument| argument == "--write") {
        std::fs::write(PAGE, rendered)?;
        return Ok(ExitCode::SUCCESS);
    }
    match page == rendered {
        true => Ok(ExitCode::SUCCESS),
        false => {
            eprintln!("{PAGE} is not what the records give");
            Ok(ExitCode::FAILURE)
        }
    }
}
