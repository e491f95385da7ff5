//! The rules by name, and what a breach of one shows.

use crate::trace::*;
use serde::Serialize;

/// What was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// No message is lost.
    Lost,
    /// No effect happens twice.
    Twice,
    /// Drains are kept.
    Drains,
    /// A returning partner is not pushed over.
    Returning,
    /// Order is kept.
    Order,
    /// Waits are heeded.
    Waits,
    /// One final answer, once, and at once.
    FinalAnswer,
    /// A message goes to its own partner, as it was handed in.
    Destination,
    /// A courier ends only when it is told to.
    Crash,
}

impl Rule {
    /// All of them.
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

    /// Its short name, as in reports.
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

    /// The rule of a short name.
    pub fn of(name: &str) -> Option<Rule> {
        Rule::ALL.into_iter().find(|rule| rule.name() == name)
    }

    /// Its words.
    pub fn words(self) -> &'static str {
        match self {
            Rule::Lost => "What a courier has taken on is delivered or ended by a notice before its time is up.",
            Rule::Twice => {
                "A message that may have run is sent or handed back again only as far as its class permits, and its \
                 attempts are never out side by side."
            }
            Rule::Drains => "Nothing new goes to an endpoint once the grace after the telling of its drain is over.",
            Rule::Returning => {
                "A partner that returns cold is not pushed over by couriers that saw calls fail there in the outage."
            }
            Rule::Order => {
                "Messages of one key go one at a time in the order they were taken, and the key rests after a call \
                 that may still run."
            }
            Rule::Waits => "A courier that was told to wait sends nothing to that partner until the wait is over.",
            Rule::FinalAnswer => "A message has one final answer, told once, and at once when it is given up.",
            Rule::Destination => "A message goes to its own partner, as it was handed in, from who took it on.",
            Rule::Crash => "A courier's process ends only when it is told to.",
        }
    }
}

/// A rule that was broken.
#[derive(Clone, Debug, Serialize)]
pub struct Breach {
    /// When.
    pub at: At,
    /// Which.
    pub rule: Rule,
    /// By whom.
    pub courier: CourierId,
    /// With which hand-in, where it is one.
    pub message: Option<MessageId>,
    /// What happened, with its figures.
    pub what: String,
    /// The trace lines that prove it, in the order of time.
    pub proof: Vec<Entry>,
}
