//! How the scopes of a subscriber change, and how the content of a single one is asked for.

use std::collections::BTreeSet;

use super::Subscriber;
use crate::message::{Message, RequestRepair, Rescope};
use crate::scope::Scope;
use crate::time::Instant;

impl Subscriber {
    /// Subscribes to more scopes and gives others up. Those added are not current until their content has come.
    pub fn rescope(&mut self, add: &BTreeSet<Scope>, remove: &BTreeSet<Scope>) {
        let add: Vec<Scope> = add.difference(&self.scopes).copied().collect();
        let remove: Vec<Scope> = remove.intersection(&self.scopes).copied().collect();
        if add.is_empty() && remove.is_empty() {
            return;
        }
        for scope in &remove {
            self.forget(*scope);
        }
        self.scopes.extend(&add);
        let Some(session) = &mut self.session else {
            return;
        };
        session.give_up(&remove);
        let session_id = session.id;
        self.send(Message::Rescope(Rescope { session: session_id, add: add.clone(), remove }));
        for scope in add {
            self.request_repair(scope);
        }
    }

    fn forget(&mut self, scope: Scope) {
        self.scopes.remove(&scope);
        self.held.remove(&scope);
        self.leases.give_up(scope);
        self.store.remove_scope(scope);
    }

    /// Asks again for what has not come in time, as a request may have been lost.
    pub(super) fn repeat_requests(&mut self, now: Instant) {
        let Some(session) = &mut self.session else {
            return;
        };
        if !session.takes_too_long(now) {
            return;
        }
        session.missing_since = Some(now);
        let repairs = std::mem::take(&mut session.repairs_asked);
        let digests_asked = std::mem::take(&mut session.digests_asked);
        for scope in repairs {
            self.request_repair(scope);
        }
        if digests_asked {
            self.request_digests();
        }
    }

    /// Asks for a scope's repair; returns false if it has been asked for already.
    pub(super) fn request_repair(&mut self, scope: Scope) -> bool {
        let Some(session) = &mut self.session else {
            return false;
        };
        if !session.repairs_asked.insert(scope) {
            return false;
        }
        let digests = self.store.scope(scope).map(|state| *state.buckets());
        let request = RequestRepair { session: session.id, scope, digests };
        self.send(Message::RequestRepair(request));
        true
    }
}
