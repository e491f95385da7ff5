//! A whole fleet of couriers on one machine, without message traffic.
//!
//! A hollow courier is the real engine on a journal in memory, told of endpoints by the real distribution of lists over
//! real sockets. Hundreds of them share a process. The manager ([`Fleet`]) starts the processes within [`Limits`], watches
//! them, and ends them; they do what its commands say ([`control`]).
#![forbid(unsafe_code)]

pub mod control;
pub mod courier;
mod fleet;
mod limits;
pub mod machine;
mod process;
mod serve;

pub use fleet::{Endings, Fleet, FleetError, ProcessIndex};
pub use limits::{Demand, Excess, Limits, MEMORY_DIVISOR, MOST_PROCESSES, OWN_DESCRIPTORS};
pub use process::{Launch, Process, ProcessError};
pub use serve::{serve, ServeError};
