//! Rehearsals in virtual time: a deterministic discrete-event simulation that runs a [`Scenario`]. The couriers' engines, the
//! decisions, the journal and the judge (which checks the rules) are the real code; network, clients, endpoints, discovery and
//! disks are simulated. The same seed gives the same trace on every machine.
//!
//! Not covered, in contrast to a rehearsal with real processes: sockets and the network libraries, the RESP2 and HTTP parsers,
//! file descriptors, memory, operator commands, upgrades and suspended processes, and delays caused by the machine. A failure that
//! is found here should be reproduced in a rehearsal where that is possible.
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

pub use outcome::{EmulatedRun, EmulationError};

use gullcart_rehearsal::{Scenario, Until};

/// How to run a scenario.
#[derive(Clone, Copy, Debug)]
pub struct EmulationOptions<'a> {
    /// The seed of all random draws.
    pub seed: u64,
    /// Whether to end the run early, at a broken rule.
    pub until: Until,
    /// Name of the fault that is injected into every courier. It has no effect without the feature `broken`.
    pub injected_fault: Option<&'a str>,
}

/// Runs a scenario in virtual time. `progress` is called for each virtual second with the time since the start in seconds.
pub fn emulate(
    scenario: &Scenario,
    options: EmulationOptions<'_>,
    progress: impl FnMut(f64),
) -> Result<EmulatedRun, EmulationError> {
    #[cfg_attr(not(feature = "broken"), allow(unused_mut))]
    let mut simulation = simulation::Simulation::new(scenario, options.seed)?;
    #[cfg(feature = "broken")]
    {
        simulation.injected_fault = options.injected_fault;
    }
    simulation.run(options.until, progress)
}
