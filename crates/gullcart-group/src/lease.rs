//! Both sides of a lease: [`Lease`] tells a member until when it may act on its duties, and [`LeaseMonitor`] tells a voter when a
//! member's lease has certainly run out. They use different clocks; correctness only requires that the voter's timeout is
//! longer than the member's lease, whatever the drift of the clocks.

use crate::table::{Session, Table};
use crate::types::{HeartbeatNumber, Incarnation, LeaseTerms, MemberId, Moment};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Maximum number of heartbeats in flight that a member remembers.
const MAX_UNACKNOWLEDGED: usize = 64;

/// Safety checks of a member's lease that tests can disable.
#[cfg(feature = "unguarded")]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct DisabledGuards {
    /// The lease starts when the response arrives instead of when the heartbeat was sent.
    pub start_at_response: bool,
    /// The lease is not checked before an action.
    pub skip_check: bool,
}

/// The lease of one incarnation of a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    incarnation: Incarnation,
    last_sent: HeartbeatNumber,
    /// Heartbeats that the group has not acknowledged yet, with the times at which they were sent.
    unacknowledged: VecDeque<(HeartbeatNumber, Moment)>,
    until: Option<Moment>,
    #[cfg(feature = "unguarded")]
    #[serde(skip)]
    disabled_guards: DisabledGuards,
}

impl Lease {
    /// Creates a lease that is not valid yet.
    pub fn new(incarnation: Incarnation) -> Self {
        Lease {
            incarnation,
            last_sent: HeartbeatNumber(0),
            unacknowledged: VecDeque::new(),
            until: None,
            #[cfg(feature = "unguarded")]
            disabled_guards: DisabledGuards::default(),
        }
    }

    /// Disables safety checks, for tests.
    #[cfg(feature = "unguarded")]
    pub fn disable_guards(&mut self, disabled_guards: DisabledGuards) {
        self.disabled_guards = disabled_guards;
    }

    /// Registers a heartbeat that is about to be sent, and returns its number.
    pub fn record_heartbeat(&mut self, now: Moment) -> HeartbeatNumber {
        self.last_sent.0 += 1;
        if self.unacknowledged.len() >= MAX_UNACKNOWLEDGED {
            self.unacknowledged.pop_front();
        }
        self.unacknowledged.push_back((self.last_sent, now));
        self.last_sent
    }

    /// Extends the lease by the last heartbeat that the group has acknowledged. Ends it if the member has no session.
    pub fn acknowledge(&mut self, now: Moment, session: Option<Session>, terms: &LeaseTerms) {
        let Some(session) = session.filter(|session| session.incarnation == self.incarnation) else {
            // The session has expired, or belongs to an earlier incarnation.
            self.until = None;
            return;
        };
        let mut sent_at = None;
        while let Some((number, at)) =
            self.unacknowledged.front().copied().filter(|(number, _)| *number <= session.heartbeat)
        {
            self.unacknowledged.pop_front();
            if number == session.heartbeat {
                sent_at = Some(at);
            }
        }
        #[cfg(feature = "unguarded")]
        if self.disabled_guards.start_at_response && sent_at.is_some() {
            sent_at = Some(now);
        }
        // Only read above if a check is disabled.
        let _ = now;
        if let Some(at) = sent_at {
            // Counted from before the heartbeat was sent; voters count from when they observed it, which is later.
            self.until = self.until.max(Some(at + terms.duration));
        }
    }

    /// Whether the member may act on its duties now.
    pub fn is_valid(&self, now: Moment) -> bool {
        let in_time = self.until.is_some_and(|end| now < end);
        #[cfg(feature = "unguarded")]
        let in_time = in_time || self.disabled_guards.skip_check;
        in_time
    }

    /// When the lease ends; `None` if there is none.
    pub fn until(&self) -> Option<Moment> {
        self.until
    }

    /// The incarnation that owns the lease.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// When the oldest unacknowledged heartbeat was sent.
    pub fn oldest_unacknowledged(&self) -> Option<Moment> {
        self.unacknowledged.front().map(|(_, at)| *at)
    }

    /// Stops waiting for the acknowledgement of heartbeats sent so far.
    pub fn clear_unacknowledged(&mut self) {
        self.unacknowledged.clear();
    }
}

/// A voter's record of the members' heartbeats.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LeaseMonitor {
    /// The last heartbeat of each session, and when this voter first observed it in its table.
    last_heartbeats: BTreeMap<MemberId, (Session, Moment)>,
}

impl LeaseMonitor {
    /// Records new heartbeats in the table. Each was sent before it was observed here, so counting from `now` is safe.
    pub fn observe(&mut self, now: Moment, table: &Table) {
        self.last_heartbeats.retain(|member, _| table.session(*member).is_some());
        for (member, session) in table.sessions() {
            if self.last_heartbeats.get(&member).is_none_or(|(known_session, _)| *known_session != session) {
                self.last_heartbeats.insert(member, (session, now));
            }
        }
    }

    /// Restarts the timeout of every member: the voter may have been suspended and missed heartbeats.
    pub fn restart_all(&mut self, now: Moment) {
        self.last_heartbeats.values_mut().for_each(|(_, at)| *at = now);
    }

    /// Members whose leases have run out, with the last heartbeat that was observed of each.
    pub fn expired(&self, now: Moment, timeout: Duration) -> Vec<(MemberId, Session)> {
        let expired = self.last_heartbeats.iter().filter(|(_, (_, at))| now - *at > timeout);
        expired.map(|(member, (session, _))| (*member, *session)).collect()
    }
}
