//! How a courier stands with each destination, for those who look on. Nothing is decided here, and looking changes nothing.

use super::Courier;
use crate::books::{routes_of, Address, Route, RouteId};
use crate::interface::{DestinationId, Mode, Outage, Outing, Time};

/// What the messages of a destination wait for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hold {
    /// A wait that was told.
    Told,
    /// A trial, in an outage.
    Trial,
    /// The pace of a return after an outage.
    Return,
    /// The pace at which this courier calls it.
    Pace,
    /// A call slot.
    Slots,
    /// The message before them, or the gap after their last attempt.
    Turn,
}

/// How a courier stands with one destination.
#[derive(Clone, Copy, Debug)]
pub struct Standing {
    /// Which.
    pub destination: DestinationId,
    /// Messages held that are not out.
    pub waiting: usize,
    /// Calls out.
    pub out: usize,
    /// What those that wait wait for.
    pub hold: Hold,
    /// Calls a second that this courier allows itself, before it leans by the share left, and outside returns.
    pub pace: f64,
    /// Calls a second that it takes from all couriers together, as last told.
    pub limit: f64,
}

impl Courier {
    /// What is to be remembered of outages over a restart.
    pub fn outages(&self) -> impl Iterator<Item = Outage> + '_ {
        self.due.troubled().flat_map(|to| self.outages_of(to))
    }

    /// What is to be remembered of the outages of one destination.
    pub fn outages_of(&self, to: DestinationId) -> impl Iterator<Item = Outage> + '_ {
        let routes = self.routes.range(routes_of(to));
        routes.filter(|(_, route)| route.is_troubled()).map(|(id, route)| Outage {
            destination: id.0,
            endpoint: id.1,
            since: route.spell.as_ref().map_or(route.last_answer, |spell| spell.began),
            evidence: route.evidence,
            lost: route.spell.as_ref().map(|spell| spell.lost),
            returned: route.returned,
            share: route.share,
        })
    }

    /// The destinations whose outages may have changed since this was last asked.
    pub fn take_changed_outages(&mut self) -> Vec<DestinationId> {
        self.due.take_changed()
    }

    /// Endpoints of the list that this courier avoids now: out by hand, failing, or of a destination in an outage.
    /// Those that drain are not avoided by choice.
    pub fn excluded(&self, now: Time) -> usize {
        let out = |route: &Route| route.spell.as_ref().is_some_and(|spell| spell.failed);
        let avoided = |a: &&Address| match a.entry.mode {
            Mode::Gone => false,
            _ if a.suspended => true,
            Mode::Draining => false,
            Mode::Ready => {
                (a.avoid_until > now && a.cold.is_none())
                    || self.routes.get(&self.route_of(&a.entry)).is_some_and(out)
            }
        };
        self.addresses.values().filter(avoided).count()
    }

    /// Each destination that has messages here.
    pub fn standings(&self, now: Time) -> impl Iterator<Item = Standing> + '_ {
        self.queues.iter().filter_map(move |(to, queue)| {
            let (_, route) = self.routes.range(routes_of(to)).next()?;
            let out = self.routes.range(routes_of(to)).map(|(_, route)| route.out.len()).sum();
            Some(Standing {
                destination: to,
                waiting: queue.held().saturating_sub(out),
                out,
                hold: self.hold(now, route),
                pace: route.rate,
                limit: route.weight,
            })
        })
    }

    /// Destinations that are held to be out, by calls that failed.
    pub fn outings(&self) -> impl Iterator<Item = DestinationId> + '_ {
        let out = |route: &Route| route.spell.as_ref().is_some_and(|spell| spell.failed);
        let is_out = move |to: &DestinationId| self.routes.get(&RouteId(*to, None)).is_some_and(out);
        self.due.troubled().filter(is_out)
    }

    /// How it stands with one destination; none where that is no route.
    pub fn outing(&self, to: DestinationId) -> Option<Outing> {
        let route = self.routes.get(&RouteId(to, None))?;
        Some(Outing {
            since: route.spell.as_ref().filter(|spell| spell.failed).map(|spell| spell.began),
            waiting: self.queues.get(to).is_some(),
            last_answer: route.last_answer,
            told_wait: route.told_wait,
        })
    }

    fn hold(&self, now: Time, route: &Route) -> Hold {
        let passed = (now - route.filled).as_secs_f64();
        match () {
            () if route.told_wait > now => Hold::Told,
            () if route.spell.is_some() => Hold::Trial,
            () if route.returned.is_some() => Hold::Return,
            () if route.tokens + passed * route.rate < 1.0 => Hold::Pace,
            () if self.slots_free() == 0 => Hold::Slots,
            () => Hold::Turn,
        }
    }
}
