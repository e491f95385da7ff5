//! `gullcartctl fleet`: adds up, second by second, what the logs of many couriers report about each destination.
//!
//! Each second, a courier logs a line "tally" for each of its destinations, with its counts of that second as fields. A
//! destination has the same number at all couriers, so their lines can be added up.

use clap::Args;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::SystemTime;

/// Maximum number of rows: one day of seconds for a hundred destinations. Lines for further rows are left
/// out, and their number is reported.
const MAX_ROWS: usize = 8_640_000;

/// The arguments of the command.
#[derive(Args)]
#[command(after_help = "The couriers must have been started with GULLCART_LOG=gullcart::tally=debug.

Examples:
  gullcartctl fleet logs/*.log
  gullcartctl fleet --destination 4 logs/*.log
  gullcartctl fleet --json logs/*.log

Exit codes: 0 a table was printed, 1 the logs hold no tally lines, 2 a log cannot be read")]
pub struct Arguments {
    /// The couriers' log files
    #[arg(required = true)]
    logs: Vec<PathBuf>,
    /// Show only this destination
    #[arg(long, value_name = "NUMBER")]
    destination: Option<u32>,
    /// Print JSON, one object a row
    #[arg(long)]
    json: bool,
}

/// Sums over all couriers for one second and destination. The fields have the names of the log's fields.
#[derive(Default, Serialize)]
struct Row {
    /// Messages that were accepted.
    taken: u64,
    /// Calls that succeeded.
    ok: u64,
    /// Calls that were rejected with backpressure.
    full: u64,
    /// Calls that timed out, were reset or were cancelled.
    lost: u64,
    /// Calls with an error or a malformed response.
    error: u64,
    /// Calls for which no connection could be opened.
    unconnected: u64,
    /// Messages that wait to be sent.
    waiting: u64,
    /// Waiting messages by what they wait for.
    holds: BTreeMap<String, u64>,
    /// Sum of the couriers' own rate limits in calls a second; a courier without messages for the destination has none.
    pace: f64,
    /// The destination's limit, as the couriers know it.
    #[serde(skip)]
    limit: Mean,
    /// The share of the limit that is left, as the destination reported it.
    #[serde(skip)]
    left: Mean,
}

/// A mean over all log lines with the value.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Mean {
    sum: f64,
    count: u32,
}

impl Mean {
    fn add(&mut self, value: f64) {
        self.sum += value;
        self.count += 1;
    }

    /// The mean; none without a value.
    fn value(self) -> Option<f64> {
        (self.count > 0).then(|| self.sum / f64::from(self.count))
    }
}

/// The table. Rows are ordered by second and destination; seconds count from the first line that was read, and are negative
/// before it.
#[derive(Default)]
struct Table {
    /// Time of the first line that was read; second 0 of `rows`.
    start: Option<SystemTime>,
    rows: BTreeMap<(i64, u32), Row>,
    /// Lines that were left out because of [`MAX_ROWS`].
    dropped_lines: u64,
}

impl Table {
    /// Adds one line of a log; lines that are no tally are skipped. With `only`, so are those of other destinations.
    fn add(&mut self, line: &str, only: Option<u32>) {
        let Some((head, tail)) = line.split_once(" tally ") else { return };
        let Some(at) = head.split_whitespace().find_map(|word| humantime::parse_rfc3339(word).ok()) else {
            return;
        };
        let fields: BTreeMap<&str, &str> =
            tail.split_whitespace().filter_map(|word| word.split_once('=')).collect();
        let Some(destination) = fields.get("destination").and_then(|text| text.parse().ok()) else { return };
        let start = *self.start.get_or_insert(at);
        if only.is_some_and(|only| only != destination) {
            return;
        }
        // The logs are read one after the other, and any of them may begin earlier than the first.
        let second = match at.duration_since(start) {
            Ok(after) => after.as_secs() as i64,
            Err(before) => -1 - before.duration().as_secs() as i64,
        };
        if self.rows.len() >= MAX_ROWS && !self.rows.contains_key(&(second, destination)) {
            self.dropped_lines += 1;
            return;
        }
        let row = self.rows.entry((second, destination)).or_default();
        let count =
            |name: &str| fields.get(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or_default();
        let number =
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
        row.pace += number("pace").unwrap_or_default();
        if let Some(limit) = number("limit").filter(|limit| *limit > 0.0) {
            row.limit.add(limit);
        }
        if let Some(left) = number("left") {
            row.left.add(left);
        }
    }

    /// Prints the table as text. The printed seconds count from the earliest row.
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
                row.holds.iter().map(|(reason, count)| format!("{reason} {count}")).collect();
            let limit = row.limit.value().map_or_else(|| "-".to_owned(), |limit| format!("{limit:.0}"));
            let left = row.left.value().map_or_else(|| "-".to_owned(), |left| format!("{left:.2}"));
            writeln!(
                out,
                "{:>6} {destination:>5} {:>6} {:>6} {:>6} {:>5} {:>5} {:>7} {:>7} {:>7.0} {limit:>7} {left:>5}  {}",
                second - self.first_second(),
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

    /// Prints the rows as JSON objects, one a line. The printed seconds count from the earliest row.
    fn print_json(&self, out: &mut impl Write) -> io::Result<()> {
        for ((second, destination), row) in &self.rows {
            let value = serde_json::json!({"second": second - self.first_second(), "destination": destination,
                "counts": row, "limit": row.limit.value(), "left": row.left.value()});
            writeln!(out, "{value}")?;
        }
        out.flush()
    }

    /// The earliest second of all rows.
    fn first_second(&self) -> i64 {
        self.rows.keys().next().map_or(0, |(second, _)| *second)
    }
}

/// Runs the command.
pub fn fleet(arguments: &Arguments) -> Result<ExitCode, String> {
    let mut table = Table::default();
    for path in &arguments.logs {
        let read_error = |error| format!("cannot read the log {}: {error}", path.display());
        let mut reader = BufReader::new(File::open(path).map_err(read_error)?);
        let mut line = Vec::new();
        // A log may hold bytes that are not UTF-8.
        while reader.read_until(b'\n', &mut line).map_err(read_error)? > 0 {
            table.add(&String::from_utf8_lossy(&line), arguments.destination);
            line.clear();
        }
    }
    if table.rows.is_empty() {
        eprintln!(
            "gullcartctl: no tally lines in {} log(s); start the couriers with GULLCART_LOG=gullcart::tally=debug",
            arguments.logs.len()
        );
        return Ok(ExitCode::FAILURE);
    }
    let mut out = BufWriter::new(io::stdout().lock());
    let printed = if arguments.json { table.print_json(&mut out) } else { table.print(&mut out) };
    match printed {
        // The reader of the output, such as `head`, has closed the pipe.
        Err(error) if error.kind() == io::ErrorKind::BrokenPipe => return Ok(ExitCode::SUCCESS),
        Err(error) => return Err(format!("cannot print the table: {error}")),
        Ok(()) => {}
    }
    if table.dropped_lines > 0 {
        eprintln!(
            "gullcartctl: {} lines were left out, as the table has {MAX_ROWS} rows at most; name a destination",
            table.dropped_lines
        );
    }
    Ok(ExitCode::SUCCESS)
}

#[cfg(test)]
mod tests;
