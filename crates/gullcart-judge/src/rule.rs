//! The rules that a trace is checked against, and the report of a violation.

use crate::trace::*;
use serde::Serialize;

/// A rule that couriers have to keep. Reports print both [`Rule::name`] and the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// No message is lost.
    Lost,
    /// No message takes effect twice. Besides unsafe repeats, this covers whatever lets a client or courier repeat a
    /// message that may have run: returning or rejecting it, sending it after it was returned or rejected, and changing
    /// its idempotency key or body.
    Twice,
    /// No call starts at an endpoint that has been draining for longer than the grace period.
    Drains,
    /// A partner that returns from an outage (slow start) is not overloaded.
    Returning,
    /// Messages with one order key are delivered one at a time and in order.
    Order,
    /// A courier waits for the retry-after time that a partner gave it.
    Waits,
    /// A message has one final result, reported once and without delay.
    FinalAnswer,
    /// A message goes to its own partner, from the courier that accepted it. A changed key or body is reported as
    /// [`Rule::Twice`].
    Destination,
    /// A courier's process ends only when it is told to.
    Crash,
}

impl Rule {
    /// All rules, in the order of the enum.
    pub const ALL: [Rule; 9] = [
        Rule::Lost,
        Rule::Twice,
        Rule::Drains,
        Rule::Returning,
        Rule::Order,
        Rule::Waits,
        Rule::FinalAnswer,
        Rule::Destination,
        Rule::Crash,
    ];

    /// The rule's name in reports and on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Rule::Lost => "lost",
            Rule::Twice => "twice",
            Rule::Drains => "drains",
            Rule::Returning => "returning",
            Rule::Order => "order",
            Rule::Waits => "waits",
            Rule::FinalAnswer => "final-answer",
            Rule::Destination => "destination",
            Rule::Crash => "crash",
        }
    }

    /// The rule with the given [`Rule::name`].
    pub fn from_name(name: &str) -> Option<Rule> {
        Rule::ALL.into_iter().find(|rule| rule.name() == name)
    }

    /// The full statement of the rule, for reports.
    pub fn description(self) -> &'static str {
        match self {
            Rule::Lost => "A message that a courier accepted is delivered or ended by a notice before its deadline.",
            Rule::Twice => {
                "A message that may have run is sent again or returned only as far as its class permits, and it has \
                 at most one attempt in flight."
            }
            Rule::Drains => {
                "No call starts at an endpoint once the grace period after the report of its drain has passed."
            }
            Rule::Returning => {
                "A partner in slow start is not overloaded by couriers that saw calls to it fail during the outage."
            }
            Rule::Order => {
                "Messages with one order key are sent one at a time in the order of acceptance, and the key pauses \
                 after a call that may still be running."
            }
            Rule::Waits => {
                "A courier that received a retry-after time sends nothing to that partner until the time has passed."
            }
            Rule::FinalAnswer => {
                "A message has one final result, reported once, and without delay when the message is abandoned."
            }
            Rule::Destination => {
                "A message goes to its own partner, unchanged, from the courier that accepted it."
            }
            Rule::Crash => "A courier's process ends only when it is told to.",
        }
    }
}

/// A violation of a rule, with the trace entries that show it.
#[derive(Clone, Debug, Serialize)]
pub struct Violation {
    /// When the violation was found.
    pub at: Timestamp,
    /// The violated rule.
    pub rule: Rule,
    /// The courier that violated the rule.
    pub courier: CourierId,
    /// The message concerned, if the violation is about a single one.
    pub message: Option<MessageId>,
    /// What happened, with the measured values.
    #[serde(rename = "what")]
    pub description: String,
    /// The trace entries that show the violation, in time order.
    #[serde(rename = "proof")]
    pub evidence: Vec<Entry>,
}
