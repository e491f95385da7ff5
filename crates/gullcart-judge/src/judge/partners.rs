//! What couriers owe partners: they heed a told wait, leave endpoints that drain, and spare a partner in slow start.

use super::state::{Outage, RetryAfter};
use super::Judge;
use crate::cold::{Cold, Fall};
use crate::rule::Rule;
use crate::trace::*;
use std::time::Duration;

/// Waits are told in whole milliseconds.
const WAIT_ROUNDING: Duration = Duration::from_millis(1);
/// A partner that is pushed over is held against couriers where at least this share of the calls came from those that
/// saw its outage.
const KNOWING_SHARE: f64 = 2.0 / 3.0;

impl Judge {
    /// A partner refuses a call and tells how long to wait.
    pub(super) fn told_to_wait(
        &mut self,
        entry: Entry,
        courier: CourierId,
        partner: PartnerId,
        wait_ms: u64,
    ) {
        let until = entry.at + Duration::from_millis(wait_ms);
        let wait = RetryAfter { told: entry.at, until, entry };
        self.waits.entry((courier, partner)).or_default().push(wait);
    }

    /// No call goes to a partner during a wait that it told, but for those that crossed it on the way.
    pub(super) fn check_retry_after(
        &mut self,
        entry: Entry,
        id: MessageId,
        courier: CourierId,
        partner: PartnerId,
    ) {
        let now = entry.at;
        let Some(waits) = self.waits.get_mut(&(courier, partner)) else { return };
        waits.retain(|wait| wait.until > now);
        let crossing = self.figures.wait_crossing;
        let is_broken = |wait: &&RetryAfter| now > wait.told + crossing && now + WAIT_ROUNDING < wait.until;
        if let Some(wait) = waits.iter().find(is_broken) {
            let (told, since, left) = (wait.entry, now - wait.told, wait.until - now);
            let what = format!("sent to {partner} {since:?} into a told wait, {left:?} before its end");
            self.report_breach(Rule::Waits, courier, Some(id), what, [told, entry]);
        }
    }

    /// A courier was told the state of an endpoint.
    pub(super) fn listed(&mut self, entry: Entry, courier: CourierId, endpoint: EndpointId, state: State) {
        if state == State::Serving {
            self.drains.remove(&(courier, endpoint));
        } else {
            // Gone after draining was told earlier.
            self.drains.entry((courier, endpoint)).or_insert(entry);
        }
    }

    /// No call begins at an endpoint whose drain was told a while ago.
    pub(super) fn check_drain(
        &mut self,
        entry: Entry,
        id: MessageId,
        courier: CourierId,
        endpoint: EndpointId,
        first_byte: At,
    ) {
        let Some(told) = self.drains.get(&(courier, endpoint)).copied() else { return };
        if first_byte > told.at + self.figures.drain_grace + self.figures.socket_slack {
            let what = format!("sent to {endpoint} {:?} after its drain was told", first_byte - told.at);
            self.report_breach(Rule::Drains, courier, Some(id), what, [told, entry]);
        }
    }

    /// A partner goes out.
    pub(super) fn outage_began(&mut self, entry: Entry, partner: PartnerId) {
        self.outages.insert(partner, Outage::new(entry));
    }

    /// A partner is back with a part of its capacity, which grows until it is warm.
    pub(super) fn outage_ended(
        &mut self,
        entry: Entry,
        partner: PartnerId,
        capacity: f64,
        cold_from: f64,
        warm: At,
    ) {
        let Some(outage) = self.outages.get_mut(&partner) else { return };
        let (multiple, window) = (self.figures.fall_multiple, self.figures.fall_window);
        outage.slow_start = Some(Cold::new(entry.at, warm, capacity, cold_from, multiple, window));
        outage.note(entry);
    }

    /// Calls do not push a partner over that has just come back.
    pub(super) fn check_slow_start(
        &mut self,
        entry: Entry,
        id: MessageId,
        courier: CourierId,
        partner: PartnerId,
    ) {
        let Some(outage) = self.outages.get_mut(&partner) else { return };
        outage.note(entry);
        let has_seen = outage.seen.contains(&courier);
        let Some(slow_start) = &mut outage.slow_start else { return };
        if slow_start.is_warm(entry.at) {
            self.outages.remove(&partner);
            return;
        }
        let Some(Fall { calls, allowed, seen }) = slow_start.call(entry.at, has_seen) else { return };
        // It falls once, whoever pushed it.
        let proof = self.outages.remove(&partner).map(|outage| outage.proof).unwrap_or_default();
        if seen >= KNOWING_SHARE {
            let window = self.figures.fall_window;
            let what = format!(
                "{partner} was pushed over: {calls} calls in {window:?} where {allowed:.1} were allowed, {:.0} % of \
                 them from couriers that saw the outage",
                seen * 100.0
            );
            self.report_breach(Rule::Returning, courier, Some(id), what, proof);
        }
    }

    /// A courier's call failed: if its partner is out, the courier knows of the outage from now on.
    pub(super) fn saw_failure(&mut self, courier: CourierId, partner: PartnerId, entry: Entry) {
        let outage = self.outages.get_mut(&partner).filter(|outage| outage.slow_start.is_none());
        if let Some(outage) = outage {
            if outage.seen.insert(courier) {
                outage.note(entry);
            }
        }
    }
}
