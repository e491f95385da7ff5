//! Checks that are due later: messages whose time is up, and when they are forgotten.

use super::clients::REMEMBERED;
use super::state::Check;
use super::Judge;
use crate::rule::Rule;
use crate::trace::*;

impl Judge {
    /// Runs a check whose time has come.
    pub(super) fn run_check(&mut self, at: At, check: Check, message: MessageId) {
        match check {
            Check::Forget => self.forget_if_settled(at, message),
            Check::SideBySide(older) => self.check_side_by_side(older, message),
            Check::Overdue | Check::KeptBack => self.check_end(at, check, message),
        }
    }

    fn forget_if_settled(&mut self, at: At, message: MessageId) {
        let Some(m) = self.messages.get(&message) else { return };
        if m.is_owed() && !m.is_reported {
            self.checks.insert((at + REMEMBERED, Check::Forget, message));
        } else {
            self.forget(message);
        }
    }

    /// The earlier of two calls for one message should have had its outcome by now.
    fn check_side_by_side(&mut self, older: CallId, message: MessageId) {
        let Some(m) = self.messages.get(&message) else { return };
        if m.out.contains(&older) && m.out.len() > 1 {
            let (courier, what) = (m.courier, format!("sent again while {older} was still out"));
            self.report_breach(Rule::Twice, courier, Some(message), what, []);
        }
    }

    /// The end of a message is due, unless its courier is away or has only just come back.
    fn check_end(&mut self, at: At, check: Check, message: MessageId) {
        let Some(m) = self.messages.get(&message) else { return };
        let excused_until = match self.couriers.get_mut(&m.courier) {
            Some(state) if state.away => {
                state.waiting.push((check, message));
                return;
            }
            // Clients come once it is ready; before its first start nothing is owed.
            Some(state) if state.ready > At(0) => state.ready + self.figures.ready_slack,
            _ => At(0),
        };
        if at < excused_until {
            self.checks.insert((excused_until, check, message));
        } else if check == Check::Overdue {
            self.report_overdue(message);
        } else {
            self.report_kept_back(message);
        }
    }

    /// Reports a message that has no end after its deadline, once.
    pub(super) fn report_overdue(&mut self, message: MessageId) {
        let owed = self.messages.get_mut(&message).filter(|m| m.is_owed() && !m.is_reported);
        let Some(m) = owed else { return };
        m.is_reported = true;
        let (courier, deadline) = (m.courier, m.deadline);
        let what =
            format!("neither delivered nor ended by a notice {:?} after its time", self.now - deadline);
        self.report_breach(Rule::Lost, courier, Some(message), what, []);
    }

    /// Reports a message whose failure was not told at once, once.
    fn report_kept_back(&mut self, message: MessageId) {
        let owed = self.messages.get_mut(&message).filter(|m| m.is_owed() && !m.is_reported);
        let Some(m) = owed else { return };
        let Some(since) = m.hopeless else { return };
        m.is_reported = true;
        let courier = m.courier;
        let what =
            format!("its failure was not told {:?} after nothing could be done for it", self.now - since);
        self.report_breach(Rule::FinalAnswer, courier, Some(message), what, []);
    }

    fn forget(&mut self, message: MessageId) {
        let Some(m) = self.messages.remove(&message) else { return };
        for call in &m.out {
            self.calls.remove(call);
        }
        let Some(key) = m.key.map(|key| (m.courier, key)) else { return };
        let Some(state) = self.keys.get_mut(&key) else { return };
        state.queue.retain(|other| *other != message);
        if state.queue.is_empty() {
            self.keys.remove(&key);
        }
    }
}
