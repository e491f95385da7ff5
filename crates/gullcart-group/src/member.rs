//! The member side of the group. A member requests duties, sends heartbeats while it holds any, and counts its lease from before
//! it sent each acknowledged heartbeat, on a clock that also runs while the machine is suspended.

use crate::lease::Lease;
use crate::message::{MemberRequest, MemberView, WatchedDuty, MAX_WATCHED_DUTIES};
use crate::table::Note;
use crate::types::{Duty, Epoch, Incarnation, LeaseTerms, MemberId, Moment, Payload};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// A duty that became free is claimed after a random part of this delay, because all members that want it learn of it at once.
const MAX_CLAIM_JITTER: Duration = Duration::from_millis(60);
/// Additional delay of a claim for each duty that is already held, so that duties spread over the members.
const CLAIM_DELAY_PER_HELD_DUTY: Duration = Duration::from_millis(40);
/// Maximum of the additional delay for duties that are already held.
const MAX_HELD_DUTIES_DELAY: Duration = Duration::from_millis(400);
/// Minimum time after which a claim is sent again if it was lost or another member won. Also the maximum delay of the release of
/// a duty that was granted after its request was withdrawn.
const CLAIM_RETRY_INTERVAL: Duration = Duration::from_millis(350);
/// Number of lease durations after which a voter is asked for the current state again, and after which a voter that is silent or
/// gets nothing decided is replaced by the next one.
const REFRESH_LEASES: u32 = 2;

/// Safety checks of a member that tests can disable.
#[cfg(feature = "unguarded")]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DisabledGuards {
    /// The checks of its lease.
    pub lease: crate::lease::DisabledGuards,
    /// Views are applied in the order in which they arrive, even if they are older than the last one.
    pub accept_old_views: bool,
}

/// A duty that this member wants to hold.
#[derive(Clone, Copy, Debug)]
struct RequestedDuty {
    /// When to claim the duty if it is still free by then; `None` while another member holds it.
    claim_at: Option<Moment>,
    /// The duty was yielded and must not be claimed before this time.
    yielded_until: Moment,
}

/// The last reported state of a requested duty.
#[derive(Clone, Debug, Default)]
struct ObservedDuty {
    holder: Option<(MemberId, Epoch)>,
    /// The last note, and the latest time at which it can have been decided.
    note: Option<(Note, Moment)>,
}

/// A duty that this member holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct HeldDuty {
    epoch: Epoch,
    /// The duty is being released.
    is_releasing: bool,
}

/// The state of a stopped member, for the process that continues it in the same incarnation.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberHandover {
    lease: Lease,
    /// The version of the last view.
    version: u64,
    requested_duties: Vec<Duty>,
    held_duties: BTreeMap<Duty, HeldDuty>,
    is_superseded: bool,
}

impl MemberHandover {
    /// The duties that the member wanted to hold.
    pub fn requested_duties(&self) -> &[Duty] {
        &self.requested_duties
    }

    /// Whether the state can stem from this clock: its lease must not end later than a new one would.
    fn is_plausible(&self, now: Moment, terms: &LeaseTerms) -> bool {
        self.lease.until().is_none_or(|until| until <= now + terms.duration)
            && self.requested_duties.len().max(self.held_duties.len()) <= MAX_WATCHED_DUTIES
    }
}

/// One incarnation of a member of the group.
pub struct Member {
    me: MemberId,
    incarnation: Incarnation,
    terms: LeaseTerms,
    voters: Vec<MemberId>,
    /// Index of the voter that is asked.
    voter_index: usize,
    rng: fastrand::Rng,
    lease: Lease,
    /// The version of the last view.
    version: u64,
    requested_duties: BTreeMap<Duty, RequestedDuty>,
    held_duties: BTreeMap<Duty, HeldDuty>,
    /// The last reported state of the requested duties.
    observed_duties: BTreeMap<Duty, ObservedDuty>,
    /// Notes about held duties that are not decided yet.
    unpublished_notes: BTreeMap<Duty, Payload>,
    /// When to send the next heartbeat, while a duty is held.
    next_heartbeat: Moment,
    /// When to ask the voter for the current state at the latest.
    next_refresh: Moment,
    /// When a voter last answered, other than one that gets nothing decided; reset when the voter is replaced.
    last_contact: Moment,
    /// A newer incarnation of this member exists.
    is_superseded: bool,
    #[cfg(feature = "unguarded")]
    disabled_guards: DisabledGuards,
}

