//! Who asks for duties and holds them. A member says what it wants, keeps giving signs of life while it holds something, and
//! counts its lease from before each sign of life that the group has heard, on a clock that runs while it sleeps.

use crate::lease::Lease;
use crate::message::{MemberRequest, MemberView, WatchedDuty, MAX_WATCHED_DUTIES};
use crate::table::Note;
use crate::types::{Duty, Epoch, Incarnation, LeaseTerms, MemberId, Moment, Payload};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// A duty that became free is claimed after a chance part of this: all that want it hear of it at one moment, ...
const MAX_CLAIM_JITTER: Duration = Duration::from_millis(60);
/// ... and after so much more for each duty that is held already, so that they spread.
const CLAIM_DELAY_PER_HELD_DUTY: Duration = Duration::from_millis(40);
/// The longest of it.
const MAX_HELD_DUTIES_DELAY: Duration = Duration::from_millis(400);
/// After a claim that was not heard of, or lost against another.
const CLAIM_RETRY_INTERVAL: Duration = Duration::from_millis(350);
/// How often a voter is asked how things stand, in leases, and how many of them it may be silent until another is asked.
const REFRESH_LEASES: u32 = 2;

/// Guards of a member that a test can take out.
#[cfg(feature = "unguarded")]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DisabledGuards {
    /// Those of its lease.
    pub lease: crate::lease::DisabledGuards,
    /// Views are believed in the order in which they come.
    pub accept_old_views: bool,
}

/// What a member wants.
#[derive(Clone, Copy, Debug)]
struct RequestedDuty {
    /// When it is claimed, if it is free then; none while somebody has it.
    claim_at: Option<Moment>,
    /// It is not claimed before: it was passed on.
    yielded_until: Moment,
}

/// How a duty stands that a member wants, as it was told last.
#[derive(Clone, Debug, Default)]
struct ObservedDuty {
    holder: Option<(MemberId, Epoch)>,
    /// What was told of it, and when that was agreed on at the latest.
    note: Option<(Note, Moment)>,
}

/// What a member holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct HeldDuty {
    epoch: Epoch,
    /// It is being given up.
    is_releasing: bool,
}

/// A member that stopped, for the process that goes on in its place and in its life.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberHandover {
    lease: Lease,
    version: u64,
    requested_duties: Vec<Duty>,
    held_duties: BTreeMap<Duty, HeldDuty>,
    is_superseded: bool,
}

impl MemberHandover {
    /// What it wanted.
    pub fn requested_duties(&self) -> &[Duty] {
        &self.requested_duties
    }

    /// Whether it can be of this clock: no lease lies so far ahead.
    fn is_plausible(&self, now: Moment, terms: &LeaseTerms) -> bool {
        self.lease.until().is_none_or(|until| until <= now + terms.duration)
            && self.requested_duties.len().max(self.held_duties.len()) <= MAX_WATCHED_DUTIES
    }
}

/// A member of the group: one start of its process.
pub struct Member {
    me: MemberId,
    incarnation: Incarnation,
    terms: LeaseTerms,
    voters: Vec<MemberId>,
    /// Which of them is asked.
    voter_index: usize,
    rng: fastrand::Rng,
    lease: Lease,
    version: u64,
    requested_duties: BTreeMap<Duty, RequestedDuty>,
    held_duties: BTreeMap<Duty, HeldDuty>,
    /// Who holds what is wanted, as last told.
    observed_duties: BTreeMap<Duty, ObservedDuty>,
    /// What is to be told of what it holds, until that is agreed on.
    unpublished_notes: BTreeMap<Duty, Payload>,
    next_heartbeat: Moment,
    next_refresh: Moment,
    last_contact: Moment,
    /// It has been told that a newer start of it exists.
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
        // A voter asks itself; the others spread.
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

    /// All that it is. It must do nothing after this.
    pub fn hand_over(&self) -> MemberHandover {
        MemberHandover {
            lease: self.lease.clone(),
            version: self.version,
            requested_duties: self.requested_duties.keys().cloned().collect(),
            held_duties: self.held_duties.clone(),
            is_superseded: self.is_superseded,
        }
    }

