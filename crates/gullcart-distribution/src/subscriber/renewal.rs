//! How a subscriber renews its leases, and what it does when a digest does not fit.

use std::collections::BTreeSet;

use super::session::Renewal;
use super::Subscriber;
use crate::digest::Digest;
use crate::error::ProtocolError;
use crate::message::{
    Message, NotRenewed, Renew, Renewed, RequestDigests, ScopeDigest, ScopeDigests, Sequence,
};
use crate::scope::Scope;
use crate::time::Instant;

impl Subscriber {
    pub(super) fn send_renewal(&mut self, now: Instant) {
        let interval = self.renew_interval();
        let progress = self.progress();
        let scopes: BTreeSet<Scope> = self.scopes.intersection(&self.held).copied().collect();
        let without: Vec<Scope> = self.scopes.difference(&self.held).copied().collect();
        let Some(session) = &mut self.session else {
            return;
        };
        session.renew_at = now + interval;
        let Some(renewal) = session.begin_renewal(now, scopes) else {
            return;
        };
        let renew = Renew { session: session.id, renewal, progress, without };
        self.send(Message::Renew(renew));
    }

    pub(super) fn take_not_renewed(&mut self, now: Instant, answer: NotRenewed) -> Result<(), ProtocolError> {
        let session = self.session.as_mut().ok_or(ProtocolError::OtherSession)?;
        session.note_heard(now);
        session.finish_renewal(answer.renewal).ok_or(ProtocolError::UnexpectedAnswer)?;
        Ok(())
    }

    pub(super) fn take_renewed(&mut self, now: Instant, renewed: Renewed) -> Result<(), ProtocolError> {
        self.check_renewed(&renewed)?;
        let session = self.session.as_mut().ok_or(ProtocolError::OtherSession)?;
        let renewal = session.finish_renewal(renewed.renewal).ok_or(ProtocolError::UnexpectedAnswer)?;
        session.note_progress(now);
        self.position = renewed.upto;
        self.backoff.reset();
        self.take_leases(now, renewal, renewed)
    }

    /// Takes the lease on all scopes for which it was asked, if their digest fits.
    fn take_leases(&mut self, now: Instant, renewal: Renewal, renewed: Renewed) -> Result<(), ProtocolError> {
        let some_given_up = !renewal.scopes.is_subset(&self.scopes);
        if some_given_up {
            // Their content is gone, and the digest can't be compared; the next renewal is without them.
            return Ok(());
        }
        let not_leased: BTreeSet<Scope> = renewed.not_leased.iter().copied().collect();
        let leased: Vec<Scope> = renewal.scopes.difference(&not_leased).copied().collect();
        if self.guards.digest_check && self.combined_digest(&leased) != renewed.digest {
            self.request_digests();
            return Err(ProtocolError::WrongCombinedDigest);
        }
        let begins = if self.guards.lease_from_sending { renewal.sent } else { now };
        for scope in leased {
            self.leases.renew(scope, begins, renewed.valid_for());
        }
        Ok(())
    }

    fn combined_digest(&self, scopes: &[Scope]) -> Digest {
        let mut combined = Digest::default();
        for scope in scopes {
            combined.insert(Digest::of_scope(*scope, self.store.digest(*scope)));
        }
        combined
    }

    pub(super) fn request_digests(&mut self) {
        let Some(session) = &mut self.session else {
            return;
        };
        if !std::mem::replace(&mut session.digests_asked, true) {
            let request = RequestDigests { session: session.id };
            self.send(Message::RequestDigests(request));
        }
    }

    /// Finds the scopes that differ and has them repaired.
    pub(super) fn take_digests(&mut self, message: ScopeDigests) -> Result<(), ProtocolError> {
        let session = self.session.as_mut().ok_or(ProtocolError::OtherSession)?;
        session.digests_asked = false;
        if message.at != self.position || self.staged.is_some() {
            return Ok(());
        }
        let differs = |listed: &&ScopeDigest| {
            self.held.contains(&listed.scope) && self.store.digest(listed.scope) != listed.digest
        };
        let wrong: Vec<Scope> = message.digests.iter().filter(differs).map(|listed| listed.scope).collect();
        for scope in &wrong {
            self.distrust(*scope);
        }
        wrong.first().map_or(Ok(()), |scope| Err(ProtocolError::WrongDigest(*scope)))
    }

    /// Checks everything before anything is changed.
    fn check_renewed(&self, renewed: &Renewed) -> Result<(), ProtocolError> {
        let session =
            self.session.as_ref().filter(|session| session.accepted).ok_or(ProtocolError::OtherSession)?;
        if self.guards.gap_check && renewed.sequence > session.received {
            let expected = Sequence(session.received.0 + 1);
            return Err(ProtocolError::MissingFrame { expected, found: renewed.sequence });
        }
        if self.guards.epoch_fence && renewed.upto.epoch < self.latest_epoch {
            return Err(ProtocolError::OlderEpoch { latest: self.latest_epoch, found: renewed.upto.epoch });
        }
        if renewed.upto.epoch > self.latest_epoch {
            return Err(ProtocolError::UnknownEpoch(renewed.upto.epoch));
        }
        if self.staged.is_some() && self.guards.atomic_apply {
            return Err(ProtocolError::Gap { expected: self.cursor(), found: renewed.after });
        }
        self.check_follows(renewed.after)?;
        if renewed.upto < self.position {
            return Err(ProtocolError::WentBack { last: self.position, found: renewed.upto });
        }
        Ok(())
    }

    /// The scope is acted on no longer until its repair is in.
    fn distrust(&mut self, scope: Scope) {
        self.held.remove(&scope);
        self.leases.give_up(scope);
        self.request_repair(scope);
    }
}
