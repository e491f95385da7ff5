//! Shares the trials of destinations in an outage among the couriers of a group.
//!
//! A trial is a single call that finds out whether an outage is over. The couriers that agree on who makes trials are a group.
//! Each destination in an outage is a duty, which the group assigns to at most one courier, the holder. It makes the trials,
//! reports the outcome to all couriers that registered for the duty, and passes the duty on if its trials have no success for some
//! time. While no courier is known to hold a duty, or its holder may have lost it, each courier makes trials of its own.

use cloverstile::{Courier, DestinationId, Event, OutageView, PeerReport, Time, TrialOwner};
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum number of duties that a courier registers for. It makes its own trials of all other destinations.
const MAX_DUTIES: usize = 1024;
/// A holder whose trials have no success for this multiple of the collapse window passes the duty on: perhaps only its own
/// network path is broken.
const MAX_HOLD_MULTIPLE: u32 = 2;
/// Interval between searches for outages while this courier is registered for no duty.
const SEARCH_INTERVAL: Duration = Duration::from_millis(5);
/// Interval between registrations for a duty that the group does not know about.
const REGISTER_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Which courier holds a duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DutyHolder {
    /// No courier, as far as is known.
    Nobody,
    /// This courier.
    ThisCourier {
        /// Epoch in which it holds the duty.
        epoch: u64,
        /// Until when it may act without further contact with the group.
        until: Time,
    },
    /// Another courier.
    OtherCourier {
        /// Until when it counts as the holder without further contact with the group.
        until: Time,
    },
}

/// The latest report of a duty's holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyReport {
    /// Epoch in which the reporting courier held the duty.
    pub epoch: u64,
    /// The report, which the group does not interpret.
    pub payload: Vec<u8>,
    /// When the group agreed on the report, in local time. The moment is not known exactly; this is its upper bound.
    pub agreed_at: Time,
}

/// State of a duty as the group last reported it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyView {
    /// Which courier holds it.
    pub holder: DutyHolder,
    /// The latest report of its holder.
    pub report: Option<DutyReport>,
}

/// A request to the group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TrialRequest {
    /// Registers this courier for the duty of a destination: as a possible holder and for the holder's reports.
    Register(DestinationId),
    /// Ends the registration: the destination serves again, or no message waits for it.
    Unregister(DestinationId),
    /// Assigns the duty to another courier, and does not assign it to this one for the given time.
    PassOn(DestinationId, Duration),
    /// Sends a report to all couriers that are registered for the duty.
    Report(DestinationId, Vec<u8>),
}

/// The outcome of a trial, as the holder of the duty reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TrialOutcome {
    /// The destination served a call this long before the report.
    Served(Duration),
    /// The destination asked to retry after this time, counted from the report.
    RetryAfter(Duration),
}

impl TrialOutcome {
    fn encode(self) -> Vec<u8> {
        let (kind, span) = match self {
            TrialOutcome::Served(ago) => (b's', ago),
            TrialOutcome::RetryAfter(remaining) => (b'w', remaining),
        };
        let mut payload = vec![kind];
        payload.extend((span.as_millis().min(u128::from(u64::MAX)) as u64).to_le_bytes());
        payload
    }

    /// Decodes a report; `None` if another release wrote it in a format that this one does not know.
    fn decode(payload: &[u8]) -> Option<Self> {
        let (kind, rest) = payload.split_first()?;
        let span = Duration::from_millis(u64::from_le_bytes(rest.try_into().ok()?));
        match kind {
            b's' => Some(TrialOutcome::Served(span)),
            b'w' => Some(TrialOutcome::RetryAfter(span)),
            _ => None,
        }
    }

    /// Converts the outcome to moments in local time. They may be too late, as `agreed_at` is an upper bound. That is safe: the slow
    /// start then begins too late, and the retry-after time ends too late.
    fn to_peer_report(self, agreed_at: Time) -> PeerReport {
        match self {
            TrialOutcome::Served(ago) => PeerReport::Served(agreed_at - ago),
            TrialOutcome::RetryAfter(remaining) => PeerReport::RetryAfter(agreed_at + remaining),
        }
    }
}

/// A duty that this courier is registered for.
#[derive(Debug, Default)]
struct TrackedDuty {
    /// The latest period in which this courier held the duty.
    tenure: Option<Tenure>,
    /// When this courier last registered with the group.
    registered_at: Time,
    /// This courier's report in that period.
    own_report: Option<OwnReport>,
    /// Epoch and payload of the last report of another courier. Reports are ordered by both.
    last_report: Option<(u64, Vec<u8>)>,
}

/// A period in which this courier holds a duty.
#[derive(Clone, Copy, Debug)]
struct Tenure {
    epoch: u64,
    since: Time,
}

/// A report that this courier sent.
#[derive(Debug)]
struct OwnReport {
    payload: Vec<u8>,
    sent_at: Time,
}

/// The duties that one courier is registered for.
#[derive(Debug)]
pub struct TrialDuties {
    duties: BTreeMap<DestinationId, TrackedDuty>,
    rng: fastrand::Rng,
    collapse_window: Duration,
    last_search: Option<Time>,
}

impl TrialDuties {
    /// No duties. `collapse_window` is how long a destination in its slow start can be overloaded before it collapses, `seed` is for
    /// random times.
    pub fn new(collapse_window: Duration, seed: u64) -> Self {
        TrialDuties {
            duties: BTreeMap::new(),
            rng: fastrand::Rng::with_seed(seed),
            collapse_window,
            last_search: None,
        }
    }

