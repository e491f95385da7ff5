//! Rehearsals in virtual time: the same [`Scenario`], the same day, judge and partners, and the real engine and decisions of
//! each courier, without a socket, a process or a clock. The same seed gives the same trace, wherever it is played.
//!
//! What a rehearsal has and this does not: sockets and what libraries make of them, RESP2 and HTTP, descriptors, memory,
//! and a machine that is late. What was found here is played there if it can be.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod address;
mod calls;
mod clients;
mod courier;
mod events;
mod faults;
mod outcome;
mod processes;
mod queue;
mod run;
mod simulation;

pub use outcome::{Emulated, EmulationError};

use gullcart_rehearsal::{Scenario, Until};

/// How to play a day.
#[derive(Clone, Copy, Debug)]
pub struct Options<'a> {
    /// What everything is drawn from.
    pub seed: u64,
    /// When to end.
    pub until: Until,
    /// What is broken in all couriers; of no effect unless built with the feature.
    pub broken: Option<&'a str>,
}

/// Plays a day; `progress` is told each second of it.
pub fn emulate(
    scenario: &Scenario,
    options: Options<'_>,
    progress: impl FnMut(f64),
) -> Result<Emulated, EmulationError> {
    #[cfg_attr(not(feature = "broken"), allow(unused_mut))]
    let mut world = simulation::World::build(scenario, options.seed)?;
    #[cfg(feature = "broken")]
    {
        world.broken = options.broken;
    }
    world.play(options.until, progress)
}
