//! Calls: to whom each is sent, that none makes an effect happen twice, and what its outcome settles.

use super::state::{Check, CutCall, OpenCall};
use super::Judge;
use crate::figures::Effect;
use crate::rule::Rule;
use crate::trace::*;

impl Judge {
    /// A courier sends a call.
    pub(super) fn call(&mut self, entry: Entry) {
        let Event::Call { call, message, courier, endpoint, partner, first_byte, intact } = entry.event
        else {
            return;
        };
        let now = entry.at;
        let key = message.and_then(|message| self.messages.get(&message)).and_then(|m| m.key);
        self.calls.insert(call, OpenCall { message, courier, partner, key, begun: now });
        let Some(id) = message else {
            let what = "a call for a message that nobody handed in".to_owned();
            return self.report_breach(Rule::Destination, courier, None, what, [entry]);
        };
        self.check_retry_after(entry, id, courier, partner);
        self.check_drain(entry, id, courier, endpoint, first_byte);
        self.check_slow_start(entry, id, courier, partner);
        let Some(m) = self.messages.get_mut(&id) else {
            let what = "a call for a message whose time was up long ago".to_owned();
            return self.report_breach(Rule::FinalAnswer, courier, Some(id), what, [entry]);
        };
        m.note(entry);
        self.check_destination(id, courier, partner, intact);
        self.check_repeat(id, call, courier, now);
        self.check_order(id, courier, now);
    }

    /// A call is sent by the courier that took the message, to its partner, and as it was handed in.
    fn check_destination(&mut self, id: MessageId, courier: CourierId, partner: PartnerId, intact: bool) {
        let Some(m) = self.messages.get(&id) else { return };
        let (rule, what) = if m.courier != courier {
            (Rule::Destination, format!("sent by {courier}, though it was handed to {}", m.courier))
        } else if m.partner != partner {
            (Rule::Destination, format!("sent to {partner}, though it is for {}", m.partner))
        } else if !intact {
            // A key that differs is what lets an effect happen twice.
            let what = "sent with another idempotency key or body than it was handed in with".to_owned();
            (Rule::Twice, what)
        } else {
            return;
        };
        self.report_breach(rule, courier, Some(id), what, []);
    }

    /// A message is not sent again after its end, while another call is open, or where a repeat would do harm.
    fn check_repeat(&mut self, id: MessageId, call: CallId, courier: CourierId, now: At) {
        let slack = self.figures.socket_slack;
        let matters = self.matters(id);
        let Some(m) = self.messages.get_mut(&id) else { return };
        let earlier = m.out.clone();
        m.out.push(call);
        m.hopeless = None;
        let (noticed, refused, before) = (m.noticed, m.refused, m.maybe_ran);
        if !matters {
            return;
        }
        if let Some(noticed) = noticed.filter(|noticed| now > noticed.at + slack) {
            let what = format!("sent {:?} after its end was told", now - noticed.at);
            let returned = matches!(noticed.ended, Ended::Returned(_));
            let rule = if returned { Rule::Twice } else { Rule::FinalAnswer };
            return self.report_breach(rule, courier, Some(id), what, []);
        }
        if refused {
            let what = "sent, though it was refused".to_owned();
            return self.report_breach(Rule::Twice, courier, Some(id), what, []);
        }
        // The end of the one before may be on its way here on another connection.
        for older in earlier {
            self.checks.insert((now + slack, Check::SideBySide(older), id));
        }
        if let Some(first) = before {
            self.check_effect(id, courier, first, now);
        }
    }

    /// A repeat may be sent only as far as the effect of its class allows; `first` is the first call that may have run.
    fn check_effect(&mut self, id: MessageId, courier: CourierId, first: At, now: At) {
        let what = match self.class_of(id).effect {
            Effect::Unsafe => format!("sent again {:?} after a call that may have run", now - first),
            Effect::Keyed { window } if now > first + window + self.figures.socket_slack => format!(
                "sent again {:?} after the first call that may have run; the key is remembered for {window:?}",
                now - first
            ),
            _ => return,
        };
        self.report_breach(Rule::Twice, courier, Some(id), what, []);
    }

    /// An endpoint answers a call.
    pub(super) fn call_answered(&mut self, entry: Entry, call: CallId, answer: Answer) {
        let Some(OpenCall { message, courier, partner, begun, .. }) = self.calls.remove(&call) else {
            return;
        };
        if answer != Answer::Ok {
            self.saw_failure(courier, partner, entry);
        }
        if let Answer::Full(Some(wait_ms)) = answer {
            self.told_to_wait(entry, courier, partner, wait_ms);
        }
        let Some(message) = message else { return };
        let Some(m) = self.messages.get_mut(&message) else { return };
        m.note(entry);
        m.out.retain(|out| *out != call);
        if answer.may_have_run() {
            m.maybe_ran.get_or_insert(begun);
        }
        if answer == Answer::Ok {
            m.delivered.get_or_insert(entry.at);
        } else if answer.may_have_run() {
            self.check_hopeless(message, entry.at);
        }
    }

    /// A courier closes the connection of a call before its answer.
    pub(super) fn call_cut(&mut self, entry: Entry, call: CallId) {
        let Some(OpenCall { message, courier, partner, key, begun }) = self.calls.remove(&call) else {
            return;
        };
        self.saw_failure(courier, partner, entry);
        let Some(message) = message else { return };
        let Some(m) = self.messages.get_mut(&message) else { return };
        m.note(entry);
        m.out.retain(|out| *out != call);
        m.maybe_ran.get_or_insert(begun);
        self.check_hopeless(message, entry.at);
        if let Some(state) = key.and_then(|key| self.keys.get_mut(&(courier, key))) {
            state.last_cut = Some(CutCall { at: entry.at, message, entry });
        }
    }

    /// An unsafe message whose last open call may have run cannot be sent again: its failure is due at once.
    fn check_hopeless(&mut self, message: MessageId, now: At) {
        let effect = self.class_of(message).effect;
        let Some(m) = self.messages.get_mut(&message) else { return };
        if effect == Effect::Unsafe && m.out.is_empty() && m.delivered.is_none() {
            m.hopeless = Some(now);
            self.checks.insert((now + self.figures.at_once, Check::KeptBack, message));
        }
    }
}
