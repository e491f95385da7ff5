//! The courier without sockets and without a clock.
//!
//! [`Engine`] is told what happens, with the time, and gives back what is to be done ([`Effect`]) when a turn is over: all
//! that was promised in it is in the journal by then. The daemon moves bytes round it; a fleet in virtual time can
//! run it as it is, on a simulated folder.
//!
//! What stays bounded, and by what: messages held by the settings and the journal's room, calls out by the call slots,
//! effects of a turn by what happened in it, notices by the messages held.
#![forbid(unsafe_code)]

mod answer_trust;
#[cfg(feature = "broken")]
pub mod broken;
mod calls_for_lists;
mod carried;
mod clock;
mod directory;
mod engine;
mod figures;
mod idle_share;
mod seldom;
mod tally;
mod trail;
mod trials;
mod vocabulary;

pub use answer_trust::{ConnectionAnswers, CopyFilter, Doubt, EndpointAnswers, Fingerprint};
pub use calls_for_lists::{CallsForLists, CALL, SILENCE, TOLD};
pub use carried::{CarriedError, CarriedOut};
pub use clock::{Clock, EPOCH};
pub use engine::{Engine, Start};
pub use figures::{Counts, Ends, Reading};
pub use idle_share::IdleShare;
pub use seldom::Seldom;
pub use tally::TALLY;
pub use trail::TRAIL;
pub use trials::{DutyView, Holder, Told, TrialDuties, TrialWish};
pub use vocabulary::{Answer, Call, Denied, Effect, Ended, Enqueue, Input, Notice, Order, Stop, Ticket};
