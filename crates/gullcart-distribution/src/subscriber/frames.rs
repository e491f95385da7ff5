//! How a subscriber takes in the beginning of a session and its frames. Each is checked as a whole before it is applied.

use super::staging::{apply_all, Replacement, Staged, StagedRepair};
use super::{Role, Subscriber};
use crate::digest::{bucket_of, BucketSet};
use crate::error::ProtocolError;
use crate::limits::MAX_ENTRIES;
use crate::message::{Frame, Part, Sequence, Start, Welcome};
use crate::position::{Epoch, Lineage, Position};
use crate::scope::{Change, Scope};
use crate::time::Instant;

impl Subscriber {
    pub(super) fn take_welcome(&mut self, now: Instant, welcome: Welcome) -> Result<(), ProtocolError> {
        let session = self.session.as_ref().ok_or(ProtocolError::OtherSession)?;
        if session.accepted {
            return Err(ProtocolError::Malformed);
        }
        let scopes = session.subscribed.clone();
        self.check_epoch(welcome.lineage.latest())?;
        self.note_epoch(&welcome.lineage);
        match welcome.start {
            Start::Snapshot => {
                let replacement = Replacement { lineage: welcome.lineage, floor: welcome.floor, scopes };
                self.staged = Some(Staged::snapshot(replacement));
            }
            Start::Resume => self.adopt_lineage(welcome.lineage),
        }
        if let Some(session) = &mut self.session {
            session.accepted = true;
            session.renew_at = now;
        }
        self.request_missing_scopes();
        Ok(())
    }

    /// Scopes that are neither here nor part of the snapshot under way are asked for one by one.
    fn request_missing_scopes(&mut self) {
        let replacement = self.staged.as_ref().and_then(|staged| staged.replaces.as_ref());
        let coming = replacement.map_or(&self.held, |replacement| &replacement.scopes);
        let missing: Vec<Scope> = self.scopes.difference(coming).copied().collect();
        for scope in missing {
            self.request_repair(scope);
        }
    }

    pub(super) fn take_lineage(&mut self, lineage: Lineage) -> Result<(), ProtocolError> {
        self.check_epoch(lineage.latest())?;
        self.note_epoch(&lineage);
        self.adopt_lineage(lineage);
        Ok(())
    }

    /// The lineage belongs to the state, so that of a snapshot is kept with it until it is complete.
    fn adopt_lineage(&mut self, lineage: Lineage) {
        match self.staged.as_mut().and_then(|staged| staged.replaces.as_mut()) {
            Some(replacement) => replacement.lineage = lineage,
            None => self.lineage = lineage,
        }
    }

    fn note_epoch(&mut self, lineage: &Lineage) {
        if let Some(epoch) = lineage.latest() {
            self.latest_epoch = epoch;
        }
    }

    fn check_epoch(&self, found: Option<Epoch>) -> Result<(), ProtocolError> {
        let found = found.ok_or(ProtocolError::Malformed)?;
        if self.guards.epoch_fence && found < self.latest_epoch {
            return Err(ProtocolError::OlderEpoch { latest: self.latest_epoch, found });
        }
        Ok(())
    }

    pub(super) fn take_frame(&mut self, now: Instant, frame: Frame) -> Result<(), ProtocolError> {
        self.check_sequence(frame.sequence)?;
        self.check_scopes(&frame)?;
        self.check_frame_epoch(&frame)?;
        let (sequence, complete) = (frame.sequence, frame.complete);
        match frame.part {
            Part::Subscription => self.take_changes(now, frame)?,
            Part::Buckets { scope, buckets } => self.take_repair(scope, buckets, frame)?,
        }
        if let Some(session) = &mut self.session {
            session.received = sequence;
            if complete {
                session.note_heard(now);
            } else {
                session.note_progress(now);
            }
        }
        self.send_acknowledge();
        Ok(())
    }

    fn check_sequence(&self, found: Sequence) -> Result<(), ProtocolError> {
        let session =
            self.session.as_ref().filter(|session| session.accepted).ok_or(ProtocolError::OtherSession)?;
        let expected = Sequence(session.received.0 + 1);
        if !self.guards.gap_check || found == expected {
            Ok(())
        } else if found < expected {
            Err(ProtocolError::Repeated(found))
        } else {
            Err(ProtocolError::MissingFrame { expected, found })
        }
    }

    fn check_scopes(&self, frame: &Frame) -> Result<(), ProtocolError> {
        for change in &frame.changes {
            if !self.may_come(change.scope) {
                return Err(ProtocolError::NotSubscribed(change.scope));
            }
        }
        let Part::Buckets { scope, buckets } = frame.part else {
            return Ok(());
        };
        if !self.may_come(scope) {
            return Err(ProtocolError::NotSubscribed(scope));
        }
        let belongs = |change: &Change| change.scope == scope && buckets.contains(bucket_of(&change.key));
        if !frame.changes.iter().all(belongs) {
            return Err(ProtocolError::Malformed);
        }
        Ok(())
    }

