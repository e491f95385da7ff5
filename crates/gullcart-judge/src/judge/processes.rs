//! Couriers' processes: what is excused while one is away, and what a lost folder takes with it.

use super::Judge;
use crate::message::Standing;
use crate::rule::Rule;
use crate::trace::*;

impl Judge {
    /// Something happens to a courier's process.
    pub(super) fn process(&mut self, entry: Entry, courier: CourierId, what: Process) {
        let state = self.couriers.entry(courier).or_default();
        match what {
            Process::Started => state.started = entry.at,
            Process::Terminated => state.away = true,
            Process::Ready => self.is_back(courier, entry.at),
            Process::Ended => self.process_ended(courier),
            Process::Crashed => {
                self.process_ended(courier);
                let what = "its process ended without being told to".to_owned();
                self.report_breach(Rule::Crash, courier, None, what, [entry]);
            }
            Process::Suspended => (state.away, state.stopped) = (true, entry.at),
            Process::Resumed => {
                self.is_back(courier, entry.at);
                self.told_nothing_while_stopped(courier, entry.at);
            }
            Process::FolderLost => self.folder_lost(courier),
        }
    }

    /// A courier is ready: the checks that waited for it are due soon.
    fn is_back(&mut self, courier: CourierId, now: At) {
        let state = self.couriers.entry(courier).or_default();
        state.away = false;
        state.ready = now;
        for (check, message) in std::mem::take(&mut state.waiting) {
            self.checks.insert((now + self.figures.ready_slack, check, message));
        }
    }

    /// A process has ended. A restart ends the waits that it was told.
    fn process_ended(&mut self, courier: CourierId) {
        self.couriers.entry(courier).or_default().away = true;
        self.waits.retain(|(who, _), _| *who != courier);
    }

    /// What a courier was told while its process was stopped counts as told when it goes on.
    fn told_nothing_while_stopped(&mut self, courier: CourierId, resumed: At) {
        let stopped = self.couriers.get(&courier).map_or(At(0), |state| state.stopped);
        let its_waits = self.waits.iter_mut().filter(|((who, _), _)| *who == courier);
        for wait in its_waits.flat_map(|(_, waits)| waits) {
            if wait.told >= stopped {
                wait.told = resumed;
            }
        }
        let its_drains = self.drains.iter_mut().filter(|((who, _), _)| *who == courier);
        for (_, told) in its_drains {
            if told.at >= stopped {
                told.at = resumed;
            }
        }
    }

    /// A courier's folder is lost with its machine: it owes nothing any more, and knows nothing.
    fn folder_lost(&mut self, courier: CourierId) {
        self.couriers.entry(courier).or_default().waiting.clear();
        for m in self.messages.values_mut().filter(|m| m.courier == courier && !m.is_over()) {
            m.standing = Standing::Void;
            m.refused = false;
        }
        self.keys.retain(|(who, _), _| *who != courier);
        self.drains.retain(|(who, _), _| *who != courier);
        for outage in self.outages.values_mut() {
            outage.seen.remove(&courier);
        }
    }
}
