//! Distribution of configuration and endpoint state by scope, through a tree of relays: state machines without sockets,
//! clocks or disks. Time is an argument, messages go in and come out, and the same seed gives the same trace.
//!
//! A [`source::Source`] numbers the changes of one writer per epoch. A [`relay::Relay`] subscribes upstream to the
//! scopes that its own subscribers want and feeds them. A [`subscriber::Subscriber`] holds the state of its scopes.
//!
//! # Driving it
//!
//! A driver owns the sockets. It calls `connected` and `disconnected` as links come and go, `handle` with each
//! [`message::Message`] that [`codec`] decodes, `on_timeout` once `next_timeout` has passed, and after each of these sends
//! whatever `poll_output` returns, in that order. A link must keep the order of its messages, as a TCP connection does;
//! where it does not, the state machines report a typed error and begin a new session.
//!
//! # When a change is in force
//!
//! A change is *in force* at the moment from which no subscriber of its scope acts on what the change replaced: each of
//! them has acknowledged the change, or the lease under which it acted has run out. No wall clocks are compared:
//!
//! - A subscriber measures its lease on its own monotonic clock, from the moment it *sent* the renewal that an answer
//!   confirms. The answer says up to which position the subscriber is current, and for how long.
//! - The node that answers counts from the moment it *answered*, which is later, and adds [`limits::CLOCK_DRIFT_DIVISOR`].
//! - A relay hands on no more of a lease than is left of its own, so that a lease granted by the source covers the whole
//!   tree below it.
//!
//! Every answer given after a change has been numbered requires that change, so each change is in force at most
//! [`limits::LEASE`] plus drift after it was numbered, whatever is lost, slow, stopped or cut off.
//! `docs/design/distribution.md` has the alternatives that were weighed.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod admission;
pub mod codec;
pub mod digest;
pub mod error;
pub mod guards;
pub mod lease;
pub mod limits;
pub mod message;
pub mod position;
pub mod publisher;
pub mod relay;
pub mod scope;
pub mod source;
pub mod store;
pub mod subscriber;
pub mod time;
