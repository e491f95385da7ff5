//! The courier as a state machine without I/O and without a clock.
//!
//! [`Engine`] handles inputs, each with the current time, and returns the resulting [`Effect`]s at the end of a turn. By then
//! the journal holds everything that the effects promise. The daemon performs the I/O around the engine; a simulation can run
//! the same engine in virtual time on a simulated folder.
//!
//! Bounds: the settings and the journal's capacity bound the messages held, the call slots bound the calls in flight, the
//! inputs of a turn bound its effects, and the messages held bound the notices.
#![forbid(unsafe_code)]

#[cfg(feature = "broken")]
pub mod broken;
mod client_shares;
mod clock;
mod destination_metrics;
mod directory;
mod discovery_backoff;
mod duplicate_answers;
mod ended_messages;
mod engine;
mod engine_snapshot;
mod idle_connections;
mod message_trace;
mod metrics;
mod rate_limited_log;
mod trial_duties;
mod types;

pub use clock::{Clock, PROCESS_START};
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
    Answer, Call, CallResult, ClientId, CommandError, Effect, Enqueue, Input, Notice, OperatorCommand,
    StopReason, Ticket,
};
