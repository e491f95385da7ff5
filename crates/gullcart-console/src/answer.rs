//! The answers to console commands.

use gullcart_engine::{ClassCounts, CommandError, EngineMetrics};
use std::fmt::{Display, Write};

/// Answer to a command that was carried out, or to STATUS while the process accepts clients.
pub const YES: &str = "YES\n";
/// The reason in the answer to STATUS while the process accepts no clients.
pub const NOT_SERVING: &str = "this process takes no clients";
/// Prefix of all metric names.
const METRIC_PREFIX: &str = "edge_balancer";

/// The answer to a command that was not carried out, with the reason.
pub fn no_with_reason(reason: impl Display) -> String {
    format!("NO {reason}\n")
}

/// Describes to an operator why a command was not carried out.
pub fn command_error_text(error: CommandError) -> &'static str {
    match error {
        CommandError::UnknownEndpoint => "no endpoint of that id was ever listed here",
        CommandError::NotRecorded => {
            "it cannot be written to the journal, so nothing was changed; see the log"
        }
    }
}

/// The answer to METRICS: one line a metric, then `END`. Counters start at 0 with the process.
pub fn metrics_text(metrics: &EngineMetrics) -> String {
    let mut text = String::new();
    let mut line = |name: &str, value: u64, kind: &str| {
        let _ = writeln!(text, "{METRIC_PREFIX}.{name}:{value}|{kind}");
    };
    for (class, ClassCounts { served, rejected, returned, failed, invalid }) in &metrics.classes {
        line(&format!("served.{class}"), *served, "c");
        line(&format!("refused.{class}"), rejected + returned, "c");
        // Refused are messages that were rejected at once and messages that were accepted and later returned unsent.
        // Invalid messages got an error reply at once. For the client they have failed like those with a failure notice.
        line(&format!("failed.{class}"), failed + invalid, "c");
    }
    line("attempts", metrics.calls_written, "c");
    line("in_flight", metrics.messages_pending as u64, "g");
    line("endpoints_known", metrics.endpoints_known as u64, "g");
    line("endpoints_excluded", metrics.endpoints_excluded as u64, "g");
    text.push_str("END\n");
    text
}

#[cfg(test)]
mod tests;
