//! Checks a time-stamped [`trace`] of what couriers, partners, clients and discovery did: finds violations of the
//! delivery rules ([`Judge`]) and measures the service delivered ([`ServiceMeter`]).
//!
//! Nothing here does I/O or reads a clock: each entry carries its time. Memory is bounded by the messages in progress,
//! as state that can no longer affect a check is dropped.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod duties;
mod judge;
mod limits;
mod message;
mod rule;
mod service;
pub mod slow_start;
pub mod trace;

pub use judge::{Judge, MAX_VIOLATIONS};
pub use limits::{ClassRules, Effect, RuleLimits};
pub use rule::{Rule, Violation};
pub use service::{ClassWorth, LatencySummary, ServiceMeter, ServiceScores, Weights, WorthTotals};
