//! When frames go out to a subscriber.

use super::feed::Feed;
use super::{Publisher, SubscriberId};
use crate::message::{Message, Reason};
use crate::time::Instant;

/// How frames follow on each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Pace {
    /// As far as the window goes.
    AtOnce,
    /// Those with changes at least [`crate::limits::FRAME_INTERVAL`] apart.
    Spaced,
}

impl Publisher {
    /// Sends what may be sent to a subscriber and sets its timer for the rest.
    pub(super) fn pump(&mut self, now: Instant, subscriber: SubscriberId, feed: Feed<'_>) {
        self.send_frames(now, subscriber, feed, Pace::Spaced);
        let Some(session) = self.sessions.get_mut(&subscriber) else {
            return;
        };
        if session.in_snapshot && !session.mid_transfer {
            session.in_snapshot = false;
            self.admission.finish();
        }
        if session.dirty && session.window.has_room() {
            self.timers.insert((session.next_frame_at.max(now), subscriber));
        }
    }

    pub(super) fn send_frames(&mut self, now: Instant, subscriber: SubscriberId, feed: Feed<'_>, pace: Pace) {
        let has_window = self.guards.window;
        while let Some(session) = self.sessions.get_mut(&subscriber) {
            let has_room = session.window.has_room() || !has_window;
            let is_early = pace == Pace::Spaced && now < session.next_frame_at;
            let must_wait = session.dirty && !session.mid_transfer && is_early;
            if !has_room || must_wait {
                return;
            }
            if !session.has_all_removals(feed) {
                let id = session.id;
                self.refuse(now, subscriber, id, Reason::Replaced, feed);
                return;
            }
            let Some(frame) = session.next_frame(now, feed) else {
                return;
            };
            self.peaks.window_bytes = self.peaks.window_bytes.max(session.window.bytes());
            self.send(subscriber, Message::Frame(frame));
        }
    }
}