impl Member {
    /// Creates a member that requests no duties yet.
    pub fn new(
        me: MemberId,
        incarnation: Incarnation,
        voters: &[MemberId],
        terms: LeaseTerms,
        seed: u64,
        now: Moment,
    ) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        // A voter asks itself; other members are spread over the voters.
        let own = voters.iter().position(|voter| *voter == me);
        let voter_index = own.unwrap_or_else(|| rng.usize(0..voters.len().max(1)));
        Member {
            me,
            incarnation,
            terms,
            voters: voters.to_vec(),
            voter_index,
            rng,
            lease: Lease::new(incarnation),
            version: 0,
            requested_duties: BTreeMap::new(),
            held_duties: BTreeMap::new(),
            observed_duties: BTreeMap::new(),
            unpublished_notes: BTreeMap::new(),
            next_heartbeat: now,
            next_refresh: now,
            last_contact: now,
            is_superseded: false,
            #[cfg(feature = "unguarded")]
            disabled_guards: DisabledGuards::default(),
        }
    }

    /// Returns the state for the process that continues this member. This one must not act after that.
    pub fn hand_over(&self) -> MemberHandover {
        MemberHandover {
            lease: self.lease.clone(),
            version: self.version,
            requested_duties: self.requested_duties.keys().cloned().collect(),
            held_duties: self.held_duties.clone(),
            is_superseded: self.is_superseded,
        }
    }

    /// Continues a stopped member, on the same clock and in the same incarnation. Returns false if the state cannot stem from
    /// it. The next poll sends a heartbeat at once, as none was sent in the meantime.
    pub fn resume(&mut self, handover: MemberHandover, now: Moment) -> bool {
        if handover.lease.incarnation() != self.incarnation || !handover.is_plausible(now, &self.terms) {
            return false;
        }
        let MemberHandover { lease, version, requested_duties, held_duties, is_superseded } = handover;
        self.lease = lease;
        self.version = version;
        self.held_duties = held_duties;
        self.is_superseded = is_superseded;
        for duty in requested_duties {
            self.request(now, &duty);
        }
        true
    }

    /// Disables safety checks, for tests.
    #[cfg(feature = "unguarded")]
    pub fn with_guards_disabled(mut self, disabled_guards: DisabledGuards) -> Self {
        self.lease.disable_guards(disabled_guards.lease);
        self.disabled_guards = disabled_guards;
        self
    }

    /// Requests a duty from now on. Returns false if too many are requested.
    pub fn request(&mut self, now: Moment, duty: &Duty) -> bool {
        if self.requested_duties.contains_key(duty) {
            return true;
        }
        if self.requested_duties.len() >= MAX_WATCHED_DUTIES {
            return false;
        }
        let claim_at = Some(self.next_claim_time(now));
        self.requested_duties
            .insert(duty.clone(), RequestedDuty { claim_at, yielded_until: Moment::default() });
        self.next_refresh = now;
        true
    }

    /// Withdraws the request for a duty, and releases the duty if it is held.
    pub fn release(&mut self, now: Moment, duty: &Duty) {
        self.requested_duties.remove(duty);
        self.observed_duties.remove(duty);
        self.unpublished_notes.remove(duty);
        if let Some(held) = self.held_duties.get_mut(duty) {
            held.is_releasing = true;
            self.next_refresh = now;
        }
    }

    /// Releases a duty if it is held, and does not claim it again before `cooldown` has passed. The request stays.
    pub fn yield_duty(&mut self, now: Moment, duty: &Duty, cooldown: Duration) {
        if let Some(requested) = self.requested_duties.get_mut(duty) {
            requested.yielded_until = now + cooldown;
            requested.claim_at = requested.claim_at.map(|at| at.max(now + cooldown));
        }
        if let Some(held) = self.held_duties.get_mut(duty) {
            held.is_releasing = true;
            self.next_refresh = now;
        }
    }

    /// Publishes a note about a held duty to all members that request it.
    pub fn publish_note(&mut self, now: Moment, duty: &Duty, payload: Payload) {
        let is_new = self.unpublished_notes.get(duty) != Some(&payload);
        if is_new && self.held_duties.get(duty).is_some_and(|held| !held.is_releasing) {
            self.unpublished_notes.insert(duty.clone(), payload);
            self.next_refresh = now;
        }
    }

    /// The last note about a requested duty, and the latest time at which it can have been decided.
    pub fn note(&self, duty: &Duty) -> Option<(&Note, Moment)> {
        let (note, at) = self.observed_duties.get(duty)?.note.as_ref()?;
        Some((note, *at))
    }

    /// Releases all duties, before the process ends.
    pub fn release_all(&mut self, now: Moment) {
        let all: Vec<Duty> = self.requested_duties.keys().chain(self.held_duties.keys()).cloned().collect();
        all.iter().for_each(|duty| self.release(now, duty));
    }

    /// The duties that this member wants to hold.
    pub fn requested_duties(&self) -> impl Iterator<Item = &Duty> + '_ {
        self.requested_duties.keys()
    }

    /// The epoch under which this member may act on a duty now. Must be checked right before each action.
    pub fn active_epoch(&self, now: Moment, duty: &Duty) -> Option<Epoch> {
        let held = self.held_duties.get(duty).filter(|held| !held.is_releasing)?;
        (self.lease.is_valid(now) && !self.is_superseded).then_some(held.epoch)
    }

    /// When the lease of this member ends.
    pub fn lease_until(&self) -> Option<Moment> {
        self.lease.until()
    }

    /// The duties on which this member may act now.
    pub fn active_duties(&self, now: Moment) -> impl Iterator<Item = (&Duty, Epoch)> + '_ {
        self.held_duties.keys().filter_map(move |duty| Some((duty, self.active_epoch(now, duty)?)))
    }

    /// The last reported holder of a requested duty.
    pub fn holder(&self, duty: &Duty) -> Option<(MemberId, Epoch)> {
        self.observed_duties.get(duty)?.holder
    }

    /// Whether a newer incarnation of this member exists. This one sends nothing any more.
    pub fn is_superseded(&self) -> bool {
        self.is_superseded
    }

    /// When the group was last heard from.
    pub fn last_contact(&self) -> Moment {
        self.last_contact
    }

    /// Applies the state that a voter reports.
    pub fn handle_view(&mut self, now: Moment, view: MemberView) {
        // A voter that is cut off from the others still answers, but gets nothing decided.
        let is_stalled = view.version <= self.version
            && self
                .lease
                .oldest_unacknowledged()
                .is_some_and(|at| now - at > self.terms.duration * REFRESH_LEASES);
        if !is_stalled {
            self.last_contact = now;
        }
        let is_old = view.version < self.version;
        #[cfg(feature = "unguarded")]
        let is_old = is_old && !self.disabled_guards.accept_old_views;
        if is_old {
            return;
        }
        self.version = view.version;
        self.is_superseded |= view.newest_incarnation.is_some_and(|newest| newest > self.incarnation);
        self.lease.acknowledge(now, view.session, &self.terms);
        let before = std::mem::take(&mut self.held_duties);
        for (duty, incarnation, epoch) in
            view.held_duties.into_iter().filter(|(_, incarnation, _)| *incarnation == self.incarnation)
        {
            debug_assert_eq!(incarnation, self.incarnation);
            let known = before.get(&duty).filter(|held| held.epoch == epoch);
            // A duty that was granted after its request was withdrawn is released again.
            let is_releasing =
                known.is_some_and(|held| held.is_releasing) || !self.requested_duties.contains_key(&duty);
            if is_releasing {
                self.next_refresh = self.next_refresh.min(now + CLAIM_RETRY_INTERVAL);
            }
            self.held_duties.insert(duty, HeldDuty { epoch, is_releasing });
        }
        for WatchedDuty { duty, grant, note } in view.watched_duties {
            let Some(RequestedDuty { claim_at, yielded_until }) = self.requested_duties.get(&duty).copied()
            else {
                continue;
            };
            let claim_at = match grant {
                None => claim_at.or_else(|| Some(self.next_claim_time(now).max(yielded_until))),
                Some(_) => None,
            };
            let observed = self.observed_duties.entry(duty.clone()).or_default();
            observed.holder = grant.map(|grant| (grant.holder, grant.epoch));
            if let Some((note, ago_us)) = note {
                // A voter counts the age from when it observed the decision, so each report gives an upper bound. The lowest
                // one is kept.
                let at = Moment(now.0.saturating_sub(ago_us));
                let known = observed.note.as_ref().filter(|(known, _)| *known == note).map(|(_, at)| *at);
                observed.note = Some((note, known.map_or(at, |known| known.min(at))));
            }
            self.requested_duties.insert(duty, RequestedDuty { claim_at, yielded_until });
        }
        // Drops notes that are decided, and notes about duties that are no longer held.
        let (held_duties, observed_duties) = (&self.held_duties, &self.observed_duties);
        self.unpublished_notes.retain(|duty, payload| {
            let decided =
                observed_duties.get(duty).and_then(|observed| observed.note.as_ref()).map(|(note, _)| note);
            held_duties.get(duty).is_some_and(|held| {
                !decided.is_some_and(|note| note.epoch == held.epoch && note.payload == *payload)
            })
        });
    }

    /// When to claim a duty that became free at `now`: after a random delay that grows with the number of held duties.
    fn next_claim_time(&mut self, now: Moment) -> Moment {
        let held_count = u32::try_from(self.held_duties.len()).unwrap_or(u32::MAX);
        let jitter = MAX_CLAIM_JITTER.mul_f64(self.rng.f64());
        now + (jitter + CLAIM_DELAY_PER_HELD_DUTY.saturating_mul(held_count).min(MAX_HELD_DUTIES_DELAY))
    }

    /// When [`Member::poll`] has to be called next, if no message arrives before.
    pub fn next_poll(&self) -> Option<Moment> {
        if self.requested_duties.is_empty() && self.held_duties.is_empty() {
            return None;
        }
        let heartbeat = (!self.held_duties.is_empty()).then_some(self.next_heartbeat);
        let claims = self.requested_duties.values().filter_map(|requested| requested.claim_at);
        claims.chain(heartbeat).chain([self.next_refresh]).min()
    }

    /// Advances the member to `now`. Returns the request to send, and the voter to send it to.
    pub fn poll(&mut self, now: Moment) -> Option<(MemberId, MemberRequest)> {
        if self.next_poll().is_none_or(|due| due > now) || self.voters.is_empty() || self.is_superseded {
            return None;
        }
        if now - self.last_contact > self.terms.duration * REFRESH_LEASES {
            // The voter is down or cannot be reached from here, or gets nothing decided.
            self.voter_index = (self.voter_index + 1) % self.voters.len();
            self.last_contact = now;
            // Heartbeats that were sent to it are not waited for.
            self.lease.clear_unacknowledged();
        }
        let claim = self.requested_duties.iter().find(|(duty, requested)| {
            requested.claim_at.is_some_and(|at| at <= now) && !self.held_duties.contains_key(*duty)
        });
        let claim = claim.map(|(duty, _)| duty.clone());
        if let Some(requested) = claim.as_ref().and_then(|duty| self.requested_duties.get_mut(duty)) {
            let retry_after = CLAIM_RETRY_INTERVAL.mul_f64(1.0 + self.rng.f64());
            requested.claim_at = Some(now + retry_after);
        }
        for (duty, requested) in &mut self.requested_duties {
            if self.held_duties.contains_key(duty) {
                requested.claim_at = None;
            }
        }
        let heartbeat =
            (claim.is_some() || !self.held_duties.is_empty()).then(|| self.lease.record_heartbeat(now));
        if heartbeat.is_some() {
            self.next_heartbeat = now + self.terms.heartbeat_interval();
        }
        let refresh_interval = self.terms.duration * REFRESH_LEASES;
        self.next_refresh = now + refresh_interval.mul_f64(0.75 + 0.5 * self.rng.f64());
        let releasing = self.held_duties.iter().filter(|(_, held)| held.is_releasing);
        let releases: Vec<_> = releasing.map(|(duty, held)| (duty.clone(), held.epoch)).collect();
        if !releases.is_empty() {
            self.next_refresh = now + self.terms.heartbeat_interval();
        }
        let watched_duties = self.requested_duties.keys().cloned().collect();
        let with_epoch = |(duty, payload): (&Duty, &Payload)| {
            let held = self.held_duties.get(duty)?;
            Some((duty.clone(), held.epoch, payload.clone()))
        };
        let notes: Vec<_> = self.unpublished_notes.iter().filter_map(with_epoch).collect();
        if !notes.is_empty() {
            self.next_refresh = now + self.terms.heartbeat_interval();
        }
        let request = MemberRequest {
            incarnation: self.incarnation,
            heartbeat,
            claim,
            releases,
            notes,
            watched_duties,
        };
        Some((self.voters[self.voter_index], request))
    }

    /// Describes the state of the member for debugging.
    pub fn debug_state(&self) -> String {
        let Member {
            lease,
            requested_duties,
            held_duties,
            observed_duties,
            next_heartbeat,
            next_refresh,
            last_contact,
            is_superseded,
            voter_index,
            version,
            ..
        } = self;
        format!(
                        "voter index {voter_index}, version {version}, superseded {is_superseded}, last contact {last_contact:?}, \
                         next heartbeat {next_heartbeat:?}, next refresh {next_refresh:?}, {lease:?}, requested {requested_duties:?}, \
                         held {held_duties:?}, observed {observed_duties:?}"
        )
    }

    /// Whether it neither holds nor requests any duty.
    pub fn is_idle(&self) -> bool {
        self.requested_duties.is_empty() && self.held_duties.is_empty()
    }

    /// The id of this member.
    pub fn me(&self) -> MemberId {
        self.me
    }
}
