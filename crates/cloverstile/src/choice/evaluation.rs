//! Which destinations `decide` has to evaluate, derived from the rules in `choice.rs`. A skipped evaluation would not have
//! led to any action. No decisions are made here.

use super::Courier;
use crate::interface::{DestinationId, EndpointId, Event, Listing, MessageId, Time};
use crate::state::{keep_earliest, routes_of, ReadyDestination, Route};

impl Courier {
    /// Marks the destinations that an event affects.
    pub(super) fn mark_due_for(&mut self, event: &Event) {
        match event {
            Event::Listed(listing) => self.mark_due_for_listing(listing),
            Event::ShutdownAt(_) => self.mark_all_due(),
            Event::Suspended(id) | Event::Reinstated(id) => self.mark_due_for_endpoint(*id),
            Event::Accept(accepted) => self.due.mark_due(accepted.destination),
            Event::Restored(restored) => self.due.mark_due(restored.accepted.destination),
            Event::OutageRestored(outage) => self.due.mark_due(outage.destination),
            Event::TrialOwnerChanged(destination, _) | Event::PeerReported(destination, _) => {
                self.due.mark_due(*destination)
            }
            Event::AnswerAcknowledged(id) | Event::ClientGone(id) => self.mark_due_for_message(*id),
            Event::Finished(finished) => {
                self.mark_due_for_endpoint(finished.endpoint);
                self.mark_due_for_message(finished.message);
            }
            Event::TimerExpired(_) | Event::FirstByte(_) | Event::Probed { .. } | Event::Note { .. } => {}
        }
    }

    pub(super) fn mark_all_due(&mut self) {
        self.routes.keys().for_each(|id| self.due.mark_due(id.0));
        self.queues.iter().for_each(|(destination, _)| self.due.mark_due(destination));
    }

    /// A changed entry affects the previous and the new destination of its endpoint, a whole listing all destinations.
    fn mark_due_for_listing(&mut self, listing: &Listing) {
        match listing {
            Listing::Failed => {}
            Listing::Whole(_) => self.mark_all_due(),
            Listing::Changes(entries) => {
                for entry in entries {
                    self.mark_due_for_endpoint(entry.id);
                    self.due.mark_due(entry.destination);
                }
            }
        }
    }

    fn mark_due_for_endpoint(&mut self, id: EndpointId) {
        if let Some(endpoint) = self.endpoints.get(&id) {
            self.due.mark_due(endpoint.entry.destination);
        }
    }

    fn mark_due_for_message(&mut self, id: MessageId) {
        if let Some(message) = self.messages.get(&id) {
            self.due.mark_due(message.accepted.destination);
        }
    }

    /// Evaluates a due destination and returns it if it may be called now. Otherwise lowers `next` to the time when that
    /// may be the case, and defers the next evaluation until then where possible.
    pub(super) fn evaluate(
        &mut self,
        now: Time,
        destination: DestinationId,
        next: &mut Option<Time>,
    ) -> Option<ReadyDestination> {
        let (mut later, mut found) = (None, None);
        if self.queues.get(destination).is_some() {
            found = self.ready_destination(now, destination, &mut later);
        }
        if found.is_none() {
            self.defer_evaluation(now, destination, later);
        }
        keep_earliest(next, later);
        self.update_outage_index(destination);
        found
    }

    /// The destination with the value of its best message, if it may be called now.
    pub(super) fn ready_destination(
        &mut self,
        now: Time,
        destination: DestinationId,
        next: &mut Option<Time>,
    ) -> Option<ReadyDestination> {
        let value = self.candidate(now, destination, next)?.value;
        Some(ReadyDestination { destination, live_calls: self.live_calls_to(destination), value })
    }

    fn defer_evaluation(&mut self, now: Time, destination: DestinationId, next: Option<Time>) {
        if self.queues.get(destination).is_none() {
            self.due.defer(destination, None);
        } else if self.shutdown_at.is_none()
            && self
                .routes
                .range(routes_of(destination))
                .all(|(_, route)| self.is_blocked_until_timer(now, route))
        {
            self.due.defer(destination, next);
        }
    }

    /// Whether a route without calls in flight keeps its state until it may be called: it waits for its retry-after time
    /// or for a trial call. Other routes cannot be deferred, as each evaluation refills their tokens and may end their
    /// slow start.
    fn is_blocked_until_timer(&self, now: Time, route: &Route) -> bool {
        let is_warm_before = |until: Time| {
            route.slow_start_since.is_some_and(|since| since + self.settings.rules.warm_up <= until)
        };
        let waits_for_retry_after = route.retry_after_until > now && !is_warm_before(route.retry_after_until);
        let waits_for_trial =
            route.outage.is_some() && route.slow_start_since.is_none() && route.retry_after_until <= now;
        route.calls_in_flight.is_empty() && (waits_for_retry_after || waits_for_trial)
    }

    /// Stores whether a destination has an outage record after its evaluation.
    fn update_outage_index(&mut self, destination: DestinationId) {
        let has_outage =
            self.routes.range(routes_of(destination)).any(|(_, route)| route.has_outage_record());
        self.due.set_has_outage(destination, has_outage);
    }
}
