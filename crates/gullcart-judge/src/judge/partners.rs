//! Checks that couriers respect the state of partners: retry-after times, draining endpoints and slow starts.

use super::state::{Outage, RetryAfter};
use super::Judge;
use crate::rule::Rule;
use crate::slow_start::{Collapse, SlowStart};
use crate::trace::*;
use std::time::Duration;

/// Retry-after times are given in whole milliseconds.
const RETRY_AFTER_ROUNDING: Duration = Duration::from_millis(1);
/// The collapse of a partner is a violation if at least this share of the calls came from informed couriers (those that
/// saw a call fail during the outage).
const MIN_INFORMED_SHARE: f64 = 2.0 / 3.0;

impl Judge {
    /// Records the retry-after time of a rejected call.
    pub(super) fn retry_after_received(
        &mut self,
        entry: Entry,
        courier: CourierId,
        partner: PartnerId,
        retry_after_ms: u64,
    ) {
        let until = entry.at + Duration::from_millis(retry_after_ms);
        let retry_after = RetryAfter { received_at: entry.at, until, entry };
        self.retry_after_times.entry((courier, partner)).or_default().push(retry_after);
    }

    /// Checks that a call respects the partner's retry-after times. Calls shortly after such an answer are tolerated,
    /// as they may have been sent before it arrived.
    pub(super) fn check_retry_after(
        &mut self,
        entry: Entry,
        id: MessageId,
        courier: CourierId,
        partner: PartnerId,
    ) {
        let now = entry.at;
        let Some(times) = self.retry_after_times.get_mut(&(courier, partner)) else { return };
        times.retain(|retry_after| retry_after.until > now);
        let grace = self.limits.retry_after_grace;
        let is_violated = |retry_after: &&RetryAfter| {
            now > retry_after.received_at + grace && now + RETRY_AFTER_ROUNDING < retry_after.until
        };
        if let Some(retry_after) = times.iter().find(is_violated) {
            let answer = retry_after.entry;
            let elapsed = now - retry_after.received_at;
            let remaining = retry_after.until - now;
            let description =
                format!("sent to {partner} {elapsed:?} after a retry-after answer, {remaining:?} too early");
            self.report_violation(Rule::Waits, courier, Some(id), description, [answer, entry]);
        }
    }

    /// Records an endpoint's state that was sent to a courier.
    pub(super) fn listing_updated(
        &mut self,
        entry: Entry,
        courier: CourierId,
        endpoint: EndpointId,
        state: EndpointState,
    ) {
        if state == EndpointState::Serving {
            self.drains.remove(&(courier, endpoint));
        } else {
            // The grace period starts with the first report, so the removal of a draining endpoint does not restart it.
            self.drains.entry((courier, endpoint)).or_insert(entry);
        }
    }

    /// Checks that a call does not start at an endpoint whose drain was reported longer ago than the grace period.
    pub(super) fn check_drain(
        &mut self,
        entry: Entry,
        id: MessageId,
        courier: CourierId,
        endpoint: EndpointId,
        first_byte: Timestamp,
    ) {
        let Some(drain) = self.drains.get(&(courier, endpoint)).copied() else { return };
        if first_byte > drain.at + self.limits.drain_grace + self.limits.socket_slack {
            let description =
                format!("sent to {endpoint} {:?} after its drain was reported", first_byte - drain.at);
            self.report_violation(Rule::Drains, courier, Some(id), description, [drain, entry]);
        }
    }

    /// Records the start of an outage.
    pub(super) fn outage_began(&mut self, entry: Entry, partner: PartnerId) {
        self.outages.insert(partner, Outage::new(entry));
    }

    /// Records the end of an outage, with which the slow start begins.
    pub(super) fn outage_ended(
        &mut self,
        entry: Entry,
        partner: PartnerId,
        capacity: f64,
        cold_capacity_share: f64,
        warm_at: Timestamp,
    ) {
        let Some(outage) = self.outages.get_mut(&partner) else { return };
        outage.slow_start = Some(SlowStart::new(
            entry.at,
            warm_at,
            capacity,
            cold_capacity_share,
            self.limits.collapse_multiple,
            self.limits.collapse_window,
        ));
        outage.record(entry);
    }

    /// Checks that a call does not overload a partner in slow start. During the outage itself the call is only added to
    /// the evidence; once the partner is warm, the outage is dropped.
    pub(super) fn check_slow_start(
        &mut self,
        entry: Entry,
        id: MessageId,
        courier: CourierId,
        partner: PartnerId,
    ) {
        let Some(outage) = self.outages.get_mut(&partner) else { return };
        outage.record(entry);
        let is_informed = outage.informed_couriers.contains(&courier);
        let Some(slow_start) = &mut outage.slow_start else { return };
        if slow_start.is_warm(entry.at) {
            self.outages.remove(&partner);
            return;
        }
        let Some(Collapse { calls, max_calls, informed_share }) =
            slow_start.record_call(entry.at, is_informed)
        else {
            return;
        };
        // A partner collapses at most once in a slow start, whichever couriers caused it.
        let evidence = self.outages.remove(&partner).map(|outage| outage.evidence).unwrap_or_default();
        if informed_share >= MIN_INFORMED_SHARE {
            let window = self.limits.collapse_window;
            let description = format!(
                "{partner} was overloaded in slow start: {calls} calls in {window:?} where {max_calls:.1} were \
                 allowed, {:.0} % of them from couriers that saw the outage",
                informed_share * 100.0
            );
            self.report_violation(Rule::Returning, courier, Some(id), description, evidence);
        }
    }

    /// Records that a courier saw a call fail. If the partner is out, the courier knows of the outage from now on.
    pub(super) fn failure_seen(&mut self, courier: CourierId, partner: PartnerId, entry: Entry) {
        let outage = self.outages.get_mut(&partner).filter(|outage| outage.slow_start.is_none());
        if let Some(outage) = outage {
            if outage.informed_couriers.insert(courier) {
                outage.record(entry);
            }
        }
    }
}
