//! A subscriber's session with its relay: what is expected next and what is waited for.

use std::collections::{BTreeSet, VecDeque};

use super::staging::StagedRepair;
use crate::limits::{MAX_RENEWALS_WAITING, RENEW_TIMEOUT, REQUEST_TIMEOUT, STALE_TIMEOUT};
use crate::message::{RenewalId, Sequence, SessionId};
use crate::scope::Scope;
use crate::time::Instant;

/// A renewal that waits for its answer.
#[derive(Clone, Debug)]
pub(super) struct Renewal {
    id: RenewalId,
    /// When it was sent.
    pub sent: Instant,
    /// The scopes that the lease is asked for.
    pub scopes: BTreeSet<Scope>,
}

/// The state of one session.
#[derive(Clone, Debug)]
pub(super) struct Session {
    /// Its number.
    pub id: SessionId,
    /// When it was begun.
    begun: Instant,
    /// When it last brought a frame or an answer.
    last_heard: Instant,
    /// When it last brought a lease, or a part of a state that is not complete yet.
    last_progress: Instant,
    /// The scopes that it was begun with.
    pub subscribed: BTreeSet<Scope>,
    /// Whether it was accepted.
    pub accepted: bool,
    /// The last frame that was taken in.
    pub received: Sequence,
    /// When the next renewal is due.
    pub renew_at: Instant,
    /// Buckets that are being replaced.
    pub repair: Option<StagedRepair>,
    /// Scopes whose repair has been asked for.
    pub repairs_asked: BTreeSet<Scope>,
    /// Scopes that were given up in this session; frames that were on their way may still have them.
    given_up: BTreeSet<Scope>,
    /// The answer to this renewal comes behind all frames with scopes that were given up.
    given_up_until: RenewalId,
    /// Whether the digests of all scopes have been asked for.
    pub digests_asked: bool,
    /// When it was first seen that something asked for has not come.
    pub missing_since: Option<Instant>,
    renewals: VecDeque<Renewal>,
    next_renewal: RenewalId,
}

impl Session {
    /// A session that is begun now.
    pub fn new(id: SessionId, now: Instant, subscribed: BTreeSet<Scope>) -> Self {
        Self {
            id,
            begun: now,
            last_heard: now,
            last_progress: now,
            subscribed,
            accepted: false,
            received: Sequence(0),
            renew_at: now,
            repair: None,
            repairs_asked: BTreeSet::new(),
            given_up: BTreeSet::new(),
            given_up_until: RenewalId(0),
            digests_asked: false,
            missing_since: None,
            renewals: VecDeque::new(),
            next_renewal: RenewalId(1),
        }
    }

    /// Notes a renewal that is sent now. None may be sent while too many wait.
    pub fn begin_renewal(&mut self, now: Instant, scopes: BTreeSet<Scope>) -> Option<RenewalId> {
        if self.renewals.len() >= MAX_RENEWALS_WAITING {
            return None;
        }
        let id = self.next_renewal;
        self.next_renewal = RenewalId(id.0 + 1);
        self.renewals.push_back(Renewal { id, sent: now, scopes });
        Some(id)
    }

    /// The renewal that is answered. It and earlier ones are not waited for any more.
    pub fn finish_renewal(&mut self, id: RenewalId) -> Option<Renewal> {
        let place = self.renewals.iter().position(|renewal| renewal.id == id)?;
        if id >= self.given_up_until {
            self.given_up.clear();
        }
        self.renewals.drain(..=place).next_back()
    }

    /// Notes scopes that are given up now.
    pub fn give_up(&mut self, scopes: &[Scope]) {
        self.given_up.extend(scopes);
        self.given_up_until = self.next_renewal;
    }

    /// Whether a scope was given up, and frames that were on their way may still have it.
    pub fn has_given_up(&self, scope: Scope) -> bool {
        self.given_up.contains(&scope)
    }

    /// Notes that the relay is there.
    pub fn note_heard(&mut self, now: Instant) {
        self.last_heard = now;
    }

    /// Notes that the relay brings the subscriber further.
    pub fn note_progress(&mut self, now: Instant) {
        self.last_heard = now;
        self.last_progress = now;
    }

    /// Whether what was asked for has to be asked for again.
    pub fn takes_too_long(&mut self, now: Instant) -> bool {
        let waits = self.digests_asked || !self.repairs_asked.is_empty();
        if !waits {
            self.missing_since = None;
            return false;
        }
        let since = *self.missing_since.get_or_insert(now);
        now.since(since) >= REQUEST_TIMEOUT
    }

    /// When the other side is given up on.
    pub fn gives_up_at(&self) -> Instant {
        let unanswered_since = match self.renewals.front() {
            Some(renewal) => Some(renewal.sent),
            None if !self.accepted => Some(self.begun),
            None => None,
        };
        // Who still sends frames is not silent: an answer may wait behind them.
        let unanswered = unanswered_since.map(|since| since.max(self.last_heard) + RENEW_TIMEOUT);
        let stale = self.last_progress + STALE_TIMEOUT;
        unanswered.map_or(stale, |at| at.min(stale))
    }
}
