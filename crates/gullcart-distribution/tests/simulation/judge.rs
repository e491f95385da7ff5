//! Knows all that the source numbered, and looks whether the couriers keep to it.

use std::collections::{BTreeMap, BTreeSet};

use gullcart_distribution::digest::Digest;
use gullcart_distribution::position::Position;
use gullcart_distribution::scope::Scope;
use gullcart_distribution::subscriber::{Acting, Subscriber};
use gullcart_distribution::time::Instant;

/// What a courier did wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Violation {
    /// Its state is none that the source had.
    ForeignState,
    /// It acts on what a change in force has replaced.
    ActsOnReplaced,
    /// Its position went back.
    WentBack,
    /// A change was not in force in time.
    LateInForce,
    /// The source took a change of an earlier epoch.
    ForeignWriter,
    /// More is on the way to a subscriber than its window takes.
    WindowExceeded,
    /// More snapshots were under way at a relay than are admitted.
    SnapshotsExceeded,
}

/// The records of the judge.
#[derive(Debug, Default)]
pub struct Judge {
    history: BTreeMap<Scope, Vec<(Position, Digest)>>,
    /// The last change of a scope that is in force.
    in_force: BTreeMap<Scope, Position>,
    /// The last change of all that is in force.
    last_in_force: Position,
    /// Scopes in which an entry was spoilt, and until when that may go unnoticed.
    spoilt: BTreeMap<Scope, u64>,
    pub violations: BTreeMap<Violation, usize>,
    /// The first violation of each kind.
    pub examples: BTreeMap<Violation, String>,
    /// From the numbering of each change to its being in force, in microseconds.
    pub in_force_micros: Vec<u64>,
}

impl Judge {
    /// A change was numbered, and the scope's digest is this now.
    pub fn changed(&mut self, scope: Scope, position: Position, digest: Digest) {
        self.history.entry(scope).or_default().push((position, digest));
    }

    /// A new writer took over less than was numbered: what comes after `position` is forgotten.
    pub fn cut_back(&mut self, position: Position) {
        for history in self.history.values_mut() {
            history.retain(|(at, _)| *at <= position);
        }
    }

    /// An entry of a scope was spoilt somewhere; it may be acted on until then.
    pub fn spoilt(&mut self, scope: Scope, until: u64) {
        self.spoilt.insert(scope, until);
    }

    /// A change is in force.
    pub fn in_force(&mut self, scope: Scope, position: Position, micros: u64) {
        self.in_force.insert(scope, position);
        self.last_in_force = self.last_in_force.max(position);
        self.in_force_micros.push(micros);
    }

    fn digest_at(&self, scope: Scope, position: Position) -> Digest {
        let Some(history) = self.history.get(&scope) else {
            return Digest::default();
        };
        let after = history.partition_point(|(at, _)| *at <= position);
        after.checked_sub(1).map_or(Digest::default(), |last| history[last].1)
    }

    /// Looks whether a courier acts on what was replaced, in these scopes.
    pub fn check_acting(
        &mut self,
        name: impl std::fmt::Debug,
        courier: &Subscriber,
        scopes: &BTreeSet<Scope>,
        now: Instant,
        global: u64,
    ) {
        if courier.position() >= self.last_in_force {
            return;
        }
        for scope in scopes {
            let Acting::UnderRevision(position) = courier.acting(now, *scope) else {
                continue;
            };
            let required = self.in_force.get(scope).copied().unwrap_or_default();
            if position < required {
                let detail = format!(
                    "{global} us: {name:?} acts on {scope:?} under {position:?}, in force {required:?}"
                );
                self.report(Violation::ActsOnReplaced, detail);
            }
        }
    }

    /// Looks whether the state of a courier is one that the source had at its position.
    pub fn check_state(
        &mut self,
        name: impl std::fmt::Debug,
        courier: &Subscriber,
        now: Instant,
        global: u64,
    ) {
        let position = courier.position();
        for scope in courier.scopes() {
            if courier.acting(now, *scope) == Acting::NotCurrent {
                continue;
            }
            if self.spoilt.get(scope).is_some_and(|until| global <= *until) {
                continue;
            }
            if courier.store().digest(*scope) != self.digest_at(*scope, position) {
                let detail = format!("{global} us: {name:?} has another {scope:?} at {position:?}");
                self.report(Violation::ForeignState, detail);
            }
        }
    }

    /// Notes a violation.
    pub fn report(&mut self, violation: Violation, detail: String) {
        *self.violations.entry(violation).or_default() += 1;
        self.examples.entry(violation).or_insert(detail);
    }
}