    /// Registers for new outages and decides who makes the trials of all known ones. Returns the events for the decision logic
    /// (`courier`) and the requests to the group. `registered` are the duties for which the group has this courier registered,
    /// including registrations of an earlier process; `view` returns a duty's state.
    pub fn update(
        &mut self,
        now: Time,
        courier: &Courier,
        registered: impl IntoIterator<Item = DestinationId>,
        view: impl Fn(DestinationId) -> Option<DutyView>,
    ) -> (Vec<Event>, Vec<TrialRequest>) {
        let (mut events, mut requests) = (Vec::new(), Vec::new());
        if self.duties.is_empty() && self.last_search.is_some_and(|at| now < at + SEARCH_INTERVAL) {
            return (events, requests);
        }
        self.last_search = Some(now);
        for destination in courier.confirmed_outages() {
            let is_new = !self.duties.contains_key(&destination) && self.duties.len() < MAX_DUTIES;
            if is_new && courier.outage_view(destination).is_some_and(|outage| outage.has_messages) {
                self.duties.insert(destination, TrackedDuty { registered_at: now, ..TrackedDuty::default() });
                requests.push(TrialRequest::Register(destination));
            }
        }
        for destination in registered {
            // An earlier process registered for it, and the outage ended since.
            if !self.duties.contains_key(&destination) {
                requests.push(TrialRequest::Unregister(destination));
            }
        }
        let mut finished = Vec::new();
        for (destination, duty) in &mut self.duties {
            let outage = courier.outage_view(*destination);
            let view = view(*destination);
            if view.is_none() && now - duty.registered_at > REGISTER_RETRY_INTERVAL {
                // The group was not reachable when this courier registered, or has lost its state since.
                duty.registered_at = now;
                requests.push(TrialRequest::Register(*destination));
            }
            let view = view.unwrap_or(DutyView { holder: DutyHolder::Nobody, report: None });
            let random = self.rng.f64();
            let (is_needed, trials) = match outage {
                Some(outage) => {
                    events.extend(duty.new_report_event(*destination, &view));
                    let max_hold = self.collapse_window * MAX_HOLD_MULTIPLE;
                    duty.next_trials(now, *destination, outage, &view, max_hold, random, &mut requests)
                }
                None => (false, TrialOwner::EachCourier),
            };
            events.push(Event::TrialOwnerChanged(*destination, trials));
            if !is_needed {
                requests.push(TrialRequest::Unregister(*destination));
                finished.push(*destination);
            }
        }
        finished.iter().for_each(|destination| drop(self.duties.remove(destination)));
        (events, requests)
    }
}

impl TrackedDuty {
    /// The event for a report of another courier that is new to this one.
    fn new_report_event(&mut self, destination: DestinationId, view: &DutyView) -> Option<Event> {
        let DutyReport { epoch, payload, agreed_at } = view.report.as_ref()?;
        let is_own = self.tenure.is_some_and(|tenure| tenure.epoch == *epoch);
        let is_old = self
            .last_report
            .as_ref()
            .is_some_and(|(last_epoch, last_payload)| (*last_epoch, last_payload) >= (*epoch, payload));
        if is_own || is_old {
            return None;
        }
        self.last_report = Some((*epoch, payload.clone()));
        let report = TrialOutcome::decode(payload)?.to_peer_report(*agreed_at);
        Some(Event::PeerReported(destination, report))
    }

    /// Returns whether the registration is still needed, and who makes the trials until the next update. `max_hold` is the
    /// longest time to hold the duty without success. A duty that is passed on is not assigned to this courier again for a
    /// random time; `random` is a number from 0 to 1 for it.
    #[allow(clippy::too_many_arguments)]
    fn next_trials(
        &mut self,
        now: Time,
        destination: DestinationId,
        outage: OutageView,
        view: &DutyView,
        max_hold: Duration,
        random: f64,
        requests: &mut Vec<TrialRequest>,
    ) -> (bool, TrialOwner) {
        let has_outage = outage.confirmed_since.is_some();
        let (epoch, until) = match view.holder {
            DutyHolder::Nobody => return (has_outage, TrialOwner::EachCourier),
            DutyHolder::OtherCourier { until } => return (has_outage, TrialOwner::OtherCourier(until)),
            DutyHolder::ThisCourier { epoch, until } => (epoch, until),
        };
        if self.tenure.is_none_or(|tenure| tenure.epoch != epoch) {
            self.tenure = Some(Tenure { epoch, since: now });
            self.own_report = None;
        }
        let since = self.tenure.map_or(now, |tenure| tenure.since);
        if has_outage {
            // A report made in this epoch concerned an earlier outage.
            self.own_report = None;
            let is_held_too_long = now - since > max_hold;
            if !outage.has_messages || is_held_too_long {
                requests.push(TrialRequest::PassOn(destination, max_hold.mul_f64(1.0 + random)));
                return (true, TrialOwner::EachCourier);
            }
            return (true, TrialOwner::ThisCourier(until));
        }
        // The destination serves again or gave a retry-after time. The other couriers are notified before the duty ends.
        if self.own_report.is_none() {
            let outcome = if outage.retry_after_until > now {
                TrialOutcome::RetryAfter(outage.retry_after_until - now)
            } else if outage.last_success >= since {
                TrialOutcome::Served(now - outage.last_success)
            } else {
                return (false, TrialOwner::EachCourier);
            };
            let payload = outcome.encode();
            requests.push(TrialRequest::Report(destination, payload.clone()));
            self.own_report = Some(OwnReport { payload, sent_at: now });
        }
        // A report that gets lost must not keep the duty forever: the other couriers will find out by their own trials.
        let is_done = self.own_report.as_ref().is_some_and(|own| {
            let is_agreed = view
                .report
                .as_ref()
                .is_some_and(|report| report.epoch == epoch && report.payload == own.payload);
            is_agreed || now - own.sent_at > max_hold
        });
        (!is_done, TrialOwner::ThisCourier(until))
    }
}

#[cfg(test)]
mod tests;
