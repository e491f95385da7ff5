//! A whole fleet of couriers on one machine, without message traffic.
//!
//! A hollow courier is the real engine on a journal in memory, told of endpoints by the real distribution of lists over
//! real sockets. Hundreds of them share a process. The manager ([`Fleet`]) starts the processes within [`Limits`], watches
//! them, and ends them; they do what its commands say ([`control`]).
#![forbid(unsafe_code)]

pub mod command;
pub mod control;
pub mod courier;
mod couriers_node;
mod fleet;
pub mod hollow;
pub mod in_force;
pub mod layout;
mod limits;
mod link;
pub mod machine;
mod phase;
mod process;
mod record;
mod relays_node;
mod run;
mod scenario;
mod serve;
mod source_node;
mod station;
pub mod structures;
mod tree;
mod verdict;

pub use fleet::{Endings, Fleet, FleetError, ProcessIndex};
pub use limits::{Demand, Excess, Limits, MEMORY_DIVISOR, MOST_PROCESSES, OWN_DESCRIPTORS};
pub use process::{Launch, Process, ProcessError};
pub use run::{run, RunError, RunPlan, RunResult, ScenarioFailure};
pub use scenario::{Scenario, Spans};
pub use serve::{serve, ServeError};
pub use tree::Spread;
pub use verdict::{broken_promises, Broken, FORBIDDEN};
