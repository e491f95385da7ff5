//! Maintains the index of open messages from the send times and worth that `choice.rs` decides. No decisions are made here.

use super::Courier;
use crate::interface::{Decay, MessageId, OrderKey, Time};
use crate::queues::{IndexEntry, MessageGroup, Position, Queues, Rank, RankBy, Trend};
use crate::state::Message;
use std::time::Duration;

/// Upper bound of the rounding error of times computed from fractions of seconds.
const ROUNDING: Duration = Duration::from_nanos(2);
const TICK: Duration = Duration::from_nanos(1);

impl Courier {
    /// Updates the index entry of a message after an event that affects when it may be sent.
    pub(super) fn reindex(&mut self, now: Time, id: MessageId) {
        let Some(message) = self.messages.get(&id) else { return };
        let entry = self.index_entry(now, message);
        let destination = message.accepted.destination;
        self.queues.set_entry(destination, id, entry);
        self.due.mark_due(destination);
    }

    /// Updates the index entry of the first message of an order key.
    pub(super) fn reindex_first_of_key(&mut self, now: Time, key: OrderKey) {
        if let Some((_, first)) = self.key_queues.get(&key).and_then(|queue| queue.first()) {
            self.reindex(now, *first);
        }
    }

    /// Updates the index entries of the first messages of all order keys.
    pub(super) fn reindex_first_of_all_keys(&mut self, now: Time) {
        let firsts = self.key_queues.values().filter_map(|queue| queue.first());
        for first in firsts.map(|(_, first)| *first).collect::<Vec<_>>() {
            self.reindex(now, first);
        }
    }

    /// Updates all index entries that are outdated at `now`.
    pub(super) fn reindex_outdated(&mut self, now: Time) {
        while let Some(id) = self.queues.outdated(now) {
            self.reindex(now, id);
        }
    }

    /// Builds the index from the messages, as of time zero. The next decision updates the outdated entries.
    pub(super) fn rebuild_queues(&mut self) {
        self.queues = Queues::default();
        let open = self.messages.iter().filter(|(_, message)| !message.closed);
        for id in open.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.queues.add_message(self.messages[&id].accepted.destination);
            self.reindex(Time::ZERO, id);
        }
    }

    fn index_entry(&self, now: Time, message: &Message) -> Option<IndexEntry> {
        let at = self.sendable_at(now, message)?;
        if at > now {
            let window_end = self.last_send(message).map(|end| end + TICK);
            let outdated_at = window_end.map_or(at, |end| end.min(at));
            return Some(IndexEntry { position: Position::Delayed(at), outdated_at: Some(outdated_at) });
        }
        let group = self.group(now, message);
        let rank_by = self.rank_by(message, &group);
        let rank = Rank::new(rank_by, message.enqueued_at, message.ordinal, message.accepted.id);
        Some(IndexEntry {
            position: Position::Ready(group, rank),
            outdated_at: self.next_group_change(now, message),
        })
    }

    fn group(&self, now: Time, message: &Message) -> MessageGroup {
        let class = self.class(message);
        let age = (now - message.enqueued_at).as_secs_f64();
        let trend = |age| Trend::of(self.worth_share(message, age), &[0.0, 1.0, class.late_share]);
        MessageGroup {
            class: message.accepted.class,
            over_quota: message.over_quota,
            fits_trial: self.fits_trial(message),
            has_time: now <= self.last_hopeful_send(message),
            worth_now: trend(age),
            worth_ahead: trend(age + class.aim.as_secs_f64()),
        }
    }

    /// Which message of a group has the highest priority. Priority is a multiple of the worth now, less a smaller multiple of
    /// the worth one aim ahead. Older messages have lost more worth: if only the worth ahead falls, the oldest has the
    /// highest priority; if the worth now falls, the youngest, as the worth ahead falls no faster. If the total
    /// fall is negative (`late_share` above 1), it is the other way round.
    fn rank_by(&self, message: &Message, group: &MessageGroup) -> RankBy {
        let total_fall = self.full_worth(message) * (1.0 - self.class(message).late_share);
        match (group.worth_now, group.worth_ahead) {
            _ if total_fall == 0.0 => RankBy::Ordinal,
            (Trend::Steady(_), Trend::Steady(_)) => RankBy::Ordinal,
            (Trend::Steady(_), Trend::Falling) if total_fall > 0.0 => RankBy::Oldest,
            (Trend::Steady(_), Trend::Falling) => RankBy::Youngest,
            (Trend::Falling, _) if total_fall > 0.0 => RankBy::Youngest,
            (Trend::Falling, _) => RankBy::Oldest,
        }
    }

    /// When a ready message changes its group or may no longer be sent: its worth, or its worth one aim later, begins or
    /// stops falling, or it has too little time left for an answer.
    fn next_group_change(&self, now: Time, message: &Message) -> Option<Time> {
        let class = self.class(message);
        let (enqueued_at, end) = (message.enqueued_at, self.last_send(message));
        // Halving reaches `late_share` at this age.
        let age_of_least_worth = match self.settings.decay {
            Decay::Linear => None,
            Decay::Halving => {
                let aims = 1.0 - class.late_share.log2();
                Duration::try_from_secs_f64(class.aim.as_secs_f64() * aims).ok()
            }
        };
        let window_end = end.map(|end| end - enqueued_at);
        let ages = [Some(class.aim), Some(class.deadline), window_end, age_of_least_worth];
        let times = ages.into_iter().flatten().map(|age| enqueued_at + age);
        let last_hopeful_send = self.last_hopeful_send(message) + TICK;
        let changes = times.flat_map(|time| [time, time - class.aim]).chain(end).chain([last_hopeful_send]);
        changes
            .filter(|change| *change + ROUNDING >= now)
            .map(|change| (change - ROUNDING).max(now + TICK))
            .min()
    }
}