    /// Goes on as another process that stopped, on the same clock and in the same life; false where it cannot have been that.
    /// It gives a sign of life at once: nobody did meanwhile.
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

    /// Takes some guards out.
    #[cfg(feature = "unguarded")]
    pub fn with_guards_disabled(mut self, disabled_guards: DisabledGuards) -> Self {
        self.lease.disable_guards(disabled_guards.lease);
        self.disabled_guards = disabled_guards;
        self
    }

    /// Wants to hold a duty, from now on; false where it wants too many.
    pub fn request(&mut self, now: Moment, duty: &Duty) -> bool {
        if self.requested_duties.contains_key(duty) {
            return true;
        }
        if self.requested_duties.len() >= MAX_WATCHED_DUTIES {
            return false;
        }
        let claim_at = Some(self.claim_after(now));
        self.requested_duties
            .insert(duty.clone(), RequestedDuty { claim_at, yielded_until: Moment::default() });
        self.next_refresh = now;
        true
    }

    /// Does not want it any more: gives it up at once where it is held.
    pub fn release(&mut self, now: Moment, duty: &Duty) {
        self.requested_duties.remove(duty);
        self.observed_duties.remove(duty);
        self.unpublished_notes.remove(duty);
        if let Some(held) = self.held_duties.get_mut(duty) {
            held.is_releasing = true;
            self.next_refresh = now;
        }
    }

    /// Gives it up where it is held, wants to be told of it all the same, and does not claim it for so long.
    pub fn yield_duty(&mut self, now: Moment, duty: &Duty, cooldown: Duration) {
        if let Some(request) = self.requested_duties.get_mut(duty) {
            request.yielded_until = now + cooldown;
            request.claim_at = request.claim_at.map(|at| at.max(now + cooldown));
        }
        if let Some(held) = self.held_duties.get_mut(duty) {
            held.is_releasing = true;
            self.next_refresh = now;
        }
    }

    /// Tells all that want a duty something of it, while it is held.
    pub fn publish_note(&mut self, now: Moment, duty: &Duty, payload: Payload) {
        let is_new = self.unpublished_notes.get(duty) != Some(&payload);
        if is_new && self.held_duties.get(duty).is_some_and(|held| !held.is_releasing) {
            self.unpublished_notes.insert(duty.clone(), payload);
            self.next_refresh = now;
        }
    }

    /// What was told last of a duty that it wants, and when that was agreed on at the latest.
    pub fn note(&self, duty: &Duty) -> Option<(&Note, Moment)> {
        let (note, at) = self.observed_duties.get(duty)?.note.as_ref()?;
        Some((note, *at))
    }

    /// Gives all up: the process ends.
    pub fn release_all(&mut self, now: Moment) {
        let all: Vec<Duty> = self.requested_duties.keys().chain(self.held_duties.keys()).cloned().collect();
        all.iter().for_each(|duty| self.release(now, duty));
    }

