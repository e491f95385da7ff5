//! What subscribers ask for.

use std::collections::BTreeSet;
use std::time::Duration;

use super::feed::Feed;
use super::sending::Pace;
use super::session::Session;
use super::{Publisher, SubscriberId};
use crate::admission::jitter;
use crate::error::ProtocolError;
use crate::limits::{MAX_PEERS, MAX_SCOPES, NOT_READY_RETRY};
use crate::message::{Message, Reason, Renew, RequestRepair, Rescope, SessionId, Start, Subscribe, Welcome};
use crate::position::Position;
use crate::scope::Scope;
use crate::time::Instant;

impl Publisher {
    pub(super) fn take_message(
        &mut self,
        now: Instant,
        subscriber: SubscriberId,
        message: Message,
        feed: Feed<'_>,
    ) -> Result<(), ProtocolError> {
        if !self.links.contains(&subscriber) {
            return Err(ProtocolError::UnknownPeer);
        }
        if !message.is_well_formed() {
            return Err(ProtocolError::Malformed);
        }
        let session = match message {
            Message::Subscribe(subscribe) => {
                self.take_subscribe(now, subscriber, subscribe, feed);
                return Ok(());
            }
            other => self.session_of(subscriber, other.session()).map(|session| (session, other))?,
        };
        match session {
            (session, Message::Acknowledge(message)) => session.note_progress(message.progress),
            (session, Message::Renew(message)) => {
                session.note_progress(message.progress);
                self.take_renew(now, subscriber, message, feed);
                return Ok(());
            }
            (session, Message::RequestRepair(message)) => take_repair_request(session, message)?,
            (_, Message::RequestDigests(_)) => self.take_digest_request(now, subscriber, feed),
            (_, Message::Rescope(message)) => self.take_rescope(now, subscriber, message, feed)?,
            _ => return Err(ProtocolError::WrongDirection),
        }
        self.pump(now, subscriber, feed);
        Ok(())
    }

    fn session_of(&mut self, subscriber: SubscriberId, id: SessionId) -> Result<&mut Session, ProtocolError> {
        let session = self.sessions.get_mut(&subscriber).filter(|session| session.id == id);
        session.ok_or(ProtocolError::OtherSession)
    }

    fn take_subscribe(&mut self, now: Instant, subscriber: SubscriberId, message: Subscribe, feed: Feed<'_>) {
        self.end_session(now, subscriber, feed);
        let scopes: BTreeSet<Scope> = message.scopes.into_iter().collect();
        match self.begin(now, &scopes, message.resume, feed) {
            Ok(resume) => {
                let session = Session::new(message.session, scopes, message.history, resume, feed);
                self.welcome(subscriber, &session, feed);
                session.scopes.iter().for_each(|scope| self.demand.add(*scope, subscriber));
                self.sessions.insert(subscriber, session);
                self.pump(now, subscriber, feed);
            }
            Err((reason, retry_after)) => self.send_refused(subscriber, message.session, reason, retry_after),
        }
    }

    /// Decides whether a session begins: from the position returned, or with a snapshot if there is none.
    fn begin(
        &mut self,
        now: Instant,
        scopes: &BTreeSet<Scope>,
        resume: Option<Position>,
        feed: Feed<'_>,
    ) -> Result<Option<Position>, (Reason, Duration)> {
        if self.sessions.len() >= MAX_PEERS || !self.demand.has_room_for(scopes) {
            return Err((Reason::Full, self.soon()));
        }
        let is_ready = feed.lineage.latest().is_some() && scopes.iter().all(|scope| feed.holds(*scope));
        if !is_ready {
            scopes.iter().for_each(|scope| self.demand.ask(*scope, now));
            return Err((Reason::NotReady, self.soon()));
        }
        if resume.is_some_and(|position| feed.is_behind(position)) {
            return Err((Reason::Behind, self.soon()));
        }
        let resume = resume.filter(|position| feed.can_resume(*position));
        if resume.is_none() {
            self.admit_snapshot(now)?;
        }
        Ok(resume)
    }

    fn admit_snapshot(&mut self, now: Instant) -> Result<(), (Reason, Duration)> {
        if self.guards.admission {
            let admitted = self.admission.admit(now, &mut self.random);
            admitted.map_err(|retry_after| (Reason::SnapshotsBusy, retry_after))?;
        } else {
            self.admission.begin();
        }
        self.peaks.snapshots = self.peaks.snapshots.max(self.admission.under_way());
        Ok(())
    }

    fn soon(&mut self) -> Duration {
        NOT_READY_RETRY + jitter(NOT_READY_RETRY, &mut self.random)
    }

    fn welcome(&mut self, subscriber: SubscriberId, session: &Session, feed: Feed<'_>) {
        let start = if session.in_snapshot { Start::Snapshot } else { Start::Resume };
        let floor = if session.history { feed.store.floor() } else { feed.head };
        let lineage = feed.lineage.clone();
        self.send(subscriber, Message::Welcome(Welcome { session: session.id, start, lineage, floor }));
    }

    fn take_renew(&mut self, now: Instant, subscriber: SubscriberId, message: Renew, feed: Feed<'_>) {
        self.send_frames(now, subscriber, feed, Pace::AtOnce);
        let Some(session) = self.sessions.get_mut(&subscriber) else {
            return;
        };
        let answer = session.answer_renewal(now, &message, feed);
        self.send(subscriber, answer);
        self.pump(now, subscriber, feed);
    }

    fn take_digest_request(&mut self, now: Instant, subscriber: SubscriberId, feed: Feed<'_>) {
        self.send_frames(now, subscriber, feed, Pace::AtOnce);
        let answers = self.sessions.get(&subscriber).map(|session| session.scope_digests(feed));
        for answer in answers.into_iter().flatten() {
            self.send(subscriber, answer);
        }
    }

    fn take_rescope(
        &mut self,
        now: Instant,
        subscriber: SubscriberId,
        message: Rescope,
        feed: Feed<'_>,
    ) -> Result<(), ProtocolError> {
        let added: BTreeSet<Scope> = message.add.into_iter().collect();
        let Some(session) = self.sessions.get_mut(&subscriber) else {
            return Err(ProtocolError::OtherSession);
        };
        if session.scopes.len() + added.len() > MAX_SCOPES || !self.demand.has_room_for(&added) {
            return Err(ProtocolError::Malformed);
        }
        for scope in &message.remove {
            session.scopes.remove(scope);
            session.cancel_repair(*scope);
            self.demand.remove(*scope, subscriber, now);
        }
        session.scopes.extend(&added);
        // What was passed over in the added scopes so far may lie behind the cursor.
        session.mark_dirty(feed.head);
        added.iter().for_each(|scope| self.demand.add(*scope, subscriber));
        Ok(())
    }
}

fn take_repair_request(session: &mut Session, message: RequestRepair) -> Result<(), ProtocolError> {
    if !session.scopes.contains(&message.scope) {
        return Err(ProtocolError::NotSubscribed(message.scope));
    }
    session.request_repair(message.scope, message.digests);
    Ok(())
}
