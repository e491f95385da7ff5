//! `gullcartctl fleet`: what many couriers did to each destination, second by second, from their logs.

use clap::Args;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::SystemTime;

/// Rows that are kept at most: a day of seconds for a hundred destinations. Further ones are counted and told of.
const MOST_ROWS: usize = 8_640_000;

#[derive(Args)]
#[command(after_help = "The couriers must have been started with GULLCART_LOG=gullcart::tally=debug.

Examples:
  gullcartctl fleet logs/*.log
  gullcartctl fleet --destination 4 logs/*.log
  gullcartctl fleet --json logs/*.log

Exit codes: 0 a table was made, 1 the logs hold no tally, 2 a log cannot be read")]
pub struct Arguments {
    /// The couriers' logs
    #[arg(required = true)]
    logs: Vec<PathBuf>,
    /// Only this destination
    #[arg(long, value_name = "NUMBER")]
    destination: Option<u32>,
    /// For machines: one object a row
    #[arg(long)]
    json: bool,
}

/// What all couriers did in one second.
#[derive(Default, Serialize)]
struct Row {
    taken: u64,
    ok: u64,
    full: u64,
    lost: u64,
    error: u64,
    unconnected: u64,
    waiting: u64,
    /// Messages that wait, by what for.
    holds: BTreeMap<String, u64>,
    /// Calls a second that the couriers which have messages allow themselves, in sum.
    pace: f64,
    /// Of the limit and of the share of it that is left: sums and numbers of those who told.
    #[serde(skip)]
    limit: (f64, u32),
    #[serde(skip)]
    left: (f64, u32),
}

/// The table; rows by the second since the first line, and by destination.
#[derive(Default)]
struct Table {
    begin: Option<SystemTime>,
    rows: BTreeMap<(i64, u32), Row>,
    dropped: u64,
}

impl Table {
    /// Takes one line of a log in; lines of another kind are passed over.
    fn add(&mut self, line: &str, only: Option<u32>) {
        let Some((head, tail)) = line.split_once(" tally ") else { return };
        let Some(at) = head.split_whitespace().find_map(|word| humantime::parse_rfc3339(word).ok()) else {
            return;
        };
        let fields: BTreeMap<&str, &str> =
            tail.split_whitespace().filter_map(|word| word.split_once('=')).collect();
        let Some(destination) = fields.get("destination").and_then(|text| text.parse().ok()) else { return };
        let begin = *self.begin.get_or_insert(at);
        if only.is_some_and(|only| only != destination) {
            return;
        }
        // Logs come one after the other, and each may have begun before the first.
        let second = match at.duration_since(begin) {
            Ok(after) => after.as_secs() as i64,
            Err(before) => -1 - before.duration().as_secs() as i64,
        };
        if self.rows.len() >= MOST_ROWS && !self.rows.contains_key(&(second, destination)) {
            self.dropped += 1;
            return;
        }
        let row = self.rows.entry((second, destination)).or_default();
        let count =
            |name: &str| fields.get(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or_default();
        let figure =
            |name: &str| fields.get(name).and_then(|text| text.parse::<f64>().ok()).filter(|n| n.is_finite());
        row.taken += count("taken");
        row.ok += count("ok");
        row.full += count("full");
        row.lost += count("lost");
        row.error += count("error");
        row.unconnected += count("unconnected");
        row.waiting += count("waiting");
        if let Some(hold) = fields.get("hold").and_then(|text| text.strip_prefix("Some(")?.strip_suffix(')'))
        {
            *row.holds.entry(hold.to_owned()).or_default() += count("waiting");
        }
        row.pace += figure("pace").unwrap_or_default();
        if let Some(limit) = figure("limit").filter(|limit| *limit > 0.0) {
            row.limit = (row.limit.0 + limit, row.limit.1 + 1);
        }
        if let Some(left) = figure("left") {
            row.left = (row.left.0 + left, row.left.1 + 1);
        }
    }

    fn print(&self, out: &mut impl Write) -> io::Result<()> {
        writeln!(
            out,
            "{:>6} {:>5} {:>6} {:>6} {:>6} {:>5} {:>5} {:>7} {:>7} {:>7} {:>7} {:>5}  waits for",
            "second",
            "dest",
            "taken",
            "ok",
            "full",
            "lost",
            "error",
            "no conn",
            "waiting",
            "pace",
            "limit",
            "left"
        )?;
        for ((second, destination), row) in &self.rows {
            let holds: Vec<String> =
                row.holds.iter().map(|(hold, number)| format!("{hold} {number}")).collect();
            let limit = mean(row.limit).map_or_else(|| "-".to_owned(), |limit| format!("{limit:.0}"));
            let left = mean(row.left).map_or_else(|| "-".to_owned(), |left| format!("{left:.2}"));
            writeln!(
                out,
                "{:>6} {destination:>5} {:>6} {:>6} {:>6} {:>5} {:>5} {:>7} {:>7} {:>7.0} {limit:>7} {left:>5}  {}",
                second - self.first(),
                row.taken,
                row.ok,
                row.full,
                row.lost,
                row.error,
                row.unconnected,
                row.waiting,
                row.pace,
                holds.join(", ")
            )?;
        }
        out.flush()
    }

    fn print_json(&self, out: &mut impl Write) -> io::Result<()> {
        for ((second, destination), row) in &self.rows {
            let value = serde_json::json!({"second": second - self.first(), "destination": destination,
                "counts": row, "limit": mean(row.limit), "left": mean(row.left)});
            writeln!(out, "{value}")?;
        }
        out.flush()
    }

    /// The second of the earliest line of all logs.
    fn first(&self) -> i64 {
        self.rows.keys().next().map_or(0, |(second, _)| *second)
    }
}

/// Makes the table.
pub fn fleet(arguments: &Arguments) -> Result<ExitCode, String> {
    let mut table = Table::default();
    for path in &arguments.logs {
        let cannot = |error| format!("cannot read the log {}: {error}", path.display());
        let mut reader = BufReader::new(File::open(path).map_err(cannot)?);
        let mut line = Vec::new();
        // A log may hold bytes that are no text.
        while reader.read_until(b'\n', &mut line).map_err(cannot)? > 0 {
            table.add(&String::from_utf8_lossy(&line), arguments.destination);
            line.clear();
        }
    }
    if table.rows.is_empty() {
        eprintln!(
            "gullcartctl: no tally in {} log(s); start the couriers with GULLCART_LOG=gullcart::tally=debug",
            arguments.logs.len()
        );
        return Ok(ExitCode::FAILURE);
    }
    let mut out = BufWriter::new(io::stdout().lock());
    let printed = if arguments.json { table.print_json(&mut out) } else { table.print(&mut out) };
    match printed {
        // Whoever reads has seen enough.
        Err(error) if error.kind() == io::ErrorKind::BrokenPipe => return Ok(ExitCode::SUCCESS),
        Err(error) => return Err(format!("cannot print the table: {error}")),
        Ok(()) => {}
    }
    if table.dropped > 0 {
        eprintln!(
            "gullcartctl: {} lines are beyond {MOST_ROWS} rows and were left out; name a destination",
            table.dropped
        );
    }
    Ok(ExitCode::SUCCESS)
}

fn mean((sum, number): (f64, u32)) -> Option<f64> {
    (number > 0).then(|| sum / f64::from(number))
}

#[cfg(test)]
mod tests;
