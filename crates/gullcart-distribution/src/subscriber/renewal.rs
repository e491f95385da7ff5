//! How a subscriber renews its leases, and what it does when a digest does not fit.

use super::Subscriber;
use crate::error::ProtocolError;
use crate::message::{Message, NotRenewed, Renew, Renewed, ScopeDigest, Sequence};
use crate::scope::Scope;
use crate::time::Instant;

impl Subscriber {
    pub(super) fn send_renewal(&mut self, now: Instant) {
        let interval = self.renew_interval();
        let progress = self.progress();
        let Some(session) = &mut self.session else {
            return;
        };
        session.renew_at = now + interval;
        let Some(renewal) = session.begin_renewal(now) else {
            return;
        };
        let renew = Renew { session: session.id, renewal, progress };
        self.send(Message::Renew(renew));
    }

    pub(super) fn take_not_renewed(&mut self, answer: NotRenewed) -> Result<(), ProtocolError> {
        let session = self.session.as_mut().ok_or(ProtocolError::OtherSession)?;
        session.finish_renewal(answer.renewal).ok_or(ProtocolError::UnexpectedAnswer)?;
        Ok(())
    }

    pub(super) fn take_renewed(&mut self, now: Instant, renewed: Renewed) -> Result<(), ProtocolError> {
        self.check_renewed(&renewed)?;
        let session = self.session.as_mut().ok_or(ProtocolError::OtherSession)?;
        let sent = session.finish_renewal(renewed.renewal).ok_or(ProtocolError::UnexpectedAnswer)?;
        session.last_progress = now;
        let lease_begins = if self.guards.lease_from_sending { sent } else { now };
        self.position = renewed.upto;
        self.backoff.reset();
        let mut wrong = None;
        for listed in &renewed.digests {
            if !self.scopes.contains(&listed.scope) {
                continue;
            }
            if self.is_sound(listed) {
                self.held.insert(listed.scope);
                self.leases.renew(listed.scope, lease_begins, renewed.valid_for());
            } else if self.distrust(listed.scope) {
                wrong = wrong.or(Some(listed.scope));
            }
        }
        wrong.map_or(Ok(()), |scope| Err(ProtocolError::WrongDigest(scope)))
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

    /// Whether a scope is as the relay has it.
    fn is_sound(&self, listed: &ScopeDigest) -> bool {
        !self.guards.digest_check || self.store.digest(listed.scope) == listed.digest
    }

    /// The scope is acted on no longer until its repair is in. Returns false if that has been asked for already.
    fn distrust(&mut self, scope: Scope) -> bool {
        self.held.remove(&scope);
        self.leases.give_up(scope);
        self.request_repair(scope)
    }
}
