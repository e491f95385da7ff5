//! The two sides of a lease: the member that counts how long it may act, and the voter that waits until it surely may not any
//! more. Each has its own clock; that the second waits for longer than the first counts is all that is asked of both.

use crate::table::{Session, Table};
use crate::vocabulary::{Beat, Life, MemberId, Moment, Terms};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Signs of life that may be on their way.
const MOST_SENT: usize = 64;

/// Guards of a member's lease that a test can take out.
#[cfg(feature = "unguarded")]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Unguarded {
    /// The lease is counted from when the answer came.
    pub counts_from_answer: bool,
    /// The lease is not looked at before an act.
    pub no_check: bool,
}

/// How long one start of a member may act on what it holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    life: Life,
    last: Beat,
    /// Signs of life that were not heard of yet, and when they were given.
    sent: VecDeque<(Beat, Moment)>,
    until: Option<Moment>,
    #[cfg(feature = "unguarded")]
    #[serde(skip)]
    unguarded: Unguarded,
}

impl Lease {
    /// None yet.
    pub fn new(life: Life) -> Self {
        Lease {
            life,
            last: Beat(0),
            sent: VecDeque::new(),
            until: None,
            #[cfg(feature = "unguarded")]
            unguarded: Unguarded::default(),
        }
    }

    /// Takes some guards out.
    #[cfg(feature = "unguarded")]
    pub fn guard(&mut self, unguarded: Unguarded) {
        self.unguarded = unguarded;
    }

    /// A sign of life is given now: its number, which goes out after this.
    pub fn give(&mut self, now: Moment) -> Beat {
        self.last.0 += 1;
        if self.sent.len() >= MOST_SENT {
            self.sent.pop_front();
        }
        self.sent.push_back((self.last, now));
        self.last
    }

    /// The group says which sign of life it heard last; none where this member has no session.
    pub fn told(&mut self, now: Moment, session: Option<Session>, terms: &Terms) {
        let Some(session) = session.filter(|session| session.life == self.life) else {
            // It is over, or is that of the start before.
            self.until = None;
            return;
        };
        let mut given = None;
        while let Some((number, at)) =
            self.sent.front().copied().filter(|(number, _)| *number <= session.beat)
        {
            self.sent.pop_front();
            if number == session.beat {
                given = Some(at);
            }
        }
        #[cfg(feature = "unguarded")]
        if self.unguarded.counts_from_answer && given.is_some() {
            given = Some(now);
        }
        let _ = now;
        if let Some(at) = given {
            // From before it was given: the voters count from later.
            self.until = self.until.max(Some(at + terms.lease));
        }
    }

    /// Whether what is held may be acted on now.
    pub fn holds(&self, now: Moment) -> bool {
        let in_time = self.until.is_some_and(|end| now < end);
        #[cfg(feature = "unguarded")]
        let in_time = in_time || self.unguarded.no_check;
        in_time
    }

    /// Until when.
    pub fn until(&self) -> Option<Moment> {
        self.until
    }

    /// In which life.
    pub fn life(&self) -> Life {
        self.life
    }

    /// Since when the oldest sign of life waits to be heard of.
    pub fn waits_since(&self) -> Option<Moment> {
        self.sent.front().map(|(_, at)| *at)
    }

    /// What was given so far is not waited for any more.
    pub fn forget_sent(&mut self) {
        self.sent.clear();
    }
}

/// What a voter knows of members' signs of life.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Watch {
    /// The last sign of life of each session, and when it was in the table here.
    heard: BTreeMap<MemberId, (Session, Moment)>,
}

impl Watch {
    /// Looks at the table as it is here now. When a sign of life has come into it, it had been given before.
    pub fn look(&mut self, now: Moment, table: &Table) {
        self.heard.retain(|member, _| table.session(*member).is_some());
        for (member, session) in table.sessions() {
            if self.heard.get(&member).is_none_or(|(known, _)| *known != session) {
                self.heard.insert(member, (session, now));
            }
        }
    }

    /// The voter may have slept: each member gets a whole lease from here.
    pub fn begin_anew(&mut self, now: Moment) {
        self.heard.values_mut().for_each(|(_, at)| *at = now);
    }

    /// Members whose leases have run out, with the sign of life that they ran from.
    pub fn over(&self, now: Moment, patience: Duration) -> Vec<(MemberId, Session)> {
        let over = self.heard.iter().filter(|(_, (_, at))| now - *at > patience);
        over.map(|(member, (session, _))| (*member, *session)).collect()
    }
}
