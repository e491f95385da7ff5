//! Files waiting messages in the index of queues, as `choice.rs` decides when they may be sent and what they are worth.
//! Nothing is decided here.

use super::Courier;
use crate::books::Message;
use crate::interface::{Decay, MessageId, OrderKey, Time};
use crate::ready::{Best, Group, Placement, Queues, Rank, Shelf, Trend};
use std::time::Duration;

/// Times computed from fractions of seconds are off by less than this.
const ROUNDING: Duration = Duration::from_nanos(2);
const TICK: Duration = Duration::from_nanos(1);

impl Courier {
    /// Files a message anew, after something has happened that bears on when it may be sent.
    pub(super) fn place(&mut self, now: Time, id: MessageId) {
        let Some(message) = self.messages.get(&id) else { return };
        let placement = self.placement(now, message);
        self.queues.place(message.taken.destination, id, placement);
    }

    /// Files the message anew whose turn it is among those of a key.
    pub(super) fn place_front(&mut self, now: Time, key: OrderKey) {
        if let Some((_, front)) = self.keys.get(&key).and_then(|turn| turn.first()) {
            self.place(now, *front);
        }
    }

    /// Files the front messages of all keys anew.
    pub(super) fn place_fronts(&mut self, now: Time) {
        let fronts = self.keys.values().filter_map(|turn| turn.first());
        for front in fronts.map(|(_, front)| *front).collect::<Vec<_>>() {
            self.place(now, front);
        }
    }

    /// Brings the index up to a time.
    pub(super) fn place_outdated(&mut self, now: Time) {
        while let Some(id) = self.queues.outdated(now) {
            self.place(now, id);
        }
    }

    /// Builds the index from the messages. It is brought up to the time of the next decision by that.
    pub(super) fn rebuild_queues(&mut self) {
        self.queues = Queues::default();
        let held = self.messages.iter().filter(|(_, message)| !message.closed);
        for id in held.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.queues.join(self.messages[&id].taken.destination);
            self.place(Time::ZERO, id);
        }
    }

    fn placement(&self, now: Time, message: &Message) -> Option<Placement> {
        let at = self.sendable_at(now, message)?;
        if at > now {
            let window = self.last_send(message).map(|end| end + TICK);
            let changes_at = window.map_or(at, |window| window.min(at));
            return Some(Placement { shelf: Shelf::Timed(at), changes_at: Some(changes_at) });
        }
        let group = self.group(now, message);
        let best = self.best(message, &group);
        let rank = Rank::new(best, message.born, message.arrival, message.taken.id);
        Some(Placement { shelf: Shelf::Ready(group, rank), changes_at: self.next_change(now, message) })
    }

    fn group(&self, now: Time, message: &Message) -> Group {
        let class = self.class(message);
        let age = (now - message.born).as_secs_f64();
        let trend = |age| Trend::of(self.value(message, age), &[0.0, 1.0, class.late_share]);
        Group {
            class: message.taken.class,
            over_share: message.over_share,
            fits_trial: self.fits_trial(message),
            value: trend(age),
            value_ahead: trend(age + class.aim.as_secs_f64()),
        }
    }

    /// Which message of a group has the most worth. Worth is the value now, less a smaller part of the value ahead; where
    /// both fall they do so evenly or by one factor, so that the value now prevails.
    fn best(&self, message: &Message, group: &Group) -> Best {
        let falls = self.full_worth(message) * (1.0 - self.class(message).late_share);
        match (group.value, group.value_ahead) {
            _ if falls == 0.0 => Best::FirstCome,
            (Trend::Steady(_), Trend::Steady(_)) => Best::FirstCome,
            (Trend::Steady(_), Trend::Falling) if falls > 0.0 => Best::Oldest,
            (Trend::Steady(_), Trend::Falling) => Best::Youngest,
            (Trend::Falling, _) if falls > 0.0 => Best::Youngest,
            (Trend::Falling, _) => Best::Oldest,
        }
    }

    /// When a ready message comes into another group, or may not be sent any more: where its value, or its value one aim
    /// later, begins or ceases to fall.
    fn next_change(&self, now: Time, message: &Message) -> Option<Time> {
        let class = self.class(message);
        let (born, end) = (message.born, self.last_send(message));
        let least = match self.settings.decay {
            Decay::Line => None,
            Decay::Halves => {
                let aims = 1.0 - class.late_share.log2();
                Duration::try_from_secs_f64(class.aim.as_secs_f64() * aims).ok()
            }
        };
        let ages = [Some(class.aim), Some(class.deadline), end.map(|end| end - born), least];
        let kinks = ages.into_iter().flatten().map(|age| born + age);
        let changes = kinks.flat_map(|kink| [kink, kink - class.aim]).chain(end);
        changes
            .filter(|change| *change + ROUNDING >= now)
            .map(|change| (change - ROUNDING).max(now + TICK))
            .min()
    }
}
