//! What a caller is answered.

use gullcart_engine::{Denied, Ends, Reading};
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
pub fn denied(denied: Denied) -> &'static str {
    match denied {
        Denied::Unknown => "no endpoint of that id was ever listed here",
        Denied::Unwritten => "it cannot be written to the journal, so nothing was changed; see the log",
    }
}

/// The figures, and a line that ends them. Counters are of this process, and begin at 0.
pub fn figures(reading: &Reading) -> String {
    let mut text = String::new();
    let mut line = |name: &str, value: u64, kind: &str| {
        let _ = writeln!(text, "{PREFIX}.{name}:{value}|{kind}");
    };
    for (class, Ends { served, turned_away, handed_back, failed, unfit }) in &reading.classes {
        line(&format!("served.{class}"), *served, "c");
        line(&format!("refused.{class}"), turned_away + handed_back, "c");
        // To the client an error is the same as a notice that it failed.
        line(&format!("failed.{class}"), failed + unfit, "c");
    }
    line("attempts", reading.attempts, "c");
    line("in_flight", reading.in_flight as u64, "g");
    line("endpoints_known", reading.endpoints_known as u64, "g");
    line("endpoints_excluded", reading.endpoints_excluded as u64, "g");
    text.push_str("END\n");
    text
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn figures_are_lines_of_their_own_and_end() {
        let ends = Ends { served: 812, turned_away: 2, handed_back: 3, failed: 4, unfit: 1 };
        let reading = Reading {
            classes: vec![("pay-notice".to_owned(), ends)],
            attempts: 830,
            in_flight: 14,
            endpoints_known: 26,
            endpoints_excluded: 2,
        };
        let told = "edge_balancer.served.pay-notice:812|c\nedge_balancer.refused.pay-notice:5|c\n\
            edge_balancer.failed.pay-notice:5|c\nedge_balancer.attempts:830|c\nedge_balancer.in_flight:14|g\n\
            edge_balancer.endpoints_known:26|g\nedge_balancer.endpoints_excluded:2|g\nEND\n";
        assert_eq!(figures(&reading), told);
    }
}
