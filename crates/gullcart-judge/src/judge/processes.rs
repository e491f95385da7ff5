//! Events of couriers' processes: checks that are excused while a process is unavailable, and state that is lost with
//! a courier's folder.

use super::Judge;
use crate::message::EnqueueStatus;
use crate::rule::Rule;
use crate::trace::*;

impl Judge {
    /// Handles a change in the life cycle of a courier's process.
    pub(super) fn process_changed(&mut self, entry: Entry, courier: CourierId, change: ProcessEvent) {
        let state = self.couriers.entry(courier).or_default();
        match change {
            ProcessEvent::Started => state.started_at = entry.at,
            ProcessEvent::Terminated => state.unavailable = true,
            ProcessEvent::Ready => self.courier_available(courier, entry.at),
            ProcessEvent::Ended => self.process_ended(courier),
            ProcessEvent::Crashed => {
                self.process_ended(courier);
                let description = "its process ended without being told to".to_owned();
                self.report_violation(Rule::Crash, courier, None, description, [entry]);
            }
            ProcessEvent::Suspended => {
                state.unavailable = true;
                state.suspended_at = entry.at;
            }
            ProcessEvent::Resumed => {
                self.courier_available(courier, entry.at);
                self.delay_input_until_resumed(courier, entry.at);
            }
            ProcessEvent::FolderLost => self.folder_lost(courier),
        }
    }

    /// Marks a courier as available and schedules the checks that were postponed meanwhile.
    fn courier_available(&mut self, courier: CourierId, now: Timestamp) {
        let state = self.couriers.entry(courier).or_default();
        state.unavailable = false;
        state.ready_at = now;
        for (check, message) in std::mem::take(&mut state.postponed_checks) {
            self.checks.insert((now + self.limits.ready_slack, check, message));
        }
    }

    /// Handles the end of a process. Retry-after times do not survive a restart.
    fn process_ended(&mut self, courier: CourierId) {
        self.couriers.entry(courier).or_default().unavailable = true;
        self.retry_after_times.retain(|(notified, _), _| *notified != courier);
    }

    /// Treats retry-after times and drains that were sent to a paused process as received when it resumed.
    fn delay_input_until_resumed(&mut self, courier: CourierId, resumed_at: Timestamp) {
        let suspended_at = self.couriers.get(&courier).map_or(Timestamp(0), |state| state.suspended_at);
        let its_retry_after_times =
            self.retry_after_times.iter_mut().filter(|((notified, _), _)| *notified == courier);
        for retry_after in its_retry_after_times.flat_map(|(_, times)| times) {
            if retry_after.received_at >= suspended_at {
                retry_after.received_at = resumed_at;
            }
        }
        let its_drains = self.drains.iter_mut().filter(|((notified, _), _)| *notified == courier);
        for (_, listing) in its_drains {
            if listing.at >= suspended_at {
                listing.at = resumed_at;
            }
        }
    }

    /// Drops what a courier had to do and knew, as its folder was lost together with its machine.
    fn folder_lost(&mut self, courier: CourierId) {
        self.couriers.entry(courier).or_default().postponed_checks.clear();
        for m in self.messages.values_mut().filter(|m| m.courier == courier && !m.is_final()) {
            m.status = EnqueueStatus::NoObligation;
            m.got_busy_reply = false;
        }
        self.order_keys.retain(|(owner, _), _| *owner != courier);
        self.drains.retain(|(notified, _), _| *notified != courier);
        for outage in self.outages.values_mut() {
            outage.informed_couriers.remove(&courier);
        }
    }
}
