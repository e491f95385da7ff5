//! Rehearsals: a [`Scenario`] is read, a [`Day`] is drawn from it and a seed, and [`run`] plays it with real `gullcart`
//! processes among stand-ins on loopback. What came of it is a [`Report`].
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod book;
mod day;
pub mod figures;
mod page;
mod report;
mod run;
mod scenario;
mod shipped;

pub use day::{Action, Arrival, Day, Window};
pub use page::page;
pub use report::{Counts, Lateness, Report, Sample, Shown, Verdict};
pub use run::{run, Options, Progress, RunError, Until};
pub use scenario::{Effect, Partner, Replace, Scenario, ScenarioError, MOST_COURIERS};
pub use shipped::{shipped, Shipped, SHIPPED};
