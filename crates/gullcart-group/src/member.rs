//! Who asks for duties and holds them. A member says what it wants, keeps giving signs of life while it holds something, and
//! counts its lease from before each sign of life that the group has heard, on a clock that runs while it sleeps.

use crate::lease::Lease;
use crate::say::{Ask, View, Watched, MOST_WATCHED};
use crate::table::Note;
use crate::vocabulary::{Duty, Epoch, Life, MemberId, Moment, Terms, Words};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// A duty that became free is claimed after a chance part of this: all that want it hear of it at one moment, ...
const CLAIM_SPREAD: Duration = Duration::from_millis(60);
/// ... and after so much more for each duty that is held already, so that they spread.
const CLAIM_HELD: Duration = Duration::from_millis(40);
/// The longest of it.
const CLAIM_MOST: Duration = Duration::from_millis(400);
/// After a claim that was not heard of, or lost against another.
const CLAIM_AGAIN: Duration = Duration::from_millis(350);
/// How often a voter is asked how things stand, in leases, and how many of them it may be silent until another is asked.
const LOOK_LEASES: u32 = 2;

/// Guards of a member that a test can take out.
#[cfg(feature = "unguarded")]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Unguarded {
    /// Those of its lease.
    pub lease: crate::lease::Unguarded,
    /// Views are believed in the order in which they come.
    pub any_view: bool,
}

/// What a member wants.
#[derive(Clone, Copy, Debug)]
struct Want {
    /// When it is claimed, if it is free then; none while somebody has it.
    claim_at: Option<Moment>,
    /// It is not claimed before: it was passed on.
    rests_until: Moment,
}

/// How a duty stands that a member wants, as it was told last.
#[derive(Clone, Debug, Default)]
struct Other {
    grant: Option<(MemberId, Epoch)>,
    /// What was told of it, and when that was agreed on at the latest.
    note: Option<(Note, Moment)>,
}

/// What a member holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Held {
    epoch: Epoch,
    /// It is being given up.
    given_up: bool,
}

/// A member that stopped, for the process that goes on in its place and in its life.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Packed {
    lease: Lease,
    version: u64,
    wants: Vec<Duty>,
    held: BTreeMap<Duty, Held>,
    is_past: bool,
}

impl Packed {
    /// What it wanted.
    pub fn wants(&self) -> &[Duty] {
        &self.wants
    }

    /// Whether it can be of this clock: no lease lies so far ahead.
    fn is_of(&self, now: Moment, terms: &Terms) -> bool {
        self.lease.until().is_none_or(|until| until <= now + terms.lease)
            && self.wants.len().max(self.held.len()) <= MOST_WATCHED
    }
}

/// A member of the group: one start of its process.
pub struct Member {
    me: MemberId,
    life: Life,
    terms: Terms,
    voters: Vec<MemberId>,
    /// Which of them is asked.
    voter: usize,
    rng: fastrand::Rng,
    lease: Lease,
    version: u64,
    wants: BTreeMap<Duty, Want>,
    held: BTreeMap<Duty, Held>,
    /// Who holds what is wanted, as last told.
    others: BTreeMap<Duty, Other>,
    /// What is to be told of what it holds, until that is agreed on.
    notes: BTreeMap<Duty, Words>,
    next_beat: Moment,
    next_look: Moment,
    heard: Moment,
    /// It has been told that a newer start of it exists.
    is_past: bool,
    #[cfg(feature = "unguarded")]
    unguarded: Unguarded,
}

