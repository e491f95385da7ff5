//! Measures by number of couriers what each does toward what all share, and keeps the records in a folder.

use gullcart_scale::{shared, RunPlace};
use std::error::Error;
use std::path::Path;

const COMMAND: &str = "cargo run --release -p gullcart-scale --example couriers";
const FOLDER: &str = "docs/capacity/results";

fn main() -> Result<(), Box<dyn Error>> {
    let place = RunPlace::here()?;
    for (name, measurements) in shared::all()? {
        let path = place.record(name, COMMAND, measurements).write(Path::new(FOLDER))?;
        println!("{}", path.display());
    }
    Ok(())
}
