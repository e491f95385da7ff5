//! Whether a run kept what the distribution promises.

use gullcart_scale::Figure;
use thiserror::Error;

/// Counts of what must not happen, in each phase and scenario; see [`crate::phase::time_figures`].
pub const FORBIDDEN: [&str; 5] = ["missing", "unknown", "known_too_early", "late", "known_late"];

/// A promise that was broken.
#[derive(Clone, Debug, Error, PartialEq)]
#[error("{name} is {count}, and has to be 0")]
pub struct Broken {
    /// The figure that counts it.
    pub name: String,
    /// How often.
    pub count: f64,
}

/// The promises that a run broke, by its figures.
pub fn broken_promises(figures: &[Figure]) -> Vec<Broken> {
    let is_forbidden = |figure: &&Figure| {
        let last = figure.name.rsplit('/').next().unwrap_or_default();
        FORBIDDEN.contains(&last) && figure.value != 0.0
    };
    let broken = |figure: &Figure| Broken { name: figure.name.clone(), count: figure.value };
    figures.iter().filter(is_forbidden).map(broken).collect()
}
