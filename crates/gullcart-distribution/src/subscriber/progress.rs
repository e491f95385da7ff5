//! What a subscriber tells of its progress.

use super::{Role, Subscriber};
use crate::message::{Acknowledge, Message, Progress};
use crate::position::Position;

impl Subscriber {
    /// Tells the relay above that changes are in force below, if it was not told yet.
    pub(crate) fn report_in_force(&mut self, position: Position) {
        if position <= self.in_force {
            return;
        }
        self.in_force = position;
        self.send_acknowledge();
    }

    pub(super) fn progress(&self) -> Progress {
        let received = self.session.as_ref().map(|session| session.received).unwrap_or_default();
        let in_force = match self.role {
            Role::Edge => self.position,
            Role::Relay => self.in_force,
        };
        Progress { received, in_force }
    }

    pub(super) fn send_acknowledge(&mut self) {
        let Some(session) = &self.session else {
            return;
        };
        if session.accepted {
            let acknowledge = Acknowledge { session: session.id, progress: self.progress() };
            self.send(Message::Acknowledge(acknowledge));
        }
    }
}
