//! Scheduling decisions of an outbound delivery gateway ("courier") that delivers messages to many partner systems.
//!
//! [`Courier`] is a deterministic state machine without I/O: it takes [`Event`]s and returns [`Action`]s. Time is passed
//! in by the caller and randomness is derived from a seed. Call [`Courier::handle`] for each event of a batch, then
//! [`Courier::decide`] once.
//!
//! ```
//! use cloverstile::{Accepted, Action, Class, Courier, Effect, Endpoint, Event, Listing, Mode};
//! use cloverstile::{Settings, Time, ClassId, DestinationId, EndpointId, KindId, MessageId, TenantId, ZoneId};
//! use std::time::Duration;
//!
//! let class = Class { effect: Effect::Unsafe, ..Class::default() };
//! let settings = Settings { classes: vec![class], ..Settings::default() };
//! let mut courier = Courier::new(settings, 7);
//! let now = Time::ZERO + Duration::from_secs(1);
//! courier.handle(now, Event::Listed(Listing::Whole(vec![Endpoint {
//!     id: EndpointId(11), zone: ZoneId(0), kind: KindId(0), destination: DestinationId(3),
//!     mode: Mode::Ready, weight: 10.0,
//! }])));
//! courier.handle(now, Event::Accept(Accepted {
//!     id: MessageId(1), class: ClassId(0), destination: DestinationId(3), key: None,
//!     deadline: now + Duration::from_secs(20), from_dead_courier: false, tenant: TenantId(0),
//! }));
//! let mut actions = Vec::new();
//! courier.decide(now, &mut actions);
//! assert!(matches!(actions[0], Action::Route { message: MessageId(1), endpoint: EndpointId(11), .. }));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod choice;
mod due;
mod interface;
mod queues;
mod settings;
mod state;

pub use choice::{DestinationStatus, WaitReason};
pub use interface::*;
pub use settings::{parse_settings, parse_settings_json, ParsedSettings, SettingError};
pub use state::Courier;
