//! Classes: the kinds of message, and what a repeat of each does.

use super::defaults::{half, one};
use super::error::{Invalid, Table};
use serde::Deserialize;

/// What a repeat does.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// No harm.
    Safe,
    /// Dropped for a while if it carries the same key.
    Keyed,
    /// It must never happen.
    Unsafe,
}

/// A kind of message.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its part of the traffic, against the other classes.
    #[serde(default = "one")]
    pub share: f64,
    /// What a repeat does.
    pub effect: Effect,
    /// For how long partners remember a key.
    #[serde(default = "window_s")]
    pub window_s: f64,
    /// Whether messages of one key keep their order.
    #[serde(default)]
    pub in_order: bool,
    /// What one is worth.
    #[serde(default = "one")]
    pub worth: f64,
    /// Wanted within this.
    #[serde(default = "aim_s")]
    pub aim_s: f64,
    /// Given up after this.
    #[serde(default = "deadline_s")]
    pub deadline_s: f64,
    /// Worth that is left just before it is given up.
    #[serde(default = "half")]
    pub late_share: f64,
}

fn window_s() -> f64 {
    10.0
}

fn aim_s() -> f64 {
    3.0
}

fn deadline_s() -> f64 {
    24.0
}

impl Class {
    /// Checks the class at this place among the classes.
    pub(super) fn check(&self, place: usize) -> Result<(), Invalid> {
        let table = Table { name: "class", place };
        table.require(self.share > 0.0, "share", "must be over 0")?;
        table.require(self.worth > 0.0, "worth", "must be over 0")?;
        let times = self.aim_s > 0.0 && self.aim_s < self.deadline_s && self.deadline_s <= 600.0;
        table.require(times, "deadline_s", "must be over aim_s, which must be over 0, and at most 600")?;
        let late_share = (0.0..=1.0).contains(&self.late_share);
        table.require(late_share, "late_share", "must lie between 0 and 1")?;
        let window = self.effect != Effect::Keyed || (0.1..=3600.0).contains(&self.window_s);
        table.require(window, "window_s", "must lie between 0.1 and 3600")
    }
}