impl Member {
    /// A member that wants nothing yet.
    pub fn new(me: MemberId, life: Life, voters: &[MemberId], terms: Terms, seed: u64, now: Moment) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        // A voter asks itself; the others spread.
        let own = voters.iter().position(|voter| *voter == me);
        let voter = own.unwrap_or_else(|| rng.usize(0..voters.len().max(1)));
        Member {
            me,
            life,
            terms,
            voters: voters.to_vec(),
            voter,
            rng,
            lease: Lease::new(life),
            version: 0,
            wants: BTreeMap::new(),
            held: BTreeMap::new(),
            others: BTreeMap::new(),
            notes: BTreeMap::new(),
            next_beat: now,
            next_look: now,
            heard: now,
            is_past: false,
            #[cfg(feature = "unguarded")]
            unguarded: Unguarded::default(),
        }
    }

    /// All that it is. It must do nothing after this.
    pub fn pack(&self) -> Packed {
        Packed {
            lease: self.lease.clone(),
            version: self.version,
            wants: self.wants.keys().cloned().collect(),
            held: self.held.clone(),
            is_past: self.is_past,
        }
    }

    /// Goes on as another process that stopped, on the same clock and in the same life; false where it cannot have been that.
    /// It gives a sign of life at once: nobody did meanwhile.
    pub fn go_on(&mut self, packed: Packed, now: Moment) -> bool {
        if packed.lease.life() != self.life || !packed.is_of(now, &self.terms) {
            return false;
        }
        let Packed { lease, version, wants, held, is_past } = packed;
        (self.lease, self.version, self.held, self.is_past) = (lease, version, held, is_past);
        for duty in wants {
            self.want(now, &duty);
        }
        true
    }

    /// Takes some guards out.
    #[cfg(feature = "unguarded")]
    pub fn without(mut self, unguarded: Unguarded) -> Self {
        self.lease.guard(unguarded.lease);
        self.unguarded = unguarded;
        self
    }

    /// Wants to hold a duty, from now on; false where it wants too many.
    pub fn want(&mut self, now: Moment, duty: &Duty) -> bool {
        if self.wants.contains_key(duty) {
            return true;
        }
        if self.wants.len() >= MOST_WATCHED {
            return false;
        }
        let claim_at = Some(self.claim_after(now));
        self.wants.insert(duty.clone(), Want { claim_at, rests_until: Moment::default() });
        self.next_look = now;
        true
    }

    /// Does not want it any more: gives it up at once where it is held.
    pub fn give_up(&mut self, now: Moment, duty: &Duty) {
        self.wants.remove(duty);
        self.others.remove(duty);
        self.notes.remove(duty);
        if let Some(held) = self.held.get_mut(duty) {
            held.given_up = true;
            self.next_look = now;
        }
    }

    /// Gives it up where it is held, wants to be told of it all the same, and does not claim it for so long.
    pub fn pass_on(&mut self, now: Moment, duty: &Duty, rest: Duration) {
        if let Some(want) = self.wants.get_mut(duty) {
            want.rests_until = now + rest;
            want.claim_at = want.claim_at.map(|at| at.max(now + rest));
        }
        if let Some(held) = self.held.get_mut(duty) {
            held.given_up = true;
            self.next_look = now;
        }
    }

    /// Tells all that want a duty something of it, while it is held.
    pub fn tell(&mut self, now: Moment, duty: &Duty, words: Words) {
        let is_new = self.notes.get(duty) != Some(&words);
        if is_new && self.held.get(duty).is_some_and(|held| !held.given_up) {
            self.notes.insert(duty.clone(), words);
            self.next_look = now;
        }
    }

    /// What was told last of a duty that it wants, and when that was agreed on at the latest.
    pub fn note(&self, duty: &Duty) -> Option<(&Note, Moment)> {
        let (note, at) = self.others.get(duty)?.note.as_ref()?;
        Some((note, *at))
    }

    /// Gives all up: the process ends.
    pub fn give_all_up(&mut self, now: Moment) {
        let all: Vec<Duty> = self.wants.keys().chain(self.held.keys()).cloned().collect();
        all.iter().for_each(|duty| self.give_up(now, duty));
    }

    /// All that it wants.
    pub fn wants(&self) -> impl Iterator<Item = &Duty> + '_ {
        self.wants.keys()
    }

    /// Under which epoch it may act on a duty now. To be asked right before each act.
    pub fn may_act(&self, now: Moment, duty: &Duty) -> Option<Epoch> {
        let held = self.held.get(duty).filter(|held| !held.given_up)?;
        (self.lease.holds(now) && !self.is_past).then_some(held.epoch)
    }

    /// Until when it may act on what it holds.
    pub fn lease(&self) -> Option<Moment> {
        self.lease.until()
    }

    /// What it may act on now.
    pub fn acts_on(&self, now: Moment) -> impl Iterator<Item = (&Duty, Epoch)> + '_ {
        self.held.keys().filter_map(move |duty| Some((duty, self.may_act(now, duty)?)))
    }

    /// Who holds a duty that it wants, as last told.
    pub fn holder(&self, duty: &Duty) -> Option<(MemberId, Epoch)> {
        self.others.get(duty)?.grant
    }

    /// Whether a newer start of this member exists: this process has no say any more.
    pub fn is_past(&self) -> bool {
        self.is_past
    }

    /// When it last heard from the group.
    pub fn heard(&self) -> Moment {
        self.heard
    }

    /// The group says how things stand.
    pub fn told(&mut self, now: Moment, view: View) {
        // A voter that is cut off from the others answers, too, and gets nothing agreed on.
        let is_stuck = view.version <= self.version
            && self.lease.waits_since().is_some_and(|at| now - at > self.terms.lease * LOOK_LEASES);
        if !is_stuck {
            self.heard = now;
        }
        let is_old = view.version < self.version;
        #[cfg(feature = "unguarded")]
        let is_old = is_old && !self.unguarded.any_view;
        if is_old {
            return;
        }
        self.version = view.version;
        self.is_past |= view.newest_life.is_some_and(|newest| newest > self.life);
        self.lease.told(now, view.session, &self.terms);
        let before = std::mem::take(&mut self.held);
        for (duty, life, epoch) in view.holds.into_iter().filter(|(_, life, _)| *life == self.life) {
            debug_assert_eq!(life, self.life);
            let known = before.get(&duty).filter(|held| held.epoch == epoch);
            // Granted though it is not wanted any more: it goes back.
            let given_up = known.is_some_and(|held| held.given_up) || !self.wants.contains_key(&duty);
            if given_up {
                self.next_look = self.next_look.min(now + CLAIM_AGAIN);
            }
            self.held.insert(duty, Held { epoch, given_up });
        }
        for Watched { duty, grant, note } in view.watched {
            let Some(Want { claim_at, rests_until }) = self.wants.get(&duty).copied() else { continue };
            let claim_at = match grant {
                None => claim_at.or_else(|| Some(self.claim_after(now).max(rests_until))),
                Some(_) => None,
            };
            let other = self.others.entry(duty.clone()).or_default();
            other.grant = grant.map(|grant| (grant.holder, grant.epoch));
            if let Some((note, ago_us)) = note {
                // Each voter counts from when it saw it, so that the earliest of what was said is nearest.
                let at = Moment(now.0.saturating_sub(ago_us));
                let known = other.note.as_ref().filter(|(known, _)| *known == note).map(|(_, at)| *at);
                other.note = Some((note, known.map_or(at, |known| known.min(at))));
            }
            self.wants.insert(duty, Want { claim_at, rests_until });
        }
        // What is agreed on is not said again, nor what cannot be any more.
        let (held, others) = (&self.held, &self.others);
        self.notes.retain(|duty, words| {
            let told = others.get(duty).and_then(|other| other.note.as_ref()).map(|(note, _)| note);
            held.get(duty).is_some_and(|held| {
                !told.is_some_and(|note| note.epoch == held.epoch && note.words == *words)
            })
        });
    }

    fn claim_after(&mut self, now: Moment) -> Moment {
        let held = u32::try_from(self.held.len()).unwrap_or(u32::MAX);
        let wait = CLAIM_SPREAD.mul_f64(self.rng.f64()) + CLAIM_HELD.saturating_mul(held).min(CLAIM_MOST);
        now + wait
    }

    /// When the next turn is due, if nothing happens before.
    pub fn next_turn(&self) -> Option<Moment> {
        if self.wants.is_empty() && self.held.is_empty() {
            return None;
        }
        let beat = (!self.held.is_empty()).then_some(self.next_beat);
        let claims = self.wants.values().filter_map(|want| want.claim_at);
        claims.chain(beat).chain([self.next_look]).min()
    }

    /// Lets time pass; what it asks, and of which voter.
    pub fn turn(&mut self, now: Moment) -> Option<(MemberId, Ask)> {
        if self.next_turn().is_none_or(|due| due > now) || self.voters.is_empty() || self.is_past {
            return None;
        }
        if now - self.heard > self.terms.lease * LOOK_LEASES {
            // That one is gone, or cannot be reached from here.
            self.voter = (self.voter + 1) % self.voters.len();
            self.heard = now;
            // What that one was told is told again.
            self.lease.forget_sent();
        }
        let claim = self
            .wants
            .iter()
            .find(|(duty, want)| want.claim_at.is_some_and(|at| at <= now) && !self.held.contains_key(*duty));
        let claim = claim.map(|(duty, _)| duty.clone());
        if let Some(want) = claim.as_ref().and_then(|duty| self.wants.get_mut(duty)) {
            let again = CLAIM_AGAIN.mul_f64(1.0 + self.rng.f64());
            want.claim_at = Some(now + again);
        }
        for (duty, want) in &mut self.wants {
            if self.held.contains_key(duty) {
                want.claim_at = None;
            }
        }
        let beat = (claim.is_some() || !self.held.is_empty()).then(|| self.lease.give(now));
        if beat.is_some() {
            self.next_beat = now + self.terms.beat();
        }
        let look = self.terms.lease * LOOK_LEASES;
        self.next_look = now + look.mul_f64(0.75 + 0.5 * self.rng.f64());
        let given_up = self.held.iter().filter(|(_, held)| held.given_up);
        let releases: Vec<_> = given_up.map(|(duty, held)| (duty.clone(), held.epoch)).collect();
        if !releases.is_empty() {
            self.next_look = now + self.terms.beat();
        }
        let watches = self.wants.keys().cloned().collect();
        let noted = |(duty, words): (&Duty, &Words)| {
            let held = self.held.get(duty)?;
            Some((duty.clone(), held.epoch, words.clone()))
        };
        let notes: Vec<_> = self.notes.iter().filter_map(noted).collect();
        if !notes.is_empty() {
            self.next_look = now + self.terms.beat();
        }
        let ask = Ask { life: self.life, beat, claim, releases, notes, watches };
        Some((self.voters[self.voter], ask))
    }

    /// How it stands, for a look.
    pub fn standing(&self) -> String {
        let Member {
            lease, wants, held, others, next_beat, next_look, heard, is_past, voter, version, ..
        } = self;
        format!(
            "asks {voter}, version {version}, past {is_past}, heard {heard:?}, beat {next_beat:?}, look {next_look:?}, \
             {lease:?}, wants {wants:?}, holds {held:?}, others {others:?}"
        )
    }

    /// Whether it holds nothing and wants nothing.
    pub fn is_free(&self) -> bool {
        self.wants.is_empty() && self.held.is_empty()
    }

    /// Who it is.
    pub fn me(&self) -> MemberId {
        self.me
    }
}
