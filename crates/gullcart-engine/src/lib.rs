//! The courier without sockets and without a clock.
//!
//! [`Engine`] is told what happens, with the time, and gives back what is to be done ([`Effect`]) when a turn is over: all
//! that was promised in it is in the journal by then. The daemon moves bytes round it; a fleet in virtual time can
//! run it as it is, on a simulated folder.
//!
//! What stays bounded, and by what: messages held by the settings and the journal's room, calls out by the call slots,
//! effects of a turn by what happened in it, notices by the messages held.
#![forbid(unsafe_code)]

#[cfg(feature = "broken")]
pub mod broken;
mod clock;
mod destination_metrics;
mod directory;
mod discovery_backoff;
mod duplicate_answers;
mod engine;
mod engine_snapshot;
mod idle_connections;
mod message_trace;
mod metrics;
mod rate_limited_log;
mod trial_duties;
mod types;

pub use clock::{Clock, EPOCH};
pub use destination_metrics::DESTINATION_METRICS_TARGET;
pub use discovery_backoff::{
    DiscoveryBackoff, ASSUMED_KNOWN_AFTER, DISCOVERY_CALL_TIMEOUT, WATCH_SILENCE_TIMEOUT,
};
pub use duplicate_answers::{
    AmbiguousAnswer, AnswerFingerprint, ConnectionAnswers, DuplicateAnswerFilter, EndpointAnswers,
};
pub use engine::{Engine, EngineConfig};
pub use engine_snapshot::{InFlightCall, ResumeError};
pub use idle_connections::IdleConnectionPolicy;
pub use message_trace::MESSAGE_TRACE_TARGET;
pub use metrics::{ClassCounts, EngineMetrics, MessageCounts};
pub use rate_limited_log::RateLimitedLog;
pub use trial_duties::{DutyHolder, DutyReport, DutyView, TrialDuties, TrialRequest};
pub use types::{
    Answer, Call, CallResult, CommandError, Effect, Enqueue, Input, Notice, OperatorCommand, StopReason,
    Ticket,
};
