//! A subscriber's session, as the publisher sees it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::feed::Feed;
use super::window::{Settlement, Window};
use crate::digest::{BucketDigests, BucketSet, Digest};
use crate::lease::{Grant, Grants};
use crate::limits::{DIGESTS_PER_MESSAGE, FRAME_BYTES, FRAME_INTERVAL, LEASE};
use crate::message::{
    Frame, Message, NotRenewed, Part, Progress, Renew, Renewed, ScopeDigest, ScopeDigests, Sequence,
    SessionId,
};
use crate::position::Position;
use crate::scope::Scope;
use crate::store::{Collected, Query};
use crate::time::Instant;

/// A repair of which some frames were sent.
#[derive(Clone, Debug)]
struct RepairUnderWay {
    scope: Scope,
    buckets: BucketSet,
    cursor: Position,
    /// Removals are of use to the subscriber only if made after this.
    removals_after: Position,
}

/// The state of one session.
#[derive(Clone, Debug)]
pub(super) struct Session {
    pub id: SessionId,
    pub scopes: BTreeSet<Scope>,
    pub history: bool,
    /// Whether an admitted snapshot is under way.
    pub in_snapshot: bool,
    /// Where the last frame or renewal ended.
    pub sent: Position,
    /// Changes after `sent` may wait.
    pub dirty: bool,
    /// The last frame was not a complete one.
    pub mid_transfer: bool,
    removals_after: Position,
    last_sequence: Sequence,
    pub window: Window,
    pub settlement: Settlement,
    pub grants: Grants,
    repairs: BTreeMap<Scope, BucketDigests>,
    repair: Option<RepairUnderWay>,
    /// Frames with changes go out no earlier.
    pub next_frame_at: Instant,
}

impl Session {
    /// A session that goes on from `resume`, or begins with a snapshot.
    pub fn new(
        id: SessionId,
        scopes: BTreeSet<Scope>,
        history: bool,
        resume: Option<Position>,
        feed: Feed<'_>,
    ) -> Self {
        let removals_after = match resume {
            Some(position) => position,
            None if history => feed.store.floor(),
            None => feed.head,
        };
        let sent = resume.unwrap_or(Position::ORIGIN);
        Self {
            id,
            scopes,
            history,
            in_snapshot: resume.is_none(),
            sent,
            dirty: true,
            // The first complete frame also ends what an earlier session may have left incomplete.
            mid_transfer: true,
            removals_after,
            last_sequence: Sequence(0),
            window: Window::default(),
            settlement: Settlement::new(sent),
            grants: Grants::default(),
            repairs: BTreeMap::new(),
            repair: None,
            next_frame_at: Instant::default(),
        }
    }

    /// Whether all removals are still known that the subscriber has not been sent.
    pub fn has_all_removals(&self, feed: Feed<'_>) -> bool {
        self.sent.max(self.removals_after) >= feed.store.floor()
    }

    /// Whether the session can go on when the state was replaced or has a new lineage.
    pub fn can_go_on(&self, feed: Feed<'_>) -> bool {
        self.has_all_removals(feed) && feed.lineage.contains(self.sent) && self.sent <= feed.head
    }

    /// Notes that changes after `head_before` wait.
    pub fn mark_dirty(&mut self, head_before: Position) {
        if !self.dirty && self.settlement.is_settled() {
            self.settlement.pass(head_before);
        }
        self.dirty = true;
    }

    /// Up to where changes are in force at the subscriber and below it.
    pub fn in_force(&self, now: Instant, head: Position) -> Position {
        let Some(earliest_lease) = self.grants.earliest(now) else {
            return head;
        };
        self.settled(head).max(earliest_lease)
    }

    /// Up to where the subscriber has acknowledged that changes are in force.
    pub fn settled(&self, head: Position) -> Position {
        let idle = !self.dirty && self.settlement.is_settled();
        if idle {
            head
        } else {
            self.settlement.position()
        }
    }

    /// Takes in what the subscriber says of itself.
    pub fn note_progress(&mut self, progress: Progress) {
        self.window.acknowledge(progress.received);
        self.settlement.acknowledge(progress.in_force);
    }

    /// Notes a repair that is asked for.
    pub fn request_repair(&mut self, scope: Scope, digests: Option<BucketDigests>) {
        self.repairs.insert(scope, digests.unwrap_or_default());
    }

    /// Forgets the repair of a scope that is given up.
    pub fn cancel_repair(&mut self, scope: Scope) {
        self.repairs.remove(&scope);
    }

    /// The next frame, of changes or of a repair, if there is one to send.
    pub fn next_frame(&mut self, now: Instant, feed: Feed<'_>) -> Option<Frame> {
        if self.dirty {
            let frame = self.next_changes(now, feed);
            if frame.is_some() {
                return frame;
            }
        }
        self.next_repair(feed)
    }

    fn next_changes(&mut self, now: Instant, feed: Feed<'_>) -> Option<Frame> {
        let collected = feed.store.collect(Query {
            scopes: &self.scopes,
            buckets: BucketSet::ALL,
            after: self.sent,
            removals_after: self.removals_after,
            limit_bytes: FRAME_BYTES,
        });
        self.dirty = !collected.complete;
        if collected.complete && collected.changes.is_empty() && !self.mid_transfer {
            return None;
        }
        let upto = end_of(&collected, feed.head);
        let after = std::mem::replace(&mut self.sent, upto);
        self.mid_transfer = !collected.complete;
        self.settlement.push(upto);
        self.next_frame_at = now + FRAME_INTERVAL;
        Some(self.frame(Part::Subscription, after, upto, collected))
    }

