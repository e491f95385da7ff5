//! Read-only views of the state of destinations, for monitoring, restarts and coordination between couriers. No decisions
//! are made here.

use super::Courier;
use crate::interface::{DestinationId, Mode, OutageRecord, OutageView, Time};
use crate::state::{routes_of, EndpointState, Route, RouteId};

/// What the waiting messages of a destination wait for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitReason {
    /// The retry-after time that the destination gave.
    Told,
    /// The next trial call in an outage.
    Trial,
    /// The limited rate of the slow start after an outage.
    Return,
    /// The rate at which this courier calls the destination.
    Pace,
    /// A free call slot.
    Slots,
    /// An earlier message of the same order key, or the backoff after the last attempt.
    Turn,
}

/// State of one destination with open messages.
#[derive(Clone, Copy, Debug)]
pub struct DestinationStatus {
    /// The destination.
    pub destination: DestinationId,
    /// Number of open messages that are not in flight.
    pub waiting: usize,
    /// Number of calls in flight.
    pub calls_in_flight: usize,
    /// What the waiting messages wait for.
    pub wait_reason: WaitReason,
    /// Calls a second that this courier allows itself, without the adjustments for the unused share of the limit and for
    /// slow starts.
    pub rate: f64,
    /// Calls a second that the destination accepts from all couriers together, as last advertised.
    pub limit: f64,
}

impl Courier {
    /// The outage records to keep over a restart.
    pub fn outages(&self) -> impl Iterator<Item = OutageRecord> + '_ {
        self.due.possible_outages().flat_map(|destination| self.outages_of(destination))
    }

    /// The outage records of one destination.
    pub fn outages_of(&self, destination: DestinationId) -> impl Iterator<Item = OutageRecord> + '_ {
        let routes = self.routes.range(routes_of(destination));
        routes.filter(|(_, route)| route.has_outage_record()).map(|(id, route)| OutageRecord {
            destination: id.0,
            endpoint: id.1,
            since: route.outage.as_ref().map_or(route.last_success, |outage| outage.began),
            evidence: route.outage_evidence,
            calls_lost: route.outage.as_ref().map(|outage| outage.calls_lost),
            slow_start_since: route.slow_start_since,
            served_rate: route.served_rate,
        })
    }

    /// The destinations whose outage records may have changed since the last call of this function.
    pub fn take_changed_outages(&mut self) -> Vec<DestinationId> {
        self.due.take_changed_outages()
    }

    /// Number of listed endpoints that this courier avoids: suspended, failing, or of a destination in a confirmed
    /// outage. Draining endpoints do not count unless they are suspended.
    pub fn excluded_endpoints(&self, now: Time) -> usize {
        let avoided = |e: &&EndpointState| match e.entry.mode {
            Mode::Gone => false,
            _ if e.suspended => true,
            Mode::Draining => false,
            Mode::Ready => {
                (e.avoid_until > now && e.cold_since.is_none())
                    || self.routes.get(&self.route_of(&e.entry)).is_some_and(has_confirmed_outage)
            }
        };
        self.endpoints.values().filter(avoided).count()
    }

    /// The status of each destination with open messages. If it has several routes, rate, limit and wait reason are those of
    /// the first one.
    pub fn destination_statuses(&self, now: Time) -> impl Iterator<Item = DestinationStatus> + '_ {
        self.queues.iter().filter_map(move |(destination, queue)| {
            let (_, route) = self.routes.range(routes_of(destination)).next()?;
            let routes = self.routes.range(routes_of(destination));
            let calls_in_flight = routes.map(|(_, route)| route.calls_in_flight.len()).sum();
            Some(DestinationStatus {
                destination,
                waiting: queue.open_messages().saturating_sub(calls_in_flight),
                calls_in_flight,
                wait_reason: self.wait_reason(now, route),
                rate: route.rate,
                limit: route.limit,
            })
        })
    }

    /// Destinations with a confirmed outage. Destinations with several routes are left out.
    pub fn confirmed_outages(&self) -> impl Iterator<Item = DestinationId> + '_ {
        let is_confirmed = move |destination: &DestinationId| {
            self.routes.get(&RouteId(*destination, None)).is_some_and(has_confirmed_outage)
        };
        self.due.possible_outages().filter(is_confirmed)
    }

    /// What is known about the outage of a destination; `None` unless the destination is a single route.
    pub fn outage_view(&self, destination: DestinationId) -> Option<OutageView> {
        let route = self.routes.get(&RouteId(destination, None))?;
        Some(OutageView {
            confirmed_since: route
                .outage
                .as_ref()
                .filter(|outage| outage.confirmed)
                .map(|outage| outage.began),
            has_messages: self.queues.get(destination).is_some(),
            last_success: route.last_success,
            retry_after_until: route.retry_after_until,
        })
    }

    /// What the waiting messages of a route wait for: the first reason that applies.
    fn wait_reason(&self, now: Time, route: &Route) -> WaitReason {
        let since_refill = (now - route.refilled_at).as_secs_f64();
        match () {
            () if route.retry_after_until > now => WaitReason::Told,
            () if route.outage.is_some() => WaitReason::Trial,
            () if route.slow_start_since.is_some() => WaitReason::Return,
            () if route.tokens + since_refill * route.rate < 1.0 => WaitReason::Pace,
            () if self.free_slots() == 0 => WaitReason::Slots,
            () => WaitReason::Turn,
        }
    }
}

fn has_confirmed_outage(route: &Route) -> bool {
    route.outage.as_ref().is_some_and(|outage| outage.confirmed)
}
