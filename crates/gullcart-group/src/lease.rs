//! The two sides of a lease: the member that counts how long it may act, and the voter that waits until it surely may not any
//! more. Each has its own clock; that the second waits for longer than the first counts is all that is asked of both.

use crate::table::{Session, Table};
use crate::types::{HeartbeatNumber, Incarnation, LeaseTerms, MemberId, Moment};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Signs of life that may be on their way.
const MAX_UNACKNOWLEDGED: usize = 64;

/// Guards of a member's lease that a test can take out.
#[cfg(feature = "unguarded")]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct DisabledGuards {
    /// The lease is counted from when the answer came.
    pub start_at_response: bool,
    /// The lease is not looked at before an act.
    pub skip_check: bool,
}

/// How long one start of a member may act on what it holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    incarnation: Incarnation,
    last_sent: HeartbeatNumber,
    /// Signs of life that were not heard of yet, and when they were given.
    unacknowledged: VecDeque<(HeartbeatNumber, Moment)>,
    until: Option<Moment>,
    #[cfg(feature = "unguarded")]
    #[serde(skip)]
    disabled_guards: DisabledGuards,
}

impl Lease {
    /// None yet.
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

    /// Takes some guards out.
    #[cfg(feature = "unguarded")]
    pub fn disable_guards(&mut self, disabled_guards: DisabledGuards) {
        self.disabled_guards = disabled_guards;
    }

    /// A sign of life is given now: its number, which goes out after this.
    pub fn record_heartbeat(&mut self, now: Moment) -> HeartbeatNumber {
        self.last_sent.0 += 1;
        if self.unacknowledged.len() >= MAX_UNACKNOWLEDGED {
            self.unacknowledged.pop_front();
        }
        self.unacknowledged.push_back((self.last_sent, now));
        self.last_sent
    }

    /// The group says which sign of life it heard last; none where this member has no session.
    pub fn acknowledge(&mut self, now: Moment, session: Option<Session>, terms: &LeaseTerms) {
        let Some(session) = session.filter(|session| session.incarnation == self.incarnation) else {
            // It is over, or is that of the start before.
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
        let _ = now;
        if let Some(at) = sent_at {
            // From before it was given: the voters count from later.
            self.until = self.until.max(Some(at + terms.duration));
        }
    }

    /// Whether what is held may be acted on now.
    pub fn is_valid(&self, now: Moment) -> bool {
        let in_time = self.until.is_some_and(|end| now < end);
        #[cfg(feature = "unguarded")]
        let in_time = in_time || self.disabled_guards.skip_check;
        in_time
    }

    /// Until when.
    pub fn until(&self) -> Option<Moment> {
        self.until
    }

    /// In which life.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Since when the oldest sign of life waits to be heard of.
    pub fn oldest_unacknowledged(&self) -> Option<Moment> {
        self.unacknowledged.front().map(|(_, at)| *at)
    }

    /// What was given so far is not waited for any more.
    pub fn clear_unacknowledged(&mut self) {
        self.unacknowledged.clear();
    }
}

/// What a voter knows of members' signs of life.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LeaseMonitor {
    /// The last sign of life of each session, and when it was in the table here.
    last_heartbeats: BTreeMap<MemberId, (Session, Moment)>,
}

impl LeaseMonitor {
    /// Looks at the table as it is here now. When a sign of life has come into it, it had been given before.
    pub fn observe(&mut self, now: Moment, table: &Table) {
        self.last_heartbeats.retain(|member, _| table.session(*member).is_some());
        for (member, session) in table.sessions() {
            if self.last_heartbeats.get(&member).is_none_or(|(known_session, _)| *known_session != session) {
                self.last_heartbeats.insert(member, (session, now));
            }
        }
    }

    /// The voter may have slept: each member gets a whole lease from here.
    pub fn restart_all(&mut self, now: Moment) {
        self.last_heartbeats.values_mut().for_each(|(_, at)| *at = now);
    }

    /// Members whose leases have run out, with the sign of life that they ran from.
    pub fn expired(&self, now: Moment, timeout: Duration) -> Vec<(MemberId, Session)> {
        let expired = self.last_heartbeats.iter().filter(|(_, (_, at))| now - *at > timeout);
        expired.map(|(member, (session, _))| (*member, *session)).collect()
    }
}