    /// A repair ends where the subscriber's state does, so it waits until that is current.
    fn next_repair(&mut self, feed: Feed<'_>) -> Option<Frame> {
        if self.dirty || self.mid_transfer {
            return None;
        }
        let mut repair = match self.repair.take() {
            Some(repair) => repair,
            None => self.begin_repair(feed)?,
        };
        let scopes = BTreeSet::from([repair.scope]);
        let collected = feed.store.collect(Query {
            scopes: &scopes,
            buckets: repair.buckets,
            after: repair.cursor,
            removals_after: repair.removals_after,
            limit_bytes: FRAME_BYTES,
        });
        let upto = end_of(&collected, self.sent);
        let part = Part::Buckets { scope: repair.scope, buckets: repair.buckets };
        let after = std::mem::replace(&mut repair.cursor, upto);
        if !collected.complete {
            self.repair = Some(repair);
        }
        Some(self.frame(part, after, upto, collected))
    }

    fn begin_repair(&mut self, feed: Feed<'_>) -> Option<RepairUnderWay> {
        let scope = self.repairs.keys().copied().find(|scope| feed.holds(*scope))?;
        let digests = self.repairs.remove(&scope)?;
        let mut buckets = BucketSet::differing(&digests, &feed.store.buckets(scope));
        let mut removals_after = feed.head;
        if self.history {
            // Where all keys were removed, digests do not differ, but the removals are needed.
            buckets = buckets.union(BucketSet::empty_in(&digests));
            removals_after = Position::ORIGIN;
        }
        Some(RepairUnderWay { scope, buckets, cursor: Position::ORIGIN, removals_after })
    }

    fn frame(&mut self, part: Part, after: Position, upto: Position, collected: Collected) -> Frame {
        self.last_sequence = Sequence(self.last_sequence.0 + 1);
        let frame = Frame {
            session: self.id,
            sequence: self.last_sequence,
            part,
            after,
            upto,
            complete: collected.complete,
            changes: collected.changes,
        };
        self.window.push(self.last_sequence, collected.bytes);
        frame
    }

    /// Answers a renewal. A lease is granted only if all changes were sent.
    pub fn answer_renewal(&mut self, now: Instant, renew: &Renew, feed: Feed<'_>) -> Message {
        let offer = self.offer(now, &renew.without, feed);
        let is_current = !self.dirty && !self.mid_transfer;
        if !is_current || (offer.leased == 0 && !offer.not_leased.is_empty()) {
            return Message::NotRenewed(NotRenewed { session: self.id, renewal: renew.renewal });
        }
        self.grants.push(Grant::new(feed.head, now, offer.valid_for), now);
        let after = std::mem::replace(&mut self.sent, feed.head);
        Message::Renewed(Renewed {
            session: self.id,
            renewal: renew.renewal,
            sequence: self.last_sequence,
            after,
            upto: feed.head,
            valid_for_micros: u32::try_from(offer.valid_for.as_micros()).unwrap_or(u32::MAX),
            not_leased: offer.not_leased,
            digest: offer.digest,
        })
    }

    fn offer(&self, now: Instant, without: &[Scope], feed: Feed<'_>) -> LeaseOffer {
        let without: BTreeSet<Scope> = without.iter().copied().collect();
        let mut offer =
            LeaseOffer { valid_for: LEASE, leased: 0, not_leased: Vec::new(), digest: Digest::default() };
        for scope in self.scopes.difference(&without) {
            match feed.lease_left(*scope, now).filter(|_| feed.holds(*scope)) {
                Some(left) => {
                    offer.leased += 1;
                    offer.valid_for = offer.valid_for.min(left);
                    offer.digest.insert(Digest::of_scope(*scope, feed.store.digest(*scope)));
                }
                None => offer.not_leased.push(*scope),
            }
        }
        offer
    }

    /// The digests of all scopes that are here and sound; none while changes wait, as they could not be compared.
    pub fn scope_digests(&self, feed: Feed<'_>) -> Vec<Message> {
        let is_current = !self.dirty && !self.mid_transfer;
        let listed = self.scopes.iter().filter(|scope| is_current && feed.holds(**scope));
        let digests: Vec<ScopeDigest> =
            listed.map(|scope| ScopeDigest { scope: *scope, digest: feed.store.digest(*scope) }).collect();
        let message = |digests: &[ScopeDigest]| {
            let digests = digests.to_vec();
            Message::ScopeDigests(ScopeDigests { session: self.id, at: self.sent, digests })
        };
        if digests.is_empty() {
            return vec![message(&[])];
        }
        digests.chunks(DIGESTS_PER_MESSAGE).map(message).collect()
    }
}

/// What a lease can be granted on.
struct LeaseOffer {
    valid_for: Duration,
    leased: usize,
    not_leased: Vec<Scope>,
    digest: Digest,
}

fn end_of(collected: &Collected, end_of_state: Position) -> Position {
    match collected.changes.last() {
        Some(change) if !collected.complete => change.position,
        _ => end_of_state,
    }
}
