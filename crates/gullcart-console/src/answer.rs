//! What a caller is answered.

use gullcart_engine::{ClassCounts, CommandError, EngineMetrics};
use std::fmt::{Display, Write};

/// It is done, or so it is.
pub const YES: &str = "YES\n";
/// Why STATUS says no.
pub const NOT_SERVING: &str = "this process takes no clients";
/// All figures' names begin with this.
const PREFIX: &str = "edge_balancer";

/// No, and why.
pub fn no(reason: impl Display) -> String {
    format!("NO {reason}\n")
}

/// Why an order was not carried out, in an operator's words.
pub fn denied(denied: CommandError) -> &'static str {
    match denied {
        CommandError::UnknownEndpoint => "no endpoint of that id was ever listed here",
        CommandError::NotRecorded => {
            "it cannot be written to the journal, so nothing was changed; see the log"
        }
    }
}

/// The figures, and a line that ends them. Counters are of this process, and begin at 0.
pub fn figures(reading: &EngineMetrics) -> String {
    let mut text = String::new();
    let mut line = |name: &str, value: u64, kind: &str| {
        let _ = writeln!(text, "{PREFIX}.{name}:{value}|{kind}");
    };
    for (
        class,
        ClassCounts { served, rejected: turned_away, returned: handed_back, failed, invalid: unfit },
    ) in &reading.classes
    {
        line(&format!("served.{class}"), *served, "c");
        line(&format!("refused.{class}"), turned_away + handed_back, "c");
        // To the client an error is the same as a notice that it failed.
        line(&format!("failed.{class}"), failed + unfit, "c");
    }
    line("attempts", reading.calls_written, "c");
    line("in_flight", reading.messages_pending as u64, "g");
    line("endpoints_known", reading.endpoints_known as u64, "g");
    line("endpoints_excluded", reading.endpoints_excluded as u64, "g");
    text.push_str("END\n");
    text
}

#[cfg(test)]
mod tests;
