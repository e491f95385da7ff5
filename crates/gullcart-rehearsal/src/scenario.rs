//! Scenario files: what they may say, and what is wrong with one that cannot be played.

mod check;
mod classes;
mod defaults;
mod error;
mod faults;
mod partners;
mod targets;
mod timeline;
mod traffic;

pub use classes::{Class, Effect};
pub use error::ScenarioError;
pub use faults::{Fault, FaultKind, How, Replace, Target};
pub use partners::Partner;
pub use traffic::Traffic;

use serde::Deserialize;

/// Couriers of one scenario, at most: one machine cannot play more.
pub const MOST_COURIERS: usize = 1024;

/// A day that can be rehearsed.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// What it is for, in a sentence.
    #[serde(default)]
    pub about: String,
    /// For how long messages come in, in seconds.
    pub seconds: f64,
    /// Service under this is a failure.
    #[serde(default)]
    pub floor: f64,
    /// The couriers.
    #[serde(default)]
    pub couriers: Couriers,
    /// The register.
    #[serde(default)]
    pub register: Register,
    /// Kinds of message.
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    /// Who gets them.
    #[serde(rename = "partner")]
    pub partners: Vec<Partner>,
    /// How they come.
    pub traffic: Traffic,
    /// What goes wrong.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
}

/// The couriers and their limits.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Couriers {
    /// One to [`MOST_COURIERS`].
    pub count: usize,
    /// A connection that takes longer has failed.
    pub connect_s: f64,
    /// Calls out at once, for each; worked out from the traffic where it is left out.
    pub slots: Option<u32>,
    /// Messages held, for each; worked out from the traffic where it is left out.
    pub most_held: Option<u32>,
    /// Memory.
    pub memory_mb: u32,
    /// Descriptors.
    pub sockets: u32,
    /// Room in the state folder.
    pub disk_mb: f64,
}

impl Default for Couriers {
    fn default() -> Self {
        Couriers {
            count: 2,
            connect_s: 1.0,
            slots: None,
            most_held: None,
            memory_mb: 192,
            sockets: 1024,
            disk_mb: 3.0,
        }
    }
}

/// The register.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Register {
    /// Couriers hear of a change so many seconds later, each after a draw from this range.
    pub late_s: [f64; 2],
}

impl Default for Register {
    fn default() -> Self {
        Register { late_s: [0.5, 2.5] }
    }
}

impl Scenario {
    /// Reads a scenario and checks all of it. `file` is for what is said of errors.
    pub fn read(file: &str, text: &str) -> Result<Self, ScenarioError> {
        let scenario: Scenario =
            toml::from_str(text).map_err(|error| ScenarioError::unreadable(file, text, &error))?;
        match scenario.check() {
            Ok(()) => Ok(scenario),
            Err(invalid) => Err(ScenarioError::invalid(file, text, invalid)),
        }
    }

    /// What the traffic asks of a partner, in calls a second, clumps included.
    pub fn demand(&self, partner: usize) -> f64 {
        let sum: f64 = self.partners.iter().map(|partner| partner.share).sum();
        self.traffic.per_second * self.partners[partner].share / sum.max(1e-9)
    }
}
