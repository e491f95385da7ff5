//! Which destinations have to be looked at in a turn, as far as that follows from the rules in `choice.rs`. A look that is
//! left out would have decided nothing. Nothing is decided here.

use super::Courier;
use crate::books::{earliest, routes_of, Ready, Route};
use crate::interface::{DestinationId, EndpointId, Event, Listing, MessageId, Time};

impl Courier {
    /// Notes which destinations an event is about.
    pub(super) fn touch_all_of(&mut self, event: &Event) {
        match event {
            Event::Listed(listing) => self.touch_listing(listing),
            Event::Closing(_) => self.touch_everything(),
            Event::Suspended(id) | Event::Reinstated(id) => self.touch_endpoint(*id),
            Event::Accept(taken) => self.due.touch(taken.destination),
            Event::Restored(restored) => self.due.touch(restored.taken.destination),
            Event::Recalled(outage) => self.due.touch(outage.destination),
            Event::Trials(to, _) | Event::Learnt(to, _) => self.due.touch(*to),
            Event::Heard(id) | Event::ClientGone(id) => self.touch_message(*id),
            Event::Finished(finished) => {
                self.touch_endpoint(finished.endpoint);
                self.touch_message(finished.message);
            }
            Event::TickDue(_) | Event::FirstByte(_) | Event::Probed { .. } | Event::Note { .. } => {}
        }
    }

    pub(super) fn touch_everything(&mut self) {
        self.routes.keys().for_each(|id| self.due.touch(id.0));
        self.queues.iter().for_each(|(to, _)| self.due.touch(to));
    }

    /// A change bears on the destinations that its endpoints had and will have, a whole list on all of them.
    fn touch_listing(&mut self, listing: &Listing) {
        match listing {
            Listing::Failed => {}
            Listing::Whole(_) => self.touch_everything(),
            Listing::Changes(entries) => {
                for entry in entries {
                    self.touch_endpoint(entry.id);
                    self.due.touch(entry.destination);
                }
            }
        }
    }

    fn touch_endpoint(&mut self, id: EndpointId) {
        if let Some(address) = self.addresses.get(&id) {
            self.due.touch(address.entry.destination);
        }
    }

    fn touch_message(&mut self, id: MessageId) {
        if let Some(message) = self.messages.get(&id) {
            self.due.touch(message.taken.destination);
        }
    }

    /// Looks at a destination that is due, and says whether a call may go there; if not, `next` tells when that may be, and
    /// no look is needed before.
    pub(super) fn look(&mut self, now: Time, to: DestinationId, next: &mut Option<Time>) -> Option<Ready> {
        let (mut later, mut found) = (None, None);
        if self.queues.get(to).is_some() {
            found = self.ready(now, to, &mut later);
        }
        if found.is_none() {
            self.park(now, to, later);
        }
        earliest(next, later);
        self.note_health(to);
        found
    }

    /// Whether a call may go to a destination now.
    pub(super) fn ready(&mut self, now: Time, to: DestinationId, next: &mut Option<Time>) -> Option<Ready> {
        let (.., value) = self.candidate(now, to, next)?;
        Some(Ready { to, calls: self.calls_to(to), value })
    }

    fn park(&mut self, now: Time, to: DestinationId, next: Option<Time>) {
        if self.queues.get(to).is_none() {
            self.due.park(to, None);
        } else if self.closing.is_none() && self.routes.range(routes_of(to)).all(|(_, r)| self.rests(now, r))
        {
            self.due.park(to, next);
        }
    }

    /// Whether a route without calls out stays as it is until it is free: it waits for a told time, or for a trial. Its
    /// tokens, and the end of a slow return, go by the time of the looks.
    fn rests(&self, now: Time, route: &Route) -> bool {
        let warm_before =
            |until: Time| route.returned.is_some_and(|since| since + self.settings.rules.cold <= until);
        let is_told = route.told_wait > now && !warm_before(route.told_wait);
        let is_on_trial = route.spell.is_some() && route.returned.is_none() && route.told_wait <= now;
        route.out.is_empty() && (is_told || is_on_trial)
    }

    /// Whether an outage of a destination is to be remembered, after a look.
    fn note_health(&mut self, to: DestinationId) {
        let is_troubled = self.routes.range(routes_of(to)).any(|(_, route)| route.is_troubled());
        self.due.set_troubled(to, is_troubled);
    }
}