    fn may_come(&self, scope: Scope) -> bool {
        let given_up = self.session.as_ref().is_some_and(|session| session.has_given_up(scope));
        given_up || self.scopes.contains(&scope)
    }

    /// Frames of a snapshot pass through old epochs; only where a state is complete must it be of the latest one.
    fn check_frame_epoch(&self, frame: &Frame) -> Result<(), ProtocolError> {
        let found = frame.upto.epoch;
        if found > self.latest_epoch {
            return Err(ProtocolError::UnknownEpoch(found));
        }
        if frame.complete {
            self.check_epoch(Some(found))?;
        }
        Ok(())
    }

    /// Where the next frame has to begin.
    pub(super) fn cursor(&self) -> Position {
        self.staged.as_ref().map_or(self.position, |staged| staged.cursor)
    }

    pub(super) fn check_follows(&self, after: Position) -> Result<(), ProtocolError> {
        let expected = self.cursor();
        if !self.guards.gap_check || after == expected {
            return Ok(());
        }
        if after < expected {
            return Err(ProtocolError::WentBack { last: expected, found: after });
        }
        Err(ProtocolError::Gap { expected, found: after })
    }

    fn take_changes(&mut self, now: Instant, mut frame: Frame) -> Result<(), ProtocolError> {
        self.check_follows(frame.after)?;
        if frame.complete && frame.upto < self.position {
            return Err(ProtocolError::WentBack { last: self.position, found: frame.upto });
        }
        let scopes = &self.scopes;
        frame.changes.retain(|change| scopes.contains(&change.scope));
        if !self.guards.atomic_apply {
            return self.apply_at_once(now, frame);
        }
        let (upto, complete) = (frame.upto, frame.complete);
        if complete && self.staged.is_none() {
            return self.apply_directly(frame);
        }
        let staged = self.staged.get_or_insert_with(|| Staged::changes_after(frame.after));
        staged.push(frame)?;
        if complete {
            self.commit_staged(now, upto);
        }
        Ok(())
    }

    fn apply_directly(&mut self, frame: Frame) -> Result<(), ProtocolError> {
        if self.store.entry_count() + frame.changes.len() > MAX_ENTRIES {
            return Err(ProtocolError::TooManyEntries);
        }
        let touched = apply_all(frame.changes, &mut self.store);
        self.position = frame.upto;
        self.note_touched(touched);
        Ok(())
    }

    fn commit_staged(&mut self, now: Instant, upto: Position) {
        let Some(staged) = self.staged.take() else {
            return;
        };
        if let Some(replacement) = &staged.replaces {
            self.lineage = replacement.lineage.clone();
            self.held = self.scopes.intersection(&replacement.scopes).copied().collect();
            self.note_touched(self.scopes.iter().copied().collect());
        }
        let touched = staged.commit(&self.scopes, &mut self.store);
        self.position = upto;
        self.note_touched(touched);
        if let Some(session) = &mut self.session {
            session.renew_at = now;
        }
    }

    /// What would happen without staging; see [`crate::guards::Guards::atomic_apply`].
    fn apply_at_once(&mut self, now: Instant, frame: Frame) -> Result<(), ProtocolError> {
        let (upto, complete) = (frame.upto, frame.complete);
        let staged = self.staged.get_or_insert_with(|| Staged::changes_after(frame.after));
        staged.push(frame)?;
        self.commit_staged(now, upto);
        if !complete {
            self.staged = Some(Staged::changes_after(upto));
        }
        Ok(())
    }

    fn note_touched(&mut self, scopes: Vec<Scope>) {
        if self.role == Role::Relay {
            self.touched.extend(scopes);
        }
    }

    fn take_repair(&mut self, scope: Scope, buckets: BucketSet, frame: Frame) -> Result<(), ProtocolError> {
        let Some(session) = &mut self.session else {
            return Err(ProtocolError::OtherSession);
        };
        session.missing_since = None;
        let mut repair = session.repair.take().unwrap_or_else(|| StagedRepair::new(scope, buckets));
        if !repair.is_followed_by(&frame) {
            return Err(ProtocolError::Gap { expected: self.position, found: frame.after });
        }
        let (upto, complete) = (frame.upto, frame.complete);
        repair.push(frame)?;
        if !complete {
            session.repair = Some(repair);
            return Ok(());
        }
        if self.staged.is_some() || upto != self.position {
            return Err(ProtocolError::Gap { expected: self.position, found: upto });
        }
        session.repairs_asked.remove(&scope);
        if self.scopes.contains(&scope) {
            repair.commit(&mut self.store);
            self.held.insert(scope);
            self.note_touched(vec![scope]);
        }
        Ok(())
    }
}