    /// All that it wants.
    pub fn requested_duties(&self) -> impl Iterator<Item = &Duty> + '_ {
        self.requested_duties.keys()
    }

    /// Under which epoch it may act on a duty now. To be asked right before each act.
    pub fn active_epoch(&self, now: Moment, duty: &Duty) -> Option<Epoch> {
        let held = self.held_duties.get(duty).filter(|held| !held.is_releasing)?;
        (self.lease.is_valid(now) && !self.is_superseded).then_some(held.epoch)
    }

    /// When the lease of this member ends.
    pub fn lease_until(&self) -> Option<Moment> {
        self.lease.until()
    }

    /// What it may act on now.
    pub fn active_duties(&self, now: Moment) -> impl Iterator<Item = (&Duty, Epoch)> + '_ {
        self.held_duties.keys().filter_map(move |duty| Some((duty, self.active_epoch(now, duty)?)))
    }

    /// Who holds a duty that it wants, as last told.
    pub fn holder(&self, duty: &Duty) -> Option<(MemberId, Epoch)> {
        self.observed_duties.get(duty)?.holder
    }

    /// Whether a newer start of this member exists: this process has no say any more.
    pub fn is_superseded(&self) -> bool {
        self.is_superseded
    }

    /// When it last heard from the group.
    pub fn last_contact(&self) -> Moment {
        self.last_contact
    }

    /// The group says how things stand.
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
                None => claim_at.or_else(|| Some(self.claim_after(now).max(yielded_until))),
                Some(_) => None,
            };
            let observed = self.observed_duties.entry(duty.clone()).or_default();
            observed.holder = grant.map(|grant| (grant.holder, grant.epoch));
            if let Some((note, ago_us)) = note {
                // Each voter counts from when it saw it, so that the earliest of what was said is nearest.
                let at = Moment(now.0.saturating_sub(ago_us));
                let known = observed.note.as_ref().filter(|(known, _)| *known == note).map(|(_, at)| *at);
                observed.note = Some((note, known.map_or(at, |known| known.min(at))));
            }
            self.requested_duties.insert(duty, RequestedDuty { claim_at, yielded_until });
        }
        // What is agreed on is not said again, nor what cannot be any more.
        let (held_duties, observed_duties) = (&self.held_duties, &self.observed_duties);
        self.unpublished_notes.retain(|duty, payload| {
            let decided =
                observed_duties.get(duty).and_then(|observed| observed.note.as_ref()).map(|(note, _)| note);
            held_duties.get(duty).is_some_and(|held| {
                !decided.is_some_and(|note| note.epoch == held.epoch && note.payload == *payload)
            })
        });
    }

    fn claim_after(&mut self, now: Moment) -> Moment {
        let held_count = u32::try_from(self.held_duties.len()).unwrap_or(u32::MAX);
        let jitter = MAX_CLAIM_JITTER.mul_f64(self.rng.f64());
        now + (jitter + CLAIM_DELAY_PER_HELD_DUTY.saturating_mul(held_count).min(MAX_HELD_DUTIES_DELAY))
    }

    /// When the next turn is due, if nothing happens before.
    pub fn next_poll(&self) -> Option<Moment> {
        if self.requested_duties.is_empty() && self.held_duties.is_empty() {
            return None;
        }
        let heartbeat = (!self.held_duties.is_empty()).then_some(self.next_heartbeat);
        let claims = self.requested_duties.values().filter_map(|request| request.claim_at);
        claims.chain(heartbeat).chain([self.next_refresh]).min()
    }

    /// Lets time pass; what it asks, and of which voter.
    pub fn poll(&mut self, now: Moment) -> Option<(MemberId, MemberRequest)> {
        if self.next_poll().is_none_or(|due| due > now) || self.voters.is_empty() || self.is_superseded {
            return None;
        }
        if now - self.last_contact > self.terms.duration * REFRESH_LEASES {
            // That one is gone, or cannot be reached from here.
            self.voter_index = (self.voter_index + 1) % self.voters.len();
            self.last_contact = now;
            // What that one was told is told again.
            self.lease.clear_unacknowledged();
        }
        let claim = self.requested_duties.iter().find(|(duty, request)| {
            request.claim_at.is_some_and(|at| at <= now) && !self.held_duties.contains_key(*duty)
        });
        let claim = claim.map(|(duty, _)| duty.clone());
        if let Some(request) = claim.as_ref().and_then(|duty| self.requested_duties.get_mut(duty)) {
            let retry_after = CLAIM_RETRY_INTERVAL.mul_f64(1.0 + self.rng.f64());
            request.claim_at = Some(now + retry_after);
        }
        for (duty, request) in &mut self.requested_duties {
            if self.held_duties.contains_key(duty) {
                request.claim_at = None;
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

    /// How it stands, for a look.
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

    /// Whether it holds nothing and wants nothing.
    pub fn is_idle(&self) -> bool {
        self.requested_duties.is_empty() && self.held_duties.is_empty()
    }

    /// Who it is.
    pub fn me(&self) -> MemberId {
        self.me
    }
}
