//! The figures that the rules are judged by.

use std::time::Duration;

/// What a repeated call may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Harmless to repeat.
    Safe,
    /// Its partner drops a repeat that carries the same key within this time of the first.
    Keyed {
        /// How long the key is remembered.
        window: Duration,
    },
    /// Must never take effect twice.
    Unsafe,
}

/// What the rules need to know of a class.
#[derive(Clone, Copy, Debug)]
pub struct ClassRules {
    /// What a repeat does.
    pub effect: Effect,
    /// Whether messages with one key go one at a time, in their order.
    pub in_order: bool,
}

/// The figures of the rules. [`Figures::new`] has those of the protocol page.
#[derive(Clone, Debug)]
pub struct Figures {
    /// By [`ClassId`].
    pub classes: Vec<ClassRules>,
    /// An end is overdue so long after its message's time.
    pub end_slack: Duration,
    /// ... but not before a courier that was restarted has been ready for so long.
    pub ready_slack: Duration,
    /// What has been given up is told within this time.
    pub at_once: Duration,
    /// Nothing new goes to an endpoint so long after its courier was told that it drains.
    pub drain_grace: Duration,
    /// Each time limit is so much longer on sockets.
    pub socket_slack: Duration,
    /// Calls that come so soon after a told wait are let through.
    pub wait_crossing: Duration,
    /// A cold partner is pushed over by more than this multiple of what it can do, ...
    pub fall_multiple: f64,
    /// ... for this long.
    pub fall_window: Duration,
    /// A key rests so long after a time-out, reset or cancel.
    pub order_settle: Duration,
}

impl Figures {
    /// The figures of the protocol page, for some classes.
    pub fn new(classes: Vec<ClassRules>) -> Self {
        Figures {
            classes,
            end_slack: Duration::from_millis(300),
            ready_slack: Duration::from_millis(1500),
            at_once: Duration::from_millis(1000),
            drain_grace: Duration::from_millis(2000),
            socket_slack: Duration::from_millis(50),
            wait_crossing: Duration::from_millis(100),
            fall_multiple: 2.5,
            fall_window: Duration::from_millis(2000),
            order_settle: Duration::from_millis(100),
        }
    }
}
