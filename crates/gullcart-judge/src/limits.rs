//! The limits and class properties that the rules are checked with.

use std::time::Duration;

/// The effect of a repeated call at its partner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Harmless to repeat.
    Safe,
    /// The partner ignores a repeat that carries the same idempotency key within this time after the first call.
    Keyed {
        /// How long the partner remembers the idempotency key.
        window: Duration,
    },
    /// Must never take effect twice.
    Unsafe,
}

/// The properties of a class that the rules depend on.
#[derive(Clone, Copy, Debug)]
pub struct ClassRules {
    /// The effect of a repeated call.
    pub effect: Effect,
    /// Whether messages with the same order key are delivered one at a time and in order.
    pub in_order: bool,
}

/// The limits that the rules are checked with. [`RuleLimits::new`] sets those of the protocol's documentation.
#[derive(Clone, Debug)]
pub struct RuleLimits {
    /// The classes, indexed by [`ClassId`](crate::trace::ClassId).
    pub classes: Vec<ClassRules>,
    /// How long after its deadline a message without delivery or notice counts as lost.
    pub deadline_slack: Duration,
    /// Time that a courier gets for overdue notices after it became available again.
    pub ready_slack: Duration,
    /// Time within which the failure of an undeliverable message has to be reported. An answered notice may also be
    /// repeated for this long, as the answer may not have arrived yet.
    pub max_notice_delay: Duration,
    /// How long after the report of a drain calls to the endpoint may still start.
    pub drain_grace: Duration,
    /// Tolerance for the transmission over sockets, in favour of the courier: it extends upper limits and shortens
    /// `order_settle_time`.
    pub socket_slack: Duration,
    /// How long after a retry-after answer calls are tolerated, as they may have been sent before it arrived.
    pub retry_after_grace: Duration,
    /// A partner in slow start collapses at more than this multiple of its present capacity, averaged over
    /// `collapse_window`.
    pub collapse_multiple: f64,
    /// The window over which the load of a partner in slow start is averaged.
    pub collapse_window: Duration,
    /// How long the next message with the same order key has to wait after a call was timed out, reset or cancelled.
    pub order_settle_time: Duration,
}

impl RuleLimits {
    /// The limits of the protocol's documentation, for the given classes.
    pub fn new(classes: Vec<ClassRules>) -> Self {
        RuleLimits {
            classes,
            deadline_slack: Duration::from_millis(300),
            ready_slack: Duration::from_millis(1500),
            max_notice_delay: Duration::from_millis(1000),
            drain_grace: Duration::from_millis(2000),
            socket_slack: Duration::from_millis(50),
            retry_after_grace: Duration::from_millis(100),
            collapse_multiple: 2.5,
            collapse_window: Duration::from_millis(2000),
            order_settle_time: Duration::from_millis(100),
        }
    }
}
