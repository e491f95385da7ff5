//! What clients are told: the answers to their requests, and the notices that end their messages.

use super::state::Check;
use super::Judge;
use crate::figures::Effect;
use crate::message::{Message, Noticed, Standing};
use crate::rule::Rule;
use crate::trace::*;
use std::time::Duration;

/// A message is remembered for so long after its deadline: an end that is told once more, or a call that comes too
/// late, is known for what it is.
pub(super) const REMEMBERED: Duration = Duration::from_secs(10);

impl Judge {
    /// A client hands a message in.
    pub(super) fn handed_in(&mut self, entry: Entry) {
        let Event::HandIn { message, courier, class, key, partner, deadline } = entry.event else { return };
        let handed_in = Message {
            courier,
            class,
            key,
            partner,
            deadline,
            standing: Standing::Asked,
            refused: false,
            delivered: None,
            noticed: None,
            maybe_ran: None,
            out: Vec::new(),
            hopeless: None,
            is_reported: false,
            proof: vec![entry],
        };
        self.messages.insert(message, handed_in);
        if let Some(key) = key.filter(|_| self.class(class).in_order) {
            self.keys.entry((courier, key)).or_default().queue.push_back(message);
        }
        self.checks.insert((deadline + self.figures.end_slack, Check::Overdue, message));
        self.checks.insert((deadline + REMEMBERED, Check::Forget, message));
    }

    /// A client gets the answer to its request, or gives up on it.
    pub(super) fn answered(&mut self, entry: Entry, message: MessageId, told: Told) {
        let Some(m) = self.messages.get_mut(&message) else { return };
        m.note(entry);
        let courier = m.courier;
        if m.standing != Standing::Asked {
            return;
        }
        m.standing = if told == Told::Taken { Standing::Taken } else { Standing::Void };
        m.refused = matches!(told, Told::Busy(_));
        let may_have_run = m.may_have_run();
        match told {
            Told::Busy(_) if may_have_run && self.class_of(message).effect == Effect::Unsafe => {
                let what = "refused, though a call for it may have run".to_owned();
                self.report_breach(Rule::Twice, courier, Some(message), what, []);
            }
            Told::Cut => {
                let what =
                    "its connection was ended without an answer after the request was written".to_owned();
                self.report_breach(Rule::Lost, courier, Some(message), what, []);
            }
            _ => {}
        }
    }

    /// A courier tells the end of a message.
    pub(super) fn notice(
        &mut self,
        entry: Entry,
        message: Option<MessageId>,
        courier: CourierId,
        ended: Ended,
    ) {
        let Some(id) = message else {
            let what = "a notice for a message that nobody handed in".to_owned();
            return self.report_breach(Rule::FinalAnswer, courier, None, what, [entry]);
        };
        let effect = self.class_of(id).effect;
        let matters = self.matters(id);
        let Some(m) = self.messages.get_mut(&id) else { return };
        m.note(entry);
        let first = m.noticed;
        if first.is_none() {
            m.noticed = Some(Noticed { ended, at: entry.at, answered: None });
        }
        let may_have_run = m.may_have_run();
        if !matters {
            return;
        }
        if let Some(first) = first {
            self.check_repeated_notice(entry, id, courier, first, ended);
        } else if matches!(ended, Ended::Returned(_)) && may_have_run && effect == Effect::Unsafe {
            let what = "handed back, though a call for it may have run".to_owned();
            self.report_breach(Rule::Twice, courier, Some(id), what, []);
        }
    }

    /// A notice may come again if its answer may not have arrived, as when discovery moves, or after a restart; it
    /// tells the same end then.
    fn check_repeated_notice(
        &mut self,
        entry: Entry,
        id: MessageId,
        courier: CourierId,
        first: Noticed,
        ended: Ended,
    ) {
        let restarted = self.couriers.get(&courier).map_or(At(0), |courier| courier.started);
        let slack = self.figures.at_once;
        let is_needless = first.answered.is_some_and(|at| at + slack < entry.at && restarted <= at);
        if !first.ended.is_like(ended) {
            let what = format!("ended as {ended:?} after it was ended as {:?}", first.ended);
            self.report_breach(Rule::FinalAnswer, courier, Some(id), what, []);
        } else if is_needless {
            let what = "its end was told again after the notice was answered".to_owned();
            self.report_breach(Rule::FinalAnswer, courier, Some(id), what, []);
        }
    }

    /// A notice was answered: its courier need not tell it again.
    pub(super) fn notice_answered(&mut self, entry: Entry, message: MessageId) {
        let Some(m) = self.messages.get_mut(&message) else { return };
        m.note(entry);
        if let Some(noticed) = &mut m.noticed {
            noticed.answered.get_or_insert(entry.at);
        }
    }
}
